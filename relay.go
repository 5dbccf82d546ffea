package ebonywood

import (
	"context"
	"maps"
	"time"
)

// SessionState is what a session holds, as data: another proxy can run a
// statement or a transaction of the session with it.
type SessionState struct {
	database   string
	generation uint64
	settings   map[string]string
	floor      Position
	wroteAge   Millis
}

// NewSessionState makes the state of a session with a database. generation is the
// object set that the session was routed by, floor covers the session's own
// commits, and wroteAge is the time since the last of them.
func NewSessionState(
	database string, generation uint64, settings map[string]string, floor Position, wroteAge Millis,
) SessionState {
	return SessionState{
		database: database, generation: generation, settings: maps.Clone(settings), floor: floor, wroteAge: wroteAge,
	}
}

// Database is what the session was opened with.
func (state SessionState) Database() string { return state.database }

// Generation is the object set that the session was routed by.
func (state SessionState) Generation() uint64 { return state.generation }

// Settings are the session's settings; not to be changed.
func (state SessionState) Settings() map[string]string { return state.settings }

// Floor covers the session's own commits.
func (state SessionState) Floor() Position { return state.floor }

// WroteAge is the time since the session's last commit.
func (state SessionState) CommitAge() Millis { return state.wroteAge }

// Work is one statement of a session that another proxy is to run.
type ForwardRequest struct {
	state      SessionState
	statement  Statement
	definition string
	begin      Verb
	beganAge   Millis
}

// NewWork makes a piece of work. definition is that of the prepared statement
// which an execution names.
func NewForwardRequest(state SessionState, statement Statement, definition string) ForwardRequest {
	return ForwardRequest{state: state, statement: statement, definition: definition}
}

// InTransaction returns the work as the first of a transaction that began with
// VerbBegin or VerbBeginRead so long ago.
func (work ForwardRequest) WithBegin(begin Verb, beganAge Millis) ForwardRequest {
	work.begin, work.beganAge = begin, beganAge
	return work
}

// State is what the session holds.
func (work ForwardRequest) State() SessionState { return work.state }

// Statement is what is to be run.
func (work ForwardRequest) Statement() Statement { return work.statement }

// Definition is that of the prepared statement which an execution names.
func (work ForwardRequest) Definition() string { return work.definition }

// Begin is the verb of the transaction that the work begins; VerbOther if it
// begins none.
func (work ForwardRequest) Begin() Verb { return work.begin }

// BeganAge is the time since that transaction began.
func (work ForwardRequest) TransactionAge() Millis { return work.beganAge }

// WorkDone is the outcome of a piece of work at another proxy.
type ForwardResult struct {
	reply    Reply
	floor    Position
	wroteAge Millis
	refused  string
}

// NewWorkDone makes the outcome of work that was run: its reply, and the floor of
// the session with the time since its last commit.
func NewForwardResult(reply Reply, floor Position, wroteAge Millis) ForwardResult {
	return ForwardResult{reply: reply, floor: floor, wroteAge: wroteAge}
}

// NewWorkRefused makes the outcome of work that the proxy did not begin.
func NewForwardRefusal(why string) ForwardResult { return ForwardResult{refused: why} }

// Reply is the answer to the statement.
func (done ForwardResult) Reply() Reply { return done.reply }

// Floor covers the session's own commits.
func (done ForwardResult) Floor() Position { return done.floor }

// WroteAge is the time since the session's last commit.
func (done ForwardResult) CommitAge() Millis { return done.wroteAge }

// Refused says why the proxy did not begin the work; empty if it did. Another
// proxy may run it.
func (done ForwardResult) Refusal() string { return done.refused }

// Channel carries the work of one session at a time to another proxy. It belongs
// to one goroutine.
type PeerConn interface {
	// Exchange sends a piece of work and waits for its outcome until the limit
	// passes. After an error the work may have been run, and the channel is of no
	// more use.
	Exchange(work ForwardRequest, limit time.Duration) (ForwardResult, error)
	// Interrupt makes an exchange that waits fail at once; any goroutine may call it.
	Interrupt()
	// Release gives the channel back. One that is broken is closed, upon which the
	// other proxy rolls back what is open.
	Release(broken bool)
}

// Relay opens channels to other proxies.
type Relay interface {
	// Open takes a channel to a proxy. An error proves that nothing was sent.
	Open(peer PeerView, limit time.Duration) (PeerConn, error)
	// Forget closes the channels to a proxy that lie idle.
	CloseIdle(peer PeerView)
	// Reach asks the proxy at an address over a fresh connection whether it lives.
	Ping(ctx context.Context, address string) error
	// Follow asks the proxy at an address for what has changed in its mirror of the
	// directory since the cursor; it answers at the latest when the wait is over.
	FetchChanges(ctx context.Context, address string, cursor Cursor, wait Millis) (MirrorPage, error)
}

// PeerReached tells that a proxy answers again, or not any more.
type PeerReachabilityChanged struct {
	peer      PeerView
	reachable bool
}

// NewPeerReached makes the event.
func NewPeerReachabilityChanged(peer PeerView, reachable bool) PeerReachabilityChanged {
	return PeerReachabilityChanged{peer: peer, reachable: reachable}
}

// Peer is the proxy.
func (event PeerReachabilityChanged) Peer() PeerView { return event.peer }

// IsReachable reports whether it answers.
func (event PeerReachabilityChanged) IsReachable() bool { return event.reachable }

func (PeerReachabilityChanged) isEvent() {}
