// Package cborwire encodes the messages between proxies: CBOR with bounds on what is
// decoded.
package cborwire

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Bounds of what is decoded.
const (
	maxElements = 100_000
	maxNesting  = 8
)

// Encoding is the encoding as drpc takes it. The zero value works.
type Encoding struct{}

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	decode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err)
	}
	return decode
}

// Marshal encodes a message.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message.
func (Encoding) Unmarshal(text []byte, message drpc.Message) error {
	return decoding.Unmarshal(text, message)
}
