package sessions

import (
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/lending"
)

// This file lets the process use more of a member than its share while the other proxies
// that serve the instance leave theirs unused. Package lending decides how much.

// lentStatementsPerSlot bounds what one process may have in flight at a member: twice its
// slots keep all of them busy while replies and the next statements are under way.
const lentStatementsPerSlot = 2

// lentLimits are the process's limits at one member. They are protected by the pool's mutex.
type lentLimits struct {
	slots, connections lending.Limit
}

func newLentLimits() lentLimits {
	limits := lentLimits{}
	limits.slots.SetShare(minSlots, minSlots)
	limits.connections.SetShare(minConnections, minConnections)
	return limits
}

// lendSlots applies this process's share of the member's slots.
func (pool *pool) lendSlots(share int) {
	most := pool.member.Slots() * min(lentStatementsPerSlot, pool.edge.limits.Count(ebonywood.LimitStatementsPerSlot))
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.lent.slots.SetShare(share, most)
	pool.lent.slots.Expire(pool.edge.now().Duration())
	pool.slots.Resize(pool.lent.slots.Value())
}

// lendConnections applies this process's share of the member's connections. At first all of
// the most that it may open is lent, since callers come at once after a start; a member that
// has none left takes it back. The mutex is held.
func (pool *pool) lendConnections(share connectionShare) {
	first := pool.share.equal == 0
	pool.share = share
	pool.lent.connections.SetShare(share.equal, share.maxOpen)
	switch limit := pool.lent.connections.Value(); {
	case first:
		pool.lent.connections.Fill()
	case pool.open >= limit && pool.admission.Running() >= limit:
		pool.lent.connections.Unrefused(pool.edge.now().Duration())
	}
}

// leaveSlot frees the slot of statements that ended after the elapsed time, and records what
// that says about the member's load. The reply is the last one that arrived, err the error of
// the exchange.
func (pool *pool) leaveSlot(ticket, shape uint64, elapsed time.Duration, replies []ebonywood.Reply, err error, timedOut bool) {
	refused := err != nil && timedOut || len(replies) > 0 && replies[len(replies)-1].Code() == ebonywood.CodeBusy
	if err == nil || refused {
		pool.recordSlotUse(shape, elapsed, refused)
	}
	pool.slots.Release(ticket, elapsed)
}

func (pool *pool) recordSlotUse(shape uint64, elapsed time.Duration, refused bool) {
	present := pool.slots.Running()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	before, now := pool.lent.slots.Value(), pool.edge.now().Duration()
	if refused {
		pool.lent.slots.Refused(now)
	} else {
		pool.lent.slots.Completed(now, shape, elapsed, present)
	}
	if value := pool.lent.slots.Value(); value != before {
		pool.slots.Resize(value)
	}
}

// lendingShape tells statements of one route apart that take different times at the member,
// such as COMMIT.
func lendingShape(slotShape uint64, statements []ebonywood.Statement) uint64 {
	return slotShape + uint64(statements[0].Verb())
}
