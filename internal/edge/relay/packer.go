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
	// packedSize is from which size on a value is packed, in bytes.
	packedSize = 4 << 10
	// unpackedLimit bounds a value that is unpacked, in bytes.
	unpackedLimit = 4 << 20
)

// packer packs long values, such as the configuration, once for all who follow the
// mirror here. The zero value works.
type packer struct {
	mutex sync.Mutex
	// packed is the last packing of each key.
	packed map[string]packing
}

type packing struct {
	revision int64
	text     []byte
}

// pack returns the packed value of an item.
func (packer *packer) pack(item ebonywood.Item) []byte {
	packer.mutex.Lock()
	defer packer.mutex.Unlock()
	if known, found := packer.packed[item.Key()]; found && known.revision == item.Revision() {
		return known.text
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	// Writing into memory can't fail.
	_, _ = writer.Write(item.Value())
	_ = writer.Close()
	if packer.packed == nil {
		packer.packed = map[string]packing{}
	}
	packer.packed[item.Key()] = packing{revision: item.Revision(), text: buffer.Bytes()}
	return buffer.Bytes()
}

// unpack returns the value that was packed.
func unpack(text []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text)), unpackedLimit+1))
	if err == nil && len(value) > unpackedLimit {
		err = fmt.Errorf("a packed value is longer than %d bytes", unpackedLimit)
	}
	return value, err
}
