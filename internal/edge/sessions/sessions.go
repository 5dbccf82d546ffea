// Package sessions is the edge that runs decoded statements of callers' sessions on
// pooled connections to members, independent of the encodings on either side. It serves
// members that report their log positions but do not confirm replication: a member that
// accepts a read-write transaction is thereby proven to be the primary, and a member that
// accepts a read with a floor is proven to be fresh enough.
//
// A caller's goroutine does its own I/O with the member. Pools and samples are protected
// by small mutexes, none of which is held while waiting.
package sessions

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cost"
	"github.com/ebonywood/ebonywood/internal/freshness"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the name under which the plug-in registers.
const Name = "sessions"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

const (
	// defaultCost is the expected cost of work whose shape has no estimate yet.
	defaultCost = 20 * time.Millisecond
	// maxExpectedCost bounds the expected cost of any work.
	maxExpectedCost = 100 * time.Millisecond
)

// Edge opens sessions and owns the connection pools, the freshness samples and the
// state of the other proxies that they share.
type Edge struct {
	port   ebonywood.Port
	limits ebonywood.Limits
	group  *rungroup.Group
	memory *sessionMemory

	mutex         sync.Mutex
	pools         map[ebonywood.MemberID]*pool
	primaryStates map[ebonywood.InstanceID]*primaryState
	writeGates    map[ebonywood.InstanceID]*writeGate
	peers         map[ebonywood.PeerView]*peer
	// inTransaction holds the sessions with an open transaction.
	inTransaction map[*session]struct{}

	costMutex sync.Mutex
	costs     cost.Table

	health   healthBook
	counters counters
	gauges   gauges
	retries  *retryBudget
	entry    entryLevels

	replicaReads atomic.Int64
	primaryReads atomic.Int64
}

// Reads returns how many bounded-staleness reads replicas and primaries have served.
func (edge *Edge) Reads() (replicaReads, primaryReads int64) {
	return edge.replicaReads.Load(), edge.primaryReads.Load()
}

// countRead counts a read by the role of the member that served it.
func (edge *Edge) countRead(pool *pool) {
	view, found := edge.port.Snapshot().View(pool.instance)
	if found && view.Primary() == pool.member.ID() {
		edge.primaryReads.Add(1)
		edge.counters.count("reads", "primary")
		return
	}
	edge.replicaReads.Add(1)
	edge.counters.count("reads", "replica")
}

// primaryState holds the freshness samples of an instance, which come from its primary.
type primaryState struct {
	mutex   sync.Mutex
	samples freshness.Samples
	// usedAt is when a statement last needed a floor of the instance.
	usedAt ebonywood.Millis
	// probing reports that a probe for a new sample is in flight.
	probing bool
}

// New returns an edge that uses the port.
func New(port ebonywood.Port) *Edge {
	return &Edge{
		port: port, limits: port.Settings().Limits(), group: rungroup.New(context.Background()),
		memory:        newSessionMemory(port.Settings()),
		pools:         map[ebonywood.MemberID]*pool{},
		primaryStates: map[ebonywood.InstanceID]*primaryState{},
		writeGates:    map[ebonywood.InstanceID]*writeGate{},
		peers:         map[ebonywood.PeerView]*peer{},
		inTransaction: map[*session]struct{}{},
		counters:      newCounters(port.Metrics(), port.Log(), port.Settings().Limits().Count(ebonywood.LimitRequestLinesPerSecond)),
		gauges:        gauges{scope: port.Metrics(), byKey: map[string]tally.Gauge{}},
		retries:       newRetryBudget(),
	}
}

// Run maintains samples and pools and rolls back idle transactions until ctx ends or one
// of its goroutines fails, then closes the pools.
func (edge *Edge) Run(ctx context.Context) error {
	edge.group.Every(maintenanceInterval, func(context.Context) { edge.maintain() })
	edge.group.Every(idleSweepInterval, func(context.Context) { edge.expireIdle() })
	select {
	case <-ctx.Done():
	case <-edge.group.Context().Done():
	}
	edge.group.Stop()
	edge.mutex.Lock()
	for _, pool := range edge.pools {
		pool.close()
	}
	edge.mutex.Unlock()
	return edge.group.Wait()
}

// Perform starts the queries to members that the control loop requests, and stops and
// resumes writes. It reports whether the action is one of these.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	switch action := action.(type) {
	case ebonywood.ProbePrimary:
		edge.group.Go(func(context.Context) error {
			edge.pool(action.Instance(), action.Member()).probePrimary()
			return nil
		})
	case ebonywood.QueryReplicationStatus:
		edge.group.Go(func(context.Context) error {
			edge.pool(action.Instance(), action.Member()).queryStatus(action.PauseAt())
			return nil
		})
	case ebonywood.ResumeReplication:
		edge.group.Go(func(context.Context) error {
			edge.pool(action.Instance(), action.Member()).resumeReplication()
			return nil
		})
	case ebonywood.StopWrites:
		edge.stopWrites(action.Stop())
	case ebonywood.ResumeWrites:
		edge.writeGate(action.Instance()).open()
	default:
		return false
	}
	return true
}

// Open opens a session with a database for a caller with a key. The codes are those of
// ebonywood.Sessions.
func (edge *Edge) Open(database string, key ebonywood.KeyDigest) (ebonywood.Session, ebonywood.Code) {
	set := edge.port.Snapshot().ObjectSet()
	if set == nil || edge.isNearShutdown() {
		return nil, ebonywood.CodeBusy
	}
	route, found := set.Route("", database)
	if !found {
		return nil, edge.currentCode(ebonywood.CodeNoDatabase)
	}
	if _, allowed := set.AccessByKey(route, key); !allowed {
		return nil, edge.currentCode(ebonywood.CodeDenied)
	}
	return &session{edge: edge, database: database, key: key}, ebonywood.CodeDone
}

// configurationSettings is implemented by settings that say how old the knowledge of the
// configuration may be for a caller to be refused because of what the configuration lacks.
type configurationSettings interface {
	MaxConfigurationAge() ebonywood.Millis
}

// currentCode returns the code for a database or key that the configuration lacks: the given
// one, or CodeBusy while a configuration that has it may have been accepted long enough ago
// that it has to be in force.
func (edge *Edge) currentCode(code ebonywood.Code) ebonywood.Code {
	settings, ok := edge.port.Settings().(configurationSettings)
	if !ok || edge.now()-edge.port.Snapshot().ObjectSetAsOf() <= settings.MaxConfigurationAge() {
		return code
	}
	return ebonywood.CodeBusy
}

// isNearShutdown reports whether less than shutdownMargin is left before this process
// ends, so that it starts no new work.
func (edge *Edge) isNearShutdown() bool {
	deadline := edge.port.Snapshot().DrainDeadline()
	return deadline > 0 && deadline-edge.now() < shutdownMargin
}

func (edge *Edge) now() ebonywood.Millis { return edge.port.Clock().Now() }

// post sends an event to the control loop without waiting for it to be accepted.
func (edge *Edge) post(event ebonywood.Event) {
	edge.group.Go(func(ctx context.Context) error {
		_ = edge.port.Post(ctx, event)
		return nil
	})
}

// primaryState returns the state of an instance and creates it if needed.
func (edge *Edge) primaryState(id ebonywood.InstanceID) *primaryState {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	state, found := edge.primaryStates[id]
	if !found {
		state = &primaryState{}
		edge.primaryStates[id] = state
	}
	return state
}

// pool returns the pool of a member and creates it if needed. If the member's address
// has changed, the pool is replaced.
func (edge *Edge) pool(instance ebonywood.InstanceID, member ebonywood.Member) *pool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	current, found := edge.pools[member.ID()]
	if found && current.member.Address() == member.Address() {
		return current
	}
	if found {
		current.close()
	}
	created := newPool(edge, instance, member)
	edge.pools[member.ID()] = created
	return created
}

// recordPrimary adds a freshness sample: at position, the member accepted a statement,
// sent at sentAt, that only a primary accepts. An empty log, with the zero position, gives
// no sample, but proves the primary all the same. If the snapshot names another primary or
// term, the control loop is notified.
func (edge *Edge) recordPrimary(pool *pool, sentAt ebonywood.Millis, position ebonywood.Position) {
	if !position.IsZero() {
		state := edge.primaryState(pool.instance)
		state.mutex.Lock()
		state.samples.Add(sentAt, position)
		state.mutex.Unlock()
	}
	view, found := edge.port.Snapshot().View(pool.instance)
	if !found || view.Primary() != pool.member.ID() || view.Term() != position.Term() {
		edge.post(ebonywood.NewPrimaryObserved(pool.instance, pool.member.ID(), position, sentAt))
	}
}

// reportNotPrimary notifies the control loop that a member refused a statement that a
// primary accepts.
func (edge *Edge) reportNotPrimary(pool *pool) {
	edge.post(ebonywood.NewNonPrimaryObserved(pool.instance, pool.member.ID()))
}

// floor returns the lowest position that covers every commit acknowledged before oldest;
// false if no sample is young enough. It marks the instance as in use.
func (edge *Edge) floor(id ebonywood.InstanceID, oldest ebonywood.Millis) (ebonywood.Position, bool) {
	state := edge.primaryState(id)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.usedAt = edge.now()
	return state.samples.Floor(oldest)
}

// expectedCost returns how long work of a shape is expected to hold its connection or
// slot. Package queue limits how much long work, and work without an estimate, runs
// concurrently. That is not needed here, since a transaction may hold a connection for
// long without using a slot of the member. So work without an estimate is given
// defaultCost, and maxExpectedCost bounds every estimate so that no work counts as long.
func (edge *Edge) expectedCost(shape uint64) time.Duration {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	estimate, known := edge.costs.Estimate(shape)
	if !known {
		return defaultCost
	}
	return min(estimate, maxExpectedCost)
}

// recordCost adds the elapsed time of work of a shape to the estimate of the shape.
func (edge *Edge) recordCost(shape uint64, elapsed time.Duration) {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	edge.costs.Record(shape, elapsed)
}
