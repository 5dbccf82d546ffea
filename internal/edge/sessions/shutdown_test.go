package sessions

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// scheduleEnd publishes a snapshot in which the process ends after the remaining time.
func scheduleEnd(port *port, remaining ebonywood.Millis) {
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(port.snapshot.ObjectSet())
	draft.SetOwners(port.snapshot.Owners())
	view, _ := port.snapshot.View(db)
	draft.AddView(view)
	draft.SetDraining(port.clock.Now() + remaining)
	port.snapshot = draft.Publish()
}

// TestLateWorkIsRefused checks that a process refuses new statements, transactions and
// sessions once it ends too soon to finish them.
func TestLateWorkIsRefused(t *testing.T) {
	port := newPort()
	edge := New(port)
	session, code := edge.Open("shop", ebonywood.KeyDigest{})
	require.Equal(t, ebonywood.CodeDone, code)
	scheduleEnd(port, shutdownMargin+500)
	require.Equal(t, ebonywood.CodeDone, session.Handle(write).Code(), "enough time is left")
	scheduleEnd(port, shutdownMargin-100)
	require.Equal(t, ebonywood.CodeBusy, session.Handle(write).Code())
	begin := ebonywood.NewStatement("2", ebonywood.VerbBegin, "BEGIN", "", "")
	require.Equal(t, ebonywood.CodeBusy, session.Handle(begin).Code())
	require.True(t, session.IsIdle())
	_, code = edge.Open("shop", ebonywood.KeyDigest{})
	require.Equal(t, ebonywood.CodeBusy, code)
	require.Len(t, port.relay.requests, 1, "nothing else was sent")
}

// TestReplyPrecedesShutdown sends a transaction's write to a proxy that does not reply, and
// checks that the caller gets a reply no later than 100 ms after the scheduled end.
func TestReplyPrecedesShutdown(t *testing.T) {
	port := newPort()
	port.relay.behaviours["near"] = []behaviour{hangs}
	session, _ := New(port).Open("shop", ebonywood.KeyDigest{})
	begin := ebonywood.NewStatement("1", ebonywood.VerbBegin, "BEGIN", "", "")
	require.Equal(t, ebonywood.CodeDone, session.Handle(begin).Code())
	scheduleEnd(port, 200)
	session.Handle(write)
	require.Len(t, port.relay.requests, 1)
	require.LessOrEqual(t, port.clock.Now(), port.snapshot.DrainDeadline()+100)
}
