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

func TestMajorityConfirms(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	batch.Add(2, 2)
	require.True(t, batch.Begin())
	require.False(t, batch.Begin(), "one confirmation is in flight")
	require.Empty(t, batch.ApplyPrimaryStatus("m0", primaryAt(2, 10)))
	confirmed, _ := batch.TakeConfirmed()
	require.Empty(t, confirmed, "the primary alone is not a majority")
	confirmed, at := batch.RecordConfirmation("m1", batch.Round())
	require.Equal(t, []uint64{1, 2}, confirmed)
	require.Equal(t, ebonywood.NewPosition(2, 10), at)
}

func TestAnotherTermLosesTheTransaction(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	batch.Add(2, 3)
	require.True(t, batch.Begin())
	require.Equal(t, []uint64{1}, batch.ApplyPrimaryStatus("m0", primaryAt(3, 10)))
}

func TestFormerPrimaryConfirmsNothing(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	require.True(t, batch.Begin())
	at := ebonywood.NewPosition(2, 10)
	require.Equal(t, []uint64{1}, batch.ApplyPrimaryStatus("m0", ebonywood.NewStatus(ebonywood.RoleFormerPrimary, 2, at, at, 0)))
}

func TestReplyOfAnEarlierRoundDoesNotCount(t *testing.T) {
	batch := New(3)
	batch.Add(1, 2)
	require.True(t, batch.Begin())
	earlier := batch.Round()
	batch.Abort()
	batch.Add(2, 2)
	require.True(t, batch.Begin())
	batch.ApplyPrimaryStatus("m0", primaryAt(2, 10))
	confirmed, _ := batch.RecordConfirmation("m1", earlier)
	require.Empty(t, confirmed)
	confirmed, _ = batch.RecordConfirmation("m0", batch.Round())
	require.Empty(t, confirmed, "the primary counts once")
}

func TestSingleMemberIsItsOwnMajority(t *testing.T) {
	batch := New(1)
	batch.Add(1, 2)
	require.True(t, batch.Begin())
	batch.ApplyPrimaryStatus("m0", primaryAt(2, 10))
	confirmed, _ := batch.TakeConfirmed()
	require.Equal(t, []uint64{1}, confirmed)
}
