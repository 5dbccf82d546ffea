package succession

import (
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
)

// failoverReason is the reason why an instance needs another primary.
type failoverReason string

const (
	reasonNone      failoverReason = ""
	reasonLeaving   failoverReason = "leaving"
	reasonDead      failoverReason = "dead"
	reasonNoPrimary failoverReason = "leaderless"
	// reasonUnsettled is an earlier order that may still take effect, which an order for the
	// present primary fences.
	reasonUnsettled failoverReason = "unsettled"
)

// instanceState is the locally held state of one instance.
type instanceState struct {
	id      ebonywood.InstanceID
	members []*memberState
	primary ebonywood.MemberID
	// term is the term of the last record in the primary's log.
	term         ebonywood.Term
	syncReplicas int
	// confirmedAt is when the operation was sent that last proved who is the primary.
	confirmedAt ebonywood.Millis
	// lineage says which logs descend from the primary's.
	lineage lineage
	// watched is set while this process has to keep track of the primary.
	watched bool
	// lostAt is the time since which the primary is unknown or unreachable; 0 while it
	// is neither.
	lostAt ebonywood.Millis
	// unlistedAt is the time since which the directory's list lacks the primary; 0 while
	// it is listed.
	unlistedAt ebonywood.Millis
	// probedAt is when the members were last probed for the primary.
	probedAt ebonywood.Millis
	// failover is the failover in progress, nil without one.
	failover *failover
	// writes is the stop of writes that is in force in this process.
	writes writeStopState
	// pause is what this process knows of paused members.
	pause pauseState
	// cachedView is the last published view, nil if it is out of date.
	cachedView *ebonywood.InstanceView
}

// memberState is the locally held state of one member.
type memberState struct {
	listed      ebonywood.ListedMember
	unreachable bool
	// workUntil is the time from which the member, which is leaving, must get no new work;
	// 0 if it is not leaving.
	workUntil ebonywood.Millis
}

func (instance *instanceState) findMember(id ebonywood.MemberID) *memberState {
	for _, candidate := range instance.members {
		if candidate.listed.Member().ID() == id {
			return candidate
		}
	}
	return nil
}

// reset discards the primary, the failover in progress and the reachability of all
// members.
func (instance *instanceState) reset(now ebonywood.Millis) {
	instance.primary, instance.lineage.primary = "", ""
	instance.lostAt, instance.unlistedAt, instance.probedAt = now, 0, 0
	instance.failover = nil
	instance.cachedView = nil
	for _, member := range instance.members {
		member.unreachable = false
	}
}

// setMembers replaces the members by those of the directory's list. In a watched
// instance, a member that newly claims to be primary is probed immediately. A member that
// is newly leaving must get no new work from workUntil on.
func (instance *instanceState) setMembers(now ebonywood.Millis, listed []ebonywood.ListedMember, workUntil ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	members := make([]*memberState, 0, len(listed))
	for _, entry := range listed {
		member := &memberState{listed: entry}
		previous := instance.findMember(entry.Member().ID())
		if previous != nil && previous.listed.Member().Address() == entry.Member().Address() {
			member.unreachable = previous.unreachable
		}
		if entry.Member().IsLeaving() {
			member.workUntil = workUntil
			if previous != nil && previous.workUntil > 0 {
				member.workUntil = previous.workUntil
			}
		}
		claims := entry.ClaimsPrimary() && (previous == nil || !previous.listed.ClaimsPrimary())
		if instance.watched && claims && entry.Member().ID() != instance.primary {
			actions = append(actions, ebonywood.NewProbePrimary(instance.id, entry.Member()))
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(left, right *memberState) int {
		return strings.Compare(string(left.listed.Member().ID()), string(right.listed.Member().ID()))
	})
	instance.members = members
	instance.cachedView = nil
	switch {
	case instance.primary == "" || instance.findMember(instance.primary) != nil:
		instance.unlistedAt = 0
	case instance.unlistedAt == 0:
		instance.unlistedAt = now
	}
	return actions
}

// confirmPrimary makes a member the primary after it accepted a transaction. Evidence
// that was sent before the last one is ignored. Terms don't tell which is newer: the last
// record of a primary may be of any earlier term. A failover in progress ends.
func (instance *instanceState) confirmPrimary(now ebonywood.Millis, event ebonywood.PrimaryObserved) []ebonywood.Action {
	if event.SentAt() < instance.confirmedAt || instance.findMember(event.Member()) == nil {
		return nil
	}
	instance.confirmedAt = event.SentAt()
	term := event.Position().Term()
	if event.Member() == instance.primary && term == instance.term {
		return nil
	}
	instance.recordLineage(event)
	gap := ebonywood.Millis(0)
	if instance.lostAt > 0 {
		gap = now - instance.lostAt
	}
	message := "primary"
	if event.Member() == instance.primary {
		message = "term"
	} else {
		instance.pause.endWith(event.Member())
	}
	instance.primary, instance.term = event.Member(), term
	instance.lostAt, instance.unlistedAt = 0, 0
	instance.findMember(event.Member()).unreachable = false
	instance.failover = nil
	instance.cachedView = nil
	actions := instance.resumeWrites(now, "primary")
	return append(actions, ebonywood.NewLogMessage(message,
		"instance", instance.id, "member", event.Member(), "term", uint64(term), "position", event.Position().String(), "unknownForMs", int64(gap)))
}

// clearPrimary removes the primary after it refused a transaction, and probes the
// other members.
func (instance *instanceState) clearPrimary(now ebonywood.Millis, event ebonywood.NonPrimaryObserved) []ebonywood.Action {
	if event.Member() != instance.primary {
		return nil
	}
	instance.primary = ""
	instance.lostAt = now
	instance.cachedView = nil
	actions := []ebonywood.Action{
		ebonywood.NewLogMessage("primaryLost", "instance", instance.id, "member", event.Member(), "evidence", "refused"),
	}
	return append(actions, instance.probeMembers(now)...)
}

// setReachable records that a member became reachable or unreachable.
func (instance *instanceState) setReachable(now ebonywood.Millis, event ebonywood.MemberReachabilityChanged) []ebonywood.Action {
	member := instance.findMember(event.Member())
	if member == nil || member.unreachable == !event.IsReachable() {
		return nil
	}
	member.unreachable = !event.IsReachable()
	instance.cachedView = nil
	if event.Member() == instance.primary {
		instance.lostAt = 0
		if member.unreachable {
			instance.lostAt = now
		}
	}
	return []ebonywood.Action{ebonywood.NewLogMessage("reach",
		"instance", instance.id, "member", event.Member(), "reachable", event.IsReachable(), "isPrimary", event.Member() == instance.primary)}
}

func (instance *instanceState) isPrimaryUnreachable() bool {
	return instance.isUnreachable(instance.primary)
}

func (instance *instanceState) isUnreachable(id ebonywood.MemberID) bool {
	member := instance.findMember(id)
	return member != nil && member.unreachable
}

// presumedPrimary returns the confirmed primary. Without one it returns the only
// member that claims to be primary, since a new holder of the duty may never have
// reached it; empty if none or several claim it.
func (instance *instanceState) presumedPrimary() ebonywood.MemberID {
	if instance.primary != "" {
		return instance.primary
	}
	claimed := ebonywood.MemberID("")
	for _, member := range instance.members {
		if !member.listed.ClaimsPrimary() {
			continue
		}
		if claimed != "" {
			return ""
		}
		claimed = member.listed.Member().ID()
	}
	return claimed
}

// isPrimaryLeaving reports whether the primary is leaving, or has been missing from
// the list for longer than unlistedTimeout.
func (instance *instanceState) isPrimaryLeaving(now ebonywood.Millis) bool {
	if instance.primary == "" {
		return false
	}
	member := instance.findMember(instance.primary)
	if member == nil {
		return instance.unlistedAt > 0 && now-instance.unlistedAt > unlistedTimeout && len(instance.members) > 0
	}
	return member.listed.Member().IsLeaving()
}

// canReachReplica reports whether a member other than the primary is reachable.
func (instance *instanceState) canReachReplica() bool {
	for _, member := range instance.members {
		if member.listed.Member().ID() != instance.primary && !member.unreachable {
			return true
		}
	}
	return false
}

// probeMembers probes the reachable members for the primary, at most once per
// probeInterval, while it is unknown, unreachable, unlisted or being replaced.
func (instance *instanceState) probeMembers(now ebonywood.Millis) []ebonywood.Action {
	if !instance.watched {
		return nil
	}
	if instance.primary != "" && !instance.isPrimaryUnreachable() && instance.unlistedAt == 0 && instance.failover == nil {
		return nil
	}
	if now-instance.probedAt < probeInterval {
		return nil
	}
	instance.probedAt = now
	var actions []ebonywood.Action
	for _, member := range instance.members {
		if !member.unreachable && member.listed.Member().ID() != instance.primary {
			actions = append(actions, ebonywood.NewProbePrimary(instance.id, member.listed.Member()))
		}
	}
	return actions
}

// view returns the instance's view for the snapshot. An unreachable or unlisted primary
// is left out.
func (instance *instanceState) view() *ebonywood.InstanceView {
	if instance.cachedView != nil {
		return instance.cachedView
	}
	primary, primaryUntil := instance.primary, ebonywood.Millis(0)
	if member := instance.findMember(primary); member == nil || member.unreachable {
		primary = ""
	} else {
		primaryUntil = member.workUntil
	}
	views := make([]ebonywood.MemberView, 0, len(instance.members))
	for _, member := range instance.members {
		views = append(views, ebonywood.NewMemberView(member.listed.Member(), ebonywood.Position{}, 0, 0, !member.unreachable))
	}
	holdingWrites := !instance.writes.current.IsZero()
	instance.cachedView = ebonywood.NewInstanceView(instance.id, instance.term, primary, holdingWrites, views, nil).
		WithPrimaryLostAt(instance.lostAt).WithPrimaryUntil(primaryUntil)
	return instance.cachedView
}
