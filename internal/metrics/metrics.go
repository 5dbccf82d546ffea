// Package metrics makes the tally scope of a process and the HTTP handler that a
// Prometheus server scrapes.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const reportPeriod = time.Second

// Metrics is the scope of one process. Its registry is its own, so that several
// proxies can run in one process.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New makes a scope whose names begin with ebonywood.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "ebonywood", Separator: promreporter.DefaultSeparator, CachedReporter: reporter,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportPeriod)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return &Metrics{scope: scope, closer: closer, handler: handler}
}

// Scope is where counters, gauges and timers are made.
func (metrics *Metrics) Scope() tally.Scope { return metrics.scope }

// Handler serves a scrape.
func (metrics *Metrics) Handler() http.Handler { return metrics.handler }

// Close stops the reporting.
func (metrics *Metrics) Close() { _ = metrics.closer.Close() }
