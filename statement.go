package ebonywood

import "time"

// Verb says what a statement of the reduced statement language does. Front ends
// whose protocol tells verbs apart decode into it, so that sessions, pools and
// outcomes need to know no text.
type Verb uint8

// The verbs.
const (
	// VerbOther is a statement that no rule is known for.
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
	// VerbReset clears the settings and prepared names of a connection.
	VerbReset
)

// Statement is one decoded statement.
type Statement struct {
	id    string
	verb  Verb
	text  string
	name  string
	value string
	after Position
}

// NewStatement makes a statement of a caller. text is the whole statement as the
// caller sent it; name and value are the operands of VerbSet (setting, value),
// VerbPrepare (name, definition), VerbExecute (name, arguments) and
// VerbDeallocate (name).
func NewStatement(id string, verb Verb, text, name, value string) Statement {
	return Statement{id: id, verb: verb, text: text, name: name, value: value}
}

// NewOwnStatement makes a statement that the proxy issues by itself.
func NewInternalStatement(verb Verb, name, value string) Statement {
	return Statement{verb: verb, name: name, value: value}
}

// After returns the statement with a floor: a member whose log lacks the position
// refuses it without running it.
func (statement Statement) WithFloor(floor Position) Statement {
	statement.after = floor
	return statement
}

// Renamed returns an execution of a prepared statement under another name.
func (statement Statement) Renamed(name string) Statement {
	statement.name = name
	statement.text = ""
	return statement
}

// ID names the statement for its caller; empty for the proxy's own.
func (statement Statement) ID() string { return statement.id }

// Verb is what the statement does.
func (statement Statement) Verb() Verb { return statement.verb }

// Text is the statement as the caller sent it; empty if it is to be built from
// the verb and its operands.
func (statement Statement) Text() string { return statement.text }

// Name is the first operand.
func (statement Statement) Name() string { return statement.name }

// Value is the rest of the operands.
func (statement Statement) Value() string { return statement.value }

// Floor is the position that the member's log must hold; zero asks nothing.
func (statement Statement) Floor() Position { return statement.after }

// Code says how a statement ended.
type Code uint8

// The codes.
const (
	// CodeDone is success.
	CodeDone Code = iota
	// CodeBusy is a refusal for lack of a slot: not run.
	CodeBusy
	// CodeAborted says that the transaction was rolled back: nothing is kept.
	CodeAborted
	// CodeLagging is a refusal because the log lacks the floor: not run.
	CodeLagging
	// CodeReadOnly is a refusal by a member that does not lead: not run.
	CodeReadOnly
	// CodeMisrouted is a refusal by another member than the expected one: not run.
	CodeMisrouted
	// CodeConnections is a refusal of a connection too many: not run.
	CodeTooManyConnections
	// CodeNoStatement is an unknown prepared name: not run.
	CodeNoStatement
	// CodeFailed is a failure while running.
	CodeFailed
	// CodeTimeout is a time limit that passed while the statement may have run.
	CodeTimeout
	// CodeUnknown says that the outcome is not known.
	CodeUnknown
	// CodeNoDatabase is a database that no route names.
	CodeNoDatabase
	// CodeMalformed is a statement that has no meaning in this state.
	CodeMalformed
	// CodeTooLarge is a message over the size limit.
	CodeTooLarge
	// CodeDenied is a caller that may not connect.
	CodeDenied
)

// codeNames are the names in logs and metrics.
var codeNames = [...]string{
	"done", "busy", "aborted", "lagging", "readOnly", "misrouted", "connections", "noStatement", "failed",
	"timeout", "unknown", "noDatabase", "malformed", "tooLarge", "denied",
}

// String names the code as logs and metrics do.
func (code Code) String() string {
	if int(code) < len(codeNames) {
		return codeNames[code]
	}
	return "other"
}

// ProvesNotRun reports whether a member that answers so has not run the
// statement.
func (code Code) ProvesNotRun() bool {
	switch code {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections, CodeNoStatement:
		return true
	default:
		return false
	}
}

// Reply is the whole answer to one statement.
type Reply struct {
	code      Code
	rows      []string
	signature string
	message   string
	state     TxState
	position  Position
}

// NewReply makes a successful reply. signature is the member's proof that it ran
// the statement, empty if the proxy answered by itself; position is the end of
// the member's log, zero if it is not known.
func NewReply(rows []string, signature string, state TxState, position Position) Reply {
	return Reply{rows: rows, signature: signature, state: state, position: position}
}

// NewFailure makes a reply that reports a failure.
func NewFailure(code Code, message string, state TxState, position Position) Reply {
	return Reply{code: code, message: message, state: state, position: position}
}

// Code says how the statement ended.
func (reply Reply) Code() Code { return reply.code }

// Rows are the rows of the answer.
func (reply Reply) Rows() []string { return reply.rows }

// Signature is the member's proof that it ran the statement.
func (reply Reply) Signature() string { return reply.signature }

// Message says why a statement failed.
func (reply Reply) Message() string { return reply.message }

// State is the state of the connection afterwards.
func (reply Reply) State() TxState { return reply.state }

// Position is the end of the member's log.
func (reply Reply) Position() Position { return reply.position }

// InState returns the reply with another state, for a caller whose transaction
// is not that of the connection.
func (reply Reply) WithState(state TxState) Reply {
	reply.state = state
	return reply
}

// MemberConn is one connection to a member under any encoding. It belongs to one
// goroutine at a time.
type MemberConn interface {
	// Exchange sends the statements in one write and reads their replies in order
	// until all are there or the limit passes. After an error, whose replies are
	// those that arrived whole, the connection is of no more use.
	Exchange(statements []Statement, limit time.Duration) ([]Reply, error)
	// Standing asks the member for its account of itself, within the limit.
	Status(limit time.Duration) (ReplicationStatus, error)
	// Interrupt makes an exchange that waits fail at once; any goroutine may call it.
	Interrupt()
	Close()
}

// Dialer opens connections to members.
type Dialer interface {
	// Dial connects to the member of the instance within the limit and returns the
	// end of its log. Its faults: KindUnavailable, nobody answered; KindOverload,
	// the member has too many connections; KindDenied, another member answered.
	Dial(instance InstanceID, member Member, limit time.Duration) (MemberConn, Position, error)
}

// Standing is a member's account of its own log and role.
type ReplicationStatus struct {
	primary     bool
	term        Term
	received    Position
	lag         Millis
	connections int
}

// NewStanding makes a standing; received is the end of what the member has
// stored, connections how many are open to it from all proxies.
func NewReplicationStatus(primary bool, term Term, received Position, lag Millis, connections int) ReplicationStatus {
	return ReplicationStatus{primary: primary, term: term, received: received, lag: lag, connections: connections}
}

// IsPrimary reports whether the member believes that it leads.
func (standing ReplicationStatus) IsPrimary() bool { return standing.primary }

// Term is the newest term that the member knows.
func (standing ReplicationStatus) Term() Term { return standing.term }

// Received is the end of what the member has stored.
func (standing ReplicationStatus) Received() Position { return standing.received }

// Lag is how far the member's reads are behind, as it says.
func (standing ReplicationStatus) Lag() Millis { return standing.lag }

// Connections is how many connections are open to the member.
func (standing ReplicationStatus) Connections() int { return standing.connections }

// Session is one caller's session: its settings, prepared names, floor and
// transaction. It belongs to one goroutine.
type Session interface {
	// Handle runs one statement to its end.
	Handle(statement Statement) Reply
	// IsIdle reports whether no transaction is open.
	IsIdle() bool
	// Abandon rolls back what is open, because the caller left or has to.
	Abandon()
}

// ForwardedSession is the part of another proxy's session that runs here: one statement,
// or one transaction. It belongs to one goroutine.
type ForwardedSession interface {
	// Run runs one piece of work to its end.
	Run(work ForwardRequest) ForwardResult
	// IsIdle reports whether no transaction is open.
	IsIdle() bool
	// Abandon rolls back what is open.
	Abandon()
}

// Sessions opens sessions.
type Sessions interface {
	// OpenForwarded begins to run the work of another proxy's session here.
	OpenForwarded(work ForwardRequest) ForwardedSession

	// Open begins a session with a database. The reply's code is CodeDone,
	// CodeNoDatabase, or CodeBusy when no configuration is known yet.
	Open(database string) (Session, Code)
}
