package ebonywood

// Proof is a status round in which a majority obeyed one term and the primary of
// that term told the end of its log. Whoever holds the log up to that end serves
// data no older than the time at which the round began.
type Proof struct {
	began Millis
	at    Position
}

// NewProof makes a proof.
func NewProof(began Millis, at Position) Proof { return Proof{began: began, at: at} }

// Began is when the round's questions left, on the clock of this process.
func (proof Proof) StartedAt() Millis { return proof.began }

// At is the end of the primary's log.
func (proof Proof) Position() Position { return proof.at }

// MemberView is what is known of a member.
type MemberView struct {
	member   Member
	applied  Position
	asked    Millis
	heard    Millis
	readable bool
}

// NewMemberView makes a view. applied was true at some moment after asked; heard
// is when the member last answered, and readable says that it answered as a
// primary or as a replica that follows one.
func NewMemberView(member Member, applied Position, asked, heard Millis, readable bool) MemberView {
	return MemberView{member: member, applied: applied, asked: asked, heard: heard, readable: readable}
}

// Member is the configured member.
func (view MemberView) Member() Member { return view.member }

// Applied is the state that its reads showed when it last answered.
func (view MemberView) Applied() Position { return view.applied }

// Asked is when the question left to which Applied is the answer.
func (view MemberView) QueriedAt() Millis { return view.asked }

// Heard is when it last answered.
func (view MemberView) RepliedAt() Millis { return view.heard }

// IsReadable reports whether its reads show only what a majority may keep.
func (view MemberView) IsReadable() bool { return view.readable }

// InstanceView is what is known of an instance.
type InstanceView struct {
	id      InstanceID
	term    Term
	primary MemberID
	held    bool
	members []MemberView
	proofs  []Proof
	lostAt  Millis
}

// NewInstanceView makes a view. primary is empty while none is known; held says
// that writes must wait for a planned change; proofs are in order of time.
func NewInstanceView(id InstanceID, term Term, primary MemberID, held bool, members []MemberView, proofs []Proof) *InstanceView {
	return &InstanceView{id: id, term: term, primary: primary, held: held, members: members, proofs: proofs}
}

// LostAt returns the view with the time since when its primary is unknown or out
// of reach; 0 while it is there.
func (view *InstanceView) WithPrimaryLostAt(since Millis) *InstanceView {
	changed := *view
	changed.lostAt = since
	return &changed
}

// PrimaryLostAt is since when the primary is unknown or out of reach; 0 while it
// is there.
func (view *InstanceView) PrimaryLostAt() Millis { return view.lostAt }

// ID names the instance.
func (view *InstanceView) ID() InstanceID { return view.id }

// Term is the highest term known to have a primary.
func (view *InstanceView) Term() Term { return view.term }

// Primary is the member believed to be primary, empty while there is none.
func (view *InstanceView) Primary() MemberID { return view.primary }

// IsHeld reports whether new writes have to wait.
func (view *InstanceView) IsHoldingWrites() bool { return view.held }

// Members are the members in configured order.
func (view *InstanceView) Members() []MemberView { return view.members }

// Proofs are the kept proofs in order of time.
func (view *InstanceView) Proofs() []Proof { return view.proofs }

// Member finds a member.
func (view *InstanceView) Member(id MemberID) (MemberView, bool) {
	for _, member := range view.members {
		if member.member.id == id {
			return member, true
		}
	}
	return MemberView{}, false
}

// Snapshot is the published control state. It is never changed after
// publication, so traffic reads it without locks.
type Snapshot struct {
	set      *ObjectSet
	views    map[InstanceID]*InstanceView
	draining bool
	endsAt   Millis
	peers    []PeerView
	owners   *Owners
	news     []PeerUpdate
	hosts    HostsListed
	reports  int
	isolated bool
	duty     bool
}

// HoldsDuty reports whether this process holds the duty to promote.
func (snapshot *Snapshot) HoldsDuty() bool { return snapshot.duty }

// IsServed reports whether this process serves the instance. Where no proxy is
// known to serve it, each does.
func (snapshot *Snapshot) IsServed(id InstanceID) bool {
	_, found := snapshot.owners.Rank(id)
	return found || len(snapshot.owners.Of(id)) == 0
}

// IsWatched reports whether this process has to know how the members of the
// instance stand.
func (snapshot *Snapshot) IsWatched(id InstanceID) bool {
	return snapshot.duty || snapshot.IsServed(id)
}

// IsIsolated reports whether callers are better off at another proxy.
func (snapshot *Snapshot) IsIsolated() bool { return snapshot.isolated }

// Reports is how many proxies report to the directory, this one included.
func (snapshot *Snapshot) ReportCount() int { return snapshot.reports }

// Set is the object set in force; nil before the first one.
func (snapshot *Snapshot) ObjectSet() *ObjectSet { return snapshot.set }

// View is what is known of an instance.
func (snapshot *Snapshot) View(id InstanceID) (*InstanceView, bool) {
	view, found := snapshot.views[id]
	return view, found
}

// IsDraining reports whether the process is on its way out.
func (snapshot *Snapshot) IsDraining() bool { return snapshot.draining }

// EndsAt is the time by which a process on its way out has to have answered; 0 if it
// stays, or takes any time.
func (snapshot *Snapshot) DrainDeadline() Millis { return snapshot.endsAt }

// Peers are the other proxies that are believed to live.
func (snapshot *Snapshot) Peers() []PeerView { return snapshot.peers }

// Owners tells which proxies serve an instance; never nil.
func (snapshot *Snapshot) Owners() *Owners { return snapshot.owners }

// News is what this process has to pass on about proxies.
func (snapshot *Snapshot) PeerUpdates() []PeerUpdate { return snapshot.news }

// Hosts is the newest list of hosts.
func (snapshot *Snapshot) Hosts() HostsListed { return snapshot.hosts }

// PeerView is what is known of another proxy.
type PeerView struct {
	name    string
	zone    string
	address string
}

// NewPeerView makes a view of a proxy that listens for peers at address.
func NewPeerView(name, zone, address string) PeerView {
	return PeerView{name: name, zone: zone, address: address}
}

// Name is the proxy's name.
func (peer PeerView) Name() string { return peer.name }

// Zone is its availability zone.
func (peer PeerView) Zone() string { return peer.zone }

// Address is where it listens for peers.
func (peer PeerView) Address() string { return peer.address }

// Draft gathers the parts of the next snapshot.
type Draft struct {
	snapshot Snapshot
}

// NewDraft makes an empty draft.
func NewDraft() *Draft {
	return &Draft{snapshot: Snapshot{views: map[InstanceID]*InstanceView{}, owners: &Owners{}}}
}

// SetObjects sets the object set in force.
func (draft *Draft) SetObjectSet(set *ObjectSet) { draft.snapshot.set = set }

// AddView adds an instance.
func (draft *Draft) AddView(view *InstanceView) { draft.snapshot.views[view.id] = view }

// SetDraining marks the process as leaving; endsAt is 0 if it takes any time.
func (draft *Draft) SetDraining(endsAt Millis) {
	draft.snapshot.draining = true
	draft.snapshot.endsAt = endsAt
}

// SetPeers sets the live proxies, this one included; not to be changed later.
func (draft *Draft) SetPeers(peers []PeerView) { draft.snapshot.peers = peers }

// SetOwners sets the table of owners.
func (draft *Draft) SetOwners(owners *Owners) { draft.snapshot.owners = owners }

// SetHosts sets the newest list of hosts.
func (draft *Draft) SetHosts(hosts HostsListed) { draft.snapshot.hosts = hosts }

// SetReports sets how many proxies report to the directory.
func (draft *Draft) SetReportCount(count int) { draft.snapshot.reports = count }

// SetDuty says whether this process holds the duty to promote.
func (draft *Draft) SetDuty(held bool) { draft.snapshot.duty = held }

// SetIsolated says whether callers are better off at another proxy.
func (draft *Draft) SetIsolated(isolated bool) { draft.snapshot.isolated = isolated }

// SetNews sets what is to be passed on; not to be changed later.
func (draft *Draft) SetPeerUpdates(news []PeerUpdate) { draft.snapshot.news = news }

// Publish ends the draft; it must not be used afterwards.
func (draft *Draft) Publish() *Snapshot { return &draft.snapshot }
