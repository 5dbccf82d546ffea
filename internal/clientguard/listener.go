package clientguard

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/memorybudget"
)

const (
	// maxHeaderSize bounds the header of a request for a page, in bytes.
	maxHeaderSize = 8 << 10
	// readHeaderTimeout bounds the time for the header of a request.
	readHeaderTimeout = time.Second
	// pageTimeout bounds the time for a request, for a reply and between two requests. A scrape
	// of the metrics of a large fleet takes less than a second.
	pageTimeout = 10 * time.Second
)

// Listener closes the connections that it accepts beyond a number.
type Listener struct {
	net.Listener
	guard *Guard
	max   int64
	// metersFrames reports that the connections carry drpc frames, which are metered.
	metersFrames bool
	open         atomic.Int64
}

// ListenForPeers returns a listener for other proxies with the limits of the settings.
func ListenForPeers(port ebonywood.Port, listener net.Listener) net.Listener {
	settings := port.Settings()
	maxPeers := max(1, int(settings.Limits().Share(ebonywood.LimitPeerShare)*float64(settings.MaxCallers())))
	return New(port, "peers", maxPeers).LimitPeers(listener, maxPeers)
}

// LimitPage returns a listener for a page over HTTP with the limits of the settings. name is
// that of the page in metrics and log lines.
func LimitPage(port ebonywood.Port, name string, listener net.Listener) net.Listener {
	maxConnections := port.Settings().Limits().Count(ebonywood.LimitOperatorConnections)
	return New(port, name, maxConnections).Limit(listener, maxConnections)
}

// NewPageServer returns a server for a page over HTTP with the limits for its requests, which
// have no bodies and small headers.
func NewPageServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderSize, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: pageTimeout, WriteTimeout: pageTimeout, IdleTimeout: pageTimeout,
	}
}

// Limit returns a listener that has at most max connections open at a time.
func (guard *Guard) Limit(listener net.Listener, max int) *Listener {
	return &Listener{Listener: listener, guard: guard, max: int64(max)}
}

// LimitPeers returns a listener for drpc connections of other proxies. It has at most max of
// them open at a time, and draws from the memory budget for their messages.
func (guard *Guard) LimitPeers(listener net.Listener, max int) *Listener {
	return &Listener{Listener: listener, guard: guard, max: int64(max), metersFrames: true}
}

// Accept returns the next connection that is not closed for their number.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		socket, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if listener.open.Add(1) > listener.max {
			listener.open.Add(-1)
			_ = socket.Close()
			listener.guard.record(whyConnections, 0)
			continue
		}
		counted := &countedConn{Conn: socket, listener: listener}
		if !listener.metersFrames {
			return counted, nil
		}
		return &peerConn{Conn: counted, limits: listener.guard.Accept(counted)}, nil
	}
}

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Close closes the connection.
func (conn *countedConn) Close() error {
	conn.once.Do(func() { conn.listener.open.Add(-1) })
	return conn.Conn.Close()
}

// peerConn is a connection that carries drpc frames. It draws memory for each message while
// it is read. The buffers of drpc keep their greatest size, so nothing is given back before
// the connection is closed.
type peerConn struct {
	net.Conn
	limits *Conn
	frames frameMeter
	// accountMutex guards the account, since drpc closes connections while it reads.
	accountMutex sync.Mutex
	closed       bool
}

// readBufferFactor is how many bytes drpc's buffers have for each byte of a message, since
// they double.
const readBufferFactor = 2

// Read reads and counts the bytes of messages.
func (conn *peerConn) Read(buffer []byte) (int, error) {
	if conn.frames.isPartial() {
		conn.limits.MessageBegun()
	}
	count, err := conn.Conn.Read(buffer)
	if err != nil {
		_ = conn.limits.ReadFailed(err)
		return count, err
	}
	complete := conn.frames.add(buffer[:count])
	if complete && !conn.limits.started {
		conn.limits.Started()
	}
	if complete {
		if err := conn.limits.peerMessageRead(); err != nil {
			return 0, err
		}
	}
	return count, conn.grow(conn.frames.largest * readBufferFactor)
}

// grow draws the memory for buffers of size bytes.
func (conn *peerConn) grow(size int) error {
	if size <= freeSize || int64(size) <= conn.limits.account.Held(memorybudget.Intake) {
		return nil
	}
	conn.accountMutex.Lock()
	defer conn.accountMutex.Unlock()
	if conn.closed {
		return net.ErrClosed
	}
	return conn.limits.draw(int64(size)-conn.limits.account.Held(memorybudget.Intake), memorybudget.Intake)
}

// Write writes within the time limit. The connection counts as waiting for the other proxy
// afterwards.
func (conn *peerConn) Write(buffer []byte) (int, error) {
	if err := conn.limits.writePart(conn.Conn, buffer); err != nil {
		return 0, err
	}
	conn.limits.repliedToPeer()
	return len(buffer), nil
}

// Close closes the connection and ends its account. A draw that waits for memory fails before
// that.
func (conn *peerConn) Close() error {
	conn.limits.closeFor(whyClosed)
	err := conn.Conn.Close()
	conn.accountMutex.Lock()
	defer conn.accountMutex.Unlock()
	if !conn.closed {
		conn.closed = true
		conn.limits.Close()
	}
	return err
}

// frameMeter follows the frames of a drpc stream: a control byte, the varints of the stream,
// the message and the length, and the data.
type frameMeter struct {
	// field is the number of the field of the header that comes next; 0 is the control byte,
	// headerFields the data.
	field int
	shift uint
	// length is the length of the data, then what is left of it.
	length uint64
	done   bool
	// size is the size of the message so far, largest that of the largest one.
	size    int
	largest int
}

// headerFields is the number of fields before the data.
const headerFields = 4

// isPartial reports whether a message has begun and not ended.
func (meter *frameMeter) isPartial() bool { return meter.field != 0 || meter.size > 0 }

// add adds bytes of the stream, and reports whether a message has ended in them.
func (meter *frameMeter) add(text []byte) (complete bool) {
	for len(text) > 0 {
		if meter.field == headerFields {
			taken := min(uint64(len(text)), meter.length)
			meter.length -= taken
			meter.size += int(taken)
			meter.largest = max(meter.largest, meter.size)
			text = text[taken:]
		} else {
			meter.addHeader(text[0])
			text = text[1:]
		}
		if meter.field == headerFields && meter.length == 0 {
			meter.field = 0
			if meter.done {
				meter.size = 0
				complete = true
			}
		}
	}
	return complete
}

// addHeader adds one byte of a header.
func (meter *frameMeter) addHeader(char byte) {
	switch meter.field {
	case 0:
		meter.done = char&1 != 0
		meter.field = 1
		meter.length, meter.shift = 0, 0
		return
	case headerFields - 1:
		meter.length |= uint64(char&127) << min(meter.shift, 63)
		meter.shift += 7
	}
	if char < 128 {
		meter.field++
	}
}
