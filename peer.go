package ebonywood

import "slices"

// PeerState is the assumed state of a proxy.
type PeerState uint8

// The states of a proxy. Of two updates with the same incarnation the greater state
// wins.
const (
	PeerAlive PeerState = iota
	PeerSuspect
	PeerDead
	PeerLeft
)

// PeerUpdate is the assumed state of one proxy, as it spreads by gossip.
type PeerUpdate struct {
	peer        PeerView
	incarnation uint64
	state       PeerState
}

// NewPeerUpdate returns an update. Only the proxy itself increases its incarnation.
func NewPeerUpdate(peer PeerView, incarnation uint64, state PeerState) PeerUpdate {
	return PeerUpdate{peer: peer, incarnation: incarnation, state: state}
}

// Peer returns the proxy.
func (update PeerUpdate) Peer() PeerView { return update.peer }

// Incarnation orders the updates about one proxy.
func (update PeerUpdate) Incarnation() uint64 { return update.incarnation }

// State returns the assumed state.
func (update PeerUpdate) State() PeerState { return update.state }

// Overrides reports whether the update replaces an older one about the same proxy.
func (update PeerUpdate) Overrides(older PeerUpdate) bool {
	if update.incarnation != older.incarnation {
		return update.incarnation > older.incarnation
	}
	return update.state > older.state
}

// ProbePeer makes the peer edge probe whether a proxy responds, and send updates
// along.
type ProbePeer struct {
	address           string
	via               string
	number            uint64
	requestsFullState bool
	updates           []PeerUpdate
}

// NewProbePeer returns the action. via is the address of a proxy that probes on
// behalf of this one, empty for a direct probe; number is returned with the result,
// and 0 requests no result; requestsFullState requests all updates that the probed
// proxy holds.
func NewProbePeer(address, via string, number uint64, requestsFullState bool, updates []PeerUpdate) ProbePeer {
	return ProbePeer{address: address, via: via, number: number, requestsFullState: requestsFullState, updates: updates}
}

// Address returns the peer address to probe.
func (action ProbePeer) Address() string { return action.address }

// Via returns the peer address of the proxy that probes on behalf of this one.
func (action ProbePeer) Via() string { return action.via }

// Number identifies the probe in its result.
func (action ProbePeer) Number() uint64 { return action.number }

// RequestsFullState reports whether all updates of the probed proxy are requested.
func (action ProbePeer) RequestsFullState() bool { return action.requestsFullState }

// Updates returns the updates to send along.
func (action ProbePeer) Updates() []PeerUpdate { return action.updates }

func (ProbePeer) isAction() {}

// ProbeEnded is the result of a probe.
type ProbeEnded struct {
	number  uint64
	replied bool
}

// NewProbeEnded returns the event.
func NewProbeEnded(number uint64, replied bool) ProbeEnded {
	return ProbeEnded{number: number, replied: replied}
}

// Number returns the number of the probe.
func (event ProbeEnded) Number() uint64 { return event.number }

// HasReplied reports whether the proxy replied.
func (event ProbeEnded) HasReplied() bool { return event.replied }

func (ProbeEnded) isEvent() {}

// GossipReceived reports what another proxy sent, in a probe of its own or in reply to
// one.
type GossipReceived struct {
	updates       []PeerUpdate
	generation    uint64
	hostsRevision int64
	address       string
}

// NewGossipReceived returns the event. generation is that of the object set in
// force, and hostsRevision that of the list of hosts, at the proxy that listens at
// address.
func NewGossipReceived(updates []PeerUpdate, generation uint64, hostsRevision int64, address string) GossipReceived {
	return GossipReceived{updates: updates, generation: generation, hostsRevision: hostsRevision, address: address}
}

// HostsRevision returns the revision of the list of hosts at the other proxy.
func (event GossipReceived) HostsRevision() int64 { return event.hostsRevision }

// Updates returns the assumed states of proxies.
func (event GossipReceived) Updates() []PeerUpdate { return event.updates }

// Generation returns the generation of the set in force at the other proxy.
func (event GossipReceived) Generation() uint64 { return event.generation }

// Address returns the other proxy's peer address.
func (event GossipReceived) Address() string { return event.address }

func (GossipReceived) isEvent() {}

// FetchObjectSet makes the peer edge fetch the object set and the list of hosts
// that are in force at another proxy.
type FetchObjectSet struct {
	address string
}

// NewFetchObjectSet returns the action.
func NewFetchObjectSet(address string) FetchObjectSet { return FetchObjectSet{address: address} }

// Address returns the other proxy's peer address.
func (action FetchObjectSet) Address() string { return action.address }

func (FetchObjectSet) isAction() {}

// ApplyOwners puts a new table of owners in force in this process. The kernel
// passes it to every decision as OwnersChanged.
type ApplyOwners struct {
	owners *Owners
}

// NewApplyOwners returns the action.
func NewApplyOwners(owners *Owners) ApplyOwners { return ApplyOwners{owners: owners} }

// Owners returns the new table.
func (action ApplyOwners) Owners() *Owners { return action.owners }

func (ApplyOwners) isAction() {}

// OwnersChanged reports the new table of owners.
type OwnersChanged struct {
	owners *Owners
}

// NewOwnersChanged returns the event.
func NewOwnersChanged(owners *Owners) OwnersChanged { return OwnersChanged{owners: owners} }

// Owners returns the new table.
func (event OwnersChanged) Owners() *Owners { return event.owners }

func (OwnersChanged) isEvent() {}

// OwnerCount is how many proxies package membership assigns to an instance: the
// first one serves it, the others monitor it and take over if the first one fails.
// Package placement does not use it; it assigns up to LimitServersPerInstance
// proxies, rounded up to the same number in each availability zone, and all of them
// serve the instance.
const OwnerCount = 3

// Owners maps each instance to the proxies that are assigned to it. Ownership is a
// hint: two proxies that both act as the owner reduce performance, but not safety.
// The zero value has no owners.
type Owners struct {
	self       string
	byInstance map[InstanceID][]PeerView
	watchers   []PeerView
}

// NewOwners returns a table; it must not be modified afterwards. self is the name of
// this process. watchers are the proxies that watch the platform's store, or the
// directory, on behalf of the others.
func NewOwners(self string, byInstance map[InstanceID][]PeerView, watchers []PeerView) *Owners {
	return &Owners{self: self, byInstance: byInstance, watchers: watchers}
}

// ForInstance returns the owners of an instance. From membership, the first one
// serves the instance and the others take over in this order. From placement, all of
// them serve it, in the order of their availability zones.
func (owners *Owners) ForInstance(id InstanceID) []PeerView { return owners.byInstance[id] }

// Watchers returns the proxies that watch the platform's store, or the directory, on
// behalf of the others.
func (owners *Owners) Watchers() []PeerView { return owners.watchers }

// ByInstance returns the table; it must not be modified.
func (owners *Owners) ByInstance() map[InstanceID][]PeerView { return owners.byInstance }

// IsOwner reports whether the named proxy is an owner of the instance.
func (owners *Owners) IsOwner(id InstanceID, name string) bool {
	for _, peer := range owners.byInstance[id] {
		if peer.name == name {
			return true
		}
	}
	return false
}

// Includes reports whether a proxy, at this address, is an owner of any instance.
func (owners *Owners) Includes(peer PeerView) bool {
	for _, servers := range owners.byInstance {
		if slices.Contains(servers, peer) {
			return true
		}
	}
	return false
}

// Rank returns this process's index among the owners of an instance.
func (owners *Owners) Rank(id InstanceID) (rank int, found bool) {
	return owners.selfIndex(owners.byInstance[id])
}

// IsWatcher reports whether this process is one of the watchers.
func (owners *Owners) IsWatcher() bool {
	_, found := owners.selfIndex(owners.watchers)
	return found
}

// selfIndex finds this process among the peers.
func (owners *Owners) selfIndex(peers []PeerView) (int, bool) {
	for i, peer := range peers {
		if peer.name == owners.self {
			return i, true
		}
	}
	return 0, false
}
