package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// idleLimit bounds the idle connections to one proxy.
const idleLimit = 64

// link holds the connections to one other proxy. A drpc connection carries one
// call at a time, so TCP's flow control is that of the lane.
type link struct {
	edge    *Edge
	address string
	mutex   sync.Mutex
	idle    []*drpcconn.Conn
}

func (edge *Edge) link(address string) *link {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.links[address]
	if !found {
		known = &link{edge: edge, address: address}
		edge.links[address] = known
	}
	return known
}

// take returns an idle connection or dials one. reused says that it may have
// been closed by the other side in the meantime.
func (link *link) take(ctx context.Context) (conn *drpcconn.Conn, reused bool, err error) {
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
	conn, err = link.dial(ctx)
	return conn, false, err
}

func (link *link) dial(ctx context.Context) (*drpcconn.Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", link.address)
	if err != nil {
		return nil, err
	}
	if link.edge.identity != nil {
		secured := tls.Client(socket, link.edge.identity.Client())
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = socket.Close()
			return nil, err
		}
		socket = secured
	}
	return drpcconn.New(socket), nil
}

// put returns a connection whose call has ended well.
func (link *link) put(conn *drpcconn.Conn) {
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

// invoke makes an idempotent call; one over a connection that the other side had
// closed is made again.
func (link *link) invoke(ctx context.Context, rpc string, in, out drpc.Message) error {
	for {
		conn, reused, err := link.take(ctx)
		if err != nil {
			return err
		}
		if err = conn.Invoke(ctx, rpc, wire, in, out); err == nil {
			link.put(conn)
			return nil
		}
		_ = conn.Close()
		if !reused || ctx.Err() != nil {
			return err
		}
	}
}

func (link *link) close() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for _, conn := range link.idle {
		_ = conn.Close()
	}
	link.idle = nil
}
