package caller

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// meterKey names the metrics of one route and outcome.
type meterKey struct {
	route, outcome string
}

// meter holds metrics that would cost a search each time.
type meter struct {
	requests tally.Counter
	latency  tally.Histogram
}

func (meter *meter) record(took time.Duration) {
	meter.requests.Inc(1)
	meter.latency.RecordDuration(took)
}

// buckets of the latency, from 100 microseconds doubling to 100 seconds.
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
