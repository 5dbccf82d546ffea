package ebonywood

import "slices"

// PeerState is what is believed of a proxy.
type PeerState uint8

// The states of a proxy. Of two beliefs with the same incarnation the greater
// state wins.
const (
	PeerAlive PeerState = iota
	PeerSuspect
	PeerDead
	PeerLeft
)

// PeerUpdate is a belief about a proxy, as it spreads.
type PeerUpdate struct {
	peer        PeerView
	incarnation uint64
	state       PeerState
}

// NewPeerUpdate makes an update. Only the proxy itself raises its incarnation.
func NewPeerUpdate(peer PeerView, incarnation uint64, state PeerState) PeerUpdate {
	return PeerUpdate{peer: peer, incarnation: incarnation, state: state}
}

// Peer is the proxy.
func (update PeerUpdate) Peer() PeerView { return update.peer }

// Incarnation orders what is said of one proxy.
func (update PeerUpdate) Incarnation() uint64 { return update.incarnation }

// State is the belief.
func (update PeerUpdate) State() PeerState { return update.state }

// Overrides reports whether the update replaces an older belief.
func (update PeerUpdate) Overrides(older PeerUpdate) bool {
	if update.incarnation != older.incarnation {
		return update.incarnation > older.incarnation
	}
	return update.state > older.state
}

// ProbePeer asks the peer edge whether a proxy answers, and passes on news.
type ProbePeer struct {
	address string
	via     string
	number  uint64
	join    bool
	updates []PeerUpdate
}

// NewProbePeer makes the action. via is the address of a proxy that probes in
// our place, empty for a direct probe; number comes back with the answer; join
// asks for all that the other knows.
func NewProbePeer(address, via string, number uint64, join bool, updates []PeerUpdate) ProbePeer {
	return ProbePeer{address: address, via: via, number: number, join: join, updates: updates}
}

// Address is the peer address to probe.
func (action ProbePeer) Address() string { return action.address }

// Via is the peer address of the proxy that probes in our place.
func (action ProbePeer) Via() string { return action.via }

// Number comes back with the answer.
func (action ProbePeer) Number() uint64 { return action.number }

// IsJoin reports whether the other is asked for all that it knows.
func (action ProbePeer) IsJoin() bool { return action.join }

// Updates is the news to pass on.
func (action ProbePeer) Updates() []PeerUpdate { return action.updates }

func (ProbePeer) isAction() {}

// ProbeAnswered is the end of a probe.
type ProbeAnswered struct {
	number   uint64
	answered bool
}

// NewProbeAnswered makes the event.
func NewProbeAnswered(number uint64, answered bool) ProbeAnswered {
	return ProbeAnswered{number: number, answered: answered}
}

// Number is the probe's.
func (event ProbeAnswered) Number() uint64 { return event.number }

// HasAnswered reports whether the proxy lives.
func (event ProbeAnswered) HasAnswered() bool { return event.answered }

func (ProbeAnswered) isEvent() {}

// NewsHeard is what another proxy said of its own accord or in an answer.
type NewsHeard struct {
	updates    []PeerUpdate
	generation uint64
	hosts      int64
	address    string
}

// NewNewsHeard makes the event; generation is the set in force, and hosts the
// revision of the list of hosts, at the proxy that listens at address.
func NewNewsHeard(updates []PeerUpdate, generation uint64, hosts int64, address string) NewsHeard {
	return NewsHeard{updates: updates, generation: generation, hosts: hosts, address: address}
}

// Hosts is the revision of the list of hosts at the other proxy.
func (event NewsHeard) Hosts() int64 { return event.hosts }

// Updates are the beliefs about proxies.
func (event NewsHeard) Updates() []PeerUpdate { return event.updates }

// Generation is the set in force at the other proxy.
func (event NewsHeard) Generation() uint64 { return event.generation }

// Address is the other proxy's peer address.
func (event NewsHeard) Address() string { return event.address }

func (NewsHeard) isEvent() {}

// FetchSet asks the peer edge for the set and the list of hosts that are in force
// at another proxy.
type FetchSet struct {
	address string
}

// NewFetchSet makes the action.
func NewFetchSet(address string) FetchSet { return FetchSet{address: address} }

// Address is the other proxy's peer address.
func (action FetchSet) Address() string { return action.address }

func (FetchSet) isAction() {}

// AnnounceOwners tells every decision who owns which instance. The kernel turns
// it into OwnersChanged.
type AnnounceOwners struct {
	owners *Owners
}

// NewAnnounceOwners makes the action.
func NewAnnounceOwners(owners *Owners) AnnounceOwners { return AnnounceOwners{owners: owners} }

// Owners is the new table.
func (action AnnounceOwners) Owners() *Owners { return action.owners }

func (AnnounceOwners) isAction() {}

// OwnersChanged is the new table of owners.
type OwnersChanged struct {
	owners *Owners
}

// NewOwnersChanged makes the event.
func NewOwnersChanged(owners *Owners) OwnersChanged { return OwnersChanged{owners: owners} }

// Owners is the new table.
func (event OwnersChanged) Owners() *Owners { return event.owners }

func (OwnersChanged) isEvent() {}

// OwnerCount is how many proxies stand in for one another at an instance: the
// owner serves it, the others watch it and take over.
const OwnerCount = 3

// Owners tells which proxies serve an instance. Ownership is a hint: two proxies
// that both believe to be the owner cost speed, never safety. The zero value
// knows no owners.
type Owners struct {
	self       string
	byInstance map[InstanceID][]PeerView
	watchers   []PeerView
}

// NewOwners makes a table; it must not be changed afterwards. watchers are the
// proxies that watch the platform's store for the others.
func NewOwners(self string, byInstance map[InstanceID][]PeerView, watchers []PeerView) *Owners {
	return &Owners{self: self, byInstance: byInstance, watchers: watchers}
}

// Of returns the owner of an instance and those that take over, in order.
func (owners *Owners) Of(id InstanceID) []PeerView { return owners.byInstance[id] }

// Watchers are the proxies that watch the platform's store for the others.
func (owners *Owners) Watchers() []PeerView { return owners.watchers }

// All is the table; not to be changed.
func (owners *Owners) All() map[InstanceID][]PeerView { return owners.byInstance }

// Has reports whether the named proxy serves the instance.
func (owners *Owners) Has(id InstanceID, name string) bool {
	for _, peer := range owners.byInstance[id] {
		if peer.name == name {
			return true
		}
	}
	return false
}

// Includes reports whether a proxy serves any instance.
func (owners *Owners) Includes(peer PeerView) bool {
	for _, servers := range owners.byInstance {
		if slices.Contains(servers, peer) {
			return true
		}
	}
	return false
}

// Rank is this process's place among the owners of an instance.
func (owners *Owners) Rank(id InstanceID) (rank int, found bool) {
	return owners.place(owners.byInstance[id])
}

// IsWatcher reports whether this process watches the platform's store.
func (owners *Owners) IsWatcher() bool {
	_, found := owners.place(owners.watchers)
	return found
}

func (owners *Owners) place(peers []PeerView) (int, bool) {
	for i, peer := range peers {
		if peer.name == owners.self {
			return i, true
		}
	}
	return 0, false
}
