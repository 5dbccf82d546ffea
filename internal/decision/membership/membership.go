// Package membership decides which proxies are believed to live, and from that
// who owns which instance.
//
// Each proxy probes one other at a time, in a shuffled order, so its cost does
// not grow with the fleet. A probe that fails is repeated through proxies in
// other availability zones, so a cut of one path evicts nobody. What is learned
// travels with the probes. A proxy that hears itself suspected refutes by a
// higher incarnation. Heartbeats of all to all, or leases in the platform's
// store, were weighed and left: the first grow with the square of the fleet, the
// second with the fleet at a service that must not.
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
	// probePeriod is the time between two probes of one proxy.
	probePeriod ebonywood.Millis = 250
	// probeLimit bounds a probe and then its repetition through others.
	probeLimit ebonywood.Millis = 400
	// helpers is how many others repeat a failed probe.
	helpers = 3
	// sampleFactor is how many more are drawn to find helpers in other zones.
	sampleFactor = 4
	// suspicionPeriods, times the logarithm of the fleet, is how many probe
	// periods a suspect has to refute.
	suspicionPeriods = 3
	// recontactEvery is how many probes go by before one goes to a proxy that is
	// believed dead or to a seed, so that a partition heals.
	recontactEvery = 8
	// newsLimit bounds the updates in one message.
	newsLimit = 12
	// spreadFactor, times the logarithm of the fleet, is how often an update is
	// passed on.
	spreadFactor = 3
	// pushCount is how many proxies hear of a new set at once.
	pushCount = 3
	// watcherCount is how many proxies watch the platform's store.
	watcherCount = 2
	// leastExchange and exchangeShare space the exchanges of all beliefs.
	leastExchange = 32
	exchangeShare = 4
	// bulkChanges is how many changes at once make a new table of owners.
	bulkChanges = 256
	// watcherKey orders the proxies for watching.
	watcherKey = "platform"
	// forgetAfter is when a dead proxy is forgotten.
	forgetAfter ebonywood.Millis = 600_000
	// pauseLimit is the gap between two ticks beyond which this process was
	// paused, so that unanswered probes prove nothing.
	pauseLimit ebonywood.Millis = 150
)

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision { return New(settings) })
}

// Membership is the decision.
type Membership struct {
	self      ebonywood.PeerView
	own       uint64
	leaving   bool
	seeds     []string
	hosts     []string
	hostsSeen ebonywood.HostsListed
	random    *rand.Rand
	beliefs   map[string]*belief
	// doubtful are the suspects and the dead, which time alone moves on.
	doubtful  map[string]struct{}
	addresses map[string]bool
	ring      []string
	nextProbe ebonywood.Millis
	lastTick  ebonywood.Millis
	probes    map[uint64]*probe
	number    uint64
	sent      uint64
	news      []*item
	table     *rendezvous.Table
	// changes are the proxies that came (true) or went in the event at hand.
	changes    map[string]bool
	set        *ebonywood.ObjectSet
	generation uint64
	owners     *ebonywood.Owners
	peers      []ebonywood.PeerView
	published  []ebonywood.PeerUpdate
}

// belief is what is believed of one other proxy.
type belief struct {
	update ebonywood.PeerUpdate
	since  ebonywood.Millis
}

// probe is one that waits for an answer.
type probe struct {
	name     string
	indirect int
	until    ebonywood.Millis
	number   uint64
}

// item is an update that is being spread.
type item struct {
	update ebonywood.PeerUpdate
	left   int
}

// New makes the decision of a process that knows only itself.
func New(settings ebonywood.Settings) *Membership {
	seed := xxhash.Sum64String(settings.Name())
	membership := &Membership{
		self:    ebonywood.NewPeerView(settings.Name(), settings.Zone(), settings.PeerAddress()),
		seeds:   settings.Seeds(),
		random:  rand.New(rand.NewPCG(seed, seed)),
		changes: map[string]bool{},
		beliefs: map[string]*belief{}, doubtful: map[string]struct{}{},
		probes: map[uint64]*probe{},
		table:  rendezvous.New(ebonywood.OwnerCount),
		own:    uint64(max(settings.Incarnation(), 1)),
	}
	membership.table.SetKeys([]string{watcherKey})
	membership.table.Join(membership.self.Name())
	membership.rebuild()
	return membership
}

// Handle takes ticks, answers to probes, news, new sets and the platform's hosts.
func (membership *Membership) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	var actions []ebonywood.Action
	before := membership.owners
	switch event := event.(type) {
	case ebonywood.Tick:
		actions = membership.tick(now)
	case ebonywood.ProbeEnded:
		actions = membership.answered(now, event)
	case ebonywood.GossipReceived:
		actions = membership.hear(now, event)
	case ebonywood.ObjectSetApplied:
		actions = membership.accept(event.ObjectSet())
	case ebonywood.HostsListed:
		actions = membership.noteHosts(event)
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
	gap := now - membership.lastTick
	membership.lastTick = now
	if gap > pauseLimit {
		membership.forgive(gap)
	}
	actions := membership.expireProbes(now)
	if now < membership.nextProbe || membership.self.Address() == "" {
		return actions
	}
	membership.nextProbe = now + probePeriod
	membership.expireSuspects(now)
	return append(actions, membership.probeNext(now)...)
}

// expireSuspects declares dead who did not refute in time, and forgets the dead
// after a while.
func (membership *Membership) expireSuspects(now ebonywood.Millis) {
	span := probePeriod * ebonywood.Millis(suspicionPeriods*membership.logarithm())
	for _, name := range slices.Sorted(maps.Keys(membership.doubtful)) {
		known := membership.beliefs[name]
		switch {
		case known.update.State() == ebonywood.PeerSuspect && now-known.since > span:
			membership.believe(now, ebonywood.NewPeerUpdate(known.update.Peer(), known.update.Incarnation(), ebonywood.PeerDead))
		case known.update.State() >= ebonywood.PeerDead && now-known.since > forgetAfter:
			delete(membership.beliefs, name)
			delete(membership.doubtful, name)
		}
	}
}

// hear takes news, answers suspicion of itself, and fetches a newer set.
func (membership *Membership) hear(now ebonywood.Millis, event ebonywood.GossipReceived) []ebonywood.Action {
	for _, update := range event.Updates() {
		membership.believe(now, update)
	}
	behind := event.Generation() > membership.generation || event.HostsRevision() > membership.hostsSeen.Revision()
	if behind && event.Address() != "" {
		return []ebonywood.Action{ebonywood.NewFetchObjectSet(event.Address())}
	}
	return nil
}

// believe takes over an update that overrides what is known.
func (membership *Membership) believe(now ebonywood.Millis, update ebonywood.PeerUpdate) {
	name := update.Peer().Name()
	if name == membership.self.Name() {
		membership.refute(update)
		return
	}
	known, found := membership.beliefs[name]
	if found && !update.Overrides(known.update) || !found && update.State() >= ebonywood.PeerDead {
		return
	}
	wasLive := found && known.update.State() <= ebonywood.PeerSuspect
	moved := found && known.update.Peer() != update.Peer()
	membership.beliefs[name] = &belief{update: update, since: now}
	if update.State() == ebonywood.PeerAlive {
		delete(membership.doubtful, name)
	} else {
		membership.doubtful[name] = struct{}{}
	}
	membership.spread(update)
	isLive := update.State() <= ebonywood.PeerSuspect
	if wasLive != isLive || moved {
		membership.changes[name] = isLive
	}
}

// refute answers a suspicion of this proxy by a higher incarnation.
func (membership *Membership) refute(update ebonywood.PeerUpdate) {
	if update.State() == ebonywood.PeerAlive || membership.leaving || update.Incarnation() < membership.own {
		return
	}
	membership.own = update.Incarnation() + 1
	membership.spread(membership.ownUpdate())
}

func (membership *Membership) ownUpdate() ebonywood.PeerUpdate {
	state := ebonywood.PeerAlive
	if membership.leaving {
		state = ebonywood.PeerLeft
	}
	return ebonywood.NewPeerUpdate(membership.self, membership.own, state)
}

// accept makes the instances of a new set the keys of the owners, and pushes the
// news of it to a few proxies, which push it on.
func (membership *Membership) accept(set *ebonywood.ObjectSet) []ebonywood.Action {
	membership.set, membership.generation = set, set.Generation()
	membership.table.SetKeys(membership.keys())
	membership.rebuild()
	return membership.push()
}

// noteHosts takes the platform's list as further addresses to begin with, and
// pushes the news of it on.
func (membership *Membership) noteHosts(event ebonywood.HostsListed) []ebonywood.Action {
	if event.Revision() <= membership.hostsSeen.Revision() {
		return nil
	}
	membership.hostsSeen = event
	membership.hosts = membership.hosts[:0]
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
			membership.hosts = append(membership.hosts, address)
		}
	}
	slices.Sort(membership.hosts)
	return membership.push()
}

// leave tells the others that this proxy goes, so that it gets no new work.
func (membership *Membership) leave() []ebonywood.Action {
	membership.leaving = true
	membership.own++
	membership.spread(membership.ownUpdate())
	return membership.push()
}

// Contribute adds the live proxies, the owners and the news.
func (membership *Membership) Contribute(draft *ebonywood.Draft) {
	draft.SetPeers(membership.peers)
	draft.SetOwners(membership.owners)
	draft.SetPeerUpdates(membership.published)
	draft.SetHosts(membership.hostsSeen)
}
