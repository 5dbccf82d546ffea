package frame

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func message(kind byte, body string) []byte {
	size := len(body) + HeaderSize - 1
	header := []byte{kind, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}
	return append(header, body...)
}

func TestNextReturnsWholeMessages(t *testing.T) {
	large := string(bytes.Repeat([]byte("x"), 3*maxKeptBuffer))
	stream := bytes.Join([][]byte{message('Q', "a"), message('D', large), message('S', "")}, nil)
	reader := NewReader(bytes.NewReader(stream))
	for _, want := range []string{"a", large, ""} {
		got, err := reader.Next()
		require.NoError(t, err)
		require.Equal(t, want, string(Body(got)))
	}
}

func TestNextRejectsInvalidLengths(t *testing.T) {
	for _, header := range [][]byte{{'Q', 0xff, 0xff, 0xff, 0xff}, {'Q', 0, 0, 0, 3}} {
		_, err := NewReader(bytes.NewReader(header)).Next()
		require.ErrorContains(t, err, "invalid length")
	}
}

// FuzzReader checks that the messages returned are a prefix of the stream, whatever it
// contains.
func FuzzReader(f *testing.F) {
	f.Add(message('Q', "select 1"))
	f.Add([]byte{'Q', 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := NewReader(bytes.NewReader(stream))
		var read []byte
		for {
			got, err := reader.Next()
			if err != nil {
				break
			}
			read = append(read, got...)
		}
		require.True(t, bytes.HasPrefix(stream, read))
	})
}
