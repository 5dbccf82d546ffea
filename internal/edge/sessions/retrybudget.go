package sessions

import (
	"sync"

	"github.com/ebonywood/ebonywood/internal/retry"
)

// This file bounds the retries of this process, so that they can't sustain an overload.

const (
	// retryShare is how many retries each statement adds to the budget. A replica out of
	// three that fails half of its reads needs a retry for every sixth read.
	retryShare = 0.2
	// retryReserve is the maximum of the budget. It covers the statements that a process
	// has in flight at a member that is lost.
	retryReserve = 10
	// retryReserveForUrgent is the part of the budget that only statements of priority 0
	// may use.
	retryReserveForUrgent = 5
)

// retryBudget is the budget for tries after one that reached a member or another proxy. A try
// that was not sent is no load to them, and neither are those after replies that name a state
// of the member (not primary, behind the floor, without the prepared statement), since the
// process acts on that state before the next try.
type retryBudget struct {
	mutex  sync.Mutex
	budget retry.Budget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: retry.NewBudget(retryShare, retryReserve)}
}

func (retries *retryBudget) earn() {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	retries.budget.Earn()
}

// spend takes the credit for one retry and reports whether there was any.
func (retries *retryBudget) spend(priority int) bool {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	if priority == 0 {
		return retries.budget.Spend()
	}
	return retries.budget.SpendLeaving(retryReserveForUrgent)
}

// mayRetry takes the credit for a retry and reports whether there was any. where says where
// the try before it was sent.
func (attempt *attempt) mayRetry(where string) bool {
	if attempt.edge.retries.spend(attempt.route.Priority()) {
		return true
	}
	attempt.edge.counters.count("retriesRefused", where)
	return false
}
