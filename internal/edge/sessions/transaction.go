package sessions

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

const (
	// idleSweepInterval is the time between two checks for idle transactions.
	idleSweepInterval = 250 * time.Millisecond
	// rollbackTimeout bounds the rollback of a transaction.
	rollbackTimeout = 300 * time.Millisecond
)

// transaction is a session's open transaction. It leases a connection for its first
// read, write or commit, so that a caller who begins and pauses holds none.
type transaction struct {
	route      *ebonywood.Route
	readOnly   bool
	startedAt  ebonywood.Millis
	lastUsedAt ebonywood.Millis
	lease      *lease
	// peerConn is the connection to the proxy that runs the transaction; nil if this
	// process does.
	peerConn ebonywood.PeerConn
	peer     *peer
	wrote    bool
	// admitted reports that the transaction has taken its token, or needs none.
	admitted bool
	// workUntil is the time from which the transaction's member must get no new work, until
	// the first statement is sent to it; 0 afterwards, and without a limit.
	workUntil ebonywood.Millis
	// settingsChanged reports that settings were sent inside the transaction, so that the
	// connection's settings are unknown after a rollback.
	settingsChanged bool
	failed          bool
	// expired reports that the transaction was rolled back between two statements and that
	// no reply has reported this yet. The reply to the next statement is CodeAborted, with
	// expiredMessage.
	expired        bool
	expiredMessage string
}

// begin opens a transaction without leasing a connection.
func (session *session) begin(statement ebonywood.Statement) ebonywood.Reply {
	route, _, refusal := session.route()
	if route == nil {
		return refusal
	}
	now := session.edge.now()
	session.tx = &transaction{
		route: route, startedAt: now, lastUsedAt: now,
		readOnly: statement.Verb() == ebonywood.VerbBeginRead,
	}
	session.edge.mutex.Lock()
	session.edge.inTransaction[session] = struct{}{}
	session.edge.mutex.Unlock()
	return ebonywood.NewReply(nil, "", ebonywood.TxOpen, ebonywood.Position{})
}

// clearTransaction removes the transaction from the session and the edge.
func (session *session) clearTransaction() {
	session.tx = nil
	session.edge.mutex.Lock()
	delete(session.edge.inTransaction, session)
	session.edge.mutex.Unlock()
}

// runInTransaction runs a statement of the open transaction.
func (session *session) runInTransaction(statement ebonywood.Statement) ebonywood.Reply {
	tx := session.tx
	tx.lastUsedAt = session.edge.now()
	if !tx.failed && !session.IsAllowed() {
		session.rollBackWithdrawn()
		tx.expired, tx.expiredMessage = true, keyWithdrawnMessage
	}
	switch statement.Verb() {
	case ebonywood.VerbRollback:
		session.rollBack()
		session.clearTransaction()
		return ebonywood.NewReply(nil, "", ebonywood.TxIdle, ebonywood.Position{})
	case ebonywood.VerbCommit:
		if tx.failed {
			session.rollBack()
			session.clearTransaction()
			return failure(ebonywood.CodeAborted, "the transaction had failed and was rolled back")
		}
		return session.commit(statement)
	}
	if tx.expired {
		tx.expired = false
		return ebonywood.NewFailure(ebonywood.CodeAborted, tx.expiredMessage, ebonywood.TxFailed, ebonywood.Position{})
	}
	if tx.failed {
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "the transaction has failed; roll it back",
			ebonywood.TxFailed, ebonywood.Position{})
	}
	if reply, handled := session.handleLocally(statement); handled {
		return reply
	}
	switch statement.Verb() {
	case ebonywood.VerbRead, ebonywood.VerbWrite, ebonywood.VerbExecute:
		return session.runStep(statement)
	default:
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "the statement is not allowed inside a transaction",
			session.state(), ebonywood.Position{})
	}
}

// runStep runs a read, a write or a prepared statement of the transaction, here or at
// a proxy that serves the instance.
func (session *session) runStep(statement ebonywood.Statement) ebonywood.Reply {
	tx := session.tx
	attempt := session.newAttempt(tx.route)
	resolved, found := session.resolve(statement, attempt)
	if !found {
		session.rollBack()
		session.markFailed()
		return ebonywood.NewFailure(ebonywood.CodeNoStatement, "no prepared statement has this name",
			ebonywood.TxFailed, ebonywood.Position{})
	}
	if refusal, admitted := session.admitTransaction(attempt); !admitted {
		session.markFailed()
		session.edge.account(statement, attempt, refusal)
		return refusal
	}
	if servers := session.serversOfTransaction(); tx.peerConn != nil || len(servers) > 0 {
		tx.wrote = tx.wrote || attempt.writes
		reply := session.forwardStep(servers, statement, attempt)
		session.settleToken(attempt, reply)
		session.edge.account(statement, attempt, reply)
		return reply
	}
	if tx.lease == nil {
		if reply := session.openOnMember(attempt); reply.Code() != ebonywood.CodeDone {
			session.markFailed()
			session.settleToken(attempt, reply)
			session.edge.account(statement, attempt, reply)
			return reply.WithState(ebonywood.TxFailed)
		}
	}
	tx.wrote = tx.wrote || attempt.writes
	attempt.workUntil = tx.workUntil
	reply := session.sendStep(resolved, attempt)
	session.spendToken(attempt)
	session.edge.account(statement, attempt, reply)
	return reply
}

// openOnMember begins the transaction on a connection and keeps its lease. A
// transaction that may write, or whose route allows no staleness, needs the primary.
// Others run on any member that is fresh enough, and on the primary if there is none.
func (session *session) openOnMember(attempt *attempt) ebonywood.Reply {
	tx := session.tx
	if !tx.readOnly || tx.route.Policy().MaxAge() == 0 {
		attempt.mayCommit = !tx.readOnly
		return session.runOnPrimary(attempt, "transaction", func(lease *lease) (ebonywood.Reply, attemptOutcome) {
			reply, outcome := session.beginOn(lease, attempt, beginStatement)
			return reply, session.keepLease(attempt, lease, reply, outcome)
		})
	}
	view, found := session.edge.port.Snapshot().View(tx.route.Instances()[0])
	if !found {
		return failure(ebonywood.CodeBusy, "no member of the instance is listed")
	}
	attempt.asOf = tx.startedAt
	reply := session.runOnReader(view, attempt, func(lease *lease) (ebonywood.Reply, attemptOutcome) {
		reply, outcome := session.beginOn(lease, attempt, beginReadStatement.WithFloor(attempt.floor))
		return reply, session.keepLease(attempt, lease, reply, outcome)
	})
	if reply.Code() == ebonywood.CodeLagging {
		tx.readOnly = false
		return session.openOnMember(attempt)
	}
	return reply
}

// keepLease assigns the lease to the transaction if the transaction was begun on it, and
// returns the outcome unchanged.
func (session *session) keepLease(attempt *attempt, lease *lease, reply ebonywood.Reply, outcome attemptOutcome) attemptOutcome {
	if outcome == outcomeFinal && reply.Code() == ebonywood.CodeDone {
		session.tx.lease, session.tx.workUntil = lease, attempt.workUntil
	}
	return outcome
}

// sendStep sends a statement on the transaction's connection. While the member has no
// free slot and the transaction stays open, the statement is sent again after a backoff.
func (session *session) sendStep(statement ebonywood.Statement, attempt *attempt) ebonywood.Reply {
	tx := session.tx
	for {
		attempt.tries++
		attempt.member = tx.lease.pool.member.ID()
		replies, err := tx.lease.execute(session, attempt, statement)
		if errors.Is(err, errNoSlot) && attempt.isTooLateToSend() {
			session.rollBack()
			session.markFailed()
			return noSlotReply(ebonywood.TxFailed)
		}
		if errors.Is(err, errNoSlot) {
			return noSlotReply(ebonywood.TxOpen)
		}
		if err != nil {
			session.releaseLease(true)
			session.markFailed()
			return ebonywood.NewFailure(ebonywood.CodeAborted, "the connection failed inside the transaction: "+err.Error(),
				ebonywood.TxFailed, ebonywood.Position{})
		}
		reply := replies[0]
		if reply.Code() == ebonywood.CodeBusy && reply.State() == ebonywood.TxOpen && attempt.remaining() > 2*busyBackoff &&
			attempt.tries < maxTries && attempt.mayRetry("member") {
			session.backOff(attempt)
			continue
		}
		return session.finishStep(reply)
	}
}

// finishStep applies the transaction state that the reply reports: unless the
// transaction is still open, it is rolled back and marked as failed.
func (session *session) finishStep(reply ebonywood.Reply) ebonywood.Reply {
	if reply.Code() == ebonywood.CodeReadOnly {
		session.edge.reportNotPrimary(session.tx.lease.pool)
	}
	if reply.State() == ebonywood.TxOpen {
		return reply
	}
	session.rollBack()
	session.markFailed()
	return reply.WithState(ebonywood.TxFailed)
}

// commit commits the transaction and ends it. The outcome is unknown only if the reply
// to the commit of a transaction that wrote is lost.
func (session *session) commit(statement ebonywood.Statement) ebonywood.Reply {
	tx := session.tx
	attempt := session.newAttempt(tx.route)
	if refusal, admitted := session.admitTransaction(attempt); !admitted {
		session.clearTransaction()
		session.edge.account(statement, attempt, refusal)
		return refusal.WithState(ebonywood.TxIdle)
	}
	if servers := session.serversOfTransaction(); tx.peerConn != nil || len(servers) > 0 {
		reply := session.forwardCommit(servers, statement, attempt)
		session.settleToken(attempt, reply)
		session.edge.account(statement, attempt, reply)
		return reply
	}
	if tx.lease == nil {
		if reply := session.openOnMember(attempt); reply.Code() != ebonywood.CodeDone {
			session.clearTransaction()
			session.settleToken(attempt, reply)
			session.edge.account(statement, attempt, reply)
			return reply.WithState(ebonywood.TxIdle)
		}
	}
	pool := tx.lease.pool
	attempt.member = pool.member.ID()
	attempt.workUntil = tx.workUntil
	reply := session.sendCommit(statement, attempt)
	session.spendToken(attempt)
	session.clearTransaction()
	session.edge.account(statement, attempt, reply)
	return reply.WithState(ebonywood.TxIdle)
}

// sendCommit sends the commit on the transaction's connection, again after a backoff
// while the member has no free slot, and releases the connection. These retries need no
// budget: without the commit all work of the transaction would be done again. While writes are stopped,
// a transaction that wrote is rolled back at once: the member that becomes the primary
// does not have it.
func (session *session) sendCommit(statement ebonywood.Statement, attempt *attempt) ebonywood.Reply {
	tx := session.tx
	if tx.wrote {
		instance := tx.route.Instances()[0]
		if !session.edge.writeGate(instance).enter() {
			session.rollBack()
			return heldReply(ebonywood.TxIdle)
		}
		defer session.edge.leaveWrites(instance)
	}
	for {
		attempt.tries++
		sentAt := session.edge.now()
		replies, err := tx.lease.execute(session, attempt, statement)
		if errors.Is(err, errNoSlot) {
			session.rollBack()
			return noSlotReply(ebonywood.TxIdle)
		}
		if err != nil {
			session.releaseLease(true)
			if !tx.wrote {
				return failure(ebonywood.CodeAborted, "the connection failed during the commit of a transaction without writes: "+err.Error())
			}
			return lostWriteReply(err, attempt)
		}
		reply := replies[0]
		if reply.Code() == ebonywood.CodeBusy && reply.State() == ebonywood.TxOpen && attempt.remaining() > 2*busyBackoff && attempt.tries < maxTries {
			session.backOff(attempt)
			continue
		}
		if reply.Code() == ebonywood.CodeReadOnly {
			session.edge.reportNotPrimary(tx.lease.pool)
		}
		if reply.Code() == ebonywood.CodeDone && tx.wrote {
			session.recordCommit(tx.lease.pool, sentAt, reply.Position())
		}
		if reply.State() != ebonywood.TxIdle {
			session.rollBack()
		} else {
			session.releaseLease(false)
		}
		return reply
	}
}

func (session *session) markFailed() { session.tx.failed = true }

// releaseLease releases the transaction's connection.
func (session *session) releaseLease(broken bool) {
	tx := session.tx
	lease := tx.lease
	tx.lease = nil
	lease.pool.release(lease, broken)
}

// rollBack rolls the transaction back where it runs and releases its connection to the
// member or the proxy.
func (session *session) rollBack() {
	tx := session.tx
	if tx.peerConn != nil {
		session.forwardRollback()
		return
	}
	if tx.lease == nil {
		return
	}
	replies, err := tx.lease.run(nil, rollbackTimeout, rollbackStatement)
	broken := err != nil || replies[0].State() != ebonywood.TxIdle
	tx.lease.stateUnknown = tx.lease.stateUnknown || tx.settingsChanged
	session.releaseLease(broken)
}

// Close rolls back the open transaction, if any.
func (session *session) Close() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.tx != nil {
		session.rollBack()
		session.clearTransaction()
	}
	session.releaseMemory()
}

// expireIdle rolls back transactions that have been idle for longer than the
// configuration allows, and those of withdrawn keys.
func (edge *Edge) expireIdle() {
	set := edge.port.Snapshot().ObjectSet()
	if set == nil || set.IdleTransactionTimeout() == 0 && !set.RequiresWorkspace() {
		return
	}
	edge.mutex.Lock()
	open := make([]*session, 0, len(edge.inTransaction))
	for session := range edge.inTransaction {
		open = append(open, session)
	}
	edge.mutex.Unlock()
	for _, session := range open {
		session.endIfWithdrawn()
		if set.IdleTransactionTimeout() > 0 {
			session.expireIfIdle(set.IdleTransactionTimeout())
		}
	}
}

// expireIfIdle rolls back the transaction if it has been idle for the timeout and holds a
// connection to a member. A session whose mutex is held is running a statement and is
// skipped.
func (session *session) expireIfIdle(timeout ebonywood.Millis) {
	if !session.mutex.TryLock() {
		return
	}
	defer session.mutex.Unlock()
	tx := session.tx
	if tx == nil || tx.lease == nil || session.edge.now()-tx.lastUsedAt < timeout {
		return
	}
	session.edge.counters.logLine("transactionIdle", "member", tx.lease.pool.member.ID(), "limitMs", int64(timeout))
	session.rollBack()
	session.markFailed()
	tx.expired, tx.expiredMessage = true, "the transaction was idle for too long and was rolled back"
}
