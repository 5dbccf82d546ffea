package relay

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestPageRoundTrip checks that pages with short and with compressed values are decoded
// as they were encoded, and that long values are compressed. The second pass uses the
// compressor's cached value.
func TestPageRoundTrip(t *testing.T) {
	long := bytes.Repeat([]byte("route "), 100_000)
	page := ebonywood.NewMirrorPage(ebonywood.NewCursor("e", 7), true, []ebonywood.Item{
		ebonywood.NewItem("short", []byte("s"), ebonywood.NewRevision(1, 1)), ebonywood.NewItem("long", long, ebonywood.NewRevision(1, 2)), ebonywood.NewDeletedItem("gone", ebonywood.NewRevision(1, 3)),
	}, 9).WithUnchanged([]ebonywood.Item{ebonywood.NewItem("kept", nil, ebonywood.NewRevision(1, 4))}).WithRevision(ebonywood.NewRevision(1, 11))
	var compressor compressor
	for range 2 {
		data, err := wire.Marshal(compressor.encodePage(page))
		require.NoError(t, err)
		require.Less(t, len(data), len(long)/10)
		var message pageMessage
		require.NoError(t, wire.Unmarshal(data, &message))
		decoded, err := message.decode()
		require.NoError(t, err)
		require.Equal(t, page, decoded)
	}
}

// TestForwardRoundTrip checks that forwarded requests and their results are decoded
// with all fields.
func TestForwardRoundTrip(t *testing.T) {
	floor := ebonywood.NewPosition(3, 9)
	state := ebonywood.NewSessionState("shop", 5, map[string]string{"zone": "bole"}, floor, 70)
	statement := ebonywood.NewStatement("id", ebonywood.VerbExecute, "EXEC s1 a b", "s1", "a b")
	request := ebonywood.NewForwardRequest(state, statement, "WRITE q1").WithBegin(ebonywood.VerbBeginRead, 12)
	data, err := wire.Marshal(encodeRequest(request))
	require.NoError(t, err)
	var message forwardMessage
	require.NoError(t, wire.Unmarshal(data, &message))
	require.Equal(t, request, message.decode())
	for _, result := range []ebonywood.ForwardResult{
		ebonywood.NewForwardRefusal("leaving"),
		ebonywood.NewForwardResult(ebonywood.NewReply([]string{"row"}, "signed", ebonywood.TxOpen, floor), floor, 3),
		ebonywood.NewForwardResult(ebonywood.NewFailure(ebonywood.CodeLagging, "why", ebonywood.TxFailed, floor), floor, 3),
		ebonywood.NewForwardResult(ebonywood.NewFailure(ebonywood.CodeBusy, "why", ebonywood.TxIdle, floor), floor, 3).WithRefusedWait(250),
	} {
		data, err := wire.Marshal(encodeResult(result))
		require.NoError(t, err)
		var message resultMessage
		require.NoError(t, wire.Unmarshal(data, &message))
		require.Equal(t, result, message.decode())
	}
}

// TestTokenRoundTrip checks that requests for tokens and their replies are decoded with all
// fields.
func TestTokenRoundTrip(t *testing.T) {
	needs := []ebonywood.TokenNeed{ebonywood.NewTokenNeed("w", 3, 9).WithUrgent(2), ebonywood.NewTokenNeed("v", 0, 0)}
	request := ebonywood.NewTokenRequest("p", 2, "nonce", needs).WithSequence("run", 7)
	data, err := wire.Marshal(encodeTokenRequest(request))
	require.NoError(t, err)
	var message tokensMessage
	require.NoError(t, wire.Unmarshal(data, &message))
	require.Equal(t, request, message.decode())
	for _, reply := range []ebonywood.TokenReply{
		ebonywood.NewTokenRefusal("no"), ebonywood.NewTokenReply([]ebonywood.TokenGrant{ebonywood.NewTokenGrant("w", 4, 120)}),
	} {
		data, err := wire.Marshal(encodeTokenReply(reply))
		require.NoError(t, err)
		var message grantsMessage
		require.NoError(t, wire.Unmarshal(data, &message))
		require.Equal(t, reply, message.decode())
	}
}

// FuzzMessages decodes arbitrary bytes as each message.
func FuzzMessages(f *testing.F) {
	data, err := wire.Marshal(encodeRequest(ebonywood.NewForwardRequest(ebonywood.NewSessionState("d", 1, nil, ebonywood.Position{}, 0), ebonywood.Statement{}, "")))
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request forwardMessage
		if wire.Unmarshal(data, &request) == nil {
			_ = request.decode()
		}
		var result resultMessage
		if wire.Unmarshal(data, &result) == nil {
			_ = result.decode()
		}
		var page pageMessage
		if wire.Unmarshal(data, &page) == nil {
			_, _ = page.decode()
		}
		_, _ = decompress(data)
	})
}
