package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

const (
	// flushThreshold is how many bytes of a reply are buffered before it is written.
	flushThreshold = 16 << 10
	// maxHeldSize bounds the part of a reply that is held back, in bytes.
	maxHeldSize = 1 << 20
	// readOnlySQLState is the SQLSTATE of a write that a replica refused.
	readOnlySQLState = "25006"
)

// sink relays the reply of one request to the caller. It implements ebonywood.Sink.
//
// From a primary, everything from the first CommandComplete on is held back until the
// transaction is confirmed, since that message reports success to the caller. Rows
// before it are streamed. The reply of a replica is buffered up to flushThreshold, so
// that a statement that is refused as a write can be moved to the primary.
type sink struct {
	caller  *callerSession
	request *callerRequest
	lease   ebonywood.PooledConn
	// inTransaction is set if a transaction was open before the request.
	inTransaction bool
	// closeForParse is that of the request, without the replies already relayed.
	closeForParse []bool
	// outputStart is the offset in the session's output buffer of what may still be discarded
	// of this reply.
	outputStart int
	// pending is how much of the reply the caller had not taken at the last attempt.
	pending int
	// holding is set while the reply is held back for the confirmation.
	holding bool
	// relayed is set when a part of the reply was written to the caller.
	relayed bool
	// writeRefused is set when the target refused the statement as a write; the rest of
	// the reply is dropped.
	writeRefused bool
	// failed is set when the target returned an error.
	failed bool
	// refusalMessage is the target's message for the refused write.
	refusalMessage string
}

func newSink(caller *callerSession, request *callerRequest, lease ebonywood.PooledConn, inTransaction bool) *sink {
	return &sink{
		caller: caller, request: request, lease: lease, inTransaction: inTransaction,
		closeForParse: request.closeForParse, outputStart: len(caller.output),
	}
}

// canMoveToPrimary reports whether a refused write can be run on the present primary:
// outside a transaction the session retries it there, and in a transaction on a primary,
// which may have been replaced, the caller receives writeRefusedFault, which advises it
// to retry. In a transaction on a replica the caller receives the target's own error,
// since it declared the transaction as read-only.
func (sink *sink) canMoveToPrimary() bool { return sink.lease.IsPrimary() || !sink.inTransaction }

// WriteFrame adds one message of the target to the reply.
func (sink *sink) WriteFrame(message []byte) error {
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
	if len(sink.caller.output) < max(flushThreshold, 2*sink.pending) || sink.holding && len(sink.caller.output) < maxHeldSize {
		return nil
	}
	return sink.streamOutput()
}

// streamOutput writes as much of the buffered reply as the caller takes; the request can't be
// retried afterwards.
func (sink *sink) streamOutput() error {
	sink.relayed = true
	err := sink.caller.flushSome()
	sink.pending = len(sink.caller.output)
	sink.outputStart = sink.pending
	return err
}

// flushOutput writes the buffered reply; the request can't be retried afterwards.
func (sink *sink) flushOutput() error {
	sink.relayed = true
	sink.outputStart, sink.pending = 0, 0
	return sink.caller.flush()
}

// translateClose returns a ParseComplete for the CloseComplete of a Parse's
// placeholder, and any other CloseComplete unchanged.
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

// isWriteRefusal reports whether the target refused the request as a write, which proves
// that it was not run. After a CommandComplete on a primary it returns false, because an
// earlier statement of the request was run.
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

// writeRefusedFault returns the fault of a refused write that is not moved to the
// primary, for example because the primary was replaced during the transaction.
func (sink *sink) writeRefusedFault() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindConflict, "the target refused the write: "+sink.refusalMessage,
		"retry the transaction; nothing was committed")
}

// stopHolding ends the holding back once the transaction is confirmed.
func (sink *sink) stopHolding() { sink.holding = false }

// NextInput returns the caller's next message of COPY data, or the end of the copy.
func (sink *sink) NextInput(context.Context) ([]byte, error) {
	if err := sink.flushOutput(); err != nil {
		return nil, err
	}
	for {
		message, err := sink.caller.frames.Next()
		if err != nil {
			return nil, err
		}
		if err := sink.caller.limits.MessageRead(len(message)); err != nil {
			return nil, err
		}
		switch message[0] {
		case frame.CopyData, frame.CopyDone, frame.CopyFail:
			return message, nil
		case frame.Sync, frame.Flush:
			// A client may send these while it copies; they have no effect.
		default:
			return nil, ebonywood.NewFault(ebonywood.KindBadInput, "unexpected message during COPY", "end it with CopyDone or CopyFail")
		}
	}
}
