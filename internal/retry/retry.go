// Package retry decides whether a failed request is run again.
//
// Before its first byte is sent, any request may be retried on any member. After that
// only a request that is safe to repeat may be retried, and only until a part of the
// reply reached the caller. A budget limits retries to a small share of the requests,
// so that they can't amplify an overload.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// creditPerRequest is how many retries each request adds to the budget.
	creditPerRequest = 0.1
	// maxCredit is the maximum of the budget in retries, and its initial value.
	maxCredit = 100
	// initialBackoff doubles with each attempt up to maxBackoff.
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 50 * time.Millisecond
)

// Budget limits retries in proportion to requests. It is not safe for concurrent use. The
// zero value is a full budget of creditPerRequest and maxCredit.
type Budget struct {
	spent float64
	// share is the credit of a request and reserve the maximum of the budget; 0 stands for
	// the constants.
	share, reserve float64
}

// NewBudget returns a full budget: share is how many retries each request adds, reserve the
// maximum of the budget in retries.
func NewBudget(share, reserve float64) Budget { return Budget{share: share, reserve: reserve} }

func (budget *Budget) credit() float64 {
	if budget.share == 0 {
		return creditPerRequest
	}
	return budget.share
}

func (budget *Budget) limit() float64 {
	if budget.reserve == 0 {
		return maxCredit
	}
	return budget.reserve
}

// Earn adds the credit of a new request.
func (budget *Budget) Earn() {
	budget.spent = max(0, budget.spent-budget.credit())
}

// Spend takes the credit for one retry and reports whether the budget had it.
func (budget *Budget) Spend() bool { return budget.SpendLeaving(0) }

// SpendLeaving is like Spend, but leaves at least rest in the budget for more urgent
// retries.
func (budget *Budget) SpendLeaving(rest float64) bool {
	if budget.spent+1+rest > budget.limit() {
		return false
	}
	budget.spent++
	return true
}

// Backoff returns how long to wait before a retry: half to one and a half times the
// nominal backoff of the attempt, so at most 1.5 times maxBackoff. attempt counts from 0.
func (budget *Budget) Backoff(attempt int, random *rand.Rand) time.Duration {
	backoff := min(initialBackoff<<min(attempt, 10), maxBackoff)
	return backoff/2 + time.Duration(random.Int64N(int64(backoff)))
}

// MayRetry reports whether a request may be run again after a fault. safe says that the
// request may be run twice, relayed that a part of the reply reached the caller.
func MayRetry(kind ebonywood.FaultKind, inTransaction, safe, relayed bool) bool {
	switch {
	case inTransaction || relayed:
		return false
	case kind == ebonywood.KindNotRun:
		return true
	default:
		return kind == ebonywood.KindUnknown && safe
	}
}
