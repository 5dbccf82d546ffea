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
type ProbeEnded struct {
	number   uint64
	answered bool
}

// NewProbeAnswered makes the event.
func NewProbeEnded(number uint64, answered bool) ProbeEnded {
	return ProbeEnded{number: number, answered: answered}
}

// Number is the probe's.
func (event ProbeEnded) Number() uint64 { return event.number }

// HasAnswered reports whether the proxy lives.
func (event ProbeEnded) HasReplied() bool { return event.answered }

func (ProbeEnded) isEvent() {}

// NewsHeard is what another proxy said of its own accord or in an answer.
type GossipReceived struct {
	updates    []PeerUpdate
	generation uint64
	hosts      int64
	address    string
}

// NewNewsHeard makes the event; generation is the set in force, and hosts the
// revision of the list of hosts, at the proxy that listens at address.
func NewGossipReceived(updates []PeerUpdate, generation uint64, hosts int64, address string) GossipReceived {
	return GossipReceived{updates: updates, generation: generation, hosts: hosts, address: address}
}

// Hosts is the revision of the list of hosts at the other proxy.
func (event GossipReceived) HostsRevision() int64 { return event.hosts }

// Updates are the beliefs about proxies.
func (event GossipReceived) Updates() []PeerUpdate { return event.updates }

// Generation is the set in force at the other proxy.
func (event GossipReceived) Generation() uint64 { return event.generation }

// Address is the other proxy's peer address.
func (event GossipReceived) Address() string { return event.address }

func (GossipReceived) isEvent() {}

// FetchSet asks the peer edge for the set and the list of hosts that are in force
// at another proxy.
type FetchObjectSet struct {
	address string
}

// NewFetchSet makes the action.
func NewFetchObjectSet(address string) FetchObjectSet { return FetchObjectSet{address: address} }

// Address is the other proxy's peer address.
func (action FetchObjectSet) Address() string { return action.address }

func (FetchObjectSet) isAction() {}

// AnnounceOwners tells every decision who owns which instance. The kernel turns
// it into OwnersChanged.
type ApplyOwners struct {
	owners *Owners
}

// NewAnnounceOwners makes the action.
func NewApplyOwners(owners *Owners) ApplyOwners { return ApplyOwners{owners: owners} }

// Owners is the new table.
func (action ApplyOwners) Owners() *Owners { return action.owners }

func (ApplyOwners) isAction() {}

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
func (owners *Owners) ByInstance() map[InstanceID][]PeerView { return owners.byInstance }

// Has reports whether the named proxy serves the instance.
func (owners *Owners) IsOwner(id InstanceID, name string) bool {
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
