package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const log = `  4.0900 edge-1 {"proxy":"edge-1","instance":"db","member":"m0","reachable":false,"time":1000,"message":"reach"}
{"proxy":"edge-1","instance":"other","member":"x0","reachable":false,"time":1001,"message":"reach"}
{"proxy":"edge-2","instance":"db","member":"m0","reachable":false,"time":1002,"message":"reach"}
not a log line
{"proxy":"edge-1","id":"r1","instance":"db","outcome":"busy","why":"db has no primary","time":1800,"message":"request"}
`

func TestPrintShowsDecisionAndStateEvents(t *testing.T) {
	var logs Logs
	require.NoError(t, logs.Add(strings.NewReader(log)))
	var text strings.Builder
	found, err := logs.Print(&text, "r1")
	require.NoError(t, err)
	require.True(t, found)
	require.Contains(t, text.String(), "db has no primary")
	require.Contains(t, text.String(), `"member":"m0"`)
	require.NotContains(t, text.String(), "x0")
	require.NotContains(t, text.String(), "edge-2")
	found, err = logs.Print(&text, "unheard")
	require.NoError(t, err)
	require.False(t, found)
	require.Contains(t, text.String(), "4 lines read, 1 skipped")
}

// TestLongLinesAreSkipped puts lines that are too long before a decision and at the end.
func TestLongLinesAreSkipped(t *testing.T) {
	long := `{"message":"` + strings.Repeat("x", 3*maxLineBytes) + `"}`
	var logs Logs
	require.NoError(t, logs.Add(strings.NewReader(long+"\n"+log+long)))
	var text strings.Builder
	found, err := logs.Print(&text, "r1")
	require.NoError(t, err)
	require.True(t, found)
	_, err = logs.Print(&text, "unheard")
	require.NoError(t, err)
	require.Contains(t, text.String(), "4 lines read, 3 skipped")
}
