package sessions

import (
	"time"

	"github.com/ebonywood/ebonywood"
)

// maxPreparedStatements is the number of prepared statements at which a connection is
// reset before its next use.
const maxPreparedStatements = 128

var (
	beginStatement     = ebonywood.NewInternalStatement(ebonywood.VerbBegin, "", "")
	beginReadStatement = ebonywood.NewInternalStatement(ebonywood.VerbBeginRead, "", "")
	rollbackStatement  = ebonywood.NewInternalStatement(ebonywood.VerbRollback, "", "")
	resetStatement     = ebonywood.NewInternalStatement(ebonywood.VerbReset, "", "")
)

// setupFor returns the statements that bring the connection into the session's state,
// and records their effect. prepared is the prepared statement that is needed, nil if
// none. Within a transaction a session's settings only grow, so the connection is not
// reset there.
func (conn *pooledConn) setupFor(session *session, prepared *preparedStatement) []ebonywood.Statement {
	var statements []ebonywood.Statement
	if session.tx == nil || session.tx.lease == nil {
		statements = conn.withReset(session, statements)
	}
	for name, value := range session.settings {
		if set, found := conn.settings[name]; found && set == value {
			continue
		}
		statements = append(statements, ebonywood.NewInternalStatement(ebonywood.VerbSet, name, value))
		conn.settings[name] = value
	}
	if prepared == nil {
		return statements
	}
	if _, found := conn.prepared[prepared.name]; !found {
		statements = append(statements, ebonywood.NewInternalStatement(ebonywood.VerbPrepare, prepared.name, prepared.definition))
		conn.prepared[prepared.name] = struct{}{}
	}
	return statements
}

// withReset appends a reset if the connection needs one, and records its effect.
func (conn *pooledConn) withReset(session *session, statements []ebonywood.Statement) []ebonywood.Statement {
	if !conn.needsReset(session) {
		return statements
	}
	clear(conn.settings)
	clear(conn.prepared)
	conn.stateUnknown = false
	return append(statements, resetStatement)
}

// needsReset reports whether the connection's state is unknown, it holds too many
// prepared statements, or it has a setting that the session does not have.
func (conn *pooledConn) needsReset(session *session) bool {
	if conn.stateUnknown || len(conn.prepared) >= maxPreparedStatements {
		return true
	}
	for name := range conn.settings {
		if _, found := session.settings[name]; !found {
			return true
		}
	}
	return false
}

// runRepeatable is like run, for statements that may be repeated at another member: the
// exchange is interrupted as soon as this member is found unreachable.
func (conn *pooledConn) runRepeatable(
	setup []ebonywood.Statement, timeout time.Duration, statements ...ebonywood.Statement,
) ([]ebonywood.Reply, error) {
	conn.setRepeatable(true)
	defer conn.setRepeatable(false)
	return conn.run(setup, timeout, statements...)
}

func (conn *pooledConn) setRepeatable(repeatable bool) {
	conn.pool.mutex.Lock()
	defer conn.pool.mutex.Unlock()
	if repeatable {
		conn.pool.interruptible[conn] = struct{}{}
	} else {
		delete(conn.pool.interruptible, conn)
	}
}

// run sends the setup and the statements in one write and returns the replies to the
// statements. If a setup statement fails, the connection's state counts as unknown. After
// an error the connection can't be used any more.
func (conn *pooledConn) run(
	setup []ebonywood.Statement, timeout time.Duration, statements ...ebonywood.Statement,
) ([]ebonywood.Reply, error) {
	replies, err := conn.memberConn.Exchange(append(setup, statements...), timeout)
	if count := len(replies); count > 0 {
		conn.pool.recordPosition(replies[count-1].Position())
	}
	for _, reply := range replies[:min(len(setup), len(replies))] {
		if reply.Code() != ebonywood.CodeDone {
			conn.stateUnknown = true
		}
	}
	if err != nil {
		return replies[min(len(setup), len(replies)):], err
	}
	return replies[len(setup):], nil
}
