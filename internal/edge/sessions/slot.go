package sessions

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

const (
	// leastSlots is the least share of a proxy.
	leastSlots = 2
)

// errNoSlot says that a statement got no slot in time; it was not sent.
var errNoSlot = errors.New("no slot of the member in time")

// slotsOf is how many statements a proxy keeps under way at a member. The rest waits
// here, where it is ordered and can be refused, instead of in the member's own queue.
func (edge *Edge) slotsOf(member ebonywood.Member, proxies int) int {
	proxies = max(1, proxies)
	statements := member.Slots() * edge.limits.Count(ebonywood.LimitStatementsPerSlot)
	return max(leastSlots, (statements+proxies-1)/proxies)
}

// execute runs a statement that takes a slot of the member, behind what the
// connection has to be told first. Inside a transaction the wait is not bounded by
// the route's promise, since what was done before would be lost.
func (each *lease) execute(session *session, attempt *attempt, statements ...ebonywood.Statement) ([]ebonywood.Reply, error) {
	kind := shape(attempt.route, "slot")
	expected := each.pool.edge.expect(kind)
	inside := session.tx != nil
	patience, deadline := attempt.waitsUntil(time.Now()), attempt.until
	if inside {
		patience, deadline = attempt.until, attempt.until.Add(longestCost)
	}
	ticket, _, err := each.pool.slots.Enter(
		each.pool.edge.group.Context(), attempt.route, kind, expected, true, deadline, patience)
	if err != nil {
		return nil, errors.CombineErrors(errNoSlot, err)
	}
	began := time.Now()
	run := each.run
	if !inside && !attempt.writes {
		run = each.runRepeatable
	}
	ahead := each.ahead(session, attempt.shared)
	if inside && len(ahead) > 0 {
		session.tx.changed = true
	}
	replies, err := run(ahead, attempt.left(), statements...)
	took := time.Since(began)
	each.pool.edge.learn(kind, took)
	each.pool.slots.Leave(ticket, took)
	return replies, err
}

// noSlot is the reply to a statement that got no slot: it was not run.
func noSlot(state ebonywood.TxState) ebonywood.Reply {
	return ebonywood.NewFailure(ebonywood.CodeBusy, errNoSlot.Error(), state, ebonywood.Position{})
}
