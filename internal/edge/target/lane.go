package target

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
	"github.com/ebonywood/ebonywood/internal/invariant"
)

const (
	// cancelLimit bounds the sending of a cancel request.
	cancelLimit = time.Second
	// resetText takes away all that sessions can set.
	resetText = "RESET ALL;"
	// preparedLimit bounds the statements that one connection holds.
	preparedLimit = 512
)

// lane is a leased connection. It holds a slot of the member during an exchange,
// and from the lease to the first exchange.
type lane struct {
	pool    *pool
	need    ebonywood.Requirements
	route   *ebonywood.Route
	conn    *conn
	gate    *gate
	ticket  uint64
	entered time.Time
	state   ebonywood.TxState
	// sent is how many bytes of the request left.
	sent int
	// heard says that the answer has begun.
	heard  atomic.Bool
	broken bool
	// stale says that the connection's prepared statements are in doubt.
	stale bool

	// cancelling keeps a cancel request from reaching the next user of the
	// connection: Release waits for it.
	cancelling sync.Mutex
	canceled   bool
	released   bool
}

// Member is the member that the connection leads to.
func (lane *lane) Member() ebonywood.MemberID { return lane.pool.member.ID() }

// IsPrimary reports whether the connection was opened to a primary.
func (lane *lane) IsPrimary() bool { return lane.conn.role == ebonywood.RolePrimary }

func (lane *lane) takeSlot(ctx context.Context) error {
	ticket, err := lane.pool.enter(ctx, lane.need, lane.route)
	if err != nil {
		return err
	}
	lane.ticket, lane.entered = ticket, time.Now()
	return nil
}

func (lane *lane) freeSlot() {
	if lane.ticket != 0 {
		lane.pool.leave(lane.ticket, lane.need.Shape(), time.Since(lane.entered))
		lane.ticket = 0
	}
}

// Exchange runs one request.
func (lane *lane) Exchange(
	ctx context.Context, request *ebonywood.Request, sink ebonywood.Sink,
) (ebonywood.ExchangeResult, error) {
	if lane.broken {
		return ebonywood.ExchangeResult{}, lane.notRun(errors.New("the connection was lost before"))
	}
	if lane.ticket == 0 {
		if err := lane.takeSlot(ctx); err != nil {
			return ebonywood.ExchangeResult{}, err
		}
	}
	if lane.gate != nil {
		during, ended := lane.gate.during(ctx, lane.conn.term)
		defer ended()
		ctx = during
	}
	lane.pool.check(invariant.OneTransaction, lane.conn.lane == lane)
	lane.pool.check(invariant.WholeAnswer, lane.conn.Buffered() == 0)
	guarded, unguard := lane.guard(ctx)
	release := lane.conn.Bound(guarded)
	state, err := lane.run(guarded, request, sink)
	release()
	unguard()
	lane.freeSlot()
	if err != nil {
		lane.broken = true
		notRun := ebonywood.FaultOf(err).Kind() == ebonywood.KindNotRun
		lane.pool.check(invariant.TrulyNotRun, !notRun || lane.sent == 0)
		return ebonywood.ExchangeResult{}, err
	}
	lane.state = state
	if !lane.IsPrimary() || state != ebonywood.TxIdle {
		return ebonywood.NewExchangeResult(state, ebonywood.Position{}), nil
	}
	return lane.confirm(ctx, state)
}

func (lane *lane) confirm(ctx context.Context, state ebonywood.TxState) (ebonywood.ExchangeResult, error) {
	set := lane.pool.edge.port.Snapshot().ObjectSet()
	instance, found := set.Instance(lane.need.Instance())
	if !found {
		return ebonywood.ExchangeResult{}, lane.unknown(errors.New("the instance was withdrawn"))
	}
	at, err := lane.pool.edge.confirmer(instance).wait(ctx, lane.Member(), lane.conn.term)
	if err != nil {
		lane.broken = true
		return ebonywood.ExchangeResult{}, err
	}
	lane.pool.check(invariant.NoReplacedAck, at.Term() == lane.conn.term)
	return ebonywood.NewExchangeResult(state, at), nil
}

func (lane *lane) notRun(err error) error {
	return ebonywood.NewFault(ebonywood.KindNotRun, fmt.Sprintf("%s: %v", lane.Member(), err),
		"send the request again; it was not run")
}

func (lane *lane) unknown(err error) error {
	return ebonywood.NewFault(ebonywood.KindUnknown, fmt.Sprintf("%s: %v", lane.Member(), err),
		"read back whether the request took effect")
}

// run sends the request and relays the answer until the target is ready again.
func (lane *lane) run(
	ctx context.Context, request *ebonywood.Request, sink ebonywood.Sink,
) (ebonywood.TxState, error) {
	lane.sent = 0
	lane.heard.Store(false)
	if err := lane.setUp(ctx, request.Setup()); err != nil {
		return 0, lane.notRun(err)
	}
	lane.stale = lane.stale || request.Taints()
	message, injected := lane.withPreparations(request)
	sent, err := lane.conn.Write(message)
	lane.sent = sent
	if err != nil && sent == 0 {
		return 0, lane.notRun(err)
	}
	if err != nil {
		return 0, lane.unknown(err)
	}
	for {
		received, err := lane.conn.Next()
		if err != nil {
			return 0, lane.unknown(err)
		}
		lane.heard.Store(true)
		switch received[0] {
		case frame.ReadyForQuery:
			return ebonywood.TxState(received[frame.HeaderSize]), nil
		case frame.ParseComplete:
			if injected > 0 {
				injected--
				continue
			}
		case frame.ErrorResponse:
			lane.forget(request, injected)
		}
		if err := sink.WriteFrame(received); err != nil {
			return 0, lane.unknown(err)
		}
		if received[0] == frame.CopyInResponse {
			if err := lane.copyIn(ctx, sink); err != nil {
				return 0, lane.unknown(err)
			}
		}
	}
}

// setUp gives the connection what the session has set, and takes away what an
// earlier session had.
func (lane *lane) setUp(ctx context.Context, setup string) error {
	if lane.conn.setup == setup {
		return nil
	}
	if _, err := lane.conn.Query(ctx, resetText+setup); err != nil {
		return err
	}
	lane.conn.setup = setup
	return nil
}

// withPreparations puts the statements that the connection does not know yet
// before the request.
func (lane *lane) withPreparations(request *ebonywood.Request) (message []byte, injected int) {
	for _, each := range request.PreparedStatements() {
		if _, known := lane.conn.prepared[each.Name()]; known {
			continue
		}
		lane.conn.prepared[each.Name()] = struct{}{}
		message = append(message, each.Parse()...)
		injected++
	}
	if injected == 0 {
		return request.Body(), 0
	}
	return append(message, request.Body()...), injected
}

// forget drops the statements whose preparation was not answered before an
// error.
func (lane *lane) forget(request *ebonywood.Request, unanswered int) {
	if unanswered == 0 {
		return
	}
	for _, each := range request.PreparedStatements() {
		delete(lane.conn.prepared, each.Name())
	}
	lane.stale = true
}

// copyIn sends what the caller copies until it ends or fails.
func (lane *lane) copyIn(ctx context.Context, sink ebonywood.Sink) error {
	for {
		more, err := sink.NextInput(ctx)
		if err != nil {
			return err
		}
		if _, err := lane.conn.Write(more); err != nil {
			return err
		}
		if more[0] == frame.CopyDone || more[0] == frame.CopyFail {
			return nil
		}
	}
}

// Cancel asks the target to cancel the exchange. The connection is closed
// afterwards, because a request that arrives late would hit whatever runs next.
func (lane *lane) Cancel(ctx context.Context) {
	lane.cancelling.Lock()
	defer lane.cancelling.Unlock()
	if lane.released {
		return
	}
	lane.canceled = true
	ctx, cancel := context.WithTimeout(ctx, cancelLimit)
	defer cancel()
	_ = lane.conn.Cancel(ctx)
}

// Release returns the connection for reuse, or closes it when a transaction is
// open on it or its state is in doubt.
func (lane *lane) Release() {
	lane.cancelling.Lock()
	lane.released = true
	canceled := lane.canceled
	lane.cancelling.Unlock()
	lane.freeSlot()
	dirty := lane.state == ebonywood.TxOpen || lane.state == ebonywood.TxFailed
	if lane.broken || lane.stale || canceled || dirty || len(lane.conn.prepared) > preparedLimit {
		lane.pool.lose(lane.conn)
	} else {
		lane.pool.giveBack(lane.conn)
	}
	if lane.gate != nil {
		lane.gate.leave()
	}
}
