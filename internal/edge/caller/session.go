package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

const (
	// keepBuffer is the greatest output buffer that an idle session keeps.
	keepBuffer = 4 << 10
	// retryPause is the first pause before a request that was not run is tried
	// again; it doubles up to retryPauseLimit.
	retryPause      = 2 * time.Millisecond
	retryPauseLimit = 50 * time.Millisecond
)

// session serves one caller.
type session struct {
	edge     *Edge
	socket   net.Conn
	frames   *frame.Reader
	pid      uint32
	secret   uint32
	route    *ebonywood.Route
	instance ebonywood.InstanceID
	floor    ebonywood.Floor
	token    ebonywood.Position
	known    statements
	output   []byte

	// mutex guards what other goroutines see: the lane, for a cancel request, and
	// whether the session is between two transactions, for a drain.
	mutex   sync.Mutex
	lane    ebonywood.Lane
	busy    bool
	leaving bool
}

// loop serves requests until the caller leaves or the session is drained.
func (each *session) loop(ctx context.Context) {
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
func (each *session) refuseInput(err error) {
	fault := ebonywood.FaultOf(err)
	if fault.Kind() == ebonywood.KindBadInput {
		each.refuse(fault)
	}
}

// beginRequest marks the session as busy; it reports false when the session was
// asked to leave first.
func (each *session) beginRequest() bool {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.busy = true
	return !each.leaving || each.lane != nil
}

func (each *session) endRequest() bool {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.busy = each.lane != nil
	return each.busy || !each.leaving
}

// leaveWhenIdle closes the session if it is between two transactions. A request
// that is read at the same moment was not begun, so it is not cut off: the
// caller sees a closed connection before any answer.
func (each *session) leaveWhenIdle() {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	if !each.busy && !each.leaving {
		each.leaving = true
		_ = each.socket.SetReadDeadline(time.Unix(1, 0))
	}
	each.leaving = true
}

// cancel passes a cancel request to the target that works for this session.
func (each *session) cancel(ctx context.Context) {
	each.mutex.Lock()
	lane := each.lane
	each.mutex.Unlock()
	if lane != nil {
		lane.Cancel(ctx)
	}
}

func (each *session) setLane(lane ebonywood.Lane) {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.lane = lane
}

func (each *session) releaseLane() {
	lane := each.lane
	if lane == nil {
		return
	}
	each.setLane(nil)
	lane.Release()
}

// serve runs one request to its end. An error ends the session.
func (each *session) serve(ctx context.Context, request *callerRequest) error {
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
func (each *session) runToEnd(ctx context.Context, request *callerRequest) *ebonywood.Fault {
	pause := retryPause
	for {
		again, fault := each.attempt(ctx, request)
		if !again {
			return fault
		}
		if ctx.Err() != nil {
			return fault
		}
		sleep(ctx, pause)
		pause = min(2*pause, retryPauseLimit)
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

// attempt runs the request once. It reports whether it may be run again: it was
// proved not to have run, or it is repeatable and nothing of an answer was
// relayed.
func (each *session) attempt(ctx context.Context, request *callerRequest) (again bool, fault *ebonywood.Fault) {
	inTransaction := each.lane != nil
	if !inTransaction {
		lane, err := each.acquire(ctx, request)
		if err != nil {
			return false, ebonywood.FaultOf(err)
		}
		each.setLane(lane)
	}
	lane := each.lane
	if !lane.IsPrimary() {
		each.noteRead(lane.Member())
	}
	sink := newSink(each, request, lane.IsPrimary(), inTransaction)
	answer, err := lane.Exchange(ctx, request.forTarget(), sink)
	if err != nil {
		each.releaseLane()
		return each.judge(request, sink, inTransaction, ebonywood.FaultOf(err))
	}
	if sink.refused {
		each.releaseLane()
		request.access = ebonywood.AccessWrite
		return !inTransaction, sink.refusal()
	}
	each.finish(answer, sink)
	return false, nil
}

// judge decides what a failed exchange means to the caller.
func (each *session) judge(
	request *callerRequest, sink *sink, inTransaction bool, fault *ebonywood.Fault,
) (again bool, final *ebonywood.Fault) {
	each.output = each.output[:sink.start]
	if fault.Kind() == ebonywood.KindNotRun {
		return !inTransaction, fault
	}
	each.floor = ebonywood.NewFloor(each.floor.At(), each.edge.port.Clock().Now(), "")
	repeatable := !sink.primary || each.route.IsRepeatable()
	return repeatable && !inTransaction && !sink.relayed, fault
}

func (each *session) acquire(ctx context.Context, request *callerRequest) (ebonywood.Lane, error) {
	left := each.route.Deadline()
	if until, bounded := ctx.Deadline(); bounded {
		left = ebonywood.MillisOf(time.Until(until))
	}
	need := ebonywood.NewNeed(each.instance, each.route.Name(), request.access, each.floor, max(left, 1), request.shape)
	return each.edge.port.Lanes().Acquire(ctx, need)
}

// noteRead raises the floor before a replica is read: whatever the read shows
// must not be taken back by a later one.
func (each *session) noteRead(member ebonywood.MemberID) {
	each.floor = ebonywood.NewFloor(each.floor.At(), each.edge.port.Clock().Now(), member)
}

// finish passes on the end of an answer and settles the session's state.
func (each *session) finish(answer ebonywood.Answer, sink *sink) {
	sink.release()
	if !answer.Position().IsZero() {
		at := each.floor.At().Max(answer.Position())
		each.floor = ebonywood.NewFloor(at, each.floor.Since(), each.floor.Last())
		each.announceToken(at)
	}
	if answer.State() == ebonywood.TxIdle {
		each.releaseLane()
	}
	each.write(&pgproto3.ReadyForQuery{TxStatus: byte(answer.State())})
}

// announceToken tells the caller its floor, which it may present to another
// proxy.
func (each *session) announceToken(at ebonywood.Position) {
	if at == each.token {
		return
	}
	each.token = at
	each.write(&pgproto3.ParameterStatus{Name: tokenParameter, Value: at.String()})
}

// write encodes messages into the output buffer.
func (each *session) write(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		encoded, err := message.Encode(each.output)
		if err == nil {
			each.output = encoded
		}
	}
}

func (each *session) writeFault(fault *ebonywood.Fault, severity string) {
	each.write(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: fault.Kind().SQLState(),
		Message: fault.Message(), Hint: fault.Remedy(), Detail: fault.Kind().String(),
	})
}

// flush sends the output buffer. A caller that doesn't read for too long is cut
// off.
func (each *session) flush() error {
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

// count feeds the metrics and the report on service levels.
func (each *session) count(fault *ebonywood.Fault, took time.Duration) {
	outcome := "answered"
	if fault != nil {
		outcome = fault.Kind().String()
	}
	scope := each.edge.port.Metrics().Tagged(map[string]string{"route": each.route.Name(), "outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Timer("latency").Record(took)
}
