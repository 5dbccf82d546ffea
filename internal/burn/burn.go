// Package burn keeps the account of the service levels that routes promise: how
// many requests of each minute were answered in time, and how fast that uses up
// what the objective allows to fail.
package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// minutesKept covers the longest window of the report.
const minutesKept = 6 * 60

// Ledger counts requests by route and minute. The zero value works.
type Ledger struct {
	mutex  sync.Mutex
	routes map[string]*account
}

type account struct {
	objective ebonywood.Objective
	minutes   [minutesKept]minute
}

// minute counts one minute; number tells it from the one six hours before.
type minute struct {
	number int64
	total  int64
	good   int64
}

// Record counts one request. It was good if it was answered, and in the time of
// the objective.
func (ledger *Ledger) Record(route string, objective ebonywood.Objective, answered bool, took time.Duration, now ebonywood.Millis) {
	good := answered && (objective.Share() == 0 || took <= objective.Latency().Duration())
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.routes == nil {
		ledger.routes = map[string]*account{}
	}
	known, found := ledger.routes[route]
	if !found {
		known = &account{}
		ledger.routes[route] = known
	}
	known.objective = objective
	number := int64(now / 60_000)
	current := &known.minutes[number%minutesKept]
	if current.number != number {
		*current = minute{number: number}
	}
	current.total++
	if good {
		current.good++
	}
}

// Windows of the report, in minutes. A short one tells what happens now, a long
// one whether it matters.
var Windows = []int64{5, 60, 360}

// line is the account of one route in the form that travels.
type line struct {
	Route     string  `json:"route"`
	Share     float64 `json:"share"`
	LatencyMs int64   `json:"latencyMs"`
	Windows   []count `json:"windows"`
}

type count struct {
	Minutes int64 `json:"minutes"`
	Total   int64 `json:"total"`
	Good    int64 `json:"good"`
}

// Lines returns the accounts of all routes, ready for JSON.
func (ledger *Ledger) Report(now ebonywood.Millis) any {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	lines := make([]line, 0, len(ledger.routes))
	for route, account := range ledger.routes {
		each := line{Route: route, Share: account.objective.Share(), LatencyMs: int64(account.objective.Latency())}
		for _, minutes := range Windows {
			each.Windows = append(each.Windows, account.sum(int64(now/60_000), minutes))
		}
		lines = append(lines, each)
	}
	slices.SortFunc(lines, func(left, right line) int { return strings.Compare(left.Route, right.Route) })
	return lines
}

func (account *account) sum(current, minutes int64) count {
	total := count{Minutes: minutes}
	for _, each := range account.minutes {
		if each.number > current-minutes && each.number <= current {
			total.Total += each.total
			total.Good += each.good
		}
	}
	return total
}
