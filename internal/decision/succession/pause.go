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
	// one. It is used only if active is set.
	orderToken int64
	// renewedAt is when a token greater than orderToken was last requested.
	renewedAt ebonywood.Millis
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
	failover := instance.failover
	failover.pauseTerm = instance.term + 1
	for _, status := range failover.replies {
		failover.pauseTerm = max(failover.pauseTerm, status.Term()+1)
	}
	failover.phase, failover.phaseStartedAt = phasePausing, now
	failover.replies, failover.queried = map[ebonywood.MemberID]ebonywood.ReplicationStatus{}, 0
	instance.pause.active = true
	var actions []ebonywood.Action
	for _, member := range instance.members {
		if instance.mayHoldCommits(member) {
			actions = append(actions, ebonywood.NewQueryReplicationStatus(instance.id, member.listed.Member()).WithPause(failover.pauseTerm))
			failover.queried++
		}
	}
	return append(actions, ebonywood.NewLogMessage("replicationPaused", "instance", instance.id, "term", uint64(failover.pauseTerm), "asked", failover.queried))
}

// concludePause promotes the most advanced member once so many are paused that no commit
// can be confirmed any more. If there are too few after queryTimeout, it queries again.
func (instance *instanceState) concludePause(now ebonywood.Millis, token int64) []ebonywood.Action {
	failover := instance.failover
	timedOut := now-failover.phaseStartedAt >= queryTimeout
	if len(failover.replies) < failover.queried && !timedOut {
		return nil
	}
	best, position := instance.mostAdvanced(now)
	if best != "" && instance.holdsEveryCommit(position) {
		return instance.promote(now, best, position, token)
	}
	if timedOut {
		return instance.queryReplicationStatus(now, failover.reason)
	}
	return nil
}

// settlePause ends a pause that a failover has left behind, in an instance whose primary is
// confirmed and needs no successor. An order that may still take effect is fenced first,
// with a greater token.
func (decision *Succession) settlePause(now ebonywood.Millis, instance *instanceState) []ebonywood.Action {
	pause := &instance.pause
	isSettled := !pause.active || instance.syncReplicas == 0
	if isSettled || instance.primary == "" || instance.isPrimaryUnreachable() || instance.findMember(instance.primary) == nil {
		return nil
	}
	switch {
	case pause.orderToken == 0:
		pause.active = false
		return instance.resumeMembers()
	case pause.orderToken < decision.token:
		instance.failover = &failover{reason: reasonUnsettled}
		return instance.promote(now, instance.primary, ebonywood.Position{}, decision.token)
	case now-pause.renewedAt >= tokenRetryDelay:
		pause.renewedAt = now
		return []ebonywood.Action{ebonywood.RenewToken{}}
	default:
		return nil
	}
}

// resumeMembers ends the pause of all members.
func (instance *instanceState) resumeMembers() []ebonywood.Action {
	actions := make([]ebonywood.Action, 0, len(instance.members))
	for _, member := range instance.members {
		actions = append(actions, ebonywood.NewResumeReplication(instance.id, member.listed.Member()))
	}
	return actions
}
