// Package linebudget bounds the log lines about single callers and requests. At a
// crest there are thousands a second; they would cost more than the work, and push the
// lines about decisions out of the log's backlog.
package linebudget

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

// Budget lets so many lines of a second through, counts the others and tells how many
// they were. It belongs to many goroutines. The zero value lets none through.
type Budget struct {
	most    int64
	dropped tally.Counter
	second  atomic.Int64
	lines   atomic.Int64
}

// New makes a budget of so many lines a second; kind names them in the metrics.
func New(most int, scope tally.Scope, kind string) *Budget {
	return &Budget{most: int64(most), dropped: scope.Tagged(map[string]string{"kind": kind}).Counter("linesDropped")}
}

// Line writes a line unless this second has had its share.
func (budget *Budget) Line(log logr.Logger, message string, details ...any) {
	second := time.Now().Unix()
	if budget.second.Swap(second) != second {
		if dropped := budget.lines.Swap(0) - budget.most; dropped > 0 {
			log.Info("linesDropped", "count", dropped, "of", message)
		}
	}
	if budget.lines.Add(1) <= budget.most {
		log.Info(message, details...)
	} else if budget.dropped != nil {
		budget.dropped.Inc(1)
	}
}
