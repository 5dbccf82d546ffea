package sessions

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestWriteGateCountsWrites checks that a stop of writes is complete when the last write
// that was in flight has ended, and that none begins meanwhile.
func TestWriteGateCountsWrites(t *testing.T) {
	stop := ebonywood.NewWriteStop(db, 1, 1)
	gate := &writeGate{}
	require.True(t, gate.enter())
	require.True(t, gate.enter())
	require.False(t, gate.close(stop, 0))
	require.False(t, gate.enter())
	require.True(t, gate.leave().IsZero())
	require.Equal(t, stop, gate.leave())
	require.True(t, gate.close(ebonywood.NewWriteStop(db, 1, 2), 0))
	gate.open()
	gate.open()
	require.True(t, gate.enter())
	require.True(t, gate.leave().IsZero())
}

// TestWritesAreHeldForALimitedTime checks that held writes go on when the stop ends, and
// are refused LimitHoldForPrimary after it began.
func TestWritesAreHeldForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := New(deafPort{servingPort: newServingPort(), member: &deafMember{}, start: time.Now()})
		hold := edge.limits.Duration(ebonywood.LimitHoldForPrimary)
		gate := edge.writeGate(db)
		gate.close(ebonywood.NewWriteStop(db, 1, 1), edge.now())
		start := time.Now()
		time.AfterFunc(hold/2, gate.open)
		require.True(t, edge.awaitWrites(t.Context(), db, start.Add(time.Hour)))
		require.Equal(t, hold/2, time.Since(start))

		gate.close(ebonywood.NewWriteStop(db, 1, 2), edge.now())
		start = time.Now()
		require.False(t, edge.awaitWrites(t.Context(), db, start.Add(time.Hour)))
		require.Equal(t, hold, time.Since(start))
		require.False(t, edge.awaitWrites(t.Context(), db, start.Add(time.Hour)), "refused at once")
		require.Equal(t, hold, time.Since(start))
	})
}
