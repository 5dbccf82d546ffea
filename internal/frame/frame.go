// Package frame splits a PostgreSQL v3 byte stream into messages without decoding
// them. pgproto3 decodes every message into a struct, which a relay would have to
// encode again; it is used for the few messages whose content is needed.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/ebonywood/ebonywood"
)

// Types of messages that the proxy distinguishes, by their first byte: those of the
// server, then those of the client.
const (
	Authentication  = 'R'
	BackendKeyData  = 'K'
	CloseComplete   = '3'
	CommandComplete = 'C'
	CopyInResponse  = 'G'
	CopyBoth        = 'W'
	DataRow         = 'D'
	ErrorResponse   = 'E'
	ParameterStatus = 'S'
	ParseComplete   = '1'
	ReadyForQuery   = 'Z'

	Bind      = 'B'
	Close     = 'C'
	CopyData  = 'd'
	CopyDone  = 'c'
	CopyFail  = 'f'
	Describe  = 'D'
	Execute   = 'E'
	Flush     = 'H'
	Parse     = 'P'
	Password  = 'p'
	Query     = 'Q'
	Sync      = 'S'
	Terminate = 'X'
)

const (
	// HeaderSize is the size of a message's type and length fields, in bytes.
	HeaderSize = 5
	// MaxSize is the maximum length of a message in bytes, so that a forged length
	// can't exhaust memory.
	MaxSize = 64 << 20
	// readBufferSize is the size in bytes of the read buffer that every connection
	// holds, also while it is idle.
	readBufferSize = 2 << 10
	// maxKeptBuffer is the size in bytes above which a message's buffer is released
	// when a message of at most this size follows.
	maxKeptBuffer = 16 << 10
)

// Body returns a message without its header.
func Body(message []byte) []byte { return message[HeaderSize:] }

// Reader splits a stream into messages. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	frame  []byte
	// meter observes the reading; nil for none.
	meter ebonywood.MessageMeter
}

// NewReader returns a reader of the messages in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferSize)}
}

// Observe makes a meter observe the messages that are not in the read buffer as a whole, and
// lets it end the reading.
func (reader *Reader) Observe(meter ebonywood.MessageMeter) { reader.meter = meter }

// Release drops a large buffer. The bytes of the last message must not be used afterwards.
func (reader *Reader) Release() {
	if cap(reader.frame) > maxKeptBuffer {
		reader.frame = nil
	}
}

// Next returns the next message with its header. The bytes are valid until the
// next call. The error is a fault of KindBadInput for an invalid length, else that of
// the source.
func (reader *Reader) Next() ([]byte, error) {
	if _, err := reader.source.Peek(1); err != nil {
		return nil, err
	}
	reader.announce(HeaderSize)
	header, err := reader.source.Peek(HeaderSize)
	if err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < HeaderSize-1 || length > MaxSize {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("a message has an invalid length of %d bytes", length),
			fmt.Sprintf("send messages of at most %d bytes", MaxSize))
	}
	reader.announce(int(length) + 1)
	return reader.read(int(length) + 1)
}

// announce tells the meter if reading size bytes has to wait.
func (reader *Reader) announce(size int) {
	if reader.meter != nil && reader.source.Buffered() < size {
		reader.meter.MessageBegun()
	}
}

// read returns a message of size bytes, including the header.
func (reader *Reader) read(size int) ([]byte, error) {
	if cap(reader.frame) > maxKeptBuffer && size <= maxKeptBuffer {
		reader.frame = nil
	}
	if size <= reader.source.Size() {
		frame, err := reader.source.Peek(size)
		if err != nil {
			return nil, err
		}
		reader.frame = append(reader.frame[:0], frame...)
		_, err = reader.source.Discard(size)
		return reader.frame, err
	}
	return reader.readLarge(size)
}

// readLarge reads a message that exceeds the read buffer. It grows the message's
// buffer as bytes arrive, so that a length without the data that it announces does not
// allocate memory.
func (reader *Reader) readLarge(size int) ([]byte, error) {
	reader.frame = reader.frame[:0]
	for len(reader.frame) < size {
		start := len(reader.frame)
		if start == cap(reader.frame) {
			grown := min(size, max(2*start, maxKeptBuffer))
			if reader.meter != nil {
				if err := reader.meter.GrowMessage(grown); err != nil {
					return nil, err
				}
			}
			reader.frame = append(make([]byte, 0, grown), reader.frame...)
		}
		reader.frame = reader.frame[:min(size, cap(reader.frame))]
		if _, err := io.ReadFull(reader.source, reader.frame[start:]); err != nil {
			return nil, err
		}
	}
	return reader.frame, nil
}

// Buffered returns the number of bytes that were received and not yet returned.
func (reader *Reader) Buffered() int { return reader.source.Buffered() }
