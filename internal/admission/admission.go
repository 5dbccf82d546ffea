// Package admission limits the work that runs concurrently at one member, by its slots
// or by the connections to it. Package queue decides which work starts first and which
// is refused; this package adds the waiting goroutines and the clock.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/queue"
)

// ErrRefused is returned for work that can't be done in time: immediately on arrival, or
// later when more urgent work has overtaken it.
var ErrRefused = errors.New("the predicted wait is too long")

// ErrTimeout is returned when the wait ended without a free slot.
var ErrTimeout = errors.New("no slot became free in time")

// Controller grants the slots of one member. It is safe for concurrent use.
type Controller struct {
	start time.Time

	mutex      sync.Mutex
	queue      *queue.Queue
	waiters    map[uint64]chan bool
	lastTicket uint64
	running    int
}

// New returns a controller with the given number of slots.
func New(slots int) *Controller {
	return &Controller{start: time.Now(), queue: queue.New(slots), waiters: map[uint64]chan bool{}}
}

// Acquire waits for a slot until ctx ends or waitUntil has passed, and returns the
// ticket to pass to Release. shape groups statements of similar cost. expectedCost is
// the expected duration of the work if costKnown is set, and deadline is when it must be
// done. wait is the predicted wait, also on error. The error is ErrRefused or
// ErrTimeout.
func (admission *Controller) Acquire(
	ctx context.Context, route *ebonywood.Route, shape uint64, expectedCost time.Duration, costKnown bool,
	deadline, waitUntil time.Time,
) (ticket uint64, wait time.Duration, err error) {
	admission.mutex.Lock()
	admission.lastTicket++
	ticket = admission.lastTicket
	wait, accepted := admission.queue.Push(ticket, shape, route.Name(), route.Weight(), route.IsPaid(),
		expectedCost, costKnown, admission.now(), deadline.Sub(admission.start))
	if !accepted {
		admission.mutex.Unlock()
		return 0, wait, ErrRefused
	}
	result := make(chan bool, 1)
	admission.waiters[ticket] = result
	admission.admitWaiting()
	admission.mutex.Unlock()
	select {
	case admitted := <-result:
		return admission.outcome(ticket, wait, admitted)
	default:
	}
	timer := time.NewTimer(time.Until(waitUntil))
	defer timer.Stop()
	select {
	case admitted := <-result:
		return admission.outcome(ticket, wait, admitted)
	case <-ctx.Done():
	case <-timer.C:
	}
	admission.withdraw(ticket)
	return 0, wait, ErrTimeout
}

// outcome returns the results of Acquire for work that was admitted or refused.
func (admission *Controller) outcome(ticket uint64, wait time.Duration, admitted bool) (uint64, time.Duration, error) {
	if !admitted {
		return 0, wait, ErrRefused
	}
	return ticket, wait, nil
}

// now returns the time since start, which is the queue's origin of time.
func (admission *Controller) now() time.Duration { return time.Since(admission.start) }

// withdraw removes a ticket from the queue. If the ticket has left the queue in the
// meantime, it releases the slot.
func (admission *Controller) withdraw(ticket uint64) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	delete(admission.waiters, ticket)
	if !admission.queue.Remove(ticket) {
		admission.releaseLocked(ticket, 0)
	}
}

// Release frees the slot of a ticket that held it for the duration took.
func (admission *Controller) Release(ticket uint64, took time.Duration) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.releaseLocked(ticket, took)
}

// releaseLocked frees the slot of a ticket and admits waiting work; the mutex is held.
func (admission *Controller) releaseLocked(ticket uint64, took time.Duration) {
	admission.queue.Done(ticket, took)
	admission.running--
	admission.admitWaiting()
}

// UpdateCost sets the cost of a previously unknown shape on the work of that shape that
// is still waiting.
func (admission *Controller) UpdateCost(shape uint64, cost time.Duration) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.queue.UpdateCost(shape, cost)
	admission.admitWaiting()
}

// Resize changes the number of slots.
func (admission *Controller) Resize(slots int) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.queue.Resize(slots)
	admission.admitWaiting()
}

// RefuseAll refuses all waiting work.
func (admission *Controller) RefuseAll() {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	for ticket := range admission.waiters {
		admission.queue.Remove(ticket)
		admission.notify(ticket, false)
	}
}

// ExpectedWait returns the time that a short statement arriving now is expected to wait.
func (admission *Controller) ExpectedWait() time.Duration {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.ExpectedWait()
}

// Running returns the number of occupied slots.
func (admission *Controller) Running() int {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.running
}

// admitWaiting refuses work that can't end in time any more and gives the free slots to
// waiting work; the mutex is held.
func (admission *Controller) admitWaiting() {
	for _, ticket := range admission.queue.Evict(admission.now()) {
		admission.notify(ticket, false)
	}
	for {
		ticket, found := admission.queue.Pop()
		if !found {
			return
		}
		admission.running++
		admission.notify(ticket, true)
	}
}

// notify wakes the goroutine that waits for a ticket; the mutex is held.
func (admission *Controller) notify(ticket uint64, admitted bool) {
	if result, found := admission.waiters[ticket]; found {
		result <- admitted
		delete(admission.waiters, ticket)
	}
}
