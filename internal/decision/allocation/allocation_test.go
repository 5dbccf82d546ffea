package allocation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

const (
	fleetSize = 12
	// testLeaseTTL is the time to live of an allocator's lease.
	testLeaseTTL ebonywood.Millis = 6000
)

// newFleet returns the decisions of proxies that know each other and an object set whose
// workspace has a rate.
func newFleet(rate float64) (fleet []*Allocation) {
	workspace := ebonywood.NewWorkspace("w", nil, nil, 0).WithRate(rate, 1)
	set := ebonywood.NewObjectSet(1, "", nil, nil, nil).WithWorkspaces([]*ebonywood.Workspace{workspace})
	var reports []ebonywood.ProxyReport
	for i := range fleetSize {
		name := fmt.Sprintf("p%d", i)
		fleet = append(fleet, New(name, name, 4, testLeaseTTL))
		reports = append(reports, ebonywood.NewProxyReport(ebonywood.NewPeerView(name, "z", name), nil, false))
	}
	for _, proxy := range fleet {
		proxy.Handle(0, ebonywood.NewObjectSetApplied(set))
		proxy.Handle(0, ebonywood.NewProxyReportsListed(reports))
	}
	return fleet
}

// claims returns the numbers that a proxy claims at a time.
func claims(proxy *Allocation, now ebonywood.Millis) (numbers []int) {
	for _, action := range proxy.Handle(now, ebonywood.Tick{}) {
		numbers = append(numbers, action.(ebonywood.ClaimAllocator).Number())
	}
	return numbers
}

// TestOneProxyClaimsEachKeyFirst guards against keys that many proxies claim, each of which
// costs calls to the store, and against keys that nobody claims.
func TestOneProxyClaimsEachKeyFirst(t *testing.T) {
	count := map[int]int{}
	for _, proxy := range newFleet(1) {
		for _, number := range claims(proxy, settleTime) {
			count[number]++
		}
	}
	require.Equal(t, map[int]int{0: 1, 1: 1, 2: 1, 3: 1}, count)
}

// TestNextProxyClaimsAKeyThatStaysFree guards against a key that stays free because the first
// proxy in its order does not claim it.
func TestNextProxyClaimsAKeyThatStaysFree(t *testing.T) {
	claimed := map[int]int{}
	for _, proxy := range newFleet(1) {
		if len(claims(proxy, settleTime)) > 0 {
			continue
		}
		for _, number := range claims(proxy, settleTime+4*claimStep) {
			claimed[number]++
		}
	}
	require.Len(t, claimed, 4)
	for number, count := range claimed {
		require.LessOrEqual(t, count, 5, "allocator %d", number)
	}
}

// TestNothingIsClaimedWithoutARate guards against calls to the store in a deployment without
// workspaces that have a rate.
func TestNothingIsClaimedWithoutARate(t *testing.T) {
	for _, proxy := range newFleet(0) {
		require.Empty(t, claims(proxy, settleTime))
		require.Empty(t, claims(proxy, 100*settleTime))
		proxy.Handle(0, ebonywood.NewAllocatorsListed([]ebonywood.Allocator{ebonywood.NewAllocator(0, "p1", "p1", "n")}))
		draft := ebonywood.NewDraft()
		proxy.Contribute(draft)
		require.Empty(t, draft.Publish().Allocators())
	}
}

// TestKeyOfAnEarlierRun guards against a key that is taken over before the tokens of the holder
// before its holder have expired, and against one that is left to expire needlessly.
func TestKeyOfAnEarlierRun(t *testing.T) {
	for _, settled := range []bool{false, true} {
		proxy := newFleet(1)[0]
		var listed []ebonywood.Allocator
		for number := range 4 {
			listed = append(listed, ebonywood.NewAllocator(number, "p1", "p1", "n"))
		}
		listed[2] = ebonywood.NewAllocator(2, "p0", "p0", "earlier").WithSettled(settled)
		proxy.Handle(0, ebonywood.NewAllocatorsListed(listed))
		require.Equal(t, settled, len(claims(proxy, settleTime)) == 1)
		require.Empty(t, claims(proxy, settleTime+claimRetry-1), "a claim is not repeated at once")
	}
}

// TestNothingIsClaimedInAnOutage guards against calls of all proxies to a store that does not
// respond, and against claims of all proxies at once when it is back.
func TestNothingIsClaimedInAnOutage(t *testing.T) {
	fleet := newFleet(1)
	count := 0
	for _, proxy := range fleet {
		proxy.Handle(0, ebonywood.NewDirectoryReachabilityChanged(false))
		require.Empty(t, claims(proxy, 50*settleTime))
	}
	for _, proxy := range fleet {
		proxy.Handle(0, ebonywood.NewDirectoryReachabilityChanged(true))
		count += len(claims(proxy, 100*settleTime))
	}
	require.Equal(t, 4, count)
}

// TestLeavingProxyClaimsNothing guards against an allocator that ends soon after its start.
func TestLeavingProxyClaimsNothing(t *testing.T) {
	for _, proxy := range newFleet(1) {
		proxy.Handle(0, ebonywood.DrainRequested{})
		require.Empty(t, claims(proxy, 100*settleTime))
	}
}

// TestNoKeyIsClaimedSoonAfterARestore guards against QUOTA: the directory was restored from a backup
// that lacks the key of an allocator, which deals until its lease would have ended.
func TestNoKeyIsClaimedSoonAfterARestore(t *testing.T) {
	const restoredAt ebonywood.Millis = 20_000
	for _, proxy := range newFleet(1) {
		proxy.Handle(restoredAt, ebonywood.DirectoryRestored{})
		proxy.Handle(restoredAt, ebonywood.NewAllocatorsListed(nil))
		for now := restoredAt; now < restoredAt+testLeaseTTL; now += claimStep / 4 {
			require.Empty(t, claims(proxy, now))
		}
		for now := restoredAt + testLeaseTTL; len(claims(proxy, now)) == 0; now += claimStep / 4 {
			require.Less(t, now, restoredAt+testLeaseTTL+fleetSize*claimStep)
		}
	}
}
