// Package retry decides whether a request that failed is run again.
//
// Before its first byte is sent a request may move anywhere. Afterwards only one
// that is safe to repeat may, and only while nothing of an answer reached the
// caller. A budget keeps retries a small share of the requests, so that they
// can't multiply a crest.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// earnings is what each request adds to the budget.
	earnings = 0.1
	// savings bounds the budget, and is what a process begins with.
	savings = 100
	// firstPause doubles with each attempt up to lastPause.
	firstPause = 2 * time.Millisecond
	lastPause  = 50 * time.Millisecond
)

// Budget is what the requests of one route may spend on retries. It is not safe
// for concurrent use. The zero value is full.
type Budget struct {
	spent float64
}

// Earn counts a new request.
func (budget *Budget) Earn() { budget.spent = max(0, budget.spent-earnings) }

// Spend takes one retry out of the budget and reports whether there was one.
func (budget *Budget) Spend() bool {
	if budget.spent+1 > savings {
		return false
	}
	budget.spent++
	return true
}

// Pause is the time before a retry, with jitter. attempt counts from 0.
func (budget *Budget) Pause(attempt int, random *rand.Rand) time.Duration {
	pause := min(firstPause<<min(attempt, 10), lastPause)
	return pause/2 + time.Duration(random.Int64N(int64(pause)))
}

// MayRepeat reports whether a request may be run again after a fault. safe says
// that running it twice does no harm, relayed that a part of an answer reached
// the caller.
func MayRepeat(kind ebonywood.FaultKind, inTransaction, safe, relayed bool) bool {
	switch {
	case inTransaction || relayed:
		return false
	case kind == ebonywood.KindNotRun:
		return true
	default:
		return kind == ebonywood.KindUnknown && safe
	}
}
