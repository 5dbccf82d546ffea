// Package cost learns how long the statements of each shape take.
//
// The estimate is a decaying quantile rather than a mean: one straggler should
// not make its whole shape look long, while a shape that is long more often than
// now and then should. A step of fixed relative size moves the estimate towards
// the quantile, which needs one number a shape.
package cost

import (
	"time"
)

const (
	// quantile is the share of runs that the estimate should cover.
	quantile = 0.8
	// stepUp and stepDown balance where a share of quantile of the runs lies
	// below the estimate.
	stepUp   = 0.2
	stepDown = stepUp * (1 - quantile) / quantile
	// shapeLimit bounds the memory of one table.
	shapeLimit = 4096
	// leastEstimate keeps the estimate above zero, where it could not grow.
	leastEstimate = 10 * time.Microsecond
)

// Table holds the estimates of all shapes. The zero value works. It is not safe
// for concurrent use.
type Table struct {
	estimates map[uint64]time.Duration
}

// Learn takes the time that a statement of the shape held its slot, and reports
// whether the shape is new.
func (table *Table) Learn(shape uint64, took time.Duration) (isNew bool) {
	if table.estimates == nil {
		table.estimates = map[uint64]time.Duration{}
	}
	before, known := table.estimates[shape]
	switch {
	case !known:
		table.makeRoom()
		table.estimates[shape] = max(took, leastEstimate)
		return true
	case took > before:
		table.estimates[shape] = min(before+time.Duration(float64(before)*stepUp)+time.Microsecond, took)
	default:
		table.estimates[shape] = max(before-time.Duration(float64(before)*stepDown), took, leastEstimate)
	}
	return false
}

// makeRoom forgets a shape, whichever the map yields first, when there are too
// many: callers that never repeat a statement can't fill the memory.
func (table *Table) makeRoom() {
	if len(table.estimates) < shapeLimit {
		return
	}
	for shape := range table.estimates {
		delete(table.estimates, shape)
		return
	}
}

// Expect returns the estimate of a shape, and false when it was never seen.
func (table *Table) Expect(shape uint64) (time.Duration, bool) {
	estimate, known := table.estimates[shape]
	return estimate, known
}
