package sessions

import (
	"github.com/ebonywood/ebonywood"
)

// This file applies the object set's workspaces to sessions: whether a caller's key permits
// its session, and what happens to the sessions of a withdrawn key.

const (
	keyDeniedMessage    = "no workspace of the configuration has the caller's key"
	keyWithdrawnMessage = "the key was withdrawn and the transaction was rolled back"
)

// access returns the workspace of the session's caller, nil if it has none, and whether the
// caller may use the route. A forwarded session was admitted by the proxy to which its caller
// is connected, whose object set may be newer.
func (session *session) access(set *ebonywood.ObjectSet, route *ebonywood.Route) (*ebonywood.Workspace, bool) {
	if !session.forwarded {
		return set.AccessByKey(route, session.key)
	}
	if session.workspaceName == "" {
		return nil, true
	}
	if workspace, found := set.Workspace(session.workspaceName); found {
		return workspace, true
	}
	return ebonywood.NewWorkspace(session.workspaceName, nil, nil, route.Priority()), true
}

// IsAllowed reports whether the object set in force still permits the session. A database
// that no route names any more does not end a session: each statement is refused.
func (session *session) IsAllowed() bool {
	set := session.edge.port.Snapshot().ObjectSet()
	if set == nil || !set.RequiresWorkspace() {
		return true
	}
	route, found := set.Route("", session.database)
	if !found {
		return true
	}
	_, allowed := session.access(set, route)
	return allowed
}

// endIfWithdrawn rolls back the open transaction of a session whose key was withdrawn, so that
// it holds no connection while its caller rests. A session whose mutex is held is running a
// statement and is skipped; its next statement is refused.
func (session *session) endIfWithdrawn() {
	if session.IsAllowed() || !session.mutex.TryLock() {
		return
	}
	defer session.mutex.Unlock()
	if tx := session.tx; tx == nil || tx.failed {
		return
	}
	session.rollBackWithdrawn()
	session.tx.expired, session.tx.expiredMessage = true, keyWithdrawnMessage
}

// rollBackWithdrawn rolls back the open transaction because the caller's key was withdrawn.
func (session *session) rollBackWithdrawn() {
	session.edge.counters.count("transactionsRolledBack", "keyWithdrawn")
	session.edge.counters.logLine("keyWithdrawn", "database", session.database)
	session.rollBack()
	session.markFailed()
}
