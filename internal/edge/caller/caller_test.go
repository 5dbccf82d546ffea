package caller

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// exhaustedListener fails twice with too many open files, then as closed.
type exhaustedListener struct {
	net.Listener
	calls int
}

func (listener *exhaustedListener) Accept() (net.Conn, error) {
	if listener.calls++; listener.calls <= 2 {
		return nil, syscall.EMFILE
	}
	return nil, net.ErrClosed
}

// logOnlyPort implements only the Log method of the port.
type logOnlyPort struct {
	ebonywood.Port
}

func (logOnlyPort) Log() logr.Logger { return logr.Discard() }

// TestAcceptContinuesAfterTooManyOpenFiles guards against ending the edge, and with it
// all sessions, when accepting a caller fails temporarily with EMFILE.
func TestAcceptContinuesAfterTooManyOpenFiles(t *testing.T) {
	listener := &exhaustedListener{}
	edge := &Edge{port: logOnlyPort{}, listener: listener}
	err := edge.accept(context.Background(), rungroup.New(context.Background()))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Equal(t, 3, listener.calls)
}
