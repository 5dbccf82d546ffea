package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/retry"
	"github.com/ebonywood/ebonywood/internal/session"
)

const (
	// keepBuffer is the greatest output buffer that an idle session keeps.
	maxIdleOutputSize = 4 << 10
)

// conversation serves one caller.
type callerSession struct {
	edge       *Edge
	socket     net.Conn
	frames     *frame.Reader
	pid        uint32
	secret     uint32
	route      *ebonywood.Route
	instance   ebonywood.InstanceID
	state      session.Session
	sentToken  ebonywood.Position
	statements preparedStatements
	output     []byte
	// setup is what the session has set, as statements; each connection gets it
	// before it works for the session.
	settings string

	// mutex guards what other goroutines see: the lane, for a cancel request, and
	// whether the session is between two transactions, for a drain.
	mutex   sync.Mutex
	lease   ebonywood.Lane
	busy    bool
	closing bool
}

// loop serves requests until the caller leaves or the session is drained.
func (caller *callerSession) serveRequests(ctx context.Context) {
	defer caller.releaseLease()
	for {
		request, err := caller.readRequest()
		if err != nil {
			caller.rejectInput(err)
			return
		}
		if request == nil || !caller.beginRequest() {
			return
		}
		if err := caller.serveRequest(ctx, request); err != nil {
			return
		}
		if !caller.endRequest() {
			return
		}
	}
}

// refuseInput answers input that can't be accepted; a caller that just left gets
// nothing.
func (caller *callerSession) rejectInput(err error) {
	fault := ebonywood.FaultOf(err)
	if fault.Kind() == ebonywood.KindBadInput {
		caller.sendFatal(fault)
	}
}

// beginRequest marks the session as busy; it reports false when the session was
// asked to leave first.
func (caller *callerSession) beginRequest() bool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.busy = true
	return !caller.closing || caller.lease != nil
}

func (caller *callerSession) endRequest() bool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.busy = caller.lease != nil
	return caller.busy || !caller.closing
}

// leaveWhenIdle closes the session if it is between two transactions. A request
// that is read at the same moment was not begun, so it is not cut off: the
// caller sees a closed connection before any answer.
func (caller *callerSession) closeWhenIdle() {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if !caller.busy && !caller.closing {
		caller.closing = true
		_ = caller.socket.SetReadDeadline(time.Unix(1, 0))
	}
	caller.closing = true
}

// cancel passes a cancel request to the target that works for this session.
func (caller *callerSession) cancel(ctx context.Context) {
	caller.mutex.Lock()
	lease := caller.lease
	caller.mutex.Unlock()
	if lease != nil {
		lease.Cancel(ctx)
	}
}

func (caller *callerSession) setLease(lease ebonywood.Lane) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.lease = lease
}

func (caller *callerSession) releaseLease() {
	lease := caller.lease
	if lease == nil {
		return
	}
	caller.setLease(nil)
	lease.Release()
}

// serve runs one request to its end. An error ends the session.
func (caller *callerSession) serveRequest(ctx context.Context, request *callerRequest) error {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, caller.route.Deadline().Duration())
	defer cancel()
	fault := caller.runWithRetries(ctx, request)
	caller.recordMetrics(fault, time.Since(startedAt))
	if fault != nil {
		caller.writeFault(fault, "ERROR")
		caller.write(&pgproto3.ReadyForQuery{TxStatus: byte(ebonywood.TxIdle)})
	}
	return caller.flush()
}

// runToEnd tries the request until it is answered, refused or in doubt.
func (caller *callerSession) runWithRetries(ctx context.Context, request *callerRequest) *ebonywood.Fault {
	if fault := caller.checkSessionState(request); fault != nil {
		return fault
	}
	caller.edge.earnRetry(caller.route)
	for attempt := 0; ; attempt++ {
		mayRetry, fault := caller.attempt(ctx, request)
		if !mayRetry || ctx.Err() != nil {
			return fault
		}
		pause, allowed := caller.edge.spendRetry(caller.route, attempt)
		if !allowed {
			return fault
		}
		sleep(ctx, pause)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// attempt runs the request once and reports whether it may be run again.
func (caller *callerSession) attempt(ctx context.Context, request *callerRequest) (mayRetry bool, fault *ebonywood.Fault) {
	inTransaction := caller.lease != nil
	if !inTransaction {
		lease, err := caller.acquire(ctx, request)
		if err != nil {
			return false, ebonywood.FaultOf(err)
		}
		caller.setLease(lease)
	}
	lease := caller.lease
	caller.checkAtMostOnce(request)
	sink := newSink(caller, request, lease, inTransaction)
	answer, err := lease.Exchange(ctx, request.forTarget(caller.settings), sink)
	if err != nil {
		caller.releaseLease()
		return caller.handleFailure(request, sink, inTransaction, ebonywood.FaultOf(err))
	}
	if sink.writeRefused {
		caller.releaseLease()
		request.access = ebonywood.AccessWrite
		return !inTransaction, sink.writeRefusedFault()
	}
	if !lease.IsPrimary() {
		caller.state.Showed(lease.Member(), caller.edge.port.Clock().Now())
	}
	caller.finishRequest(answer, sink)
	if request.setting != "" && !sink.failed {
		caller.recordSetting(request.setting)
	}
	return false, nil
}

// checkAtMostOnce asserts that a request that may have been run on a primary is
// not run there again, unless its route says that it is repeatable.
func (caller *callerSession) checkAtMostOnce(request *callerRequest) {
	safe := caller.route.IsRepeatable() || !request.inDoubt
	caller.edge.port.Invariants().Check(invariant.AtMostOnce, safe, string(caller.instance))
}

// judge decides what a failed exchange means to the caller.
func (caller *callerSession) handleFailure(
	request *callerRequest, sink *sink, inTransaction bool, fault *ebonywood.Fault,
) (mayRetry bool, reported *ebonywood.Fault) {
	caller.output = caller.output[:sink.outputStart]
	if fault.Kind() == ebonywood.KindUnknown {
		caller.state.Doubted(caller.edge.port.Clock().Now())
		request.inDoubt = request.inDoubt || sink.lease.IsPrimary()
	}
	safe := !sink.lease.IsPrimary() || caller.route.IsRepeatable()
	return retry.MayRepeat(fault.Kind(), inTransaction, safe, sink.relayed), fault
}

func (caller *callerSession) acquire(ctx context.Context, request *callerRequest) (ebonywood.Lane, error) {
	remaining := caller.route.Deadline()
	if ctxDeadline, hasDeadline := ctx.Deadline(); hasDeadline {
		remaining = ebonywood.MillisOf(time.Until(ctxDeadline))
	}
	need := ebonywood.NewNeed(caller.instance, caller.route.Name(), request.access, caller.state.Floor(), max(remaining, 1), request.shape)
	return caller.edge.port.Lanes().Acquire(ctx, need)
}

// finish passes on the end of an answer and settles the session's state.
func (caller *callerSession) finishRequest(answer ebonywood.Answer, sink *sink) {
	sink.stopHolding()
	if !answer.Position().IsZero() {
		caller.state.Answered(answer.Position())
		caller.sendToken(caller.state.Floor().At())
	}
	if answer.State() == ebonywood.TxIdle {
		caller.releaseLease()
	}
	caller.write(&pgproto3.ReadyForQuery{TxStatus: byte(answer.State())})
}

// announceToken tells the caller its floor, which it may present to another
// proxy.
func (caller *callerSession) sendToken(token ebonywood.Position) {
	if token == caller.sentToken {
		return
	}
	caller.sentToken = token
	caller.write(&pgproto3.ParameterStatus{Name: tokenParameter, Value: token.String()})
}

// write encodes messages into the output buffer.
func (caller *callerSession) write(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		encoded, err := message.Encode(caller.output)
		if err == nil {
			caller.output = encoded
		}
	}
}

func (caller *callerSession) writeFault(fault *ebonywood.Fault, severity string) {
	caller.write(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: fault.Kind().SQLState(),
		Message: fault.Message(), Hint: fault.Remedy(), Detail: fault.Kind().String(),
	})
}

// flush sends the output buffer. A caller that doesn't read for too long is cut
// off.
func (caller *callerSession) flush() error {
	if len(caller.output) == 0 {
		return nil
	}
	_ = caller.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := caller.socket.Write(caller.output)
	caller.output = caller.output[:0]
	if cap(caller.output) > maxIdleOutputSize {
		caller.output = nil
	}
	return err
}

// count feeds the metrics and the account of service levels. What a caller asked
// for in vain by its own fault does not count against the level.
func (caller *callerSession) recordMetrics(fault *ebonywood.Fault, took time.Duration) {
	outcome := "answered"
	if fault != nil {
		outcome = fault.Kind().String()
	}
	caller.edge.meter(caller.route.Name(), outcome).record(took)
	caller.edge.port.Levels().Record(caller.route.Name(), caller.route.Objective(), fault == nil, took, caller.edge.port.Clock().Now())
}
