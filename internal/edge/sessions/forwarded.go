package sessions

import "github.com/ebonywood/ebonywood"

// This file implements the serving side of forwarding: the session's caller is connected
// to another proxy, and the session's state arrives with each piece of work.

// OpenForwarded opens a session for work that another proxy forwards.
func (edge *Edge) OpenForwarded(work ebonywood.ForwardRequest) ebonywood.ForwardedSession {
	return &forwarded{session: &session{edge: edge, database: work.State().Database(), forwarded: true}}
}

// forwarded is the part of another proxy's session that runs here.
type forwarded struct {
	session *session
}

// Run loads the session state that came with the work, runs its statement and returns
// the outcome with the new state. If the work begins a transaction, it is opened first.
func (forwarded *forwarded) Run(work ebonywood.ForwardRequest) ebonywood.ForwardResult {
	session := forwarded.session
	reply, begun := forwarded.begin(work)
	if begun {
		session.loadState(work)
		reply = session.Handle(work.Statement())
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return ebonywood.NewForwardResult(reply, session.floor, session.edge.now()-session.wroteAt)
}

// begin opens the transaction that the work begins, if any, and reports whether the
// statement may be run. If not, the reply carries the failure.
func (forwarded *forwarded) begin(work ebonywood.ForwardRequest) (ebonywood.Reply, bool) {
	if work.Begin() == ebonywood.VerbOther {
		return ebonywood.Reply{}, true
	}
	session := forwarded.session
	session.mutex.Lock()
	defer session.mutex.Unlock()
	reply := session.begin(ebonywood.NewInternalStatement(work.Begin(), "", ""))
	if reply.Code() != ebonywood.CodeDone {
		return failure(ebonywood.CodeAborted, reply.Message()), false
	}
	session.tx.began -= work.TransactionAge()
	return reply, true
}

// loadState replaces the session's state by the one that came with the work.
func (session *session) loadState(work ebonywood.ForwardRequest) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	state := work.State()
	session.settings = state.Settings()
	session.floor = state.Floor()
	session.wroteAt = session.edge.now() - state.CommitAge()
	session.statements = nil
	if work.Definition() != "" {
		session.statements = map[string]*preparedStatement{work.Statement().Name(): newPreparedStatement(work.Definition())}
	}
}

// IsIdle reports whether no transaction is open.
func (forwarded *forwarded) IsIdle() bool { return forwarded.session.IsIdle() }

// Abandon rolls back the open transaction, if any.
func (forwarded *forwarded) Abandon() { forwarded.session.Abandon() }
