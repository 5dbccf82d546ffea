package sessions

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// leaving lets the process of the port end after a span.
func leaving(port *port, span ebonywood.Millis) {
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(port.snapshot.ObjectSet())
	draft.SetOwners(port.snapshot.Owners())
	view, _ := port.snapshot.View(db)
	draft.AddView(view)
	draft.SetDraining(port.clock.Now() + span)
	port.snapshot = draft.Publish()
}

// TestLateWorkIsRefused lets callers ask a process that can't finish what they want.
func TestLateWorkIsRefused(t *testing.T) {
	port := newPort()
	edge := New(port)
	session, code := edge.Open("shop")
	require.Equal(t, ebonywood.CodeDone, code)
	leaving(port, lateSpan+500)
	require.Equal(t, ebonywood.CodeDone, session.Handle(write).Code(), "there is time")
	leaving(port, lateSpan-100)
	require.Equal(t, ebonywood.CodeBusy, session.Handle(write).Code())
	begin := ebonywood.NewStatement("2", ebonywood.VerbBegin, "BEGIN", "", "")
	require.Equal(t, ebonywood.CodeBusy, session.Handle(begin).Code())
	require.True(t, session.IsIdle())
	_, code = edge.Open("shop")
	require.Equal(t, ebonywood.CodeBusy, code)
	require.Len(t, port.relay.works, 1, "nothing else was sent")
}

// TestAnswersPrecedeTheEnd sends a transaction's write that stays without an answer:
// its caller is told before the process ends.
func TestAnswersPrecedeTheEnd(t *testing.T) {
	port := newPort()
	port.relay.fates["near"] = []fate{hanging}
	session, _ := New(port).Open("shop")
	begin := ebonywood.NewStatement("1", ebonywood.VerbBegin, "BEGIN", "", "")
	require.Equal(t, ebonywood.CodeDone, session.Handle(begin).Code())
	leaving(port, 200)
	session.Handle(write)
	require.Len(t, port.relay.works, 1)
	require.LessOrEqual(t, port.clock.Now(), port.snapshot.DrainDeadline()+100)
}
