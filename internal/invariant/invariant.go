// Package invariant checks, inside the running program, what must always hold.
//
// In production a violation is counted and logged, because a proxy that stops
// serves nobody. In tests and soak runs it ends the process, so that the run ends
// where the fault is. docs/INVARIANTS.md names each check and the test that breaks it.
package invariant

import (
	"sync"
)

// The names of the invariants.
const (
	ReadYourWrites = "readYourWrites"
	NoReplacedAck  = "noAcknowledgementByReplacedPrimary"
	OneTransaction = "oneTransactionPerConnection"
	WholeAnswer    = "wholeAnswerToOwnRequest"
	TrulyNotRun    = "notRunIsTrue"
	AtMostOnce     = "unsafeAtMostOnce"
	NoWorkLeaving  = "noWorkForLeavingTarget"
	NothingCutOff  = "drainCutsNothingOff"
	NeverReverts   = "configurationNeverReverts"
)

// Checker counts violations. The zero value works.
type Checker struct {
	mutex    sync.Mutex
	broken   map[string]int
	onBroken func(name, detail string)
}

// OnBroken sets what happens on a violation besides counting.
func (checker *Checker) OnBroken(act func(name, detail string)) { checker.onBroken = act }

// Check takes note when an invariant does not hold.
func (checker *Checker) Check(name string, holds bool, detail string) {
	if holds {
		return
	}
	checker.mutex.Lock()
	if checker.broken == nil {
		checker.broken = map[string]int{}
	}
	checker.broken[name]++
	checker.mutex.Unlock()
	if checker.onBroken != nil {
		checker.onBroken(name, detail)
	}
}

// Broken copies the counts of violations by name.
func (checker *Checker) Broken() map[string]int {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	counts := map[string]int{}
	for name, count := range checker.broken {
		counts[name] = count
	}
	return counts
}
