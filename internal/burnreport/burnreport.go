// Package burnreport combines the request counts of all proxies into a report on
// the error budgets: for each route the burn rate over short and long windows, and
// the time until the budget is exhausted.
package burnreport

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// objectiveMinutes is the period of an objective, 30 days.
const objectiveMinutes = 30 * 24 * 60

// Report is the sum of the counts of several proxies. The zero value is empty.
type Report struct {
	routes map[string]*routeTotals
}

// routeTotals is the objective of one route and the sums of its counts. total and good
// have the length of the window in minutes as their key.
type routeTotals struct {
	share     float64
	latencyMs int64
	total     map[int64]int64
	good      map[int64]int64
}

// routeReport is the counts of one route at one proxy, in the JSON of the operator
// edge.
type routeReport struct {
	Route     string  `json:"route"`
	Share     float64 `json:"share"`
	LatencyMs int64   `json:"latencyMs"`
	Windows   []struct {
		Minutes int64 `json:"minutes"`
		Total   int64 `json:"total"`
		Good    int64 `json:"good"`
	} `json:"windows"`
}

// NewResponse returns a pointer that the JSON response of one proxy is decoded into.
func NewResponse() any { return &[]routeReport{} }

// Add adds the response of one proxy, decoded into a value of NewResponse. The
// objective shown for a route is that of the last response. A value of another type
// is ignored.
func (report *Report) Add(response any) {
	decoded, ok := response.(*[]routeReport)
	if !ok {
		return
	}
	if report.routes == nil {
		report.routes = map[string]*routeTotals{}
	}
	for _, reported := range *decoded {
		totals, found := report.routes[reported.Route]
		if !found {
			totals = &routeTotals{total: map[int64]int64{}, good: map[int64]int64{}}
			report.routes[reported.Route] = totals
		}
		totals.share, totals.latencyMs = reported.Share, reported.LatencyMs
		for _, window := range reported.Windows {
			totals.total[window.Minutes] += window.Total
			totals.good[window.Minutes] += window.Good
		}
	}
}

// row is one window of one route, formatted for output. Bar is the length of the
// bar in units of the plot.
type row struct {
	Route      string
	Objective  string
	Minutes    int64
	Total      int64
	Good       string
	Burn       float64
	Exhaustion string
	Bar        int
}

// barUnitsPerBurn is the length of the bar of burn rate 1. A unit is one pixel of the
// HTML page or one character of the text table.
const barUnitsPerBurn = 20

// maxBarUnits is the maximum length of a bar, in the same units.
const maxBarUnits = 400

// rows returns a row for each route and window, sorted by both.
func (report *Report) rows() []row {
	var rows []row
	names := make([]string, 0, len(report.routes))
	for name := range report.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		totals := report.routes[name]
		windows := make([]int64, 0, len(totals.total))
		for minutes := range totals.total {
			windows = append(windows, minutes)
		}
		slices.Sort(windows)
		for _, minutes := range windows {
			rows = append(rows, totals.row(name, minutes))
		}
	}
	return rows
}

// row computes one window. A burn rate of 1 exhausts the error budget exactly at the
// end of the objective's period.
func (totals *routeTotals) row(name string, minutes int64) row {
	total, good := totals.total[minutes], totals.good[minutes]
	result := row{Route: name, Minutes: minutes, Total: total, Objective: "none", Good: "-", Exhaustion: "-"}
	if total == 0 {
		return result
	}
	result.Good = fmt.Sprintf("%.3f%%", 100*float64(good)/float64(total))
	if totals.share == 0 {
		return result
	}
	result.Objective = fmt.Sprintf("%.4g%% in %d ms", 100*totals.share, totals.latencyMs)
	failed := float64(total-good) / float64(total)
	result.Burn = failed / (1 - totals.share)
	result.Bar = int(math.Min(result.Burn*barUnitsPerBurn, maxBarUnits))
	result.Exhaustion = "never"
	if result.Burn > 0 {
		result.Exhaustion = fmt.Sprintf("%.1f h", objectiveMinutes/result.Burn/60)
	}
	return result
}

// Print writes the report as a text table. Bars end at a burn rate of 2.
func (report *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\tobjective\twindow\trequests\tgood\tburn\tbudget exhausted in\t")
	for _, row := range report.rows() {
		fmt.Fprintf(table, "%s\t%s\t%d min\t%d\t%s\t%.2f\t%s\t%s\n", row.Route, row.Objective, row.Minutes,
			row.Total, row.Good, row.Burn, row.Exhaustion, strings.Repeat("#", min(row.Bar, 2*barUnitsPerBurn)))
	}
	return table.Flush()
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:left}rect{fill:#a33}line{stroke:#333}</style>
<h1>Service-level burn</h1>
<p>A burn rate of 1 (the line) exhausts the error budget of 30 days in exactly 30 days.</p>
<table><tr><th>Route<th>Objective<th>Window<th>Requests<th>Good<th>Burn<th>Budget exhausted in<th></tr>
{{range .}}<tr><td>{{.Route}}<td>{{.Objective}}<td>{{.Minutes}} min<td>{{.Total}}<td>{{.Good}}<td>{{printf "%.2f" .Burn}}<td>{{.Exhaustion}}
<td><svg width="420" height="16"><rect width="{{.Bar}}" height="16"/><line x1="20" x2="20" y1="0" y2="16"/></svg></tr>
{{end}}</table></html>
`))

// WriteHTML writes the report as one HTML page with a bar for each row.
func (report *Report) WriteHTML(out io.Writer) error { return page.Execute(out, report.rows()) }
