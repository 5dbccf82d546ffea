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

// maxWaitMillis bounds how long another proxy may wait for changes, in milliseconds.
const maxWaitMillis = 30_000

// FetchChanges requests the changes after cursor from the mirror of the proxy at an
// address, which waits for a change for at most wait.
func (edge *Edge) FetchChanges(
	ctx context.Context, address string, cursor ebonywood.Cursor, wait ebonywood.Millis,
) (ebonywood.MirrorPage, error) {
	message := &fetchChangesMessage{Version: protocolVersion, Epoch: cursor.Epoch(), Sequence: cursor.Sequence(), Wait: int64(wait), Revision: cursor.Revision().Number(), Era: int64(cursor.Revision().Era())}
	var page pageMessage
	if err := edge.link(address).Invoke(ctx, rpcFetchChanges, message, &page); err != nil {
		return ebonywood.MirrorPage{}, err
	}
	return page.decode()
}

// link returns the connections for calls to the proxy at an address.
func (edge *Edge) link(address string) *peerlink.Link {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	link, found := edge.links[address]
	if !found {
		link = peerlink.New(func(ctx context.Context) (net.Conn, error) { return socket.Dialer{}.Dial(ctx, address) })
		edge.links[address] = link
	}
	return link
}

// Ping checks whether the proxy at an address responds. It uses a new connection, since
// the other end of an idle one may have become unreachable without closing it.
func (edge *Edge) Ping(ctx context.Context, address string) error {
	netConn, err := socket.Dialer{}.Dial(ctx, address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(netConn)
	if err := conn.Invoke(ctx, rpcPing, wire, &pingMessage{Version: protocolVersion}, &pingMessage{}); err != nil {
		_ = conn.Close()
		return err
	}
	edge.link(address).Put(conn)
	return nil
}

// servePing replies to a ping.
func (edge *Edge) servePing(stream drpc.Stream) error {
	var message pingMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	return stream.MsgSend(&pingMessage{Version: protocolVersion}, wire)
}

// serveFetchChanges replies with the changes of this process's mirror.
func (edge *Edge) serveFetchChanges(stream drpc.Stream) error {
	var message fetchChangesMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	wait := min(max(message.Wait, 0), maxWaitMillis)
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	page := edge.port.Mirror().Changes(ctx, ebonywood.NewCursor(message.Epoch, message.Sequence).WithRevision(ebonywood.NewRevision(ebonywood.Era(message.Era), message.Revision)))
	return stream.MsgSend(edge.compressor.encodePage(page), wire)
}

// RequestTokens asks the allocator at an address for tokens.
func (edge *Edge) RequestTokens(
	ctx context.Context, address string, request ebonywood.TokenRequest,
) (ebonywood.TokenReply, error) {
	var reply grantsMessage
	if err := edge.link(address).Invoke(ctx, rpcRequestTokens, encodeTokenRequest(request), &reply); err != nil {
		return ebonywood.TokenReply{}, err
	}
	return reply.decode(), nil
}

// serveTokens replies to another proxy's request for tokens.
func (edge *Edge) serveTokens(stream drpc.Stream) error {
	var message tokensMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	reply := ebonywood.NewTokenRefusal("this process deals no tokens")
	if allocator := edge.port.TokenAllocator(); allocator != nil && message.Version == protocolVersion {
		reply = allocator.Allocate(message.decode())
	}
	return stream.MsgSend(encodeTokenReply(reply), wire)
}
