package sessions

import (
	"time"

	"github.com/ebonywood/ebonywood"
)

// againShare is the share of a route's promised time that a statement may wait at each
// further member, if its first share is used up.
const againShare = 0.25

// verdict is what may be done after an attempt on one connection.
type verdict uint8

const (
	// final: the reply goes to the caller.
	final verdict = iota
	// busy: the member had no slot; the statement was not run.
	busy
	// denied: the member does not lead; the statement was not run.
	denied
	// behind: the member's log lacks the floor; the statement was not run.
	behind
	// refused: the statement would wait too long here; another member may do.
	refused
	// strayed: the connection did not know a prepared name; not run.
	strayed
	// lostBefore: the connection failed before the statement was sent.
	lostBefore
	// lost: the connection failed after the statement was sent.
	lost
	// lostRead: the connection failed during a read, which may be run again.
	lostRead
)

// waitsUntil is how long the statement may wait for a connection. Work that waited
// longer would be answered after the time that its route promises, and would make
// all behind it late as well; refused at once, its caller can still be served
// elsewhere. Paid work waits as long as it takes.
func (each *attempt) waitsUntil(now time.Time) time.Time {
	promised := each.route.Objective().Latency().Duration()
	if promised <= 0 || each.route.IsPaid() {
		return each.until
	}
	patience := each.began.Add(time.Duration(each.waitShare * float64(promised)))
	again := now.Add(time.Duration(againShare * float64(promised)))
	if patience.Before(again) {
		patience = again
	}
	if each.until.Before(patience) {
		return each.until
	}
	return patience
}

// judge reads a member's reply.
func judge(reply ebonywood.Reply) verdict {
	switch reply.Code() {
	case ebonywood.CodeBusy:
		return busy
	case ebonywood.CodeReadOnly:
		return denied
	case ebonywood.CodeLagging:
		return behind
	case ebonywood.CodeNoStatement:
		return strayed
	default:
		return final
	}
}

// onPrimary runs work on connections to the primary until a reply is final, the
// tries are used up or the deadline has passed. Work that returns lost or final is
// not repeated.
func (session *session) onPrimary(
	each *attempt, kind string, work func(*lease) (ebonywood.Reply, verdict),
) ebonywood.Reply {
	id := each.route.Instances()[0]
	reply := failure(ebonywood.CodeBusy, "no primary")
	for ; each.tries < triesLimit && each.left() > 0; each.tries++ {
		pool, fault := session.edge.primary(id, each.until)
		if fault != nil {
			return failure(ebonywood.CodeBusy, fault.Message())
		}
		each.member = pool.member.ID()
		taken, fault := pool.lease(each, shape(each.route, kind))
		if fault != nil {
			reply = failure(ebonywood.CodeBusy, fault.Message())
			if fault.Kind() == ebonywood.KindOverload && pool.crowdedNow() == 0 {
				return reply
			}
			session.pause(each)
			continue
		}
		next, outcome := work(taken)
		reply = next
		if done := session.settle(taken, each, outcome); done {
			return reply
		}
	}
	return reply
}

// settle ends the lease according to the outcome, and reports whether the reply
// is final.
func (session *session) settle(taken *lease, each *attempt, outcome verdict) (done bool) {
	pool := taken.pool
	switch outcome {
	case final:
		if session.tx == nil || session.tx.lease != taken {
			pool.release(taken, false)
		}
		return true
	case busy:
		pool.release(taken, false)
		session.pause(each)
	case denied:
		pool.release(taken, false)
		session.edge.deny(pool)
		session.edge.awaitOther(pool, each.until)
	case refused:
		pool.release(taken, false)
	case behind:
		pool.markLagging()
		pool.release(taken, false)
	case strayed:
		taken.unclear = true
		pool.release(taken, false)
	case lost:
		pool.release(taken, true)
		return true
	case lostBefore, lostRead:
		pool.release(taken, true)
	}
	return false
}

// pause waits a little before a member is asked again.
func (session *session) pause(each *attempt) {
	span := busyPause << min(each.tries, 3)
	time.Sleep(min(span, max(each.left(), 0)))
}

// crowdedNow is how long the member is known to accept no further connection.
func (pool *pool) crowdedNow() ebonywood.Millis {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return max(0, pool.crowded-pool.edge.now())
}

// awaitOther waits until the refusal of a member has been taken in, so that it is
// not asked again as the primary.
func (edge *Edge) awaitOther(pool *pool, until time.Time) {
	ctx, cancel := contextUntil(edge.group.Context(), until, changeLimit)
	defer cancel()
	_, _ = edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		view, found := snapshot.View(pool.instance)
		return !found || view.Primary() != pool.member.ID()
	})
}
