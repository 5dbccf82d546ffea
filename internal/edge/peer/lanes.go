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

// Acquire leases a lane at the owner of the instance. If the owner can't be
// reached, the next in order serves.
func (edge *Edge) Acquire(ctx context.Context, need ebonywood.Requirements) (ebonywood.PooledConn, error) {
	snapshot := edge.port.Snapshot()
	owners := snapshot.Owners().Of(need.Instance())
	if len(owners) == 0 {
		return edge.local.Acquire(ctx, need)
	}
	var last error
	for _, owner := range owners {
		if owner.Name() == edge.port.Settings().Name() {
			return edge.local.Acquire(ctx, need)
		}
		lane, err := edge.open(ctx, owner, need)
		if err == nil {
			return lane, nil
		}
		last = err
	}
	return nil, ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("no owner of %s can be reached: %v", need.Instance(), last), "send the request again; it was not run")
}

const (
	// dialLimit bounds the opening of a lane's connection.
	dialLimit = 200 * time.Millisecond
	// releaseLimit bounds the wait for the owner's end of a released lane.
	releaseLimit = time.Second
)

// open takes a connection to the owner. The need travels with the first request,
// so that a forwarded request costs one round trip.
func (edge *Edge) open(ctx context.Context, owner ebonywood.PeerView, need ebonywood.Requirements) (*remoteLane, error) {
	link := edge.link(owner.Address())
	dialing, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	conn, _, err := link.Take(dialing)
	if err != nil {
		return nil, err
	}
	opened, end := context.WithCancel(edge.group.Context())
	stream, err := conn.NewStream(opened, rpcLane, wire)
	if err != nil {
		end()
		_ = conn.Close()
		return nil, err
	}
	edge.mutex.Lock()
	edge.number++
	name := fmt.Sprintf("%s/%d", edge.port.Settings().Name(), edge.number)
	edge.mutex.Unlock()
	return &remoteLane{edge: edge, link: link, conn: conn, stream: stream, end: end, need: need, name: name}, nil
}

// remoteLane is a lane at another proxy.
type remoteLane struct {
	edge    *Edge
	link    *peerlink.Link
	conn    *drpcconn.Conn
	stream  drpc.Stream
	end     context.CancelFunc
	need    ebonywood.Requirements
	name    string
	opened  bool
	member  ebonywood.MemberID
	replica bool
	broken  bool
}

// Member is the member, once the first answer came.
func (lane *remoteLane) Member() ebonywood.MemberID { return lane.member }

// IsPrimary reports whether the lane leads to a primary, which is assumed until
// the first answer came.
func (lane *remoteLane) IsPrimary() bool { return !lane.replica }

// Exchange sends the request to the owner and relays its answer.
func (lane *remoteLane) Exchange(
	ctx context.Context, request *ebonywood.Request, sink ebonywood.Sink,
) (ebonywood.ExchangeResult, error) {
	stop := context.AfterFunc(ctx, lane.end)
	defer stop()
	message := lane.encode(ctx, request)
	if err := lane.stream.MsgSend(message, wire); err != nil {
		return lane.lost(err)
	}
	for {
		var reply laneReply
		if err := lane.stream.MsgRecv(&reply, wire); err != nil {
			return lane.lost(err)
		}
		if reply.Member != "" {
			lane.opened, lane.member, lane.replica = true, ebonywood.MemberID(reply.Member), !reply.Primary
		}
		if err := relayAll(sink, reply.Frames); err != nil {
			return lane.lost(err)
		}
		if reply.Asks {
			if err := lane.copyIn(ctx, sink); err != nil {
				return lane.lost(err)
			}
		}
		if !reply.Done {
			continue
		}
		if reply.Fault != nil {
			lane.broken = true
			return ebonywood.ExchangeResult{}, reply.Fault.decode()
		}
		at := ebonywood.NewPosition(ebonywood.Term(reply.Term), reply.Offset)
		return ebonywood.NewExchangeResult(ebonywood.TxState(reply.State), at), nil
	}
}

// encode makes the message of a request; the first one carries the need.
func (lane *remoteLane) encode(ctx context.Context, request *ebonywood.Request) *laneMessage {
	message := &laneMessage{
		Version: protocolVersion, Body: request.Body(), Setup: request.Setup(), Taints: request.Taints(),
		Deadline: int64(lane.need.Timeout()),
	}
	if until, bounded := ctx.Deadline(); bounded {
		message.Deadline = time.Until(until).Milliseconds()
	}
	for _, each := range request.PreparedStatements() {
		message.Preparations = append(message.Preparations, preparationMessage{Name: each.Name(), Parse: each.Parse()})
	}
	if !lane.opened {
		message.Need = lane.encodeNeed()
	}
	return message
}

func (lane *remoteLane) encodeNeed() *needMessage {
	floor := lane.need.Floor()
	return &needMessage{
		Instance: string(lane.need.Instance()), Route: lane.need.Route(), Access: uint8(lane.need.Access()),
		Term: uint64(floor.Position().Term()), Offset: floor.Position().Offset(),
		SinceAge: int64(lane.edge.port.Clock().Now() - floor.Since()), Last: string(floor.LastMember()),
		Deadline: int64(lane.need.Timeout()), Shape: lane.need.Shape(), Lane: lane.name,
	}
}

// lost ends the lane. Once a request was on its way its outcome is unknown.
func (lane *remoteLane) lost(err error) (ebonywood.ExchangeResult, error) {
	lane.broken = true
	return ebonywood.ExchangeResult{}, ebonywood.NewFault(ebonywood.KindUnknown,
		fmt.Sprintf("the owner of %s did not answer: %v", lane.need.Instance(), err),
		"read back whether the request took effect")
}

// copyIn passes on one message of a copy.
func (lane *remoteLane) copyIn(ctx context.Context, sink ebonywood.Sink) error {
	more, err := sink.NextInput(ctx)
	if err != nil {
		return errors.CombineErrors(err, lane.stream.MsgSend(&laneMessage{Version: protocolVersion, Failed: true}, wire))
	}
	return lane.stream.MsgSend(&laneMessage{Version: protocolVersion, More: more}, wire)
}

// Cancel asks the owner to cancel the exchange.
func (lane *remoteLane) Cancel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	var reply cancelReply
	_ = lane.link.Invoke(ctx, rpcCancel, &cancelMessage{Version: protocolVersion, Lane: lane.name}, &reply)
}

// Release ends the lane at the owner. The connection is used again once the
// owner has closed its side, for which nobody waits.
func (lane *remoteLane) Release() {
	if lane.broken || lane.stream.CloseSend() != nil {
		lane.end()
		_ = lane.conn.Close()
		return
	}
	lane.edge.group.Go(func(context.Context) error {
		timer := time.AfterFunc(releaseLimit, lane.end)
		defer timer.Stop()
		var reply laneReply
		if err := lane.stream.MsgRecv(&reply, wire); errors.Is(err, io.EOF) {
			lane.link.Put(lane.conn)
			return nil
		}
		lane.end()
		_ = lane.conn.Close()
		return nil
	})
}

// relayAll cuts frames apart for the sink.
func relayAll(sink ebonywood.Sink, frames []byte) error {
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
