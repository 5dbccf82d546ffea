package admission

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
