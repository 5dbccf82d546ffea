package ebonywood

// LeadSeen tells that a member accepted what only a primary accepts.
type PrimaryObserved struct {
	instance InstanceID
	member   MemberID
	term     Term
}

// NewLeadSeen makes the event.
func NewPrimaryObserved(instance InstanceID, member MemberID, term Term) PrimaryObserved {
	return PrimaryObserved{instance: instance, member: member, term: term}
}

// Instance is the member's instance.
func (event PrimaryObserved) Instance() InstanceID { return event.instance }

// Member is who leads.
func (event PrimaryObserved) Member() MemberID { return event.member }

// Term is the term that it leads.
func (event PrimaryObserved) Term() Term { return event.term }

func (PrimaryObserved) isEvent() {}

// LeadDenied tells that a member refused what a primary accepts.
type NonPrimaryObserved struct {
	instance InstanceID
	member   MemberID
}

// NewLeadDenied makes the event.
func NewNonPrimaryObserved(instance InstanceID, member MemberID) NonPrimaryObserved {
	return NonPrimaryObserved{instance: instance, member: member}
}

// Instance is the member's instance.
func (event NonPrimaryObserved) Instance() InstanceID { return event.instance }

// Member is who refused.
func (event NonPrimaryObserved) Member() MemberID { return event.member }

func (NonPrimaryObserved) isEvent() {}

// ReachChanged tells that a member can be reached again, or not any more even
// over a fresh connection.
type MemberReachabilityChanged struct {
	instance  InstanceID
	member    MemberID
	reachable bool
}

// NewReachChanged makes the event.
func NewMemberReachabilityChanged(instance InstanceID, member MemberID, reachable bool) MemberReachabilityChanged {
	return MemberReachabilityChanged{instance: instance, member: member, reachable: reachable}
}

// Instance is the member's instance.
func (event MemberReachabilityChanged) Instance() InstanceID { return event.instance }

// Member is the member.
func (event MemberReachabilityChanged) Member() MemberID { return event.member }

// IsReachable reports whether it answers.
func (event MemberReachabilityChanged) IsReachable() bool { return event.reachable }

func (MemberReachabilityChanged) isEvent() {}

// StandingSeen is the answer to AskStanding.
type ReplicationStatusReceived struct {
	instance InstanceID
	member   MemberID
	standing ReplicationStatus
	fault    *Fault
}

// NewStandingSeen makes the event; fault is nil when the member answered.
func NewReplicationStatusReceived(instance InstanceID, member MemberID, standing ReplicationStatus, fault *Fault) ReplicationStatusReceived {
	return ReplicationStatusReceived{instance: instance, member: member, standing: standing, fault: fault}
}

// Instance is the member's instance.
func (event ReplicationStatusReceived) Instance() InstanceID { return event.instance }

// Member is who was asked.
func (event ReplicationStatusReceived) Member() MemberID { return event.member }

// Standing is its account of itself.
func (event ReplicationStatusReceived) Status() ReplicationStatus { return event.standing }

// Fault says why there is none; nil if there is.
func (event ReplicationStatusReceived) Fault() *Fault { return event.fault }

func (ReplicationStatusReceived) isEvent() {}

// AskLead asks a member whether it leads; LeadSeen or LeadDenied answers.
type ProbePrimary struct {
	instance InstanceID
	member   Member
}

// NewAskLead makes the action.
func NewProbePrimary(instance InstanceID, member Member) ProbePrimary {
	return ProbePrimary{instance: instance, member: member}
}

// Instance is the member's instance.
func (action ProbePrimary) Instance() InstanceID { return action.instance }

// Member is who is asked.
func (action ProbePrimary) Member() Member { return action.member }

func (ProbePrimary) isAction() {}

// AskStanding asks a member for its account of itself; StandingSeen answers.
type QueryReplicationStatus struct {
	instance InstanceID
	member   Member
}

// NewAskStanding makes the action.
func NewQueryReplicationStatus(instance InstanceID, member Member) QueryReplicationStatus {
	return QueryReplicationStatus{instance: instance, member: member}
}

// Instance is the member's instance.
func (action QueryReplicationStatus) Instance() InstanceID { return action.instance }

// Member is who is asked.
func (action QueryReplicationStatus) Member() Member { return action.member }

func (QueryReplicationStatus) isAction() {}

// PromoteMember asks the platform to make a member the primary of the next term.
type PromoteMember struct {
	instance InstanceID
	member   MemberID
	token    int64
}

// NewPromoteMember makes the action; token fences it against earlier holders of
// the duty.
func NewPromoteMember(instance InstanceID, member MemberID, token int64) PromoteMember {
	return PromoteMember{instance: instance, member: member, token: token}
}

// Instance is the member's instance.
func (action PromoteMember) Instance() InstanceID { return action.instance }

// Member is who is to lead.
func (action PromoteMember) Member() MemberID { return action.member }

// Token is the fencing token.
func (action PromoteMember) Token() int64 { return action.token }

func (PromoteMember) isAction() {}

// PromoteEnded is the platform's answer to PromoteMember.
type PromoteEnded struct {
	order PromoteMember
	fault *Fault
}

// NewPromoteEnded makes the event. A fault of KindConflict says that the order
// was refused, of KindUnavailable that it may take effect later.
func NewPromoteEnded(order PromoteMember, fault *Fault) PromoteEnded {
	return PromoteEnded{order: order, fault: fault}
}

// Order is what was asked.
func (event PromoteEnded) Order() PromoteMember { return event.order }

// Fault is nil when the platform accepted the order.
func (event PromoteEnded) Fault() *Fault { return event.fault }

func (PromoteEnded) isEvent() {}

// Note is a change of belief that the kernel writes to the log.
type LogMessage struct {
	message string
	details []any
}

// NewNote makes the action; details are pairs of a name and a value.
func NewLogMessage(message string, details ...any) LogMessage {
	return LogMessage{message: message, details: details}
}

// Message names the change.
func (action LogMessage) Message() string { return action.message }

// Details are pairs of a name and a value.
func (action LogMessage) Details() []any { return action.details }

func (LogMessage) isAction() {}
