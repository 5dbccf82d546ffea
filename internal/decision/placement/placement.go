// Package placement decides which proxies serve an instance whose members accept
// fewer connections than the fleet has proxies. The other proxies forward their
// requests to these. It also decides which proxies watch the directory for the others.
//
// All proxies that have the same reports compute the same result without a message:
// each zone's live proxies are ordered for the instance by rendezvous hashing, and the
// first ones serve it. Each zone has at least one, so that callers find one nearby. In
// a fleet with no more proxies than are needed, every proxy serves every instance.
package placement

import (
	"maps"
	"slices"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rendezvous"
)

// Name is the plug-in's name.
const Name = "placement"

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision {
		self := ebonywood.NewPeerView(settings.Name(), settings.Zone(), settings.PeerAddress())
		return New(self, settings.Limits().Count(ebonywood.LimitServersPerInstance))
	})
}

const (
	// minConnectionsPerProxy is the minimum number of connections to a member that a
	// proxy needs to serve it.
	minConnectionsPerProxy = 2
	// reservedConnections is how many of a member's connections are kept free for
	// proxies that take over.
	reservedConnections = 2
	// watcherKey is the rendezvous key that selects the proxies that watch the
	// directory for the others.
	watcherKey = "watchers"
)

// Placement is the decision that computes the table of owners.
type Placement struct {
	self ebonywood.PeerView
	// serverCount is how many proxies serve an instance: enough that the loss of one
	// moves a small part of its traffic, few enough that each has spare connections.
	serverCount int
	leaving     bool
	objectSet   *ebonywood.ObjectSet
	// peers has the live proxies by name, this one included unless it leaves.
	peers map[string]ebonywood.PeerView
	// zones has a rendezvous table of the proxies of each zone. depth is how many
	// proxies these keep for a key.
	depth  int
	zones  map[string]*rendezvous.Table
	owners *ebonywood.Owners
}

// New returns the decision of the proxy self. serverCount proxies serve an instance
// whose connections suffice.
func New(self ebonywood.PeerView, serverCount int) *Placement {
	return &Placement{self: self, serverCount: serverCount, peers: map[string]ebonywood.PeerView{}, owners: &ebonywood.Owners{}}
}

// Handle processes the list of live proxies, a new object set, and the request to
// drain. It returns ApplyOwners if the owners changed, and AnnounceLeaving for the
// request to drain.
func (placement *Placement) Handle(_ ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	switch event := event.(type) {
	case ebonywood.ProxyReportsListed:
		return placement.updatePeers(event.Reports())
	case ebonywood.ObjectSetApplied:
		placement.objectSet = event.ObjectSet()
		placement.setKeys()
		return placement.updateOwners()
	case ebonywood.DrainRequested:
		placement.leaving = true
		return []ebonywood.Action{ebonywood.AnnounceLeaving{}}
	}
	return nil
}

// updatePeers replaces the live proxies. This proxy is included even without a report
// of its own, unless it has no address or is leaving.
func (placement *Placement) updatePeers(reports []ebonywood.ProxyReport) []ebonywood.Action {
	peers := map[string]ebonywood.PeerView{}
	for _, report := range reports {
		if report.Peer().Address() != "" && !report.IsLeaving() {
			peers[report.Name()] = report.Peer()
		}
	}
	delete(peers, placement.self.Name())
	if placement.self.Address() != "" && !placement.leaving {
		peers[placement.self.Name()] = placement.self
	}
	if maps.Equal(peers, placement.peers) {
		return nil
	}
	placement.peers = peers
	placement.updateZones()
	return placement.updateOwners()
}

// updateZones updates the rendezvous tables of the zones to the live proxies.
func (placement *Placement) updateZones() {
	byZone := map[string]map[string]bool{}
	for name, peer := range placement.peers {
		if byZone[peer.Zone()] == nil {
			byZone[peer.Zone()] = map[string]bool{}
		}
		byZone[peer.Zone()][name] = true
	}
	depth := serversPerZone(placement.watcherCount(), len(byZone))
	if depth != placement.depth {
		placement.depth, placement.zones = depth, map[string]*rendezvous.Table{}
	}
	maps.DeleteFunc(placement.zones, func(zone string, _ *rendezvous.Table) bool { return byZone[zone] == nil })
	for zone, names := range byZone {
		table, found := placement.zones[zone]
		if !found {
			table = rendezvous.New(depth)
			table.SetKeys(placement.keys())
			placement.zones[zone] = table
		}
		table.SetNames(names)
	}
}

// watcherCount returns how many proxies watch the directory: the square root of the
// number of live proxies, rounded up, but at least serverCount. The number of followers
// of each watcher grows as slowly, which bounds the time to send a change to all of them
// over the watcher's link.
func (placement *Placement) watcherCount() int {
	count := placement.serverCount
	for count*count < len(placement.peers) {
		count++
	}
	return count
}

// serversPerZone divides a number of servers evenly among the zones, rounded up.
func serversPerZone(servers, zones int) int { return (servers + zones - 1) / max(1, zones) }

// keys returns the rendezvous keys: that of the watchers, and the IDs of all instances.
func (placement *Placement) keys() []string {
	keys := []string{watcherKey}
	if placement.objectSet == nil {
		return keys
	}
	for _, instance := range placement.objectSet.Instances() {
		keys = append(keys, string(instance.ID()))
	}
	return keys
}

func (placement *Placement) setKeys() {
	keys := placement.keys()
	for _, table := range placement.zones {
		table.SetKeys(keys)
	}
}

// updateOwners computes the table of owners and returns ApplyOwners if it changed.
func (placement *Placement) updateOwners() []ebonywood.Action {
	byInstance := map[ebonywood.InstanceID][]ebonywood.PeerView{}
	if placement.objectSet != nil && len(placement.zones) > 0 {
		for _, instance := range placement.objectSet.Instances() {
			byInstance[instance.ID()] = placement.servers(instance)
		}
	}
	watchers := placement.topProxies(watcherKey, placement.watcherCount())
	unchanged := slices.Equal(watchers, placement.owners.Watchers()) &&
		maps.EqualFunc(byInstance, placement.owners.ByInstance(), func(left, right []ebonywood.PeerView) bool {
			return slices.Equal(left, right)
		})
	if unchanged {
		return nil
	}
	placement.owners = ebonywood.NewOwners(placement.self.Name(), byInstance, watchers)
	return []ebonywood.Action{ebonywood.NewApplyOwners(placement.owners)}
}

// servers returns the proxies that serve an instance: fewer than serverCount if its
// members accept too few connections for that many.
func (placement *Placement) servers(instance ebonywood.Instance) []ebonywood.PeerView {
	count := placement.serverCount
	if connections := instance.MaxConnections(); connections > 0 {
		count = min(count, max(1, (connections-reservedConnections)/minConnectionsPerProxy))
	}
	return placement.topProxies(string(instance.ID()), count)
}

// topProxies returns the first proxies for a key, the same number from each zone: count
// divided by the zones and rounded up. A zone with fewer proxies provides all of them.
func (placement *Placement) topProxies(key string, count int) []ebonywood.PeerView {
	perZone := serversPerZone(count, len(placement.zones))
	var chosen []ebonywood.PeerView
	for _, zone := range slices.Sorted(maps.Keys(placement.zones)) {
		names := placement.zones[zone].Top(key)
		for _, name := range names[:min(perZone, len(names))] {
			chosen = append(chosen, placement.peers[name])
		}
	}
	return chosen
}

// Contribute adds the table of owners to the snapshot.
func (placement *Placement) Contribute(draft *ebonywood.Draft) { draft.SetOwners(placement.owners) }
