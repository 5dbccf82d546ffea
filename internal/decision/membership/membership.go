// Package membership detects which proxies are live by a SWIM-style gossip protocol,
// and derives from that which proxies own which instance.
//
// Each proxy probes one other at a time, in a shuffled order, so its cost does not grow
// with the fleet. A failed probe is repeated through other proxies, preferably in other
// availability zones, so the loss of one network path evicts no proxy. State updates
// are sent with the probes. A proxy that receives an update in which it is suspected
// refutes it with a higher incarnation.
//
// The alternatives scale worse: all-to-all heartbeats grow with the square of the
// fleet, and leases put a load on the platform's store that grows with the fleet. The
// load on the store must not depend on the size of the fleet.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rendezvous"
)

// Name is the plug-in's name.
const Name = "membership"

const (
	// probeInterval is the time between two probes that a proxy sends.
	probeInterval ebonywood.Millis = 250
	// probeTimeout applies to a direct probe, and again to its indirect repetition.
	probeTimeout ebonywood.Millis = 400
	// indirectProbes is the number of other proxies through which a failed probe is
	// repeated.
	indirectProbes = 3
	// sampleFactor, times indirectProbes, is the number of random draws, so that enough
	// proxies in other zones are among them.
	sampleFactor = 4
	// suspicionMultiplier, times the logarithm of the fleet size, is the number of probe
	// intervals within which a suspect has to refute.
	suspicionMultiplier = 3
	// probesPerRecontact is the number of probes of which one goes to a dead proxy, a
	// seed or a listed host, so that a network partition heals.
	probesPerRecontact = 8
	// maxUpdatesPerMessage is the maximum number of queued updates in one message.
	maxUpdatesPerMessage = 12
	// transmitMultiplier, times the logarithm of the fleet size, is the number of times
	// that an update is sent.
	transmitMultiplier = 3
	// pushFanout is the number of proxies that are informed immediately of a new object
	// set, of a new list of hosts, and that this proxy is leaving.
	pushFanout = 3
	// watcherCount is the number of proxies that watch the platform's store.
	watcherCount = 2
	// A proxy requests the full state of another once per minProbesPerExchange probes,
	// or once per as many probes as there are proxies divided by exchangeDivisor,
	// whichever is rarer.
	minProbesPerExchange = 32
	exchangeDivisor      = 4
	// tableRebuildThreshold is the number of changes in one event above which the table
	// of owners is rebuilt instead of updated.
	tableRebuildThreshold = 256
	// watcherKey is the rendezvous key that selects the watchers.
	watcherKey = "platform"
	// deadRetention is the time after which the entry of a dead or departed proxy is
	// removed.
	deadRetention ebonywood.Millis = 600_000
	// maxTickGap is the longest normal time between two ticks. After a longer one this
	// process was paused, so probes without a reply prove nothing.
	maxTickGap ebonywood.Millis = 150
)

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision { return New(settings) })
}

// Membership is the decision that tracks the live proxies and the owners.
type Membership struct {
	self          ebonywood.PeerView
	incarnation   uint64
	leaving       bool
	seeds         []string
	hostAddresses []string
	hostList      ebonywood.HostsListed
	random        *rand.Rand
	entries       map[string]*peerEntry
	// notAlive has the names of the suspect, dead and departed proxies, whose entries
	// expire.
	notAlive        map[string]struct{}
	liveAddresses   map[string]bool
	probeOrder      []string
	nextProbeAt     ebonywood.Millis
	lastTickAt      ebonywood.Millis
	probes          map[uint64]*probe
	lastProbeNumber uint64
	probesSent      uint64
	broadcasts      []*broadcast
	table           *rendezvous.Table
	// changes has the proxies that became live (true) or ceased to be (false) during the
	// current event.
	changes          map[string]bool
	set              *ebonywood.ObjectSet
	generation       uint64
	owners           *ebonywood.Owners
	peers            []ebonywood.PeerView
	publishedUpdates []ebonywood.PeerUpdate
}

// peerEntry is the locally held state of another proxy, and when it was set.
type peerEntry struct {
	update ebonywood.PeerUpdate
	since  ebonywood.Millis
}

// probe is a probe without a reply so far. indirectCount is the number of proxies
// through which it was repeated.
type probe struct {
	name          string
	indirectCount int
	deadline      ebonywood.Millis
	number        uint64
}

// broadcast is an update in the gossip queue and how many more times it is sent.
type broadcast struct {
	update        ebonywood.PeerUpdate
	transmitsLeft int
}

// New returns the decision of a process that has no other proxies yet.
func New(settings ebonywood.Settings) *Membership {
	seed := xxhash.Sum64String(settings.Name())
	membership := &Membership{
		self:    ebonywood.NewPeerView(settings.Name(), settings.Zone(), settings.PeerAddress()),
		seeds:   settings.Seeds(),
		random:  rand.New(rand.NewPCG(seed, seed)),
		changes: map[string]bool{},
		entries: map[string]*peerEntry{}, notAlive: map[string]struct{}{},
		probes:      map[uint64]*probe{},
		table:       rendezvous.New(ebonywood.OwnerCount),
		incarnation: uint64(max(settings.Incarnation(), 1)),
	}
	membership.table.SetKeys([]string{watcherKey})
	membership.table.Add(membership.self.Name())
	membership.rebuildOwners()
	return membership
}

// Handle applies one event and returns the resulting actions, with ApplyOwners if
// the owners have changed.
func (membership *Membership) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	var actions []ebonywood.Action
	before := membership.owners
	switch event := event.(type) {
	case ebonywood.Tick:
		actions = membership.tick(now)
	case ebonywood.ProbeEnded:
		actions = membership.probeEnded(now, event)
	case ebonywood.GossipReceived:
		actions = membership.receiveUpdates(now, event)
	case ebonywood.ObjectSetApplied:
		actions = membership.applyObjectSet(event.ObjectSet())
	case ebonywood.HostsListed:
		actions = membership.setHosts(event)
	case ebonywood.DrainRequested:
		actions = membership.leave()
	}
	membership.applyChanges()
	if membership.owners != before {
		actions = append(actions, ebonywood.NewApplyOwners(membership.owners))
	}
	return actions
}

func (membership *Membership) tick(now ebonywood.Millis) []ebonywood.Action {
	gap := now - membership.lastTickAt
	membership.lastTickAt = now
	if gap > maxTickGap {
		membership.resetAfterPause(gap)
	}
	actions := membership.expireProbes(now)
	if now < membership.nextProbeAt || membership.self.Address() == "" {
		return actions
	}
	membership.nextProbeAt = now + probeInterval
	membership.expireSuspects(now)
	return append(actions, membership.probeNext(now)...)
}

// expireSuspects marks suspects that did not refute in time as dead, and removes dead
// and departed proxies after deadRetention.
func (membership *Membership) expireSuspects(now ebonywood.Millis) {
	timeout := probeInterval * ebonywood.Millis(suspicionMultiplier*membership.logFleetSize())
	for _, name := range slices.Sorted(maps.Keys(membership.notAlive)) {
		entry := membership.entries[name]
		switch {
		case entry.update.State() == ebonywood.PeerSuspect && now-entry.since > timeout:
			membership.applyUpdate(now, ebonywood.NewPeerUpdate(entry.update.Peer(), entry.update.Incarnation(), ebonywood.PeerDead))
		case entry.update.State() >= ebonywood.PeerDead && now-entry.since > deadRetention:
			delete(membership.entries, name)
			delete(membership.notAlive, name)
		}
	}
}

// receiveUpdates applies the updates of another proxy, and fetches its object set and
// list of hosts if either is newer.
func (membership *Membership) receiveUpdates(now ebonywood.Millis, event ebonywood.GossipReceived) []ebonywood.Action {
	for _, update := range event.Updates() {
		membership.applyUpdate(now, update)
	}
	behind := event.Generation() > membership.generation || event.HostsRevision() > membership.hostList.Revision()
	if behind && event.Address() != "" {
		return []ebonywood.Action{ebonywood.NewFetchObjectSet(event.Address())}
	}
	return nil
}

// applyUpdate applies an update that overrides the current entry, and queues it for
// other proxies. A proxy without an entry is not added if the update reports it dead or
// departed.
func (membership *Membership) applyUpdate(now ebonywood.Millis, update ebonywood.PeerUpdate) {
	name := update.Peer().Name()
	if name == membership.self.Name() {
		membership.refute(update)
		return
	}
	entry, found := membership.entries[name]
	if found && !update.Overrides(entry.update) || !found && update.State() >= ebonywood.PeerDead {
		return
	}
	wasLive := found && entry.update.State() <= ebonywood.PeerSuspect
	moved := found && entry.update.Peer() != update.Peer()
	membership.entries[name] = &peerEntry{update: update, since: now}
	if update.State() == ebonywood.PeerAlive {
		delete(membership.notAlive, name)
	} else {
		membership.notAlive[name] = struct{}{}
	}
	membership.enqueueUpdate(update)
	isLive := update.State() <= ebonywood.PeerSuspect
	if wasLive != isLive || moved {
		membership.changes[name] = isLive
	}
}

// refute counters an update in which this proxy is not alive with a higher incarnation.
func (membership *Membership) refute(update ebonywood.PeerUpdate) {
	if update.State() == ebonywood.PeerAlive || membership.leaving || update.Incarnation() < membership.incarnation {
		return
	}
	membership.incarnation = update.Incarnation() + 1
	membership.enqueueUpdate(membership.ownUpdate())
}

// ownUpdate returns the current state of this proxy.
func (membership *Membership) ownUpdate() ebonywood.PeerUpdate {
	state := ebonywood.PeerAlive
	if membership.leaving {
		state = ebonywood.PeerLeft
	}
	return ebonywood.NewPeerUpdate(membership.self, membership.incarnation, state)
}

// applyObjectSet makes the instances of a new set the keys of the table of owners, and
// informs a few proxies, which inform others in turn.
func (membership *Membership) applyObjectSet(set *ebonywood.ObjectSet) []ebonywood.Action {
	membership.set, membership.generation = set, set.Generation()
	membership.table.SetKeys(membership.tableKeys())
	membership.rebuildOwners()
	return membership.pushUpdates()
}

// setHosts uses the hosts of a newer platform list that are not leaving as additional
// contact addresses, and informs a few proxies of the list. Addresses of members are
// left out.
func (membership *Membership) setHosts(event ebonywood.HostsListed) []ebonywood.Action {
	if event.Revision() <= membership.hostList.Revision() {
		return nil
	}
	membership.hostList = event
	membership.hostAddresses = membership.hostAddresses[:0]
	members := map[string]bool{}
	if membership.set != nil {
		for _, instance := range membership.set.Instances() {
			for _, member := range instance.Members() {
				members[member.Address()] = true
			}
		}
	}
	for address, isLeaving := range event.Leaving() {
		if !isLeaving && !members[address] {
			membership.hostAddresses = append(membership.hostAddresses, address)
		}
	}
	slices.Sort(membership.hostAddresses)
	return membership.pushUpdates()
}

// leave announces that this proxy is leaving, so that it gets no new work.
func (membership *Membership) leave() []ebonywood.Action {
	membership.leaving = true
	membership.incarnation++
	membership.enqueueUpdate(membership.ownUpdate())
	return membership.pushUpdates()
}

// Contribute adds the live proxies, the owners, the updates for replies and the list of
// hosts to the snapshot.
func (membership *Membership) Contribute(draft *ebonywood.Draft) {
	draft.SetPeers(membership.peers)
	draft.SetOwners(membership.owners)
	draft.SetPeerUpdates(membership.publishedUpdates)
	draft.SetHosts(membership.hostList)
}
