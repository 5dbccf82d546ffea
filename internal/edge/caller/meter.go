package caller

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// meterKey identifies the metrics of one route and outcome.
type meterKey struct {
	route, outcome string
}

// meter caches the metrics of one route and outcome, which would otherwise be looked
// up in the metrics scope for each request.
type meter struct {
	requests tally.Counter
	latency  tally.Histogram
}

// record counts one request and its latency.
func (meter *meter) record(duration time.Duration) {
	meter.requests.Inc(1)
	meter.latency.RecordDuration(duration)
}

// latencyBuckets are the histogram's 20 buckets; each bound is twice the previous one,
// from 100 microseconds to about 52 seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 20)

// meter returns the metrics of a route and outcome.
func (edge *Edge) meter(route, outcome string) *meter {
	key := meterKey{route, outcome}
	if cached, found := edge.meters.Load(key); found {
		return cached.(*meter)
	}
	scope := edge.port.Metrics().Tagged(map[string]string{"route": route, "outcome": outcome})
	created := &meter{requests: scope.Counter("requests"), latency: scope.Histogram("latency", latencyBuckets)}
	cached, _ := edge.meters.LoadOrStore(key, created)
	return cached.(*meter)
}
