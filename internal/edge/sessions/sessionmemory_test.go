package sessions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonywood/ebonywood"
)

func set(name, value string) ebonywood.Statement {
	return ebonywood.NewStatement("1", ebonywood.VerbSet, "SET "+name+" "+value, name, value)
}

// TestSessionsShareTheirMemory guards against a process that callers take past its memory with
// settings: what is too much is refused, other sessions go on, and a closed session makes
// room.
func TestSessionsShareTheirMemory(t *testing.T) {
	edge := New(newServingPort())
	edge.memory = &sessionMemory{limit: 3 << 20}
	open := func() ebonywood.Session {
		session, code := edge.Open("shop", ebonywood.KeyDigest{})
		require.Equal(t, ebonywood.CodeDone, code)
		return session
	}
	value := strings.Repeat("x", 1<<20-1000)
	large, other := open(), open()
	require.Equal(t, ebonywood.CodeDone, large.Handle(set("a", value)).Code())
	require.Equal(t, ebonywood.CodeDone, large.Handle(set("a", value)).Code(), "replaced")
	require.Equal(t, ebonywood.CodeDone, large.Handle(set("b", value)).Code())
	require.Equal(t, ebonywood.CodeTooLarge, large.Handle(set("c", value)).Code())
	require.Equal(t, ebonywood.CodeDone, other.Handle(set("a", value)).Code())
	require.Equal(t, ebonywood.CodeBusy, other.Handle(set("b", value)).Code())
	require.Equal(t, ebonywood.CodeDone, open().Handle(set("zone", "a")).Code())
	large.Close()
	require.Equal(t, ebonywood.CodeDone, other.Handle(set("b", value)).Code())
}

// TestSessionMemoryIsCountedExactly checks, over any sequence of statements, that the count is
// that of what the sessions hold, and 0 once all are closed.
func TestSessionMemoryIsCountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edge := New(newServingPort())
		edge.memory.limit = 2000
		sessions := []*session{{edge: edge, database: "shop"}, {edge: edge, database: "shop"}}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			session := sessions[rapid.IntRange(0, 1).Draw(t, "session")]
			verb := rapid.SampledFrom([]ebonywood.Verb{ebonywood.VerbSet, ebonywood.VerbPrepare, ebonywood.VerbDeallocate}).Draw(t, "verb")
			name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "name"))
			value := strings.Repeat("v", rapid.IntRange(0, 500).Draw(t, "size"))
			session.Handle(ebonywood.NewStatement("1", verb, "", name, value))
			held := int64(0)
			for _, session := range sessions {
				for name, value := range session.settings {
					held += itemSize(name, value, true)
				}
				for name, statement := range session.statements {
					held += itemSize(name, statement.definition, true)
				}
			}
			require.Equal(t, held, edge.memory.held.Load())
			require.LessOrEqual(t, held, edge.memory.limit)
		}
		for _, session := range sessions {
			session.Close()
		}
		require.Zero(t, edge.memory.held.Load())
	})
}

// TestIdleConnectionsForgetLargeSettings checks that a connection keeps no large settings for
// a session that may be gone, and is reset before its next use.
func TestIdleConnectionsForgetLargeSettings(t *testing.T) {
	conn := &pooledConn{settings: map[string]string{"a": "small"}}
	conn.forgetLargeSettings()
	require.Len(t, conn.settings, 1)
	require.False(t, conn.stateUnknown)
	conn.settings["b"] = strings.Repeat("x", maxRetainedBytes)
	conn.forgetLargeSettings()
	require.Empty(t, conn.settings)
	require.True(t, conn.needsReset(&session{}))
}
