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

func enter(admission *Controller, route *ebonywood.Route, cost, deadline, maxWait time.Duration) (uint64, error) {
	now := time.Now()
	ticket, _, err := admission.Acquire(context.Background(), route, 1, cost, true, now.Add(deadline), now.Add(maxWait))
	return ticket, err
}

func TestFreedSlotGoesToWaitingWork(t *testing.T) {
	admission := New(1)
	first, err := enter(admission, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	done := make(chan uint64)
	go func() {
		second, _ := enter(admission, route("a", true), time.Millisecond, far, far)
		done <- second
	}()
	require.Equal(t, 1, admission.Running())
	admission.Release(first, time.Millisecond)
	require.NotEqual(t, first, <-done)
}

// Work whose wait times out must not keep a slot from the work after it.
func TestTimedOutWorkReturnsItsTicket(t *testing.T) {
	admission := New(1)
	first, err := enter(admission, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	_, err = enter(admission, route("a", true), time.Millisecond, far, time.Millisecond)
	require.ErrorIs(t, err, ErrTimeout)
	admission.Release(first, time.Millisecond)
	require.Zero(t, admission.Running())
	_, err = enter(admission, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
}

// The running work takes longer than the time until the deadline.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	admission := New(1)
	_, err := enter(admission, route("a", true), time.Minute, far, far)
	require.NoError(t, err)
	_, err = enter(admission, route("a", true), time.Second, 2*time.Second, far)
	require.ErrorIs(t, err, ErrRefused)
}

func TestRefuseAll(t *testing.T) {
	admission := New(1)
	_, err := enter(admission, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := enter(admission, route("a", true), time.Millisecond, far, far)
		done <- err
	}()
	for waiting := true; waiting; {
		admission.RefuseAll()
		select {
		case err := <-done:
			require.ErrorIs(t, err, ErrRefused)
			waiting = false
		default:
		}
	}
}
