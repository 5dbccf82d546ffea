package rungroup

import (
	"context"
	"errors"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStopEndsAll(t *testing.T) {
	var group Group
	for range 3 {
		group.Go(func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
	}
	group.Stop()
	require.NoError(t, group.Wait())
}

func TestOneFailureStopsAll(t *testing.T) {
	failure := errors.New("broken")
	group := New(context.Background())
	group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	group.Go(func(context.Context) error { return failure })
	require.ErrorIs(t, group.Wait(), failure)
}

func TestPanicStopsAll(t *testing.T) {
	group := New(context.Background())
	group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	group.Go(func(context.Context) error { panic("lost") })
	require.ErrorContains(t, group.Wait(), "lost")
}

// An owner that waits for its group is about to release what the group's work uses, so
// nothing may start after that.
func TestFinishedGroupStartsNothing(t *testing.T) {
	var group Group
	group.Stop()
	require.NoError(t, group.Wait())
	require.False(t, group.Go(func(context.Context) error { panic("started") }))
	require.NoError(t, group.Wait())
}

// The control loop starts work in an edge's group while that edge stops. Each work that
// started has to be over when Wait returns. The race detector checks the rest.
func TestWorkThatStartsDuringWaitIsAwaited(t *testing.T) {
	const rounds, starts = 200, 20
	for range rounds {
		group := New(context.Background())
		var running atomic.Int64
		var starter Group
		starter.Go(func(context.Context) error {
			for range starts {
				group.Go(func(context.Context) error {
					running.Add(1)
					defer running.Add(-1)
					runtime.Gosched()
					return nil
				})
			}
			return nil
		})
		group.Stop()
		require.NoError(t, group.Wait())
		require.Zero(t, running.Load())
		require.NoError(t, starter.Wait())
		require.Zero(t, running.Load())
	}
}
