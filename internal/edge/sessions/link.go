package sessions

import (
	"time"

	"github.com/ebonywood/ebonywood"
)

// namesLimit bounds the prepared names that one connection holds.
const namesLimit = 128

var (
	beginning = ebonywood.NewInternalStatement(ebonywood.VerbBegin, "", "")
	reading   = ebonywood.NewInternalStatement(ebonywood.VerbBeginRead, "", "")
	rollback  = ebonywood.NewInternalStatement(ebonywood.VerbRollback, "", "")
	resetting = ebonywood.NewInternalStatement(ebonywood.VerbReset, "", "")
)

// ahead returns what the connection must be told before it works for the session,
// and takes note of it. shared is the prepared statement that is needed, if any.
// Within a transaction a session's settings only grow, so nothing is reset there.
func (each *link) ahead(session *session, shared *preparation) []ebonywood.Statement {
	var statements []ebonywood.Statement
	if session.tx == nil || session.tx.lease == nil {
		statements = each.cleared(session, statements)
	}
	for name, value := range session.settings {
		if set, found := each.settings[name]; found && set == value {
			continue
		}
		statements = append(statements, ebonywood.NewInternalStatement(ebonywood.VerbSet, name, value))
		each.settings[name] = value
	}
	if shared == nil {
		return statements
	}
	if _, known := each.names[shared.name]; !known {
		statements = append(statements, ebonywood.NewInternalStatement(ebonywood.VerbPrepare, shared.name, shared.definition))
		each.names[shared.name] = struct{}{}
	}
	return statements
}

// cleared adds a reset if the connection holds what the session has not set.
func (each *link) cleared(session *session, statements []ebonywood.Statement) []ebonywood.Statement {
	if !each.mustReset(session) {
		return statements
	}
	clear(each.settings)
	clear(each.names)
	each.unclear = false
	return append(statements, resetting)
}

// mustReset reports whether the connection holds something that the session has
// not set.
func (each *link) mustReset(session *session) bool {
	if each.unclear || len(each.names) >= namesLimit {
		return true
	}
	for name := range each.settings {
		if _, found := session.settings[name]; !found {
			return true
		}
	}
	return false
}

// runRepeatable is run for what may be given up as soon as the member is known to
// be out of reach.
func (each *link) runRepeatable(
	ahead []ebonywood.Statement, limit time.Duration, statements ...ebonywood.Statement,
) ([]ebonywood.Reply, error) {
	each.setRepeatable(true)
	defer each.setRepeatable(false)
	return each.run(ahead, limit, statements...)
}

func (each *link) setRepeatable(repeatable bool) {
	each.pool.mutex.Lock()
	defer each.pool.mutex.Unlock()
	if repeatable {
		each.pool.working[each] = struct{}{}
	} else {
		delete(each.pool.working, each)
	}
}

// run sends what has to go ahead and the statements behind it in one write, and
// returns the replies of the latter. After an error the connection is of no use.
func (each *link) run(
	ahead []ebonywood.Statement, limit time.Duration, statements ...ebonywood.Statement,
) ([]ebonywood.Reply, error) {
	replies, err := each.conn.Exchange(append(ahead, statements...), limit)
	if count := len(replies); count > 0 {
		each.pool.learnPosition(replies[count-1].Position())
	}
	for _, reply := range replies[:min(len(ahead), len(replies))] {
		if reply.Code() != ebonywood.CodeDone {
			each.unclear = true
		}
	}
	if err != nil {
		return replies[min(len(ahead), len(replies)):], err
	}
	return replies[len(ahead):], nil
}
