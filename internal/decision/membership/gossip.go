package membership

// Gossip: queued updates are sent with probes and their replies. Probes are sent for the
// sake of updates only after a new object set, a new list of hosts or a request to
// leave.

import (
	"math/bits"
	"slices"

	"github.com/ebonywood/ebonywood"
)

// logFleetSize approximates the binary logarithm of the number of live proxies; it is at
// least 2.
func (membership *Membership) logFleetSize() int { return bits.Len(uint(len(membership.peers) + 1)) }

// enqueueUpdate queues an update in place of any earlier one about the same proxy.
func (membership *Membership) enqueueUpdate(update ebonywood.PeerUpdate) {
	membership.broadcasts = slices.DeleteFunc(membership.broadcasts, func(queued *broadcast) bool {
		return queued.update.Peer().Name() == update.Peer().Name()
	})
	membership.broadcasts = append(membership.broadcasts, &broadcast{update: update, transmitsLeft: transmitMultiplier * membership.logFleetSize()})
	membership.publishUpdates()
}

// takeUpdates returns the updates for the next probe: the state of this proxy, then the
// queued updates with the most transmissions left. Fully transmitted updates leave the
// queue.
func (membership *Membership) takeUpdates() []ebonywood.PeerUpdate {
	slices.SortStableFunc(membership.broadcasts, func(left, right *broadcast) int { return right.transmitsLeft - left.transmitsLeft })
	updates := []ebonywood.PeerUpdate{membership.ownUpdate()}
	for _, queued := range membership.broadcasts[:min(maxUpdatesPerMessage, len(membership.broadcasts))] {
		updates = append(updates, queued.update)
		queued.transmitsLeft--
	}
	membership.broadcasts = slices.DeleteFunc(membership.broadcasts, func(queued *broadcast) bool { return queued.transmitsLeft <= 0 })
	membership.publishUpdates()
	return updates
}

// publishUpdates sets the updates that replies to other proxies carry.
func (membership *Membership) publishUpdates() {
	published := []ebonywood.PeerUpdate{membership.ownUpdate()}
	for _, queued := range membership.broadcasts[:min(maxUpdatesPerMessage, len(membership.broadcasts))] {
		published = append(published, queued.update)
	}
	membership.publishedUpdates = published
}

// pushUpdates sends the updates to a few proxies immediately. The probes carry number
// 0, so a missing reply raises no suspicion.
func (membership *Membership) pushUpdates() []ebonywood.Action {
	peers := membership.samplePeers(membership.self.Name())
	var actions []ebonywood.Action
	for _, peer := range peers[:min(pushFanout, len(peers))] {
		actions = append(actions, ebonywood.NewProbePeer(peer.Address(), "", 0, false, membership.takeUpdates()))
	}
	return actions
}
