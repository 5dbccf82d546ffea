package target

import (
	"context"
	"sync"

	"github.com/ebonywood/ebonywood"
)

// gate counts the transactions of this process that are open on the primary of
// one instance, and ends what waits for a primary that has been replaced. The
// zero value works.
type gate struct {
	mutex sync.Mutex
	open  int
	idle  func()
	term  ebonywood.Term
	reign context.Context
	end   context.CancelFunc
}

// advance ends the reign of an earlier term.
func (gate *gate) advance(term ebonywood.Term) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.advanceLocked(term)
}

func (gate *gate) advanceLocked(term ebonywood.Term) {
	if gate.reign != nil && term <= gate.term {
		return
	}
	if gate.end != nil {
		gate.end()
	}
	gate.term = term
	gate.reign, gate.end = context.WithCancel(context.Background())
}

// during derives a context that also ends when a primary of a later term is
// known: what is under way then can't be confirmed any more.
func (gate *gate) during(ctx context.Context, term ebonywood.Term) (context.Context, context.CancelFunc) {
	gate.mutex.Lock()
	gate.advanceLocked(term)
	reign, current := gate.reign, gate.term == term
	gate.mutex.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if !current {
		cancel()
		return ctx, cancel
	}
	stop := context.AfterFunc(reign, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
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
