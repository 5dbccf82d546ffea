package drain

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func snapshotOf(drain *Drain) *ebonywood.Snapshot {
	draft := ebonywood.NewDraft()
	drain.Contribute(draft)
	return draft.Publish()
}

// TestEndIsSetOnce has a process asked to stop twice.
func TestEndIsSetOnce(t *testing.T) {
	drain := New(6000)
	require.False(t, snapshotOf(drain).IsDraining())
	require.Zero(t, snapshotOf(drain).DrainDeadline())
	drain.Handle(1000, ebonywood.DrainRequested{})
	drain.Handle(3000, ebonywood.DrainRequested{})
	require.True(t, snapshotOf(drain).IsDraining())
	require.Equal(t, 7000-cutSpan, snapshotOf(drain).DrainDeadline())
}

// TestAnyTimeHasNoEnd lets a process leave that waits for every transaction.
func TestAnyTimeHasNoEnd(t *testing.T) {
	drain := &Drain{}
	drain.Handle(1000, ebonywood.DrainRequested{})
	require.True(t, snapshotOf(drain).IsDraining())
	require.Zero(t, snapshotOf(drain).DrainDeadline())
}
