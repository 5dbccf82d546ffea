package sessions

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/balance"
)

// This file implements the sending side of forwarding: if other proxies serve the
// instance, a session's statements run at one of them. The session's state is kept here
// and sent along with each statement, so that the loss of the other proxy affects only
// the statements and transactions that run there.

const (
	// peerConnTimeout bounds the opening of a connection to another proxy.
	peerConnTimeout = 200 * time.Millisecond
	// replySlack is added to a statement's remaining time for the return of its reply.
	replySlack = 60 * time.Millisecond
	// maxForwardTries bounds the proxies that are tried for one statement.
	maxForwardTries = 3
)

// errNoServer reports that no proxy began the transaction.
var errNoServer = errors.New("no proxy that serves the instance can be reached")

// servers returns the proxies that serve an instance in the order in which to try them.
// It returns none if this process serves the instance, the session was itself forwarded,
// or there is no relay.
func (session *session) servers(id ebonywood.InstanceID) []ebonywood.PeerView {
	edge := session.edge
	snapshot := edge.port.Snapshot()
	if session.forwarded || edge.port.Relay() == nil || snapshot.IsServed(id) {
		return nil
	}
	peers := snapshot.Owners().ForInstance(id)
	if workspace := session.workspace; workspace != nil {
		home, others := edge.homeOrder(snapshot.ObjectSet(), id, peers, workspace)
		return edge.rank(home, others, balance.OtherProxyCostMs)
	}
	return edge.rank(rotated(peers, rand.IntN(len(peers))), nil, 0)
}

// serversOfTransaction returns the servers for the open transaction's instance as long
// as the transaction has no connection, neither to a member nor to a proxy.
func (session *session) serversOfTransaction() []ebonywood.PeerView {
	tx := session.tx
	if tx.lease != nil || tx.peerConn != nil {
		return nil
	}
	return session.servers(tx.route.Instances()[0])
}

// forward runs a single statement at another proxy. The next proxy is tried if one can't
// be reached or refuses the statement, or if the reply to a read is lost.
func (session *session) forward(
	servers []ebonywood.PeerView, statement ebonywood.Statement, attempt *attempt,
) ebonywood.Reply {
	if reply, refused := session.refuseAtEntry(attempt); refused {
		return reply
	}
	reply := failure(ebonywood.CodeBusy, "no proxy that serves the instance can be reached")
	kind := "forward read"
	if attempt.writes {
		kind = "forward write"
	}
	forwardShape := shape(attempt.route, kind)
	for _, server := range servers[:min(maxForwardTries, len(servers))] {
		if attempt.remaining() <= 0 {
			return reply
		}
		attempt.tries++
		conn, refusal := session.openPeerConn(server, attempt)
		if conn == nil {
			reply = refusal
			continue
		}
		peer := session.edge.peer(server)
		startedAt := time.Now()
		result, err := peer.exchange(conn, session.newForwardRequest(statement, attempt), attempt.remaining()+replySlack, !attempt.writes)
		conn.Release(err != nil)
		elapsed := time.Since(startedAt)
		if result.Refusal() == "" {
			peer.recordTime(elapsed, session.edge.expectedCost(forwardShape), err == nil)
		}
		switch {
		case err != nil:
			if attempt.writes {
				return lostWriteReply(err, attempt)
			}
			reply = lostReadReply(err, attempt)
		case result.Refusal() != "":
			peer.recordRefusal(result.Refusal())
			reply = failure(ebonywood.CodeBusy, result.Refusal())
		default:
			session.edge.recordCost(forwardShape, elapsed)
			session.recordAtEntry(attempt, result)
			return session.applyForwardResult(result)
		}
		if !attempt.mayRetry("proxy") {
			return reply
		}
	}
	return reply
}

// openPeerConn returns an idle connection to a proxy or a new one. On failure the
// connection is nil, the reply states the error, and the proxy is pinged.
func (session *session) openPeerConn(server ebonywood.PeerView, attempt *attempt) (ebonywood.PeerConn, ebonywood.Reply) {
	attempt.peer = server.Name()
	conn, err := session.edge.port.Relay().Open(server, min(peerConnTimeout, attempt.remaining()))
	if err != nil {
		session.edge.peer(server).suspect()
		return nil, failure(ebonywood.CodeBusy, "the proxy that serves the instance can't be reached: "+err.Error())
	}
	return conn, ebonywood.Reply{}
}

// newForwardRequest combines a statement with the session state that it needs.
func (session *session) newForwardRequest(statement ebonywood.Statement, attempt *attempt) ebonywood.ForwardRequest {
	edge := session.edge
	generation := uint64(0)
	if set := edge.port.Snapshot().ObjectSet(); set != nil {
		generation = set.Generation()
	}
	definition := ""
	if attempt.prepared != nil {
		definition = attempt.prepared.definition
	}
	state := ebonywood.NewSessionState(session.database, generation, session.settings, session.floor, edge.now()-session.lastCommitAt).
		WithWorkspace(attempt.workspaceName())
	return ebonywood.NewForwardRequest(state, statement, definition)
}

// applyForwardResult applies the session state of the result and returns its reply.
func (session *session) applyForwardResult(result ebonywood.ForwardResult) ebonywood.Reply {
	session.floor = result.Floor()
	session.lastCommitAt = session.edge.now() - result.CommitAge()
	return result.Reply()
}

// forwardStep runs a statement of the open transaction at another proxy. Losing that
// proxy fails the transaction.
func (session *session) forwardStep(
	servers []ebonywood.PeerView, statement ebonywood.Statement, attempt *attempt,
) ebonywood.Reply {
	if session.tx.peerConn == nil {
		if reply, refused := session.refuseAtEntry(attempt); refused {
			session.markFailed()
			return reply.WithState(ebonywood.TxFailed)
		}
	}
	result, err := session.exchangeInTransaction(servers, statement, attempt)
	if err != nil {
		session.markFailed()
		return ebonywood.NewFailure(ebonywood.CodeAborted, "the proxy that ran the transaction was lost: "+err.Error(),
			ebonywood.TxFailed, ebonywood.Position{})
	}
	reply := session.applyForwardResult(result)
	if reply.State() == ebonywood.TxOpen {
		return reply
	}
	session.markFailed()
	return reply.WithState(ebonywood.TxFailed)
}

// forwardCommit commits the transaction at another proxy and ends it. The outcome is
// unknown only if the reply to the commit of a transaction that wrote is lost.
func (session *session) forwardCommit(
	servers []ebonywood.PeerView, statement ebonywood.Statement, attempt *attempt,
) ebonywood.Reply {
	tx := session.tx
	begun := tx.peerConn != nil
	result, err := session.exchangeInTransaction(servers, statement, attempt)
	var reply ebonywood.Reply
	switch {
	case err == nil:
		reply = session.applyForwardResult(result)
	case begun && tx.wrote:
		reply = lostWriteReply(err, attempt)
	default:
		reply = failure(ebonywood.CodeAborted, "the proxy that ran the transaction was lost: "+err.Error())
	}
	session.releasePeerConn(reply.State() != ebonywood.TxIdle)
	session.clearTransaction()
	return reply.WithState(ebonywood.TxIdle)
}

// exchangeInTransaction sends a statement of the transaction over its connection to the
// proxy that runs it. The first statement goes to the servers in turn until one begins the
// transaction. After an error the connection is closed.
func (session *session) exchangeInTransaction(
	servers []ebonywood.PeerView, statement ebonywood.Statement, attempt *attempt,
) (ebonywood.ForwardResult, error) {
	tx := session.tx
	attempt.tries++
	request := session.newForwardRequest(statement, attempt)
	if tx.peerConn == nil {
		return session.forwardBegin(servers, request, attempt)
	}
	attempt.peer = tx.peer.view.Name()
	result, err := tx.peer.exchange(tx.peerConn, request, attempt.remaining()+replySlack, isRepeatable(statement))
	if err != nil {
		session.releasePeerConn(true)
	}
	return result, err
}

// isRepeatable reports whether waiting for a statement of a transaction may be cut short
// when its proxy is unreachable. That holds for all but the commit: before it, nothing
// has been committed and the transaction can be run again.
func isRepeatable(statement ebonywood.Statement) bool {
	return statement.Verb() != ebonywood.VerbCommit
}

// forwardBegin begins the transaction at the first server that accepts it, together with
// the transaction's first statement.
func (session *session) forwardBegin(
	servers []ebonywood.PeerView, request ebonywood.ForwardRequest, attempt *attempt,
) (result ebonywood.ForwardResult, err error) {
	tx := session.tx
	begin := ebonywood.VerbBegin
	if tx.readOnly {
		begin = ebonywood.VerbBeginRead
	}
	request = request.WithBegin(begin, session.edge.now()-tx.startedAt)
	err = errNoServer
	for _, server := range servers[:min(maxForwardTries, len(servers))] {
		conn, _ := session.openPeerConn(server, attempt)
		if conn == nil {
			continue
		}
		peer := session.edge.peer(server)
		result, err = peer.exchange(conn, request, attempt.remaining()+replySlack, isRepeatable(request.Statement()))
		if err != nil {
			conn.Release(true)
			return result, err
		}
		if result.Refusal() == "" {
			session.recordAtEntry(attempt, result)
			tx.peerConn, tx.peer = conn, peer
			return result, nil
		}
		err = errNoServer
		peer.recordRefusal(result.Refusal())
		conn.Release(false)
		if !attempt.mayRetry("proxy") {
			break
		}
	}
	session.returnToken(attempt)
	return result, err
}

// forwardRollback rolls the transaction back at the proxy that runs it and releases the
// connection.
func (session *session) forwardRollback() {
	route := session.tx.route
	request := session.newForwardRequest(rollbackStatement, session.newAttempt(route))
	result, err := session.tx.peerConn.Exchange(request, rollbackTimeout)
	session.releasePeerConn(err != nil || result.Reply().State() != ebonywood.TxIdle)
}

// releasePeerConn releases the transaction's connection to another proxy, if there is
// one. A broken connection is closed.
func (session *session) releasePeerConn(broken bool) {
	if session.tx.peerConn != nil {
		session.tx.peerConn.Release(broken)
		session.tx.peerConn = nil
	}
}
