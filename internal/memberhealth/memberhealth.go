// Package memberhealth decides from the results of real reads which members of an instance
// reads leave, and when reads return to them. A health check may be good at a member that fails
// or delays reads. Writes and strict reads are not affected, since only the primary runs them.
//
// Reads leave a member on one of three kinds of evidence. Slowness needs no rule here: package
// balance weighs members by the times of their reads, and those age. They stay away for a hold
// time, which doubles with each relapse. Then single trial reads are sent, more often with each
// good result, until enough of them were good. At least one member of the instance is always
// kept.
package memberhealth

import (
	"math"

	"github.com/ebonywood/ebonywood"
)

// Kind is a kind of evidence against a member.
type Kind uint8

// The kinds of evidence.
const (
	// KindFailed: reads failed that another member then answered.
	KindFailed Kind = iota
	// KindLost: reads got no answer, or their connection failed.
	KindLost
	// KindUnreachable: connections could not be opened, time and again.
	KindUnreachable
	kindCount
)

// String returns the name of the kind in log lines and metrics.
func (kind Kind) String() string {
	switch kind {
	case KindFailed:
		return "failed"
	case KindLost:
		return "lost"
	default:
		return "unreachable"
	}
}

// Standing is how reads may use a member.
type Standing uint8

// The standings.
const (
	// Admitted: reads use the member.
	Admitted Standing = iota
	// OnTrial: reads have left the member, and a trial read is due.
	OnTrial
	// Left: reads have left the member, and no trial read is due.
	Left
)

// rule is how reads leave a member for one kind of evidence. Both conditions have to hold.
type rule struct {
	// count is the least decayed number of bad results.
	count float64
	// share is the least share of bad results among all.
	share float64
	// halfLife is the time in which an old result loses half of its weight.
	halfLife ebonywood.Millis
}

// rules has the rules of the kinds that are counted. Members that fail some of their reads fail
// 15 to 45%; a proxy may send a member only a few reads per second, so two results suffice.
var rules = [kindCount]rule{
	KindFailed:      {count: 1.7, share: 0.08, halfLife: 10_000},
	KindLost:        {count: 1.7, share: 0.05, halfLife: 10_000},
	KindUnreachable: {count: 1.7, share: 0, halfLife: 30_000},
}

const (
	// firstHold is the time without reads after a member was left. It doubles with each relapse
	// up to maxHold.
	firstHold ebonywood.Millis = 1000
	maxHold   ebonywood.Millis = 30_000
	// relapsePeriod is how long after its return a member that is left again has a relapse.
	relapsePeriod ebonywood.Millis = 60_000
	// firstTrialInterval is the time between the first two trial reads. It halves with every
	// trialsToHalve good results down to minTrialInterval.
	firstTrialInterval ebonywood.Millis = 1000
	minTrialInterval   ebonywood.Millis = 50
	trialsToHalve                       = 3.0
	// trialsToReturn is the number of good results in a row after which a member is used again.
	// A member that fails 15% of its reads passes with a probability of 7%.
	trialsToReturn = 16
	// unreachableInterval is the time in which several failures to connect count once, since
	// all callers that wait fail at the same moment.
	unreachableInterval ebonywood.Millis = 500
	// suspectCount is the decayed number of lost reads at which a member is a suspect.
	suspectCount = 0.5
	// maxMembers bounds the members that are remembered; the one without results for the
	// longest time is forgotten first.
	maxMembers = 16
)

// leftCostsMs are the least costs of a read at a member that reads have left, in ms. They are what
// a further try costs, since such a member is of use while the other ones are overloaded.
var leftCostsMs = [kindCount]float64{KindFailed: 15, KindLost: 40, KindUnreachable: 30}

// LostCostMs is the time after which a read at a suspect is given up at the earliest, in ms.
const LostCostMs = 250.0

// Change is a member that reads left or returned to. The zero value is no change.
type Change struct {
	happened bool
	left     bool
	kind     Kind
	figure   float64
	hold     ebonywood.Millis
}

// Happened reports whether there was a change.
func (change Change) Happened() bool { return change.happened }

// HasLeft reports whether reads left the member; otherwise they returned to it.
func (change Change) HasLeft() bool { return change.left }

// Kind returns the kind of evidence for which reads had left the member.
func (change Change) Kind() Kind { return change.kind }

// Figure returns the number of bad results, of which old ones count less.
func (change Change) Figure() float64 { return change.figure }

// Hold returns the time until the first trial read.
func (change Change) Hold() ebonywood.Millis { return change.hold }

// counter counts bad results and all results, of which old ones lose weight.
type counter struct {
	bad, all float64
	at       ebonywood.Millis
}

// decay brings the counter to the present.
func (counter *counter) decay(now, halfLife ebonywood.Millis) {
	if now <= counter.at {
		return
	}
	factor := math.Exp2(-float64(now-counter.at) / float64(halfLife))
	counter.bad *= factor
	counter.all *= factor
	counter.at = now
}

// member is the evidence about one member.
type member struct {
	id       ebonywood.MemberID
	counters [kindCount]counter
	usedAt   ebonywood.Millis
	// failedAt is when a failure to connect was counted last.
	failedAt   ebonywood.Millis
	returnedAt ebonywood.Millis

	left bool
	kind Kind
	hold ebonywood.Millis
	// trialAt is when the next trial read is due, passed the good results in a row.
	trialAt ebonywood.Millis
	passed  int
	// trying reports that a trial read was sent since the hold time. Results before that are
	// of reads that were sent before the member was left.
	trying bool
}

// Tracker holds the evidence about the members of one instance. It is not safe for concurrent
// use.
type Tracker struct {
	members []*member
}

// New returns a tracker without evidence.
func New() *Tracker { return &Tracker{} }

func (tracker *Tracker) find(id ebonywood.MemberID) *member {
	for _, member := range tracker.members {
		if member.id == id {
			return member
		}
	}
	return nil
}

// member returns a member and adds it if needed.
func (tracker *Tracker) member(id ebonywood.MemberID, now ebonywood.Millis) *member {
	found := tracker.find(id)
	if found == nil {
		found = &member{id: id, failedAt: -unreachableInterval, returnedAt: -relapsePeriod}
		tracker.add(found)
	}
	found.usedAt = now
	return found
}

func (tracker *Tracker) add(added *member) {
	if len(tracker.members) < maxMembers {
		tracker.members = append(tracker.members, added)
		return
	}
	oldest := 0
	for i, member := range tracker.members {
		if member.usedAt < tracker.members[oldest].usedAt {
			oldest = i
		}
	}
	tracker.members[oldest] = added
}

// Standing returns how reads may use a member. One with the standing Left may still be used, at
// the cost of LeftCost.
func (tracker *Tracker) Standing(id ebonywood.MemberID, now ebonywood.Millis) Standing {
	member := tracker.find(id)
	switch {
	case member == nil || !member.left:
		return Admitted
	case now >= member.trialAt:
		return OnTrial
	default:
		return Left
	}
}

// LeftCost returns the cost, in ms, of a read at a member that reads have left; 0 for others.
// Unless isAvoided, the member is used less than others even where they are free: one that is
// only sometimes unreachable can run reads as well as they do.
func (tracker *Tracker) LeftCost(id ebonywood.MemberID) (costMs float64, isAvoided bool) {
	member := tracker.find(id)
	if member == nil || !member.left {
		return 0, false
	}
	costMs = leftCostsMs[member.kind]
	if lost := member.counters[KindLost]; lost.all > 0 {
		costMs = max(costMs, LostCostMs*lost.bad/lost.all)
	}
	return costMs, member.kind != KindUnreachable
}

// StartTrial records that a trial read is sent. The next one is due after an interval, whether
// or not this one is answered.
func (tracker *Tracker) StartTrial(id ebonywood.MemberID, now ebonywood.Millis) {
	if member := tracker.find(id); member != nil && member.left {
		member.trialAt, member.trying = now+trialInterval(member.passed), true
	}
}

func trialInterval(passed int) ebonywood.Millis {
	interval := float64(firstTrialInterval) * math.Exp2(-float64(passed)/trialsToHalve)
	return max(ebonywood.Millis(interval), minTrialInterval)
}

// IsSuspect reports whether reads may not be answered at the member: one was lost there
// recently.
func (tracker *Tracker) IsSuspect(id ebonywood.MemberID, now ebonywood.Millis) bool {
	member := tracker.find(id)
	if member == nil {
		return false
	}
	lost := &member.counters[KindLost]
	lost.decay(now, rules[KindLost].halfLife)
	return lost.bad >= suspectCount
}

// Answered records that a member answered a read.
func (tracker *Tracker) Answered(id ebonywood.MemberID, now ebonywood.Millis) Change {
	member := tracker.member(id, now)
	for _, kind := range [...]Kind{KindFailed, KindLost} {
		member.counters[kind].decay(now, rules[kind].halfLife)
		member.counters[kind].all++
	}
	if !member.left || !member.trying {
		return Change{}
	}
	return member.pass(now)
}

// pass records the good result of a read at a member that reads have left, and returns to it
// after enough of them.
func (member *member) pass(now ebonywood.Millis) Change {
	member.passed++
	if member.passed < trialsToReturn {
		member.trialAt = min(member.trialAt, now+trialInterval(member.passed))
		return Change{}
	}
	member.left, member.returnedAt = false, now
	member.counters = [kindCount]counter{}
	return Change{happened: true, kind: member.kind}
}

// relapse starts a longer hold time after a bad result at a member that reads have left.
func (member *member) relapse(now ebonywood.Millis) Change {
	if !member.trying {
		return Change{}
	}
	member.hold = min(2*member.hold, maxHold)
	member.startHold(now)
	return Change{}
}

func (member *member) startHold(now ebonywood.Millis) {
	member.trialAt, member.passed, member.trying = now+member.hold, 0, false
}

// Failed records that a read failed at a member and was then answered by another one. A
// statement that fails everywhere is no evidence.
func (tracker *Tracker) Failed(id ebonywood.MemberID, now ebonywood.Millis) Change {
	return tracker.recordBad(tracker.member(id, now), KindFailed, now)
}

// Lost records that a member did not answer a read, or closed its connection.
func (tracker *Tracker) Lost(id ebonywood.MemberID, now ebonywood.Millis) Change {
	return tracker.recordBad(tracker.member(id, now), KindLost, now)
}

// Unreachable records that a connection to a member could not be opened.
func (tracker *Tracker) Unreachable(id ebonywood.MemberID, now ebonywood.Millis) Change {
	member := tracker.member(id, now)
	if now-member.failedAt < unreachableInterval {
		return Change{}
	}
	member.failedAt = now
	return tracker.recordBad(member, KindUnreachable, now)
}

func (tracker *Tracker) recordBad(member *member, kind Kind, now ebonywood.Millis) Change {
	rule, counter := rules[kind], &member.counters[kind]
	counter.decay(now, rule.halfLife)
	counter.bad++
	counter.all++
	if member.left {
		return member.relapse(now)
	}
	if counter.bad < rule.count || counter.bad < rule.share*counter.all {
		return Change{}
	}
	return tracker.leave(member, kind, counter.bad, now)
}

// leave makes reads leave a member unless they have left all others.
func (tracker *Tracker) leave(leaving *member, kind Kind, figure float64, now ebonywood.Millis) Change {
	used := 0
	for _, other := range tracker.members {
		if other != leaving && !other.left {
			used++
		}
	}
	if used == 0 {
		return Change{}
	}
	if now-leaving.returnedAt < relapsePeriod {
		leaving.hold = min(2*leaving.hold, maxHold)
	} else {
		leaving.hold = firstHold
	}
	leaving.left, leaving.kind = true, kind
	leaving.startHold(now)
	return Change{happened: true, left: true, kind: kind, figure: figure, hold: leaving.hold}
}
