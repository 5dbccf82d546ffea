package ebonywood

// PrimaryObserved reports that a member accepted an operation that only a primary
// accepts. It proves that the member was the primary at some moment after the operation
// was sent.
type PrimaryObserved struct {
	instance InstanceID
	member   MemberID
	position Position
	sentAt   Millis
}

// NewPrimaryObserved returns the event; position is the end of the member's log, and
// sentAt when the operation was sent, on the clock of this process.
func NewPrimaryObserved(instance InstanceID, member MemberID, position Position, sentAt Millis) PrimaryObserved {
	return PrimaryObserved{instance: instance, member: member, position: position, sentAt: sentAt}
}

// Instance returns the member's instance.
func (event PrimaryObserved) Instance() InstanceID { return event.instance }

// Member returns the primary.
func (event PrimaryObserved) Member() MemberID { return event.member }

// Position returns the end of the primary's log. Its term is that of the last record,
// which is of an earlier term until the primary has committed something.
func (event PrimaryObserved) Position() Position { return event.position }

// SentAt returns when the operation was sent.
func (event PrimaryObserved) SentAt() Millis { return event.sentAt }

func (PrimaryObserved) isEvent() {}

// NonPrimaryObserved reports that a member refused an operation that a primary
// accepts.
type NonPrimaryObserved struct {
	instance InstanceID
	member   MemberID
}

// NewNonPrimaryObserved returns the event.
func NewNonPrimaryObserved(instance InstanceID, member MemberID) NonPrimaryObserved {
	return NonPrimaryObserved{instance: instance, member: member}
}

// Instance returns the member's instance.
func (event NonPrimaryObserved) Instance() InstanceID { return event.instance }

// Member returns the member that refused.
func (event NonPrimaryObserved) Member() MemberID { return event.member }

func (NonPrimaryObserved) isEvent() {}

// MemberReachabilityChanged reports that a member is reachable again, or has become
// unreachable even over new connections.
type MemberReachabilityChanged struct {
	instance  InstanceID
	member    MemberID
	reachable bool
}

// NewMemberReachabilityChanged returns the event.
func NewMemberReachabilityChanged(instance InstanceID, member MemberID, reachable bool) MemberReachabilityChanged {
	return MemberReachabilityChanged{instance: instance, member: member, reachable: reachable}
}

// Instance returns the member's instance.
func (event MemberReachabilityChanged) Instance() InstanceID { return event.instance }

// Member returns the member.
func (event MemberReachabilityChanged) Member() MemberID { return event.member }

// IsReachable reports whether the member responds.
func (event MemberReachabilityChanged) IsReachable() bool { return event.reachable }

func (MemberReachabilityChanged) isEvent() {}

// ReplicationStatusReceived is the reply to QueryReplicationStatus.
type ReplicationStatusReceived struct {
	instance InstanceID
	member   MemberID
	status   ReplicationStatus
	fault    *Fault
	pausedAt Term
}

// NewReplicationStatusReceived returns the event; fault is nil when the member
// replied.
func NewReplicationStatusReceived(instance InstanceID, member MemberID, status ReplicationStatus, fault *Fault) ReplicationStatusReceived {
	return ReplicationStatusReceived{instance: instance, member: member, status: status, fault: fault}
}

// WithPause returns the event for a member that receives nothing since it replied; term is
// that of the query.
func (event ReplicationStatusReceived) WithPause(term Term) ReplicationStatusReceived {
	event.pausedAt = term
	return event
}

// PausedAt returns the term with which the member was paused, 0 if it was not.
func (event ReplicationStatusReceived) PausedAt() Term { return event.pausedAt }

// Instance returns the member's instance.
func (event ReplicationStatusReceived) Instance() InstanceID { return event.instance }

// Member returns the member that was queried.
func (event ReplicationStatusReceived) Member() MemberID { return event.member }

// Status returns the member's status; it is valid only if Fault is nil.
func (event ReplicationStatusReceived) Status() ReplicationStatus { return event.status }

// Fault returns why there is no status; nil when the member replied.
func (event ReplicationStatusReceived) Fault() *Fault { return event.fault }

func (ReplicationStatusReceived) isEvent() {}

// ProbePrimary probes whether a member is primary. The result is PrimaryObserved or
// NonPrimaryObserved.
type ProbePrimary struct {
	instance InstanceID
	member   Member
}

// NewProbePrimary returns the action.
func NewProbePrimary(instance InstanceID, member Member) ProbePrimary {
	return ProbePrimary{instance: instance, member: member}
}

// Instance returns the member's instance.
func (action ProbePrimary) Instance() InstanceID { return action.instance }

// Member returns the member to probe.
func (action ProbePrimary) Member() Member { return action.member }

func (ProbePrimary) isAction() {}

// QueryReplicationStatus queries a member's replication status. The result is
// ReplicationStatusReceived.
type QueryReplicationStatus struct {
	instance InstanceID
	member   Member
	pauseAt  Term
}

// NewQueryReplicationStatus returns the action.
func NewQueryReplicationStatus(instance InstanceID, member Member) QueryReplicationStatus {
	return QueryReplicationStatus{instance: instance, member: member}
}

// WithPause returns the query for a member that is to receive nothing from its reply on.
// term is greater than the newest term of the instance.
func (action QueryReplicationStatus) WithPause(term Term) QueryReplicationStatus {
	action.pauseAt = term
	return action
}

// PauseAt returns the term with which the member is to be paused; 0 if it is not.
func (action QueryReplicationStatus) PauseAt() Term { return action.pauseAt }

// Instance returns the member's instance.
func (action QueryReplicationStatus) Instance() InstanceID { return action.instance }

// Member returns the member to query.
func (action QueryReplicationStatus) Member() Member { return action.member }

func (QueryReplicationStatus) isAction() {}

// ResumeReplication ends the pause of a member.
type ResumeReplication struct {
	instance InstanceID
	member   Member
}

// NewResumeReplication returns the action.
func NewResumeReplication(instance InstanceID, member Member) ResumeReplication {
	return ResumeReplication{instance: instance, member: member}
}

// Instance returns the member's instance.
func (action ResumeReplication) Instance() InstanceID { return action.instance }

// Member returns the member to resume.
func (action ResumeReplication) Member() Member { return action.member }

func (ResumeReplication) isAction() {}

// PromoteMember requests that the platform make a member the primary of the next
// term.
type PromoteMember struct {
	instance InstanceID
	member   MemberID
	token    int64
}

// NewPromoteMember returns the action; token fences it against earlier holders of
// the duty.
func NewPromoteMember(instance InstanceID, member MemberID, token int64) PromoteMember {
	return PromoteMember{instance: instance, member: member, token: token}
}

// Instance returns the member's instance.
func (action PromoteMember) Instance() InstanceID { return action.instance }

// Member returns the member to promote.
func (action PromoteMember) Member() MemberID { return action.member }

// Token returns the fencing token.
func (action PromoteMember) Token() int64 { return action.token }

func (PromoteMember) isAction() {}

// PromotionEnded is the platform's reply to PromoteMember.
type PromotionEnded struct {
	order PromoteMember
	fault *Fault
}

// NewPromotionEnded returns the event. A fault of KindConflict means that the order
// was refused, one of KindUnavailable that it may still take effect.
func NewPromotionEnded(order PromoteMember, fault *Fault) PromotionEnded {
	return PromotionEnded{order: order, fault: fault}
}

// Order returns the action that was performed.
func (event PromotionEnded) Order() PromoteMember { return event.order }

// Fault returns why the order failed; nil when the platform accepted it.
func (event PromotionEnded) Fault() *Fault { return event.fault }

func (PromotionEnded) isEvent() {}

// WriteStop identifies one stop of the writes to an instance: while the holder of the
// duty replaces a primary that still runs, no proxy sends writes to it.
type WriteStop struct {
	instance InstanceID
	token    int64
	round    int64
}

// NewWriteStop returns a stop that the holder of the duty requests; token is its fencing
// token, round counts its requests. Together they increase from each request to the next.
func NewWriteStop(instance InstanceID, token, round int64) WriteStop {
	return WriteStop{instance: instance, token: token, round: round}
}

// Instance returns the instance.
func (stop WriteStop) Instance() InstanceID { return stop.instance }

// Token returns the fencing token of the proxy that requests the stop.
func (stop WriteStop) Token() int64 { return stop.token }

// Round returns the number of the request.
func (stop WriteStop) Round() int64 { return stop.round }

// IsZero reports whether this is the zero value, which stands for no stop.
func (stop WriteStop) IsZero() bool { return stop == WriteStop{} }

// IsBefore reports whether the stop was requested before other.
func (stop WriteStop) IsBefore(other WriteStop) bool {
	if stop.token != other.token {
		return stop.token < other.token
	}
	return stop.round < other.round
}

// StopWrites makes this process send no further writes to the instance, until
// ResumeWrites. WritesStopped follows once no write is in flight.
type StopWrites struct {
	stop WriteStop
}

// NewStopWrites returns the action.
func NewStopWrites(stop WriteStop) StopWrites { return StopWrites{stop: stop} }

// Stop returns the stop that is requested.
func (action StopWrites) Stop() WriteStop { return action.stop }

func (StopWrites) isAction() {}

// ResumeWrites ends a stop of the writes to an instance.
type ResumeWrites struct {
	instance InstanceID
}

// NewResumeWrites returns the action.
func NewResumeWrites(instance InstanceID) ResumeWrites { return ResumeWrites{instance: instance} }

// Instance returns the instance.
func (action ResumeWrites) Instance() InstanceID { return action.instance }

func (ResumeWrites) isAction() {}

// WritesStopped reports that this process has no write to the instance in flight, and
// sends none until the stop ends.
type WritesStopped struct {
	stop WriteStop
}

// NewWritesStopped returns the event.
func NewWritesStopped(stop WriteStop) WritesStopped { return WritesStopped{stop: stop} }

// Stop returns the stop that was requested.
func (event WritesStopped) Stop() WriteStop { return event.stop }

func (WritesStopped) isEvent() {}

// LogMessage makes the kernel log a message, such as a change in the state that a
// decision holds.
type LogMessage struct {
	message string
	details []any
}

// NewLogMessage returns the action; details are alternating keys and values.
func NewLogMessage(message string, details ...any) LogMessage {
	return LogMessage{message: message, details: details}
}

// Message returns the text of the log line.
func (action LogMessage) Message() string { return action.message }

// Details returns alternating keys and values.
func (action LogMessage) Details() []any { return action.details }

func (LogMessage) isAction() {}
