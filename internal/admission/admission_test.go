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

func enter(each *Admission, route *ebonywood.Route, cost, deadline, patience time.Duration) (uint64, error) {
	now := time.Now()
	ticket, _, err := each.Enter(context.Background(), route, 1, cost, true, now.Add(deadline), now.Add(patience))
	return ticket, err
}

func TestPlacesAreHandedOn(t *testing.T) {
	each := New(1)
	first, err := enter(each, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	done := make(chan uint64)
	go func() {
		second, _ := enter(each, route("a", true), time.Millisecond, far, far)
		done <- second
	}()
	require.Equal(t, 1, each.Running())
	each.Leave(first, time.Millisecond)
	require.NotEqual(t, first, <-done)
}

// TestLateWorkGivesItsTicketBack so that the place goes to the next.
func TestLateWorkGivesItsTicketBack(t *testing.T) {
	each := New(1)
	first, err := enter(each, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	_, err = enter(each, route("a", true), time.Millisecond, far, time.Millisecond)
	require.ErrorIs(t, err, ErrTimeout)
	each.Leave(first, time.Millisecond)
	require.Zero(t, each.Running())
	_, err = enter(each, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
}

// TestOverloadIsRefusedAtOnce: the work ahead takes longer than there is time.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	each := New(1)
	_, err := enter(each, route("a", true), time.Minute, far, far)
	require.NoError(t, err)
	_, err = enter(each, route("a", true), time.Second, 2*time.Second, far)
	require.ErrorIs(t, err, ErrRefused)
}

func TestRefuseAll(t *testing.T) {
	each := New(1)
	_, err := enter(each, route("a", true), time.Millisecond, far, far)
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := enter(each, route("a", true), time.Millisecond, far, far)
		done <- err
	}()
	for waiting := true; waiting; {
		each.RefuseAll()
		select {
		case err := <-done:
			require.ErrorIs(t, err, ErrRefused)
			waiting = false
		default:
		}
	}
}
