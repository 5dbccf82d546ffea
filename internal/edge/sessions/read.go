package sessions

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

const (
	// changeLimit bounds the wait for a refusal to be taken in.
	changeLimit = 50 * time.Millisecond
	// sampleLimit bounds the wait for a sample that a read needs.
	sampleLimit = 150 * time.Millisecond
	// samplePoll is how often such a read looks for it.
	samplePoll = 5 * time.Millisecond
)

func contextUntil(parent context.Context, until time.Time, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, min(limit, max(time.Until(until), 0)))
}

// read runs a read of a stated age on any member that holds the floor.
func (session *session) read(
	statement ebonywood.Statement, view *ebonywood.InstanceView, each *attempt,
) ebonywood.Reply {
	reply := session.onReader(view, each, func(lease *lease) (ebonywood.Reply, verdict) {
		expected := session.edge.expect(lease.shape)
		began := time.Now()
		replies, err := lease.execute(session, each, statement.WithFloor(each.floor))
		if errors.Is(err, errNoSlot) {
			return noSlot(ebonywood.TxIdle), refused
		}
		if err != nil {
			return session.brokenRead(err, each), lostRead
		}
		lease.pool.learnDelay(time.Since(began), expected)
		if replies[0].Code() == ebonywood.CodeDone {
			session.edge.countRead(lease.pool)
		}
		return replies[0], judge(replies[0])
	})
	if reply.Code() == ebonywood.CodeLagging {
		return session.strictRead(statement, each)
	}
	return reply
}

// lowerFloor takes the primary's word for the session's floor: commits of the
// session beyond it were rolled back by a promotion.
func (session *session) lowerFloor(at ebonywood.Position) {
	if !at.IsZero() && at.Less(session.floor) {
		session.floor = at
	}
}

// onReader runs work on members that may hold the floor, each once, the one with
// the least expected wait first.
func (session *session) onReader(
	view *ebonywood.InstanceView, each *attempt, work func(*lease) (ebonywood.Reply, verdict),
) ebonywood.Reply {
	floor, found := session.edge.provenFloor(view, each.asked-each.route.Policy().MaxAge(), each.until)
	if !found {
		return failure(ebonywood.CodeLagging, "no member proves the age that the route allows")
	}
	each.floor = floor.Max(session.floor)
	recent := each.asked-session.wroteAt < recentWrite && !session.floor.IsZero()
	tried := map[ebonywood.MemberID]bool{}
	reply := failure(ebonywood.CodeBusy, "no member can be reached")
	for ; each.tries < triesLimit && each.left() > 0; each.tries++ {
		pool := session.edge.reader(view, each.floor, recent, tried)
		if pool == nil {
			return reply
		}
		each.member = pool.member.ID()
		tried[each.member] = true
		taken, fault := pool.lease(each, shape(each.route, "read"))
		if fault != nil {
			reply = failure(ebonywood.CodeBusy, fault.Message())
			continue
		}
		next, outcome := work(taken)
		reply = next
		if outcome == final && reply.Code() == ebonywood.CodeFailed {
			taken.pool.release(taken, false)
			continue
		}
		if outcome == strayed {
			delete(tried, each.member)
		}
		if done := session.settle(taken, each, outcome); done {
			return reply
		}
	}
	return reply
}

// provenFloor finds the floor for an age. Without a sample that is young enough
// it asks the primary for one and waits a little.
func (edge *Edge) provenFloor(
	view *ebonywood.InstanceView, oldest ebonywood.Millis, until time.Time,
) (ebonywood.Position, bool) {
	floor, found := edge.floor(view.ID(), oldest)
	if found || view.Primary() == "" {
		return floor, found
	}
	edge.refresh(view)
	limit := time.Now().Add(min(sampleLimit, time.Until(until)))
	for !found && time.Now().Before(limit) {
		time.Sleep(samplePoll)
		floor, found = edge.floor(view.ID(), oldest)
	}
	return floor, found
}
