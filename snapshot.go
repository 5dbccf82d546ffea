package ebonywood

// Proof is the result of a status round in which a majority obeyed one term and the
// primary of that term reported the end of its log. A member that holds the log up
// to that end serves data no older than the start of the round.
type Proof struct {
	startedAt Millis
	position  Position
}

// NewProof returns a proof.
func NewProof(startedAt Millis, position Position) Proof {
	return Proof{startedAt: startedAt, position: position}
}

// StartedAt returns when the round's queries were sent, on the clock of this
// process.
func (proof Proof) StartedAt() Millis { return proof.startedAt }

// Position returns the end of the primary's log.
func (proof Proof) Position() Position { return proof.position }

// MemberView is the last known state of a member.
type MemberView struct {
	member    Member
	applied   Position
	queriedAt Millis
	repliedAt Millis
	readable  bool
}

// NewMemberView returns a view. applied was true at some moment after queriedAt;
// repliedAt is when the member last replied. readable is true if it replied as a
// primary or as a replica that follows one. The views of package succession have no
// applied position and no times, and their readable is true if the member is reachable.
func NewMemberView(member Member, applied Position, queriedAt, repliedAt Millis, readable bool) MemberView {
	return MemberView{member: member, applied: applied, queriedAt: queriedAt, repliedAt: repliedAt, readable: readable}
}

// Member returns the configured member.
func (view MemberView) Member() Member { return view.member }

// Applied returns the end of what the member's reads showed when it last replied.
func (view MemberView) Applied() Position { return view.applied }

// QueriedAt returns when the query was sent whose reply contained Applied.
func (view MemberView) QueriedAt() Millis { return view.queriedAt }

// RepliedAt returns when the member last replied.
func (view MemberView) RepliedAt() Millis { return view.repliedAt }

// IsReadable reports whether the member's reads return only records that a majority
// may keep; in the views of package succession, whether the member is reachable.
func (view MemberView) IsReadable() bool { return view.readable }

// InstanceView is the last known state of an instance.
type InstanceView struct {
	id            InstanceID
	term          Term
	primary       MemberID
	holdingWrites bool
	members       []MemberView
	proofs        []Proof
	primaryLostAt Millis
	primaryUntil  Millis
}

// NewInstanceView returns a view. primary is empty while none is known;
// holdingWrites is true while writes must wait for a switchover;
// proofs are in order of time.
func NewInstanceView(id InstanceID, term Term, primary MemberID, holdingWrites bool, members []MemberView, proofs []Proof) *InstanceView {
	return &InstanceView{id: id, term: term, primary: primary, holdingWrites: holdingWrites, members: members, proofs: proofs}
}

// WithPrimaryLostAt returns the view with the time since which its primary is
// unknown or unreachable; 0 while it is reachable.
func (view *InstanceView) WithPrimaryLostAt(lostAt Millis) *InstanceView {
	changed := *view
	changed.primaryLostAt = lostAt
	return &changed
}

// PrimaryLostAt returns the time since which the primary is unknown or unreachable;
// 0 while it is reachable.
func (view *InstanceView) PrimaryLostAt() Millis { return view.primaryLostAt }

// WithPrimaryUntil returns the view with the time from which its primary, which is
// leaving, must get no new work; 0 if it is not leaving.
func (view *InstanceView) WithPrimaryUntil(until Millis) *InstanceView {
	changed := *view
	changed.primaryUntil = until
	return &changed
}

// PrimaryUntil returns the time from which the primary must get no new work; 0 if it is
// not leaving.
func (view *InstanceView) PrimaryUntil() Millis { return view.primaryUntil }

// AcceptsWork reports whether there is a primary that may get new work at a time.
func (view *InstanceView) AcceptsWork(now Millis) bool {
	return view.primary != "" && (view.primaryUntil == 0 || now < view.primaryUntil)
}

// ID returns the instance's identifier.
func (view *InstanceView) ID() InstanceID { return view.id }

// Term returns the highest term known to have a primary.
func (view *InstanceView) Term() Term { return view.term }

// Primary returns the member assumed to be primary, empty while there is none.
func (view *InstanceView) Primary() MemberID { return view.primary }

// IsHoldingWrites reports whether new writes have to wait.
func (view *InstanceView) IsHoldingWrites() bool { return view.holdingWrites }

// Members returns the members in configured order.
func (view *InstanceView) Members() []MemberView { return view.members }

// Proofs returns the retained proofs in order of time.
func (view *InstanceView) Proofs() []Proof { return view.proofs }

// Member finds a member.
func (view *InstanceView) Member(id MemberID) (MemberView, bool) {
	for _, candidate := range view.members {
		if candidate.member.id == id {
			return candidate, true
		}
	}
	return MemberView{}, false
}

// Snapshot is the published control state. It is immutable after publication, so
// traffic goroutines read it without locks.
type Snapshot struct {
	objectSet     *ObjectSet
	views         map[InstanceID]*InstanceView
	draining      bool
	drainDeadline Millis
	objectSetAsOf Millis
	peers         []PeerView
	owners        *Owners
	peerUpdates   []PeerUpdate
	hosts         HostsListed
	reportCount   int
	isolated      bool
	holdsDuty     bool
	allocators    []Allocator
}

// Allocators returns the allocators of the workspaces' tokens that have a holder; none
// unless a workspace has a limit.
func (snapshot *Snapshot) Allocators() []Allocator { return snapshot.allocators }

// HoldsDuty reports whether this process holds the duty to promote.
func (snapshot *Snapshot) HoldsDuty() bool { return snapshot.holdsDuty }

// IsServed reports whether this process is an owner of the instance. If no owner is
// known, every process serves the instance.
func (snapshot *Snapshot) IsServed(id InstanceID) bool {
	_, found := snapshot.owners.Rank(id)
	return found || len(snapshot.owners.ForInstance(id)) == 0
}

// IsWatched reports whether this process has to track the state of the instance's
// members: it serves the instance or holds the duty to promote.
func (snapshot *Snapshot) IsWatched(id InstanceID) bool {
	return snapshot.holdsDuty || snapshot.IsServed(id)
}

// IsIsolated reports whether callers should connect to another proxy. This one can't
// reach the directory, and there is an instance that it serves whose primary it can't
// reach, or one that it does not serve for which it can't reach any proxy that does.
func (snapshot *Snapshot) IsIsolated() bool { return snapshot.isolated }

// ReportCount returns how many proxies report to the directory, including this one.
func (snapshot *Snapshot) ReportCount() int { return snapshot.reportCount }

// ObjectSet returns the object set in force; nil before the first one.
func (snapshot *Snapshot) ObjectSet() *ObjectSet { return snapshot.objectSet }

// ObjectSetAsOf returns a time by which no newer object set had been accepted than the
// one in force; 0 if none is known.
func (snapshot *Snapshot) ObjectSetAsOf() Millis { return snapshot.objectSetAsOf }

// View finds the view of an instance.
func (snapshot *Snapshot) View(id InstanceID) (*InstanceView, bool) {
	view, found := snapshot.views[id]
	return view, found
}

// IsDraining reports whether the process is shutting down.
func (snapshot *Snapshot) IsDraining() bool { return snapshot.draining }

// DrainDeadline returns the time by which a draining process must have sent its last
// reply to a caller; 0 if the process is not draining or has no time limit.
func (snapshot *Snapshot) DrainDeadline() Millis { return snapshot.drainDeadline }

// Peers returns the proxies assumed to be alive, including this one.
func (snapshot *Snapshot) Peers() []PeerView { return snapshot.peers }

// Owners returns the table of owners; never nil.
func (snapshot *Snapshot) Owners() *Owners { return snapshot.owners }

// PeerUpdates returns the updates about proxies that this process spreads.
func (snapshot *Snapshot) PeerUpdates() []PeerUpdate { return snapshot.peerUpdates }

// Hosts returns the newest list of hosts.
func (snapshot *Snapshot) Hosts() HostsListed { return snapshot.hosts }

// PeerView is a proxy's name, availability zone and peer address.
type PeerView struct {
	name    string
	zone    string
	address string
}

// NewPeerView returns a view of a proxy that listens for peers at address.
func NewPeerView(name, zone, address string) PeerView {
	return PeerView{name: name, zone: zone, address: address}
}

// Name returns the proxy's name.
func (peer PeerView) Name() string { return peer.name }

// Zone returns the proxy's availability zone.
func (peer PeerView) Zone() string { return peer.zone }

// Address returns the address on which the proxy listens for peers.
func (peer PeerView) Address() string { return peer.address }

// Draft collects the parts of the next snapshot.
type Draft struct {
	snapshot Snapshot
}

// NewDraft returns an empty draft.
func NewDraft() *Draft {
	return &Draft{snapshot: Snapshot{views: map[InstanceID]*InstanceView{}, owners: &Owners{}}}
}

// SetObjectSet sets the object set in force.
func (draft *Draft) SetObjectSet(set *ObjectSet) { draft.snapshot.objectSet = set }

// SetObjectSetAsOf sets the time by which no newer object set had been accepted.
func (draft *Draft) SetObjectSetAsOf(asOf Millis) { draft.snapshot.objectSetAsOf = asOf }

// AddView adds the view of an instance.
func (draft *Draft) AddView(view *InstanceView) { draft.snapshot.views[view.id] = view }

// SetDraining marks the process as shutting down; deadline is 0 if there is no time
// limit.
func (draft *Draft) SetDraining(deadline Millis) {
	draft.snapshot.draining = true
	draft.snapshot.drainDeadline = deadline
}

// SetPeers sets the live proxies, including this one; the slice must not be
// modified afterwards.
func (draft *Draft) SetPeers(peers []PeerView) { draft.snapshot.peers = peers }

// SetOwners sets the table of owners.
func (draft *Draft) SetOwners(owners *Owners) { draft.snapshot.owners = owners }

// SetHosts sets the newest list of hosts.
func (draft *Draft) SetHosts(hosts HostsListed) { draft.snapshot.hosts = hosts }

// SetReportCount sets how many proxies report to the directory.
func (draft *Draft) SetReportCount(count int) { draft.snapshot.reportCount = count }

// SetDuty sets whether this process holds the duty to promote.
func (draft *Draft) SetDuty(held bool) { draft.snapshot.holdsDuty = held }

// SetAllocators sets the allocators that have a holder; the slice must not be modified
// afterwards.
func (draft *Draft) SetAllocators(allocators []Allocator) { draft.snapshot.allocators = allocators }

// SetIsolated sets whether callers should connect to another proxy.
func (draft *Draft) SetIsolated(isolated bool) { draft.snapshot.isolated = isolated }

// SetPeerUpdates sets the updates to spread; the slice must not be modified
// afterwards.
func (draft *Draft) SetPeerUpdates(updates []PeerUpdate) { draft.snapshot.peerUpdates = updates }

// Publish returns the snapshot; the draft must not be used afterwards.
func (draft *Draft) Publish() *Snapshot { return &draft.snapshot }
