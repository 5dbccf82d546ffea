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

// batchSize is how much of an answer goes into one message.
const batchSize = 16 << 10

func frameSize(frames []byte) (int, error) {
	if len(frames) < frame.HeaderSize {
		return 0, errors.New("a forwarded message is cut short")
	}
	size := int(binary.BigEndian.Uint32(frames[1:])) + 1
	if size < frame.HeaderSize || size > len(frames) {
		return 0, errors.New("a forwarded message states a wrong length")
	}
	return size, nil
}

// serveLane runs the requests of one remote lane on a lane of this process. It
// never forwards further: if this process is not the owner in its own eyes, it
// serves all the same, since ownership is a hint.
func (edge *Edge) serveLane(stream drpc.Stream) error {
	var lane ebonywood.PooledConn
	var name string
	defer func() {
		if lane != nil {
			lane.Release()
		}
		edge.forget(name)
	}()
	for {
		var message laneMessage
		if err := stream.MsgRecv(&message, wire); err != nil {
			return nil
		}
		if err := checkVersion(message.Version); err != nil {
			return stream.MsgSend(&laneReply{Done: true, Fault: encodeFault(err)}, wire)
		}
		ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(message.Deadline)*time.Millisecond)
		if lane == nil {
			acquired, err := edge.acquireFor(ctx, message.Need, &name)
			if err != nil {
				cancel()
				return stream.MsgSend(&laneReply{Done: true, Fault: encodeFault(err)}, wire)
			}
			lane = acquired
			edge.remember(name, lane)
		}
		err := edge.exchange(ctx, stream, lane, &message)
		cancel()
		if err != nil {
			return err
		}
	}
}

func (edge *Edge) acquireFor(ctx context.Context, message *needMessage, name *string) (ebonywood.PooledConn, error) {
	if message == nil {
		return nil, ebonywood.NewFault(ebonywood.KindNotRun, "the first message of a lane states no need", "send the request again")
	}
	if err := edge.reserve(message.Lane); err != nil {
		return nil, err
	}
	*name = message.Lane
	at := ebonywood.NewPosition(ebonywood.Term(message.Term), message.Offset)
	since := edge.port.Clock().Now() - ebonywood.Millis(message.SinceAge)
	floor := ebonywood.NewFloor(at, since, ebonywood.MemberID(message.Last))
	need := ebonywood.NewRequirements(ebonywood.InstanceID(message.Instance), message.Route, ebonywood.Access(message.Access),
		floor, ebonywood.Millis(message.Deadline), message.Shape)
	return edge.local.Acquire(ctx, need)
}

// reserve counts a lane before it is acquired, so that a drain waits for it.
func (edge *Edge) reserve(name string) error {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if edge.draining {
		return ebonywood.NewFault(ebonywood.KindNotRun, "the owner is leaving", "send the request again; it was not run")
	}
	edge.served[name] = nil
	return nil
}

func (edge *Edge) remember(name string, lane ebonywood.PooledConn) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.served[name] = lane
}

func (edge *Edge) forget(name string) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	delete(edge.served, name)
}

// exchange runs one request. An error ends the stream, and with it the lane.
func (edge *Edge) exchange(ctx context.Context, stream drpc.Stream, lane ebonywood.PooledConn, message *laneMessage) error {
	preparations := make([]ebonywood.PreparedStatement, 0, len(message.Preparations))
	for _, each := range message.Preparations {
		preparations = append(preparations, ebonywood.NewPreparedStatement(each.Name, each.Parse))
	}
	sink := &forwardSink{stream: stream, reply: laneReply{Member: string(lane.Member()), Primary: lane.IsPrimary()}}
	answer, err := lane.Exchange(ctx, ebonywood.NewRequest(message.Body, preparations, message.Setup, message.Taints), sink)
	sink.reply.Done = true
	if err != nil {
		sink.reply.Fault = encodeFault(err)
		return errors.CombineErrors(stream.MsgSend(&sink.reply, wire), err)
	}
	sink.reply.State = uint8(answer.State())
	sink.reply.Term, sink.reply.Offset = uint64(answer.Position().Term()), answer.Position().Offset()
	return stream.MsgSend(&sink.reply, wire)
}

// forwardSink gathers an answer into messages to the entry proxy.
type forwardSink struct {
	stream drpc.Stream
	reply  laneReply
}

// Relay takes one message of the target.
func (sink *forwardSink) WriteFrame(message []byte) error {
	sink.reply.Frames = append(sink.reply.Frames, message...)
	if len(sink.reply.Frames) < batchSize {
		return nil
	}
	return sink.send()
}

func (sink *forwardSink) send() error {
	err := sink.stream.MsgSend(&sink.reply, wire)
	sink.reply.Frames = sink.reply.Frames[:0]
	return err
}

// More asks the entry proxy for what its caller copies in.
func (sink *forwardSink) NextInput(context.Context) ([]byte, error) {
	sink.reply.Asks = true
	if err := sink.send(); err != nil {
		return nil, err
	}
	sink.reply.Asks = false
	var message laneMessage
	if err := sink.stream.MsgRecv(&message, wire); err != nil {
		return nil, err
	}
	if message.Failed || len(message.More) == 0 {
		return nil, errors.New("the caller broke the copy off")
	}
	return message.More, nil
}

func (edge *Edge) serveCancel(stream drpc.Stream) error {
	var message cancelMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	edge.mutex.Lock()
	lane, found := edge.served[message.Lane]
	edge.mutex.Unlock()
	if found && lane != nil {
		lane.Cancel(stream.Context())
	}
	return stream.MsgSend(&cancelReply{}, wire)
}
