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
	keepBuffer = 4 << 10
)

// conversation serves one caller.
type conversation struct {
	edge     *Edge
	socket   net.Conn
	frames   *frame.Reader
	pid      uint32
	secret   uint32
	route    *ebonywood.Route
	instance ebonywood.InstanceID
	state    session.Session
	token    ebonywood.Position
	known    statements
	output   []byte
	// setup is what the session has set, as statements; each connection gets it
	// before it works for the session.
	setup string

	// mutex guards what other goroutines see: the lane, for a cancel request, and
	// whether the session is between two transactions, for a drain.
	mutex   sync.Mutex
	lane    ebonywood.PooledConn
	busy    bool
	leaving bool
}

// loop serves requests until the caller leaves or the session is drained.
func (caller *conversation) loop(ctx context.Context) {
	defer caller.releaseLane()
	for {
		request, err := caller.readRequest()
		if err != nil {
			caller.refuseInput(err)
			return
		}
		if request == nil || !caller.beginRequest() {
			return
		}
		if err := caller.serve(ctx, request); err != nil {
			return
		}
		if !caller.endRequest() {
			return
		}
	}
}

// refuseInput answers input that can't be accepted; a caller that just left gets
// nothing.
func (caller *conversation) refuseInput(err error) {
	fault := ebonywood.FaultOf(err)
	if fault.Kind() == ebonywood.KindBadInput {
		caller.refuse(fault)
	}
}

// beginRequest marks the session as busy; it reports false when the session was
// asked to leave first.
func (caller *conversation) beginRequest() bool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.busy = true
	return !caller.leaving || caller.lane != nil
}

func (caller *conversation) endRequest() bool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.busy = caller.lane != nil
	return caller.busy || !caller.leaving
}

// leaveWhenIdle closes the session if it is between two transactions. A request
// that is read at the same moment was not begun, so it is not cut off: the
// caller sees a closed connection before any answer.
func (caller *conversation) leaveWhenIdle() {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if !caller.busy && !caller.leaving {
		caller.leaving = true
		_ = caller.socket.SetReadDeadline(time.Unix(1, 0))
	}
	caller.leaving = true
}

// cancel passes a cancel request to the target that works for this session.
func (caller *conversation) cancel(ctx context.Context) {
	caller.mutex.Lock()
	lane := caller.lane
	caller.mutex.Unlock()
	if lane != nil {
		lane.Cancel(ctx)
	}
}

func (caller *conversation) setLane(lane ebonywood.PooledConn) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.lane = lane
}

func (caller *conversation) releaseLane() {
	lane := caller.lane
	if lane == nil {
		return
	}
	caller.setLane(nil)
	lane.Release()
}

// serve runs one request to its end. An error ends the session.
func (caller *conversation) serve(ctx context.Context, request *callerRequest) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, caller.route.Timeout().Duration())
	defer cancel()
	fault := caller.runToEnd(ctx, request)
	caller.count(fault, time.Since(began))
	if fault != nil {
		caller.writeFault(fault, "ERROR")
		caller.write(&pgproto3.ReadyForQuery{TxStatus: byte(ebonywood.TxIdle)})
	}
	return caller.flush()
}

// runToEnd tries the request until it is answered, refused or in doubt.
func (caller *conversation) runToEnd(ctx context.Context, request *callerRequest) *ebonywood.Fault {
	if fault := caller.refuseSessionState(request); fault != nil {
		return fault
	}
	caller.edge.earn(caller.route)
	for number := 0; ; number++ {
		again, fault := caller.attempt(ctx, request)
		if !again || ctx.Err() != nil {
			return fault
		}
		pause, allowed := caller.edge.spend(caller.route, number)
		if !allowed {
			return fault
		}
		sleep(ctx, pause)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// attempt runs the request once and reports whether it may be run again.
func (caller *conversation) attempt(ctx context.Context, request *callerRequest) (again bool, fault *ebonywood.Fault) {
	inTransaction := caller.lane != nil
	if !inTransaction {
		lane, err := caller.acquire(ctx, request)
		if err != nil {
			return false, ebonywood.FaultOf(err)
		}
		caller.setLane(lane)
	}
	lane := caller.lane
	caller.checkAtMostOnce(request)
	sink := newSink(caller, request, lane, inTransaction)
	answer, err := lane.Exchange(ctx, request.forTarget(caller.setup), sink)
	if err != nil {
		caller.releaseLane()
		return caller.judge(request, sink, inTransaction, ebonywood.FaultOf(err))
	}
	if sink.refused {
		caller.releaseLane()
		request.access = ebonywood.AccessWrite
		return !inTransaction, sink.refusal()
	}
	if !lane.IsPrimary() {
		caller.state.Showed(lane.Member(), caller.edge.port.Clock().Now())
	}
	caller.finish(answer, sink)
	if request.setting != "" && !sink.failed {
		caller.keepSetting(request.setting)
	}
	return false, nil
}

// checkAtMostOnce asserts that a request that may have been run on a primary is
// not run there again, unless its route says that it is repeatable.
func (caller *conversation) checkAtMostOnce(request *callerRequest) {
	safe := caller.route.IsRepeatable() || !request.inDoubt
	caller.edge.port.Invariants().Check(invariant.AtMostOnce, safe, string(caller.instance))
}

// judge decides what a failed exchange means to the caller.
func (caller *conversation) judge(
	request *callerRequest, sink *sink, inTransaction bool, fault *ebonywood.Fault,
) (again bool, final *ebonywood.Fault) {
	caller.output = caller.output[:sink.start]
	if fault.Kind() == ebonywood.KindUnknown {
		caller.state.Doubted(caller.edge.port.Clock().Now())
		request.inDoubt = request.inDoubt || sink.lane.IsPrimary()
	}
	safe := !sink.lane.IsPrimary() || caller.route.IsRepeatable()
	return retry.MayRepeat(fault.Kind(), inTransaction, safe, sink.relayed), fault
}

func (caller *conversation) acquire(ctx context.Context, request *callerRequest) (ebonywood.PooledConn, error) {
	left := caller.route.Timeout()
	if until, bounded := ctx.Deadline(); bounded {
		left = ebonywood.MillisOf(time.Until(until))
	}
	need := ebonywood.NewRequirements(caller.instance, caller.route.Name(), request.access, caller.state.Floor(), max(left, 1), request.shape)
	return caller.edge.port.ConnPool().Acquire(ctx, need)
}

// finish passes on the end of an answer and settles the session's state.
func (caller *conversation) finish(answer ebonywood.ExchangeResult, sink *sink) {
	sink.release()
	if !answer.Position().IsZero() {
		caller.state.Answered(answer.Position())
		caller.announceToken(caller.state.Floor().Position())
	}
	if answer.State() == ebonywood.TxIdle {
		caller.releaseLane()
	}
	caller.write(&pgproto3.ReadyForQuery{TxStatus: byte(answer.State())})
}

// announceToken tells the caller its floor, which it may present to another
// proxy.
func (caller *conversation) announceToken(at ebonywood.Position) {
	if at == caller.token {
		return
	}
	caller.token = at
	caller.write(&pgproto3.ParameterStatus{Name: tokenParameter, Value: at.String()})
}

// write encodes messages into the output buffer.
func (caller *conversation) write(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		encoded, err := message.Encode(caller.output)
		if err == nil {
			caller.output = encoded
		}
	}
}

func (caller *conversation) writeFault(fault *ebonywood.Fault, severity string) {
	caller.write(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: fault.Kind().SQLState(),
		Message: fault.Message(), Hint: fault.Remedy(), Detail: fault.Kind().String(),
	})
}

// flush sends the output buffer. A caller that doesn't read for too long is cut
// off.
func (caller *conversation) flush() error {
	if len(caller.output) == 0 {
		return nil
	}
	_ = caller.socket.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := caller.socket.Write(caller.output)
	caller.output = caller.output[:0]
	if cap(caller.output) > keepBuffer {
		caller.output = nil
	}
	return err
}

// count feeds the metrics and the account of service levels. What a caller asked
// for in vain by its own fault does not count against the level.
func (caller *conversation) count(fault *ebonywood.Fault, took time.Duration) {
	outcome := "answered"
	if fault != nil {
		outcome = fault.Kind().String()
	}
	caller.edge.meter(caller.route.Name(), outcome).record(took)
	caller.edge.port.ServiceLevels().Record(caller.route.Name(), caller.route.Objective(), fault == nil, took, caller.edge.port.Clock().Now())
}
