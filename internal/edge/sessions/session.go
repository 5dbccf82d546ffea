package sessions

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

const (
	// busyPause is the wait before a member that had no slot is asked again.
	busyPause = 12 * time.Millisecond
	// triesLimit bounds the members that one statement is offered to.
	triesLimit = 6
	// keptLimit bounds the settings and the prepared statements of one session.
	keptLimit = 500
	// beginLimit bounds the opening of a transaction, which needs no slot.
	beginLimit = 400 * time.Millisecond
	// lateSpan is how long before its end a leaving process refuses new work, which
	// another proxy can finish.
	lateSpan ebonywood.Millis = 1000
)

// session is one caller's session. Everything that a connection must hold before
// it works for the session is kept here as data.
type session struct {
	edge     *Edge
	database string

	// mutex lets the sweep end an idle transaction between two statements.
	mutex      sync.Mutex
	settings   map[string]string
	statements map[string]*preparation
	// floor covers the session's own commits.
	floor   ebonywood.Position
	wroteAt ebonywood.Millis
	tx      *transaction
	// forwarded says that the session's caller is at another proxy.
	forwarded bool
}

// preparation is a prepared statement. Its name on connections is the same for
// all sessions that prepare the same definition.
type preparation struct {
	name       string
	definition string
	writes     bool
}

// attempt is what is known of one statement while it is being served.
type attempt struct {
	route  *ebonywood.Route
	began  time.Time
	asked  ebonywood.Millis
	until  time.Time
	floor  ebonywood.Position
	member ebonywood.MemberID
	tries  int
	writes bool
	shared *preparation
	// peer is the proxy that the statement was sent to, forwarded says that it came from
	// one.
	peer      string
	forwarded bool
	// waitShare is the share of the route's promised time that the statement may wait
	// for a connection.
	waitShare float64
}

// left is the time until the statement's deadline.
func (each *attempt) left() time.Duration { return time.Until(each.until) }

// Handle runs one statement.
func (session *session) Handle(statement ebonywood.Statement) ebonywood.Reply {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.tx != nil {
		return session.inTransaction(statement)
	}
	if reply, own := session.keep(statement); own {
		return reply
	}
	switch statement.Verb() {
	case ebonywood.VerbBegin, ebonywood.VerbBeginRead:
		return session.begin(statement)
	case ebonywood.VerbRead, ebonywood.VerbWrite, ebonywood.VerbExecute:
		return session.single(statement)
	default:
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "no transaction is open", ebonywood.TxIdle, ebonywood.Position{})
	}
}

// keep answers what only changes the session itself.
func (session *session) keep(statement ebonywood.Statement) (reply ebonywood.Reply, own bool) {
	state := session.state()
	if session.isFull(statement) {
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "the session holds too many settings or prepared statements",
			state, ebonywood.Position{}), true
	}
	switch statement.Verb() {
	case ebonywood.VerbSet:
		if session.settings == nil {
			session.settings = map[string]string{}
		}
		session.settings[statement.Name()] = statement.Value()
	case ebonywood.VerbPrepare:
		if session.statements == nil {
			session.statements = map[string]*preparation{}
		}
		session.statements[statement.Name()] = newPreparation(statement.Value())
	case ebonywood.VerbDeallocate:
		delete(session.statements, statement.Name())
	default:
		return ebonywood.Reply{}, false
	}
	return ebonywood.NewReply(nil, "", state, ebonywood.Position{}), true
}

// isFull reports whether the statement would make the session hold too much.
func (session *session) isFull(statement ebonywood.Statement) bool {
	switch statement.Verb() {
	case ebonywood.VerbSet:
		_, known := session.settings[statement.Name()]
		return !known && len(session.settings) >= keptLimit
	case ebonywood.VerbPrepare:
		_, known := session.statements[statement.Name()]
		return !known && len(session.statements) >= keptLimit
	default:
		return false
	}
}

func newPreparation(definition string) *preparation {
	return &preparation{
		name: fmt.Sprintf("p%x", xxhash.Sum64String(definition)), definition: definition,
		writes: strings.HasPrefix(definition, "WRITE"),
	}
}

func (session *session) state() ebonywood.TxState {
	switch {
	case session.tx == nil:
		return ebonywood.TxIdle
	case session.tx.failed:
		return ebonywood.TxFailed
	default:
		return ebonywood.TxOpen
	}
}

// IsIdle reports whether no transaction is open.
func (session *session) IsIdle() bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return session.tx == nil
}

// route finds the route that the session's next transaction falls under.
func (session *session) route() (*ebonywood.Route, *ebonywood.InstanceView, ebonywood.Reply) {
	snapshot := session.edge.port.Snapshot()
	set := snapshot.ObjectSet()
	if set == nil {
		return nil, nil, failure(ebonywood.CodeBusy, "no configuration is known yet")
	}
	if session.edge.isLate() {
		return nil, nil, failure(ebonywood.CodeBusy, "the proxy is leaving")
	}
	route, found := set.Route("", session.database)
	if !found {
		return nil, nil, failure(ebonywood.CodeNoDatabase, "no route names this database")
	}
	view, found := snapshot.View(route.Instances()[0])
	if !found {
		return nil, nil, failure(ebonywood.CodeBusy, "no member of the instance is known")
	}
	return route, view, ebonywood.Reply{}
}

func failure(code ebonywood.Code, message string) ebonywood.Reply {
	return ebonywood.NewFailure(code, message, ebonywood.TxIdle, ebonywood.Position{})
}

// newAttempt begins to serve a statement under a route.
func (session *session) newAttempt(route *ebonywood.Route) *attempt {
	timeout := route.Timeout().Duration()
	if timeout <= 0 {
		timeout = session.edge.limits.Duration(ebonywood.LimitDefaultTimeout)
	}
	now := session.edge.now()
	if end := session.edge.port.Snapshot().DrainDeadline(); end > 0 {
		timeout = min(timeout, (end - now).Duration())
	}
	began := time.Now()
	return &attempt{
		route: route, began: began, asked: now, until: began.Add(timeout), forwarded: session.forwarded,
		waitShare: session.edge.limits.Share(ebonywood.LimitWaitShare),
	}
}

// resolve finds the prepared statement that an execution names, and rewrites the
// execution to the name that connections know.
func (session *session) resolve(statement ebonywood.Statement, each *attempt) (ebonywood.Statement, bool) {
	each.writes = statement.Verb() == ebonywood.VerbWrite
	if statement.Verb() != ebonywood.VerbExecute {
		return statement, true
	}
	shared, found := session.statements[statement.Name()]
	if !found {
		return statement, false
	}
	each.shared, each.writes = shared, shared.writes
	return statement.Renamed(shared.name), true
}

// single runs a statement outside a transaction.
func (session *session) single(statement ebonywood.Statement) ebonywood.Reply {
	route, view, refusal := session.route()
	if route == nil {
		return refusal
	}
	each := session.newAttempt(route)
	sent, found := session.resolve(statement, each)
	if !found {
		return failure(ebonywood.CodeNoStatement, "no prepared statement has this name")
	}
	var reply ebonywood.Reply
	servers := session.servers(view.ID())
	switch {
	case len(servers) > 0:
		reply = session.forward(servers, statement, each)
	case each.writes:
		reply = session.write(sent, each)
	case route.Policy().MaxAge() == 0:
		reply = session.strictRead(sent, each)
	default:
		reply = session.read(sent, view, each)
	}
	session.edge.account(statement, each, reply)
	return reply.WithState(ebonywood.TxIdle)
}

// shape groups what costs alike.
func shape(route *ebonywood.Route, kind string) uint64 {
	return xxhash.Sum64String(route.Name() + kind)
}

// write runs a single write on the primary. Before it is sent it may move to
// another primary; afterwards its outcome is what the member says, or unknown.
func (session *session) write(statement ebonywood.Statement, each *attempt) ebonywood.Reply {
	return session.onPrimary(each, "write", func(lease *lease) (ebonywood.Reply, verdict) {
		asked := session.edge.now()
		replies, err := lease.execute(session, each, statement)
		if errors.Is(err, errNoSlot) {
			return noSlot(ebonywood.TxIdle), final
		}
		if err != nil {
			return unknownOr(err, each), lost
		}
		reply := replies[0]
		if reply.Code() == ebonywood.CodeDone {
			session.committed(lease.pool, asked, reply.Position())
		}
		return reply, judge(reply)
	})
}

// committed raises the session's floor to its commit.
func (session *session) committed(pool *pool, asked ebonywood.Millis, at ebonywood.Position) {
	session.floor = session.floor.Max(at)
	session.wroteAt = session.edge.now()
	session.edge.note(pool, asked, at)
}

// strictRead runs a read inside a plain transaction of its own, which a member
// that has lost the lead refuses.
func (session *session) strictRead(statement ebonywood.Statement, each *attempt) ebonywood.Reply {
	return session.onPrimary(each, "strictRead", func(lease *lease) (ebonywood.Reply, verdict) {
		reply, outcome := session.open(lease, each, beginning)
		if reply.Code() != ebonywood.CodeDone || outcome == lost {
			return reply, outcome
		}
		replies, err := lease.execute(session, each, statement, rollback)
		if errors.Is(err, errNoSlot) {
			return session.giveUp(lease)
		}
		if err != nil {
			return session.brokenRead(err, each), lostRead
		}
		return replies[0], judge(replies[0])
	})
}

// giveUp ends the transaction of a strict read that got no slot.
func (session *session) giveUp(lease *lease) (ebonywood.Reply, verdict) {
	if _, err := lease.run(nil, rollbackLimit, rollback); err != nil {
		return noSlot(ebonywood.TxIdle), lostBefore
	}
	return noSlot(ebonywood.TxIdle), final
}

// open begins a transaction on the connection.
func (session *session) open(lease *lease, each *attempt, begin ebonywood.Statement) (ebonywood.Reply, verdict) {
	asked := session.edge.now()
	replies, err := lease.runRepeatable(lease.ahead(session, each.shared), min(each.left(), beginLimit), begin)
	if err != nil {
		return failure(ebonywood.CodeBusy, "the connection failed before the statement was sent: "+err.Error()), lostBefore
	}
	if replies[0].Code() == ebonywood.CodeDone && begin.Verb() == ebonywood.VerbBegin {
		session.edge.note(lease.pool, asked, replies[0].Position())
		session.lowerFloor(replies[0].Position())
	}
	return replies[0], judge(replies[0])
}

// unknownOr says what a write without an answer means.
func unknownOr(err error, each *attempt) ebonywood.Reply {
	if each.left() <= 0 {
		return failure(ebonywood.CodeTimeout, "no answer within the route's timeout: "+err.Error())
	}
	return failure(ebonywood.CodeUnknown, "the connection failed after the statement was sent: "+err.Error())
}

// brokenRead says what a read without an answer means: nothing of it is kept.
func (session *session) brokenRead(err error, each *attempt) ebonywood.Reply {
	if each.left() <= 0 {
		return failure(ebonywood.CodeTimeout, "no answer within the route's timeout: "+err.Error())
	}
	return failure(ebonywood.CodeAborted, "the connection failed during a read: "+err.Error())
}
