package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestRequestForATokenOutlivesFailedCalls guards against a holder of the duty that never
// orders again: a request for a greater token was forgotten if the one call for it failed.
func TestRequestForATokenOutlivesFailedCalls(t *testing.T) {
	failure := ebonywood.NewFault(ebonywood.KindUnavailable, "no response", "")
	fake := &fakeDirectory{}
	edge := New(fakePort{directory: fake})
	keeper := &keeper{edge: edge, dutyLease: lease{id: ebonywood.NewLeaseID(1, 1), ttl: 60_000, renewedAt: time.Now()}}
	edge.applyDuty(t.Context(), ebonywood.NewItem(dutyKey, edge.claimValue(), atRevision(50)), atRevision(50))
	require.True(t, edge.Perform(ebonywood.RenewToken{}))
	fake.replace = func() (ebonywood.Revision, error) { return ebonywood.Revision{}, failure }
	for range 3 {
		require.Error(t, keeper.renewToken(t.Context()))
		require.True(t, edge.renewRequested)
	}
	fake.replace = func() (ebonywood.Revision, error) { return atRevision(60), nil }
	require.NoError(t, keeper.renewToken(t.Context()))
	require.False(t, edge.renewRequested)
	require.Equal(t, atRevision(60), edge.duty.Revision())
	require.True(t, edge.holdsDuty)
}
