package relay

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestPagesSurviveTheWire, short and long values alike.
func TestPagesSurviveTheWire(t *testing.T) {
	long := bytes.Repeat([]byte("route "), 100_000)
	page := ebonywood.NewMirrorPage(ebonywood.NewCursor("e", 7), true, []ebonywood.Item{
		ebonywood.NewItem("short", []byte("s"), 1), ebonywood.NewItem("long", long, 2), ebonywood.NewDeletedItem("gone", 3),
	}, 9).WithUnchanged([]ebonywood.Item{ebonywood.NewItem("kept", nil, 4)}).WithRevision(11)
	var packer packer
	for range 2 {
		text, err := wire.Marshal(packer.encodePage(page))
		require.NoError(t, err)
		require.Less(t, len(text), len(long)/10)
		var message pageMessage
		require.NoError(t, wire.Unmarshal(text, &message))
		decoded, err := message.decode()
		require.NoError(t, err)
		require.Equal(t, page, decoded)
	}
}

// TestWorkSurvivesTheWire, with all that belongs to it.
func TestWorkSurvivesTheWire(t *testing.T) {
	floor := ebonywood.NewPosition(3, 9)
	state := ebonywood.NewSessionState("shop", 5, map[string]string{"zone": "bole"}, floor, 70)
	statement := ebonywood.NewStatement("id", ebonywood.VerbExecute, "EXEC s1 a b", "s1", "a b")
	work := ebonywood.NewForwardRequest(state, statement, "WRITE q1").WithBegin(ebonywood.VerbBeginRead, 12)
	text, err := wire.Marshal(encodeWork(work))
	require.NoError(t, err)
	var message workMessage
	require.NoError(t, wire.Unmarshal(text, &message))
	require.Equal(t, work, message.decode())
	for _, done := range []ebonywood.ForwardResult{
		ebonywood.NewForwardRefusal("leaving"),
		ebonywood.NewForwardResult(ebonywood.NewReply([]string{"row"}, "signed", ebonywood.TxOpen, floor), floor, 3),
		ebonywood.NewForwardResult(ebonywood.NewFailure(ebonywood.CodeLagging, "why", ebonywood.TxFailed, floor), floor, 3),
	} {
		text, err := wire.Marshal(encodeDone(done))
		require.NoError(t, err)
		var message doneMessage
		require.NoError(t, wire.Unmarshal(text, &message))
		require.Equal(t, done, message.decode())
	}
}

// FuzzMessages decodes arbitrary bytes as each message.
func FuzzMessages(f *testing.F) {
	text, err := wire.Marshal(encodeWork(ebonywood.NewForwardRequest(ebonywood.NewSessionState("d", 1, nil, ebonywood.Position{}, 0), ebonywood.Statement{}, "")))
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		var work workMessage
		if wire.Unmarshal(text, &work) == nil {
			_ = work.decode()
		}
		var done doneMessage
		if wire.Unmarshal(text, &done) == nil {
			_ = done.decode()
		}
		var page pageMessage
		if wire.Unmarshal(text, &page) == nil {
			_, _ = page.decode()
		}
		_, _ = unpack(text)
	})
}
