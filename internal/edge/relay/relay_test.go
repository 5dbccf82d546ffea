package relay

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"

	"github.com/ebonywood/ebonywood"
)

// brokenPort panics when it is asked for sessions or the mirror.
type brokenPort struct {
	ebonywood.Port
}

func (brokenPort) Log() logr.Logger              { return logr.Discard() }
func (brokenPort) Mirror() ebonywood.Mirror      { panic("no mirror") }
func (brokenPort) Sessions() ebonywood.Sessions  { panic("no sessions") }
func (brokenPort) Snapshot() *ebonywood.Snapshot { return ebonywood.NewDraft().Publish() }

// emptyStream delivers messages of the current version without any content.
type emptyStream struct {
	drpc.Stream
}

func (emptyStream) Context() context.Context { return context.Background() }

func (emptyStream) MsgRecv(message drpc.Message, _ drpc.Encoding) error {
	switch message := message.(type) {
	case *forwardMessage:
		message.Version = protocolVersion
	case *fetchChangesMessage:
		message.Version = protocolVersion
	}
	return nil
}

func (emptyStream) MsgSend(drpc.Message, drpc.Encoding) error { return nil }

// TestFailedCallEndsOnlyItself checks that a panic during a call of another proxy neither
// ends this process nor leaves the call counted as active, which would delay a stop.
func TestFailedCallEndsOnlyItself(t *testing.T) {
	edge := &Edge{port: brokenPort{}}
	for _, rpc := range []string{rpcForward, rpcFetchChanges, "unknown"} {
		require.Error(t, handler{edge}.HandleRPC(emptyStream{}, rpc), rpc)
		require.Zero(t, edge.activeCount(), rpc)
	}
}
