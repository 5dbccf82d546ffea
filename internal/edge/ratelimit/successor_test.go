package ratelimit

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/decision/allocation"
)

// restartedPort is the port of a proxy whose directory lists an earlier run of an allocator.
type restartedPort struct {
	*fleetProxy
	relay *restartedRelay
}

func (port restartedPort) Relay() ebonywood.Relay { return port.relay }

// restartedRelay is the allocator in its present run.
type restartedRelay struct {
	ebonywood.Relay
	requests int
}

func (relay *restartedRelay) RequestTokens(_ context.Context, _ string, request ebonywood.TokenRequest) (ebonywood.TokenReply, error) {
	relay.requests++
	if request.Nonce() != "present" {
		return ebonywood.NewTokenRefusal("this process is not the allocator").WithNonce("present"), nil
	}
	var grants []ebonywood.TokenGrant
	for _, need := range request.Needs() {
		grants = append(grants, ebonywood.NewTokenGrant(need.Workspace(), need.Wanted(), 0))
	}
	return ebonywood.NewTokenReply(grants), nil
}

// TestPresentRunOfAnAllocatorIsAsked guards against operations that are refused after a restart of
// all proxies until the directory lists the allocators' new runs.
func TestPresentRunOfAnAllocatorIsAsked(t *testing.T) {
	workspace := ebonywood.NewWorkspace("w", nil, nil, 0).WithRate(100, 100)
	draft := ebonywood.NewDraft()
	draft.SetAllocators([]ebonywood.Allocator{ebonywood.NewAllocator(0, "q", "q", "former")})
	fleet := &fleet{clock: startClock{start: time.Now()}, set: ebonywood.NewObjectSet(1, "", nil, nil, nil)}
	port := restartedPort{
		fleetProxy: &fleetProxy{fleet: fleet, name: "p", decision: allocation.New("p", "p", fleetAllocators, 0), snapshot: draft.Publish()},
		relay:      &restartedRelay{},
	}
	edge := New(port)
	require.True(t, edge.Take(t.Context(), workspace, time.Now().Add(time.Second)))
	require.Equal(t, 2, port.relay.requests, "the request is repeated for the present run")
	edge.group.Stop()
	require.NoError(t, edge.group.Wait())
}
