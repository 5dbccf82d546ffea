package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/rendezvous"
)

// The table of owners follows the beliefs, one event at a time.

// applyChanges moves the table of owners on by what one event changed. Many
// changes at once, as when a region is lost or this proxy joins, make a new table,
// which costs less than as many single steps.
func (membership *Membership) applyChanges() {
	if len(membership.changes) == 0 {
		return
	}
	if len(membership.changes) > bulkChanges {
		membership.renewTable()
	}
	for _, name := range slices.Sorted(maps.Keys(membership.changes)) {
		if membership.changes[name] {
			membership.table.Join(name)
		} else {
			membership.table.Leave(name)
		}
	}
	clear(membership.changes)
	membership.rebuild()
}

// renewTable makes a table of all live proxies.
func (membership *Membership) renewTable() {
	membership.table = rendezvous.New(ebonywood.OwnerCount)
	membership.table.Join(membership.self.Name())
	for name, known := range membership.beliefs {
		if known.update.State() <= ebonywood.PeerSuspect {
			membership.table.Join(name)
		}
	}
	membership.table.SetKeys(membership.keys())
}

// keys are what the proxies are ordered for.
func (membership *Membership) keys() []string {
	keys := []string{watcherKey}
	if membership.set != nil {
		for _, instance := range membership.set.Instances() {
			keys = append(keys, string(instance.ID()))
		}
	}
	return keys
}

// rebuild makes a new table of owners and list of peers.
func (membership *Membership) rebuild() {
	byName := map[string]ebonywood.PeerView{membership.self.Name(): membership.self}
	for name, known := range membership.beliefs {
		if known.update.State() <= ebonywood.PeerSuspect {
			byName[name] = known.update.Peer()
		}
	}
	peers := make([]ebonywood.PeerView, 0, len(byName))
	for _, peer := range byName {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(left, right ebonywood.PeerView) int { return strings.Compare(left.Name(), right.Name()) })
	membership.peers = peers
	membership.addresses = make(map[string]bool, len(peers))
	for _, peer := range peers {
		membership.addresses[peer.Address()] = true
	}
	byInstance := map[ebonywood.InstanceID][]ebonywood.PeerView{}
	if membership.set != nil {
		for _, instance := range membership.set.Instances() {
			byInstance[instance.ID()] = viewsOf(membership.table.Top(string(instance.ID())), byName)
		}
	}
	watchers := viewsOf(membership.table.Top(watcherKey), byName)
	membership.owners = ebonywood.NewOwners(membership.self.Name(), byInstance, watchers[:min(watcherCount, len(watchers))])
	membership.republish()
}

func viewsOf(names []string, byName map[string]ebonywood.PeerView) []ebonywood.PeerView {
	views := make([]ebonywood.PeerView, 0, len(names))
	for _, name := range names {
		views = append(views, byName[name])
	}
	return views
}
