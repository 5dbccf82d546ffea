// Package linebudget limits the rate of log lines about single callers and
// requests. At peak load there would be thousands per second, which would cost more
// than the requests themselves and displace the lines about decisions from the
// bounded log queue.
package linebudget

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

// Budget writes a limited number of lines per second; it counts the lines that it
// drops and logs their number. It is safe for concurrent use. The zero value, and a
// budget of no lines, writes nothing.
type Budget struct {
	perSecond int64
	dropped   tally.Counter
	second    atomic.Int64
	offered   atomic.Int64
}

// New returns a budget of perSecond lines per second. kind labels the counter of
// dropped lines.
func New(perSecond int, scope tally.Scope, kind string) *Budget {
	return &Budget{perSecond: int64(perSecond), dropped: scope.Tagged(map[string]string{"kind": kind}).Counter("linesDropped")}
}

// Line writes a line unless the budget of the current second is used up. The first
// call in a new second also logs how many lines the last second with calls dropped.
func (budget *Budget) Line(log logr.Logger, message string, details ...any) {
	if budget.perSecond <= 0 {
		budget.countDropped()
		return
	}
	second := time.Now().Unix()
	if budget.second.Swap(second) != second {
		if dropped := budget.offered.Swap(0) - budget.perSecond; dropped > 0 {
			log.Info("linesDropped", "count", dropped, "of", message)
		}
	}
	if budget.offered.Add(1) <= budget.perSecond {
		log.Info(message, details...)
		return
	}
	budget.countDropped()
}

func (budget *Budget) countDropped() {
	if budget.dropped != nil {
		budget.dropped.Inc(1)
	}
}
