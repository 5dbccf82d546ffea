// Package cborwire encodes the messages between proxies as CBOR and limits the size of
// decoded messages.
package cborwire

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits of a decoded message: elements of an array, pairs of a map and levels of
// nesting.
const (
	maxElements = 100_000
	maxNesting  = 8
)

// Encoding implements drpc.Encoding. The zero value is ready to use.
type Encoding struct{}

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a message as CBOR.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message, and fails if it exceeds the limits.
func (Encoding) Unmarshal(data []byte, message drpc.Message) error {
	return decodeMode.Unmarshal(data, message)
}
