package membership

// The table of owners is updated after each event that changed the set of live proxies.

import (
	"maps"
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/rendezvous"
)

// applyChanges updates the table of owners with the changes of one event. For many
// changes, as when a region is lost or this proxy joins, it first rebuilds the table,
// which costs less than as many single updates.
func (membership *Membership) applyChanges() {
	if len(membership.changes) == 0 {
		return
	}
	if len(membership.changes) > tableRebuildThreshold {
		membership.rebuildTable()
	}
	for _, name := range slices.Sorted(maps.Keys(membership.changes)) {
		if membership.changes[name] {
			membership.table.Add(name)
		} else {
			membership.table.Remove(name)
		}
	}
	clear(membership.changes)
	membership.rebuildOwners()
}

// rebuildTable replaces the table by one of all live proxies.
func (membership *Membership) rebuildTable() {
	membership.table = rendezvous.New(ebonywood.OwnerCount)
	membership.table.Add(membership.self.Name())
	for name, entry := range membership.entries {
		if entry.update.State() <= ebonywood.PeerSuspect {
			membership.table.Add(name)
		}
	}
	membership.table.SetKeys(membership.tableKeys())
}

// tableKeys returns the rendezvous keys: the watcher key and one for each instance.
func (membership *Membership) tableKeys() []string {
	keys := []string{watcherKey}
	if membership.set != nil {
		for _, instance := range membership.set.Instances() {
			keys = append(keys, string(instance.ID()))
		}
	}
	return keys
}

// rebuildOwners updates the live proxies, their addresses, the owners and the watchers.
func (membership *Membership) rebuildOwners() {
	byName := map[string]ebonywood.PeerView{membership.self.Name(): membership.self}
	for name, entry := range membership.entries {
		if entry.update.State() <= ebonywood.PeerSuspect {
			byName[name] = entry.update.Peer()
		}
	}
	peers := make([]ebonywood.PeerView, 0, len(byName))
	for _, peer := range byName {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(left, right ebonywood.PeerView) int { return strings.Compare(left.Name(), right.Name()) })
	membership.peers = peers
	membership.liveAddresses = make(map[string]bool, len(peers))
	for _, peer := range peers {
		membership.liveAddresses[peer.Address()] = true
	}
	byInstance := map[ebonywood.InstanceID][]ebonywood.PeerView{}
	if membership.set != nil {
		for _, instance := range membership.set.Instances() {
			byInstance[instance.ID()] = viewsOf(membership.table.Top(string(instance.ID())), byName)
		}
	}
	watchers := viewsOf(membership.table.Top(watcherKey), byName)
	membership.owners = ebonywood.NewOwners(membership.self.Name(), byInstance, watchers[:min(watcherCount, len(watchers))])
	membership.publishUpdates()
}

// viewsOf returns the proxies of the given names in the same order.
func viewsOf(names []string, byName map[string]ebonywood.PeerView) []ebonywood.PeerView {
	views := make([]ebonywood.PeerView, 0, len(names))
	for _, name := range names {
		views = append(views, byName[name])
	}
	return views
}
