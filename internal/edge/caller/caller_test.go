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

// fullListener has no files left twice, and is closed then.
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

// quietPort is a port of which only the log is used.
type logOnlyPort struct {
	ebonywood.Port
}

func (logOnlyPort) Log() logr.Logger { return logr.Discard() }

// TestAcceptContinuesAfterTooManyOpenFiles keeps the listener when a caller can't be
// accepted for the moment.
func TestAcceptContinuesAfterTooManyOpenFiles(t *testing.T) {
	listener := &exhaustedListener{}
	edge := &Edge{port: logOnlyPort{}, listener: listener}
	err := edge.accept(context.Background(), rungroup.New(context.Background()))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Equal(t, 3, listener.calls)
}
