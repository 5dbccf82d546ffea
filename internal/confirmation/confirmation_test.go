package confirmation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func primaryAt(term ebonywood.Term, offset uint64) ebonywood.Status {
	at := ebonywood.NewPosition(term, offset)
	return ebonywood.NewStatus(ebonywood.RolePrimary, term, at, at, 0)
}

func TestMajoritySettles(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	batch.Add(2, 2)
	require.True(t, batch.Begin())
	require.False(t, batch.Begin(), "one at a time")
	require.Empty(t, batch.Anchor("m0", primaryAt(2, 10)))
	settled, _ := batch.Settle()
	require.Empty(t, settled, "the primary alone is no majority")
	settled, at := batch.Agree("m1", batch.Round())
	require.Equal(t, []uint64{1, 2}, settled)
	require.Equal(t, ebonywood.NewPosition(2, 10), at)
}

func TestAnotherTermLosesTheTicket(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	batch.Add(2, 3)
	require.True(t, batch.Begin())
	require.Equal(t, []uint64{1}, batch.Anchor("m0", primaryAt(3, 10)))
}

func TestReplicaIsNoAnchor(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	require.True(t, batch.Begin())
	at := ebonywood.NewPosition(2, 10)
	require.Equal(t, []uint64{1}, batch.Anchor("m0", ebonywood.NewStatus(ebonywood.RoleFormerPrimary, 2, at, at, 0)))
}

func TestLateAnswerDoesNotCount(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	require.True(t, batch.Begin())
	earlier := batch.Round()
	batch.Abandon()
	batch.Add(2, 2)
	require.True(t, batch.Begin())
	batch.Anchor("m0", primaryAt(2, 10))
	settled, _ := batch.Agree("m1", earlier)
	require.Empty(t, settled)
	settled, _ = batch.Agree("m0", batch.Round())
	require.Empty(t, settled, "the primary counts once")
}

func TestSingleMemberIsItsOwnMajority(t *testing.T) {
	batch := New(1)
	batch.Add(1, 2)
	require.True(t, batch.Begin())
	batch.Anchor("m0", primaryAt(2, 10))
	settled, _ := batch.Settle()
	require.Equal(t, []uint64{1}, settled)
}
