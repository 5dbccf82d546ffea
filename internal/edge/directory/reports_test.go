package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestLostReportsAreKept guards against LOST with synchronous replicas: the holder of the duty
// took a proxy whose report the restored directory lacks for one that is gone, and promoted while
// that proxy sent writes.
func TestLostReportsAreKept(t *testing.T) {
	edge := New(fakePort{})
	item := func(value nodeValue) map[string]ebonywood.Item {
		key := nodePrefix + value.Name
		return map[string]ebonywood.Item{key: ebonywood.NewItem(key, encodeJSON(value), ebonywood.NewRevision(value.Era, 7))}
	}
	stops := []stopValue{{Instance: "db", Token: 3, Round: 1}}
	stopped := nodeValue{Name: "p1", Suspects: []string{"m0"}, RequestedStops: stops, WriteStops: stops, Era: 1}
	reports := edge.listReports(item(stopped), 1)
	require.Len(t, reports[0].WriteStops(), 1)

	edge.noteRestore()
	for _, copied := range []map[string]ebonywood.Item{nil, item(nodeValue{Name: "p1", Era: 1})} {
		reports = edge.listReports(copied, 2)
		require.Len(t, reports, 1)
		require.Equal(t, []ebonywood.MemberID{"m0"}, reports[0].Suspects())
		require.Len(t, reports[0].RequestedStops(), 1)
		require.Empty(t, reports[0].WriteStops(), "it may have resumed its writes")
	}
	stopped.Era = 2
	require.Len(t, edge.listReports(item(stopped), 2)[0].WriteStops(), 1)

	edge.restoredAt = time.Now().Add(-2 * expiredRetention)
	require.Empty(t, edge.listReports(nil, 2))
}
