package linebudget

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestDroppedLinesAreCountedAndLogged exceeds the budget of one second: the excess
// is counted, and logged in the next second.
func TestDroppedLinesAreCountedAndLogged(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	scope := tally.NewTestScope("", nil)
	budget := New(20, scope, "refused")
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
	for range 500 {
		budget.Line(log, "refused", "code", "busy")
	}
	require.Len(t, lines, 20)
	require.Equal(t, int64(480), scope.Snapshot().Counters()["linesDropped+kind=refused"].Value())
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
	budget.Line(log, "refused", "code", "busy")
	require.Len(t, lines, 22)
	require.True(t, strings.Contains(lines[20], `"linesDropped" "count"=480 "of"="refused"`), lines[20])
}

// TestZeroBudgetWritesNothing offers lines in two seconds: neither they nor the number of
// those that were dropped may be written. The counter has them all.
func TestZeroBudgetWritesNothing(t *testing.T) {
	log := funcr.New(func(string, string) { panic("a line") }, funcr.Options{})
	scope := tally.NewTestScope("", nil)
	var zero Budget
	budgets := []*Budget{&zero, New(0, scope, "refused")}
	for range 2 {
		for _, budget := range budgets {
			budget.Line(log, "refused")
		}
		time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
	}
	for _, budget := range budgets {
		budget.Line(log, "refused")
	}
	require.Equal(t, int64(3), scope.Snapshot().Counters()["linesDropped+kind=refused"].Value())
}
