package ebonywood

import "context"

// Access is the kind of access that a request needs.
type Access uint8

// The kinds of access.
const (
	// AccessWrite needs the primary.
	AccessWrite Access = iota
	// AccessRead may run on any member that is proven to hold the session's floor
	// and to be fresh enough for the policy.
	AccessRead
)

// Requirements are what a request requires of the connection that is chosen for it.
type Requirements struct {
	instance InstanceID
	route    string
	access   Access
	floor    Floor
	timeout  Millis
	shape    uint64
}

// NewRequirements returns the requirements of a request. timeout is the time that
// is left; shape groups statements of similar cost.
func NewRequirements(instance InstanceID, route string, access Access, floor Floor, timeout Millis, shape uint64) Requirements {
	return Requirements{instance: instance, route: route, access: access, floor: floor, timeout: timeout, shape: shape}
}

// Instance returns the instance that runs the request.
func (requirements Requirements) Instance() InstanceID { return requirements.instance }

// Route returns the name of the caller's route, which holds its policies.
func (requirements Requirements) Route() string { return requirements.route }

// Access returns the kind of access.
func (requirements Requirements) Access() Access { return requirements.access }

// Floor returns the oldest state that the session may read.
func (requirements Requirements) Floor() Floor { return requirements.floor }

// Timeout returns the time that is left until the deadline of the request.
func (requirements Requirements) Timeout() Millis { return requirements.timeout }

// Shape returns the key that groups statements of similar cost.
func (requirements Requirements) Shape() uint64 { return requirements.shape }

// Floor is the oldest state that a session may read.
//
// A session must see its own acknowledged writes (position) and everything that it
// may have seen before the time since, by reads through this or any other proxy. The
// latter is proven by a status round that started at since or later. It needs no
// proof on the member of the last read, whose state only grows.
type Floor struct {
	position   Position
	since      Millis
	lastMember MemberID
}

// NewFloor returns a floor. since is a time on the clock of this process.
func NewFloor(position Position, since Millis, lastMember MemberID) Floor {
	return Floor{position: position, since: since, lastMember: lastMember}
}

// Position covers the session's acknowledged writes and its reads on a primary.
func (floor Floor) Position() Position { return floor.position }

// Since returns the time of the session's last read on a replica, of its last request
// with an unknown outcome, or of its start at this proxy, whichever is latest.
func (floor Floor) Since() Millis { return floor.since }

// LastMember returns the replica of the last read; empty if there was none since the
// session's start or its last request with an unknown outcome.
func (floor Floor) LastMember() MemberID { return floor.lastMember }

// PreparedStatement is a named prepared statement that a request refers to.
type PreparedStatement struct {
	name  string
	parse []byte
}

// NewPreparedStatement returns a prepared statement; parse is the front end's
// encoded message.
func NewPreparedStatement(name string, parse []byte) PreparedStatement {
	return PreparedStatement{name: name, parse: parse}
}

// Name returns the statement's name, which is the same for the same text in every
// session.
func (prepared PreparedStatement) Name() string { return prepared.name }

// Parse returns the encoded message that prepares the statement.
func (prepared PreparedStatement) Parse() []byte { return prepared.parse }

// Request is what a caller sends before it waits for a reply: encoded messages that
// are opaque to every decision.
type Request struct {
	body               []byte
	preparedStatements []PreparedStatement
	settings           string
	changesSettings    bool
}

// NewRequest returns a request. settings holds the settings that the session has
// changed so far, which the connection must have before the request runs.
// changesSettings is true if the request itself changes such settings, so that the
// connection must not be reused.
func NewRequest(body []byte, preparedStatements []PreparedStatement, settings string, changesSettings bool) *Request {
	return &Request{body: body, preparedStatements: preparedStatements, settings: settings, changesSettings: changesSettings}
}

// Body returns the encoded messages.
func (request *Request) Body() []byte { return request.body }

// PreparedStatements returns the statements that must be prepared on the connection
// first.
func (request *Request) PreparedStatements() []PreparedStatement { return request.preparedStatements }

// Settings returns the settings that the session has changed so far, as statements.
func (request *Request) Settings() string { return request.settings }

// ChangesSettings reports whether the request changes settings of the session.
func (request *Request) ChangesSettings() bool { return request.changesSettings }

// TxState is the transaction state of a connection between two requests.
type TxState byte

// The transaction states, as the protocol encodes them.
const (
	TxIdle   TxState = 'I'
	TxOpen   TxState = 'T'
	TxFailed TxState = 'E'
)

// ExchangeResult is the outcome of an exchange.
type ExchangeResult struct {
	state    TxState
	position Position
}

// NewExchangeResult returns a result. position covers everything that the exchange
// committed or read, if the connection is to a primary and the transaction ended.
func NewExchangeResult(state TxState, position Position) ExchangeResult {
	return ExchangeResult{state: state, position: position}
}

// State returns the state of the connection after the exchange.
func (result ExchangeResult) State() TxState { return result.state }

// Position covers everything that the exchange committed or read; zero on a
// replica.
func (result ExchangeResult) Position() Position { return result.position }

// Sink receives the target's reply to an exchange as it arrives.
type Sink interface {
	// WriteFrame passes one encoded message to the caller. The bytes are valid
	// during the call only.
	WriteFrame(frame []byte) error
	// NextInput returns further encoded messages of the caller while the target
	// requests them (COPY FROM STDIN).
	NextInput(ctx context.Context) ([]byte, error)
}

// PooledConn is a target connection that is leased to one caller for one
// transaction. It must be used by one goroutine only.
type PooledConn interface {
	// Member returns the member at the other end.
	Member() MemberID
	// IsPrimary reports whether the connection was opened to a primary.
	IsPrimary() bool
	// Exchange runs one request. On a primary, when the transaction has ended, it
	// returns only after a majority has confirmed what was committed. A fault of
	// KindNotRun proves that nothing was run; KindUnknown means that it may have
	// been run.
	Exchange(ctx context.Context, request *Request, sink Sink) (ExchangeResult, error)
	// Cancel requests the target to cancel the exchange in flight. It is called from
	// another goroutine.
	Cancel(ctx context.Context)
	// Release returns the connection to the pool, or closes it when its state does
	// not permit reuse.
	Release()
}

// ConnPool leases target connections.
type ConnPool interface {
	// Acquire waits for a connection that meets the requirements. Its faults prove
	// that nothing was run.
	Acquire(ctx context.Context, requirements Requirements) (PooledConn, error)
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key. A missing key has revision 0.
	Get(ctx context.Context, key string) (value []byte, revision int64, err error)
	// CompareAndSwap writes a key if its revision is still the given one; 0 means
	// that the key must not exist. After a fault of KindUnavailable the outcome is
	// unknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (swapped bool, err error)
	// Watch blocks until the key's revision is above the given one, and returns its
	// value.
	Watch(ctx context.Context, key string, revision int64) (value []byte, current int64, err error)
}
