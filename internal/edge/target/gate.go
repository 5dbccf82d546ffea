package target

import "sync"

// gate counts the transactions of this process that are open on the primary of
// one instance. The zero value works.
type gate struct {
	mutex sync.Mutex
	open  int
	idle  func()
}

func (gate *gate) enter() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.open++
}

func (gate *gate) leave() {
	gate.mutex.Lock()
	gate.open--
	idle := gate.takeIdle()
	gate.mutex.Unlock()
	if idle != nil {
		idle()
	}
}

// whenIdle calls back once no transaction is open.
func (gate *gate) whenIdle(idle func()) {
	gate.mutex.Lock()
	gate.idle = idle
	ready := gate.takeIdle()
	gate.mutex.Unlock()
	if ready != nil {
		ready()
	}
}

func (gate *gate) takeIdle() func() {
	if gate.open > 0 {
		return nil
	}
	idle := gate.idle
	gate.idle = nil
	return idle
}
