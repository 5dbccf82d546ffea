package relay

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/peerlink"
	"github.com/ebonywood/ebonywood/internal/socket"
)

// longestWait bounds how long another proxy may wait for changes, in milliseconds.
const longestWait = 30_000

// Follow asks another proxy for what has changed in its mirror.
func (edge *Edge) FetchChanges(
	ctx context.Context, address string, cursor ebonywood.Cursor, wait ebonywood.Millis,
) (ebonywood.MirrorPage, error) {
	message := &followMessage{Version: protocolVersion, Epoch: cursor.Epoch(), Sequence: cursor.Sequence(), Wait: int64(wait), Revision: cursor.Revision()}
	var page pageMessage
	if err := edge.link(address).Invoke(ctx, rpcFollow, message, &page); err != nil {
		return ebonywood.MirrorPage{}, err
	}
	return page.decode()
}

// link finds the connections to the proxy at an address.
func (edge *Edge) link(address string) *peerlink.Link {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.links[address]
	if !found {
		known = peerlink.New(func(ctx context.Context) (net.Conn, error) { return socket.Dialer{}.Dial(ctx, address) })
		edge.links[address] = known
	}
	return known
}

// Reach asks another proxy whether it lives. A connection that stands may have gone
// silent, so the question goes over a fresh one.
func (edge *Edge) Ping(ctx context.Context, address string) error {
	opened, err := socket.Dialer{}.Dial(ctx, address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(opened)
	if err := conn.Invoke(ctx, rpcReach, wire, &reachMessage{Version: protocolVersion}, &reachMessage{}); err != nil {
		_ = conn.Close()
		return err
	}
	edge.link(address).Put(conn)
	return nil
}

// serveReach answers that this process lives.
func (edge *Edge) serveReach(stream drpc.Stream) error {
	var message reachMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	return stream.MsgSend(&reachMessage{Version: protocolVersion}, wire)
}

// serveFollow answers with what has changed in the mirror here.
func (edge *Edge) serveFollow(stream drpc.Stream) error {
	var message followMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	wait := min(max(message.Wait, 0), longestWait)
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	page := edge.port.Mirror().Changes(ctx, ebonywood.NewCursor(message.Epoch, message.Sequence).WithRevision(message.Revision))
	return stream.MsgSend(edge.packer.encodePage(page), wire)
}
