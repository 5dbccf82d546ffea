package ebonywood

// Event is an observation or a result for the control loop. Edges post events; the
// control goroutine passes each to every decision.
type Event interface {
	isEvent()
}

// Action is work that a decision requests. The control goroutine offers it to the
// edges, which do the work on goroutines of their own and report the result as an
// event.
type Action interface {
	isAction()
}

// Tick reports that time has passed, so that decisions can check their timeouts. It
// is posted once per Settings.TickPeriod.
type Tick struct{}

func (Tick) isEvent() {}

// ObjectSetReceived reports an object set that was read from the store or received
// from a peer.
type ObjectSetReceived struct {
	set *ObjectSet
}

// NewObjectSetReceived returns the event.
func NewObjectSetReceived(set *ObjectSet) ObjectSetReceived { return ObjectSetReceived{set: set} }

// ObjectSet returns the set that was received.
func (event ObjectSetReceived) ObjectSet() *ObjectSet { return event.set }

func (ObjectSetReceived) isEvent() {}

// ObjectSetApplied reports to every decision that a newer set is in force. The
// kernel passes it to the decisions when one of them returns ApplyObjectSet.
type ObjectSetApplied struct {
	set *ObjectSet
}

// NewObjectSetApplied returns the event.
func NewObjectSetApplied(set *ObjectSet) ObjectSetApplied { return ObjectSetApplied{set: set} }

// ObjectSet returns the set now in force.
func (event ObjectSetApplied) ObjectSet() *ObjectSet { return event.set }

func (ObjectSetApplied) isEvent() {}

// ApplyObjectSet puts a set in force in this process.
type ApplyObjectSet struct {
	set *ObjectSet
}

// NewApplyObjectSet returns the action.
func NewApplyObjectSet(set *ObjectSet) ApplyObjectSet { return ApplyObjectSet{set: set} }

// ObjectSet returns the set to put in force.
func (action ApplyObjectSet) ObjectSet() *ObjectSet { return action.set }

func (ApplyObjectSet) isAction() {}

// Order identifies a control function of a member.
type Order uint8

// The control functions.
const (
	OrderStatus Order = iota
	OrderFence
	OrderPromote
)

// MemberOrder calls a control function of a member. The target edge performs it and
// posts a MemberReply.
type MemberOrder struct {
	instance InstanceID
	member   MemberID
	order    Order
	term     Term
	round    uint64
}

// NewMemberOrder returns the action. round is returned with the reply; term is
// unused by OrderStatus.
func NewMemberOrder(instance InstanceID, member MemberID, order Order, term Term, round uint64) MemberOrder {
	return MemberOrder{instance: instance, member: member, order: order, term: term, round: round}
}

// Instance returns the member's instance.
func (action MemberOrder) Instance() InstanceID { return action.instance }

// Member returns the member to call.
func (action MemberOrder) Member() MemberID { return action.member }

// Order returns the function to call.
func (action MemberOrder) Order() Order { return action.order }

// Term returns the term to fence or promote at.
func (action MemberOrder) Term() Term { return action.term }

// Round returns the number that distinguishes the replies of one status round from
// those of another.
func (action MemberOrder) Round() uint64 { return action.round }

func (MemberOrder) isAction() {}

// MemberReply is the reply to a MemberOrder.
type MemberReply struct {
	order         MemberOrder
	sentAt        Millis
	newConnection bool
	status        Status
	fault         *Fault
}

// NewMemberReply returns the event. sentAt is when the order was sent, on the clock
// of this process. newConnection is true if the connection was opened for it.
// status is valid if fault is nil.
func NewMemberReply(order MemberOrder, sentAt Millis, newConnection bool, status Status, fault *Fault) MemberReply {
	return MemberReply{order: order, sentAt: sentAt, newConnection: newConnection, status: status, fault: fault}
}

// Order returns the action that this replies to.
func (event MemberReply) Order() MemberOrder { return event.order }

// SentAt returns when the order was sent.
func (event MemberReply) SentAt() Millis { return event.sentAt }

// IsNewConnection reports whether the order was sent over a connection opened for
// it.
func (event MemberReply) IsNewConnection() bool { return event.newConnection }

// Status returns the member's status; it is valid only if Fault is nil.
func (event MemberReply) Status() Status { return event.status }

// Fault returns why there is no status; nil when the member replied.
func (event MemberReply) Fault() *Fault { return event.fault }

func (MemberReply) isEvent() {}

// ConnectionFailed reports that traffic lost a connection to a member. It triggers
// the next status round early; it proves nothing about the member.
type ConnectionFailed struct {
	instance InstanceID
}

// NewConnectionFailed returns the event.
func NewConnectionFailed(instance InstanceID) ConnectionFailed {
	return ConnectionFailed{instance: instance}
}

// Instance returns the instance whose connection failed.
func (event ConnectionFailed) Instance() InstanceID { return event.instance }

func (ConnectionFailed) isEvent() {}

// StatusRoundRequested reports that a read waits for a newer proof. It triggers the
// next status round early.
type StatusRoundRequested struct {
	instance InstanceID
}

// NewStatusRoundRequested returns the event.
func NewStatusRoundRequested(instance InstanceID) StatusRoundRequested {
	return StatusRoundRequested{instance: instance}
}

// Instance returns the instance of the read.
func (event StatusRoundRequested) Instance() InstanceID { return event.instance }

func (StatusRoundRequested) isEvent() {}

// DrainRequested reports that this process has to stop.
type DrainRequested struct{}

func (DrainRequested) isEvent() {}

// HoldWrites makes the target edge hold back new transactions on a primary, and
// post WritesDrained once none is open.
type HoldWrites struct {
	instance InstanceID
}

// NewHoldWrites returns the action.
func NewHoldWrites(instance InstanceID) HoldWrites { return HoldWrites{instance: instance} }

// Instance returns the instance whose writes are held.
func (action HoldWrites) Instance() InstanceID { return action.instance }

func (HoldWrites) isAction() {}

// WritesDrained reports that no transaction of this process is open on the primary.
type WritesDrained struct {
	instance InstanceID
}

// NewWritesDrained returns the event.
func NewWritesDrained(instance InstanceID) WritesDrained { return WritesDrained{instance: instance} }

// Instance returns the instance without open transactions.
func (event WritesDrained) Instance() InstanceID { return event.instance }

func (WritesDrained) isEvent() {}

// HostsListed reports the platform's list of hosts and which of them are leaving. The
// list lags behind the platform's state.
type HostsListed struct {
	revision int64
	leaving  map[string]bool
}

// NewHostsListed returns the event; leaving maps every listed address to whether
// its host is leaving.
func NewHostsListed(revision int64, leaving map[string]bool) HostsListed {
	return HostsListed{revision: revision, leaving: leaving}
}

// Revision orders the lists.
func (event HostsListed) Revision() int64 { return event.revision }

// Leaving maps every listed address to whether its host is leaving; it must not be
// modified.
func (event HostsListed) Leaving() map[string]bool { return event.leaving }

func (HostsListed) isEvent() {}
