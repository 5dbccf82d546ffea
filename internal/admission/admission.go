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
// later when more urgent work has overtaken it. RefuseAll ends waits with it, too.
var ErrRefused = errors.New("the predicted wait is too long")

// ErrTimeout is returned when the time to wait or the context of the work ended before a
// slot became free.
var ErrTimeout = errors.New("no slot became free in time")

// Controller grants the slots of one member. It is safe for concurrent use.
type Controller struct {
	start time.Time

	mutex sync.Mutex
	queue *queue.Queue
	// waiters has a channel for each waiting ticket. It receives once: true when the work
	// is admitted, false when it is refused.
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
// the expected duration of the work if hasEstimate is set, and deadline is when it must
// be done. wait is the predicted wait, also on error. The error is ErrRefused or
// ErrTimeout.
func (controller *Controller) Acquire(
	ctx context.Context, route *ebonywood.Route, shape uint64, expectedCost time.Duration, hasEstimate bool,
	deadline, waitUntil time.Time,
) (ticket uint64, wait time.Duration, err error) {
	work := queue.NewWork(shape, route.Priority(), route.Name(), route.Weight(), expectedCost, deadline.Sub(controller.start))
	if !hasEstimate {
		work = work.WithoutEstimate()
	}
	return controller.acquire(ctx, work, waitUntil)
}

// AcquireFor is like Acquire for work with an estimated cost that belongs to a workspace,
// nil if it belongs to none, and is late if it has not ended by inTimeUntil. Workspaces
// share the slots by their weight, work without a workspace shares them by its route.
func (controller *Controller) AcquireFor(
	ctx context.Context, route *ebonywood.Route, workspace *ebonywood.Workspace, shape uint64, expectedCost time.Duration,
	inTimeUntil, deadline, waitUntil time.Time,
) (ticket uint64, wait time.Duration, err error) {
	work := queue.NewWork(shape, route.Priority(), route.Name(), route.Weight(), expectedCost, deadline.Sub(controller.start)).
		WithObjective(inTimeUntil.Sub(controller.start))
	if workspace != nil {
		work = work.WithWorkspace(workspace.Name(), workspace.Weight())
	}
	return controller.acquire(ctx, work, waitUntil)
}

// acquire waits for a slot for the work until ctx ends or waitUntil has passed.
func (controller *Controller) acquire(
	ctx context.Context, work queue.Work, waitUntil time.Time,
) (ticket uint64, wait time.Duration, err error) {
	if ctx.Err() != nil {
		return 0, 0, ErrTimeout
	}
	controller.mutex.Lock()
	controller.lastTicket++
	ticket = controller.lastTicket
	wait, accepted := controller.queue.Add(ticket, work, controller.now())
	if !accepted {
		controller.mutex.Unlock()
		return 0, wait, ErrRefused
	}
	result := make(chan bool, 1)
	controller.waiters[ticket] = result
	controller.admitWaiting()
	controller.mutex.Unlock()
	select {
	case admitted := <-result:
		return controller.outcome(ticket, wait, admitted)
	default:
	}
	timer := time.NewTimer(time.Until(waitUntil))
	defer timer.Stop()
	select {
	case admitted := <-result:
		return controller.outcome(ticket, wait, admitted)
	case <-ctx.Done():
	case <-timer.C:
	}
	return 0, wait, controller.withdraw(ticket, result)
}

// outcome returns the results of Acquire for work that was admitted or refused.
func (controller *Controller) outcome(ticket uint64, wait time.Duration, admitted bool) (uint64, time.Duration, error) {
	if !admitted {
		return 0, wait, ErrRefused
	}
	return ticket, wait, nil
}

// now returns the time since start, which is the queue's origin of time.
func (controller *Controller) now() time.Duration { return time.Since(controller.start) }

// withdraw ends the wait for a ticket whose time is over, and returns the error of that
// wait. Its result may have been sent in the meantime: work that was refused stays
// refused, and work that was admitted releases its slot.
func (controller *Controller) withdraw(ticket uint64, result <-chan bool) error {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if _, waiting := controller.waiters[ticket]; waiting {
		delete(controller.waiters, ticket)
		controller.queue.Remove(ticket)
		return ErrTimeout
	}
	if admitted := <-result; !admitted {
		return ErrRefused
	}
	controller.releaseLocked(ticket, 0)
	return ErrTimeout
}

// Release frees the slot of a ticket that held it for the elapsed time.
func (controller *Controller) Release(ticket uint64, elapsed time.Duration) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.releaseLocked(ticket, elapsed)
}

// releaseLocked frees the slot of a ticket and admits waiting work; the mutex is held.
func (controller *Controller) releaseLocked(ticket uint64, elapsed time.Duration) {
	controller.queue.Done(ticket, elapsed)
	controller.running--
	controller.admitWaiting()
}

// UpdateCost sets the cost of a shape that had no estimate for its work that already
// waits.
func (controller *Controller) UpdateCost(shape uint64, cost time.Duration) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.queue.UpdateCost(shape, cost)
	controller.admitWaiting()
}

// Resize changes the number of slots.
func (controller *Controller) Resize(slots int) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.queue.Resize(slots)
	controller.admitWaiting()
}

// RefuseAll refuses all waiting work.
func (controller *Controller) RefuseAll() {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	for ticket := range controller.waiters {
		controller.queue.Remove(ticket)
		controller.notify(ticket, false)
	}
}

// ExpectedWait returns the time that a short statement arriving now is expected to wait.
func (controller *Controller) ExpectedWait() time.Duration {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.queue.ExpectedWait()
}

// Running returns the number of occupied slots.
func (controller *Controller) Running() int {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.running
}

// admitWaiting refuses work that can't end in time any more and gives the free slots to
// waiting work; the mutex is held.
func (controller *Controller) admitWaiting() {
	for _, ticket := range controller.queue.Evict(controller.now()) {
		controller.notify(ticket, false)
	}
	for {
		ticket, found := controller.queue.Pop()
		if !found {
			return
		}
		controller.running++
		controller.notify(ticket, true)
	}
}

// notify wakes the goroutine that waits for a ticket; the mutex is held.
func (controller *Controller) notify(ticket uint64, admitted bool) {
	if result, found := controller.waiters[ticket]; found {
		result <- admitted
		delete(controller.waiters, ticket)
	}
}
