package sessions

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/memberhealth"
)

const (
	// refusalTimeout bounds the wait until the snapshot reflects a refusal by a member
	// that is not the primary.
	refusalTimeout = 50 * time.Millisecond
	// sampleTimeout bounds the wait for a sample that a read needs.
	sampleTimeout = 150 * time.Millisecond
	// samplePollInterval is the time between two checks for that sample.
	samplePollInterval = 5 * time.Millisecond
)

// contextUntil returns a context that ends at the deadline or after the timeout,
// whichever is earlier.
func contextUntil(parent context.Context, deadline time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, min(timeout, max(time.Until(deadline), 0)))
}

// read runs a bounded-staleness read on any member that holds the floor, and on the
// primary if no member is proven fresh enough.
func (session *session) read(
	statement ebonywood.Statement, view *ebonywood.InstanceView, attempt *attempt,
) ebonywood.Reply {
	reply := session.runOnReader(view, attempt, func(lease *lease) (ebonywood.Reply, attemptOutcome) {
		expected := session.edge.expectedCost(lease.shape)
		startedAt := time.Now()
		replies, err := lease.execute(session, attempt, statement.WithFloor(attempt.floor))
		if errors.Is(err, errNoSlot) {
			return noSlotReply(ebonywood.TxIdle), outcomeNoSlot
		}
		if err != nil {
			return lostReadReply(err, attempt), outcomeLostRead
		}
		// A failure may be fast, which would attract further reads.
		if replies[0].Code() == ebonywood.CodeDone {
			lease.pool.recordReadTime(time.Since(startedAt), expected)
			session.edge.countRead(lease.pool)
		}
		return replies[0], outcomeOf(replies[0])
	})
	if reply.Code() == ebonywood.CodeLagging {
		return session.strictRead(statement, attempt)
	}
	return reply
}

// lowerFloor lowers the session's floor to the primary's position, since commits of the
// session beyond it were rolled back by a promotion.
func (session *session) lowerFloor(position ebonywood.Position) {
	if !position.IsZero() && position.Less(session.floor) {
		session.floor = position
	}
}

// runOnReader runs work on members that may hold the floor, chosen by their expected time,
// until a reply is final. After a reply with CodeFailed, the next member is
// tried. A member is tried again only after its connection lacked a prepared statement.
func (session *session) runOnReader(
	view *ebonywood.InstanceView, attempt *attempt, work func(*lease) (ebonywood.Reply, attemptOutcome),
) ebonywood.Reply {
	floor, found := session.edge.provenFloor(view, attempt.asOf-attempt.route.Policy().MaxAge(), attempt.deadline)
	if !found {
		return failure(ebonywood.CodeLagging, "no member is proven fresh enough for the route")
	}
	attempt.floor = floor.Max(session.floor)
	recent := attempt.asOf-session.lastCommitAt < recentWriteWindow && !session.floor.IsZero()
	tried := map[ebonywood.MemberID]bool{}
	reply := failure(ebonywood.CodeBusy, "no member can be reached")
	readShape := shape(attempt.route, "read")
	var evidence readEvidence
	defer func() { evidence.giveUp(attempt) }()
	for ; attempt.tries < maxTries && attempt.remaining() > 0; attempt.tries++ {
		expected := session.edge.expectedCost(readShape)
		pool, isSuspect := session.edge.chooseReader(view, attempt.floor, recent, tried, attempt.workspaceName(), expected)
		if pool == nil {
			return reply
		}
		attempt.member = pool.member.ID()
		tried[attempt.member] = true
		lease, fault := pool.lease(attempt, readShape)
		if fault != nil {
			if fault.Kind() == ebonywood.KindUnavailable {
				session.edge.recordHealth(pool, (*memberhealth.Tracker).Unreachable)
			}
			reply = failure(ebonywood.CodeBusy, fault.Message())
			continue
		}
		restoreDeadline := attempt.limitAtSuspect(isSuspect, expected)
		latest, outcome := work(lease)
		restoreDeadline()
		reply = latest
		evidence.add(pool, reply, outcome)
		if outcome == outcomeFinal && reply.Code() == ebonywood.CodeFailed {
			attempt.mayHaveRun = true
			lease.pool.release(lease, false)
			if !attempt.mayRetry("member") {
				return reply
			}
			continue
		}
		if outcome == outcomeUnprepared {
			delete(tried, attempt.member)
		}
		if done := session.endLease(lease, attempt, outcome); done {
			return reply
		}
	}
	return reply
}

// provenFloor returns the floor that covers every commit acknowledged before oldest.
// Without a young enough sample it probes the primary for one and waits up to
// sampleTimeout, but not past the deadline.
func (edge *Edge) provenFloor(
	view *ebonywood.InstanceView, oldest ebonywood.Millis, deadline time.Time,
) (ebonywood.Position, bool) {
	floor, found := edge.floor(view.ID(), oldest)
	if found || view.Primary() == "" {
		return floor, found
	}
	edge.refreshSample(view)
	waitUntil := time.Now().Add(min(sampleTimeout, time.Until(deadline)))
	for !found && time.Now().Before(waitUntil) {
		time.Sleep(samplePollInterval)
		floor, found = edge.floor(view.ID(), oldest)
	}
	return floor, found
}
