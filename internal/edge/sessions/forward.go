package sessions

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

// This file implements the entry side of forwarding: if another proxy serves the
// instance, a session's statements run there. The session's state is kept here and sent
// along with each statement, so that the loss of the other proxy affects only the work in
// flight there.

const (
	// channelOpenTimeout bounds the opening of a channel to another proxy.
	channelOpenTimeout = 200 * time.Millisecond
	// replySlack is added to a statement's remaining time for its reply to travel back.
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
	return edge.rank(snapshot.Owners().Of(id))
}

// serversOfTransaction returns the servers for the open transaction's instance as long
// as the transaction has neither a connection nor a channel.
func (session *session) serversOfTransaction() []ebonywood.PeerView {
	tx := session.tx
	if tx.lease != nil || tx.channel != nil {
		return nil
	}
	return session.servers(tx.route.Instances()[0])
}

// rank orders proxies: those of this availability zone first, avoided ones last. Within
// each group the order starts at a random proxy, which spreads the load of all entry
// proxies.
func (edge *Edge) rank(peers []ebonywood.PeerView) []ebonywood.PeerView {
	var near, far, avoided []ebonywood.PeerView
	zone := edge.port.Settings().Zone()
	offset := rand.IntN(len(peers))
	for i := range peers {
		server := peers[(i+offset)%len(peers)]
		switch {
		case edge.peer(server).isAvoided():
			avoided = append(avoided, server)
		case server.Zone() == zone:
			near = append(near, server)
		default:
			far = append(far, server)
		}
	}
	return append(append(near, far...), avoided...)
}

// forward runs a single statement at another proxy. The next proxy is tried if one can't
// be reached or refuses the statement, or if the reply to a read is lost.
func (session *session) forward(
	servers []ebonywood.PeerView, statement ebonywood.Statement, attempt *attempt,
) ebonywood.Reply {
	reply := failure(ebonywood.CodeBusy, "no proxy that serves the instance can be reached")
	for _, server := range servers[:min(maxForwardTries, len(servers))] {
		if attempt.remaining() <= 0 {
			return reply
		}
		attempt.tries++
		channel, refusal := session.openChannel(server, attempt)
		if channel == nil {
			reply = refusal
			continue
		}
		peer := session.edge.peer(server)
		done, err := peer.exchange(channel, session.newWork(statement, attempt), attempt.remaining()+replySlack, !attempt.writes)
		channel.Release(err != nil)
		switch {
		case err != nil:
			if attempt.writes {
				return lostWriteReply(err, attempt)
			}
			reply = session.lostReadReply(err, attempt)
		case done.Refusal() != "":
			peer.recordRefusal(done.Refusal())
			reply = failure(ebonywood.CodeBusy, done.Refusal())
		default:
			return session.applyWorkDone(done)
		}
	}
	return reply
}

// openChannel opens a channel to a proxy. On failure the channel is nil, the reply
// carries the error, and the proxy is probed.
func (session *session) openChannel(server ebonywood.PeerView, attempt *attempt) (ebonywood.PeerConn, ebonywood.Reply) {
	attempt.peer = server.Name()
	channel, err := session.edge.port.Relay().Open(server, min(channelOpenTimeout, attempt.remaining()))
	if err != nil {
		session.edge.peer(server).suspect()
		return nil, failure(ebonywood.CodeBusy, "the proxy that serves the instance can't be reached: "+err.Error())
	}
	return channel, ebonywood.Reply{}
}

// newWork combines a statement with the session state that it needs.
func (session *session) newWork(statement ebonywood.Statement, attempt *attempt) ebonywood.ForwardRequest {
	edge := session.edge
	generation := uint64(0)
	if set := edge.port.Snapshot().ObjectSet(); set != nil {
		generation = set.Generation()
	}
	definition := ""
	if attempt.prepared != nil {
		definition = attempt.prepared.definition
	}
	state := ebonywood.NewSessionState(session.database, generation, session.settings, session.floor, edge.now()-session.wroteAt)
	return ebonywood.NewForwardRequest(state, statement, definition)
}

// applyWorkDone applies the session state that came back with the work and returns the
// reply.
func (session *session) applyWorkDone(done ebonywood.ForwardResult) ebonywood.Reply {
	session.floor = done.Floor()
	session.wroteAt = session.edge.now() - done.CommitAge()
	return done.Reply()
}

// forwardStep runs a statement of the open transaction at another proxy. Losing that
// proxy fails the transaction.
func (session *session) forwardStep(
	servers []ebonywood.PeerView, statement ebonywood.Statement, attempt *attempt,
) ebonywood.Reply {
	done, err := session.exchangeInTransaction(servers, statement, attempt)
	if err != nil {
		session.markFailed()
		return ebonywood.NewFailure(ebonywood.CodeAborted, "the proxy that ran the transaction was lost: "+err.Error(),
			ebonywood.TxFailed, ebonywood.Position{})
	}
	reply := session.applyWorkDone(done)
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
	begun := tx.channel != nil
	done, err := session.exchangeInTransaction(servers, statement, attempt)
	var reply ebonywood.Reply
	switch {
	case err == nil:
		reply = session.applyWorkDone(done)
	case begun && tx.wrote:
		reply = lostWriteReply(err, attempt)
	default:
		reply = failure(ebonywood.CodeAborted, "the proxy that ran the transaction was lost: "+err.Error())
	}
	session.closeChannel(reply.State() != ebonywood.TxIdle)
	session.clearTransaction()
	return reply.WithState(ebonywood.TxIdle)
}

// exchangeInTransaction sends a statement of the transaction over its channel. The first
// statement goes to the servers in turn until one begins the transaction. After an error
// the channel is closed.
func (session *session) exchangeInTransaction(
	servers []ebonywood.PeerView, statement ebonywood.Statement, attempt *attempt,
) (ebonywood.ForwardResult, error) {
	tx := session.tx
	attempt.tries++
	work := session.newWork(statement, attempt)
	if tx.channel == nil {
		return session.forwardBegin(servers, work, attempt)
	}
	attempt.peer = tx.peer.view.Name()
	done, err := tx.peer.exchange(tx.channel, work, attempt.remaining()+replySlack, isRepeatable(statement))
	if err != nil {
		session.closeChannel(true)
	}
	return done, err
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
	servers []ebonywood.PeerView, work ebonywood.ForwardRequest, attempt *attempt,
) (done ebonywood.ForwardResult, err error) {
	tx := session.tx
	begin := ebonywood.VerbBegin
	if tx.readOnly {
		begin = ebonywood.VerbBeginRead
	}
	work = work.WithBegin(begin, session.edge.now()-tx.began)
	err = errNoServer
	for _, server := range servers[:min(maxForwardTries, len(servers))] {
		channel, _ := session.openChannel(server, attempt)
		if channel == nil {
			continue
		}
		peer := session.edge.peer(server)
		done, err = peer.exchange(channel, work, attempt.remaining()+replySlack, isRepeatable(work.Statement()))
		if err != nil {
			channel.Release(true)
			return done, err
		}
		if done.Refusal() == "" {
			tx.channel, tx.peer = channel, peer
			return done, nil
		}
		err = errNoServer
		peer.recordRefusal(done.Refusal())
		channel.Release(false)
	}
	return done, err
}

// forwardRollback rolls the transaction back at the proxy that runs it and closes the
// channel.
func (session *session) forwardRollback() {
	route := session.tx.route
	work := session.newWork(rollbackStatement, session.newAttempt(route))
	done, err := session.tx.channel.Exchange(work, rollbackTimeout)
	session.closeChannel(err != nil || done.Reply().State() != ebonywood.TxIdle)
}

// closeChannel releases the transaction's channel, if there is one.
func (session *session) closeChannel(broken bool) {
	if session.tx.channel != nil {
		session.tx.channel.Release(broken)
		session.tx.channel = nil
	}
}
