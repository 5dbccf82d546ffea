// Package target is the edge towards the database groups: it holds the
// connections to their members, runs requests on them, carries out the orders of
// control decisions, and confirms what primaries committed.
package target

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cost"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/router"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "target"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

// Edge is the target side of a process.
type Edge struct {
	port   ebonywood.Port
	holder string
	group  *rungroup.Group

	mutex       sync.Mutex
	pools       map[ebonywood.MemberID]*pool
	controllers map[ebonywood.MemberID]*controller
	confirmers  map[ebonywood.InstanceID]*confirmer
	trackers    map[ebonywood.InstanceID]*primaryTracker

	// costMutex is held for a moment at each statement, apart from the mutex above.
	costMutex sync.Mutex
	costs     cost.Table

	replicaReads atomic.Int64
	primaryReads atomic.Int64
}

// Reads counts the reads that went to replicas and to primaries.
func (edge *Edge) Reads() (replicaReads, primaryReads int64) {
	return edge.replicaReads.Load(), edge.primaryReads.Load()
}

// New makes the edge. The holder name under which it fences is new in each
// process, so that a restarted proxy can't be taken for its predecessor.
func New(port ebonywood.Port) *Edge {
	return &Edge{
		port: port, holder: fmt.Sprintf("%s-%x", port.Settings().Name(), rand.Uint64()),
		group:       rungroup.New(context.Background()),
		pools:       map[ebonywood.MemberID]*pool{},
		controllers: map[ebonywood.MemberID]*controller{},
		confirmers:  map[ebonywood.InstanceID]*confirmer{},
		trackers:    map[ebonywood.InstanceID]*primaryTracker{},
	}
}

// Run works until ctx ends, then closes all connections.
func (edge *Edge) Run(ctx context.Context) error {
	edge.group.Go(edge.watchTerms)
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

// watchReigns ends what waits for primaries that were replaced.
func (edge *Edge) watchTerms(ctx context.Context) error {
	var last *ebonywood.Snapshot
	for {
		snapshot, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool { return snapshot != last })
		if err != nil {
			return nil
		}
		last = snapshot
		edge.mutex.Lock()
		for id, tracker := range edge.trackers {
			if view, found := snapshot.View(id); found {
				tracker.advance(view.Term())
			}
		}
		edge.mutex.Unlock()
	}
}

// Perform carries out orders to members and the holding of writes.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	switch action := action.(type) {
	case ebonywood.MemberOrder:
		if controller := edge.controllerFor(action); controller != nil {
			controller.enqueue(action)
		}
		return true
	case ebonywood.HoldWrites:
		edge.trackerFor(action.Instance()).notifyWhenIdle(func() {
			edge.post(ebonywood.NewWritesIdle(action.Instance()))
		})
		return true
	default:
		return false
	}
}

// post hands an event to the control loop from a goroutine of its own, since the
// control goroutine may be the one that calls.
func (edge *Edge) post(event ebonywood.Event) {
	edge.group.Go(func(ctx context.Context) error {
		_ = edge.port.Post(ctx, event)
		return nil
	})
}

func (edge *Edge) controllerFor(order ebonywood.MemberOrder) *controller {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	address := edge.memberAddress(order.Instance(), order.Member())
	current := edge.controllers[order.Member()]
	if current != nil && (current.address == address || address == "") {
		return current
	}
	if address == "" {
		return nil
	}
	if current != nil {
		current.stop()
	}
	replacement := newController(edge, address)
	edge.controllers[order.Member()] = replacement
	return replacement
}

// address looks a member up in the set in force. Orders may come from a set that
// is only just being published; the snapshot has it one event later.
func (edge *Edge) memberAddress(instanceID ebonywood.InstanceID, id ebonywood.MemberID) string {
	set := edge.port.Snapshot().Set()
	if set == nil {
		return ""
	}
	instance, _ := set.Instance(instanceID)
	for _, member := range instance.Members() {
		if member.ID() == id {
			return member.Address()
		}
	}
	return ""
}

func (edge *Edge) trackerFor(id ebonywood.InstanceID) *primaryTracker {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	tracker, found := edge.trackers[id]
	if !found {
		tracker = &primaryTracker{}
		edge.trackers[id] = tracker
	}
	return tracker
}

func (edge *Edge) confirmerFor(instance ebonywood.Instance) *confirmer {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	current, found := edge.confirmers[instance.ID()]
	if !found || !current.matches(instance) {
		current = newConfirmer(edge, instance)
		edge.confirmers[instance.ID()] = current
	}
	return current
}

func (edge *Edge) poolFor(member ebonywood.Member) *pool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	current, found := edge.pools[member.ID()]
	if !found || !current.matches(member) {
		if found {
			current.close()
		}
		current = newPool(edge, member)
		edge.pools[member.ID()] = current
	}
	return current
}

// Acquire leases a connection that meets the need. It waits through a change of
// primary, since nothing has been sent yet.
func (edge *Edge) Acquire(ctx context.Context, need ebonywood.Need) (ebonywood.Lane, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		timeoutCtx, cancel := context.WithTimeout(ctx, need.Deadline().Duration())
		defer cancel()
		ctx = timeoutCtx
	}
	var lastErr error
	startedAt := time.Now()
	for {
		route, view, err := edge.awaitView(ctx, need)
		if err != nil {
			return nil, timeoutFault(need, errors.CombineErrors(lastErr, err))
		}
		lease, err := edge.tryAcquire(ctx, need, route, view, startedAt)
		if lease != nil {
			return lease, nil
		}
		if err != nil {
			kind := ebonywood.FaultOf(err).Kind()
			if kind == ebonywood.KindOverload || kind == ebonywood.KindStale {
				return nil, err
			}
			lastErr = err
		}
		if ctx.Err() != nil {
			return nil, timeoutFault(need, lastErr)
		}
	}
}

func timeoutFault(need ebonywood.Need, err error) error {
	return ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("no connection to %s within the deadline: %v", need.Instance(), err),
		"send the request again; it was not run")
}

// await waits for a view under which the need can be met at all.
func (edge *Edge) awaitView(ctx context.Context, need ebonywood.Need) (*ebonywood.Route, *ebonywood.InstanceView, error) {
	snapshot, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		view, found := snapshot.View(need.Instance())
		if !found || snapshot.Set() == nil {
			return false
		}
		return need.Access() == ebonywood.AccessRead || view.Primary() != "" && !view.IsHeld()
	})
	if err != nil {
		return nil, nil, err
	}
	view, _ := snapshot.View(need.Instance())
	for _, route := range snapshot.Set().Routes() {
		if route.Name() == need.Route() {
			return route, view, nil
		}
	}
	return nil, nil, ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("route %s was withdrawn", need.Route()), "connect again")
}

// try makes one attempt; a nil lane means that the view has to change first or
// that the attempt failed.
func (edge *Edge) tryAcquire(
	ctx context.Context, need ebonywood.Need, route *ebonywood.Route, view *ebonywood.InstanceView, startedAt time.Time,
) (ebonywood.Lane, error) {
	if need.Access() == ebonywood.AccessWrite {
		return edge.tryPrimary(ctx, need, route, view)
	}
	rule := router.New(view, route.Policy(), need.Floor(), edge.port.Clock().Now())
	if pool := edge.leastLoaded(rule.Replicas()); pool != nil {
		return edge.tryReplica(ctx, need, route, view, pool)
	}
	switch route.Policy().Stale() {
	case ebonywood.StaleRefuse:
		return nil, ebonywood.NewFault(ebonywood.KindStale,
			fmt.Sprintf("no replica of %s proves an age of %d ms", need.Instance(), route.Policy().MaxAge()),
			"read again later, or publish a read policy with a greater maxAge")
	case ebonywood.StaleWait:
		_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
			later, found := snapshot.View(need.Instance())
			return !found || later != view
		})
		return nil, err
	default:
		if route.Policy().MaxAge() > 0 && edge.waitForReplica(ctx, view, startedAt) {
			return nil, nil
		}
		return edge.tryPrimary(ctx, need, route, view)
	}
}

// replicaWait is how long a read waits for a replica to be proved fresh enough
// before it costs a slot of the primary, which are kept for writes.
const replicaWait = 8 * time.Millisecond

// waitForReplica asks for a round at once and waits for another view. It reports
// false when the request has waited for long enough.
func (edge *Edge) waitForReplica(ctx context.Context, view *ebonywood.InstanceView, startedAt time.Time) bool {
	remaining := replicaWait - time.Since(startedAt)
	if remaining <= 0 || view.Primary() == "" {
		return false
	}
	if edge.port.Post(ctx, ebonywood.NewRoundWanted(view.ID())) != nil {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return edge.awaitViewChange(waitCtx, view) == nil
}

func (edge *Edge) tryReplica(
	ctx context.Context, need ebonywood.Need, route *ebonywood.Route, view *ebonywood.InstanceView,
	pool *pool,
) (ebonywood.Lane, error) {
	lease, err := pool.acquire(ctx, need, route, func(conn *conn) bool { return conn.role == ebonywood.RoleReplica })
	if err != nil {
		return nil, err
	}
	if !edge.isStillAllowed(need, route, lease) {
		lease.Release()
		return nil, edge.awaitViewChange(ctx, view)
	}
	edge.replicaReads.Add(1)
	edge.checkReadInvariants(need, lease)
	return lease, nil
}

// checkRead asserts once more what the router promised, from what is known by now.
func (edge *Edge) checkReadInvariants(need ebonywood.Need, lease *leasedConn) {
	view, found := edge.port.Snapshot().View(need.Instance())
	if !found {
		return
	}
	member, found := view.Member(lease.Member())
	if !found {
		return
	}
	covers := lease.conn.applied.Covers(need.Floor().At()) || member.Applied().Covers(need.Floor().At())
	if !covers {
		edge.port.Invariants().Check(invariant.ReadYourWrites, false, fmt.Sprintf(
			"%s showed %v when its connection was opened and %v when asked at %d, the floor is %v",
			lease.Member(), lease.conn.applied, member.Applied(), member.Asked(), need.Floor().At()))
	}
	lease.pool.checkInvariant(invariant.NoWorkLeaving, !lease.pool.isPastLeavingGrace(member.Member().IsLeaving()))
}

// stillAllowed decides again once the connection is there.
func (edge *Edge) isStillAllowed(need ebonywood.Need, route *ebonywood.Route, lease *leasedConn) bool {
	view, found := edge.port.Snapshot().View(need.Instance())
	if !found {
		return false
	}
	rule := router.New(view, route.Policy(), need.Floor(), edge.port.Clock().Now())
	return rule.AllowsOver(lease.Member(), lease.conn.openedAt, lease.conn.applied)
}

// expect returns what statements of the shape are expected to cost. All members
// share what was learned, so that a new shape is new only once.
func (edge *Edge) expectedCost(shape uint64) (time.Duration, bool) {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	return edge.costs.Expect(shape)
}

func (edge *Edge) recordCost(shape uint64, took time.Duration) (isNew bool) {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	return edge.costs.Learn(shape, took)
}

// leastLoaded chooses the member with the least expected wait; nil if none of
// them accepts connections.
func (edge *Edge) leastLoaded(members []ebonywood.Member) *pool {
	var best *pool
	bestLoad := 0.0
	for _, member := range members {
		pool := edge.poolFor(member)
		if pool.isFailing() {
			continue
		}
		load := pool.load()
		if member.Zone() != edge.port.Settings().Zone() {
			load += crossZonePenaltySeconds
		}
		if best == nil || load < bestLoad {
			best, bestLoad = pool, load
		}
	}
	return best
}

// tryPrimary waits for the primary's slot. Reads that came here by need of
// freshness use the same connections, and their answers are confirmed alike.
func (edge *Edge) tryPrimary(
	ctx context.Context, need ebonywood.Need, route *ebonywood.Route, view *ebonywood.InstanceView,
) (ebonywood.Lane, error) {
	member, found := view.Member(view.Primary())
	if !found || view.IsHeld() {
		return nil, edge.awaitViewChange(ctx, view)
	}
	tracker := edge.trackerFor(need.Instance())
	tracker.begin()
	if current, found := edge.port.Snapshot().View(need.Instance()); !found || current.IsHeld() {
		tracker.end()
		return nil, edge.awaitViewChange(ctx, view)
	}
	lease, err := edge.poolFor(member.Member()).acquire(ctx, need, route, func(conn *conn) bool {
		return conn.role == ebonywood.RolePrimary && conn.term == view.Term()
	})
	if err != nil {
		tracker.end()
		if ebonywood.FaultOf(err).Kind() == ebonywood.KindUnavailable {
			edge.post(ebonywood.NewTrouble(need.Instance()))
			return nil, errors.CombineErrors(err, edge.awaitViewChange(ctx, view))
		}
		return nil, err
	}
	lease.tracker = tracker
	if need.Access() == ebonywood.AccessRead {
		edge.primaryReads.Add(1)
	}
	return lease, nil
}

// awaitChange waits for another view of the instance.
func (edge *Edge) awaitViewChange(ctx context.Context, view *ebonywood.InstanceView) error {
	_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		current, found := snapshot.View(view.ID())
		return !found || current != view
	})
	return err
}
