// Package placement decides which proxies serve an instance, where its members
// accept fewer connections than the fleet has proxies. The others send their
// work there. It also decides which proxies watch the directory for the others.
//
// All proxies that know the same reports agree without a message: each zone's live
// proxies are ordered for the instance by rendezvous hashing, and the first ones
// serve it. Each zone has some, so that callers of each find one nearby. A fleet
// of no more proxies than that serves every instance everywhere.
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
	// leastConnections is the least number of connections to a member with which a
	// proxy can serve.
	leastConnections = 2
	// reservedConnections of a member are left for proxies that take over.
	reservedConnections = 2
	// watchersKey orders the proxies that watch the directory for the others.
	watchersKey = "watchers"
)

// Placement is the decision.
type Placement struct {
	self ebonywood.PeerView
	// wanted is how many proxies serve an instance: enough that the loss of one moves
	// little, few enough that each has connections to spare.
	wanted  int
	leaving bool
	set     *ebonywood.ObjectSet
	peers   map[string]ebonywood.PeerView
	depth   int
	zones   map[string]*rendezvous.Table
	owners  *ebonywood.Owners
}

// New makes the decision of a proxy, where so many are wanted to serve an instance.
func New(self ebonywood.PeerView, wanted int) *Placement {
	return &Placement{self: self, wanted: wanted, peers: map[string]ebonywood.PeerView{}, owners: &ebonywood.Owners{}}
}

// Handle takes one event.
func (placement *Placement) Handle(_ ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	switch event := event.(type) {
	case ebonywood.NodesListed:
		return placement.list(event.Reports())
	case ebonywood.ObjectSetApplied:
		placement.set = event.ObjectSet()
		placement.setKeys()
		return placement.announce()
	case ebonywood.DrainRequested:
		placement.leaving = true
		return []ebonywood.Action{ebonywood.AnnounceLeaving{}}
	}
	return nil
}

// list takes the live proxies. This one counts whether its report stands or not.
func (placement *Placement) list(reports []ebonywood.NodeReport) []ebonywood.Action {
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
	placement.orderZones()
	return placement.announce()
}

// orderZones brings the tables of the zones in line with the live proxies.
func (placement *Placement) orderZones() {
	byZone := map[string]map[string]bool{}
	for name, peer := range placement.peers {
		if byZone[peer.Zone()] == nil {
			byZone[peer.Zone()] = map[string]bool{}
		}
		byZone[peer.Zone()][name] = true
	}
	depth := perZone(placement.watchers(), len(byZone))
	if depth != placement.depth {
		placement.depth, placement.zones = depth, map[string]*rendezvous.Table{}
	}
	maps.DeleteFunc(placement.zones, func(zone string, _ *rendezvous.Table) bool { return byZone[zone] == nil })
	for zone, names := range byZone {
		table, known := placement.zones[zone]
		if !known {
			table = rendezvous.New(depth)
			table.SetKeys(placement.keys())
			placement.zones[zone] = table
		}
		table.Keep(names)
	}
}

// watchers is how many proxies watch the directory. It grows with the square root of
// the fleet: so do the followers of each, whose number bounds how long a change takes
// over the link of their watcher.
func (placement *Placement) watchers() int {
	count := placement.wanted
	for count*count < len(placement.peers) {
		count++
	}
	return count
}

// perZone shares so many servers among the zones.
func perZone(servers, zones int) int { return (servers + zones - 1) / max(1, zones) }

func (placement *Placement) keys() []string {
	keys := []string{watchersKey}
	if placement.set == nil {
		return keys
	}
	for _, instance := range placement.set.Instances() {
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

// announce makes a new table of owners, if it differs from the last one.
func (placement *Placement) announce() []ebonywood.Action {
	byInstance := map[ebonywood.InstanceID][]ebonywood.PeerView{}
	if placement.set != nil && len(placement.zones) > 0 {
		for _, instance := range placement.set.Instances() {
			byInstance[instance.ID()] = placement.servers(instance)
		}
	}
	watchers := placement.first(watchersKey, placement.watchers())
	same := slices.Equal(watchers, placement.owners.Watchers()) &&
		maps.EqualFunc(byInstance, placement.owners.ByInstance(), func(left, right []ebonywood.PeerView) bool {
			return slices.Equal(left, right)
		})
	if same {
		return nil
	}
	placement.owners = ebonywood.NewOwners(placement.self.Name(), byInstance, watchers)
	return []ebonywood.Action{ebonywood.NewApplyOwners(placement.owners)}
}

// servers are the proxies that serve an instance.
func (placement *Placement) servers(instance ebonywood.Instance) []ebonywood.PeerView {
	wanted := placement.wanted
	if connections := instance.MaxConnections(); connections > 0 {
		wanted = min(wanted, max(1, (connections-reservedConnections)/leastConnections))
	}
	return placement.first(string(instance.ID()), wanted)
}

// first are so many proxies for a key, from all zones alike.
func (placement *Placement) first(key string, wanted int) []ebonywood.PeerView {
	count := perZone(wanted, len(placement.zones))
	var chosen []ebonywood.PeerView
	for _, zone := range slices.Sorted(maps.Keys(placement.zones)) {
		names := placement.zones[zone].Top(key)
		for _, name := range names[:min(count, len(names))] {
			chosen = append(chosen, placement.peers[name])
		}
	}
	return chosen
}

// Contribute adds the table of owners to the snapshot.
func (placement *Placement) Contribute(draft *ebonywood.Draft) { draft.SetOwners(placement.owners) }
