package promoter

import (
	"github.com/ebonywood/ebonywood"
)

// suspects reports whether the instance has no primary that can get its writes
// confirmed.
func (watch *watch) suspects(now ebonywood.Millis) bool {
	primary := watch.member(watch.primary)
	if primary == nil {
		return watch.reachableMajority(now)
	}
	if !watch.reachableMajority(now) {
		return false
	}
	if watch.isSilent(now, primary) {
		return true
	}
	if now-watch.since <= watch.silence() {
		return false
	}
	return watch.deafReplicas(now) > len(watch.members)-ebonywood.Majority(len(watch.members))
}

// isSilent asks for more than a silent connection: one that was opened after the
// member was last heard must have failed too.
func (watch *watch) isSilent(now ebonywood.Millis, entry *known) bool {
	return now-entry.heard > watch.silence() && entry.failed && entry.missed > entry.heard
}

func (watch *watch) isRecent(now ebonywood.Millis, entry *known) bool {
	return entry.ever && now-entry.heard <= watch.silence()
}

// reachableMajority reports whether a change of primary could succeed from here.
func (watch *watch) reachableMajority(now ebonywood.Millis) bool {
	reachable := 0
	for _, entry := range watch.members {
		if watch.isRecent(now, entry) {
			reachable++
		}
	}
	return reachable >= ebonywood.Majority(len(watch.members))
}

// deafReplicas counts the replicas that answer but don't hear a primary.
func (watch *watch) deafReplicas(now ebonywood.Millis) int {
	deaf := 0
	for _, entry := range watch.members {
		if entry.member.ID() != watch.primary && watch.isRecent(now, entry) && !watch.hears(now, entry) {
			deaf++
		}
	}
	return deaf
}

func (watch *watch) hears(now ebonywood.Millis, entry *known) bool {
	return entry.status.UpstreamAge()+(now-entry.told) <= watch.silence()
}

// witnessed reports whether a replica in reach hears the primary, which means
// that the fault is on the way from here.
func (watch *watch) witnessed(now ebonywood.Millis) bool {
	for _, entry := range watch.members {
		if entry.member.ID() != watch.primary && watch.isRecent(now, entry) && watch.hears(now, entry) {
			return true
		}
	}
	return false
}

// consider starts a change once the suspicion has lasted for this proxy's turn.
func (watch *watch) consider(now ebonywood.Millis) []ebonywood.Action {
	if !watch.suspicious {
		watch.suspicious, watch.suspect = true, now
	}
	delay := ebonywood.Millis(watch.rank) * stagger
	if watch.primary == "" {
		delay += watch.silence()
	} else if watch.witnessed(now) {
		delay += witnessPatience
	}
	if now-watch.suspect < delay {
		return nil
	}
	return watch.beginFencing(now)
}

func (watch *watch) beginFencing(now ebonywood.Millis) []ebonywood.Action {
	watch.enter(now, phaseFencing)
	watch.replaced = watch.primary
	watch.phaseTerm = watch.highest() + 1
	watch.fenced = map[ebonywood.MemberID]ebonywood.Status{}
	return watch.orderAll(ebonywood.OrderFence, watch.phaseTerm)
}

func (watch *watch) enter(now ebonywood.Millis, next phase) {
	watch.phase = next
	watch.phaseEnd = now + phaseLimit
	watch.view = nil
}

// giveUp returns to watching after a pause that is random, so that two proxies
// that duelled don't meet again.
func (watch *watch) giveUp(now, pause ebonywood.Millis) {
	watch.enter(now, phaseSteady)
	watch.suspicious = false
	watch.notBefore = now + pause + ebonywood.Millis(watch.random.Int64N(int64(backoffLimit)))
}

// advance moves a change on by time alone.
func (watch *watch) advance(now ebonywood.Millis) []ebonywood.Action {
	switch {
	case watch.phase == phaseFencing && watch.fencedMajority() && now-watch.fencedAt >= fenceGrace:
		return watch.promote(now, watch.greatest())
	case watch.phase == phaseHolding && now >= watch.phaseEnd-phaseLimit+holdLimit:
		watch.giveUp(now, moveRetry)
	case now >= watch.phaseEnd:
		watch.giveUp(now, 0)
	}
	return nil
}

func (watch *watch) fencedMajority() bool {
	return len(watch.fenced) >= ebonywood.Majority(len(watch.members))
}

// noteFenced counts a member that obeys the new term.
func (watch *watch) noteFenced(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	if event.Order().Term() != watch.phaseTerm {
		return nil
	}
	id := event.Order().Member()
	switch watch.phase {
	case phaseFencing:
		watch.fenced[id] = event.Status()
		if !watch.fencedMajority() {
			return nil
		}
		if watch.fencedAt < watch.phaseEnd-phaseLimit {
			watch.fencedAt = now
		}
		if len(watch.fenced) == len(watch.members) {
			return watch.promote(now, watch.greatest())
		}
	case phaseClosing:
		watch.fenced[id] = event.Status()
		watch.finalEnd = event.Status().LogEnd()
		watch.enter(now, phaseDraining)
		return []ebonywood.Action{watch.orderOne(watch.chosen, ebonywood.OrderStatus, 0)}
	case phaseDraining:
		// The leaving primary and the chosen replica hold the same log.
		watch.fenced[id] = event.Status()
		if watch.fencedMajority() && id == watch.chosen {
			return watch.promote(now, watch.chosen)
		}
	}
	return nil
}

// greatest is the fenced member with the greatest log; among equals one that
// stays goes before one that leaves.
//
// The replaced primary is passed over when the others are a majority by
// themselves: cut off from its peers it may have a longer log, of which nothing
// was confirmed, and promoted again it would still be cut off.
func (watch *watch) greatest() ebonywood.MemberID {
	passOver := watch.replaced
	if _, found := watch.fenced[passOver]; found && len(watch.fenced)-1 < ebonywood.Majority(len(watch.members)) {
		passOver = ""
	}
	var best *known
	var bestEnd ebonywood.Position
	for _, entry := range watch.members {
		status, found := watch.fenced[entry.member.ID()]
		if !found || entry.member.ID() == passOver {
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

func (watch *watch) promote(now ebonywood.Millis, id ebonywood.MemberID) []ebonywood.Action {
	watch.enter(now, phasePromoting)
	watch.chosen = id
	return []ebonywood.Action{watch.orderOne(id, ebonywood.OrderPromote, watch.phaseTerm)}
}

func (watch *watch) notePromoted(now ebonywood.Millis, event ebonywood.MemberReply) {
	if watch.phase == phasePromoting && event.Order().Term() == watch.phaseTerm {
		watch.enter(now, phaseSteady)
		watch.suspicious = false
	}
}

// refused gives way to a higher term.
func (watch *watch) refused(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	if watch.phase != phaseSteady && event.Order().Term() == watch.phaseTerm {
		watch.giveUp(now, 0)
	}
	return watch.hasten(now)
}

// considerMove starts a planned change when the primary's host is leaving and a
// replica that stays can take over.
func (watch *watch) considerMove(now ebonywood.Millis) []ebonywood.Action {
	primary := watch.member(watch.primary)
	if primary == nil || !primary.leaving || watch.rank > 0 && !watch.moveOverdue(now) {
		return nil
	}
	chosen := watch.successor(now)
	if chosen == "" {
		return nil
	}
	watch.chosen = chosen
	watch.enter(now, phaseHolding)
	return []ebonywood.Action{ebonywood.NewHoldWrites(watch.id)}
}

// moveOverdue lets a proxy of lower rank move the primary when those before it
// did not.
func (watch *watch) moveOverdue(now ebonywood.Millis) bool {
	if watch.notBefore == 0 || now-watch.notBefore > ebonywood.Millis(watch.rank)*2*moveRetry {
		watch.notBefore = now + ebonywood.Millis(watch.rank)*moveRetry
		return false
	}
	return true
}

func (watch *watch) successor(now ebonywood.Millis) ebonywood.MemberID {
	var best *known
	for _, entry := range watch.members {
		if entry.member.ID() == watch.primary || entry.leaving || !watch.isRecent(now, entry) {
			continue
		}
		if best == nil || best.status.LogEnd().Less(entry.status.LogEnd()) {
			best = entry
		}
	}
	if best == nil {
		return ""
	}
	return best.member.ID()
}

// writesIdle goes on with a planned change: nothing of this process is under way
// on the primary, so fencing it leaves no transaction in doubt.
func (watch *watch) writesIdle(now ebonywood.Millis) []ebonywood.Action {
	if watch.phase != phaseHolding {
		return nil
	}
	watch.enter(now, phaseClosing)
	watch.replaced = watch.primary
	watch.phaseTerm = watch.highest() + 1
	watch.fenced = map[ebonywood.MemberID]ebonywood.Status{}
	return []ebonywood.Action{watch.orderOne(watch.primary, ebonywood.OrderFence, watch.phaseTerm)}
}

// advanceDrain waits until the chosen replica has the whole log, then fences the
// others.
func (watch *watch) advanceDrain(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	if watch.phase != phaseDraining || event.Order().Member() != watch.chosen {
		return nil
	}
	if event.Status().FencedTerm() >= watch.phaseTerm {
		return nil
	}
	if !event.Status().LogEnd().Covers(watch.finalEnd) {
		return []ebonywood.Action{watch.orderOne(watch.chosen, ebonywood.OrderStatus, 0)}
	}
	return []ebonywood.Action{watch.orderOne(watch.chosen, ebonywood.OrderFence, watch.phaseTerm)}
}
