package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func TestMayRetry(t *testing.T) {
	cases := []struct {
		name                         string
		kind                         ebonywood.FaultKind
		inTransaction, safe, relayed bool
		want                         bool
	}{
		{"not run", ebonywood.KindNotRun, false, false, false, true},
		{"not run, in a transaction", ebonywood.KindNotRun, true, false, false, false},
		{"unknown and unsafe", ebonywood.KindUnknown, false, false, false, false},
		{"unknown and safe", ebonywood.KindUnknown, false, true, false, true},
		{"a part was relayed", ebonywood.KindUnknown, false, true, true, false},
		{"overload", ebonywood.KindOverload, false, true, false, false},
		{"stale", ebonywood.KindStale, false, true, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, MayRetry(test.kind, test.inTransaction, test.safe, test.relayed))
		})
	}
}

// TestBudgetBoundsRetries makes every request fail and retry. The retries must not
// exceed a tenth of the requests and the initial credit.
func TestBudgetBoundsRetries(t *testing.T) {
	var budget Budget
	const requests = 10_000
	retries := 0
	for range requests {
		budget.Earn()
		if budget.Spend() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, requests/10+maxCredit)
	require.Greater(t, retries, requests/20)
}

func TestBackoffGrowsWithJitterToALimit(t *testing.T) {
	var budget Budget
	random := rand.New(rand.NewPCG(1, 1))
	for attempt := range 40 {
		backoff := budget.Backoff(attempt, random)
		require.Positive(t, backoff)
		require.LessOrEqual(t, backoff, 2*maxBackoff)
	}
}
