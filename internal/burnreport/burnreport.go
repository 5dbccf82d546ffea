// Package burnreport turns the accounts of all proxies into the report on
// service-level burn: for each route how fast the allowance for failures is used
// up, over short and long windows, and when it will be gone.
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

// periodMinutes is the span for which an objective is promised.
const periodMinutes = 30 * 24 * 60

// Report is the accounts of all proxies, added up. The zero value is empty.
type Report struct {
	routes map[string]*route
}

type route struct {
	share   float64
	latency int64
	total   map[int64]int64
	good    map[int64]int64
}

// line is one route of one proxy, as the operator edge answers.
type line struct {
	Route     string  `json:"route"`
	Share     float64 `json:"share"`
	LatencyMs int64   `json:"latencyMs"`
	Windows   []struct {
		Minutes int64 `json:"minutes"`
		Total   int64 `json:"total"`
		Good    int64 `json:"good"`
	} `json:"windows"`
}

// Lines is where the answer of one proxy is decoded into.
func Lines() any { return &[]line{} }

// Add adds the answer of one proxy, decoded into Lines.
func (report *Report) Add(lines any) {
	decoded, ok := lines.(*[]line)
	if !ok {
		return
	}
	if report.routes == nil {
		report.routes = map[string]*route{}
	}
	for _, each := range *decoded {
		known, found := report.routes[each.Route]
		if !found {
			known = &route{total: map[int64]int64{}, good: map[int64]int64{}}
			report.routes[each.Route] = known
		}
		known.share, known.latency = each.Share, each.LatencyMs
		for _, window := range each.Windows {
			known.total[window.Minutes] += window.Total
			known.good[window.Minutes] += window.Good
		}
	}
}

// row is one window of one route.
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

// barScale is how many units of the plot a burn of 1 takes.
const barScale = 20

// maxBar bounds the plot.
const maxBar = 400

func (report *Report) rows() []row {
	var rows []row
	names := make([]string, 0, len(report.routes))
	for name := range report.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		known := report.routes[name]
		windows := make([]int64, 0, len(known.total))
		for minutes := range known.total {
			windows = append(windows, minutes)
		}
		slices.Sort(windows)
		for _, minutes := range windows {
			rows = append(rows, known.row(name, minutes))
		}
	}
	return rows
}

// row works out one window. A burn of 1 uses the allowance up exactly at the end
// of the period.
func (known *route) row(name string, minutes int64) row {
	total, good := known.total[minutes], known.good[minutes]
	made := row{Route: name, Minutes: minutes, Total: total, Objective: "none", Good: "-", Exhaustion: "-"}
	if total == 0 {
		return made
	}
	made.Good = fmt.Sprintf("%.3f%%", 100*float64(good)/float64(total))
	if known.share == 0 {
		return made
	}
	made.Objective = fmt.Sprintf("%.4g%% in %d ms", 100*known.share, known.latency)
	failed := float64(total-good) / float64(total)
	made.Burn = failed / (1 - known.share)
	made.Bar = int(math.Min(made.Burn*barScale, maxBar))
	made.Exhaustion = "never"
	if made.Burn > 0 {
		made.Exhaustion = fmt.Sprintf("%.1f h", periodMinutes/made.Burn/60)
	}
	return made
}

// Print writes the report for a terminal.
func (report *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\tobjective\twindow\trequests\tgood\tburn\tallowance gone in\t")
	for _, each := range report.rows() {
		fmt.Fprintf(table, "%s\t%s\t%d min\t%d\t%s\t%.2f\t%s\t%s\n", each.Route, each.Objective, each.Minutes,
			each.Total, each.Good, each.Burn, each.Exhaustion, strings.Repeat("#", min(each.Bar, 2*barScale)))
	}
	return table.Flush()
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:left}rect{fill:#a33}line{stroke:#333}</style>
<h1>Service-level burn</h1>
<p>A burn of 1 (the line) uses the allowance of 30 days up exactly at their end.</p>
<table><tr><th>Route<th>Objective<th>Window<th>Requests<th>Good<th>Burn<th>Allowance gone in<th></tr>
{{range .}}<tr><td>{{.Route}}<td>{{.Objective}}<td>{{.Minutes}} min<td>{{.Total}}<td>{{.Good}}<td>{{printf "%.2f" .Burn}}<td>{{.Exhaustion}}
<td><svg width="420" height="16"><rect width="{{.Bar}}" height="16"/><line x1="20" x2="20" y1="0" y2="16"/></svg></tr>
{{end}}</table></html>
`))

// WriteHTML writes the report as one page with plots.
func (report *Report) WriteHTML(out io.Writer) error { return page.Execute(out, report.rows()) }
