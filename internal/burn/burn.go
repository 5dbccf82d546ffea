// Package burn counts requests against the service-level objectives of their
// routes. It keeps total and good requests per minute and sums them over the windows
// from which the burn rate of the error budget is computed.
package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// maxWindowMinutes is how many minutes are kept; it covers the longest window.
const maxWindowMinutes = 6 * 60

// Ledger counts requests by route and minute. It is safe for concurrent use. The
// zero value is empty and ready to use.
type Ledger struct {
	mutex  sync.Mutex
	routes map[string]*routeCounts
}

// routeCounts is a ring buffer of minutes, indexed by the minute's number modulo its
// length.
type routeCounts struct {
	objective ebonywood.Objective
	minutes   [maxWindowMinutes]minuteCounts
}

// minuteCounts counts the requests of one minute. number distinguishes the minute
// from earlier ones in the same place of the ring.
type minuteCounts struct {
	number int64
	total  int64
	good   int64
}

// Record counts one request. It is good if it succeeded within the latency of the
// objective; without an objective (a share of 0) any request that succeeded is good.
// now is the time of the process's monotonic clock.
func (ledger *Ledger) Record(route string, objective ebonywood.Objective, succeeded bool, latency time.Duration, now ebonywood.Millis) {
	good := succeeded && (objective.Share() == 0 || latency <= objective.Latency().Duration())
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.routes == nil {
		ledger.routes = map[string]*routeCounts{}
	}
	counts, found := ledger.routes[route]
	if !found {
		counts = &routeCounts{}
		ledger.routes[route] = counts
	}
	counts.objective = objective
	number := int64(now / 60_000)
	current := &counts.minutes[number%maxWindowMinutes]
	if current.number != number {
		*current = minuteCounts{number: number}
	}
	current.total++
	if good {
		current.good++
	}
}

// windowsMinutes are the windows of the report, in minutes. A short window shows a
// current problem, a long one how much it matters.
var windowsMinutes = []int64{5, 60, 360}

// routeReport is the JSON form of one route's counts.
type routeReport struct {
	Route     string         `json:"route"`
	Share     float64        `json:"share"`
	LatencyMs int64          `json:"latencyMs"`
	Windows   []windowCounts `json:"windows"`
}

// windowCounts is the JSON form of the counts in one window.
type windowCounts struct {
	Minutes int64 `json:"minutes"`
	Total   int64 `json:"total"`
	Good    int64 `json:"good"`
}

// Report returns the counts of all routes up to now, sorted by route, for encoding
// as JSON.
func (ledger *Ledger) Report(now ebonywood.Millis) any {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	reports := make([]routeReport, 0, len(ledger.routes))
	for route, counts := range ledger.routes {
		report := routeReport{Route: route, Share: counts.objective.Share(), LatencyMs: int64(counts.objective.Latency())}
		for _, minutes := range windowsMinutes {
			report.Windows = append(report.Windows, counts.sum(int64(now/60_000), minutes))
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(left, right routeReport) int { return strings.Compare(left.Route, right.Route) })
	return reports
}

// sum adds up the given number of minutes, the last of which is current.
func (counts *routeCounts) sum(current, minutes int64) windowCounts {
	total := windowCounts{Minutes: minutes}
	for _, minute := range counts.minutes {
		if minute.number > current-minutes && minute.number <= current {
			total.Total += minute.total
			total.Good += minute.good
		}
	}
	return total
}
