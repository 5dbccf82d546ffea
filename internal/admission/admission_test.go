package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonywood/ebonywood"
)

const far = time.Hour

func route(name string, paid bool) *ebonywood.Route {
	return ebonywood.NewRoute(name, "", name, nil, nil, 0, 1, paid, false, ebonywood.Objective{})
}

func acquire(controller *Controller, route *ebonywood.Route, cost, deadline, maxWait time.Duration) (uint64, error) {
	now := time.Now()
	ticket, _, err := controller.Acquire(context.Background(), route, 1, cost, true, now.Add(deadline), now.Add(maxWait))
	return ticket, err
}

func TestFreedSlotGoesToWaitingWork(t *testing.T) {
	controller := New(1)
	first, err := acquire(controller, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	done := make(chan uint64)
	go func() {
		second, _ := acquire(controller, route("a", true), time.Millisecond, far, far)
		done <- second
	}()
	require.Equal(t, 1, controller.Running())
	controller.Release(first, time.Millisecond)
	require.NotEqual(t, first, <-done)
}

// Work whose wait times out must not keep a slot from the work after it.
func TestTimedOutWorkReturnsItsTicket(t *testing.T) {
	controller := New(1)
	first, err := acquire(controller, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	_, err = acquire(controller, route("a", true), time.Millisecond, far, time.Millisecond)
	require.ErrorIs(t, err, ErrTimeout)
	controller.Release(first, time.Millisecond)
	require.Zero(t, controller.Running())
	_, err = acquire(controller, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
}

// The running work takes longer than the time until the deadline.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	controller := New(1)
	_, err := acquire(controller, route("a", true), time.Minute, far, far)
	require.NoError(t, err)
	_, err = acquire(controller, route("a", true), time.Second, 2*time.Second, far)
	require.ErrorIs(t, err, ErrRefused)
}

func TestRefuseAll(t *testing.T) {
	controller := New(1)
	_, err := acquire(controller, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := acquire(controller, route("a", true), time.Millisecond, far, far)
		done <- err
	}()
	for waiting := true; waiting; {
		controller.RefuseAll()
		select {
		case err := <-done:
			require.ErrorIs(t, err, ErrRefused)
			waiting = false
		default:
		}
	}
}

// waiter is work whose Acquire has not returned, as the interleavings below hold it.
type waiter struct {
	ticket uint64
	result chan bool
}

// enqueue does what Acquire does before it waits, and keeps the ticket waiting.
func enqueue(controller *Controller) (waiter, bool) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.lastTicket++
	held := waiter{ticket: controller.lastTicket, result: make(chan bool, 1)}
	_, accepted := controller.queue.Push(held.ticket, 1, "a", 1, true, time.Millisecond, true, controller.now(), far)
	if !accepted {
		return waiter{}, false
	}
	controller.waiters[held.ticket] = held.result
	controller.admitWaiting()
	return held, true
}

// TestRefusalAndTimeoutReleaseOnce plays every order of admission, refusal, release and
// timeout. Only work that was admitted holds a slot, and work that was refused is never
// reported as timed out.
func TestRefusalAndTimeoutReleaseOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		controller := New(slots)
		var waiting []waiter
		running := map[uint64]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) {
				if held, accepted := enqueue(controller); accepted {
					waiting = append(waiting, held)
				}
			},
			"refuseAll": func(*rapid.T) { controller.RefuseAll() },
			"timeout": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("nothing waits")
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "waiter")
				held := waiting[i]
				waiting = append(waiting[:i], waiting[i+1:]...)
				refused := len(held.result) == 1
				if refused {
					refused = !<-held.result
					held.result <- !refused
				}
				err := controller.withdraw(held.ticket, held.result)
				if refused {
					require.ErrorIs(t, err, ErrRefused)
				} else {
					require.ErrorIs(t, err, ErrTimeout)
				}
			},
			"admit": func(t *rapid.T) {
				for i, held := range waiting {
					if len(held.result) == 0 {
						continue
					}
					waiting = append(waiting[:i], waiting[i+1:]...)
					if <-held.result {
						running[held.ticket] = true
					}
					return
				}
				t.Skip("no result")
			},
			"release": func(t *rapid.T) {
				for ticket := range running {
					delete(running, ticket)
					controller.Release(ticket, time.Millisecond)
					return
				}
				t.Skip("nothing runs")
			},
			"": func(t *rapid.T) {
				admitted := len(running)
				for _, held := range waiting {
					if len(held.result) == 0 {
						continue
					}
					result := <-held.result
					held.result <- result
					if result {
						admitted++
					}
				}
				require.Equal(t, admitted, controller.Running())
				require.LessOrEqual(t, controller.Running(), slots)
			},
		})
	})
}

// TestDisplacedWorkIsRefused fills the queue with work of a large priority number. Work that
// gives way to more urgent work must not wait on until its deadline.
func TestDisplacedWorkIsRefused(t *testing.T) {
	const capacity = 4096
	controller := New(1)
	_, err := acquire(controller, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var waits sync.WaitGroup
	refused := make(chan struct{}, capacity)
	wait := func(priority int) {
		waits.Go(func() {
			now := time.Now()
			_, _, err := controller.AcquireFor(ctx, route("a", false).WithPriority(priority), nil, 1, time.Millisecond,
				now.Add(far), now.Add(far), now.Add(far))
			if errors.Is(err, ErrRefused) {
				refused <- struct{}{}
			}
		})
	}
	for range capacity {
		wait(2)
	}
	require.Eventually(t, func() bool {
		controller.mutex.Lock()
		defer controller.mutex.Unlock()
		return len(controller.waiters) == capacity
	}, time.Minute, time.Millisecond)
	wait(0)
	select {
	case <-refused:
	case <-time.After(10 * time.Second):
		t.Error("the displaced work still waits")
	}
	cancel()
	waits.Wait()
	require.Empty(t, refused)
}
