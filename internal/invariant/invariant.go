// Package invariant checks invariants in the running program.
//
// In production a violation is counted and logged, because a proxy that exits
// serves no requests. In tests and soak runs it ends the process, so that the run
// stops at the fault. docs/INVARIANTS.md lists each check and the test that
// violates it.
package invariant

import (
	"sync"
)

// Names of the invariants, as logs and metrics show them.
const (
	ReadYourWrites                     = "readYourWrites"
	NoAcknowledgementByReplacedPrimary = "noAcknowledgementByReplacedPrimary"
	OneTransactionPerConnection        = "oneTransactionPerConnection"
	WholeAnswerToOwnRequest            = "wholeAnswerToOwnRequest"
	NotRunIsTrue                       = "notRunIsTrue"
	UnsafeAtMostOnce                   = "unsafeAtMostOnce"
	NoWorkForLeavingTarget             = "noWorkForLeavingTarget"
	DrainCutsNothingOff                = "drainCutsNothingOff"
	ConfigurationNeverReverts          = "configurationNeverReverts"
)

// Checker counts violations by name of the invariant. The zero value is ready to
// use.
type Checker struct {
	mutex       sync.Mutex
	violations  map[string]int
	onViolation func(name, detail string)
}

// OnViolation sets a handler that is called after a violation was counted. It must
// be set before the first Check.
func (checker *Checker) OnViolation(handler func(name, detail string)) { checker.onViolation = handler }

// Check counts a violation if holds is false and calls the handler with detail.
func (checker *Checker) Check(name string, holds bool, detail string) {
	if holds {
		return
	}
	checker.mutex.Lock()
	if checker.violations == nil {
		checker.violations = map[string]int{}
	}
	checker.violations[name]++
	checker.mutex.Unlock()
	if checker.onViolation != nil {
		checker.onViolation(name, detail)
	}
}

// Violations returns a copy of the counts of violations by name.
func (checker *Checker) Violations() map[string]int {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	counts := map[string]int{}
	for name, count := range checker.violations {
		counts[name] = count
	}
	return counts
}
