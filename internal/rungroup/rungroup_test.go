package rungroup

import (
	"context"
	"errors"
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
