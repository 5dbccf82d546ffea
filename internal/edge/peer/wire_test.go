package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func TestUpdateRoundTrip(t *testing.T) {
	updates := []ebonywood.PeerUpdate{
		ebonywood.NewPeerUpdate(ebonywood.NewPeerView("p1", "z1", "10.0.0.1:7"), 4, ebonywood.PeerSuspect),
	}
	data, err := wire.Marshal(&probeMessage{Version: protocolVersion, Updates: encodeUpdates(updates)})
	require.NoError(t, err)
	var decoded probeMessage
	require.NoError(t, wire.Unmarshal(data, &decoded))
	require.Equal(t, updates, decodeUpdates(decoded.Updates))
}

func TestOtherVersionsAreRejected(t *testing.T) {
	require.NoError(t, checkVersion(protocolVersion))
	require.ErrorContains(t, checkVersion(protocolVersion+1), "one version at a time")
}

func TestFrameSizeRejectsWrongLengths(t *testing.T) {
	for _, frames := range [][]byte{{'D'}, {'D', 0, 0, 0, 9, 1}, {'D', 0xff, 0xff, 0xff, 0xff, 0}} {
		_, err := frameSize(frames)
		require.Error(t, err)
	}
}

// FuzzWire decodes arbitrary bytes as each message.
func FuzzWire(f *testing.F) {
	data, err := wire.Marshal(&exchangeMessage{Version: 1, Requirements: &requirementsMessage{Instance: "a/b"}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []any{&probeMessage{}, &probeReply{}, &fetchReply{}, &exchangeMessage{}, &exchangeReply{}, &cancelMessage{}} {
			_ = wire.Unmarshal(data, message)
		}
		var reply probeReply
		if wire.Unmarshal(data, &reply) == nil {
			_ = decodeUpdates(reply.Updates)
		}
		_, _ = frameSize(data)
	})
}
