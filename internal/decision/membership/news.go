package membership

import (
	"math/bits"
	"slices"

	"github.com/ebonywood/ebonywood"
)

// News travels with probes and their answers; nothing is sent for its own sake but
// the push of a new set.

func (membership *Membership) logarithm() int { return bits.Len(uint(len(membership.peers) + 1)) }

// spread puts an update at the head of the news.
func (membership *Membership) spread(update ebonywood.PeerUpdate) {
	membership.news = slices.DeleteFunc(membership.news, func(other *item) bool {
		return other.update.Peer().Name() == update.Peer().Name()
	})
	membership.news = append(membership.news, &item{update: update, left: spreadFactor * membership.logarithm()})
	membership.republish()
}

// takeNews chooses what goes with the next probe: this proxy itself, then what
// was passed on least.
func (membership *Membership) takeNews() []ebonywood.PeerUpdate {
	slices.SortStableFunc(membership.news, func(left, right *item) int { return right.left - left.left })
	updates := []ebonywood.PeerUpdate{membership.ownUpdate()}
	for _, each := range membership.news[:min(newsLimit, len(membership.news))] {
		updates = append(updates, each.update)
		each.left--
	}
	membership.news = slices.DeleteFunc(membership.news, func(each *item) bool { return each.left <= 0 })
	membership.republish()
	return updates
}

// republish renews what answers to other proxies carry.
func (membership *Membership) republish() {
	published := []ebonywood.PeerUpdate{membership.ownUpdate()}
	for _, each := range membership.news[:min(newsLimit, len(membership.news))] {
		published = append(published, each.update)
	}
	membership.published = published
}

// push probes a few proxies at once.
func (membership *Membership) push() []ebonywood.Action {
	others := membership.sample(membership.self.Name())
	var actions []ebonywood.Action
	for _, peer := range others[:min(pushCount, len(others))] {
		actions = append(actions, ebonywood.NewProbePeer(peer.Address(), "", 0, false, membership.takeNews()))
	}
	return actions
}
