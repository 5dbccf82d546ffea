package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func peer(number, zones int) ebonywood.PeerView {
	return ebonywood.NewPeerView(fmt.Sprintf("p%03d", number), fmt.Sprintf("z%d", number%zones), fmt.Sprintf("10.0.0.%d:7441", number))
}

func reports(proxies, zones int) ebonywood.ProxyReportsListed {
	var listed []ebonywood.ProxyReport
	for i := range proxies {
		listed = append(listed, ebonywood.NewProxyReport(peer(i, zones), nil, false))
	}
	return ebonywood.NewProxyReportsListed(listed)
}

func set(instances, connections int) ebonywood.ObjectSetApplied {
	var all []ebonywood.Instance
	for i := range instances {
		all = append(all, ebonywood.NewInstance(ebonywood.InstanceID(fmt.Sprintf("db%d", i)), nil).WithLimits(connections, 0))
	}
	return ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(1, "", nil, all, nil))
}

// newPlacement returns the decision of proxy self in a fleet of the given size.
func newPlacement(self, proxies, zones, instances, connections int) *Placement {
	placement := New(peer(self, zones), 8)
	placement.Handle(0, set(instances, connections))
	placement.Handle(0, reports(proxies, zones))
	return placement
}

func TestSmallFleetsServeEverythingEverywhere(t *testing.T) {
	for _, size := range []struct{ proxies, zones int }{{1, 1}, {6, 4}, {7, 3}, {8, 1}} {
		placement := newPlacement(0, size.proxies, size.zones, 3, 22)
		require.Len(t, placement.owners.ForInstance("db0"), size.proxies, "%+v", size)
	}
}

// TestAllProxiesComputeTheSameOwners also checks that each zone has servers of each
// instance, and that no proxy serves more than half of the instances.
func TestAllProxiesComputeTheSameOwners(t *testing.T) {
	const proxies, zones, instances = 74, 3, 8
	first := newPlacement(0, proxies, zones, instances, 46)
	load := map[string]int{}
	for i := 1; i < proxies; i++ {
		require.Equal(t, first.owners.ByInstance(), newPlacement(i, proxies, zones, instances, 46).owners.ByInstance())
	}
	for _, servers := range first.owners.ByInstance() {
		byZone := map[string]int{}
		for _, peer := range servers {
			byZone[peer.Zone()]++
			load[peer.Name()]++
		}
		require.Len(t, byZone, zones)
		require.Len(t, servers, 9)
	}
	for name, count := range load {
		require.LessOrEqual(t, count, instances/2, name)
	}
}

// TestFewConnectionsMeanFewServers checks the lower bound of one server in each zone.
func TestFewConnectionsMeanFewServers(t *testing.T) {
	require.Len(t, newPlacement(0, 30, 3, 1, 8).owners.ForInstance("db0"), 3)
	require.Len(t, newPlacement(0, 30, 3, 1, 3).owners.ForInstance("db0"), 3)
	require.Len(t, newPlacement(0, 30, 1, 1, 3).owners.ForInstance("db0"), 1)
}

// TestLossReassignsOnlyLostServers checks that after the loss of a proxy all other
// servers of each instance stay.
func TestLossReassignsOnlyLostServers(t *testing.T) {
	placement := newPlacement(0, 74, 3, 8, 46)
	before := placement.owners
	lost := before.ForInstance("db0")[0]
	var remaining []ebonywood.ProxyReport
	for i := range 74 {
		if peer(i, 3) != lost {
			remaining = append(remaining, ebonywood.NewProxyReport(peer(i, 3), nil, false))
		}
	}
	actions := placement.Handle(0, ebonywood.NewProxyReportsListed(remaining))
	require.Len(t, actions, 1)
	for id, servers := range placement.owners.ByInstance() {
		for _, server := range before.ForInstance(id) {
			require.True(t, server == lost || placement.owners.IsOwner(id, server.Name()), "%s lost %s", id, server.Name())
		}
		require.Len(t, servers, 9)
	}
	require.Empty(t, placement.Handle(0, ebonywood.NewProxyReportsListed(remaining)), "nothing changed")
}

func TestLeavingProxyServesNothing(t *testing.T) {
	placement := newPlacement(0, 7, 3, 1, 22)
	require.Equal(t, []ebonywood.Action{ebonywood.AnnounceLeaving{}}, placement.Handle(0, ebonywood.DrainRequested{}))
	listed := reports(7, 3).Reports()
	listed[0] = ebonywood.NewProxyReport(peer(0, 3), nil, true)
	placement.Handle(0, ebonywood.NewProxyReportsListed(listed))
	require.False(t, placement.owners.IsOwner("db0", "p000"))
	require.Len(t, placement.owners.ForInstance("db0"), 6)
}

// TestWatchersGrowSlowly checks that neither the calls to the directory nor the
// followers of one watcher grow in proportion to the fleet. A change of 150 KB has to
// reach all followers of a watcher over its link of 10 Mbit/s within 5 s.
func TestWatchersGrowSlowly(t *testing.T) {
	const zones, followersLimit = 3, 40
	for _, size := range []struct{ proxies, watchers int }{{7, 7}, {74, 9}, {300, 18}, {1000, 33}} {
		placement := newPlacement(0, size.proxies, zones, 3, 46)
		require.Len(t, placement.owners.Watchers(), size.watchers, "%d proxies", size.proxies)
		require.LessOrEqual(t, size.proxies/size.watchers, followersLimit)
	}
}
