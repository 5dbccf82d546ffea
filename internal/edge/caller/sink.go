package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

const (
	// flushSize is how much of an answer is gathered before it is written.
	flushSize = 16 << 10
	// holdSize bounds the part of an answer that is held back.
	holdSize = 1 << 20
	// readOnlyState is the SQLSTATE of a write that a replica refused.
	readOnlyState = "25006"
)

// sink passes an answer on to the caller.
//
// From a primary, everything from the first CommandComplete on is held back until
// the transaction is confirmed, since that message tells the caller that its work
// is done. Rows before it are streamed. From a replica the answer is held until
// it is clear that the statement is not refused as a write.
type sink struct {
	caller  *conversation
	request *callerRequest
	lane    ebonywood.PooledConn
	// inTransaction says that a transaction was open before.
	inTransaction bool
	closes        []bool
	// start is where this answer begins in the session's output buffer.
	start   int
	held    bool
	relayed bool
	refused bool
	failed  bool
	message string
}

func newSink(caller *conversation, request *callerRequest, lane ebonywood.PooledConn, inTransaction bool) *sink {
	return &sink{
		caller: caller, request: request, lane: lane, inTransaction: inTransaction,
		closes: request.closes, start: len(caller.output),
	}
}

// mayMove reports whether a refused write can be sent to the primary, or its
// transaction run again there. In a transaction on a replica the refusal is the
// caller's own doing.
func (sink *sink) mayMove() bool { return sink.lane.IsPrimary() || !sink.inTransaction }

// Relay takes one message of the target.
func (sink *sink) WriteFrame(message []byte) error {
	switch message[0] {
	case frame.CloseComplete:
		message = sink.answerClose(message)
	case frame.CommandComplete:
		sink.held = sink.lane.IsPrimary()
	case frame.ErrorResponse:
		sink.failed = true
		if !sink.relayed && sink.mayMove() && sink.isRefusal(message) {
			sink.refused = true
			sink.caller.output = sink.caller.output[:sink.start]
			return nil
		}
	}
	if sink.refused {
		return nil
	}
	sink.caller.output = append(sink.caller.output, message...)
	if len(sink.caller.output) < flushSize || sink.held && len(sink.caller.output) < holdSize {
		return nil
	}
	return sink.pass()
}

// pass writes what was gathered; from then on the request can't be run again.
func (sink *sink) pass() error {
	sink.relayed = true
	sink.start = 0
	return sink.caller.flush()
}

// answerClose turns the answer to a placeholder into the answer to the Parse that
// it stands for.
func (sink *sink) answerClose(message []byte) []byte {
	if len(sink.closes) == 0 {
		return message
	}
	isParse := sink.closes[0]
	sink.closes = sink.closes[1:]
	if isParse {
		return parseComplete
	}
	return message
}

var parseComplete = []byte{frame.ParseComplete, 0, 0, 0, 4}

// isRefusal reports whether the target refused to write, which proves that the
// statement was not run. After a CommandComplete something else was.
func (sink *sink) isRefusal(message []byte) bool {
	if sink.held {
		return false
	}
	var refusal pgproto3.ErrorResponse
	if refusal.Decode(frame.Body(message)) != nil {
		return false
	}
	sink.message = refusal.Message
	return refusal.Code == readOnlyState
}

// refusal is what a caller gets whose transaction met a replaced primary.
func (sink *sink) refusal() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindConflict, "the target refused to write: "+sink.message,
		"run the transaction again; nothing of it was committed")
}

// release ends the holding back.
func (sink *sink) release() { sink.held = false }

// More reads what a caller copies in.
func (sink *sink) NextInput(context.Context) ([]byte, error) {
	if err := sink.pass(); err != nil {
		return nil, err
	}
	for {
		message, err := sink.caller.frames.Next()
		if err != nil {
			return nil, err
		}
		switch message[0] {
		case frame.CopyData, frame.CopyDone, frame.CopyFail:
			return message, nil
		case frame.Sync, frame.Flush:
			// A client may send these while it copies; they have no effect.
		default:
			return nil, ebonywood.NewFault(ebonywood.KindBadInput, "a copy was broken off", "end it with CopyDone or CopyFail")
		}
	}
}
