package sessions

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
)

const (
	// busyBackoff is the base delay before a statement is sent again to a member that had
	// no slot.
	busyBackoff = 12 * time.Millisecond
	// maxTries bounds how often one statement is tried.
	maxTries = 6
	// maxSessionItems bounds the settings of a session, and its prepared statements.
	maxSessionItems = 500
	// beginTimeout bounds the begin of a transaction on a connection, which needs no slot.
	beginTimeout = 400 * time.Millisecond
	// shutdownMargin is how long before its end a draining process begins to refuse new
	// work, which it may not finish and another proxy can.
	shutdownMargin ebonywood.Millis = 1000
)

// session is one caller's session. It holds the settings and prepared statements that a
// connection needs before it can run statements of the session, so that any connection
// can serve it.
type session struct {
	edge     *Edge
	database string
	// key is the digest of the caller's key. workspaceName names the caller's workspace as
	// the proxy states it to which the caller of a forwarded session is connected.
	key           ebonywood.KeyDigest
	workspaceName string
	// workspace is the caller's workspace as of the start of the latest operation; nil if it
	// had none. A whole operation runs for this workspace, also if a configuration without
	// the key takes effect meanwhile.
	workspace *ebonywood.Workspace

	// mutex is held while a statement runs, so that an idle transaction is only rolled
	// back between two statements.
	mutex      sync.Mutex
	settings   map[string]string
	statements map[string]*preparedStatement
	// floor covers the session's own commits. lastCommitAt is when the last of them was
	// acknowledged.
	floor        ebonywood.Position
	lastCommitAt ebonywood.Millis
	// heldBytes is the size of the settings and the prepared statements.
	heldBytes int64
	tx        *transaction
	// forwarded reports that the session's caller is connected to another proxy. awaited
	// ends when that proxy no longer waits for the session's requests; nil otherwise.
	forwarded bool
	awaited   context.Context
	// lastAttempt is the attempt of the last statement of a forwarded session.
	lastAttempt *attempt
}

// preparedStatement is a prepared statement of a session. Its name on connections
// derives from the definition, so that all sessions that prepare the same definition
// share it.
type preparedStatement struct {
	name       string
	definition string
	writes     bool
}

// attempt is the state of one statement while it is being served, over all its tries.
type attempt struct {
	edge  *Edge
	route *ebonywood.Route
	// workspace is the caller's workspace; nil if it has none.
	workspace *ebonywood.Workspace
	startedAt time.Time
	// asOf is the time from which a read's allowed staleness is measured.
	asOf     ebonywood.Millis
	deadline time.Time
	// workUntil is the time from which the member must get no new work, since it is
	// leaving; 0 without a limit, and for statements that continue a transaction.
	workUntil ebonywood.Millis
	floor     ebonywood.Position
	member    ebonywood.MemberID
	tries     int
	writes    bool
	// mayCommit reports that the work commits writes on the primary, or begins a
	// transaction there that may, so that it has to wait for the end of a stop of writes.
	mayCommit bool
	// prepared is the prepared statement that the statement executes; nil if none.
	prepared *preparedStatement
	// peer names the proxy that the statement was forwarded to, forwarded reports that it
	// was received from one.
	peer      string
	forwarded bool
	// waitShare is the fraction of the route's latency objective that the statement may
	// wait for a connection.
	waitShare float64
	// awaited ends when nobody waits for the reply any more.
	awaited context.Context
	// mayHaveRun reports that an earlier try of a read was sent, and that it failed or its
	// reply was lost.
	mayHaveRun bool
	// hasToken reports that the attempt has taken the token of its operation.
	hasToken bool
	// refusedWait is the predicted wait for which the statement was refused at a member for
	// lack of capacity; 0 if it was not.
	refusedWait ebonywood.Millis
}

// remaining returns the time until the statement's deadline, or 0 if nobody waits for
// the reply any more.
func (attempt *attempt) remaining() time.Duration {
	if attempt.awaited.Err() != nil {
		return 0
	}
	return time.Until(attempt.deadline)
}

// workspaceName names the workspace whose connections the statement needs; empty for none.
func (attempt *attempt) workspaceName() string {
	if attempt.workspace == nil {
		return ""
	}
	return attempt.workspace.Name()
}

// settle returns the caller's reply for the last try's reply. A refusal says that the
// statement was not run, which is not known if an earlier try was sent.
func (attempt *attempt) settle(reply ebonywood.Reply) ebonywood.Reply {
	switch reply.Code() {
	case ebonywood.CodeBusy, ebonywood.CodeLagging, ebonywood.CodeReadOnly, ebonywood.CodeNoStatement:
		if attempt.mayHaveRun {
			return failure(ebonywood.CodeAborted, "an earlier try may have run; "+reply.Message())
		}
	}
	return reply
}

// Handle runs one statement to its end and returns its reply.
func (session *session) Handle(statement ebonywood.Statement) ebonywood.Reply {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.tx != nil {
		return session.runInTransaction(statement)
	}
	if reply, handled := session.handleLocally(statement); handled {
		return reply
	}
	switch statement.Verb() {
	case ebonywood.VerbBegin, ebonywood.VerbBeginRead:
		return session.begin(statement)
	case ebonywood.VerbRead, ebonywood.VerbWrite, ebonywood.VerbExecute:
		return session.runSingle(statement)
	default:
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "no transaction is open", ebonywood.TxIdle, ebonywood.Position{})
	}
}

// handleLocally handles statements that only change the session's own state; handled
// reports whether the statement is one of them.
func (session *session) handleLocally(statement ebonywood.Statement) (reply ebonywood.Reply, handled bool) {
	state := session.state()
	if session.isFull(statement) {
		return ebonywood.NewFailure(ebonywood.CodeMalformed, "the session holds too many settings or prepared statements",
			state, ebonywood.Position{}), true
	}
	if code, message := session.reserve(statement); code != ebonywood.CodeDone {
		return ebonywood.NewFailure(code, message, state, ebonywood.Position{}), true
	}
	switch statement.Verb() {
	case ebonywood.VerbSet:
		if session.settings == nil {
			session.settings = map[string]string{}
		}
		session.settings[statement.Name()] = statement.Value()
	case ebonywood.VerbPrepare:
		if session.statements == nil {
			session.statements = map[string]*preparedStatement{}
		}
		session.statements[statement.Name()] = newPreparedStatement(statement.Value())
	case ebonywood.VerbDeallocate:
		delete(session.statements, statement.Name())
	default:
		return ebonywood.Reply{}, false
	}
	return ebonywood.NewReply(nil, "", state, ebonywood.Position{}), true
}

// isFull reports whether the statement would exceed maxSessionItems.
func (session *session) isFull(statement ebonywood.Statement) bool {
	switch statement.Verb() {
	case ebonywood.VerbSet:
		_, found := session.settings[statement.Name()]
		return !found && len(session.settings) >= maxSessionItems
	case ebonywood.VerbPrepare:
		_, found := session.statements[statement.Name()]
		return !found && len(session.statements) >= maxSessionItems
	default:
		return false
	}
}

// newPreparedStatement returns the prepared statement of a definition. Only one that
// clearly reads counts as a read: a write that counted as one would be rolled back.
func newPreparedStatement(definition string) *preparedStatement {
	verb, _, _ := strings.Cut(strings.TrimLeft(definition, " "), " ")
	return &preparedStatement{
		name: fmt.Sprintf("p%x", xxhash.Sum64String(definition)), definition: definition,
		writes: verb != "READ",
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

// route returns the route of the session's database and the view of its instance, and sets
// the session's workspace. The route is nil if the statement has to be refused with the reply.
func (session *session) route() (*ebonywood.Route, *ebonywood.InstanceView, ebonywood.Reply) {
	snapshot := session.edge.port.Snapshot()
	set := snapshot.ObjectSet()
	if set == nil {
		return nil, nil, failure(ebonywood.CodeBusy, "no configuration has been received yet")
	}
	if session.edge.isNearShutdown() {
		return nil, nil, failure(ebonywood.CodeBusy, "the proxy is leaving")
	}
	route, found := set.Route("", session.database)
	if !found {
		return nil, nil, failure(session.edge.currentCode(ebonywood.CodeNoDatabase), "no route names this database")
	}
	workspace, allowed := session.access(set, route)
	if !allowed {
		return nil, nil, failure(session.edge.currentCode(ebonywood.CodeDenied), keyDeniedMessage)
	}
	session.workspace = workspace
	view, found := snapshot.View(route.Instances()[0])
	if !found {
		return nil, nil, failure(ebonywood.CodeBusy, "no member of the instance is listed")
	}
	return route, view, ebonywood.Reply{}
}

// failure returns a failure outside a transaction, without a position.
func failure(code ebonywood.Code, message string) ebonywood.Reply {
	return ebonywood.NewFailure(code, message, ebonywood.TxIdle, ebonywood.Position{})
}

// newAttempt returns the attempt to serve a statement under a route. Its deadline is that
// of the route, or the default timeout for a route without one, but not after the end of
// a draining process.
func (session *session) newAttempt(route *ebonywood.Route) *attempt {
	timeout := route.Timeout().Duration()
	if timeout <= 0 {
		timeout = session.edge.limits.Duration(ebonywood.LimitDefaultTimeout)
	}
	now := session.edge.now()
	if drainDeadline := session.edge.port.Snapshot().DrainDeadline(); drainDeadline > 0 {
		timeout = min(timeout, (drainDeadline - now).Duration())
	}
	startedAt := time.Now()
	session.edge.retries.earn()
	awaited := session.awaited
	if awaited == nil {
		awaited = session.edge.group.Context()
	}
	created := &attempt{
		edge: session.edge, awaited: awaited,
		route: route, workspace: session.workspace, startedAt: startedAt, asOf: now, deadline: startedAt.Add(timeout), forwarded: session.forwarded,
		waitShare: session.edge.limits.Share(ebonywood.LimitWaitShare),
	}
	if session.forwarded {
		session.lastAttempt = created
	}
	return created
}

// resolve sets whether the attempt writes. If the statement executes a prepared one, it
// returns the statement with the prepared statement's name on connections; false if the
// session has no such prepared statement.
func (session *session) resolve(statement ebonywood.Statement, attempt *attempt) (ebonywood.Statement, bool) {
	attempt.writes = statement.Verb() == ebonywood.VerbWrite
	if statement.Verb() != ebonywood.VerbExecute {
		return statement, true
	}
	prepared, found := session.statements[statement.Name()]
	if !found {
		return statement, false
	}
	attempt.prepared, attempt.writes = prepared, prepared.writes
	return statement.WithName(prepared.name), true
}

// runSingle runs a statement outside a transaction.
func (session *session) runSingle(statement ebonywood.Statement) ebonywood.Reply {
	route, view, refusal := session.route()
	if route == nil {
		return refusal
	}
	attempt := session.newAttempt(route)
	resolved, found := session.resolve(statement, attempt)
	if !found {
		return failure(ebonywood.CodeNoStatement, "no prepared statement has this name")
	}
	var reply ebonywood.Reply
	servers := session.servers(view.ID())
	switch {
	case !session.takeToken(attempt):
		reply = failure(ebonywood.CodeBusy, rateLimitMessage)
	case len(servers) > 0:
		reply = session.forward(servers, statement, attempt)
	case attempt.writes:
		reply = session.write(resolved, attempt)
	case route.Policy().MaxAge() == 0:
		reply = session.strictRead(resolved, attempt)
	default:
		reply = session.read(resolved, view, attempt)
	}
	reply = attempt.settle(reply)
	session.settleToken(attempt, reply)
	session.edge.account(statement, attempt, reply)
	return reply.WithState(ebonywood.TxIdle)
}

// shape returns the key under which the cost of work of this kind is estimated for a
// route.
func shape(route *ebonywood.Route, kind string) uint64 {
	return xxhash.Sum64String(route.Name() + kind)
}

// write runs a single write on the primary. Until it is sent, it may be retried on
// another primary. Once sent, the member's reply determines the outcome, which is unknown
// without a reply.
func (session *session) write(statement ebonywood.Statement, attempt *attempt) ebonywood.Reply {
	attempt.mayCommit = true
	instance := attempt.route.Instances()[0]
	return session.runOnPrimary(attempt, "write", func(lease *lease) (ebonywood.Reply, attemptOutcome) {
		if !session.edge.writeGate(instance).enter() {
			return heldReply(ebonywood.TxIdle), outcomeHeld
		}
		defer session.edge.leaveWrites(instance)
		sentAt := session.edge.now()
		replies, err := lease.execute(session, attempt, statement)
		if errors.Is(err, errNoSlot) {
			return noSlotReply(ebonywood.TxIdle), outcomeFinal
		}
		if err != nil {
			return lostWriteReply(err, attempt), outcomeLost
		}
		reply := replies[0]
		if reply.Code() == ebonywood.CodeDone {
			session.recordCommit(lease.pool, sentAt, reply.Position())
		}
		return reply, outcomeOf(reply)
	})
}

// recordCommit raises the session's floor to the position of its commit and adds a
// freshness sample.
func (session *session) recordCommit(pool *pool, sentAt ebonywood.Millis, position ebonywood.Position) {
	session.floor = session.floor.Max(position)
	session.lastCommitAt = session.edge.now()
	session.edge.recordPrimary(pool, sentAt, position)
}

// strictRead runs a read on the primary inside a read-write transaction of its own,
// which a member that is no longer the primary refuses.
func (session *session) strictRead(statement ebonywood.Statement, attempt *attempt) ebonywood.Reply {
	return session.runOnPrimary(attempt, "strictRead", func(lease *lease) (ebonywood.Reply, attemptOutcome) {
		reply, outcome := session.beginOn(lease, attempt, beginStatement)
		if reply.Code() != ebonywood.CodeDone || outcome == outcomeLost {
			return reply, outcome
		}
		replies, err := lease.execute(session, attempt, statement, rollbackStatement)
		if errors.Is(err, errNoSlot) {
			return session.endStrictRead(lease)
		}
		if err != nil {
			return lostReadReply(err, attempt), outcomeLostRead
		}
		return replies[0], outcomeOf(replies[0])
	})
}

// endStrictRead rolls back the transaction of a strict read that got no slot.
func (session *session) endStrictRead(lease *lease) (ebonywood.Reply, attemptOutcome) {
	if _, err := lease.run(nil, rollbackTimeout, rollbackStatement); err != nil {
		return noSlotReply(ebonywood.TxIdle), outcomeLostUnsent
	}
	return noSlotReply(ebonywood.TxIdle), outcomeFinal
}

// beginOn begins a transaction on the connection. A read-write one proves that the member
// is the primary, which adds a freshness sample.
func (session *session) beginOn(lease *lease, attempt *attempt, begin ebonywood.Statement) (ebonywood.Reply, attemptOutcome) {
	sentAt := session.edge.now()
	replies, err := lease.runRepeatable(lease.setupFor(session, attempt.prepared), min(attempt.remaining(), beginTimeout), begin)
	if err != nil {
		return failure(ebonywood.CodeBusy, "the connection failed before the statement was sent: "+err.Error()), outcomeLostUnsent
	}
	if replies[0].Code() == ebonywood.CodeDone && begin.Verb() == ebonywood.VerbBegin {
		session.edge.recordPrimary(lease.pool, sentAt, replies[0].Position())
		session.lowerFloor(replies[0].Position())
	}
	return replies[0], outcomeOf(replies[0])
}

// lostWriteReply returns the caller's reply for a write to which no reply arrived:
// CodeTimeout after the deadline, CodeUnknown before.
func lostWriteReply(err error, attempt *attempt) ebonywood.Reply {
	if attempt.remaining() <= 0 {
		return failure(ebonywood.CodeTimeout, "no answer within the route's timeout: "+err.Error())
	}
	return failure(ebonywood.CodeUnknown, "the connection failed after the statement was sent: "+err.Error())
}

// lostReadReply returns the caller's reply for a read to which no reply arrived:
// CodeTimeout after the deadline, CodeAborted before, since a read changes nothing.
func lostReadReply(err error, attempt *attempt) ebonywood.Reply {
	attempt.mayHaveRun = true
	if attempt.remaining() <= 0 {
		return failure(ebonywood.CodeTimeout, "no answer within the route's timeout: "+err.Error())
	}
	return failure(ebonywood.CodeAborted, "the connection failed during a read: "+err.Error())
}
