package ebonywood

// LeadSeen tells that a member accepted what only a primary accepts.
type LeadSeen struct {
	instance InstanceID
	member   MemberID
	term     Term
}

// NewLeadSeen makes the event.
func NewLeadSeen(instance InstanceID, member MemberID, term Term) LeadSeen {
	return LeadSeen{instance: instance, member: member, term: term}
}

// Instance is the member's instance.
func (event LeadSeen) Instance() InstanceID { return event.instance }

// Member is who leads.
func (event LeadSeen) Member() MemberID { return event.member }

// Term is the term that it leads.
func (event LeadSeen) Term() Term { return event.term }

func (LeadSeen) isEvent() {}

// LeadDenied tells that a member refused what a primary accepts.
type LeadDenied struct {
	instance InstanceID
	member   MemberID
}

// NewLeadDenied makes the event.
func NewLeadDenied(instance InstanceID, member MemberID) LeadDenied {
	return LeadDenied{instance: instance, member: member}
}

// Instance is the member's instance.
func (event LeadDenied) Instance() InstanceID { return event.instance }

// Member is who refused.
func (event LeadDenied) Member() MemberID { return event.member }

func (LeadDenied) isEvent() {}

// ReachChanged tells that a member can be reached again, or not any more even
// over a fresh connection.
type ReachChanged struct {
	instance  InstanceID
	member    MemberID
	reachable bool
}

// NewReachChanged makes the event.
func NewReachChanged(instance InstanceID, member MemberID, reachable bool) ReachChanged {
	return ReachChanged{instance: instance, member: member, reachable: reachable}
}

// Instance is the member's instance.
func (event ReachChanged) Instance() InstanceID { return event.instance }

// Member is the member.
func (event ReachChanged) Member() MemberID { return event.member }

// IsReachable reports whether it answers.
func (event ReachChanged) IsReachable() bool { return event.reachable }

func (ReachChanged) isEvent() {}

// StandingSeen is the answer to AskStanding.
type StandingSeen struct {
	instance InstanceID
	member   MemberID
	standing Standing
	fault    *Fault
}

// NewStandingSeen makes the event; fault is nil when the member answered.
func NewStandingSeen(instance InstanceID, member MemberID, standing Standing, fault *Fault) StandingSeen {
	return StandingSeen{instance: instance, member: member, standing: standing, fault: fault}
}

// Instance is the member's instance.
func (event StandingSeen) Instance() InstanceID { return event.instance }

// Member is who was asked.
func (event StandingSeen) Member() MemberID { return event.member }

// Standing is its account of itself.
func (event StandingSeen) Standing() Standing { return event.standing }

// Fault says why there is none; nil if there is.
func (event StandingSeen) Fault() *Fault { return event.fault }

func (StandingSeen) isEvent() {}

// AskLead asks a member whether it leads; LeadSeen or LeadDenied answers.
type AskLead struct {
	instance InstanceID
	member   Member
}

// NewAskLead makes the action.
func NewAskLead(instance InstanceID, member Member) AskLead {
	return AskLead{instance: instance, member: member}
}

// Instance is the member's instance.
func (action AskLead) Instance() InstanceID { return action.instance }

// Member is who is asked.
func (action AskLead) Member() Member { return action.member }

func (AskLead) isAction() {}

// AskStanding asks a member for its account of itself; StandingSeen answers.
type AskStanding struct {
	instance InstanceID
	member   Member
}

// NewAskStanding makes the action.
func NewAskStanding(instance InstanceID, member Member) AskStanding {
	return AskStanding{instance: instance, member: member}
}

// Instance is the member's instance.
func (action AskStanding) Instance() InstanceID { return action.instance }

// Member is who is asked.
func (action AskStanding) Member() Member { return action.member }

func (AskStanding) isAction() {}

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
type Note struct {
	message string
	details []any
}

// NewNote makes the action; details are pairs of a name and a value.
func NewNote(message string, details ...any) Note { return Note{message: message, details: details} }

// Message names the change.
func (action Note) Message() string { return action.message }

// Details are pairs of a name and a value.
func (action Note) Details() []any { return action.details }

func (Note) isAction() {}
