package clientguard

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcwire"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/memorybudget"
)

// fakePort has the memory limit and the limits of a test.
type fakePort struct {
	ebonywood.Port
	settings fakeSettings
}

func (fakePort) Log() logr.Logger                  { return logr.Discard() }
func (fakePort) Metrics() tally.Scope              { return tally.NoopScope }
func (port fakePort) Settings() ebonywood.Settings { return port.settings }

type fakeSettings struct {
	ebonywood.Settings
	limits ebonywood.Limits
}

func (settings fakeSettings) Limits() ebonywood.Limits { return settings.limits }
func (fakeSettings) MemoryMB() int64                   { return 80 }

// newGuard returns a guard with a budget of 20 MiB for 40 connections, ten of them in
// start-up.
func newGuard() *Guard {
	limits := ebonywood.Limits{}.With(ebonywood.LimitMemoryWait, 20)
	return New(fakePort{settings: fakeSettings{limits: limits}}, "callers", 40)
}

// connect returns a connection that has ended its start-up, and its client.
func connect(t *testing.T, guard *Guard) (*Conn, net.Conn) {
	client, socket := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	conn := guard.Accept(socket)
	conn.Started()
	return conn, client
}

// TestOldestStartUpIsClosed guards against a crowd of silent connections that keeps others
// from connecting.
func TestOldestStartUpIsClosed(t *testing.T) {
	guard := newGuard()
	var conns []*Conn
	for range guard.maxStarting + 1 {
		client, socket := net.Pipe()
		defer client.Close()
		conns = append(conns, guard.Accept(socket))
	}
	_, err := conns[0].socket.Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, ebonywood.KindOverload, conns[0].ReadFailed(err).Kind())
	require.Empty(t, conns[1].closedFor)
	conns[1].Started()
	conns[2].Close()
	require.Equal(t, guard.maxStarting-2, guard.starting.Len())
}

// TestHalfMessagesGiveWay guards against half messages that keep the memory from others. The
// heaviest one is closed, and can be told so; the others stay.
func TestHalfMessagesGiveWay(t *testing.T) {
	guard := newGuard()
	var halves []*Conn
	for range 8 {
		half, _ := connect(t, guard)
		half.MessageBegun()
		require.NoError(t, half.GrowMessage(1<<20))
		halves = append(halves, half)
	}
	slowest := halves[3]
	slowest.account.Wait(time.Now().Add(-time.Minute).UnixNano())
	ended := make(chan struct{})
	go func() {
		_, err := slowest.socket.Read(make([]byte, 1))
		if fault := slowest.ReadFailed(err); fault != nil && fault.Kind() == ebonywood.KindNoMemory {
			slowest.Close()
			close(ended)
		}
	}()
	later, _ := connect(t, guard)
	later.MessageBegun()
	require.NoError(t, later.GrowMessage(1<<20))
	<-ended
	require.NoError(t, later.MessageRead(1<<20))
	for _, half := range halves {
		require.Equal(t, half == slowest, half.closedFor != "")
		half.Close()
	}
	later.Release()
	require.Zero(t, guard.budget.Held())
}

// TestMessageThatIsReadIsNotClosed guards accepted statements: a connection that was chosen
// to be closed, but has read its message since, is left alone.
func TestMessageThatIsReadIsNotClosed(t *testing.T) {
	guard := newGuard()
	conn, _ := connect(t, guard)
	conn.MessageBegun()
	require.NoError(t, conn.GrowMessage(1<<20))
	heaviest := guard.budget.Heaviest(time.Now().UnixNano(), memorybudget.Intake)
	require.NoError(t, conn.MessageRead(1<<20))
	require.False(t, heaviest.Evict())
	require.Empty(t, conn.closedFor)
	conn.Close()
	require.Zero(t, guard.budget.Held())
}

// TestStartedConnectionIsNotChosen guards evictions: a connection whose start-up arrived in
// parts, and whose message is run now, was chosen again and again in the place of others.
func TestStartedConnectionIsNotChosen(t *testing.T) {
	guard := newGuard()
	client, socket := net.Pipe()
	defer client.Close()
	conn := guard.Accept(socket)
	conn.MessageBegun()
	conn.Started()
	require.NoError(t, conn.MessageRead(1<<20))
	require.Nil(t, guard.budget.Heaviest(time.Now().UnixNano(), memorybudget.Work))
}

// TestLimitsOfOneMessage guards the default that a message of 1 MiB is served on the smallest
// budget, and the bound of a connection.
func TestLimitsOfOneMessage(t *testing.T) {
	guard := newGuard()
	conn, _ := connect(t, guard)
	require.NoError(t, conn.GrowMessage(1<<20+2))
	require.NoError(t, conn.MessageRead(1<<20))
	require.Equal(t, int64(4<<20+2), guard.budget.Held())
	conn.Release()
	require.Zero(t, guard.budget.Held())
	require.Equal(t, ebonywood.KindTooLarge, ebonywood.FaultOf(conn.GrowMessage(2<<20)).Kind())
	require.Equal(t, ebonywood.KindTooLarge, ebonywood.FaultOf(conn.MessageRead(2<<20)).Kind())
}

// TestStoppedReadingStays guards the end of idle sessions in a drain: the time limit of a
// message must not allow reads again.
func TestStoppedReadingStays(t *testing.T) {
	conn, client := connect(t, newGuard())
	conn.MessageBegun()
	conn.StopReading()
	require.NoError(t, conn.MessageRead(10))
	go func() { _, _ = client.Write([]byte("x")) }()
	_, err := conn.socket.Read(make([]byte, 1))
	require.Error(t, err)
}

// TestListenerBoundsConnections guards the descriptors of the process.
func TestListenerBoundsConnections(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := newGuard().LimitPeers(inner, 1)
	defer listener.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	first, err := listener.Accept()
	require.NoError(t, err)
	refused := dial()
	accepted := make(chan net.Conn)
	go func() {
		conn, _ := listener.Accept()
		accepted <- conn
	}()
	_, err = refused.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, first.Close())
	_ = first.Close() // drpc may close twice; the connection counts once.
	dial()
	require.NotNil(t, <-accepted)
}

// FuzzFrameMeter compares the frames that the meter sees with those of drpc, whatever the
// bytes and the parts in which they arrive.
func FuzzFrameMeter(f *testing.F) {
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, 300), ID: drpcwire.ID{Stream: 1, Message: 200}, Kind: drpcwire.KindMessage, Done: true})
	f.Add(append(frame, frame...), uint8(7))
	f.Fuzz(func(t *testing.T, stream []byte, part uint8) {
		size, largest, rest := 0, 0, stream
		for {
			remaining, frame, found, err := drpcwire.ParseFrame(rest)
			if err != nil {
				return
			}
			if !found {
				break
			}
			rest = remaining
			size += len(frame.Data)
			largest = max(largest, size)
			if frame.Done {
				size = 0
			}
		}
		meter := frameMeter{}
		whole := stream[:len(stream)-len(rest)]
		for len(whole) > 0 {
			count := min(len(whole), int(part)+1)
			meter.add(whole[:count])
			whole = whole[count:]
		}
		require.Equal(t, largest, meter.largest)
		require.Equal(t, size > 0, meter.isPartial())
	})
}
