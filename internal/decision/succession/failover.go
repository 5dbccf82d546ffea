package succession

// A failover replaces the primary of one instance: the candidates are queried for their
// replication status, the most advanced one is promoted, and the failover ends when the
// new primary is confirmed, or after the promotion was refused or timed out.

import (
	"github.com/ebonywood/ebonywood"
)

const (
	// queryTimeout bounds one round of queries for the candidates' replication status.
	queryTimeout ebonywood.Millis = 250
	// promotionTimeout is the time within which a promotion has to take effect, from
	// the order or, if the platform accepts it, from the acceptance.
	promotionTimeout ebonywood.Millis = 1500
	// refusalBackoff is the delay after the platform refused a promotion.
	refusalBackoff ebonywood.Millis = 200
)

// phase is the current step of a failover.
type phase uint8

const (
	// phaseCollecting waits for the candidates' replication status.
	phaseCollecting phase = iota
	// phaseStoppingWrites waits until the proxies have stopped their writes. It precedes
	// phaseCollecting in a switchover.
	phaseStoppingWrites
	// phasePausing waits until the members that may hold commits receive nothing more. It
	// follows phaseCollecting with synchronous replicas whose primary may still run.
	phasePausing
	// phasePromoting waits until the ordered promotion takes effect.
	phasePromoting
	// phaseBackoff waits after a refused promotion or a postponed switchover.
	phaseBackoff
)

// failover is the state of a failover that this process carries out.
type failover struct {
	reason         failoverReason
	phase          phase
	phaseStartedAt ebonywood.Millis
	// stop is the stop of writes that this process requested at stopRequestedAt; zero if
	// the failover needs none.
	stop            ebonywood.WriteStop
	stopRequestedAt ebonywood.Millis
	// backoff is how long phaseBackoff lasts.
	backoff ebonywood.Millis
	// pauseTerm is the term with which the members are paused, in phasePausing.
	pauseTerm ebonywood.Term
	// replies has the replies of the current round, queried is the number of members
	// that were queried in it.
	replies map[ebonywood.MemberID]ebonywood.ReplicationStatus
	queried int
	order   ebonywood.PromoteMember
	// orderedPosition is the position that the member of the order had reported.
	orderedPosition ebonywood.Position
	// unconfirmed is set if the platform did not say whether it accepted the order, which
	// may still take effect.
	unconfirmed bool
}

// backOff pauses before the next attempt. A stop of writes is withdrawn.
func (failover *failover) backOff(now, duration ebonywood.Millis) {
	failover.phase, failover.phaseStartedAt, failover.backoff = phaseBackoff, now, duration
	failover.stop = ebonywood.WriteStop{}
}

// startFailover starts a failover unless the reason is reasonNone or no member can
// be promoted.
func (instance *instanceState) startFailover(now ebonywood.Millis, reason failoverReason) []ebonywood.Action {
	if reason == reasonNone {
		return nil
	}
	actions := instance.queryReplicationStatus(now, reason)
	if instance.failover.queried == 0 {
		instance.failover = nil
		return nil
	}
	return append(actions, ebonywood.NewLogMessage("changeBegins", "instance", instance.id, "member", instance.primary,
		"reason", string(reason), "asked", instance.failover.queried))
}

// queryReplicationStatus starts a new round and queries every candidate and, with
// synchronous replicas, every other member that may hold commits that the candidates lack.
// While the writes are stopped, it queries the primary, too.
func (instance *instanceState) queryReplicationStatus(now ebonywood.Millis, reason failoverReason) []ebonywood.Action {
	next := &failover{
		reason: reason, phase: phaseCollecting, phaseStartedAt: now,
		replies: map[ebonywood.MemberID]ebonywood.ReplicationStatus{},
	}
	if instance.failover != nil {
		next.stop, next.stopRequestedAt = instance.failover.stop, instance.failover.stopRequestedAt
	}
	instance.failover = next
	var actions []ebonywood.Action
	for _, member := range instance.members {
		isStopped := !next.stop.IsZero() && member.listed.Member().ID() == instance.primary
		if isStopped || instance.mayHoldCommits(member) {
			actions = append(actions, ebonywood.NewQueryReplicationStatus(instance.id, member.listed.Member()))
			instance.failover.queried++
		}
	}
	return actions
}

// isCandidate reports whether the member may become the primary.
func (instance *instanceState) isCandidate(member *memberState) bool {
	return !member.unreachable && !member.listed.Member().IsLeaving() && member.listed.Member().ID() != instance.primary
}

// mayHoldCommits reports whether the member's position matters for the choice of a
// successor. A leaving member receives commits, and so counts as a synchronous replica.
func (instance *instanceState) mayHoldCommits(member *memberState) bool {
	isReachableReplica := !member.unreachable && member.listed.Member().ID() != instance.primary
	return isReachableReplica && (instance.syncReplicas > 0 || !member.listed.Member().IsLeaving())
}

// recordReplicationStatus stores a candidate's reply to the current round. Failed queries
// are ignored.
func (instance *instanceState) recordReplicationStatus(event ebonywood.ReplicationStatusReceived) []ebonywood.Action {
	if instance.failover == nil || !instance.failover.awaitsReply(event.PausedAt()) || event.Fault() != nil {
		return nil
	}
	instance.failover.replies[event.Member()] = event.Status()
	return nil
}

// advanceFailover runs the current phase. token is the fencing token for a promotion.
// After an unconfirmed promotion it requests a greater token.
func (instance *instanceState) advanceFailover(now ebonywood.Millis, token int64) []ebonywood.Action {
	failover := instance.failover
	elapsed := now - failover.phaseStartedAt
	switch failover.phase {
	case phaseCollecting:
		return instance.concludeQuery(now, token)
	case phasePausing:
		return instance.concludePause(now, token)
	case phasePromoting:
		if elapsed < promotionTimeout {
			return nil
		}
		instance.dropFailover()
		if failover.unconfirmed {
			return []ebonywood.Action{ebonywood.RenewToken{}}
		}
	case phaseBackoff:
		if elapsed >= failover.backoff {
			instance.failover = nil
		}
	}
	return nil
}

// concludeQuery promotes the most advanced member, or pauses the members first, once
// enough replies have arrived. If there are too few after queryTimeout, it starts another
// round.
func (instance *instanceState) concludeQuery(now ebonywood.Millis, token int64) []ebonywood.Action {
	failover := instance.failover
	timedOut := now-failover.phaseStartedAt >= queryTimeout
	if len(failover.replies) < failover.queried && !timedOut {
		return nil
	}
	if failover.reason == reasonNoPrimary {
		if primary, term := instance.repliedPrimary(); primary != "" {
			return instance.abortFailover(now, primary, term)
		}
	}
	best, position := instance.successor(now)
	if best == "" || !instance.holdsEveryCommit(position) || instance.lacksClaimedPrimary() {
		if timedOut {
			return append(instance.logAbandoned(now), instance.repeatQuery(now)...)
		}
		return nil
	}
	if instance.syncReplicas > 0 && failover.stop.IsZero() {
		return instance.pauseMembers(now)
	}
	return instance.promote(now, best, position, token)
}

// promote orders the promotion of a member with a received position. It first requests a
// greater token if an order for another member may still take effect with this one.
func (instance *instanceState) promote(now ebonywood.Millis, best ebonywood.MemberID, position ebonywood.Position, token int64) []ebonywood.Action {
	failover := instance.failover
	if instance.syncReplicas > 0 && instance.pause.orderToken >= token && instance.pause.orderMember != best {
		return instance.pause.renewToken(now)
	}
	failover.order, failover.orderedPosition = ebonywood.NewPromoteMember(instance.id, best, token), position
	instance.pause.orderToken, instance.pause.orderMember = token, best
	failover.phase, failover.phaseStartedAt = phasePromoting, now
	return []ebonywood.Action{
		failover.order,
		ebonywood.NewLogMessage("promote", "instance", instance.id, "member", best, "received", position.String(),
			"reason", string(failover.reason), "token", token, "answered", len(failover.replies), "asked", failover.queried),
	}
}

// repeatQuery starts another round of queries. A switchover is given up for now if its
// promotion could take effect after the proxies have resumed their writes.
func (instance *instanceState) repeatQuery(now ebonywood.Millis) []ebonywood.Action {
	failover := instance.failover
	if failover.stop.IsZero() || now-failover.stopRequestedAt < promotionWindow {
		return instance.queryReplicationStatus(now, failover.reason)
	}
	failover.backOff(now, postponeDelay)
	return []ebonywood.Action{ebonywood.NewLogMessage("changePostponed", "instance", instance.id, "reason", "no member has every commit")}
}

// holdsEveryCommit reports whether a log up to a position holds every commit that
// synchronous replicas have confirmed: no member that replied is ahead of it, and either
// the primary is one of these or enough replicas are. Without synchronous replicas one
// reply is enough.
func (instance *instanceState) holdsEveryCommit(position ebonywood.Position) bool {
	replies := instance.failover.replies
	if instance.syncReplicas == 0 {
		return len(replies) > 0
	}
	for _, status := range replies {
		if !instance.lineage.holds(position, status.Received()) {
			return false
		}
	}
	_, primaryReplied := replies[instance.primary]
	return primaryReplied || len(replies) >= instance.requiredReplies()
}

// repliedPrimary returns the member that replied as primary of the newest term in the
// replies, empty if none did. Other proxies may be served by it while this one has not
// probed it, for example since it has no connection left.
func (instance *instanceState) repliedPrimary() (primary ebonywood.MemberID, term ebonywood.Term) {
	for _, status := range instance.failover.replies {
		term = max(term, status.Term())
	}
	for id, status := range instance.failover.replies {
		if status.IsPrimary() && status.Term() == term {
			return id, term
		}
	}
	return "", term
}

// lacksClaimedPrimary reports whether no primary was confirmed, and the only member that
// claims to be primary accepts connections but has not replied.
func (instance *instanceState) lacksClaimedPrimary() bool {
	claimed := instance.presumedPrimary()
	if instance.failover.reason != reasonNoPrimary || claimed == "" || instance.isUnreachable(claimed) {
		return false
	}
	_, replied := instance.failover.replies[claimed]
	return !replied && !instance.findMember(claimed).listed.Member().IsLeaving()
}

// abortFailover ends a failover for lack of a primary, since a member replied as such. It
// counts as lost from now on, until a probe confirms it.
func (instance *instanceState) abortFailover(now ebonywood.Millis, primary ebonywood.MemberID, term ebonywood.Term) []ebonywood.Action {
	instance.failover = nil
	instance.lostAt = now
	instance.cachedView = nil
	return []ebonywood.Action{ebonywood.NewLogMessage("changeAborted", "instance", instance.id, "member", primary, "term", uint64(term))}
}

// requiredReplies returns the number of replies needed to be sure that one of them
// comes from a member with every acknowledged commit. With s synchronous replicas a
// commit is on at least s of the n members other than the primary, so n-s+1 replies
// include one that has it. Without synchronous replicas one reply is enough.
func (instance *instanceState) requiredReplies() int {
	successors := 0
	for _, member := range instance.members {
		if member.listed.Member().ID() != instance.primary {
			successors++
		}
	}
	if instance.syncReplicas == 0 {
		return 1
	}
	return max(1, successors-instance.syncReplicas+1)
}

// mostAdvanced returns the candidate with the highest received position among those that
// replied and whose log is not abandoned, empty if there is none. Ties go to the member
// whose ID sorts first.
func (instance *instanceState) mostAdvanced(now ebonywood.Millis) (ebonywood.MemberID, ebonywood.Position) {
	var best ebonywood.MemberID
	var position ebonywood.Position
	for _, member := range instance.members {
		id := member.listed.Member().ID()
		status, replied := instance.failover.replies[id]
		if replied && instance.lineage.isAbandoned(status.Received()) && !instance.acceptsAbandoned(now) {
			continue
		}
		if replied && instance.isCandidate(member) && (best == "" || position.Less(status.Received())) {
			best, position = id, status.Received()
		}
	}
	return best, position
}

// promotionEnded applies the platform's reply to a promotion. A conflict means that the
// platform refused the order; after any other fault the promotion may still take effect.
func (instance *instanceState) promotionEnded(now ebonywood.Millis, event ebonywood.PromotionEnded) []ebonywood.Action {
	fault := event.Fault()
	logMessage := ebonywood.NewLogMessage("promoteEnded", "instance", instance.id, "member", event.Order().Member(), "token", event.Order().Token(), "fault", faultText(fault))
	if instance.failover == nil || instance.failover.order != event.Order() {
		return []ebonywood.Action{logMessage}
	}
	switch {
	case fault == nil && instance.isFence():
		instance.failover, instance.pause.orderToken, instance.pause.orderMember = nil, 0, ""
		instance.pause.fencedAt = now
	case fault == nil:
		instance.failover.phaseStartedAt = now
	case fault.Kind() == ebonywood.KindConflict:
		instance.failover.backOff(now, refusalBackoff)
		return []ebonywood.Action{logMessage, ebonywood.RenewToken{}}
	default:
		instance.failover.unconfirmed = true
		return append(instance.handleLostOrder(), logMessage)
	}
	return []ebonywood.Action{logMessage}
}

// faultText returns the fault's text for the log, empty without a fault.
func faultText(fault *ebonywood.Fault) string {
	if fault == nil {
		return ""
	}
	return fault.Error()
}
