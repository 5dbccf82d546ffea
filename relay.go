package ebonywood

import (
	"context"
	"maps"
	"time"
)

// SessionState is the state of a session in a form that can be sent: with it
// another proxy can run a statement or a transaction of the session.
type SessionState struct {
	database   string
	generation uint64
	settings   map[string]string
	floor      Position
	commitAge  Millis
	workspace  string
}

// NewSessionState returns the state of a session with a database. generation is
// that of the object set by which the session was routed, floor covers the
// session's own commits, and commitAge is the time since the last of them. The
// settings are copied.
func NewSessionState(
	database string, generation uint64, settings map[string]string, floor Position, commitAge Millis,
) SessionState {
	return SessionState{
		database: database, generation: generation, settings: maps.Clone(settings), floor: floor, commitAge: commitAge,
	}
}

// WithWorkspace returns the state with the name of the workspace that the session belongs
// to; empty if it belongs to none.
func (state SessionState) WithWorkspace(workspace string) SessionState {
	state.workspace = workspace
	return state
}

// Workspace returns the name of the workspace that the session belongs to; empty if it
// belongs to none.
func (state SessionState) Workspace() string { return state.workspace }

// Database returns the database with which the session was opened.
func (state SessionState) Database() string { return state.database }

// Generation returns the generation of the object set by which the session was
// routed.
func (state SessionState) Generation() uint64 { return state.generation }

// Settings returns the session's settings; the map must not be modified.
func (state SessionState) Settings() map[string]string { return state.settings }

// Floor covers the session's own commits.
func (state SessionState) Floor() Position { return state.floor }

// CommitAge returns the time since the session's last commit.
func (state SessionState) CommitAge() Millis { return state.commitAge }

// ForwardRequest is one statement of a session that another proxy runs.
type ForwardRequest struct {
	state          SessionState
	statement      Statement
	definition     string
	begin          Verb
	transactionAge Millis
}

// NewForwardRequest returns a request. definition is the text of the prepared
// statement that an execution names.
func NewForwardRequest(state SessionState, statement Statement, definition string) ForwardRequest {
	return ForwardRequest{state: state, statement: statement, definition: definition}
}

// WithBegin returns the request as the first of a transaction. begin is VerbBegin
// or VerbBeginRead, age the time since the transaction began.
func (request ForwardRequest) WithBegin(begin Verb, age Millis) ForwardRequest {
	request.begin, request.transactionAge = begin, age
	return request
}

// State returns the state of the session.
func (request ForwardRequest) State() SessionState { return request.state }

// Statement returns the statement to run.
func (request ForwardRequest) Statement() Statement { return request.statement }

// Definition returns the text of the prepared statement that an execution names.
func (request ForwardRequest) Definition() string { return request.definition }

// Begin returns the verb of the transaction that the request begins; VerbOther if
// it begins none.
func (request ForwardRequest) Begin() Verb { return request.begin }

// TransactionAge returns the time since that transaction began.
func (request ForwardRequest) TransactionAge() Millis { return request.transactionAge }

// ForwardResult is the result of a ForwardRequest at another proxy.
type ForwardResult struct {
	reply     Reply
	floor     Position
	commitAge Millis
	refusal   string
	// refusedWait is the predicted wait for which the statement was refused.
	refusedWait Millis
}

// NewForwardResult returns the result of a request that was run: its reply, the
// floor of the session and the time since its last commit.
func NewForwardResult(reply Reply, floor Position, commitAge Millis) ForwardResult {
	return ForwardResult{reply: reply, floor: floor, commitAge: commitAge}
}

// NewForwardRefusal returns the result of a request that the proxy did not start.
func NewForwardRefusal(reason string) ForwardResult { return ForwardResult{refusal: reason} }

// WithRefusedWait returns the result of a statement that was refused for lack of capacity
// with the wait that was predicted for it.
func (result ForwardResult) WithRefusedWait(wait Millis) ForwardResult {
	result.refusedWait = wait
	return result
}

// RefusedWait returns the wait that was predicted for the statement if it was refused for
// lack of capacity; otherwise 0.
func (result ForwardResult) RefusedWait() Millis { return result.refusedWait }

// Reply returns the reply to the statement.
func (result ForwardResult) Reply() Reply { return result.reply }

// Floor covers the session's own commits.
func (result ForwardResult) Floor() Position { return result.floor }

// CommitAge returns the time since the session's last commit.
func (result ForwardResult) CommitAge() Millis { return result.commitAge }

// Refusal returns why the proxy did not start the request; empty if it did. After a
// refusal another proxy may run it.
func (result ForwardResult) Refusal() string { return result.refusal }

// PeerConn sends the requests of one session at a time to another proxy. It must be
// used by one goroutine only.
type PeerConn interface {
	// Exchange sends a request and waits for its result until the timeout. After an
	// error the request may have been run, and the connection can't be used again.
	Exchange(request ForwardRequest, timeout time.Duration) (ForwardResult, error)
	// Interrupt makes a waiting exchange fail immediately; any goroutine may call
	// it.
	Interrupt()
	// Release returns the connection to the relay. A broken one is closed, upon
	// which the other proxy rolls back the open transaction.
	Release(broken bool)
}

// Relay opens connections to other proxies.
type Relay interface {
	// Open returns an idle connection to a proxy, or a new one. An error proves
	// that nothing was sent.
	Open(peer PeerView, timeout time.Duration) (PeerConn, error)
	// CloseIdle closes the idle connections to a proxy.
	CloseIdle(peer PeerView)
	// Ping checks over a new connection whether the proxy at an address responds.
	Ping(ctx context.Context, address string) error
	// FetchChanges requests the changes after the cursor from the mirror of the
	// proxy at an address, which replies after the wait at the latest.
	FetchChanges(ctx context.Context, address string, cursor Cursor, wait Millis) (MirrorPage, error)
	// RequestTokens asks the allocator at an address for tokens. After an error the
	// allocator may have dealt some, which are lost.
	RequestTokens(ctx context.Context, address string, request TokenRequest) (TokenReply, error)
}

// PeerReachabilityChanged reports that a proxy responds again, or has stopped
// responding.
type PeerReachabilityChanged struct {
	peer      PeerView
	reachable bool
}

// NewPeerReachabilityChanged returns the event.
func NewPeerReachabilityChanged(peer PeerView, reachable bool) PeerReachabilityChanged {
	return PeerReachabilityChanged{peer: peer, reachable: reachable}
}

// Peer returns the proxy.
func (event PeerReachabilityChanged) Peer() PeerView { return event.peer }

// IsReachable reports whether it responds.
func (event PeerReachabilityChanged) IsReachable() bool { return event.reachable }

func (PeerReachabilityChanged) isEvent() {}
