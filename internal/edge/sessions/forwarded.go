package sessions

import (
	"context"

	"github.com/ebonywood/ebonywood"
)

// This file implements the receiving side of forwarding: the session's caller is connected
// to another proxy, and the session's state arrives with each request.

// OpenForwarded opens a session for the requests of a session at another proxy, which
// waits for them until ctx ends.
func (edge *Edge) OpenForwarded(ctx context.Context, request ebonywood.ForwardRequest) ebonywood.ForwardedSession {
	return &forwardedSession{session: &session{
		edge: edge, database: request.State().Database(), workspaceName: request.State().Workspace(), forwarded: true, awaited: ctx,
	}}
}

// forwardedSession is the part of another proxy's session that runs here.
type forwardedSession struct {
	session *session
}

// Run loads the session state of the request, runs its statement and returns the reply
// with the new state. If the request begins a transaction, that is opened first.
func (forwarded *forwardedSession) Run(request ebonywood.ForwardRequest) ebonywood.ForwardResult {
	session := forwarded.session
	// Loaded first, so that the result has the session's floor even if nothing is run.
	session.loadState(request)
	reply, begun := forwarded.begin(request)
	if begun {
		reply = session.Handle(request.Statement())
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return ebonywood.NewForwardResult(reply, session.floor, session.edge.now()-session.lastCommitAt).
		WithRefusedWait(forwarded.refusedWait(reply))
}

// begin opens the transaction that the request begins, if any, and reports whether the
// statement may be run. If not, the reply states why.
func (forwarded *forwardedSession) begin(request ebonywood.ForwardRequest) (ebonywood.Reply, bool) {
	if request.Begin() == ebonywood.VerbOther {
		return ebonywood.Reply{}, true
	}
	session := forwarded.session
	session.mutex.Lock()
	defer session.mutex.Unlock()
	reply := session.begin(ebonywood.NewInternalStatement(request.Begin(), "", ""))
	if reply.Code() != ebonywood.CodeDone {
		return failure(ebonywood.CodeAborted, reply.Message()), false
	}
	session.tx.startedAt -= request.TransactionAge()
	return reply, true
}

// loadState replaces the session's state by that of the request.
func (session *session) loadState(request ebonywood.ForwardRequest) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	state := request.State()
	session.settings = state.Settings()
	session.floor = state.Floor()
	session.lastCommitAt = session.edge.now() - state.CommitAge()
	session.statements = nil
	if request.Definition() != "" {
		session.statements = map[string]*preparedStatement{request.Statement().Name(): newPreparedStatement(request.Definition())}
	}
}

// IsIdle reports whether no transaction is open.
func (forwarded *forwardedSession) IsIdle() bool { return forwarded.session.IsIdle() }

// Close rolls back the open transaction, if any.
func (forwarded *forwardedSession) Close() { forwarded.session.Close() }
