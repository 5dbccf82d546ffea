package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// shares returns how often each candidate is chosen.
func shares(candidates ...ebonywood.LoadCandidate) []float64 {
	const rounds = 10_000
	random := rand.New(rand.NewPCG(1, 2))
	counts := make([]float64, len(candidates))
	for range rounds {
		counts[ForMembers().Choose(candidates, random.Uint64())] += 1.0 / rounds
	}
	return counts
}

// TestEqualMembersShareTheLoad guards against all proxies choosing the first member of the
// list while all are equally loaded.
func TestEqualMembersShareTheLoad(t *testing.T) {
	candidate := ebonywood.NewLoadCandidate(0, 0).WithTime(20, 0)
	for _, share := range shares(candidate, candidate, candidate) {
		require.InDelta(t, 1.0/3, share, 0.03)
	}
}

// TestSlowMemberIsLeftAndTriedAgain guards against sending reads to a member that is slower by
// six, and against never finding out that it has recovered.
func TestSlowMemberIsLeftAndTriedAgain(t *testing.T) {
	usual := ebonywood.NewLoadCandidate(0, 0).WithTime(20, 0)
	slow := ebonywood.NewLoadCandidate(0, 0).WithTime(120, 0)
	require.Less(t, shares(usual, slow)[1], 0.01)
	forgotten := ebonywood.NewLoadCandidate(0, 0).WithTime(120, 60_000)
	require.Greater(t, shares(usual, forgotten)[1], 0.05)
}

// TestPrimaryIsUsedUnderLoad guards against reads that queue at the replicas while the primary
// idles, and against reads at the primary while the replicas are free.
func TestPrimaryIsUsedUnderLoad(t *testing.T) {
	primary := ebonywood.NewLoadCandidate(0, 30).WithTime(20, 0)
	free, busy := ebonywood.NewLoadCandidate(0, 0).WithTime(20, 0), ebonywood.NewLoadCandidate(6, 0).WithTime(60, 0)
	require.Less(t, shares(primary, free, free)[0], 0.05)
	require.Greater(t, shares(primary, busy, busy)[0], 0.5)
}

// TestOpeningIsAvoided guards against random choices that open a connection at every member for
// every workspace.
func TestOpeningIsAvoided(t *testing.T) {
	opening := ebonywood.NewLoadCandidate(0, 0).WithTime(20, 0).WithAvoidedCost(15)
	idle, busy := ebonywood.NewLoadCandidate(0, 6).WithTime(20, 0), ebonywood.NewLoadCandidate(4, 6).WithTime(20, 0)
	require.Zero(t, shares(opening, idle)[0])
	require.Greater(t, shares(opening, busy)[0], 0.5)
	require.InDelta(t, 0.5, shares(opening, opening)[0], 0.05)
}

// TestChoiceAllocatesNothing guards against a choice that costs memory for every read.
func TestChoiceAllocatesNothing(t *testing.T) {
	require.Zero(t, testing.AllocsPerRun(100, func() {
		var candidates [3]ebonywood.LoadCandidate
		for i := range candidates {
			candidates[i] = ebonywood.NewLoadCandidate(i, 0).WithTime(20, 0)
		}
		_ = ForMembers().Choose(candidates[:], 1)
	}))
}

// TestFewTrialsShowARecovery guards against a member that stays out for minutes after it has
// recovered, since each rare trial read changes its average by little.
func TestFewTrialsShowARecovery(t *testing.T) {
	ratio := 6.0
	for range 3 {
		ratio = Average(ratio, 1, 10_000)
	}
	require.Less(t, ratio, 1.5)
	require.InDelta(t, 6-0.15*5, Average(6, 1, 0), 0.001, "a read in rapid succession counts less")
	require.InDelta(t, 3, Average(0, 3, 0), 0, "the first one is the average")
}
