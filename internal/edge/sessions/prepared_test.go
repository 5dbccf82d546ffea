package sessions

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestOnlyReadsCountAsReads guards against lost work: a prepared write that counted as a read
// ran in a transaction that is rolled back, and was answered with success.
func TestOnlyReadsCountAsReads(t *testing.T) {
	for definition, writes := range map[string]bool{
		"READ q2": false, " READ q2": false, "WRITE q1": true, " WRITE q1": true, "   WRITE q1": true, "": true, "READER q": true,
	} {
		require.Equal(t, writes, newPreparedStatement(definition).writes, "%q", definition)
	}
}

// TestRefusedTransactionKeepsTheFloor guards against reads that miss their session's commits:
// the result of a forwarded transaction that could not be begun had no floor, and the
// session took it over.
func TestRefusedTransactionKeepsTheFloor(t *testing.T) {
	port := newServingPort()
	edge := New(port)
	floor := ebonywood.NewPosition(3, 17)
	state := ebonywood.NewSessionState("gone", 3, nil, floor, 40)
	request := ebonywood.NewForwardRequest(state, ebonywood.NewStatement("1", ebonywood.VerbRead, "READ a", "a", ""), "").WithBegin(ebonywood.VerbBegin, 0)
	result := edge.OpenForwarded(t.Context(), request).Run(request)
	require.Equal(t, ebonywood.CodeAborted, result.Reply().Code())
	require.Equal(t, floor, result.Floor())
	require.GreaterOrEqual(t, result.CommitAge(), ebonywood.Millis(40))
}
