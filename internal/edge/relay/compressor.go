package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/ebonywood/ebonywood"
)

const (
	// minCompressedSize is the size from which on values are compressed, in bytes.
	minCompressedSize = 4 << 10
	// maxDecompressedSize bounds the size of a decompressed value, in bytes.
	maxDecompressedSize = 4 << 20
)

// compressor compresses long values, such as the configuration, once for all proxies
// that follow this process's mirror. The zero value is ready to use.
type compressor struct {
	mutex sync.Mutex
	// cached contains the last compressed value of each key.
	cached map[string]compressedValue
}

// compressedValue is the compressed value of a key at a revision.
type compressedValue struct {
	revision ebonywood.Revision
	data     []byte
}

// compress returns the compressed value of an item.
func (compressor *compressor) compress(item ebonywood.Item) []byte {
	compressor.mutex.Lock()
	defer compressor.mutex.Unlock()
	if cached, found := compressor.cached[item.Key()]; found && cached.revision == item.Revision() {
		return cached.data
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	// Writes to a bytes.Buffer can't fail.
	_, _ = writer.Write(item.Value())
	_ = writer.Close()
	if compressor.cached == nil {
		compressor.cached = map[string]compressedValue{}
	}
	compressor.cached[item.Key()] = compressedValue{revision: item.Revision(), data: buffer.Bytes()}
	return buffer.Bytes()
}

// decompress returns the decompressed value. It fails if data is invalid or the value has
// more than maxDecompressedSize bytes.
func decompress(data []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressedSize+1))
	if err == nil && len(value) > maxDecompressedSize {
		err = fmt.Errorf("a compressed value expands to more than %d bytes", maxDecompressedSize)
	}
	return value, err
}
