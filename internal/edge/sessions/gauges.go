package sessions

import (
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
)

const (
	// gaugePeriod is how often the gauges are set.
	gaugePeriod ebonywood.Millis = 1000
	// labelsGauged bounds the members and instances with gauges of their own over the
	// life of the process.
	labelsGauged = 500
)

// gauges tell how the edge stands, for the metrics. They belong to the goroutine of
// the pulse.
type gauges struct {
	scope tally.Scope
	set   ebonywood.Millis
	known map[string]tally.Gauge
}

// gauge finds a gauge with one label; nil once there are too many.
func (gauges *gauges) gauge(name, label, value string) tally.Gauge {
	key := name + "/" + value
	if known, found := gauges.known[key]; found {
		return known
	}
	if len(gauges.known) >= labelsGauged {
		return nil
	}
	scope := gauges.scope
	if label != "" {
		scope = scope.Tagged(map[string]string{label: value})
	}
	made := scope.Gauge(name)
	gauges.known[key] = made
	return made
}

// update sets a gauge.
func (gauges *gauges) update(name, label, value string, to float64) {
	if gauge := gauges.gauge(name, label, value); gauge != nil {
		gauge.Update(to)
	}
}

// measure sets the gauges when it is time to.
func (edge *Edge) measure(snapshot *ebonywood.Snapshot) {
	now := edge.now()
	if now-edge.gauges.set < gaugePeriod {
		return
	}
	edge.gauges.set = now
	held := 0.0
	if snapshot.HoldsDuty() {
		held = 1
	}
	edge.gauges.update("dutyHeld", "", "", held)
	edge.mutex.Lock()
	pools := make([]*pool, 0, len(edge.pools))
	for _, each := range edge.pools {
		pools = append(pools, each)
	}
	peers := make([]*peer, 0, len(edge.peers))
	for _, each := range edge.peers {
		peers = append(peers, each)
	}
	edge.mutex.Unlock()
	for _, each := range pools {
		edge.measurePool(each)
	}
	avoided := 0
	for _, each := range peers {
		if each.isAvoided() {
			avoided++
		}
	}
	edge.gauges.update("peersAvoided", "", "", float64(avoided))
	for _, instance := range snapshot.ObjectSet().Instances() {
		if snapshot.IsWatched(instance.ID()) {
			edge.gauges.update("sampleAgeMs", "instance", string(instance.ID()), float64(edge.sampleAge(instance.ID())))
		}
	}
}

func (edge *Edge) measurePool(pool *pool) {
	pool.mutex.Lock()
	open, idle := pool.open, len(pool.idle)
	pool.mutex.Unlock()
	member := string(pool.member.ID())
	edge.gauges.update("connections", "member", member, float64(open))
	edge.gauges.update("idleConnections", "member", member, float64(idle))
	edge.gauges.update("slotsTaken", "member", member, float64(pool.slots.Running()))
}
