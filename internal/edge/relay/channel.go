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
	// idleLimit bounds the idle channels to one proxy. Every proxy of a large fleet
	// keeps some to each that serves for it.
	idleLimit = 4
	// idleSpan is how long a channel may lie idle.
	idleSpan = 10 * time.Second
)

// channel is one stream to another proxy. A connection carries one stream.
type channel struct {
	edge    *Edge
	address string
	socket  net.Conn
	conn    *drpcconn.Conn
	stream  drpc.Stream
	// used is when the channel was last given back.
	used time.Time
}

var _ ebonywood.PeerConn = (*channel)(nil)

// Open takes a channel that stands, or opens one.
func (edge *Edge) Open(peer ebonywood.PeerView, limit time.Duration) (ebonywood.PeerConn, error) {
	if taken := edge.takeIdle(peer.Address()); taken != nil {
		return taken, nil
	}
	ctx, cancel := context.WithTimeout(edge.group.Context(), limit)
	defer cancel()
	opened, err := socket.Dialer{}.Dial(ctx, peer.Address())
	if err != nil {
		return nil, err
	}
	conn := drpcconn.New(opened)
	stream, err := conn.NewStream(edge.group.Context(), rpcWork, wire)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &channel{edge: edge, address: peer.Address(), socket: opened, conn: conn, stream: stream}, nil
}

// takeIdle returns the channel used last that the other side has not closed.
func (edge *Edge) takeIdle(address string) *channel {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	idle := edge.idle[address]
	for len(idle) > 0 {
		taken := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		edge.idle[address] = idle
		if taken.isOpen() {
			return taken
		}
	}
	return nil
}

// Forget closes the channels to a proxy that lie idle.
func (edge *Edge) CloseIdle(peer ebonywood.PeerView) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, each := range edge.idle[peer.Address()] {
		_ = each.conn.Close()
	}
	delete(edge.idle, peer.Address())
}

func (edge *Edge) closeIdle() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, channels := range edge.idle {
		for _, each := range channels {
			_ = each.conn.Close()
		}
	}
	clear(edge.idle)
	for _, link := range edge.links {
		link.Close()
	}
}

func (channel *channel) isOpen() bool {
	select {
	case <-channel.conn.Closed():
		return false
	case <-channel.stream.Context().Done():
		return false
	default:
		return true
	}
}

// Exchange sends a piece of work and waits for its outcome. The limit is the read
// deadline of the connection, whose reader is at work all the time.
func (channel *channel) Exchange(work ebonywood.ForwardRequest, limit time.Duration) (ebonywood.ForwardResult, error) {
	until := time.Now().Add(limit)
	_ = channel.socket.SetDeadline(until)
	if err := channel.stream.MsgSend(encodeWork(work), wire); err != nil {
		return ebonywood.ForwardResult{}, err
	}
	var message doneMessage
	if err := channel.stream.MsgRecv(&message, wire); err != nil {
		return ebonywood.ForwardResult{}, err
	}
	_ = channel.socket.SetDeadline(time.Time{})
	return message.decode(), nil
}

// Interrupt makes an exchange that waits fail at once.
func (channel *channel) Interrupt() { _ = channel.socket.SetDeadline(time.Unix(1, 0)) }

// Release keeps the channel for the next work, unless it is broken.
func (channel *channel) Release(broken bool) {
	edge := channel.edge
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if broken || !channel.isOpen() || len(edge.idle[channel.address]) >= idleLimit {
		_ = channel.conn.Close()
		return
	}
	channel.used = time.Now()
	edge.idle[channel.address] = append(edge.idle[channel.address], channel)
}

// closeUnused closes the channels that lie idle for long.
func (edge *Edge) closeUnused() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for address, channels := range edge.idle {
		for len(channels) > 0 && time.Since(channels[0].used) > idleSpan {
			_ = channels[0].conn.Close()
			channels = channels[1:]
		}
		edge.idle[address] = channels
		if len(channels) == 0 {
			delete(edge.idle, address)
		}
	}
}
