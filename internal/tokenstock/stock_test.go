package tokenstock

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

var (
	first  = ebonywood.NewAllocator(0, "p", "p", "first")
	second = ebonywood.NewAllocator(1, "q", "q", "second")
)

const life ebonywood.Millis = 4000

// TestReturnedTokenKeepsItsLife guards against a returned token that lives longer than its
// allocator counts it.
func TestReturnedTokenKeepsItsLife(t *testing.T) {
	stock := New()
	stock.Add(0, 0, life, 0, first, 1, 0, 0)
	require.True(t, stock.Take(3000))
	stock.Return(3500)
	require.Equal(t, 1, stock.Held(life-1))
	require.False(t, stock.Take(life))
	stock.Return(life)
	require.Zero(t, stock.Held(life), "a token that has expired meanwhile is not returned")
}

// TestSpentTokenIsNotReturned guards against a token that is spent twice: its allocator was
// told that it is spent, and has dealt another one for it.
func TestSpentTokenIsNotReturned(t *testing.T) {
	stock := New()
	stock.Add(0, 0, life, 0, first, 2, 0, 0)
	require.True(t, stock.Take(10))
	require.Equal(t, 1, stock.BeginRequest(20, first))
	stock.Return(30)
	require.Equal(t, 1, stock.Held(30))
	require.True(t, stock.Take(40))
	stock.Spend(50)
	stock.Return(60)
	require.Zero(t, stock.Held(60))
}

// TestTokensOfAnEarlierHolderAreNotReported guards against a new allocator that counts tokens of
// its predecessor as its own, and against tokens that are lost when a key changes its holder.
func TestTokensOfAnEarlierHolderAreNotReported(t *testing.T) {
	stock := New()
	stock.Add(0, 0, life, 0, first, 3, 0, 0)
	successor := ebonywood.NewAllocator(0, "r", "r", "successor")
	require.Zero(t, stock.BeginRequest(10, successor))
	stock.Add(10, 10, life, 0, successor, 2, 0, 0)
	require.Equal(t, 5, stock.Held(10))
	require.Equal(t, 2, stock.BeginRequest(20, successor))
}

// TestNextSkipsBlockedAllocators guards against requests to an allocator that has asked for a
// pause, and against a pause that also holds for its successor.
func TestNextSkipsBlockedAllocators(t *testing.T) {
	stock := New()
	both := []ebonywood.Allocator{first, second}
	stock.Add(0, 0, life, 200, first, 1, 0, 100)
	next, found := stock.Next(50, both)
	require.True(t, found)
	require.Equal(t, second, next)
	stock.Block(100, second)
	_, found = stock.Next(50, both)
	require.False(t, found)
	next, found = stock.Next(100, both)
	require.True(t, found)
	require.Equal(t, first, next)
	_, found = stock.Next(50, []ebonywood.Allocator{ebonywood.NewAllocator(0, "r", "r", "successor")})
	require.True(t, found)
}

// TestSpentTokensOfAPressedWorkspaceAreReported guards against tokens that were spent at once and
// count as outstanding until they expire, and against reports of urgent tokens, which need none.
func TestSpentTokensOfAPressedWorkspaceAreReported(t *testing.T) {
	stock := New()
	stock.Add(0, 0, life, 200, first, 1, 1, 100)
	due, later := stock.IsReportDue(500, first)
	require.False(t, due || later)
	stock.Add(500, 500, life, 200, first, 2, 1, 100)
	due, later = stock.IsReportDue(600, first)
	require.False(t, due)
	require.True(t, later)
	due, _ = stock.IsReportDue(700, first)
	require.True(t, due)
	stock.BeginRequest(700, first)
	due, later = stock.IsReportDue(900, first)
	require.False(t, due || later)
}

// TestSteadyDemandIsHeldAhead guards against operations that wait although the proxy has callers
// at a steady rate, and against tokens that expire at a proxy with few.
func TestSteadyDemandIsHeldAhead(t *testing.T) {
	stock := New()
	stock.CountDemand(100)
	require.False(t, stock.IsLow(100), "a single operation needs no token ahead")
	require.Equal(t, 1, stock.Wanted(100, 1))
	for i := range 20 {
		stock.CountDemand(ebonywood.Millis(10_000 + i*20))
	}
	require.True(t, stock.IsLow(10_400))
	require.Equal(t, 10, stock.Wanted(10_400, 0))
	stock.Add(10_400, 10_400, life, 0, first, 20, 0, 0)
	require.False(t, stock.IsLow(10_400))
}
