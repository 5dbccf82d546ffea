package ebonywood

import (
	"context"
	"time"
)

// Verb says what a statement does in the reduced statement language. Front ends
// whose protocol distinguishes verbs decode into it, so that sessions, pools and
// outcomes do not depend on statement text.
type Verb uint8

// The verbs.
const (
	// VerbOther is a statement whose verb is not recognized.
	VerbOther Verb = iota
	VerbBegin
	VerbBeginRead
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	VerbSet
	VerbPrepare
	VerbExecute
	VerbDeallocate
	// VerbReset clears the settings and prepared statements of a connection.
	VerbReset
)

// Statement is one decoded statement.
type Statement struct {
	id    string
	verb  Verb
	text  string
	name  string
	value string
	floor Position
}

// NewStatement returns a statement of a caller. text is the complete statement as
// the caller sent it; name and value are the operands of VerbSet (setting, value),
// VerbPrepare (name, definition), VerbExecute (name, arguments) and VerbDeallocate
// (name).
func NewStatement(id string, verb Verb, text, name, value string) Statement {
	return Statement{id: id, verb: verb, text: text, name: name, value: value}
}

// NewInternalStatement returns a statement that the proxy itself issues.
func NewInternalStatement(verb Verb, name, value string) Statement {
	return Statement{verb: verb, name: name, value: value}
}

// WithFloor returns the statement with a floor: a member whose log does not reach
// the position refuses it without running it.
func (statement Statement) WithFloor(floor Position) Statement {
	statement.floor = floor
	return statement
}

// WithName returns an execution of a prepared statement under another name.
func (statement Statement) WithName(name string) Statement {
	statement.name = name
	statement.text = ""
	return statement
}

// ID returns the caller's identifier of the statement; empty for internal
// statements.
func (statement Statement) ID() string { return statement.id }

// Verb returns what the statement does.
func (statement Statement) Verb() Verb { return statement.verb }

// Text returns the statement as the caller sent it; empty if it is to be built from
// the verb and its operands.
func (statement Statement) Text() string { return statement.text }

// Name returns the first operand.
func (statement Statement) Name() string { return statement.name }

// Value returns the remaining operands.
func (statement Statement) Value() string { return statement.value }

// Floor returns the position that the member's log must reach; zero requires
// nothing.
func (statement Statement) Floor() Position { return statement.floor }

// Code is the outcome of a statement.
type Code uint8

// The codes.
const (
	// CodeDone is success.
	CodeDone Code = iota
	// CodeBusy is a refusal for lack of a slot: not run.
	CodeBusy
	// CodeAborted means that the transaction was rolled back: nothing was
	// committed.
	CodeAborted
	// CodeLagging is a refusal because the log does not reach the floor: not run.
	CodeLagging
	// CodeReadOnly is a refusal by a member that is not primary: not run.
	CodeReadOnly
	// CodeMisrouted is a refusal by another member than the expected one: not run.
	CodeMisrouted
	// CodeTooManyConnections is a refusal because the member has too many
	// connections: not run.
	CodeTooManyConnections
	// CodeNoStatement is an unknown name of a prepared statement: not run.
	CodeNoStatement
	// CodeFailed is a failure while running.
	CodeFailed
	// CodeTimeout is a timeout after which the statement may have run.
	CodeTimeout
	// CodeUnknown means that the outcome is unknown.
	CodeUnknown
	// CodeNoDatabase is a database that no route names.
	CodeNoDatabase
	// CodeMalformed is a message or statement that can't be parsed, or that is not
	// valid in the state of the session.
	CodeMalformed
	// CodeTooLarge is a message that exceeds the size limit.
	CodeTooLarge
	// CodeDenied is a caller that is not permitted to connect.
	CodeDenied
)

// codeNames are the names in logs and metrics, by code.
var codeNames = [...]string{
	"done", "busy", "aborted", "lagging", "readOnly", "misrouted", "connections", "noStatement", "failed",
	"timeout", "unknown", "noDatabase", "malformed", "tooLarge", "denied",
}

// String returns the name used in logs and metrics.
func (code Code) String() string {
	if int(code) < len(codeNames) {
		return codeNames[code]
	}
	return "other"
}

// ProvesNotRun reports whether a member that replies with this code has not run the
// statement.
func (code Code) ProvesNotRun() bool {
	switch code {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections, CodeNoStatement:
		return true
	default:
		return false
	}
}

// Reply is the complete result of one statement, from a member or from the proxy.
type Reply struct {
	code      Code
	rows      []string
	signature string
	message   string
	state     TxState
	position  Position
}

// NewReply returns a successful reply. signature is the member's proof that it ran
// the statement, empty if the proxy itself replied; position is the end of the
// member's log, zero if it is not known.
func NewReply(rows []string, signature string, state TxState, position Position) Reply {
	return Reply{rows: rows, signature: signature, state: state, position: position}
}

// NewFailure returns a reply that reports a failure.
func NewFailure(code Code, message string, state TxState, position Position) Reply {
	return Reply{code: code, message: message, state: state, position: position}
}

// Code returns the outcome of the statement.
func (reply Reply) Code() Code { return reply.code }

// Rows returns the rows of the result.
func (reply Reply) Rows() []string { return reply.rows }

// Signature returns the member's proof that it ran the statement.
func (reply Reply) Signature() string { return reply.signature }

// Message states why the statement failed.
func (reply Reply) Message() string { return reply.message }

// State returns the state of the connection afterwards.
func (reply Reply) State() TxState { return reply.state }

// Position returns the end of the member's log.
func (reply Reply) Position() Position { return reply.position }

// WithState returns the reply with another state, for a caller whose transaction is
// not that of the connection.
func (reply Reply) WithState(state TxState) Reply {
	reply.state = state
	return reply
}

// MemberConn is one connection to a member, whatever the encoding. It must be used
// by one goroutine at a time.
type MemberConn interface {
	// Exchange sends the statements in one write and reads their replies in order
	// until all have arrived or the timeout passes. With an error it returns the
	// replies that arrived completely, and the connection can't be used again.
	Exchange(statements []Statement, timeout time.Duration) ([]Reply, error)
	// Status queries the member's replication status.
	Status(timeout time.Duration) (ReplicationStatus, error)
	// PauseReplication makes the member receive nothing until ResumeReplication, a
	// promotion in the instance or its own restart, and returns its status then. term is
	// greater than the newest term of the instance. Faults are those of Status.
	PauseReplication(term Term, timeout time.Duration) (ReplicationStatus, error)
	// ResumeReplication ends a pause; it does nothing to a member that is not paused.
	// Faults are those of Status.
	ResumeReplication(timeout time.Duration) error
	// Interrupt makes a waiting exchange fail immediately; any goroutine may call
	// it.
	Interrupt()
	// Close closes the connection.
	Close()
}

// Dialer opens connections to members.
type Dialer interface {
	// Dial connects to the member of the instance within the timeout and returns the end of its
	// log. workspace names the workspace whose statements run on the connection; empty if they
	// belong to none. Its faults: KindUnavailable, the member did not respond; KindOverload,
	// the member has too many connections; KindDenied, another member responded.
	Dial(instance InstanceID, member Member, workspace string, timeout time.Duration) (MemberConn, Position, error)
}

// ReplicationStatus is a member's report of its own log and role.
type ReplicationStatus struct {
	primary     bool
	term        Term
	received    Position
	lag         Millis
	connections int
}

// NewReplicationStatus returns a status. received is the end of what the member has
// stored, lag how far its reads are behind, and connections how many connections are
// open to it from all proxies.
func NewReplicationStatus(primary bool, term Term, received Position, lag Millis, connections int) ReplicationStatus {
	return ReplicationStatus{primary: primary, term: term, received: received, lag: lag, connections: connections}
}

// IsPrimary reports whether the member claims to be primary.
func (status ReplicationStatus) IsPrimary() bool { return status.primary }

// Term returns the newest term that the member has received.
func (status ReplicationStatus) Term() Term { return status.term }

// Received returns the end of what the member has stored.
func (status ReplicationStatus) Received() Position { return status.received }

// Lag returns how far the member's reads are behind, as the member reports it.
func (status ReplicationStatus) Lag() Millis { return status.lag }

// Connections returns how many connections are open to the member from all proxies.
func (status ReplicationStatus) Connections() int { return status.connections }

// Session is one caller's session: its settings, prepared statements, floor and
// transaction. It must be used by one goroutine only.
type Session interface {
	// Handle runs one statement and returns its reply.
	Handle(statement Statement) Reply
	// IsIdle reports whether no transaction is open.
	IsIdle() bool
	// IsAllowed reports whether the object set in force still permits the session: its
	// key or user was not withdrawn.
	IsAllowed() bool
	// Close rolls back the open transaction, if any, when the caller has left or
	// is disconnected.
	Close()
}

// ForwardedSession is the part of another proxy's session that runs here: one
// statement or one transaction. It must be used by one goroutine only.
type ForwardedSession interface {
	// Run runs one request and returns its result.
	Run(request ForwardRequest) ForwardResult
	// IsIdle reports whether no transaction is open.
	IsIdle() bool
	// Close rolls back the open transaction, if any.
	Close()
}

// Sessions opens sessions.
type Sessions interface {
	// OpenForwarded opens the session in which the requests of another proxy's
	// session run; request is the first. When ctx ends, the other proxy no longer waits
	// for them: what has not been sent to a member is then not run.
	OpenForwarded(ctx context.Context, request ForwardRequest) ForwardedSession

	// Open opens a session with a database for a caller with a key. The code is
	// CodeDone, CodeNoDatabase, CodeDenied if the key does not permit the session, or
	// CodeBusy before the first configuration, while a newer one may be missing that
	// names the database or the key, and shortly before this process ends. The session
	// is nil unless the code is CodeDone.
	Open(database string, key KeyDigest) (Session, Code)
}
