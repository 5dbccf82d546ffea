package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
)

func newMembership(t *testing.T) *Membership {
	settings, err := settingsfile.Parse("test", []byte("name: self\nzone: z1\ncallerAddress: 10.0.0.1:1\n"+
		"peerAddress: 10.0.0.1:7\nseeds: [\"10.0.0.2:7\"]\nplatform: {addresses: [\"http://10.0.0.1:1\"]}\n"))
	require.NoError(t, err)
	return New(settings)
}

func update(number int, incarnation uint64, state ebonywood.PeerState) ebonywood.PeerUpdate {
	peer := ebonywood.NewPeerView(fmt.Sprintf("p%d", number), fmt.Sprintf("z%d", number), fmt.Sprintf("10.0.0.%d:7", number))
	return ebonywood.NewPeerUpdate(peer, incarnation, state)
}

func receive(membership *Membership, now ebonywood.Millis, updates ...ebonywood.PeerUpdate) {
	membership.Handle(now, ebonywood.NewGossipReceived(updates, 0, 0, "10.0.0.2:7"))
}

func names(membership *Membership) []string {
	var names []string
	for _, peer := range membership.peers {
		names = append(names, peer.Name())
	}
	return names
}

func TestSeedIsProbedForFullState(t *testing.T) {
	actions := newMembership(t).Handle(10, ebonywood.Tick{})
	require.Len(t, actions, 1)
	probe, ok := actions[0].(ebonywood.ProbePeer)
	require.True(t, ok)
	require.True(t, probe.RequestsFullState())
	require.Equal(t, "10.0.0.2:7", probe.Address())
}

func TestSuspectDiesUnlessRefuted(t *testing.T) {
	for _, refuted := range []bool{false, true} {
		membership := newMembership(t)
		receive(membership, 0, update(2, 1, ebonywood.PeerAlive), update(3, 1, ebonywood.PeerAlive))
		receive(membership, 100, update(2, 1, ebonywood.PeerSuspect))
		require.Contains(t, names(membership), "p2", "a suspect still counts as live")
		if refuted {
			receive(membership, 200, update(2, 2, ebonywood.PeerAlive))
		}
		for now := ebonywood.Millis(200); now < 10_000; now += 10 {
			for _, action := range membership.Handle(now, ebonywood.Tick{}) {
				if probe, ok := action.(ebonywood.ProbePeer); ok && probe.Number() != 0 {
					membership.Handle(now, ebonywood.NewProbeEnded(probe.Number(), true))
				}
			}
		}
		require.Equal(t, refuted, contains(names(membership), "p2"))
	}
}

func contains(names []string, wanted string) bool {
	for _, name := range names {
		if name == wanted {
			return true
		}
	}
	return false
}

func TestSuspicionOfSelfIsRefuted(t *testing.T) {
	membership := newMembership(t)
	self := ebonywood.NewPeerUpdate(membership.self, membership.incarnation, ebonywood.PeerSuspect)
	receive(membership, 0, self)
	require.True(t, membership.ownUpdate().Overrides(self))
	require.Equal(t, ebonywood.PeerAlive, membership.ownUpdate().State())
}

func TestOldUpdateDoesNotReviveDeadPeer(t *testing.T) {
	membership := newMembership(t)
	receive(membership, 0, update(2, 3, ebonywood.PeerAlive))
	receive(membership, 10, update(2, 3, ebonywood.PeerDead))
	receive(membership, 20, update(2, 3, ebonywood.PeerAlive), update(2, 2, ebonywood.PeerAlive))
	require.NotContains(t, names(membership), "p2")
	receive(membership, 30, update(2, 4, ebonywood.PeerAlive))
	require.Contains(t, names(membership), "p2")
}

// The loss of a single network path must not make a proxy suspect.
func TestFailedProbeIsRepeatedThroughOtherZones(t *testing.T) {
	membership := newMembership(t)
	receive(membership, 0, update(2, 1, ebonywood.PeerAlive), update(3, 1, ebonywood.PeerAlive), update(4, 1, ebonywood.PeerAlive))
	var probe ebonywood.ProbePeer
	for now := ebonywood.Millis(10); probe.Number() == 0; now += 10 {
		for _, action := range membership.Handle(now, ebonywood.Tick{}) {
			if found, ok := action.(ebonywood.ProbePeer); ok {
				probe = found
			}
		}
	}
	actions := membership.Handle(1000, ebonywood.NewProbeEnded(probe.Number(), false))
	require.NotEmpty(t, actions)
	for _, action := range actions {
		repeated, ok := action.(ebonywood.ProbePeer)
		require.True(t, ok)
		require.NotEmpty(t, repeated.Via())
		require.Equal(t, probe.Address(), repeated.Address())
	}
	require.Len(t, names(membership), 4)
}

func TestNewerSetIsFetchedAndPushed(t *testing.T) {
	membership := newMembership(t)
	receive(membership, 0, update(2, 1, ebonywood.PeerAlive))
	actions := membership.Handle(10, ebonywood.NewGossipReceived(nil, 5, 0, "10.0.0.2:7"))
	require.Equal(t, []ebonywood.Action{ebonywood.NewFetchObjectSet("10.0.0.2:7")}, actions)
	actions = membership.Handle(20, ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(5, "h", nil, nil, nil)))
	pushed := false
	for _, action := range actions {
		_, isProbe := action.(ebonywood.ProbePeer)
		pushed = pushed || isProbe
	}
	require.True(t, pushed)
	require.Empty(t, membership.Handle(30, ebonywood.NewGossipReceived(nil, 5, 0, "10.0.0.2:7")))
}
