package refusals

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
)

// TestRefusalsAreBounded guards against a series for each of many workspaces: the first 32 have
// their own, the others share one, and callers without a workspace have another.
func TestRefusalsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	refusals := New(scope)
	for range 2 {
		for i := range 100 {
			refusals.Count("busy", ebonywood.NewWorkspace(fmt.Sprintf("w%d", i), nil, nil, 0))
		}
	}
	refusals.Count("denied", nil)
	counts := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		counts[counter.Tags()["code"]+" "+counter.Tags()["workspace"]] += counter.Value()
	}
	require.Len(t, counts, 34)
	require.Equal(t, int64(2), counts["busy w0"])
	require.Equal(t, int64(2), counts["busy w31"])
	require.Equal(t, int64(2*68), counts["busy other"])
	require.Equal(t, int64(1), counts["denied none"])
	for key := range counts {
		require.True(t, strings.HasPrefix(key, "busy ") || key == "denied none")
	}
}
