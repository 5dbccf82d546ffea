package sessions

import (
	"sync/atomic"

	"github.com/ebonywood/ebonywood"
)

// This file bounds the memory that callers can make this process hold by settings and
// prepared statements, which live as long as their sessions.

const (
	// itemOverhead is added to the texts of each setting and prepared statement, in bytes.
	itemOverhead = 128
	// maxRetainedBytes is the maximum size of the settings, in bytes, that an idle connection
	// to a member keeps for the next session with the same ones.
	maxRetainedBytes = 64 << 10
	// unlimitedSessionMemory is what all sessions may hold in a process without a memory limit,
	// in bytes.
	unlimitedSessionMemory = 64 << 20
	bytesPerMB             = 1 << 20
)

// memorySettings is implemented by settings that hold the memory limit of the process in
// MB, 0 for none.
type memorySettings interface {
	MemoryMB() int64
}

// sessionMemory counts the bytes that all sessions of this process hold. The zero value
// allows none.
type sessionMemory struct {
	limit int64
	held  atomic.Int64
}

// newSessionMemory returns a count with the limit that follows from the settings.
func newSessionMemory(settings ebonywood.Settings) *sessionMemory {
	limit := int64(unlimitedSessionMemory)
	if memory, ok := settings.(memorySettings); ok && memory.MemoryMB() > 0 {
		limit = int64(settings.Limits().Share(ebonywood.LimitSessionMemory) * float64(memory.MemoryMB()*bytesPerMB))
	}
	return &sessionMemory{limit: limit}
}

// add changes the count, and reports whether that was possible: growth beyond the limit is
// not.
func (memory *sessionMemory) add(bytes int64) bool {
	if held := memory.held.Add(bytes); bytes > 0 && held > memory.limit {
		memory.held.Add(-bytes)
		return false
	}
	return true
}

// reserve accounts for the effect of a statement on what the session holds. If a limit
// would be exceeded, it changes nothing and returns the code and the message of the refusal:
// CodeTooLarge for that of the session, CodeBusy for that of the process, since another
// proxy may have room.
func (session *session) reserve(statement ebonywood.Statement) (code ebonywood.Code, message string) {
	growth := session.growth(statement)
	if growth == 0 {
		return ebonywood.CodeDone, ""
	}
	if growth > 0 && session.heldBytes+growth > int64(session.edge.limits.Count(ebonywood.LimitSessionBytes)) {
		return ebonywood.CodeTooLarge, "the settings and prepared statements of the session are too large"
	}
	if !session.edge.memory.add(growth) {
		session.edge.counters.count("sessionMemory", "refused")
		return ebonywood.CodeBusy, "the settings and prepared statements of all sessions take too much memory"
	}
	session.heldBytes += growth
	return ebonywood.CodeDone, ""
}

// growth returns by how many bytes a statement changes what the session holds.
func (session *session) growth(statement ebonywood.Statement) int64 {
	name, value := statement.Name(), statement.Value()
	switch statement.Verb() {
	case ebonywood.VerbSet:
		previous, found := session.settings[name]
		return itemSize(name, value, true) - itemSize(name, previous, found)
	case ebonywood.VerbPrepare, ebonywood.VerbDeallocate:
		previous, found := session.statements[name]
		size := itemSize(name, value, statement.Verb() == ebonywood.VerbPrepare)
		if found {
			size -= itemSize(name, previous.definition, true)
		}
		return size
	default:
		return 0
	}
}

// itemSize returns the size of a setting or prepared statement, 0 if there is none.
func itemSize(name, value string, found bool) int64 {
	if !found {
		return 0
	}
	return int64(len(name) + len(value) + itemOverhead)
}

// releaseMemory ends the account of a session that is closed.
func (session *session) releaseMemory() {
	session.edge.memory.add(-session.heldBytes)
	session.heldBytes = 0
}

// forgetLargeSettings drops large settings that the connection holds for the next session.
// The connection is then reset before its next use.
func (conn *pooledConn) forgetLargeSettings() {
	size := int64(0)
	for name, value := range conn.settings {
		size += itemSize(name, value, true)
	}
	if size > maxRetainedBytes {
		clear(conn.settings)
		conn.stateUnknown = true
	}
}
