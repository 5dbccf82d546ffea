package sessions

import (
	"context"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// writeGate counts the writes to one instance that are in flight, and holds further ones
// back while a stop of writes is in force. The zero value is open.
type writeGate struct {
	mutex sync.Mutex
	// stop is the stop in force, zero while the gate is open; closedAt is when it began.
	stop     ebonywood.WriteStop
	closedAt ebonywood.Millis
	inFlight int
	// reopened is closed when the gate opens; nil while it is open.
	reopened chan struct{}
}

// writeGate returns the gate of an instance and creates it if needed.
func (edge *Edge) writeGate(id ebonywood.InstanceID) *writeGate {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	gate, found := edge.writeGates[id]
	if !found {
		gate = &writeGate{}
		edge.writeGates[id] = gate
	}
	return gate
}

// enter counts a write as in flight, unless the gate is closed. leave has to follow.
func (gate *writeGate) enter() bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if !gate.stop.IsZero() {
		return false
	}
	gate.inFlight++
	return true
}

// leave ends a write. It returns the stop that is now complete, since the write was the
// last one in flight; zero if there is none.
func (gate *writeGate) leave() ebonywood.WriteStop {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.inFlight--
	if gate.inFlight > 0 {
		return ebonywood.WriteStop{}
	}
	return gate.stop
}

// close closes the gate and reports whether no write is in flight.
func (gate *writeGate) close(stop ebonywood.WriteStop, now ebonywood.Millis) (stopped bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.stop.IsZero() {
		gate.closedAt, gate.reopened = now, make(chan struct{})
	}
	gate.stop = stop
	return gate.inFlight == 0
}

// open lets the writes go on.
func (gate *writeGate) open() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if !gate.stop.IsZero() {
		close(gate.reopened)
	}
	gate.stop, gate.reopened = ebonywood.WriteStop{}, nil
}

// closedSince returns the channel that is closed when the gate opens, nil while it is
// open, and the time since which it is closed.
func (gate *writeGate) closedSince() (reopened <-chan struct{}, closedAt ebonywood.Millis) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.reopened, gate.closedAt
}

// stopWrites closes the gate of an instance, and reports to the control loop when no
// write is in flight.
func (edge *Edge) stopWrites(stop ebonywood.WriteStop) {
	if edge.writeGate(stop.Instance()).close(stop, edge.now()) {
		edge.post(ebonywood.NewWritesStopped(stop))
	}
}

// leaveWrites ends a write to an instance. If it was the last one before a stop, the
// control loop is notified.
func (edge *Edge) leaveWrites(id ebonywood.InstanceID) {
	if stop := edge.writeGate(id).leave(); !stop.IsZero() {
		edge.post(ebonywood.NewWritesStopped(stop))
	}
}

// awaitWrites waits until writes to the instance may be sent, and reports whether they
// may. The wait ends at the deadline, LimitHoldForPrimary after the stop began, or when
// awaited ends.
func (edge *Edge) awaitWrites(awaited context.Context, id ebonywood.InstanceID, deadline time.Time) bool {
	gate := edge.writeGate(id)
	for {
		reopened, closedAt := gate.closedSince()
		if reopened == nil {
			return true
		}
		heldFor := edge.now() - closedAt
		left := min(time.Until(deadline), (edge.limits.Millis(ebonywood.LimitHoldForPrimary) - heldFor).Duration())
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(left)
		select {
		case <-reopened:
		case <-timer.C:
		case <-awaited.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// heldReply returns the reply to a write that was not sent because of a stop of writes.
func heldReply(state ebonywood.TxState) ebonywood.Reply {
	return ebonywood.NewFailure(ebonywood.CodeBusy, "writes are stopped while another member becomes the primary", state, ebonywood.Position{})
}
