package sessions

import "github.com/ebonywood/ebonywood"

// The serving side of forwarding: the session's caller is at another proxy, and what
// the session holds comes with each piece of work.

// OpenForwarded begins to run the work of another proxy's session.
func (edge *Edge) OpenForwarded(work ebonywood.ForwardRequest) ebonywood.ForwardedSession {
	return &forwarded{session: &session{edge: edge, database: work.State().Database(), forwarded: true}}
}

// forwarded is the part of another proxy's session that runs here.
type forwarded struct {
	session *session
}

// Run runs one piece of work.
func (forwarded *forwarded) Run(work ebonywood.ForwardRequest) ebonywood.ForwardResult {
	session := forwarded.session
	reply, begun := forwarded.begin(work)
	if begun {
		session.adopt(work)
		reply = session.Handle(work.Statement())
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return ebonywood.NewForwardResult(reply, session.floor, session.edge.now()-session.wroteAt)
}

// begin opens the transaction that the work begins, and reports whether the
// statement may be run.
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

// adopt takes the state that came with the work.
func (session *session) adopt(work ebonywood.ForwardRequest) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	state := work.State()
	session.settings = state.Settings()
	session.floor = state.Floor()
	session.wroteAt = session.edge.now() - state.CommitAge()
	session.statements = nil
	if work.Definition() != "" {
		session.statements = map[string]*preparation{work.Statement().Name(): newPreparation(work.Definition())}
	}
}

// IsIdle reports whether no transaction is open.
func (forwarded *forwarded) IsIdle() bool { return forwarded.session.IsIdle() }

// Abandon rolls back what is open.
func (forwarded *forwarded) Abandon() { forwarded.session.Abandon() }
