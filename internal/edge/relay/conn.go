package relay

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/socket"
)

const (
	// maxIdlePerProxy bounds the idle connections to one proxy. In a large fleet, each
	// proxy keeps idle connections to every proxy that serves instances for it.
	maxIdlePerProxy = 4
	// idleTimeout is how long a connection may stay idle before it is closed.
	idleTimeout = 10 * time.Second
)

// peerConn is a connection to another proxy with the single stream that it carries.
type peerConn struct {
	edge     *Edge
	address  string
	socket   net.Conn
	drpcConn *drpcconn.Conn
	stream   drpc.Stream
	// releasedAt is when the connection was last released.
	releasedAt time.Time
}

var _ ebonywood.PeerConn = (*peerConn)(nil)

// Open returns an idle connection to the peer, or opens one within the timeout.
func (edge *Edge) Open(peer ebonywood.PeerView, timeout time.Duration) (ebonywood.PeerConn, error) {
	if idle := edge.takeIdle(peer.Address()); idle != nil {
		return idle, nil
	}
	ctx, cancel := context.WithTimeout(edge.group.Context(), timeout)
	defer cancel()
	netConn, err := socket.Dialer{}.Dial(ctx, peer.Address())
	if err != nil {
		return nil, err
	}
	conn := drpcconn.New(netConn)
	stream, err := conn.NewStream(edge.group.Context(), rpcForward, wire)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &peerConn{edge: edge, address: peer.Address(), socket: netConn, drpcConn: conn, stream: stream}, nil
}

// takeIdle removes and returns the most recently used idle connection to an address
// that is still open, or returns nil.
func (edge *Edge) takeIdle(address string) *peerConn {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	idle := edge.idle[address]
	for len(idle) > 0 {
		conn := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		edge.idle[address] = idle
		if conn.isOpen() {
			return conn
		}
	}
	return nil
}

// CloseIdle closes the idle connections to a peer.
func (edge *Edge) CloseIdle(peer ebonywood.PeerView) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, conn := range edge.idle[peer.Address()] {
		_ = conn.drpcConn.Close()
	}
	delete(edge.idle, peer.Address())
}

// closeAll closes all idle connections and links.
func (edge *Edge) closeAll() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, conns := range edge.idle {
		for _, conn := range conns {
			_ = conn.drpcConn.Close()
		}
	}
	clear(edge.idle)
	for _, link := range edge.links {
		link.Close()
	}
}

// isOpen reports whether neither the connection nor the stream has been closed.
func (conn *peerConn) isOpen() bool {
	select {
	case <-conn.drpcConn.Closed():
		return false
	case <-conn.stream.Context().Done():
		return false
	default:
		return true
	}
}

// Exchange sends a request and waits for its result. The timeout is set as a deadline on
// the socket, which ends the wait too, since drpc's reader blocks in a read all the time.
func (conn *peerConn) Exchange(request ebonywood.ForwardRequest, timeout time.Duration) (ebonywood.ForwardResult, error) {
	deadline := time.Now().Add(timeout)
	_ = conn.socket.SetDeadline(deadline)
	if err := conn.stream.MsgSend(encodeRequest(request), wire); err != nil {
		return ebonywood.ForwardResult{}, err
	}
	var message resultMessage
	if err := conn.stream.MsgRecv(&message, wire); err != nil {
		return ebonywood.ForwardResult{}, err
	}
	_ = conn.socket.SetDeadline(time.Time{})
	return message.decode(), nil
}

// Interrupt makes a waiting Exchange fail immediately.
func (conn *peerConn) Interrupt() { _ = conn.socket.SetDeadline(time.Unix(1, 0)) }

// Release keeps the connection for the next request, or closes it if it is broken or
// enough connections are idle.
func (conn *peerConn) Release(broken bool) {
	edge := conn.edge
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if broken || !conn.isOpen() || len(edge.idle[conn.address]) >= maxIdlePerProxy {
		_ = conn.drpcConn.Close()
		return
	}
	conn.releasedAt = time.Now()
	edge.idle[conn.address] = append(edge.idle[conn.address], conn)
}

// closeExpired closes the connections that have been idle longer than idleTimeout.
func (edge *Edge) closeExpired() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for address, conns := range edge.idle {
		for len(conns) > 0 && time.Since(conns[0].releasedAt) > idleTimeout {
			_ = conns[0].drpcConn.Close()
			conns = conns[1:]
		}
		edge.idle[address] = conns
		if len(conns) == 0 {
			delete(edge.idle, address)
		}
	}
}
