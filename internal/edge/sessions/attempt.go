package sessions

import (
	"time"

	"github.com/ebonywood/ebonywood"
)

// retryWaitShare is the fraction of the route's latency objective that a statement may
// wait at each further member once its initial wait share is used up.
const retryWaitShare = 0.25

// attemptOutcome classifies an attempt on one connection and so decides whether the
// work may be repeated.
type attemptOutcome uint8

const (
	// outcomeFinal: the reply is returned to the caller.
	outcomeFinal attemptOutcome = iota
	// outcomeBusy: the member replied that it has no free slot; the statement was not run.
	outcomeBusy
	// outcomeNotPrimary: the member is not the primary; the statement was not run.
	outcomeNotPrimary
	// outcomeLagging: the member's log does not reach the floor; the statement was not run.
	outcomeLagging
	// outcomeNoSlot: the statement got none of this process's slots of the member in time
	// and was not sent; another member may run it.
	outcomeNoSlot
	// outcomeHeld: writes were stopped before the statement was sent.
	outcomeHeld
	// outcomeUnprepared: the connection lacks the prepared statement; the statement was
	// not run.
	outcomeUnprepared
	// outcomeLostUnsent: the connection failed before the statement was sent.
	outcomeLostUnsent
	// outcomeLost: the connection failed after the statement was sent. It may have been
	// run, so it is not repeated.
	outcomeLost
	// outcomeLostRead: the connection failed during a read, which may be repeated.
	outcomeLostRead
)

// waitDeadline returns the time until which the statement may wait for a connection.
// A longer wait would miss the route's latency objective and delay everything queued
// behind it, whereas after an early refusal the caller can still be served elsewhere.
// Statements of paid routes, and of routes without a latency objective, wait until their
// deadline. Beyond its latency objective a statement delays no other, since it starts after
// those that can still be in time.
func (attempt *attempt) waitDeadline(now time.Time) time.Time {
	return attempt.whileWorkIsAccepted(attempt.objectiveDeadline(now))
}

// whileWorkIsAccepted returns the latest time at which the work may still be sent: the
// given one, or workUntil if that is earlier.
func (attempt *attempt) whileWorkIsAccepted(latest time.Time) time.Time {
	if attempt.workUntil == 0 {
		return latest
	}
	left := (attempt.workUntil - attempt.edge.now()).Duration()
	if end := time.Now().Add(left); end.Before(latest) {
		return end
	}
	return latest
}

// isTooLateToSend reports whether the member is leaving and must get no new work any more.
func (attempt *attempt) isTooLateToSend() bool {
	return attempt.workUntil > 0 && attempt.edge.now() >= attempt.workUntil
}

// objectiveDeadline returns the time until which the statement may wait for a connection
// under its route.
func (attempt *attempt) objectiveDeadline(now time.Time) time.Time {
	latencyObjective := attempt.route.Objective().Latency().Duration()
	if latencyObjective <= 0 || attempt.route.IsPaid() {
		return attempt.deadline
	}
	latest := attempt.startedAt.Add(time.Duration(attempt.waitShare * float64(latencyObjective)))
	retryLatest := now.Add(time.Duration(retryWaitShare * float64(latencyObjective)))
	if latest.Before(retryLatest) {
		latest = retryLatest
	}
	if attempt.deadline.Before(latest) {
		return attempt.deadline
	}
	return latest
}

// inTimeUntil returns the end of the route's latency objective, or the deadline if the
// route has none.
func (attempt *attempt) inTimeUntil() time.Time {
	if latencyObjective := attempt.route.Objective().Latency().Duration(); latencyObjective > 0 {
		return attempt.startedAt.Add(latencyObjective)
	}
	return attempt.deadline
}

// outcomeOf maps a member's reply to the outcome of the attempt.
func outcomeOf(reply ebonywood.Reply) attemptOutcome {
	switch reply.Code() {
	case ebonywood.CodeBusy:
		return outcomeBusy
	case ebonywood.CodeReadOnly:
		return outcomeNotPrimary
	case ebonywood.CodeLagging:
		return outcomeLagging
	case ebonywood.CodeNoStatement:
		return outcomeUnprepared
	default:
		return outcomeFinal
	}
}

// runOnPrimary runs work on connections to the primary until its outcome is
// outcomeFinal or outcomeLost, the tries are used up or the deadline has passed. It
// also ends if there is no primary or if the wait for a connection would be too long.
// kind is part of the shape under which the cost of the work is estimated.
func (session *session) runOnPrimary(
	attempt *attempt, kind string, work func(*lease) (ebonywood.Reply, attemptOutcome),
) ebonywood.Reply {
	id := attempt.route.Instances()[0]
	reply := failure(ebonywood.CodeBusy, "no primary")
	for ; attempt.tries < maxTries && attempt.remaining() > 0; attempt.tries++ {
		if attempt.mayCommit && !session.edge.awaitWrites(attempt.awaited, id, attempt.deadline) {
			return heldReply(ebonywood.TxIdle)
		}
		pool, workUntil, fault := session.edge.primaryPool(id, attempt.deadline)
		if fault != nil {
			return failure(ebonywood.CodeBusy, fault.Message())
		}
		attempt.member = pool.member.ID()
		attempt.workUntil = workUntil
		lease, fault := pool.lease(attempt, shape(attempt.route, kind))
		if fault != nil {
			reply = failure(ebonywood.CodeBusy, fault.Message())
			if fault.Kind() == ebonywood.KindOverload && pool.fullFor() == 0 {
				return reply
			}
			session.backOff(attempt)
			continue
		}
		latest, outcome := work(lease)
		reply = latest
		if done := session.endLease(lease, attempt, outcome); done {
			return reply
		}
	}
	return reply
}

// endLease releases the lease as the outcome requires and reports whether the reply is final,
// since the outcome is or since there is no budget for a retry. A lease that the session's
// transaction holds is not released.
func (session *session) endLease(lease *lease, attempt *attempt, outcome attemptOutcome) (done bool) {
	pool := lease.pool
	switch outcome {
	case outcomeFinal:
		if session.tx == nil || session.tx.lease != lease {
			pool.release(lease, false)
		}
		return true
	case outcomeBusy:
		pool.release(lease, false)
		if !attempt.mayRetry("member") {
			return true
		}
		session.backOff(attempt)
	case outcomeNotPrimary:
		pool.release(lease, false)
		session.edge.reportNotPrimary(pool)
		session.edge.awaitNotPrimary(pool, attempt.deadline)
	case outcomeNoSlot, outcomeHeld:
		pool.release(lease, false)
	case outcomeLagging:
		pool.markLagging()
		pool.release(lease, false)
	case outcomeUnprepared:
		lease.stateUnknown = true
		pool.release(lease, false)
	case outcomeLost:
		pool.release(lease, true)
		return true
	case outcomeLostRead:
		pool.release(lease, true)
		return !attempt.mayRetry("member")
	case outcomeLostUnsent:
		pool.release(lease, true)
	}
	return false
}

// backOff sleeps before the next try. The delay starts from busyBackoff and doubles with
// each try, up to eight times busyBackoff. It does not exceed the remaining time.
func (session *session) backOff(attempt *attempt) {
	delay := busyBackoff << min(attempt.tries, 3)
	time.Sleep(min(delay, max(attempt.remaining(), 0)))
}

// fullFor returns the remaining time in which no connection to the member is opened
// because it reported that it has none left.
func (pool *pool) fullFor() ebonywood.Millis {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return max(0, pool.fullUntil-pool.edge.now())
}

// awaitNotPrimary waits, for refusalTimeout at most, until the snapshot no longer names
// the member as primary. It is called after a refusal, so that the retry does not go to
// the same member.
func (edge *Edge) awaitNotPrimary(pool *pool, deadline time.Time) {
	ctx, cancel := contextUntil(edge.group.Context(), deadline, refusalTimeout)
	defer cancel()
	_, _ = edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		view, found := snapshot.View(pool.instance)
		return !found || view.Primary() != pool.member.ID()
	})
}
