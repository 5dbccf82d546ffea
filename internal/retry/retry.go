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

// Budget limits the retries of one route in proportion to its requests. It is not safe
// for concurrent use. The zero value is a full budget.
type Budget struct {
	spent float64
}

// Earn adds the credit of a new request.
func (budget *Budget) Earn() { budget.spent = max(0, budget.spent-creditPerRequest) }

// Spend takes the credit for one retry and reports whether the budget had it.
func (budget *Budget) Spend() bool {
	if budget.spent+1 > maxCredit {
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
