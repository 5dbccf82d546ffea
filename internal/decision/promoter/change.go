package promoter

// A change of primary is a failover, which starts when the primary is suspected, or a
// switchover, which starts when the primary or its host is leaving. This file has the
// conditions for both and their phases up to the promotion.

import (
	"github.com/ebonywood/ebonywood"
)

// suspects reports whether the instance seems to have no primary whose writes a
// majority can confirm. It is false while no majority is reachable from here.
func (monitor *monitor) suspects(now ebonywood.Millis) bool {
	primary := monitor.member(monitor.primary)
	if primary == nil {
		return monitor.hasReachableMajority(now)
	}
	if !monitor.hasReachableMajority(now) {
		return false
	}
	if monitor.isSilent(now, primary) {
		return true
	}
	if now-monitor.primarySince <= monitor.silenceTimeout() {
		return false
	}
	return monitor.replicasWithoutUpstream(now) > len(monitor.members)-ebonywood.Majority(len(monitor.members))
}

// isSilent reports whether a member has not replied within the silence timeout. A
// silent connection alone does not count: a connection that was opened after the
// last reply must have failed too.
func (monitor *monitor) isSilent(now ebonywood.Millis, entry *memberState) bool {
	return now-entry.repliedAt > monitor.silenceTimeout() && entry.failed && entry.failedAt > entry.repliedAt
}

// isReachable reports whether a member replied within the silence timeout.
func (monitor *monitor) isReachable(now ebonywood.Millis, entry *memberState) bool {
	return entry.hasStatus && now-entry.repliedAt <= monitor.silenceTimeout()
}

// hasReachableMajority reports whether enough members are reachable from this proxy
// for a change of primary to succeed.
func (monitor *monitor) hasReachableMajority(now ebonywood.Millis) bool {
	reachable := 0
	for _, entry := range monitor.members {
		if monitor.isReachable(now, entry) {
			reachable++
		}
	}
	return reachable >= ebonywood.Majority(len(monitor.members))
}

// replicasWithoutUpstream counts the reachable replicas that don't receive from a
// primary.
func (monitor *monitor) replicasWithoutUpstream(now ebonywood.Millis) int {
	count := 0
	for _, entry := range monitor.members {
		if entry.member.ID() != monitor.primary && monitor.isReachable(now, entry) && !monitor.hasUpstream(now, entry) {
			count++
		}
	}
	return count
}

// hasUpstream reports whether a member received from a primary within the silence
// timeout, by its last status.
func (monitor *monitor) hasUpstream(now ebonywood.Millis, entry *memberState) bool {
	return entry.status.UpstreamAge()+(now-entry.statusAt) <= monitor.silenceTimeout()
}

// anyReplicaHasUpstream reports whether a reachable replica receives from the
// primary. If so, the fault is on the network path from this proxy.
func (monitor *monitor) anyReplicaHasUpstream(now ebonywood.Millis) bool {
	for _, entry := range monitor.members {
		if entry.member.ID() != monitor.primary && monitor.isReachable(now, entry) && monitor.hasUpstream(now, entry) {
			return true
		}
	}
	return false
}

// maybeStartFailover starts fencing once the primary has been suspected for this
// proxy's delay, which grows with its rank. The silence timeout is added while no
// primary is known, and connectedPrimaryDelay while a replica still receives from the
// primary.
func (monitor *monitor) maybeStartFailover(now ebonywood.Millis) []ebonywood.Action {
	if !monitor.suspected {
		monitor.suspected, monitor.suspectedAt = true, now
	}
	delay := ebonywood.Millis(monitor.rank) * rankDelay
	if monitor.primary == "" {
		delay += monitor.silenceTimeout()
	} else if monitor.anyReplicaHasUpstream(now) {
		delay += connectedPrimaryDelay
	}
	if now-monitor.suspectedAt < delay {
		return nil
	}
	return monitor.startFencing(now)
}

// startFencing orders all members to obey a new term.
func (monitor *monitor) startFencing(now ebonywood.Millis) []ebonywood.Action {
	monitor.enterPhase(now, phaseFencing)
	monitor.replaced = monitor.primary
	monitor.phaseTerm = monitor.highestTerm() + 1
	monitor.fenced = map[ebonywood.MemberID]ebonywood.Status{}
	return monitor.memberOrders(ebonywood.OrderFence, monitor.phaseTerm)
}

// enterPhase starts a phase and its timeout, and invalidates the cached view.
func (monitor *monitor) enterPhase(now ebonywood.Millis, next phase) {
	monitor.phase = next
	monitor.phaseEnd = now + phaseTimeout
	monitor.cachedView = nil
}

// abortChange returns to the steady phase and permits no further change for the
// given pause plus jitter. The jitter keeps two proxies that competed from
// colliding again.
func (monitor *monitor) abortChange(now, pause ebonywood.Millis) {
	monitor.enterPhase(now, phaseSteady)
	monitor.suspected = false
	monitor.notBefore = now + pause + ebonywood.Millis(monitor.random.Int64N(int64(maxBackoffJitter)))
}

// advance runs the transitions of a change that depend on time alone: the end of
// the fencing grace, and the timeouts.
func (monitor *monitor) advance(now ebonywood.Millis) []ebonywood.Action {
	switch {
	case monitor.phase == phaseFencing && monitor.hasFencedMajority() && now-monitor.fencedAt >= fenceGrace:
		return monitor.promote(now, monitor.promotionCandidate())
	case monitor.phase == phaseHolding && now >= monitor.phaseEnd-phaseTimeout+holdTimeout:
		monitor.abortChange(now, switchoverRetryDelay)
	case now >= monitor.phaseEnd:
		monitor.abortChange(now, 0)
	}
	return nil
}

// hasFencedMajority reports whether a majority obeys the new term.
func (monitor *monitor) hasFencedMajority() bool {
	return len(monitor.fenced) >= ebonywood.Majority(len(monitor.members))
}

// handleFenced records that a member obeys the new term, and goes on to the next
// phase if that completes the present one.
func (monitor *monitor) handleFenced(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	if event.Order().Term() != monitor.phaseTerm {
		return nil
	}
	id := event.Order().Member()
	switch monitor.phase {
	case phaseFencing:
		monitor.fenced[id] = event.Status()
		if !monitor.hasFencedMajority() {
			return nil
		}
		// A fencedAt before this phase is that of an earlier change.
		if monitor.fencedAt < monitor.phaseEnd-phaseTimeout {
			monitor.fencedAt = now
		}
		if len(monitor.fenced) == len(monitor.members) {
			return monitor.promote(now, monitor.promotionCandidate())
		}
	case phaseClosing:
		monitor.fenced[id] = event.Status()
		monitor.finalLogEnd = event.Status().LogEnd()
		monitor.enterPhase(now, phaseDraining)
		return []ebonywood.Action{monitor.memberOrder(monitor.candidate, ebonywood.OrderStatus, 0)}
	case phaseDraining:
		// The leaving primary and the candidate hold the same log, which no other member
		// can exceed.
		monitor.fenced[id] = event.Status()
		if _, found := monitor.fenced[monitor.candidate]; found && monitor.hasFencedMajority() {
			return monitor.promote(now, monitor.candidate)
		}
	}
	return nil
}

// promotionCandidate returns the fenced member with the most advanced log. Of equal
// logs, a member that stays is preferred to one that leaves.
//
// The replaced primary is excluded if the other fenced members are a majority
// without it. A primary that was cut off from the other members may have a longer
// log, but its additional records are unconfirmed, and it would still be cut off
// after its promotion.
func (monitor *monitor) promotionCandidate() ebonywood.MemberID {
	excluded := monitor.replaced
	if _, found := monitor.fenced[excluded]; found && len(monitor.fenced)-1 < ebonywood.Majority(len(monitor.members)) {
		excluded = ""
	}
	var best *memberState
	var bestEnd ebonywood.Position
	for _, entry := range monitor.members {
		status, found := monitor.fenced[entry.member.ID()]
		if !found || entry.member.ID() == excluded {
			continue
		}
		better := best == nil || bestEnd.Less(status.LogEnd()) ||
			bestEnd == status.LogEnd() && best.leaving && !entry.leaving
		if better {
			best, bestEnd = entry, status.LogEnd()
		}
	}
	return best.member.ID()
}

// promote orders a member to become the primary of the new term.
func (monitor *monitor) promote(now ebonywood.Millis, id ebonywood.MemberID) []ebonywood.Action {
	monitor.enterPhase(now, phasePromoting)
	monitor.candidate = id
	return []ebonywood.Action{monitor.memberOrder(id, ebonywood.OrderPromote, monitor.phaseTerm)}
}

// handlePromoted completes the change once the candidate was promoted.
func (monitor *monitor) handlePromoted(now ebonywood.Millis, event ebonywood.MemberReply) {
	if monitor.phase == phasePromoting && event.Order().Term() == monitor.phaseTerm {
		monitor.enterPhase(now, phaseSteady)
		monitor.suspected = false
	}
}

// handleRefusal aborts a change whose term a member refused because it obeys a
// higher one, and requests a round to find that term.
func (monitor *monitor) handleRefusal(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	if monitor.phase != phaseSteady && event.Order().Term() == monitor.phaseTerm {
		monitor.abortChange(now, 0)
	}
	return monitor.requestRound(now)
}

// maybeStartSwitchover starts a switchover if the primary or its host is leaving and a
// replica that stays can take over. New writes are held first.
func (monitor *monitor) maybeStartSwitchover(now ebonywood.Millis) []ebonywood.Action {
	primary := monitor.member(monitor.primary)
	if primary == nil || !primary.leaving || monitor.rank > 0 && !monitor.isSwitchoverOverdue(now) {
		return nil
	}
	candidate := monitor.successor(now)
	if candidate == "" {
		return nil
	}
	monitor.candidate = candidate
	monitor.enterPhase(now, phaseHolding)
	return []ebonywood.Action{ebonywood.NewHoldWrites(monitor.id)}
}

// isSwitchoverOverdue reports whether a proxy that comes later in rendezvous order
// should run the switchover, because the proxies before it have not. The first call
// starts the delay, which grows with the rank. So does a call long after the last delay
// or pause ended.
func (monitor *monitor) isSwitchoverOverdue(now ebonywood.Millis) bool {
	if monitor.notBefore == 0 || now-monitor.notBefore > ebonywood.Millis(monitor.rank)*2*switchoverRetryDelay {
		monitor.notBefore = now + ebonywood.Millis(monitor.rank)*switchoverRetryDelay
		return false
	}
	return true
}

// successor returns the reachable replica with the most advanced log among those
// that stay, or an empty ID.
func (monitor *monitor) successor(now ebonywood.Millis) ebonywood.MemberID {
	var candidate *memberState
	for _, entry := range monitor.members {
		if entry.member.ID() == monitor.primary || entry.leaving || !monitor.isReachable(now, entry) {
			continue
		}
		if candidate == nil || candidate.status.LogEnd().Less(entry.status.LogEnd()) {
			candidate = entry
		}
	}
	if candidate == nil {
		return ""
	}
	return candidate.member.ID()
}

// handleWritesDrained continues a switchover by fencing the primary. No transaction of
// this process is open there, so fencing leaves no transaction in doubt.
func (monitor *monitor) handleWritesDrained(now ebonywood.Millis) []ebonywood.Action {
	if monitor.phase != phaseHolding {
		return nil
	}
	monitor.enterPhase(now, phaseClosing)
	monitor.replaced = monitor.primary
	monitor.phaseTerm = monitor.highestTerm() + 1
	monitor.fenced = map[ebonywood.MemberID]ebonywood.Status{}
	return []ebonywood.Action{monitor.memberOrder(monitor.primary, ebonywood.OrderFence, monitor.phaseTerm)}
}

// advanceDrain polls the candidate's status until it has the leaving primary's whole
// log, then fences the replicas. The candidate is promoted once it and a majority,
// which includes the leaving primary, are fenced.
func (monitor *monitor) advanceDrain(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	if monitor.phase != phaseDraining || event.Order().Member() != monitor.candidate {
		return nil
	}
	if event.Status().FencedTerm() >= monitor.phaseTerm {
		return nil
	}
	if !event.Status().LogEnd().Covers(monitor.finalLogEnd) {
		return []ebonywood.Action{monitor.memberOrder(monitor.candidate, ebonywood.OrderStatus, 0)}
	}
	return monitor.fenceReplicas()
}

// fenceReplicas orders the members that are not yet fenced to obey the new term. The
// candidate comes first, since nothing can be promoted without it.
func (monitor *monitor) fenceReplicas() []ebonywood.Action {
	actions := []ebonywood.Action{monitor.memberOrder(monitor.candidate, ebonywood.OrderFence, monitor.phaseTerm)}
	for _, entry := range monitor.members {
		id := entry.member.ID()
		if _, found := monitor.fenced[id]; !found && id != monitor.candidate {
			actions = append(actions, monitor.memberOrder(id, ebonywood.OrderFence, monitor.phaseTerm))
		}
	}
	return actions
}
