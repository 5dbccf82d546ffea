// Package peerlink pools the connections of this process to one other proxy for drpc
// calls.
package peerlink

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/ebonywood/ebonywood/internal/cborwire"
)

// maxIdleConns bounds the idle connections to one proxy.
const maxIdleConns = 64

var wire cborwire.Encoding

// Link is a pool of connections to one other proxy. A drpc connection carries one call
// at a time, so TCP's flow control applies to that call.
type Link struct {
	dial  func(ctx context.Context) (net.Conn, error)
	mutex sync.Mutex
	idle  []*drpcconn.Conn
}

// New returns a link that opens connections with dial.
func New(dial func(ctx context.Context) (net.Conn, error)) *Link { return &Link{dial: dial} }

// Take returns an idle connection or dials a new one. If reused is true, the other side
// may have closed the connection in the meantime.
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
	netConn, err := link.dial(ctx)
	if err != nil {
		return nil, false, err
	}
	return drpcconn.New(netConn), false, nil
}

// Put returns a connection whose call has succeeded to the pool.
func (link *Link) Put(conn *drpcconn.Conn) {
	select {
	case <-conn.Closed():
		return
	default:
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if len(link.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	link.idle = append(link.idle, conn)
}

// Invoke makes an idempotent call. A call that fails on a reused connection is retried,
// since the other side may have closed that connection.
func (link *Link) Invoke(ctx context.Context, rpc string, request, reply drpc.Message) error {
	for {
		conn, reused, err := link.Take(ctx)
		if err != nil {
			return err
		}
		if err = conn.Invoke(ctx, rpc, wire, request, reply); err == nil {
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
