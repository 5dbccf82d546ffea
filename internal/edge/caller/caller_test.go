package caller

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/clientguard"
	"github.com/ebonywood/ebonywood/internal/clock"
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

// meteredPort implements what recordMetrics uses of the port, and stores the requests
// that met their objective.
type meteredPort struct {
	ebonywood.Port
	served []bool
}

func (*meteredPort) Metrics() tally.Scope                        { return tally.NoopScope }
func (*meteredPort) Clock() ebonywood.Clock                      { return clock.Monotonic{} }
func (port *meteredPort) ServiceLevels() ebonywood.ServiceLevels { return port }
func (*meteredPort) Report(ebonywood.Millis) any                 { return nil }
func (port *meteredPort) Record(_ string, _ ebonywood.Objective, succeeded bool, _ time.Duration, _ ebonywood.Millis) {
	port.served = append(port.served, succeeded)
}

// TestBadInputKeepsTheServiceLevel covers requests that fail here or at the target.
func TestBadInputKeepsTheServiceLevel(t *testing.T) {
	port := &meteredPort{}
	caller := &callerSession{edge: &Edge{port: port}, route: ebonywood.NewRoute("shop", "", "shop", nil, nil, 0, 1, false, false, ebonywood.Objective{})}
	for _, kind := range []ebonywood.FaultKind{ebonywood.KindBadInput, ebonywood.KindUnavailable, ebonywood.KindUnknown} {
		caller.recordMetrics(ebonywood.NewFault(kind, "", ""), time.Millisecond)
	}
	caller.recordMetrics(nil, time.Millisecond)
	require.Equal(t, []bool{true, false, false, true}, port.served)
}

// guardedPort has what the limits for clients need.
type guardedPort struct {
	ebonywood.Port
}

func (guardedPort) Settings() ebonywood.Settings { return guardedSettings{} }
func (guardedPort) Metrics() tally.Scope         { return tally.NoopScope }
func (guardedPort) Log() logr.Logger             { return logr.Discard() }

type guardedSettings struct {
	ebonywood.Settings
}

func (guardedSettings) Limits() ebonywood.Limits { return ebonywood.Limits{} }

// TestDrainDuringStartUpEndsTheSession guards against a drain that waits for an idle session:
// the end of the start-up cleared the deadline with which the drain had ended the session.
func TestDrainDuringStartUpEndsTheSession(t *testing.T) {
	socket, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	session := &callerSession{socket: socket, limits: clientguard.New(guardedPort{}, "callers", 10).Accept(socket)}
	session.closeWhenIdle()
	session.limits.Started()
	_, err := socket.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
