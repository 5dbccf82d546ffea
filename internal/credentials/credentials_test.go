package credentials

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// verifier is a valid one, of a password that is not used anywhere.
const verifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

func TestParseReadsAllCallers(t *testing.T) {
	credentials, err := Parse("callers", []byte("# callers\n\nann:"+verifier+"\r\nbob:"+verifier))
	require.NoError(t, err)
	require.Len(t, credentials.byUser, 2)
}

// TestLongLineIsReported checks that a line that is too long neither ends the file nor is
// passed over.
func TestLongLineIsReported(t *testing.T) {
	for _, size := range []int{maxLineSize + 1, 100 << 10} {
		text := "ann:" + verifier + "\n" + strings.Repeat("x", size) + "\nbob:nothing\n"
		_, err := Parse("callers", []byte(text))
		require.ErrorContains(t, err, "callers:2: the line has more than 4096 bytes")
		require.ErrorContains(t, err, "callers:3: bob: is not a SCRAM-SHA-256 verifier")
	}
}
