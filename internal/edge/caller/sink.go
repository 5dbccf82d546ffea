package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

const (
	// flushSize is how much of an answer is gathered before it is written.
	flushThreshold = 16 << 10
	// holdSize bounds the part of an answer that is held back.
	maxHeldSize = 1 << 20
	// readOnlyState is the SQLSTATE of a write that a replica refused.
	readOnlySQLState = "25006"
)

// sink passes an answer on to the caller.
//
// From a primary, everything from the first CommandComplete on is held back until
// the transaction is confirmed, since that message tells the caller that its work
// is done. Rows before it are streamed. From a replica the answer is held until
// it is clear that the statement is not refused as a write.
type sink struct {
	caller  *callerSession
	request *callerRequest
	lease   ebonywood.Lane
	// inTransaction says that a transaction was open before.
	inTransaction bool
	closeForParse []bool
	// start is where this answer begins in the session's output buffer.
	outputStart    int
	holding        bool
	relayed        bool
	writeRefused   bool
	failed         bool
	refusalMessage string
}

func newSink(caller *callerSession, request *callerRequest, lease ebonywood.Lane, inTransaction bool) *sink {
	return &sink{
		caller: caller, request: request, lease: lease, inTransaction: inTransaction,
		closeForParse: request.closeForParse, outputStart: len(caller.output),
	}
}

// mayMove reports whether a refused write can be sent to the primary, or its
// transaction run again there. In a transaction on a replica the refusal is the
// caller's own doing.
func (sink *sink) canMoveToPrimary() bool { return sink.lease.IsPrimary() || !sink.inTransaction }

// Relay takes one message of the target.
func (sink *sink) Relay(message []byte) error {
	switch message[0] {
	case frame.CloseComplete:
		message = sink.translateClose(message)
	case frame.CommandComplete:
		sink.holding = sink.lease.IsPrimary()
	case frame.ErrorResponse:
		sink.failed = true
		if !sink.relayed && sink.canMoveToPrimary() && sink.isWriteRefusal(message) {
			sink.writeRefused = true
			sink.caller.output = sink.caller.output[:sink.outputStart]
			return nil
		}
	}
	if sink.writeRefused {
		return nil
	}
	sink.caller.output = append(sink.caller.output, message...)
	if len(sink.caller.output) < flushThreshold || sink.holding && len(sink.caller.output) < maxHeldSize {
		return nil
	}
	return sink.flushOutput()
}

// pass writes what was gathered; from then on the request can't be run again.
func (sink *sink) flushOutput() error {
	sink.relayed = true
	sink.outputStart = 0
	return sink.caller.flush()
}

// answerClose turns the answer to a placeholder into the answer to the Parse that
// it stands for.
func (sink *sink) translateClose(message []byte) []byte {
	if len(sink.closeForParse) == 0 {
		return message
	}
	isParse := sink.closeForParse[0]
	sink.closeForParse = sink.closeForParse[1:]
	if isParse {
		return parseComplete
	}
	return message
}

var parseComplete = []byte{frame.ParseComplete, 0, 0, 0, 4}

// isRefusal reports whether the target refused to write, which proves that the
// statement was not run. After a CommandComplete something else was.
func (sink *sink) isWriteRefusal(message []byte) bool {
	if sink.holding {
		return false
	}
	var refusal pgproto3.ErrorResponse
	if refusal.Decode(frame.Body(message)) != nil {
		return false
	}
	sink.refusalMessage = refusal.Message
	return refusal.Code == readOnlySQLState
}

// refusal is what a caller gets whose transaction met a replaced primary.
func (sink *sink) writeRefusedFault() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindConflict, "the target refused to write: "+sink.refusalMessage,
		"run the transaction again; nothing of it was committed")
}

// release ends the holding back.
func (sink *sink) stopHolding() { sink.holding = false }

// More reads what a caller copies in.
func (sink *sink) More(context.Context) ([]byte, error) {
	if err := sink.flushOutput(); err != nil {
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
