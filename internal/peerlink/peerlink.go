// Package peerlink keeps the connections of this process to one other proxy for
// drpc calls.
package peerlink

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/ebonywood/ebonywood/internal/cborwire"
)

// idleLimit bounds the idle connections to one proxy.
const idleLimit = 64

var wire cborwire.Encoding

// Link holds the connections to one other proxy. A drpc connection carries one
// call at a time, so TCP's flow control is that of the call.
type Link struct {
	dial  func(ctx context.Context) (net.Conn, error)
	mutex sync.Mutex
	idle  []*drpcconn.Conn
}

// New makes a link whose connections are opened by dial.
func New(dial func(ctx context.Context) (net.Conn, error)) *Link { return &Link{dial: dial} }

// Take returns an idle connection or dials one. reused says that it may have been
// closed by the other side in the meantime.
func (link *Link) Take(ctx context.Context) (conn *drpcconn.Conn, reused bool, err error) {
	link.mutex.Lock()
	for len(link.idle) > 0 {
		conn := link.idle[len(link.idle)-1]
		link.idle = link.idle[:len(link.idle)-1]
		select {
		case <-conn.Closed():
			continue
		default:
			link.mutex.Unlock()
			return conn, true, nil
		}
	}
	link.mutex.Unlock()
	socket, err := link.dial(ctx)
	if err != nil {
		return nil, false, err
	}
	return drpcconn.New(socket), false, nil
}

// Put returns a connection whose call has ended well.
func (link *Link) Put(conn *drpcconn.Conn) {
	select {
	case <-conn.Closed():
		return
	default:
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if len(link.idle) >= idleLimit {
		_ = conn.Close()
		return
	}
	link.idle = append(link.idle, conn)
}

// Invoke makes an idempotent call; one over a connection that the other side had
// closed is made again.
func (link *Link) Invoke(ctx context.Context, rpc string, in, out drpc.Message) error {
	for {
		conn, reused, err := link.Take(ctx)
		if err != nil {
			return err
		}
		if err = conn.Invoke(ctx, rpc, wire, in, out); err == nil {
			link.Put(conn)
			return nil
		}
		_ = conn.Close()
		if !reused || ctx.Err() != nil {
			return err
		}
	}
}

// Close closes the idle connections.
func (link *Link) Close() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for _, conn := range link.idle {
		_ = conn.Close()
	}
	link.idle = nil
}
