package ebonywood

import "context"

// Access is what a request needs from the member that runs it.
type Access uint8

// The ways of access.
const (
	// AccessWrite needs the primary.
	AccessWrite Access = iota
	// AccessRead may run on any member that proves the policy's age and the
	// session's floor.
	AccessRead
)

// Need describes a request to the target side before a connection is chosen.
type Requirements struct {
	instance InstanceID
	route    string
	access   Access
	floor    Floor
	deadline Millis
	shape    uint64
}

// NewNeed makes a need. deadline is the span that is left; shape groups
// statements that cost alike.
func NewRequirements(instance InstanceID, route string, access Access, floor Floor, deadline Millis, shape uint64) Requirements {
	return Requirements{instance: instance, route: route, access: access, floor: floor, deadline: deadline, shape: shape}
}

// Instance is where the request goes.
func (need Requirements) Instance() InstanceID { return need.instance }

// Route names the caller's route, which holds its policies.
func (need Requirements) Route() string { return need.route }

// Access is the way of access.
func (need Requirements) Access() Access { return need.access }

// Floor is what the session must see.
func (need Requirements) Floor() Floor { return need.floor }

// Deadline is the span after which the caller gives up.
func (need Requirements) Timeout() Millis { return need.deadline }

// Shape groups statements that cost alike.
func (need Requirements) Shape() uint64 { return need.shape }

// Floor is the least state that a session may be shown.
//
// A session must see its own acknowledged writes (at) and everything that it
// may have seen before the moment since, by reads here or through any other
// proxy. The latter needs a proof from a status round that began at since or
// later; the member last read from is exempt, as its state only grows.
type Floor struct {
	at    Position
	since Millis
	last  MemberID
}

// NewFloor makes a floor.
func NewFloor(at Position, since Millis, last MemberID) Floor {
	return Floor{at: at, since: since, last: last}
}

// At is the end of the session's acknowledged writes.
func (floor Floor) Position() Position { return floor.at }

// Since is the moment of the session's last read or of its attachment.
func (floor Floor) Since() Millis { return floor.since }

// Last is the member of the last read, empty if there was none.
func (floor Floor) LastMember() MemberID { return floor.last }

// Preparation is a named prepared statement that a request refers to.
type PreparedStatement struct {
	name  string
	parse []byte
}

// NewPreparation makes a preparation; parse is the front end's encoded message.
func NewPreparedStatement(name string, parse []byte) PreparedStatement {
	return PreparedStatement{name: name, parse: parse}
}

// Name is the same for the same statement text in every session.
func (preparation PreparedStatement) Name() string { return preparation.name }

// Parse is the encoded message that prepares it.
func (preparation PreparedStatement) Parse() []byte { return preparation.parse }

// Request is what a caller sends before it waits for an answer: encoded
// messages that are opaque to every decision.
type Request struct {
	body         []byte
	preparations []PreparedStatement
	setup        string
	taints       bool
}

// NewRequest makes a request. setup is what the session has set so far, which the
// connection must have before the request runs. taints says that the request
// changes such settings, so the connection must not be used again.
func NewRequest(body []byte, preparations []PreparedStatement, setup string, taints bool) *Request {
	return &Request{body: body, preparations: preparations, setup: setup, taints: taints}
}

// Body is the encoded messages.
func (request *Request) Body() []byte { return request.body }

// Preparations are the statements that the target has to know first.
func (request *Request) PreparedStatements() []PreparedStatement { return request.preparations }

// Setup is what the session has set so far, as statements.
func (request *Request) Setup() string { return request.setup }

// Taints reports whether it changes what the session has set.
func (request *Request) Taints() bool { return request.taints }

// TxState is the state of a connection between two requests.
type TxState byte

// The states, as the protocol encodes them.
const (
	TxIdle   TxState = 'I'
	TxOpen   TxState = 'T'
	TxFailed TxState = 'E'
)

// Answer is the end of an exchange.
type ExchangeResult struct {
	state    TxState
	position Position
}

// NewAnswer makes an answer. position covers all that the exchange committed or
// read, if the lane leads to a primary and the transaction ended.
func NewExchangeResult(state TxState, position Position) ExchangeResult {
	return ExchangeResult{state: state, position: position}
}

// State is the state of the connection after the exchange.
func (answer ExchangeResult) State() TxState { return answer.state }

// Position covers all that the exchange committed or read; zero on a replica.
func (answer ExchangeResult) Position() Position { return answer.position }

// Sink takes the answer of an exchange as it arrives.
type Sink interface {
	// Relay takes one encoded message; the bytes are valid during the call only.
	WriteFrame(frame []byte) error
	// More returns further encoded messages of the caller while the target asks
	// for them (COPY FROM STDIN).
	NextInput(ctx context.Context) ([]byte, error)
}

// Lane is one target connection that is leased to one caller for one
// transaction. It belongs to one goroutine.
type PooledConn interface {
	// Member is the member that the connection leads to.
	Member() MemberID
	// IsPrimary reports whether it was opened to a primary.
	IsPrimary() bool
	// Exchange runs one request. On a primary it returns, once the transaction
	// has ended, only after a majority confirmed what was committed. A fault of
	// KindNotRun proves that nothing was run, KindUnknown says that it may have
	// been.
	Exchange(ctx context.Context, request *Request, sink Sink) (ExchangeResult, error)
	// Cancel asks the target to cancel the exchange that runs, from another
	// goroutine.
	Cancel(ctx context.Context)
	// Release returns the connection for reuse, or closes it when it is in no
	// state to be used again.
	Release()
}

// Lanes leases target connections.
type ConnPool interface {
	// Acquire waits for a connection that meets the need. Its faults prove that
	// nothing was run.
	Acquire(ctx context.Context, need Requirements) (PooledConn, error)
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key. A missing key has revision 0.
	Get(ctx context.Context, key string) (value []byte, revision int64, err error)
	// Swap writes a key if its revision is still the given one; 0 means that the
	// key must not exist. A fault of KindUnavailable leaves the outcome open.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (swapped bool, err error)
	// Watch blocks until the key's revision is above the given one, and reads it.
	Watch(ctx context.Context, key string, revision int64) (value []byte, current int64, err error)
}
