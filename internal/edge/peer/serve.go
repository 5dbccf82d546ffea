package peer

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

// minBatchSize is the size of buffered frames, in bytes, from which on they are sent to
// the entry proxy.
const minBatchSize = 16 << 10

// frameSize returns the size in bytes of the first frame, with its header. It fails if
// the frame is truncated or its length is invalid.
func frameSize(frames []byte) (int, error) {
	if len(frames) < frame.HeaderSize {
		return 0, errors.New("a forwarded message is truncated")
	}
	size := int(binary.BigEndian.Uint32(frames[1:])) + 1
	if size < frame.HeaderSize || size > len(frames) {
		return 0, errors.New("a forwarded message has an invalid length")
	}
	return size, nil
}

// serveConn runs the requests of one stream on a connection from the local pool. It
// never forwards them further: ownership is only a hint, so this process serves the
// requests even if, by its own state, another proxy is the owner.
func (edge *Edge) serveConn(stream drpc.Stream) error {
	var conn ebonywood.PooledConn
	var name string
	defer func() {
		if conn != nil {
			conn.Release()
		}
		edge.unregister(name)
	}()
	for {
		var message exchangeMessage
		if err := stream.MsgRecv(&message, wire); err != nil {
			return nil
		}
		if err := checkVersion(message.Version); err != nil {
			return stream.MsgSend(&exchangeReply{Done: true, Fault: encodeFault(err)}, wire)
		}
		ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(message.Timeout)*time.Millisecond)
		if conn == nil {
			acquired, err := edge.acquireLocal(ctx, message.Requirements, &name)
			if err != nil {
				cancel()
				return stream.MsgSend(&exchangeReply{Done: true, Fault: encodeFault(err)}, wire)
			}
			conn = acquired
			edge.register(name, conn)
		}
		err := edge.exchange(ctx, stream, conn, &message)
		cancel()
		if err != nil {
			return err
		}
	}
}

// acquireLocal acquires a connection from the local pool for a stream's first message.
// It sets name to the name under which the connection was reserved.
func (edge *Edge) acquireLocal(ctx context.Context, message *requirementsMessage, name *string) (ebonywood.PooledConn, error) {
	if message == nil {
		return nil, ebonywood.NewFault(ebonywood.KindNotRun, "the first message of a stream has no requirements", "send the request again")
	}
	if err := edge.reserve(message.ConnName); err != nil {
		return nil, err
	}
	*name = message.ConnName
	position := ebonywood.NewPosition(ebonywood.Term(message.Term), message.Offset)
	since := edge.port.Clock().Now() - ebonywood.Millis(message.SinceAge)
	floor := ebonywood.NewFloor(position, since, ebonywood.MemberID(message.LastMember))
	requirements := ebonywood.NewRequirements(ebonywood.InstanceID(message.Instance), message.Route, ebonywood.Access(message.Access),
		floor, ebonywood.Millis(message.Timeout), message.Shape)
	return edge.localPool.Acquire(ctx, requirements)
}

// reserve registers the name of a connection before it is acquired, so that a drain
// waits for it. It fails while this process drains.
func (edge *Edge) reserve(name string) error {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if edge.draining {
		return ebonywood.NewFault(ebonywood.KindNotRun, "the owner is leaving", "send the request again; it was not run")
	}
	edge.servedConns[name] = nil
	return nil
}

func (edge *Edge) register(name string, conn ebonywood.PooledConn) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.servedConns[name] = conn
}

func (edge *Edge) unregister(name string) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	delete(edge.servedConns, name)
}

// exchange runs one request. If it returns an error, the stream ends and its connection
// is released.
func (edge *Edge) exchange(ctx context.Context, stream drpc.Stream, conn ebonywood.PooledConn, message *exchangeMessage) error {
	statements := make([]ebonywood.PreparedStatement, 0, len(message.PreparedStatements))
	for _, statement := range message.PreparedStatements {
		statements = append(statements, ebonywood.NewPreparedStatement(statement.Name, statement.Parse))
	}
	sink := &forwardSink{stream: stream, reply: exchangeReply{Member: string(conn.Member()), Primary: conn.IsPrimary()}}
	result, err := conn.Exchange(ctx, ebonywood.NewRequest(message.Body, statements, message.Settings, message.ChangesSettings), sink)
	sink.reply.Done = true
	if err != nil {
		sink.reply.Fault = encodeFault(err)
		return errors.CombineErrors(stream.MsgSend(&sink.reply, wire), err)
	}
	sink.reply.State = uint8(result.State())
	sink.reply.Term, sink.reply.Offset = uint64(result.Position().Term()), result.Position().Offset()
	return stream.MsgSend(&sink.reply, wire)
}

// forwardSink batches the frames of a reply into messages to the entry proxy.
type forwardSink struct {
	stream drpc.Stream
	reply  exchangeReply
}

// WriteFrame buffers one message of the target, and sends the buffer when it has reached
// minBatchSize.
func (sink *forwardSink) WriteFrame(message []byte) error {
	sink.reply.Frames = append(sink.reply.Frames, message...)
	if len(sink.reply.Frames) < minBatchSize {
		return nil
	}
	return sink.send()
}

func (sink *forwardSink) send() error {
	err := sink.stream.MsgSend(&sink.reply, wire)
	sink.reply.Frames = sink.reply.Frames[:0]
	return err
}

// NextInput requests the next input of a COPY from the entry proxy's caller.
func (sink *forwardSink) NextInput(context.Context) ([]byte, error) {
	sink.reply.WantsInput = true
	if err := sink.send(); err != nil {
		return nil, err
	}
	sink.reply.WantsInput = false
	var message exchangeMessage
	if err := sink.stream.MsgRecv(&message, wire); err != nil {
		return nil, err
	}
	if message.InputFailed || len(message.Input) == 0 {
		return nil, errors.New("the caller aborted the COPY")
	}
	return message.Input, nil
}

func (edge *Edge) serveCancel(stream drpc.Stream) error {
	var message cancelMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	edge.mutex.Lock()
	conn, found := edge.servedConns[message.ConnName]
	edge.mutex.Unlock()
	if found && conn != nil {
		conn.Cancel(stream.Context())
	}
	return stream.MsgSend(&cancelReply{}, wire)
}
