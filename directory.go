package ebonywood

import "context"

// Item is one key of the directory's store with its value and revision.
type Item struct {
	key      string
	value    []byte
	revision Revision
	deleted  bool
}

// NewItem returns an item with the value written at a revision.
func NewItem(key string, value []byte, revision Revision) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewDeletedItem returns the tombstone of a key that was deleted at a revision.
func NewDeletedItem(key string, revision Revision) Item {
	return Item{key: key, revision: revision, deleted: true}
}

// Key returns the item's key.
func (item Item) Key() string { return item.key }

// Value returns the value; it must not be modified.
func (item Item) Value() []byte { return item.value }

// Revision returns the revision of the item's last change.
func (item Item) Revision() Revision { return item.revision }

// IsDeleted reports whether the item is a tombstone.
func (item Item) IsDeleted() bool { return item.deleted }

// LeaseID identifies a lease of the store. A store that is restored from a backup may give the number
// of a lost lease to another process, so a lease counts only in the era that granted it. The zero
// value is no lease.
type LeaseID struct {
	era    Era
	number int64
}

// NewLeaseID returns the lease with a number that was granted in an era.
func NewLeaseID(era Era, number int64) LeaseID { return LeaseID{era: era, number: number} }

// Era returns the era in which the lease was granted.
func (lease LeaseID) Era() Era { return lease.era }

// Number returns the store's number of the lease.
func (lease LeaseID) Number() int64 { return lease.number }

// IsZero reports whether this is no lease.
func (lease LeaseID) IsZero() bool { return lease == LeaseID{} }

// LeaseStore is a linearizable key-value store with leases and watches. After a
// fault of KindUnavailable a change may have taken effect, or may still take
// effect. What was acknowledged in an earlier era may be lost.
type LeaseStore interface {
	// List reads all items under a prefix. revision is one from which Changes
	// misses nothing. onResponse is called when a response starts to arrive, which
	// may be several times for a list of several pages.
	List(ctx context.Context, prefix string, onResponse func()) (items []Item, revision Revision, err error)
	// Changes waits for changes after a revision. A fault of KindStale means that
	// the history is no longer kept or is that of an earlier era, and that the caller
	// has to list again.
	Changes(ctx context.Context, prefix string, after Revision, wait Millis) (changes []Item, revision Revision, err error)
	// Create writes a key that must not exist, and returns its revision. A fault of
	// KindConflict means that the key exists, one of KindStale that the lease has
	// expired or is of an earlier era; in the latter case the key may have been written.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) (revision Revision, err error)
	// Replace writes a key whose revision must be the given one, and returns the
	// new revision. A fault of KindConflict means that the revision differs, or is of
	// an earlier era.
	Replace(ctx context.Context, key string, value []byte, lease LeaseID, revision Revision) (newRevision Revision, err error)
	// Put writes a key unconditionally.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) (revision Revision, err error)
	// Grant creates a lease with a time to live, which the store may raise to its
	// minimum.
	Grant(ctx context.Context, ttl Millis) (LeaseID, error)
	// Renew extends a lease. A fault of KindStale means that it has expired, or that it
	// is of an earlier era, and its keys have to be written again with another one.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys. It leaves a lease of an earlier era alone,
	// which may be that of another process now.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Directory is the external service that holds the configuration and the list of
// members. Its decoders read entries that other processes wrote. An entry that
// can't be decoded is an error and changes nothing.
type Directory interface {
	LeaseStore
	// ConfigurationKey returns the key to which operators publish.
	ConfigurationKey() string
	// MemberPrefix returns the prefix of the members' keys.
	MemberPrefix() string
	// DecodeConfiguration decodes and checks the item of ConfigurationKey.
	DecodeConfiguration(item Item) (*ObjectSet, error)
	// DecodeMember decodes an item under MemberPrefix.
	DecodeMember(item Item) (ListedMember, error)
}

// ListedMember is a member's own entry in the directory.
type ListedMember struct {
	member   Member
	instance InstanceID
	primary  bool
	revision Revision
}

// NewListedMember returns an entry. primary is true if the member claims to be
// primary; revision is that of the entry.
func NewListedMember(member Member, instance InstanceID, primary bool, revision Revision) ListedMember {
	return ListedMember{member: member, instance: instance, primary: primary, revision: revision}
}

// Member returns the member.
func (entry ListedMember) Member() Member { return entry.member }

// Instance returns the instance that the member belongs to.
func (entry ListedMember) Instance() InstanceID { return entry.instance }

// ClaimsPrimary reports whether the member claims to be primary.
func (entry ListedMember) ClaimsPrimary() bool { return entry.primary }

// Revision returns the revision of the entry.
func (entry ListedMember) Revision() Revision { return entry.revision }

// MembersListed reports the complete list of members.
type MembersListed struct {
	members []ListedMember
}

// NewMembersListed returns the event; members must not be modified afterwards.
func NewMembersListed(members []ListedMember) MembersListed { return MembersListed{members: members} }

// Members returns all entries.
func (event MembersListed) Members() []ListedMember { return event.members }

func (MembersListed) isEvent() {}

// ProxyReport is the report that a proxy publishes in the directory.
type ProxyReport struct {
	peer     PeerView
	suspects []MemberID
	leaving  bool
	// requestedStops and writeStops are the stops of writes that the proxy requests, and
	// those that are in force there.
	requestedStops, writeStops []WriteStop
}

// NewProxyReport returns the report of a proxy. suspects are the members that the
// proxy can't reach; leaving is true once the proxy is shutting down.
func NewProxyReport(peer PeerView, suspects []MemberID, leaving bool) ProxyReport {
	return ProxyReport{peer: peer, suspects: suspects, leaving: leaving}
}

// WithWriteStops returns the report with the stops of writes that the proxy requests of
// all proxies, and with those that it has carried out.
func (report ProxyReport) WithWriteStops(requested, stopped []WriteStop) ProxyReport {
	report.requestedStops, report.writeStops = requested, stopped
	return report
}

// RequestedStops returns the stops of writes that the proxy requests of all proxies.
func (report ProxyReport) RequestedStops() []WriteStop { return report.requestedStops }

// WriteStops returns the stops for which the proxy has no write in flight and sends none.
func (report ProxyReport) WriteStops() []WriteStop { return report.writeStops }

// Name returns the proxy's name.
func (report ProxyReport) Name() string { return report.peer.Name() }

// Peer returns the proxy with its availability zone and its peer address, which is
// empty if it does not listen for peers.
func (report ProxyReport) Peer() PeerView { return report.peer }

// Suspects returns the members that the proxy can't reach.
func (report ProxyReport) Suspects() []MemberID { return report.suspects }

// IsLeaving reports whether the proxy is shutting down.
func (report ProxyReport) IsLeaving() bool { return report.leaving }

// ProxyReportsListed holds the reports of all live proxies, including this one's.
type ProxyReportsListed struct {
	reports []ProxyReport
}

// NewProxyReportsListed returns the event; reports must not be modified afterwards.
func NewProxyReportsListed(reports []ProxyReport) ProxyReportsListed {
	return ProxyReportsListed{reports: reports}
}

// Reports returns the reports of the live proxies.
func (event ProxyReportsListed) Reports() []ProxyReport { return event.reports }

func (ProxyReportsListed) isEvent() {}

// DirectoryRestored reports that the directory was restored from a backup of its content: leases
// and changes that it had acknowledged may be lost.
type DirectoryRestored struct{}

func (DirectoryRestored) isEvent() {}

// DutyChanged reports whether this process holds the duty to promote. The fencing
// token is greater for each later holder.
type DutyChanged struct {
	held  bool
	token int64
}

// NewDutyChanged returns the event.
func NewDutyChanged(held bool, token int64) DutyChanged { return DutyChanged{held: held, token: token} }

// IsHeld reports whether this process holds the duty.
func (event DutyChanged) IsHeld() bool { return event.held }

// Token returns the fencing token, 0 if the duty is not held.
func (event DutyChanged) Token() int64 { return event.token }

func (DutyChanged) isEvent() {}

// ConfigurationConfirmed reports that every change of the configuration that the
// directory had accepted by a time was posted before this event.
type ConfigurationConfirmed struct {
	asOf Millis
}

// NewConfigurationConfirmed returns the event.
func NewConfigurationConfirmed(asOf Millis) ConfigurationConfirmed {
	return ConfigurationConfirmed{asOf: asOf}
}

// AsOf returns the time, on the clock of this process.
func (event ConfigurationConfirmed) AsOf() Millis { return event.asOf }

func (ConfigurationConfirmed) isEvent() {}

// DirectoryReachabilityChanged reports whether the directory responds to this
// process.
type DirectoryReachabilityChanged struct {
	reachable bool
}

// NewDirectoryReachabilityChanged returns the event.
func NewDirectoryReachabilityChanged(reachable bool) DirectoryReachabilityChanged {
	return DirectoryReachabilityChanged{reachable: reachable}
}

// IsReachable reports whether the directory responds.
func (event DirectoryReachabilityChanged) IsReachable() bool { return event.reachable }

func (DirectoryReachabilityChanged) isEvent() {}

// AnnounceSuspects writes the members that this process can't reach into its
// report.
type AnnounceSuspects struct {
	suspects []MemberID
}

// NewAnnounceSuspects returns the action.
func NewAnnounceSuspects(suspects []MemberID) AnnounceSuspects {
	return AnnounceSuspects{suspects: suspects}
}

// Suspects returns the members that can't be reached.
func (action AnnounceSuspects) Suspects() []MemberID { return action.suspects }

func (AnnounceSuspects) isAction() {}

// AnnounceWriteStops writes the stops of writes that this process requests, and those
// that it has carried out, into its report.
type AnnounceWriteStops struct {
	requested, stopped []WriteStop
}

// NewAnnounceWriteStops returns the action.
func NewAnnounceWriteStops(requested, stopped []WriteStop) AnnounceWriteStops {
	return AnnounceWriteStops{requested: requested, stopped: stopped}
}

// Requested returns the stops that this process requests of all proxies.
func (action AnnounceWriteStops) Requested() []WriteStop { return action.requested }

// Stopped returns the stops that this process has carried out.
func (action AnnounceWriteStops) Stopped() []WriteStop { return action.stopped }

func (AnnounceWriteStops) isAction() {}

// AnnounceLeaving writes into this process's report that it is shutting down.
type AnnounceLeaving struct{}

func (AnnounceLeaving) isAction() {}

// RenewToken requests a greater fencing token, so that earlier orders whose outcome
// is unknown can't take effect after the next one.
type RenewToken struct{}

func (RenewToken) isAction() {}
