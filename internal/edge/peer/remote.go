package peer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/peerlink"
)

// Acquire returns a connection to the instance from the pool of its owner. If the owner
// can't be reached, it tries the proxies that take over, in order. It acquires a
// connection locally if the instance has no owner, or if this process is next in order.
func (edge *Edge) Acquire(ctx context.Context, requirements ebonywood.Requirements) (ebonywood.PooledConn, error) {
	snapshot := edge.port.Snapshot()
	owners := snapshot.Owners().ForInstance(requirements.Instance())
	if len(owners) == 0 {
		return edge.localPool.Acquire(ctx, requirements)
	}
	var lastErr error
	for _, owner := range owners {
		if owner.Name() == edge.port.Settings().Name() {
			return edge.localPool.Acquire(ctx, requirements)
		}
		conn, err := edge.open(ctx, owner, requirements)
		if err == nil {
			return conn, nil
		}
		lastErr = err
	}
	return nil, ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("no owner of %s can be reached: %v", requirements.Instance(), lastErr), "send the request again; it was not run")
}

const (
	// dialTimeout bounds opening the connection to the owner.
	dialTimeout = 200 * time.Millisecond
	// releaseTimeout bounds the wait for the owner to close a released stream.
	releaseTimeout = time.Second
)

// open opens a stream to the owner. The requirements are sent with the first request,
// so that a forwarded request costs one round trip.
func (edge *Edge) open(ctx context.Context, owner ebonywood.PeerView, requirements ebonywood.Requirements) (*remoteConn, error) {
	link := edge.link(owner.Address())
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	drpcConn, _, err := link.Take(dialCtx)
	if err != nil {
		return nil, err
	}
	streamCtx, cancelStream := context.WithCancel(edge.group.Context())
	stream, err := drpcConn.NewStream(streamCtx, rpcConn, wire)
	if err != nil {
		cancelStream()
		_ = drpcConn.Close()
		return nil, err
	}
	edge.mutex.Lock()
	edge.lastConnNumber++
	name := fmt.Sprintf("%s/%d", edge.port.Settings().Name(), edge.lastConnNumber)
	edge.mutex.Unlock()
	return &remoteConn{edge: edge, link: link, drpcConn: drpcConn, stream: stream, cancelStream: cancelStream, requirements: requirements, name: name}, nil
}

// remoteConn is a connection to a member from the pool of another proxy, used over a
// stream to that proxy.
type remoteConn struct {
	edge         *Edge
	link         *peerlink.Link
	drpcConn     *drpcconn.Conn
	stream       drpc.Stream
	cancelStream context.CancelFunc
	requirements ebonywood.Requirements
	name         string
	acquired     bool
	member       ebonywood.MemberID
	replica      bool
	broken       bool
}

// Member returns the connected member; it is empty before the first reply.
func (conn *remoteConn) Member() ebonywood.MemberID { return conn.member }

// IsPrimary reports whether the member is the primary. It returns true before the first
// reply.
func (conn *remoteConn) IsPrimary() bool { return !conn.replica }

// Exchange sends the request to the owner and writes the frames of its reply to sink.
func (conn *remoteConn) Exchange(
	ctx context.Context, request *ebonywood.Request, sink ebonywood.Sink,
) (ebonywood.ExchangeResult, error) {
	stop := context.AfterFunc(ctx, conn.cancelStream)
	defer stop()
	message := conn.encode(ctx, request)
	if err := conn.stream.MsgSend(message, wire); err != nil {
		return conn.fail(err)
	}
	for {
		var reply exchangeReply
		if err := conn.stream.MsgRecv(&reply, wire); err != nil {
			return conn.fail(err)
		}
		if reply.Member != "" {
			conn.acquired, conn.member, conn.replica = true, ebonywood.MemberID(reply.Member), !reply.Primary
		}
		if err := writeFrames(sink, reply.Frames); err != nil {
			return conn.fail(err)
		}
		if reply.WantsInput {
			if err := conn.sendInput(ctx, sink); err != nil {
				return conn.fail(err)
			}
		}
		if !reply.Done {
			continue
		}
		if reply.Fault != nil {
			conn.broken = true
			return ebonywood.ExchangeResult{}, reply.Fault.decode()
		}
		position := ebonywood.NewPosition(ebonywood.Term(reply.Term), reply.Offset)
		return ebonywood.NewExchangeResult(ebonywood.TxState(reply.State), position), nil
	}
}

// encode returns the message for a request. Until the owner has acquired a connection,
// it includes the requirements.
func (conn *remoteConn) encode(ctx context.Context, request *ebonywood.Request) *exchangeMessage {
	message := &exchangeMessage{
		Version: protocolVersion, Body: request.Body(), Settings: request.Settings(), ChangesSettings: request.ChangesSettings(),
		Timeout: int64(conn.requirements.Timeout()),
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		message.Timeout = time.Until(deadline).Milliseconds()
	}
	for _, statement := range request.PreparedStatements() {
		message.PreparedStatements = append(message.PreparedStatements, preparedStatementMessage{Name: statement.Name(), Parse: statement.Parse()})
	}
	if !conn.acquired {
		message.Requirements = conn.encodeRequirements()
	}
	return message
}

func (conn *remoteConn) encodeRequirements() *requirementsMessage {
	floor := conn.requirements.Floor()
	return &requirementsMessage{
		Instance: string(conn.requirements.Instance()), Route: conn.requirements.Route(), Access: uint8(conn.requirements.Access()),
		Term: uint64(floor.Position().Term()), Offset: floor.Position().Offset(),
		SinceAge: int64(conn.edge.port.Clock().Now() - floor.Since()), LastMember: string(floor.LastMember()),
		Timeout: int64(conn.requirements.Timeout()), Shape: conn.requirements.Shape(), ConnName: conn.name,
	}
}

// fail marks the connection as broken. The outcome of the request is unknown, since it
// may have been sent.
func (conn *remoteConn) fail(err error) (ebonywood.ExchangeResult, error) {
	conn.broken = true
	return ebonywood.ExchangeResult{}, ebonywood.NewFault(ebonywood.KindUnknown,
		fmt.Sprintf("the owner of %s did not respond: %v", conn.requirements.Instance(), err),
		"read back whether the request took effect")
}

// sendInput forwards the next input of a COPY from the caller to the owner.
func (conn *remoteConn) sendInput(ctx context.Context, sink ebonywood.Sink) error {
	input, err := sink.NextInput(ctx)
	if err != nil {
		return errors.CombineErrors(err, conn.stream.MsgSend(&exchangeMessage{Version: protocolVersion, InputFailed: true}, wire))
	}
	return conn.stream.MsgSend(&exchangeMessage{Version: protocolVersion, Input: input}, wire)
}

// Cancel requests the owner to cancel the exchange in flight. It ignores errors.
func (conn *remoteConn) Cancel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply cancelReply
	_ = conn.link.Invoke(ctx, rpcCancel, &cancelMessage{Version: protocolVersion, ConnName: conn.name}, &reply)
}

// Release returns the pooled connection to the owner's pool. The connection to the owner
// is reused once the owner has closed its side of the stream, which happens in the
// background.
func (conn *remoteConn) Release() {
	if conn.broken || conn.stream.CloseSend() != nil {
		conn.cancelStream()
		_ = conn.drpcConn.Close()
		return
	}
	conn.edge.group.Go(func(context.Context) error {
		timer := time.AfterFunc(releaseTimeout, conn.cancelStream)
		defer timer.Stop()
		var reply exchangeReply
		if err := conn.stream.MsgRecv(&reply, wire); errors.Is(err, io.EOF) {
			conn.link.Put(conn.drpcConn)
			return nil
		}
		conn.cancelStream()
		_ = conn.drpcConn.Close()
		return nil
	})
}

// writeFrames splits frames and writes each one to sink.
func writeFrames(sink ebonywood.Sink, frames []byte) error {
	for len(frames) > 0 {
		size, err := frameSize(frames)
		if err != nil {
			return err
		}
		if err := sink.WriteFrame(frames[:size]); err != nil {
			return err
		}
		frames = frames[size:]
	}
	return nil
}
