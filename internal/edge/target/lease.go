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
	// cancelTimeout bounds a cancel request.
	cancelTimeout = time.Second
	// resetStatement removes all session settings from a connection.
	resetStatement = "RESET ALL;"
	// maxPreparedStatements bounds the prepared statements on one connection; a
	// connection with more is closed when it is released.
	maxPreparedStatements = 512
)

// leasedConn is a connection that is leased for one transaction. It holds a slot of
// the member during each exchange, and from the lease to the first exchange.
type leasedConn struct {
	pool         *pool
	requirements ebonywood.Requirements
	route        *ebonywood.Route
	conn         *conn
	// tracker counts the transaction as open on the primary; nil on a replica.
	tracker *primaryTracker
	// ticket identifies the held slot; 0 if no slot is held.
	ticket      uint64
	slotTakenAt time.Time
	txState     ebonywood.TxState
	// sentBytes is how much of the request was written.
	sentBytes int
	// replyStarted is set once the first message of the reply has arrived.
	replyStarted atomic.Bool
	// broken is set when an exchange failed; no further one is run.
	broken bool
	// tainted is set when the settings or prepared statements on the connection may
	// differ from those recorded, so it must not be reused.
	tainted bool

	// cancelMutex is held during a cancel request. Release waits for it, so that the
	// request can't reach the next user of the connection.
	cancelMutex sync.Mutex
	canceled    bool
	released    bool
}

// Member returns the member that the connection was opened to.
func (lease *leasedConn) Member() ebonywood.MemberID { return lease.pool.member.ID() }

// IsPrimary reports whether the connection was opened to a primary.
func (lease *leasedConn) IsPrimary() bool { return lease.conn.role == ebonywood.RolePrimary }

// takeSlot waits for a slot of the member.
func (lease *leasedConn) takeSlot(ctx context.Context) error {
	ticket, err := lease.pool.takeSlot(ctx, lease.requirements, lease.route)
	if err != nil {
		return err
	}
	lease.ticket, lease.slotTakenAt = ticket, time.Now()
	return nil
}

// freeSlot frees the slot if one is held.
func (lease *leasedConn) freeSlot() {
	if lease.ticket != 0 {
		lease.pool.freeSlot(lease.ticket, lease.requirements.Shape(), time.Since(lease.slotTakenAt))
		lease.ticket = 0
	}
}

// Exchange runs one request. If the transaction ended on a primary, it returns after
// a majority has confirmed it. A fault of KindNotRun or KindOverload means that the
// request was not run, KindUnknown that it may have been.
func (lease *leasedConn) Exchange(
	ctx context.Context, request *ebonywood.Request, sink ebonywood.Sink,
) (ebonywood.ExchangeResult, error) {
	if lease.broken {
		return ebonywood.ExchangeResult{}, lease.notRunFault(errors.New("the connection failed in an earlier request"))
	}
	if lease.ticket == 0 {
		if err := lease.takeSlot(ctx); err != nil {
			return ebonywood.ExchangeResult{}, err
		}
	}
	if lease.tracker != nil {
		termCtx, cancel := lease.tracker.contextForTerm(ctx, lease.conn.term)
		defer cancel()
		ctx = termCtx
	}
	lease.pool.checkInvariant(invariant.OneTransactionPerConnection, lease.conn.lease == lease)
	lease.pool.checkInvariant(invariant.WholeAnswerToOwnRequest, lease.conn.Buffered() == 0)
	exchangeCtx, stopDetection := lease.detectSilence(ctx)
	release := lease.conn.ApplyContext(exchangeCtx)
	state, err := lease.run(exchangeCtx, request, sink)
	release()
	stopDetection()
	lease.freeSlot()
	if err != nil {
		lease.broken = true
		notRun := ebonywood.FaultOf(err).Kind() == ebonywood.KindNotRun
		lease.pool.checkInvariant(invariant.NotRunIsTrue, !notRun || lease.sentBytes == 0)
		return ebonywood.ExchangeResult{}, err
	}
	lease.txState = state
	if !lease.IsPrimary() || state != ebonywood.TxIdle {
		return ebonywood.NewExchangeResult(state, ebonywood.Position{}), nil
	}
	return lease.confirm(ctx, state)
}

// confirm waits until a majority has confirmed the transaction that just ended.
func (lease *leasedConn) confirm(ctx context.Context, state ebonywood.TxState) (ebonywood.ExchangeResult, error) {
	set := lease.pool.edge.port.Snapshot().ObjectSet()
	instance, found := set.Instance(lease.requirements.Instance())
	if !found {
		return ebonywood.ExchangeResult{}, lease.unknownFault(errors.New("the instance was withdrawn"))
	}
	position, err := lease.pool.edge.confirmerFor(instance).wait(ctx, lease.Member(), lease.conn.term)
	if err != nil {
		lease.broken = true
		return ebonywood.ExchangeResult{}, err
	}
	lease.pool.checkInvariant(invariant.NoAcknowledgementByReplacedPrimary, position.Term() == lease.conn.term)
	return ebonywood.NewExchangeResult(state, position), nil
}

func (lease *leasedConn) notRunFault(err error) error {
	return ebonywood.NewFault(ebonywood.KindNotRun, fmt.Sprintf("%s: %v", lease.Member(), err),
		"send the request again; it was not run")
}

func (lease *leasedConn) unknownFault(err error) error {
	return ebonywood.NewFault(ebonywood.KindUnknown, fmt.Sprintf("%s: %v", lease.Member(), err),
		"read back whether the request took effect")
}

// run sends the request and relays the reply until the target is ready for the next
// one.
func (lease *leasedConn) run(
	ctx context.Context, request *ebonywood.Request, sink ebonywood.Sink,
) (ebonywood.TxState, error) {
	lease.sentBytes = 0
	lease.replyStarted.Store(false)
	if err := lease.applySettings(ctx, request.Settings()); err != nil {
		return 0, lease.notRunFault(err)
	}
	lease.tainted = lease.tainted || request.ChangesSettings()
	message, injected := lease.withPreparedStatements(request)
	sent, err := lease.conn.Write(message)
	lease.sentBytes = sent
	if err != nil && sent == 0 {
		return 0, lease.notRunFault(err)
	}
	if err != nil {
		return 0, lease.unknownFault(err)
	}
	for {
		received, err := lease.conn.Next()
		if err != nil {
			return 0, lease.unknownFault(err)
		}
		lease.replyStarted.Store(true)
		switch received[0] {
		case frame.ReadyForQuery:
			return ebonywood.TxState(received[frame.HeaderSize]), nil
		case frame.ParseComplete:
			if injected > 0 {
				injected--
				continue
			}
		case frame.ErrorResponse:
			lease.forgetPreparedStatements(request, injected)
		}
		if err := sink.WriteFrame(received); err != nil {
			return 0, lease.unknownFault(err)
		}
		if received[0] == frame.CopyInResponse {
			if err := lease.copyIn(ctx, sink); err != nil {
				return 0, lease.unknownFault(err)
			}
		}
	}
}

// applySettings replaces the settings on the connection, which an earlier session
// may have left, with those of the session.
func (lease *leasedConn) applySettings(ctx context.Context, settings string) error {
	if lease.conn.settings == settings {
		return nil
	}
	if _, err := lease.conn.Query(ctx, resetStatement+settings); err != nil {
		return err
	}
	lease.conn.settings = settings
	return nil
}

// withPreparedStatements returns the request's messages, preceded by the Parse messages
// of the statements that are not yet prepared on the connection. injected is the number
// of these Parse messages.
func (lease *leasedConn) withPreparedStatements(request *ebonywood.Request) (message []byte, injected int) {
	for _, statement := range request.PreparedStatements() {
		if _, exists := lease.conn.prepared[statement.Name()]; exists {
			continue
		}
		lease.conn.prepared[statement.Name()] = struct{}{}
		message = append(message, statement.Parse()...)
		injected++
	}
	if injected == 0 {
		return request.Body(), 0
	}
	return append(message, request.Body()...), injected
}

// forgetPreparedStatements removes the request's statements from those recorded as
// prepared if an error arrived before all of them were acknowledged, and taints the
// connection.
func (lease *leasedConn) forgetPreparedStatements(request *ebonywood.Request, unacknowledged int) {
	if unacknowledged == 0 {
		return
	}
	for _, statement := range request.PreparedStatements() {
		delete(lease.conn.prepared, statement.Name())
	}
	lease.tainted = true
}

// copyIn sends the caller's COPY data until the caller ends or aborts the copy.
func (lease *leasedConn) copyIn(ctx context.Context, sink ebonywood.Sink) error {
	for {
		message, err := sink.NextInput(ctx)
		if err != nil {
			return err
		}
		if _, err := lease.conn.Write(message); err != nil {
			return err
		}
		if message[0] == frame.CopyDone || message[0] == frame.CopyFail {
			return nil
		}
	}
}

// Cancel sends a cancel request for the running exchange to the target. The
// connection is closed on release, because a cancel request that arrives late would
// cancel whatever runs on it next.
func (lease *leasedConn) Cancel(ctx context.Context) {
	lease.cancelMutex.Lock()
	defer lease.cancelMutex.Unlock()
	if lease.released {
		return
	}
	lease.canceled = true
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = lease.conn.Cancel(ctx)
}

// Release returns the connection to the pool, or closes it if a transaction is open
// on it, its state is uncertain, or it holds too many prepared statements.
func (lease *leasedConn) Release() {
	lease.cancelMutex.Lock()
	lease.released = true
	canceled := lease.canceled
	lease.cancelMutex.Unlock()
	lease.freeSlot()
	inTransaction := lease.txState == ebonywood.TxOpen || lease.txState == ebonywood.TxFailed
	if lease.broken || lease.tainted || canceled || inTransaction || len(lease.conn.prepared) > maxPreparedStatements {
		lease.pool.closeConn(lease.conn)
	} else {
		lease.pool.returnConn(lease.conn)
	}
	if lease.tracker != nil {
		lease.tracker.end()
	}
}
