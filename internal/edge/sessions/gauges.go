package sessions

import (
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
)

const (
	// gaugeInterval is the minimum time between two updates of the gauges.
	gaugeInterval ebonywood.Millis = 1000
	// maxGauges bounds the gauges that are created over the life of the process, as
	// members and instances come and go.
	maxGauges = 500
)

// gauges holds the gauges of the edge's pools, peers and samples. It belongs to the
// goroutine that runs maintain.
type gauges struct {
	scope     tally.Scope
	updatedAt ebonywood.Millis
	// byKey holds the gauges by name and label value.
	byKey map[string]tally.Gauge
}

// gauge returns a gauge with one label and creates it if needed. It returns nil for a
// new gauge once there are maxGauges.
func (gauges *gauges) gauge(name, label, value string) tally.Gauge {
	key := name + "/" + value
	if gauge, found := gauges.byKey[key]; found {
		return gauge
	}
	if len(gauges.byKey) >= maxGauges {
		return nil
	}
	scope := gauges.scope
	if label != "" {
		scope = scope.Tagged(map[string]string{label: value})
	}
	created := scope.Gauge(name)
	gauges.byKey[key] = created
	return created
}

// update sets the gauge with this name and label, if there is one.
func (gauges *gauges) update(name, label, value string, number float64) {
	if gauge := gauges.gauge(name, label, value); gauge != nil {
		gauge.Update(number)
	}
}

// updateGauges updates all gauges, at most once per gaugeInterval.
func (edge *Edge) updateGauges(snapshot *ebonywood.Snapshot) {
	now := edge.now()
	if now-edge.gauges.updatedAt < gaugeInterval {
		return
	}
	edge.gauges.updatedAt = now
	held := 0.0
	if snapshot.HoldsDuty() {
		held = 1
	}
	edge.gauges.update("dutyHeld", "", "", held)
	edge.mutex.Lock()
	pools := make([]*pool, 0, len(edge.pools))
	for _, pool := range edge.pools {
		pools = append(pools, pool)
	}
	peers := make([]*peer, 0, len(edge.peers))
	for _, peer := range edge.peers {
		peers = append(peers, peer)
	}
	edge.mutex.Unlock()
	for _, pool := range pools {
		edge.updatePoolGauges(pool)
	}
	avoided := 0
	for _, peer := range peers {
		if peer.isAvoided() {
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

func (edge *Edge) updatePoolGauges(pool *pool) {
	pool.mutex.Lock()
	open, idle := pool.open, len(pool.idle)
	maxOpen, maxSlots := pool.lent.connections.Value(), pool.lent.slots.Value()
	pool.mutex.Unlock()
	member := string(pool.member.ID())
	edge.gauges.update("connections", "member", member, float64(open))
	edge.gauges.update("idleConnections", "member", member, float64(idle))
	edge.gauges.update("connectionLimit", "member", member, float64(maxOpen))
	edge.gauges.update("slotLimit", "member", member, float64(maxSlots))
	edge.gauges.update("slotsTaken", "member", member, float64(pool.slots.Running()))
}
