package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/clientguard"
	"github.com/ebonywood/ebonywood/internal/frame"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/retry"
	"github.com/ebonywood/ebonywood/internal/session"
)

const (
	// maxIdleOutputSize bounds the capacity, in bytes, of the output buffer that a
	// session keeps between two writes.
	maxIdleOutputSize = 4 << 10
	// maxPendingSize bounds the part of a reply, in bytes, that waits for the caller while the
	// rest is still received.
	maxPendingSize = 2 << 20
)

// callerSession is the session of one caller. It belongs to one goroutine, except
// cancel and closeWhenIdle.
type callerSession struct {
	edge   *Edge
	socket net.Conn
	limits *clientguard.Conn
	frames *frame.Reader
	// pid and secret authenticate cancel requests for the session.
	pid      uint32
	secret   uint32
	user     string
	route    *ebonywood.Route
	instance ebonywood.InstanceID
	// state tracks the session's floor.
	state session.Session
	// sentToken is the floor that was last sent to the caller.
	sentToken  ebonywood.Position
	statements preparedStatements
	// output holds encoded messages that are not yet written to the socket.
	output []byte
	// settings are the session's settings as SQL statements. They are applied to
	// each target connection before it runs a request of the session.
	settings string

	// mutex guards the fields that other goroutines use: lease, for a cancel request,
	// busy and closing, for a drain, and removed, for a new object set.
	mutex sync.Mutex
	// lease is the target connection of the open transaction; nil if none is open.
	lease ebonywood.PooledConn
	// busy is set during a request and while a transaction is open.
	busy bool
	// closing is set when the session must end after the open transaction.
	closing bool
	// removed is set when the session must end because its user belongs to no workspace any
	// more.
	removed bool
}

// serveRequests serves requests until the caller disconnects or the session is
// drained.
func (caller *callerSession) serveRequests(ctx context.Context) {
	defer caller.releaseLease()
	defer caller.sendRemoval()
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
		caller.frames.Release()
		caller.limits.Release()
		if !caller.endRequest() {
			return
		}
	}
}

// rejectInput sends an error for invalid input and for a limit that was met; other read
// errors, such as a closed connection, send nothing.
func (caller *callerSession) rejectInput(err error) {
	if fault := caller.limits.ReadFailed(err); fault != nil {
		caller.sendFatal(fault)
		return
	}
	switch fault := ebonywood.FaultOf(err); fault.Kind() {
	case ebonywood.KindBadInput, ebonywood.KindTooLarge, ebonywood.KindNoMemory:
		caller.sendFatal(fault)
	}
}

// beginRequest marks the session as busy. It reports false if the session is closing, or its
// user was removed, and no transaction is open, in which case the request must not be run.
func (caller *callerSession) beginRequest() bool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.busy = true
	if caller.lease != nil {
		return true
	}
	caller.removed = caller.removed || !caller.isAllowed()
	return !caller.closing && !caller.removed
}

// endRequest updates busy and reports whether the session continues.
func (caller *callerSession) endRequest() bool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.busy = caller.lease != nil
	if caller.busy {
		return true
	}
	caller.removed = caller.removed || !caller.isAllowed()
	return !caller.closing && !caller.removed
}

// closeWhenIdle makes the session end after the open transaction, or immediately if
// none is open. A request that is read concurrently is not started, so it is not
// interrupted: the caller sees a closed connection before any reply.
func (caller *callerSession) closeWhenIdle() {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if !caller.busy && !caller.closing {
		caller.closing = true
		caller.limits.StopReading()
	}
	caller.closing = true
}

// cancel forwards a cancel request to the target that runs the session's request.
func (caller *callerSession) cancel(ctx context.Context) {
	caller.mutex.Lock()
	lease := caller.lease
	caller.mutex.Unlock()
	if lease != nil {
		lease.Cancel(ctx)
	}
}

func (caller *callerSession) setLease(lease ebonywood.PooledConn) {
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

// serveRequest runs one request within the route's timeout and sends its reply. An
// error means that the reply could not be written, and ends the session.
func (caller *callerSession) serveRequest(ctx context.Context, request *callerRequest) error {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, caller.route.Timeout().Duration())
	defer cancel()
	fault := caller.runWithRetries(ctx, request)
	caller.recordMetrics(fault, time.Since(startedAt))
	if fault != nil {
		caller.writeFault(fault, "ERROR")
		caller.write(&pgproto3.ReadyForQuery{TxStatus: byte(ebonywood.TxIdle)})
	}
	return caller.flush()
}

// runWithRetries runs the request, with retries as the retry rules and the route's
// budget allow. It returns the fault of the last attempt, or nil.
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

// attempt runs the request once and reports whether it may be retried.
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
	result, err := lease.Exchange(ctx, request.forTarget(caller.settings), sink)
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
		caller.state.RecordReplicaRead(lease.Member(), caller.edge.port.Clock().Now())
	}
	caller.finishRequest(result, sink)
	if request.setting != "" && !sink.failed {
		caller.recordSetting(request.setting)
	}
	return false, nil
}

// checkAtMostOnce asserts that a request that may have been run on a primary is not
// run again, unless its route is configured as repeatable.
func (caller *callerSession) checkAtMostOnce(request *callerRequest) {
	safe := caller.route.IsRepeatable() || !request.inDoubt
	caller.edge.port.Invariants().Check(invariant.UnsafeAtMostOnce, safe, string(caller.instance))
}

// handleFailure discards the buffered part of the reply, updates the session's floor
// if the outcome is unknown, and decides whether the request may be retried.
func (caller *callerSession) handleFailure(
	request *callerRequest, sink *sink, inTransaction bool, fault *ebonywood.Fault,
) (mayRetry bool, reported *ebonywood.Fault) {
	caller.output = caller.output[:sink.outputStart]
	if fault.Kind() == ebonywood.KindUnknown {
		caller.state.RecordUnknownOutcome(caller.edge.port.Clock().Now())
		request.inDoubt = request.inDoubt || sink.lease.IsPrimary()
	}
	safe := !sink.lease.IsPrimary() || caller.route.IsRepeatable()
	return retry.MayRetry(fault.Kind(), inTransaction, safe, sink.relayed), fault
}

// acquire leases a connection for the request within the rest of its deadline.
func (caller *callerSession) acquire(ctx context.Context, request *callerRequest) (ebonywood.PooledConn, error) {
	remaining := caller.route.Timeout()
	if ctxDeadline, hasDeadline := ctx.Deadline(); hasDeadline {
		remaining = ebonywood.MillisOf(time.Until(ctxDeadline))
	}
	requirements := ebonywood.NewRequirements(caller.instance, caller.route.Name(), request.access, caller.state.Floor(), max(remaining, 1), request.shape)
	return caller.edge.port.ConnPool().Acquire(ctx, requirements)
}

// finishRequest updates the session's floor, releases the connection if the
// transaction ended, and appends the end of the reply to the output.
func (caller *callerSession) finishRequest(result ebonywood.ExchangeResult, sink *sink) {
	sink.stopHolding()
	if !result.Position().IsZero() {
		caller.state.RecordPosition(result.Position())
		caller.sendToken(caller.state.Floor().Position())
	}
	if result.State() == ebonywood.TxIdle {
		caller.releaseLease()
	}
	caller.write(&pgproto3.ReadyForQuery{TxStatus: byte(result.State())})
}

// sendToken sends the session's floor to the caller, which may present it to another
// proxy when it reconnects.
func (caller *callerSession) sendToken(token ebonywood.Position) {
	if token == caller.sentToken {
		return
	}
	caller.sentToken = token
	caller.write(&pgproto3.ParameterStatus{Name: tokenParameter, Value: token.String()})
}

// write appends encoded messages to the output buffer.
func (caller *callerSession) write(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		encoded, err := message.Encode(caller.output)
		if err == nil {
			caller.output = encoded
		}
	}
}

// writeFault appends an ErrorResponse with the SQLSTATE of the fault's kind.
func (caller *callerSession) writeFault(fault *ebonywood.Fault, severity string) {
	caller.write(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: fault.Kind().SQLState(),
		Message: fault.Message(), Hint: fault.Remedy(), Detail: fault.Kind().String(),
	})
}

// flush writes the output buffer to the caller. It fails if the caller doesn't read
// within the time limit for writes.
func (caller *callerSession) flush() error {
	if len(caller.output) == 0 {
		return nil
	}
	err := caller.limits.Write(caller.socket, caller.output)
	caller.output = caller.output[:0]
	if cap(caller.output) > maxIdleOutputSize {
		caller.output = nil
	}
	return err
}

// flushSome writes as much of the output buffer as the caller takes at once, so that a caller
// that doesn't read does not hold a slot of a member. A write to a TLS connection can't be
// continued after it was cut short, so it waits.
func (caller *callerSession) flushSome() error {
	if _, encrypted := caller.socket.(*tls.Conn); encrypted || len(caller.output) > maxPendingSize {
		return caller.flush()
	}
	rest, err := caller.limits.TryWrite(caller.output)
	caller.output = append(caller.output[:0], rest...)
	return err
}

// recordMetrics records the request's latency and outcome in the metrics and in the
// route's service level. A request that is refused as bad input, by the target or by this
// proxy, does not lower the service level.
func (caller *callerSession) recordMetrics(fault *ebonywood.Fault, duration time.Duration) {
	outcome := "answered"
	if fault != nil {
		outcome = fault.Kind().String()
	}
	caller.edge.meter(caller.route.Name(), outcome).record(duration)
	caller.edge.port.ServiceLevels().Record(caller.route.Name(), caller.route.Objective(), isServed(fault), duration, caller.edge.port.Clock().Now())
}

// isServed reports whether the system did its part for a request: it answered, or the
// caller sent what nobody could run.
func isServed(fault *ebonywood.Fault) bool {
	return fault == nil || fault.Kind() == ebonywood.KindBadInput
}
