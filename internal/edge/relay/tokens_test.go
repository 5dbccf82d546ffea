package relay

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/test/loopback"
)

// allocatingPort is the port of a process that deals the tokens it is asked for.
type allocatingPort struct {
	brokenPort
	address string
}

type allocatingSettings struct {
	ebonywood.Settings
	address string
}

func (settings allocatingSettings) PeerAddress() string { return settings.address }
func (allocatingSettings) DrainLimit() ebonywood.Millis { return 0 }
func (port allocatingPort) Settings() ebonywood.Settings {
	return allocatingSettings{address: port.address}
}
func (allocatingPort) Metrics() tally.Scope                     { return tally.NoopScope }
func (allocatingPort) TokenAllocator() ebonywood.TokenAllocator { return allocator{} }

type allocator struct{}

func (allocator) Allocate(request ebonywood.TokenRequest) ebonywood.TokenReply {
	var grants []ebonywood.TokenGrant
	for _, need := range request.Needs() {
		grants = append(grants, ebonywood.NewTokenGrant(need.Workspace(), need.Wanted(), 0))
	}
	return ebonywood.NewTokenReply(grants)
}

// BenchmarkRequestTokens measures a request for tokens over a real socket, both sides together.
func BenchmarkRequestTokens(b *testing.B) {
	address := loopback.NewHost() + ":7003"
	edge, err := New(allocatingPort{address: address})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- edge.Run(ctx) }()
	request := ebonywood.NewTokenRequest("proxy", 0, "nonce", []ebonywood.TokenNeed{ebonywood.NewTokenNeed("workspace", 0, 1)})
	b.ReportAllocs()
	for b.Loop() {
		reply, err := edge.RequestTokens(ctx, address, request)
		require.NoError(b, err)
		require.Equal(b, 1, reply.Grants()[0].Tokens())
	}
	cancel()
	require.NoError(b, <-ended)
}
