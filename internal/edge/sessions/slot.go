package sessions

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

const (
	// minSlots is the minimum number of slots that a proxy uses of a member.
	minSlots = 2
)

// errNoSlot reports that a statement got no slot of the member in time. It was not sent.
var errNoSlot = errors.New("no slot of the member became free in time")

// slotShare returns how many statements this process keeps in flight at a member that proxies
// share, besides what they lend each other. Further ones wait in this process, where they are
// ordered and can be refused, rather than in the member's own queue.
func (edge *Edge) slotShare(member ebonywood.Member, proxies int) int {
	proxies = max(1, proxies)
	statements := member.Slots() * edge.limits.Count(ebonywood.LimitStatementsPerSlot)
	return max(minSlots, (statements+proxies-1)/proxies)
}

// execute waits for a slot of the member and runs the statements, preceded by those that bring
// the connection into the session's state. It returns errNoSlot if no slot became free in time,
// at once if the predicted wait is too long. Inside a transaction the wait is bounded by the
// statement's deadline rather than by the route's latency objective, since a refusal would lose
// the work done so far.
func (lease *lease) execute(session *session, attempt *attempt, statements ...ebonywood.Statement) ([]ebonywood.Reply, error) {
	slotShape := shape(attempt.route, "slot")
	expected := lease.pool.edge.expectedCost(slotShape)
	inTx := session.tx != nil
	waitUntil := attempt.waitDeadline(time.Now())
	deadline := earlier(attempt.deadline, waitUntil.Add(expected))
	if inTx {
		waitUntil, deadline = attempt.whileWorkIsAccepted(attempt.deadline), attempt.deadline.Add(maxExpectedCost)
	}
	ticket, wait, err := lease.pool.slots.AcquireFor(attempt.awaited, attempt.route, attempt.workspace, slotShape, expected,
		attempt.inTimeUntil(), deadline, waitUntil)
	if err != nil {
		attempt.refuse(wait)
		return nil, errors.CombineErrors(errNoSlot, err)
	}
	if attempt.isTooLateToSend() {
		lease.pool.slots.Release(ticket, 0)
		return nil, errNoSlot
	}
	startedAt := time.Now()
	run := lease.run
	if !inTx && !attempt.writes {
		run = lease.runRepeatable
	}
	setup := lease.setupFor(session, attempt.prepared)
	if inTx {
		session.tx.workUntil = 0
		session.tx.settingsChanged = session.tx.settingsChanged || len(setup) > 0
	}
	replies, err := run(setup, attempt.remaining(), statements...)
	elapsed := time.Since(startedAt)
	lease.pool.edge.recordCost(slotShape, elapsed)
	lease.pool.leaveSlot(ticket, lendingShape(slotShape, statements), elapsed, replies, err, attempt.remaining() <= 0)
	return replies, err
}

// earlier returns the earlier of two times.
func earlier(left, right time.Time) time.Time {
	if right.Before(left) {
		return right
	}
	return left
}

// noSlotReply returns the reply to a statement that was not run for lack of a slot.
func noSlotReply(state ebonywood.TxState) ebonywood.Reply {
	return ebonywood.NewFailure(ebonywood.CodeBusy, errNoSlot.Error(), state, ebonywood.Position{})
}
