// Package admission lets work wait for the places of one member: its slots, or the
// connections to it. Who goes first and who is refused is the queue's decision;
// this package holds the goroutines that wait, and the clock.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/queue"
)

// ErrRefused says that the work can't be done in time; it has not waited, or has
// been overtaken by more urgent work.
var ErrRefused = errors.New("the predicted wait is too long")

// ErrLate says that the wait ended without a place.
var ErrTimeout = errors.New("no place became free in time")

// Admission hands out the places of one member. It belongs to many goroutines.
type Admission struct {
	start time.Time

	mutex   sync.Mutex
	queue   *queue.Queue
	grants  map[uint64]chan bool
	tickets uint64
	running int
}

// New makes an admission with so many places.
func New(places int) *Admission {
	return &Admission{start: time.Now(), queue: queue.New(places), grants: map[uint64]chan bool{}}
}

// Enter waits for a place until ctx ends or the patience is over. expected is the
// cost of the work if known is set, and deadline when it has to be done. wait is
// the predicted wait; the errors are ErrRefused and ErrLate.
func (admission *Admission) Enter(
	ctx context.Context, route *ebonywood.Route, shape uint64, expected time.Duration, known bool,
	deadline, patience time.Time,
) (ticket uint64, wait time.Duration, err error) {
	admission.mutex.Lock()
	admission.tickets++
	ticket = admission.tickets
	wait, accepted := admission.queue.Push(ticket, shape, route.Name(), route.Weight(), route.IsPaid(),
		expected, known, admission.now(), deadline.Sub(admission.start))
	if !accepted {
		admission.mutex.Unlock()
		return 0, wait, ErrRefused
	}
	granted := make(chan bool, 1)
	admission.grants[ticket] = granted
	admission.grant()
	admission.mutex.Unlock()
	select {
	case started := <-granted:
		return admission.settle(ticket, wait, started)
	default:
	}
	timer := time.NewTimer(time.Until(patience))
	defer timer.Stop()
	select {
	case started := <-granted:
		return admission.settle(ticket, wait, started)
	case <-ctx.Done():
	case <-timer.C:
	}
	admission.withdraw(ticket)
	return 0, wait, ErrTimeout
}

func (admission *Admission) settle(ticket uint64, wait time.Duration, started bool) (uint64, time.Duration, error) {
	if !started {
		return 0, wait, ErrRefused
	}
	return ticket, wait, nil
}

func (admission *Admission) now() time.Duration { return time.Since(admission.start) }

// withdraw takes a ticket back that was not granted, or frees its place if the
// grant came at the same moment.
func (admission *Admission) withdraw(ticket uint64) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	delete(admission.grants, ticket)
	if !admission.queue.Remove(ticket) {
		admission.free(ticket, 0)
	}
}

// Leave frees a place that was held for took.
func (admission *Admission) Leave(ticket uint64, took time.Duration) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.free(ticket, took)
}

func (admission *Admission) free(ticket uint64, took time.Duration) {
	admission.queue.Done(ticket, took)
	admission.running--
	admission.grant()
}

// Learned tells the cost of a shape that was new to those of its work that wait.
func (admission *Admission) UpdateCost(shape uint64, cost time.Duration) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.queue.Learned(shape, cost)
	admission.grant()
}

// Resize changes the number of places.
func (admission *Admission) Resize(places int) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.queue.Resize(places)
	admission.grant()
}

// RefuseAll refuses all that waits.
func (admission *Admission) RefuseAll() {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	for ticket := range admission.grants {
		admission.queue.Remove(ticket)
		admission.answer(ticket, false)
	}
}

// Load is the expected time to start of a short statement that comes now.
func (admission *Admission) Load() time.Duration {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.Load()
}

// Running is how many places are taken.
func (admission *Admission) Running() int {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.running
}

// grant gives the free places to what waits; the mutex is held.
func (admission *Admission) grant() {
	for _, ticket := range admission.queue.Evict(admission.now()) {
		admission.answer(ticket, false)
	}
	for {
		ticket, found := admission.queue.Pop()
		if !found {
			return
		}
		admission.running++
		admission.answer(ticket, true)
	}
}

func (admission *Admission) answer(ticket uint64, started bool) {
	if granted, waits := admission.grants[ticket]; waits {
		granted <- started
		delete(admission.grants, ticket)
	}
}
