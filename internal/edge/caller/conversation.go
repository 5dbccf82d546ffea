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
	lane    ebonywood.Lane
	busy    bool
	leaving bool
}

// loop serves requests until the caller leaves or the session is drained.
func (each *conversation) loop(ctx context.Context) {
	defer each.releaseLane()
	for {
		request, err := each.readRequest()
		if err != nil {
			each.refuseInput(err)
			return
		}
		if request == nil || !each.beginRequest() {
			return
		}
		if err := each.serve(ctx, request); err != nil {
			return
		}
		if !each.endRequest() {
			return
		}
	}
}

// refuseInput answers input that can't be accepted; a caller that just left gets
// nothing.
func (each *conversation) refuseInput(err error) {
	fault := ebonywood.FaultOf(err)
	if fault.Kind() == ebonywood.KindBadInput {
		each.refuse(fault)
	}
}

// beginRequest marks the session as busy; it reports false when the session was
// asked to leave first.
func (each *conversation) beginRequest() bool {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.busy = true
	return !each.leaving || each.lane != nil
}

func (each *conversation) endRequest() bool {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.busy = each.lane != nil
	return each.busy || !each.leaving
}

// leaveWhenIdle closes the session if it is between two transactions. A request
// that is read at the same moment was not begun, so it is not cut off: the
// caller sees a closed connection before any answer.
func (each *conversation) leaveWhenIdle() {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	if !each.busy && !each.leaving {
		each.leaving = true
		_ = each.socket.SetReadDeadline(time.Unix(1, 0))
	}
	each.leaving = true
}

// cancel passes a cancel request to the target that works for this session.
func (each *conversation) cancel(ctx context.Context) {
	each.mutex.Lock()
	lane := each.lane
	each.mutex.Unlock()
	if lane != nil {
		lane.Cancel(ctx)
	}
}

func (each *conversation) setLane(lane ebonywood.Lane) {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.lane = lane
}

func (each *conversation) releaseLane() {
	lane := each.lane
	if lane == nil {
		return
	}
	each.setLane(nil)
	lane.Release()
}

// serve runs one request to its end. An error ends the session.
func (each *conversation) serve(ctx context.Context, request *callerRequest) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, each.route.Deadline().Duration())
	defer cancel()
	fault := each.runToEnd(ctx, request)
	each.count(fault, time.Since(began))
	if fault != nil {
		each.writeFault(fault, "ERROR")
		each.write(&pgproto3.ReadyForQuery{TxStatus: byte(ebonywood.TxIdle)})
	}
	return each.flush()
}

// runToEnd tries the request until it is answered, refused or in doubt.
func (each *conversation) runToEnd(ctx context.Context, request *callerRequest) *ebonywood.Fault {
	if fault := each.refuseSessionState(request); fault != nil {
		return fault
	}
	each.edge.earn(each.route)
	for number := 0; ; number++ {
		again, fault := each.attempt(ctx, request)
		if !again || ctx.Err() != nil {
			return fault
		}
		pause, allowed := each.edge.spend(each.route, number)
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
func (each *conversation) attempt(ctx context.Context, request *callerRequest) (again bool, fault *ebonywood.Fault) {
	inTransaction := each.lane != nil
	if !inTransaction {
		lane, err := each.acquire(ctx, request)
		if err != nil {
			return false, ebonywood.FaultOf(err)
		}
		each.setLane(lane)
	}
	lane := each.lane
	each.checkAtMostOnce(request)
	sink := newSink(each, request, lane, inTransaction)
	answer, err := lane.Exchange(ctx, request.forTarget(each.setup), sink)
	if err != nil {
		each.releaseLane()
		return each.judge(request, sink, inTransaction, ebonywood.FaultOf(err))
	}
	if sink.refused {
		each.releaseLane()
		request.access = ebonywood.AccessWrite
		return !inTransaction, sink.refusal()
	}
	if !lane.IsPrimary() {
		each.state.Showed(lane.Member(), each.edge.port.Clock().Now())
	}
	each.finish(answer, sink)
	if request.setting != "" && !sink.failed {
		each.keepSetting(request.setting)
	}
	return false, nil
}

// checkAtMostOnce asserts that a request that may have been run on a primary is
// not run there again, unless its route says that it is repeatable.
func (each *conversation) checkAtMostOnce(request *callerRequest) {
	safe := each.route.IsRepeatable() || !request.inDoubt
	each.edge.port.Invariants().Check(invariant.AtMostOnce, safe, string(each.instance))
}

// judge decides what a failed exchange means to the caller.
func (each *conversation) judge(
	request *callerRequest, sink *sink, inTransaction bool, fault *ebonywood.Fault,
) (again bool, final *ebonywood.Fault) {
	each.output = each.output[:sink.start]
	if fault.Kind() == ebonywood.KindUnknown {
		each.state.Doubted(each.edge.port.Clock().Now())
		request.inDoubt = request.inDoubt || sink.lane.IsPrimary()
	}
	safe := !sink.lane.IsPrimary() || each.route.IsRepeatable()
	return retry.MayRepeat(fault.Kind(), inTransaction, safe, sink.relayed), fault
}

func (each *conversation) acquire(ctx context.Context, request *callerRequest) (ebonywood.Lane, error) {
	left := each.route.Deadline()
	if until, bounded := ctx.Deadline(); bounded {
		left = ebonywood.MillisOf(time.Until(until))
	}
	need := ebonywood.NewNeed(each.instance, each.route.Name(), request.access, each.state.Floor(), max(left, 1), request.shape)
	return each.edge.port.Lanes().Acquire(ctx, need)
}

// finish passes on the end of an answer and settles the session's state.
func (each *conversation) finish(answer ebonywood.Answer, sink *sink) {
	sink.release()
	if !answer.Position().IsZero() {
		each.state.Answered(answer.Position())
		each.announceToken(each.state.Floor().At())
	}
	if answer.State() == ebonywood.TxIdle {
		each.releaseLane()
	}
	each.write(&pgproto3.ReadyForQuery{TxStatus: byte(answer.State())})
}

// announceToken tells the caller its floor, which it may present to another
// proxy.
func (each *conversation) announceToken(at ebonywood.Position) {
	if at == each.token {
		return
	}
	each.token = at
	each.write(&pgproto3.ParameterStatus{Name: tokenParameter, Value: at.String()})
}

// write encodes messages into the output buffer.
func (each *conversation) write(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		encoded, err := message.Encode(each.output)
		if err == nil {
			each.output = encoded
		}
	}
}

func (each *conversation) writeFault(fault *ebonywood.Fault, severity string) {
	each.write(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: fault.Kind().SQLState(),
		Message: fault.Message(), Hint: fault.Remedy(), Detail: fault.Kind().String(),
	})
}

// flush sends the output buffer. A caller that doesn't read for too long is cut
// off.
func (each *conversation) flush() error {
	if len(each.output) == 0 {
		return nil
	}
	_ = each.socket.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := each.socket.Write(each.output)
	each.output = each.output[:0]
	if cap(each.output) > keepBuffer {
		each.output = nil
	}
	return err
}

// count feeds the metrics and the account of service levels. What a caller asked
// for in vain by its own fault does not count against the level.
func (each *conversation) count(fault *ebonywood.Fault, took time.Duration) {
	outcome := "answered"
	if fault != nil {
		outcome = fault.Kind().String()
	}
	each.edge.meter(each.route.Name(), outcome).record(took)
	each.edge.port.Levels().Record(each.route.Name(), each.route.Objective(), fault == nil, took, each.edge.port.Clock().Now())
}
