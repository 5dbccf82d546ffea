// Package sessions is the edge that runs decoded statements for callers' sessions
// on pooled connections to members, whatever encoding either side speaks. It
// serves members that confirm nothing but tell their log positions: a plain
// transaction proves who leads, and a position asked of a replica proves how
// fresh it is.
//
// A caller's goroutine does its own input and output towards the member; pools
// and samples sit behind small mutexes, none of which is held while waiting.
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

// Name is the plug-in's name.
const Name = "sessions"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

const (
	// unknownCost is what work of a shape is expected to cost that was never seen.
	unknownCost = 20 * time.Millisecond
	// longestCost bounds what any work is expected to cost.
	longestCost = 100 * time.Millisecond
)

// Edge runs sessions.
type Edge struct {
	port   ebonywood.Port
	limits ebonywood.Limits
	group  *rungroup.Group

	mutex   sync.Mutex
	pools   map[ebonywood.MemberID]*pool
	leaders map[ebonywood.InstanceID]*leader
	peers   map[ebonywood.PeerView]*peer
	// inTransaction holds the sessions with an open transaction.
	inTransaction map[*session]struct{}

	costMutex sync.Mutex
	costs     cost.Table

	counters counters
	gauges   gauges

	byReplica atomic.Int64
	byPrimary atomic.Int64
}

// Reads counts the reads that replicas and primaries answered.
func (edge *Edge) Reads() (byReplica, byPrimary int64) {
	return edge.byReplica.Load(), edge.byPrimary.Load()
}

// countRead takes note of who answered a read.
func (edge *Edge) countRead(pool *pool) {
	view, found := edge.port.Snapshot().View(pool.instance)
	if found && view.Primary() == pool.member.ID() {
		edge.byPrimary.Add(1)
		edge.counters.count("reads", "primary")
		return
	}
	edge.byReplica.Add(1)
	edge.counters.count("reads", "replica")
}

// leader is what traffic knows of an instance's primary.
type leader struct {
	mutex   sync.Mutex
	samples freshness.Samples
	// used is when a statement last needed the instance.
	used ebonywood.Millis
	// asking says that a question for a sample is under way.
	asking bool
}

// New makes the edge.
func New(port ebonywood.Port) *Edge {
	return &Edge{
		port: port, limits: port.Settings().Limits(), group: rungroup.New(context.Background()),
		pools:         map[ebonywood.MemberID]*pool{},
		leaders:       map[ebonywood.InstanceID]*leader{},
		peers:         map[ebonywood.PeerView]*peer{},
		inTransaction: map[*session]struct{}{},
		counters:      newCounters(port.Metrics(), port.Log(), port.Settings().Limits().Count(ebonywood.LimitRequestLinesPerSecond)),
		gauges:        gauges{scope: port.Metrics(), known: map[string]tally.Gauge{}},
	}
}

// Run works until ctx ends, then closes all connections.
func (edge *Edge) Run(ctx context.Context) error {
	edge.group.Every(pulsePeriod, func(context.Context) { edge.lookAfter() })
	edge.group.Every(sweepPeriod, func(context.Context) { edge.endIdle() })
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

// Perform asks members what the control loop wants to know.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	switch action := action.(type) {
	case ebonywood.ProbePrimary:
		edge.group.Go(func(context.Context) error {
			edge.pool(action.Instance(), action.Member()).askLead()
			return nil
		})
	case ebonywood.QueryReplicationStatus:
		edge.group.Go(func(context.Context) error {
			edge.pool(action.Instance(), action.Member()).askStanding()
			return nil
		})
	default:
		return false
	}
	return true
}

// Open begins a session.
func (edge *Edge) Open(database string) (ebonywood.Session, ebonywood.Code) {
	set := edge.port.Snapshot().ObjectSet()
	if set == nil || edge.isLate() {
		return nil, ebonywood.CodeBusy
	}
	if _, found := set.Route("", database); !found {
		return nil, ebonywood.CodeNoDatabase
	}
	return &session{edge: edge, database: database}, ebonywood.CodeDone
}

// isLate reports whether this process leaves so soon that it should begin nothing.
func (edge *Edge) isLate() bool {
	end := edge.port.Snapshot().DrainDeadline()
	return end > 0 && end-edge.now() < lateSpan
}

func (edge *Edge) now() ebonywood.Millis { return edge.port.Clock().Now() }

// post hands an event to the control loop without waiting for it.
func (edge *Edge) post(event ebonywood.Event) {
	edge.group.Go(func(ctx context.Context) error {
		_ = edge.port.Post(ctx, event)
		return nil
	})
}

func (edge *Edge) leader(id ebonywood.InstanceID) *leader {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.leaders[id]
	if !found {
		known = &leader{}
		edge.leaders[id] = known
	}
	return known
}

// pool finds the pool of a member. A member that began anew at another address
// gets a new one.
func (edge *Edge) pool(instance ebonywood.InstanceID, member ebonywood.Member) *pool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.pools[member.ID()]
	if found && known.member.Address() == member.Address() {
		return known
	}
	if found {
		known.close()
	}
	fresh := newPool(edge, instance, member)
	edge.pools[member.ID()] = fresh
	return fresh
}

// note records that a member accepted what only a primary accepts, in answer to
// what was sent at asked.
func (edge *Edge) note(pool *pool, asked ebonywood.Millis, at ebonywood.Position) {
	if at.IsZero() {
		return
	}
	known := edge.leader(pool.instance)
	known.mutex.Lock()
	known.samples.Add(asked, at)
	known.mutex.Unlock()
	view, found := edge.port.Snapshot().View(pool.instance)
	if !found || view.Primary() != pool.member.ID() || view.Term() != at.Term() {
		edge.post(ebonywood.NewPrimaryObserved(pool.instance, pool.member.ID(), at.Term()))
	}
}

// deny records that a member refused what a primary accepts.
func (edge *Edge) deny(pool *pool) {
	edge.post(ebonywood.NewNonPrimaryObserved(pool.instance, pool.member.ID()))
}

// floor is the least position that covers every commit acknowledged before
// oldest.
func (edge *Edge) floor(id ebonywood.InstanceID, oldest ebonywood.Millis) (ebonywood.Position, bool) {
	known := edge.leader(id)
	known.mutex.Lock()
	defer known.mutex.Unlock()
	known.used = edge.now()
	return known.samples.Floor(oldest)
}

// expect is how long work of a shape is expected to hold its connection. A
// transaction may hold one for long without using a slot of the member, so work
// of an unknown shape need not be kept apart, and none counts as long.
func (edge *Edge) expect(shape uint64) time.Duration {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	expected, known := edge.costs.Expect(shape)
	if !known {
		return unknownCost
	}
	return min(expected, longestCost)
}

func (edge *Edge) learn(shape uint64, took time.Duration) {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	edge.costs.Learn(shape, took)
}
