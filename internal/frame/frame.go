// Package frame cuts a PostgreSQL v3 byte stream into messages without decoding
// them. pgproto3 decodes every message into a struct, which a relay would encode
// again at once; it is used for the few messages that have to be read or changed.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/ebonywood/ebonywood"
)

// The kinds of message that the proxy looks at, by the first byte.
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
	// HeaderSize is the length of a message's kind and length fields.
	HeaderSize = 5
	// MaxSize bounds one message, so that a hostile length can't exhaust memory.
	MaxSize = 64 << 20
	// bufferSize is what an idle connection holds.
	bufferSize = 2 << 10
	// keepSize is the greatest body buffer that is kept between messages.
	keepSize = 16 << 10
)

// Body is a message without its header.
func Body(message []byte) []byte { return message[HeaderSize:] }

// Reader cuts a stream into messages.
type Reader struct {
	source *bufio.Reader
	frame  []byte
}

// NewReader reads from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferSize)}
}

// Next returns the next message with its header. The bytes are valid until the
// next call.
func (reader *Reader) Next() ([]byte, error) {
	header, err := reader.source.Peek(HeaderSize)
	if err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < HeaderSize-1 || length > MaxSize {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("a message states a length of %d bytes", length),
			fmt.Sprintf("send messages of at most %d bytes", MaxSize))
	}
	return reader.read(int(length) + 1)
}

func (reader *Reader) read(size int) ([]byte, error) {
	if cap(reader.frame) > keepSize && size <= keepSize {
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

// readLarge grows its buffer as bytes arrive: a length that is stated but never
// sent costs nothing.
func (reader *Reader) readLarge(size int) ([]byte, error) {
	reader.frame = reader.frame[:0]
	for len(reader.frame) < size {
		step := min(size-len(reader.frame), max(len(reader.frame), keepSize))
		start := len(reader.frame)
		reader.frame = append(reader.frame, make([]byte, step)...)
		if _, err := io.ReadFull(reader.source, reader.frame[start:]); err != nil {
			return nil, err
		}
	}
	return reader.frame, nil
}

// Buffered is how many bytes were received and not yet returned.
func (reader *Reader) Buffered() int { return reader.source.Buffered() }
