package ebonywood

// Event is something that the control loop has to know. Edges post events; the
// control goroutine hands each to every decision.
type Event interface {
	isEvent()
}

// Action is something that a decision wants done. The control goroutine offers
// it to the edges, which do the work on goroutines of their own and answer with
// an event.
type Action interface {
	isAction()
}

// Tick is the passing of time.
type Tick struct{}

func (Tick) isEvent() {}

// SetSeen is an object set that was read from the store or heard from a peer.
type ObjectSetReceived struct {
	set *ObjectSet
}

// NewSetSeen makes the event.
func NewObjectSetReceived(set *ObjectSet) ObjectSetReceived { return ObjectSetReceived{set: set} }

// Set is the object set that was seen.
func (event ObjectSetReceived) ObjectSet() *ObjectSet { return event.set }

func (ObjectSetReceived) isEvent() {}

// SetAccepted tells every decision that a newer set is in force. The kernel
// posts it to itself when a decision asks for it by ApplySet.
type ObjectSetApplied struct {
	set *ObjectSet
}

// NewSetAccepted makes the event.
func NewObjectSetApplied(set *ObjectSet) ObjectSetApplied { return ObjectSetApplied{set: set} }

// Set is the set now in force.
func (event ObjectSetApplied) ObjectSet() *ObjectSet { return event.set }

func (ObjectSetApplied) isEvent() {}

// ApplySet puts a set in force in this process.
type ApplyObjectSet struct {
	set *ObjectSet
}

// NewApplySet makes the action.
func NewApplyObjectSet(set *ObjectSet) ApplyObjectSet { return ApplyObjectSet{set: set} }

// Set is the set to put in force.
func (action ApplyObjectSet) ObjectSet() *ObjectSet { return action.set }

func (ApplyObjectSet) isAction() {}

// Order names a call to a member's control functions.
type Order uint8

// The orders.
const (
	OrderStatus Order = iota
	OrderFence
	OrderPromote
)

// MemberOrder asks the target edge to call a control function of a member.
type MemberOrder struct {
	instance InstanceID
	member   MemberID
	order    Order
	term     Term
	round    uint64
}

// NewMemberOrder makes the action. round is handed back with the reply; term is
// unused by OrderStatus.
func NewMemberOrder(instance InstanceID, member MemberID, order Order, term Term, round uint64) MemberOrder {
	return MemberOrder{instance: instance, member: member, order: order, term: term, round: round}
}

// Instance is the member's instance.
func (action MemberOrder) Instance() InstanceID { return action.instance }

// Member is the member to ask.
func (action MemberOrder) Member() MemberID { return action.member }

// Order is the function to call.
func (action MemberOrder) Order() Order { return action.order }

// Term is the term to fence or promote at.
func (action MemberOrder) Term() Term { return action.term }

// Round tells the replies of one round from those of another.
func (action MemberOrder) Round() uint64 { return action.round }

func (MemberOrder) isAction() {}

// MemberReply is the answer to a MemberOrder.
type MemberReply struct {
	order  MemberOrder
	asked  Millis
	fresh  bool
	status Status
	fault  *Fault
}

// NewMemberReply makes the event. asked is when the question left, on the clock
// of this process. fresh says that it went over a connection opened for it. A
// nil fault means that status is valid.
func NewMemberReply(order MemberOrder, asked Millis, fresh bool, status Status, fault *Fault) MemberReply {
	return MemberReply{order: order, asked: asked, fresh: fresh, status: status, fault: fault}
}

// Order is the action that this answers.
func (event MemberReply) Order() MemberOrder { return event.order }

// Asked is when the question left.
func (event MemberReply) SentAt() Millis { return event.asked }

// Fresh reports whether the question went over a connection opened for it.
func (event MemberReply) IsNewConnection() bool { return event.fresh }

// Status is the member's answer; valid without a fault only.
func (event MemberReply) Status() Status { return event.status }

// Fault is nil when the member answered.
func (event MemberReply) Fault() *Fault { return event.fault }

func (MemberReply) isEvent() {}

// Trouble is an observation of traffic that a member's connection failed. It
// hastens the next status round; it proves nothing.
type ConnectionFailed struct {
	instance InstanceID
}

// NewTrouble makes the event.
func NewConnectionFailed(instance InstanceID) ConnectionFailed {
	return ConnectionFailed{instance: instance}
}

// Instance is where traffic failed.
func (event ConnectionFailed) Instance() InstanceID { return event.instance }

func (ConnectionFailed) isEvent() {}

// RoundWanted tells that a read waits for a fresher proof. It hastens the next
// status round.
type StatusRoundRequested struct {
	instance InstanceID
}

// NewRoundWanted makes the event.
func NewStatusRoundRequested(instance InstanceID) StatusRoundRequested {
	return StatusRoundRequested{instance: instance}
}

// Instance is where the read waits.
func (event StatusRoundRequested) Instance() InstanceID { return event.instance }

func (StatusRoundRequested) isEvent() {}

// DrainAsked tells that this process was asked to stop.
type DrainRequested struct{}

func (DrainRequested) isEvent() {}

// HoldWrites asks the target edge to start no new transaction on a primary, and
// to post WritesIdle once none is open.
type HoldWrites struct {
	instance InstanceID
}

// NewHoldWrites makes the action.
func NewHoldWrites(instance InstanceID) HoldWrites { return HoldWrites{instance: instance} }

// Instance is where writes have to wait.
func (action HoldWrites) Instance() InstanceID { return action.instance }

func (HoldWrites) isAction() {}

// WritesIdle tells that no transaction of this process is open on the primary.
type WritesDrained struct {
	instance InstanceID
}

// NewWritesIdle makes the event.
func NewWritesDrained(instance InstanceID) WritesDrained { return WritesDrained{instance: instance} }

// Instance is where no transaction is open.
func (event WritesDrained) Instance() InstanceID { return event.instance }

func (WritesDrained) isEvent() {}

// HostsSeen is the platform's list of hosts that are leaving, which lags.
type HostsListed struct {
	revision int64
	leaving  map[string]bool
}

// NewHostsSeen makes the event; leaving has every listed address and whether its
// host is leaving.
func NewHostsListed(revision int64, leaving map[string]bool) HostsListed {
	return HostsListed{revision: revision, leaving: leaving}
}

// Revision orders the lists.
func (event HostsListed) Revision() int64 { return event.revision }

// Leaving tells of every listed address whether its host is on its way out; not
// to be changed.
func (event HostsListed) Leaving() map[string]bool { return event.leaving }

func (HostsListed) isEvent() {}
