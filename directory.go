package ebonywood

import "context"

// Item is one key of the directory's store.
type Item struct {
	key      string
	value    []byte
	revision int64
	deleted  bool
}

// NewItem makes an item as it was written at a revision.
func NewItem(key string, value []byte, revision int64) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewDeletedItem makes the note that a key was deleted at a revision.
func NewDeletedItem(key string, revision int64) Item {
	return Item{key: key, revision: revision, deleted: true}
}

// Key names the item.
func (item Item) Key() string { return item.key }

// Value is what was written; not to be changed.
func (item Item) Value() []byte { return item.value }

// Revision is that of the item's last change.
func (item Item) Revision() int64 { return item.revision }

// IsDeleted reports whether the item notes a deletion.
func (item Item) IsDeleted() bool { return item.deleted }

// LeaseID names a lease of the store.
type LeaseID int64

// LeaseStore is a linearizable key-value store with leases and watches. After a
// fault of KindUnavailable a change may have taken effect, or may do so later.
type LeaseStore interface {
	// List reads all items under a prefix; at is a revision from which Changes
	// misses nothing. arriving is called when the answer begins to arrive.
	List(ctx context.Context, prefix string, arriving func()) (items []Item, at int64, err error)
	// Changes waits for changes after a revision. A fault of KindStale says that
	// the history is gone, and that the caller has to list anew.
	Changes(ctx context.Context, prefix string, after int64, wait Millis) (changes []Item, at int64, err error)
	// Create writes a key that must not exist, and returns its revision. A fault
	// of KindConflict says that it exists, of KindStale that the lease has ended.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) (revision int64, err error)
	// Replace writes a key whose revision must be the given one.
	Replace(ctx context.Context, key string, value []byte, lease LeaseID, revision int64) (now int64, err error)
	// Put writes a key whatever it holds.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// Grant makes a lease.
	Grant(ctx context.Context, ttl Millis) (LeaseID, error)
	// Renew prolongs a lease. A fault of KindStale says that it has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// End gives a lease back, and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Directory is the outside service that holds the configuration and the list of
// members. It decodes what others write there; what it can't decode is an error
// and changes nothing.
type Directory interface {
	LeaseStore
	// ConfigurationKey is where operators publish.
	ConfigurationKey() string
	// MemberPrefix is the prefix of the members' keys.
	MemberPrefix() string
	DecodeConfiguration(item Item) (*ObjectSet, error)
	DecodeMember(item Item) (ListedMember, error)
}

// ListedMember is a member's own entry in the directory.
type ListedMember struct {
	member   Member
	instance InstanceID
	primary  bool
	changed  int64
}

// NewListedMember makes an entry. primary says that the member believes that it
// leads, changed is the revision of the entry.
func NewListedMember(member Member, instance InstanceID, primary bool, changed int64) ListedMember {
	return ListedMember{member: member, instance: instance, primary: primary, changed: changed}
}

// Member is the member.
func (listed ListedMember) Member() Member { return listed.member }

// Instance is the instance that it belongs to.
func (listed ListedMember) Instance() InstanceID { return listed.instance }

// ClaimsPrimary reports whether the member believes that it leads.
func (listed ListedMember) ClaimsPrimary() bool { return listed.primary }

// Changed is the revision of the entry.
func (listed ListedMember) Revision() int64 { return listed.changed }

// MembersListed is the whole list of members.
type MembersListed struct {
	members []ListedMember
}

// NewMembersListed makes the event; members must not be changed afterwards.
func NewMembersListed(members []ListedMember) MembersListed { return MembersListed{members: members} }

// Members are all entries.
func (event MembersListed) Members() []ListedMember { return event.members }

func (MembersListed) isEvent() {}

// NodeReport is what one proxy says of itself in the directory.
type NodeReport struct {
	peer     PeerView
	suspects []MemberID
	leaving  bool
}

// NewNodeReport makes a report of a proxy; suspects are the members that it can't
// reach, and leaving says that it is on its way out.
func NewNodeReport(peer PeerView, suspects []MemberID, leaving bool) NodeReport {
	return NodeReport{peer: peer, suspects: suspects, leaving: leaving}
}

// Name names the proxy.
func (report NodeReport) Name() string { return report.peer.Name() }

// Peer is the proxy with its availability zone and its address for others, which
// is empty if it serves none.
func (report NodeReport) Peer() PeerView { return report.peer }

// Suspects are the members that the proxy can't reach.
func (report NodeReport) Suspects() []MemberID { return report.suspects }

// IsLeaving reports whether the proxy is on its way out.
func (report NodeReport) IsLeaving() bool { return report.leaving }

// NodesListed is the reports of all live proxies, this one's included.
type NodesListed struct {
	reports []NodeReport
}

// NewNodesListed makes the event; reports must not be changed afterwards.
func NewNodesListed(reports []NodeReport) NodesListed { return NodesListed{reports: reports} }

// Reports are the live proxies' reports.
func (event NodesListed) Reports() []NodeReport { return event.reports }

func (NodesListed) isEvent() {}

// DutyChanged tells whether this process holds the duty to promote. The fencing
// token is greater for each later holder.
type DutyChanged struct {
	held  bool
	token int64
}

// NewDutyChanged makes the event.
func NewDutyChanged(held bool, token int64) DutyChanged { return DutyChanged{held: held, token: token} }

// IsHeld reports whether this process holds the duty.
func (event DutyChanged) IsHeld() bool { return event.held }

// Token is the fencing token, 0 if the duty is not held.
func (event DutyChanged) Token() int64 { return event.token }

func (DutyChanged) isEvent() {}

// DirectoryChanged tells whether the directory answers this process.
type DirectoryReachabilityChanged struct {
	reachable bool
}

// NewDirectoryChanged makes the event.
func NewDirectoryReachabilityChanged(reachable bool) DirectoryReachabilityChanged {
	return DirectoryReachabilityChanged{reachable: reachable}
}

// IsReachable reports whether the directory answers.
func (event DirectoryReachabilityChanged) IsReachable() bool { return event.reachable }

func (DirectoryReachabilityChanged) isEvent() {}

// AnnounceSuspects writes the members that this process can't reach into its
// report.
type AnnounceSuspects struct {
	suspects []MemberID
}

// NewAnnounceSuspects makes the action.
func NewAnnounceSuspects(suspects []MemberID) AnnounceSuspects {
	return AnnounceSuspects{suspects: suspects}
}

// Suspects are the members.
func (action AnnounceSuspects) Suspects() []MemberID { return action.suspects }

func (AnnounceSuspects) isAction() {}

// AnnounceLeaving writes into this process's report that it is on its way out.
type AnnounceLeaving struct{}

func (AnnounceLeaving) isAction() {}

// RenewToken asks for a greater fencing token, so that earlier orders without an
// answer can't take effect after the next one.
type RenewToken struct{}

func (RenewToken) isAction() {}
