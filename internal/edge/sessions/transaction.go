package sessions

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

const (
	// sweepPeriod is how often idle transactions are looked for.
	sweepPeriod = 250 * time.Millisecond
	// rollbackLimit bounds the rolling back of a transaction.
	rollbackLimit = 300 * time.Millisecond
)

// transaction is a session's open transaction. It takes a connection with its
// first statement, so that a caller who begins and pauses holds none.
type transaction struct {
	route    *ebonywood.Route
	readOnly bool
	began    ebonywood.Millis
	lastUse  ebonywood.Millis
	lease    *lease
	// channel leads to the proxy that runs the transaction, if this one doesn't.
	channel ebonywood.PeerConn
	peer    *peer
	wrote   bool
	// changed says that settings were sent inside the transaction.
	changed bool
	failed  bool
	// expired says that it failed between two statements, so that the next one has
	// to be told.
	expired bool
}

// begin opens a transaction without a connection.
func (session *session) begin(statement ebonywood.Statement) ebonywood.Reply {
	route, _, refusal := session.route()
	if route == nil {
		return refusal
	}
	now := session.edge.now()
	session.tx = &transaction{
		route: route, began: now, lastUse: now,
		readOnly: statement.Verb() == ebonywood.VerbBeginRead,
	}
	session.edge.mutex.Lock()
	session.edge.inTransaction[session] = struct{}{}
	session.edge.mutex.Unlock()
	return ebonywood.NewReply(nil, "", ebonywood.TxOpen, ebonywood.Position{})
}

// end forgets the transaction.
func (session *session) end() {
	session.tx = nil
	session.edge.mutex.Lock()
	delete(session.edge.inTransaction, session)
	session.edge.mutex.Unlock()
}

// inTransaction runs a statement of the open transaction.
func (session *session) inTransaction(statement ebonywood.Statement) ebonywood.Reply {
	tx := session.tx
	tx.lastUse = session.edge.now()
	switch statement.Verb() {
	case ebonywood.VerbRollback:
		session.undo()
		session.end()
		return ebonywood.NewReply(nil, "", ebonywood.TxIdle, ebonywood.Position{})
	case ebonywood.VerbCommit:
		if tx.failed {
			session.undo()
			session.end()
			return failure(ebonywood.CodeAborted, "the transaction had failed and was rolled back")
		}
		return session.commit(statement)
	}
	if tx.expired {
		tx.expired = false
		return ebonywood.NewFailure(ebonywood.CodeAborted, "the transaction was idle for too long and was rolled back",
			ebonywood.TxFailed, ebonywood.Position{})
	}
	if tx.failed {
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "the transaction has failed; roll it back",
			ebonywood.TxFailed, ebonywood.Position{})
	}
	if reply, own := session.keep(statement); own {
		return reply
	}
	switch statement.Verb() {
	case ebonywood.VerbRead, ebonywood.VerbWrite, ebonywood.VerbExecute:
		return session.step(statement)
	default:
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "not possible inside a transaction",
			session.state(), ebonywood.Position{})
	}
}

// step runs a read or write of the transaction.
func (session *session) step(statement ebonywood.Statement) ebonywood.Reply {
	tx := session.tx
	each := session.newAttempt(tx.route)
	sent, found := session.resolve(statement, each)
	if !found {
		session.undo()
		session.fail()
		return ebonywood.NewFailure(ebonywood.CodeNoStatement, "no prepared statement has this name",
			ebonywood.TxFailed, ebonywood.Position{})
	}
	if servers := session.serversOfTransaction(); tx.channel != nil || len(servers) > 0 {
		tx.wrote = tx.wrote || each.writes
		reply := session.forwardStep(servers, statement, each)
		session.edge.account(statement, each, reply)
		return reply
	}
	if tx.lease == nil {
		if reply := session.take(each); reply.Code() != ebonywood.CodeDone {
			session.fail()
			session.edge.account(statement, each, reply)
			return reply.WithState(ebonywood.TxFailed)
		}
	}
	tx.wrote = tx.wrote || each.writes
	reply := session.offer(sent, each)
	session.edge.account(statement, each, reply)
	return reply
}

// take opens the transaction on a connection. A route that allows no age, or a
// transaction that may write, needs the primary.
func (session *session) take(each *attempt) ebonywood.Reply {
	tx := session.tx
	if !tx.readOnly || tx.route.Policy().MaxAge() == 0 {
		return session.onPrimary(each, "transaction", func(lease *lease) (ebonywood.Reply, verdict) {
			reply, outcome := session.open(lease, each, beginning)
			return reply, session.hold(lease, reply, outcome)
		})
	}
	view, found := session.edge.port.Snapshot().View(tx.route.Instances()[0])
	if !found {
		return failure(ebonywood.CodeBusy, "no member of the instance is known")
	}
	each.asked = tx.began
	reply := session.onReader(view, each, func(lease *lease) (ebonywood.Reply, verdict) {
		reply, outcome := session.open(lease, each, reading.WithFloor(each.floor))
		return reply, session.hold(lease, reply, outcome)
	})
	if reply.Code() == ebonywood.CodeLagging {
		tx.readOnly = false
		return session.take(each)
	}
	return reply
}

// hold keeps the lease for the transaction if it was opened.
func (session *session) hold(lease *lease, reply ebonywood.Reply, outcome verdict) verdict {
	if outcome == final && reply.Code() == ebonywood.CodeDone {
		session.tx.lease = lease
	}
	return outcome
}

// offer sends a statement on the transaction's connection; a member without a
// free slot is asked again while the transaction stands.
func (session *session) offer(statement ebonywood.Statement, each *attempt) ebonywood.Reply {
	tx := session.tx
	for {
		each.tries++
		each.member = tx.lease.pool.member.ID()
		replies, err := tx.lease.execute(session, each, statement)
		if errors.Is(err, errNoSlot) {
			return noSlot(ebonywood.TxOpen)
		}
		if err != nil {
			session.drop(true)
			session.fail()
			return ebonywood.NewFailure(ebonywood.CodeAborted, "the connection failed inside the transaction: "+err.Error(),
				ebonywood.TxFailed, ebonywood.Position{})
		}
		reply := replies[0]
		if reply.Code() == ebonywood.CodeBusy && reply.State() == ebonywood.TxOpen && each.left() > 2*busyPause && each.tries < triesLimit {
			session.pause(each)
			continue
		}
		return session.afterStep(reply)
	}
}

// afterStep takes in the state that the connection is in.
func (session *session) afterStep(reply ebonywood.Reply) ebonywood.Reply {
	if reply.Code() == ebonywood.CodeReadOnly {
		session.edge.deny(session.tx.lease.pool)
	}
	if reply.State() == ebonywood.TxOpen {
		return reply
	}
	session.undo()
	session.fail()
	return reply.WithState(ebonywood.TxFailed)
}

// commit ends the transaction. Only a commit of writes whose answer is lost has
// an unknown outcome.
func (session *session) commit(statement ebonywood.Statement) ebonywood.Reply {
	tx := session.tx
	each := session.newAttempt(tx.route)
	if servers := session.serversOfTransaction(); tx.channel != nil || len(servers) > 0 {
		reply := session.forwardCommit(servers, statement, each)
		session.edge.account(statement, each, reply)
		return reply
	}
	if tx.lease == nil {
		if reply := session.take(each); reply.Code() != ebonywood.CodeDone {
			session.end()
			session.edge.account(statement, each, reply)
			return reply.WithState(ebonywood.TxIdle)
		}
	}
	pool := tx.lease.pool
	each.member = pool.member.ID()
	reply := session.sendCommit(statement, each)
	session.end()
	session.edge.account(statement, each, reply)
	return reply.WithState(ebonywood.TxIdle)
}

func (session *session) sendCommit(statement ebonywood.Statement, each *attempt) ebonywood.Reply {
	tx := session.tx
	for {
		each.tries++
		asked := session.edge.now()
		replies, err := tx.lease.execute(session, each, statement)
		if errors.Is(err, errNoSlot) {
			session.undo()
			return noSlot(ebonywood.TxIdle)
		}
		if err != nil {
			session.drop(true)
			if !tx.wrote {
				return failure(ebonywood.CodeAborted, "the connection failed during the commit of reads: "+err.Error())
			}
			return unknownOr(err, each)
		}
		reply := replies[0]
		if reply.Code() == ebonywood.CodeBusy && reply.State() == ebonywood.TxOpen && each.left() > 2*busyPause && each.tries < triesLimit {
			session.pause(each)
			continue
		}
		if reply.Code() == ebonywood.CodeReadOnly {
			session.edge.deny(tx.lease.pool)
		}
		if reply.Code() == ebonywood.CodeDone && tx.wrote {
			session.committed(tx.lease.pool, asked, reply.Position())
		}
		if reply.State() != ebonywood.TxIdle {
			session.undo()
		} else {
			session.drop(false)
		}
		return reply
	}
}

// fail marks the transaction as failed.
func (session *session) fail() { session.tx.failed = true }

// drop gives the transaction's connection back.
func (session *session) drop(broken bool) {
	tx := session.tx
	taken := tx.lease
	tx.lease = nil
	taken.pool.release(taken, broken)
}

// undo rolls the transaction's connection back and gives it back.
func (session *session) undo() {
	tx := session.tx
	if tx.channel != nil {
		session.forwardRollback()
		return
	}
	if tx.lease == nil {
		return
	}
	replies, err := tx.lease.run(nil, rollbackLimit, rollback)
	broken := err != nil || replies[0].State() != ebonywood.TxIdle
	tx.lease.unclear = tx.lease.unclear || tx.changed
	session.drop(broken)
}

// Abandon rolls back what is open.
func (session *session) Abandon() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.tx != nil {
		session.undo()
		session.end()
	}
}

// endIdle ends transactions that their callers have left idle.
func (edge *Edge) endIdle() {
	set := edge.port.Snapshot().ObjectSet()
	if set == nil || set.IdleTransactionTimeout() == 0 {
		return
	}
	edge.mutex.Lock()
	open := make([]*session, 0, len(edge.inTransaction))
	for each := range edge.inTransaction {
		open = append(open, each)
	}
	edge.mutex.Unlock()
	for _, each := range open {
		each.endIfIdle(set.IdleTransactionTimeout())
	}
}

// endIfIdle rolls back a transaction that has been idle for the limit; a
// statement under way holds the mutex.
func (session *session) endIfIdle(limit ebonywood.Millis) {
	if !session.mutex.TryLock() {
		return
	}
	defer session.mutex.Unlock()
	tx := session.tx
	if tx == nil || tx.lease == nil || session.edge.now()-tx.lastUse < limit {
		return
	}
	session.edge.counters.line("transactionIdle", "member", tx.lease.pool.member.ID(), "limitMs", int64(limit))
	session.undo()
	session.fail()
	tx.expired = true
}
