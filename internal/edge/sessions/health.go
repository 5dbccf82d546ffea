package sessions

import (
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/memberhealth"
)

// This file keeps the evidence of package memberhealth about the members of each instance, and
// applies it to the choice of a member for a read.

// suspectFactor is after how many times the expected time a read at a suspect is given up, but
// not before memberhealth.LostCostMs. A lower factor would give up reads that wait for a slot.
const suspectFactor = 8

// healthBook holds a tracker for each instance. The zero value works.
type healthBook struct {
	mutex    sync.Mutex
	trackers map[ebonywood.InstanceID]*memberhealth.Tracker
}

// tracker returns the tracker of an instance and creates it if needed. The mutex is held.
func (book *healthBook) tracker(id ebonywood.InstanceID) *memberhealth.Tracker {
	tracker, found := book.trackers[id]
	if found {
		return tracker
	}
	if book.trackers == nil {
		book.trackers = map[ebonywood.InstanceID]*memberhealth.Tracker{}
	}
	tracker = memberhealth.New()
	book.trackers[id] = tracker
	return tracker
}

// weigh adds the costs of the members that reads have left to the candidates. If a trial read of
// one of several members is due, it starts the trial and returns the member's index, otherwise
// -1. suspects reports for each candidate whether reads may not be answered there.
func (book *healthBook) weigh(
	id ebonywood.InstanceID, pools []*pool, candidates []ebonywood.LoadCandidate, now ebonywood.Millis,
) (trial int, suspects [maxReaders]bool) {
	trial = -1
	book.mutex.Lock()
	defer book.mutex.Unlock()
	tracker := book.tracker(id)
	for i, pool := range pools {
		member := pool.member.ID()
		suspects[i] = tracker.IsSuspect(member, now)
		costMs, isAvoided := tracker.LeftCost(member)
		switch {
		case costMs == 0:
			continue
		case isAvoided:
			candidates[i] = candidates[i].WithAvoidedCost(costMs)
		default:
			candidates[i] = candidates[i].WithFixedCost(costMs)
		}
		if trial < 0 && len(pools) > 1 && tracker.Standing(member, now) == memberhealth.OnTrial {
			tracker.StartTrial(member, now)
			trial = i
		}
	}
	return trial, suspects
}

// isSuspectAmong reports whether the chosen candidate is a suspect and another one is not, so
// that a read may be given up early and sent to that one.
func isSuspectAmong(suspects []bool, chosen int) bool {
	if !suspects[chosen] {
		return false
	}
	for _, isSuspect := range suspects {
		if !isSuspect {
			return true
		}
	}
	return false
}

// recordHealth records evidence about a member, and logs it if reads leave the member or return
// to it.
func (edge *Edge) recordHealth(
	pool *pool, record func(*memberhealth.Tracker, ebonywood.MemberID, ebonywood.Millis) memberhealth.Change,
) {
	edge.health.mutex.Lock()
	change := record(edge.health.tracker(pool.instance), pool.member.ID(), edge.now())
	edge.health.mutex.Unlock()
	switch {
	case !change.Happened():
	case change.HasLeft():
		edge.counters.count("membersLeft", change.Kind().String())
		edge.counters.logLine("memberLeft", "instance", pool.instance, "member", pool.member.ID(), "kind", change.Kind().String(),
			"count", change.Figure(), "holdMs", int64(change.Hold()))
	default:
		edge.counters.count("membersReturned", change.Kind().String())
		edge.counters.logLine("memberReturned", "instance", pool.instance, "member", pool.member.ID(), "kind", change.Kind().String())
	}
}

// readEvidence collects the tries of one read that had no result. They are evidence against their
// members once another member has answered the read, since a statement may fail, or take too
// long, everywhere.
type readEvidence struct {
	failed, lost [maxTries]*pool
	tries        int
}

// add records the outcome of a try.
func (evidence *readEvidence) add(pool *pool, reply ebonywood.Reply, outcome attemptOutcome) {
	switch {
	case outcome == outcomeFinal && reply.Code() == ebonywood.CodeDone:
		evidence.confirm(pool)
	case evidence.tries >= maxTries:
	case outcome == outcomeFinal && reply.Code() == ebonywood.CodeFailed:
		evidence.failed[evidence.tries] = pool
		evidence.tries++
	case outcome == outcomeLostRead:
		evidence.lost[evidence.tries] = pool
		evidence.tries++
	}
}

// confirm records that a member answered the read, and the earlier tries against their members.
func (evidence *readEvidence) confirm(answered *pool) {
	answered.edge.recordHealth(answered, (*memberhealth.Tracker).Answered)
	for i := range evidence.tries {
		if pool := evidence.failed[i]; pool != nil {
			pool.edge.recordHealth(pool, (*memberhealth.Tracker).Failed)
		}
		if pool := evidence.lost[i]; pool != nil {
			pool.edge.recordHealth(pool, (*memberhealth.Tracker).Lost)
		}
	}
	evidence.tries = 0
}

// giveUp records the last try as lost if the member left the read without an answer until the
// caller's deadline, so that no other member could be asked.
func (evidence *readEvidence) giveUp(attempt *attempt) {
	if evidence.tries == 0 || attempt.awaited.Err() != nil || time.Now().Before(attempt.deadline) {
		return
	}
	if pool := evidence.lost[evidence.tries-1]; pool != nil {
		pool.edge.recordHealth(pool, (*memberhealth.Tracker).Lost)
	}
}

// limitAtSuspect moves the attempt's deadline ahead for a read at a suspect, and returns the
// function that restores it.
func (attempt *attempt) limitAtSuspect(isSuspect bool, expected time.Duration) (restore func()) {
	deadline := attempt.deadline
	if !isSuspect {
		return func() {}
	}
	limit := time.Now().Add(max(memberhealth.LostCostMs*time.Millisecond, suspectFactor*expected))
	if limit.Before(deadline) {
		attempt.deadline = limit
	}
	return func() { attempt.deadline = deadline }
}
