package succession

// A primary that a majority of the proxies takes for dead may still run and be reached by
// others. With synchronous replicas, its commits would be acknowledged, confirmed by a
// replica that is not promoted, until the successor leads. So before the order, all members
// that may confirm a commit are paused: they receive nothing from their reply on. A
// promotion ends the pause. If there is none after all, the holder of the duty ends it, but
// not while an order without a reply may still take effect: it then first orders the
// promotion of the present primary, which changes nothing and fences the earlier order.

import (
	"github.com/ebonywood/ebonywood"
)

// tokenRetryDelay is the time between two requests for a greater token.
const tokenRetryDelay ebonywood.Millis = 1000

// pauseState is what this process knows of pauses in one instance. The zero value is that
// of an instance without one.
type pauseState struct {
	// active is set while members may be paused.
	active bool
	// orderToken is the greatest token of an order that may still take effect; 0 without
	// one. orderMember is its member, empty if that is unknown.
	orderToken  int64
	orderMember ebonywood.MemberID
	// fencedAt is when the last order for the present primary was accepted. Orders that had
	// been accepted before may still take effect for promotionTimeout.
	fencedAt ebonywood.Millis
	// renewedAt is when a token greater than orderToken was last requested.
	renewedAt ebonywood.Millis
}

// endWith records that a member has become the primary, whose promotion ended all pauses. If
// it is not the member of the last order, that order may still take effect, and that
// member may lack commits by now.
func (pause *pauseState) endWith(member ebonywood.MemberID) {
	if pause.orderMember == member {
		*pause = pauseState{}
	}
	pause.orderMember = ""
}

// awaitsReply reports whether replies of the current round say that the member was paused
// with a term, 0 for one that was not.
func (failover *failover) awaitsReply(pausedAt ebonywood.Term) bool {
	switch failover.phase {
	case phaseCollecting:
		return pausedAt == 0
	case phasePausing:
		return pausedAt == failover.pauseTerm
	default:
		return false
	}
}

// pauseMembers pauses every member that may hold commits, and starts a new round of
// replies.
func (instance *instanceState) pauseMembers(now ebonywood.Millis) []ebonywood.Action {
	actions := instance.orderPause()
	failover := instance.failover
	failover.phase, failover.phaseStartedAt = phasePausing, now
	failover.replies, failover.queried = map[ebonywood.MemberID]ebonywood.ReplicationStatus{}, len(actions)-1
	return actions
}

// handleLostOrder requests a greater token to repeat an order without a reply, with
// synchronous replicas. The members are paused unless they are already: the order may take
// effect after the proxies have resumed their writes.
func (instance *instanceState) handleLostOrder() []ebonywood.Action {
	if instance.syncReplicas == 0 {
		return nil
	}
	actions := []ebonywood.Action{ebonywood.RenewToken{}}
	if !instance.pause.active {
		actions = append(actions, instance.orderPause()...)
	}
	return actions
}

// repeatOrder repeats an order without a reply with the token that this process holds now,
// and reports whether that was possible: the members have received nothing since.
func (instance *instanceState) repeatOrder(now ebonywood.Millis, token int64) (actions []ebonywood.Action, repeated bool) {
	failover := instance.failover
	if failover == nil || failover.phase != phasePromoting || !failover.unconfirmed || instance.syncReplicas == 0 || instance.isFence() {
		return nil, false
	}
	if !failover.stop.IsZero() && now-failover.stopRequestedAt >= promotionWindow {
		return nil, false
	}
	failover.unconfirmed = false
	return instance.promote(now, failover.order.Member(), failover.orderedPosition, token), true
}

// orderPause returns a query with a pause for every member that may hold commits, and a log
// message.
func (instance *instanceState) orderPause() []ebonywood.Action {
	failover := instance.failover
	failover.pauseTerm = instance.term + 1
	for _, status := range failover.replies {
		failover.pauseTerm = max(failover.pauseTerm, status.Term()+1)
	}
	instance.pause.active = true
	var actions []ebonywood.Action
	for _, member := range instance.members {
		if instance.mayHoldCommits(member) {
			actions = append(actions, ebonywood.NewQueryReplicationStatus(instance.id, member.listed.Member()).WithPause(failover.pauseTerm))
		}
	}
	return append(actions, ebonywood.NewLogMessage("replicationPaused", "instance", instance.id, "term", uint64(failover.pauseTerm), "asked", len(actions)))
}

// concludePause promotes the most advanced member once so many are paused that no commit
// can be confirmed any more. If there are too few after queryTimeout, it queries again.
func (instance *instanceState) concludePause(now ebonywood.Millis, token int64) []ebonywood.Action {
	failover := instance.failover
	timedOut := now-failover.phaseStartedAt >= queryTimeout
	if len(failover.replies) < failover.queried && !timedOut {
		return nil
	}
	best, position := instance.successor(now)
	if best != "" && instance.holdsEveryCommit(position) {
		return instance.promote(now, best, position, token)
	}
	if timedOut {
		return instance.queryReplicationStatus(now, failover.reason)
	}
	return nil
}

// settlePause ends a pause that a failover has left behind, in an instance whose primary is
// confirmed and needs no successor. An order that may still take effect is first carried
// through by another failover: any other order could come late as well and undo the first.
// If its member is unknown or can't be promoted, an order for the present primary with a
// greater token fences it, which changes nothing.
func (decision *Succession) settlePause(now ebonywood.Millis, instance *instanceState) []ebonywood.Action {
	pause := &instance.pause
	isSettled := !pause.active || instance.syncReplicas == 0
	if isSettled || instance.primary == "" || instance.isPrimaryUnreachable() || instance.findMember(instance.primary) == nil {
		return nil
	}
	ordered := instance.findMember(pause.orderMember)
	switch {
	case pause.orderToken == 0 && pause.fencedAt > 0 && now-pause.fencedAt < promotionTimeout:
		return nil
	case pause.orderToken == 0:
		pause.active = false
		return instance.resumeMembers()
	case pause.orderToken >= decision.token:
		return pause.renewToken(now)
	case ordered != nil && instance.isCandidate(ordered):
		return instance.startFailover(now, reasonUnsettled)
	default:
		instance.failover = &failover{reason: reasonUnsettled}
		return instance.promote(now, instance.primary, ebonywood.Position{}, decision.token)
	}
}

// renewToken requests a greater token, unless it has done so within tokenRetryDelay.
func (pause *pauseState) renewToken(now ebonywood.Millis) []ebonywood.Action {
	if now-pause.renewedAt < tokenRetryDelay {
		return nil
	}
	pause.renewedAt = now
	return []ebonywood.Action{ebonywood.RenewToken{}}
}

// isFence reports whether the failover's order is for the present primary.
func (instance *instanceState) isFence() bool {
	return instance.failover.reason == reasonUnsettled && instance.failover.order.Member() == instance.primary
}

// successor returns the member to promote: that of an order that may still take effect, if
// it has every commit, or else the most advanced one. Two orders for different members could
// take effect one after the other.
func (instance *instanceState) successor(now ebonywood.Millis) (ebonywood.MemberID, ebonywood.Position) {
	ordered := instance.findMember(instance.pause.orderMember)
	if instance.syncReplicas > 0 && ordered != nil && instance.isCandidate(ordered) {
		status, replied := instance.failover.replies[instance.pause.orderMember]
		if replied && !instance.lineage.isAbandoned(status.Received()) && instance.holdsEveryCommit(status.Received()) {
			return instance.pause.orderMember, status.Received()
		}
	}
	return instance.mostAdvanced(now)
}

// resumeMembers ends the pause of all members.
func (instance *instanceState) resumeMembers() []ebonywood.Action {
	actions := make([]ebonywood.Action, 0, len(instance.members))
	for _, member := range instance.members {
		actions = append(actions, ebonywood.NewResumeReplication(instance.id, member.listed.Member()))
	}
	return actions
}
