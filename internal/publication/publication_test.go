package publication

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/kvclient"
	"github.com/ebonywood/ebonywood/internal/standin/kvserver"
)

func content(maxAge int) []byte {
	return []byte(fmt.Sprintf("kind: readPolicy\nname: p\nmaxAge: %ds\n", maxAge))
}

func startStore(t *testing.T) (*kvserver.Server, *Publication) {
	server := kvserver.New()
	require.NoError(t, server.Listen("127.0.0.2:0"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return server, New(kvclient.New([]string{server.Address()}, "test", tally.NoopScope))
}

func TestPublishAndRead(t *testing.T) {
	_, sets := startStore(t)
	generation, err := sets.Publish(context.Background(), content(1), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), generation)
	set, _, err := sets.Head(context.Background())
	require.NoError(t, err)
	require.Equal(t, content(1), set.Content())
}

// TestRaceHasOneWinner publishes concurrently with the same expected generation: one
// publish must succeed, the others must report a conflict.
func TestRaceHasOneWinner(t *testing.T) {
	const operators = 8
	_, sets := startStore(t)
	var mutex sync.Mutex
	var group sync.WaitGroup
	won, lost := 0, 0
	for i := range operators {
		group.Go(func() {
			_, err := sets.Publish(context.Background(), content(i+1), 0)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err == nil:
				won++
			case ebonywood.FaultOf(err).Kind() == ebonywood.KindConflict:
				lost++
			}
		})
	}
	group.Wait()
	require.Equal(t, 1, won)
	require.Equal(t, operators-1, lost)
}

// TestLostReplyIsResolved drops replies after the store has applied the write. The
// publisher must find its publish ID in the head record instead of reporting an unknown
// outcome.
func TestLostReplyIsResolved(t *testing.T) {
	server, sets := startStore(t)
	server.DropReplies(2)
	generation, err := sets.Publish(context.Background(), content(1), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), generation)
}

func TestOutageIsReported(t *testing.T) {
	server, sets := startStore(t)
	server.SetDown(true)
	_, err := sets.Publish(context.Background(), content(1), 0)
	require.Equal(t, ebonywood.KindUnavailable, ebonywood.FaultOf(err).Kind())
}

func TestInvalidSetIsRejectedBeforeTheStore(t *testing.T) {
	server, sets := startStore(t)
	before := server.Calls()
	_, err := sets.Publish(context.Background(), []byte("kind: nothing\nname: x\n"), 0)
	require.Equal(t, ebonywood.KindBadInput, ebonywood.FaultOf(err).Kind())
	require.Equal(t, before, server.Calls())
}
