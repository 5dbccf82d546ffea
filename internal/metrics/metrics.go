// Package metrics creates the tally scope of a process and the HTTP handler that a
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

// reportPeriod is how often the scope passes its values to the Prometheus registry.
const reportPeriod = time.Second

// Metrics is the root scope of one proxy. It uses a Prometheus registry of its own
// instead of the global one, so that several proxies can run in one process.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New creates a scope that prefixes metric names with ebonywood.
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

// Scope returns the root scope, which creates counters, gauges and timers.
func (metrics *Metrics) Scope() tally.Scope { return metrics.scope }

// Handler returns the HTTP handler for scrapes.
func (metrics *Metrics) Handler() http.Handler { return metrics.handler }

// Close stops the periodic reporting.
func (metrics *Metrics) Close() { _ = metrics.closer.Close() }
