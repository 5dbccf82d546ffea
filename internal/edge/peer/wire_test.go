package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func TestUpdatesSurviveTheWire(t *testing.T) {
	updates := []ebonywood.PeerUpdate{
		ebonywood.NewPeerUpdate(ebonywood.NewPeerView("p1", "z1", "10.0.0.1:7"), 4, ebonywood.PeerSuspect),
	}
	text, err := wire.Marshal(&probeMessage{Version: protocolVersion, Updates: encodeUpdates(updates)})
	require.NoError(t, err)
	var decoded probeMessage
	require.NoError(t, wire.Unmarshal(text, &decoded))
	require.Equal(t, updates, decodeUpdates(decoded.Updates))
}

func TestOtherVersionsAreRefused(t *testing.T) {
	require.NoError(t, checkVersion(protocolVersion))
	require.ErrorContains(t, checkVersion(protocolVersion+1), "one version at a time")
}

func TestFrameSizeRefusesWrongLengths(t *testing.T) {
	for _, frames := range [][]byte{{'D'}, {'D', 0, 0, 0, 9, 1}, {'D', 0xff, 0xff, 0xff, 0xff, 0}} {
		_, err := frameSize(frames)
		require.Error(t, err)
	}
}

// FuzzWire decodes arbitrary bytes as each message.
func FuzzWire(f *testing.F) {
	text, err := wire.Marshal(&laneMessage{Version: 1, Need: &needMessage{Instance: "a/b"}})
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, message := range []any{&probeMessage{}, &probeReply{}, &fetchReply{}, &laneMessage{}, &laneReply{}, &cancelMessage{}} {
			_ = wire.Unmarshal(text, message)
		}
		var reply probeReply
		if wire.Unmarshal(text, &reply) == nil {
			_ = decodeUpdates(reply.Updates)
		}
		_, _ = frameSize(text)
	})
}
