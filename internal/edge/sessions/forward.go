package sessions

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

// The entry's side of forwarding. Where another proxy serves the instance, a session's
// work goes there. The session itself stays here as data and travels with the work, so
// that the loss of the other proxy costs no more than what was under way there.

const (
	// channelLimit bounds the opening of a channel to another proxy.
	channelLimit = 200 * time.Millisecond
	// answerSlack is how much longer than the statement's own limit its answer may
	// take on the way back.
	answerSlack = 60 * time.Millisecond
	// forwardTries bounds the proxies that one statement is offered to.
	forwardTries = 3
)

// errNoServer says that no proxy began the transaction.
var errNoServer = errors.New("no proxy that serves the instance can be reached")

// servers are the proxies that serve an instance, in the order in which to try
// them; none if this process serves it.
func (session *session) servers(id ebonywood.InstanceID) []ebonywood.PeerView {
	edge := session.edge
	snapshot := edge.port.Snapshot()
	if session.forwarded || edge.port.Relay() == nil || snapshot.IsServed(id) {
		return nil
	}
	return edge.rank(snapshot.Owners().Of(id))
}

// serversOfTransaction are those of the open transaction while it has no
// connection yet.
func (session *session) serversOfTransaction() []ebonywood.PeerView {
	tx := session.tx
	if tx.lease != nil || tx.channel != nil {
		return nil
	}
	return session.servers(tx.route.Instances()[0])
}

// rank puts proxies of this zone first, and those that failed lately last. Equals
// come in random order, which spreads the work of all proxies over them.
func (edge *Edge) rank(peers []ebonywood.PeerView) []ebonywood.PeerView {
	var near, far, avoided []ebonywood.PeerView
	zone := edge.port.Settings().Zone()
	offset := rand.IntN(len(peers))
	for i := range peers {
		peer := peers[(i+offset)%len(peers)]
		switch {
		case edge.peer(peer).isAvoided():
			avoided = append(avoided, peer)
		case peer.Zone() == zone:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	return append(append(near, far...), avoided...)
}

// forward runs a single statement at another proxy. A read whose answer is lost is
// sent to the next one.
func (session *session) forward(
	servers []ebonywood.PeerView, statement ebonywood.Statement, each *attempt,
) ebonywood.Reply {
	reply := failure(ebonywood.CodeBusy, "no proxy that serves the instance can be reached")
	for _, peer := range servers[:min(forwardTries, len(servers))] {
		if each.left() <= 0 {
			return reply
		}
		each.tries++
		channel, refusal := session.reach(peer, each)
		if channel == nil {
			reply = refusal
			continue
		}
		known := session.edge.peer(peer)
		done, err := known.exchange(channel, session.work(statement, each), each.left()+answerSlack, !each.writes)
		channel.Release(err != nil)
		switch {
		case err != nil:
			if each.writes {
				return unknownOr(err, each)
			}
			reply = session.brokenRead(err, each)
		case done.Refusal() != "":
			known.refused(done.Refusal())
			reply = failure(ebonywood.CodeBusy, done.Refusal())
		default:
			return session.takeIn(done)
		}
	}
	return reply
}

// reach opens a channel to a proxy; the reply says why there is none.
func (session *session) reach(peer ebonywood.PeerView, each *attempt) (ebonywood.PeerConn, ebonywood.Reply) {
	each.peer = peer.Name()
	channel, err := session.edge.port.Relay().Open(peer, min(channelLimit, each.left()))
	if err != nil {
		session.edge.peer(peer).suspect()
		return nil, failure(ebonywood.CodeBusy, "the proxy that serves the instance can't be reached: "+err.Error())
	}
	return channel, ebonywood.Reply{}
}

// work is a statement with all that it needs of the session.
func (session *session) work(statement ebonywood.Statement, each *attempt) ebonywood.ForwardRequest {
	edge := session.edge
	generation := uint64(0)
	if set := edge.port.Snapshot().ObjectSet(); set != nil {
		generation = set.Generation()
	}
	definition := ""
	if each.shared != nil {
		definition = each.shared.definition
	}
	state := ebonywood.NewSessionState(session.database, generation, session.settings, session.floor, edge.now()-session.wroteAt)
	return ebonywood.NewForwardRequest(state, statement, definition)
}

// takeIn takes what the work has made of the session.
func (session *session) takeIn(done ebonywood.ForwardResult) ebonywood.Reply {
	session.floor = done.Floor()
	session.wroteAt = session.edge.now() - done.CommitAge()
	return done.Reply()
}

// forwardStep runs a statement of the open transaction at another proxy.
func (session *session) forwardStep(
	servers []ebonywood.PeerView, statement ebonywood.Statement, each *attempt,
) ebonywood.Reply {
	done, err := session.exchange(servers, statement, each)
	if err != nil {
		session.fail()
		return ebonywood.NewFailure(ebonywood.CodeAborted, "the proxy that ran the transaction was lost: "+err.Error(),
			ebonywood.TxFailed, ebonywood.Position{})
	}
	reply := session.takeIn(done)
	if reply.State() == ebonywood.TxOpen {
		return reply
	}
	session.fail()
	return reply.WithState(ebonywood.TxFailed)
}

// forwardCommit ends the transaction at another proxy. Only a commit of writes
// whose answer is lost has an unknown outcome.
func (session *session) forwardCommit(
	servers []ebonywood.PeerView, statement ebonywood.Statement, each *attempt,
) ebonywood.Reply {
	tx := session.tx
	begun := tx.channel != nil
	done, err := session.exchange(servers, statement, each)
	var reply ebonywood.Reply
	switch {
	case err == nil:
		reply = session.takeIn(done)
	case begun && tx.wrote:
		reply = unknownOr(err, each)
	default:
		reply = failure(ebonywood.CodeAborted, "the proxy that ran the transaction was lost: "+err.Error())
	}
	session.closeChannel(reply.State() != ebonywood.TxIdle)
	session.end()
	return reply.WithState(ebonywood.TxIdle)
}

// exchange sends a statement of the transaction. The first one goes to the first
// of the servers that begins it. After an error the channel is closed.
func (session *session) exchange(
	servers []ebonywood.PeerView, statement ebonywood.Statement, each *attempt,
) (ebonywood.ForwardResult, error) {
	tx := session.tx
	each.tries++
	work := session.work(statement, each)
	if tx.channel == nil {
		return session.beginElsewhere(servers, work, each)
	}
	each.peer = tx.peer.view.Name()
	done, err := tx.peer.exchange(tx.channel, work, each.left()+answerSlack, isRepeatable(statement))
	if err != nil {
		session.closeChannel(true)
	}
	return done, err
}

// isRepeatable reports whether the loss of a transaction's statement loses nothing
// that was asked to be kept: all but its commit.
func isRepeatable(statement ebonywood.Statement) bool {
	return statement.Verb() != ebonywood.VerbCommit
}

// beginElsewhere begins the transaction with its first statement at another proxy.
func (session *session) beginElsewhere(
	servers []ebonywood.PeerView, work ebonywood.ForwardRequest, each *attempt,
) (done ebonywood.ForwardResult, err error) {
	tx := session.tx
	begin := ebonywood.VerbBegin
	if tx.readOnly {
		begin = ebonywood.VerbBeginRead
	}
	work = work.WithBegin(begin, session.edge.now()-tx.began)
	err = errNoServer
	for _, peer := range servers[:min(forwardTries, len(servers))] {
		channel, _ := session.reach(peer, each)
		if channel == nil {
			continue
		}
		known := session.edge.peer(peer)
		done, err = known.exchange(channel, work, each.left()+answerSlack, isRepeatable(work.Statement()))
		if err != nil {
			channel.Release(true)
			return done, err
		}
		if done.Refusal() == "" {
			tx.channel, tx.peer = channel, known
			return done, nil
		}
		err = errNoServer
		known.refused(done.Refusal())
		channel.Release(false)
	}
	return done, err
}

// forwardRollback rolls the transaction back where it runs.
func (session *session) forwardRollback() {
	route := session.tx.route
	work := session.work(rollback, session.newAttempt(route))
	done, err := session.tx.channel.Exchange(work, rollbackLimit)
	session.closeChannel(err != nil || done.Reply().State() != ebonywood.TxIdle)
}

// closeChannel gives the transaction's channel back.
func (session *session) closeChannel(broken bool) {
	if session.tx.channel != nil {
		session.tx.channel.Release(broken)
		session.tx.channel = nil
	}
}
