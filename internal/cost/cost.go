// Package cost estimates how long the statements of each shape take.
//
// The estimate is a decaying quantile rather than a mean: one slow run should not make
// its whole shape count as long, but a shape that is often long should. Each run moves
// the estimate towards the quantile by a step of fixed relative size, so one number for
// each shape suffices.
package cost

import (
	"time"
)

const (
	// quantile is the share of runs that should take no longer than the estimate.
	quantile = 0.8
	// stepUp and stepDown are relative steps. They cancel out when a share of quantile
	// of the runs takes less than the estimate.
	stepUp   = 0.2
	stepDown = stepUp * (1 - quantile) / quantile
	// maxShapes bounds the memory of one table.
	maxShapes = 4096
	// minEstimate keeps the estimate above zero, since the steps are relative to it.
	minEstimate = 10 * time.Microsecond
)

// Table holds the estimates of all shapes. The zero value works. It is not safe
// for concurrent use.
type Table struct {
	estimates map[uint64]time.Duration
}

// Record updates the estimate of a shape by the time that a statement held its slot, and
// reports whether the shape had no estimate before.
func (table *Table) Record(shape uint64, elapsed time.Duration) (isNew bool) {
	if table.estimates == nil {
		table.estimates = map[uint64]time.Duration{}
	}
	previous, found := table.estimates[shape]
	switch {
	case !found:
		table.evictIfFull()
		table.estimates[shape] = max(elapsed, minEstimate)
		return true
	case elapsed > previous:
		table.estimates[shape] = min(previous+time.Duration(float64(previous)*stepUp)+time.Microsecond, elapsed)
	default:
		table.estimates[shape] = max(previous-time.Duration(float64(previous)*stepDown), elapsed, minEstimate)
	}
	return false
}

// evictIfFull removes an arbitrary shape if the table is full, so that callers that never
// repeat a statement can't exhaust the memory.
func (table *Table) evictIfFull() {
	if len(table.estimates) < maxShapes {
		return
	}
	for shape := range table.estimates {
		delete(table.estimates, shape)
		return
	}
}

// Estimate returns the estimate of a shape, and false if the table has none.
func (table *Table) Estimate(shape uint64) (time.Duration, bool) {
	estimate, found := table.estimates[shape]
	return estimate, found
}
