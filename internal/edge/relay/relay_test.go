package relay

import (
	"context"
	"io"
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

// servingPort serves every forwarded request at once.
type servingPort struct {
	brokenPort
}

func (servingPort) Sessions() ebonywood.Sessions { return servingSessions{} }

func (servingPort) Snapshot() *ebonywood.Snapshot {
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(ebonywood.NewObjectSet(1, "", nil, nil, nil))
	return draft.Publish()
}

type servingSessions struct {
	ebonywood.Sessions
}

func (servingSessions) OpenForwarded(context.Context, ebonywood.ForwardRequest) ebonywood.ForwardedSession {
	return servedSession{}
}

type servedSession struct{}

func (servedSession) Run(ebonywood.ForwardRequest) ebonywood.ForwardResult {
	return ebonywood.NewForwardResult(ebonywood.NewReply(nil, "signed", ebonywood.TxIdle, ebonywood.Position{}), ebonywood.Position{}, 0)
}
func (servedSession) IsIdle() bool { return true }
func (servedSession) Close()       {}

// slowStream delivers one request and takes its result only when the test lets it.
type slowStream struct {
	emptyStream
	received bool
	sending  chan struct{}
	accept   chan struct{}
}

func (stream *slowStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	if stream.received {
		return io.EOF
	}
	stream.received = true
	return stream.emptyStream.MsgRecv(message, encoding)
}

func (stream *slowStream) MsgSend(drpc.Message, drpc.Encoding) error {
	close(stream.sending)
	<-stream.accept
	return nil
}

// TestRequestIsActiveUntilItsResultIsSent checks that a draining process, which waits for
// the active requests, does not end while a result is on its way out.
func TestRequestIsActiveUntilItsResultIsSent(t *testing.T) {
	edge := &Edge{port: servingPort{}}
	stream := &slowStream{sending: make(chan struct{}), accept: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- handler{edge}.HandleRPC(stream, rpcForward) }()
	<-stream.sending
	require.Equal(t, 1, edge.activeCount())
	close(stream.accept)
	require.NoError(t, <-served)
	require.Zero(t, edge.activeCount())
}
