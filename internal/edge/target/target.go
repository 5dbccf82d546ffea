// Package target is the edge towards the database groups: it holds the
// connections to their members, runs requests on them, executes the orders of
// control decisions, and confirms the commits of primaries with a majority.
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

// Name is the name under which the plug-in registers itself.
const Name = "target"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

// Edge is the target side of a process: it implements ebonywood.Edge and
// ebonywood.ConnPool.
type Edge struct {
	port ebonywood.Port
	// holder identifies this process to the members that it fences or promotes.
	holder string
	group  *rungroup.Group

	mutex       sync.Mutex
	pools       map[ebonywood.MemberID]*pool
	controllers map[ebonywood.MemberID]*controller
	confirmers  map[ebonywood.InstanceID]*confirmer
	trackers    map[ebonywood.InstanceID]*primaryTracker

	// costMutex guards costs. It is separate from mutex because every statement locks
	// it twice.
	costMutex sync.Mutex
	costs     cost.Table

	replicaReads atomic.Int64
	primaryReads atomic.Int64
}

// Reads returns how many reads were routed to replicas and to primaries.
func (edge *Edge) Reads() (replicaReads, primaryReads int64) {
	return edge.replicaReads.Load(), edge.primaryReads.Load()
}

// New returns an edge that opens no connection yet. The holder name under which it
// fences has a random suffix, so that a restarted proxy is distinct from its
// previous process.
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

// Run waits until ctx ends or a goroutine of the edge fails, closes the pools, and
// returns once all goroutines have ended.
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

// watchTerms cancels work on replaced primaries whenever a snapshot has a later term.
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

// Perform queues orders to members. For HoldWrites it posts WritesDrained once no
// transaction of this process is open on the instance's primary.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	switch action := action.(type) {
	case ebonywood.MemberOrder:
		if controller := edge.controllerFor(action); controller != nil {
			controller.enqueue(action)
		}
		return true
	case ebonywood.HoldWrites:
		edge.trackerFor(action.Instance()).notifyWhenIdle(func() {
			edge.post(ebonywood.NewWritesDrained(action.Instance()))
		})
		return true
	default:
		return false
	}
}

// post sends an event to the control loop from a new goroutine, since it may be
// called on the control goroutine, which must not block.
func (edge *Edge) post(event ebonywood.Event) {
	edge.group.Go(func(ctx context.Context) error {
		_ = edge.port.Post(ctx, event)
		return nil
	})
}

// controllerFor returns the controller of the order's member, and replaces it if the
// member's address changed. It returns nil if there is none and the address is
// unknown.
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

// memberAddress returns the member's address in the current object set, or "" if it
// is not there. An order may refer to an object set that is being published; the
// snapshot contains it one event later.
func (edge *Edge) memberAddress(instanceID ebonywood.InstanceID, id ebonywood.MemberID) string {
	set := edge.port.Snapshot().ObjectSet()
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

// trackerFor returns the tracker of the instance's primary, which it creates on first
// use.
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

// confirmerFor returns the instance's confirmer, and replaces it if the members
// changed.
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

// poolFor returns the member's pool, and replaces it if the address or the capacity
// changed.
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

// Acquire leases a connection that meets the requirements. It keeps waiting during a
// change of primary, since nothing has been sent yet. It fails with KindOverload or
// KindStale immediately, and with KindNotRun when the deadline passes.
func (edge *Edge) Acquire(ctx context.Context, requirements ebonywood.Requirements) (ebonywood.PooledConn, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		timeoutCtx, cancel := context.WithTimeout(ctx, requirements.Timeout().Duration())
		defer cancel()
		ctx = timeoutCtx
	}
	var lastErr error
	startedAt := time.Now()
	for {
		route, view, err := edge.awaitView(ctx, requirements)
		if err != nil {
			return nil, timeoutFault(requirements, errors.CombineErrors(lastErr, err))
		}
		lease, err := edge.tryAcquire(ctx, requirements, route, view, startedAt)
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
			return nil, timeoutFault(requirements, lastErr)
		}
	}
}

func timeoutFault(requirements ebonywood.Requirements, err error) error {
	return ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("no connection to %s within the deadline: %v", requirements.Instance(), err),
		"send the request again; it was not run")
}

// awaitView waits for a view under which the requirements can be met: for a write, one
// that has a primary and does not hold writes. It returns the route and the view.
func (edge *Edge) awaitView(ctx context.Context, requirements ebonywood.Requirements) (*ebonywood.Route, *ebonywood.InstanceView, error) {
	snapshot, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		view, found := snapshot.View(requirements.Instance())
		if !found || snapshot.ObjectSet() == nil {
			return false
		}
		return requirements.Access() == ebonywood.AccessRead || view.Primary() != "" && !view.IsHoldingWrites()
	})
	if err != nil {
		return nil, nil, err
	}
	view, _ := snapshot.View(requirements.Instance())
	for _, route := range snapshot.ObjectSet().Routes() {
		if route.Name() == requirements.Route() {
			return route, view, nil
		}
	}
	return nil, nil, ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("route %s was withdrawn", requirements.Route()), "reconnect")
}

// tryAcquire makes one attempt to lease a connection. A nil lease without an error means
// that the view has changed and a further attempt may succeed.
func (edge *Edge) tryAcquire(
	ctx context.Context, requirements ebonywood.Requirements, route *ebonywood.Route, view *ebonywood.InstanceView, startedAt time.Time,
) (ebonywood.PooledConn, error) {
	if requirements.Access() == ebonywood.AccessWrite {
		return edge.tryPrimary(ctx, requirements, route, view)
	}
	rule := router.New(view, route.Policy(), requirements.Floor(), edge.port.Clock().Now())
	if pool := edge.choosePool(rule.Replicas()); pool != nil {
		return edge.tryReplica(ctx, requirements, route, view, pool)
	}
	switch route.Policy().StaleAction() {
	case ebonywood.StaleRefuse:
		return nil, ebonywood.NewFault(ebonywood.KindStale,
			fmt.Sprintf("no replica of %s is proven to be at most %d ms old", requirements.Instance(), route.Policy().MaxAge()),
			"read again later, or publish a read policy with a greater maxAge")
	case ebonywood.StaleWait:
		_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
			later, found := snapshot.View(requirements.Instance())
			return !found || later != view
		})
		return nil, err
	default:
		if route.Policy().MaxAge() > 0 && edge.waitForReplica(ctx, view, startedAt) {
			return nil, nil
		}
		return edge.tryPrimary(ctx, requirements, route, view)
	}
}

// replicaWait is how long a read waits until a replica is proven fresh enough before
// it takes a slot of the primary, since the primary's slots are kept for writes.
const replicaWait = 8 * time.Millisecond

// waitForReplica requests a status round immediately and waits for another view. It
// reports false when the request has waited for replicaWait since startedAt, or when
// there is no primary to prove freshness.
func (edge *Edge) waitForReplica(ctx context.Context, view *ebonywood.InstanceView, startedAt time.Time) bool {
	remaining := replicaWait - time.Since(startedAt)
	if remaining <= 0 || view.Primary() == "" {
		return false
	}
	if edge.port.Post(ctx, ebonywood.NewStatusRoundRequested(view.ID())) != nil {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return edge.awaitViewChange(waitCtx, view) == nil
}

// tryReplica leases a connection of a replica's pool. It returns nil after the view
// changed if the replica may not run the read any more.
func (edge *Edge) tryReplica(
	ctx context.Context, requirements ebonywood.Requirements, route *ebonywood.Route, view *ebonywood.InstanceView,
	pool *pool,
) (ebonywood.PooledConn, error) {
	lease, err := pool.acquire(ctx, requirements, route, func(conn *conn) bool { return conn.role == ebonywood.RoleReplica })
	if err != nil {
		return nil, err
	}
	if !edge.isStillAllowed(requirements, route, lease) {
		lease.Release()
		return nil, edge.awaitViewChange(ctx, view)
	}
	edge.replicaReads.Add(1)
	edge.checkReadInvariants(requirements, lease)
	return lease, nil
}

// checkReadInvariants asserts the router's guarantees against the current snapshot:
// the replica covers the session's writes and has not been leaving for too long.
func (edge *Edge) checkReadInvariants(requirements ebonywood.Requirements, lease *leasedConn) {
	view, found := edge.port.Snapshot().View(requirements.Instance())
	if !found {
		return
	}
	member, found := view.Member(lease.Member())
	if !found {
		return
	}
	covers := lease.conn.applied.Covers(requirements.Floor().Position()) || member.Applied().Covers(requirements.Floor().Position())
	if !covers {
		edge.port.Invariants().Check(invariant.ReadYourWrites, false, fmt.Sprintf(
			"%s reported %v when its connection was opened and %v when queried at %d; the floor is %v",
			lease.Member(), lease.conn.applied, member.Applied(), member.QueriedAt(), requirements.Floor().Position()))
	}
	lease.pool.checkInvariant(invariant.NoWorkForLeavingTarget, !lease.pool.isPastLeavingGrace(member.Member().IsLeaving()))
}

// isStillAllowed repeats the routing decision with the current view, since the
// replica's state may have changed during the wait for the connection.
func (edge *Edge) isStillAllowed(requirements ebonywood.Requirements, route *ebonywood.Route, lease *leasedConn) bool {
	view, found := edge.port.Snapshot().View(requirements.Instance())
	if !found {
		return false
	}
	rule := router.New(view, route.Policy(), requirements.Floor(), edge.port.Clock().Now())
	return rule.AllowsOnConn(lease.Member(), lease.conn.openedAt, lease.conn.applied)
}

// expectedCost returns the expected duration of a statement of the shape, and false
// if the shape is new. The estimates are shared by all members, so that each shape
// is new only once in the process.
func (edge *Edge) expectedCost(shape uint64) (time.Duration, bool) {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	return edge.costs.Estimate(shape)
}

// recordCost adds the elapsed time of a statement to the estimate of its shape, and
// reports whether the shape was new.
func (edge *Edge) recordCost(shape uint64, elapsed time.Duration) (isNew bool) {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	return edge.costs.Record(shape, elapsed)
}

// choosePool returns the pool with the shortest expected wait, to which
// crossZoneCostSeconds is added for members of another availability zone. It returns
// nil if no member accepts connections.
func (edge *Edge) choosePool(members []ebonywood.Member) *pool {
	var best *pool
	bestSeconds := 0.0
	for _, member := range members {
		pool := edge.poolFor(member)
		if pool.isFailing() {
			continue
		}
		waitSeconds := pool.expectedWaitSeconds()
		if member.Zone() != edge.port.Settings().Zone() {
			waitSeconds += crossZoneCostSeconds
		}
		if best == nil || waitSeconds < bestSeconds {
			best, bestSeconds = pool, waitSeconds
		}
	}
	return best
}

// tryPrimary leases a connection of the primary's pool. Reads that no replica can
// serve fresh enough use the same connections, and are confirmed in the same way. It
// returns nil after the view changed if there is no primary or writes are held.
func (edge *Edge) tryPrimary(
	ctx context.Context, requirements ebonywood.Requirements, route *ebonywood.Route, view *ebonywood.InstanceView,
) (ebonywood.PooledConn, error) {
	member, found := view.Member(view.Primary())
	if !found || view.IsHoldingWrites() {
		return nil, edge.awaitViewChange(ctx, view)
	}
	tracker := edge.trackerFor(requirements.Instance())
	tracker.begin()
	if current, found := edge.port.Snapshot().View(requirements.Instance()); !found || current.IsHoldingWrites() {
		tracker.end()
		return nil, edge.awaitViewChange(ctx, view)
	}
	lease, err := edge.poolFor(member.Member()).acquire(ctx, requirements, route, func(conn *conn) bool {
		return conn.role == ebonywood.RolePrimary && conn.term == view.Term()
	})
	if err != nil {
		tracker.end()
		if ebonywood.FaultOf(err).Kind() == ebonywood.KindUnavailable {
			edge.post(ebonywood.NewConnectionFailed(requirements.Instance()))
			return nil, errors.CombineErrors(err, edge.awaitViewChange(ctx, view))
		}
		return nil, err
	}
	lease.tracker = tracker
	if requirements.Access() == ebonywood.AccessRead {
		edge.primaryReads.Add(1)
	}
	return lease, nil
}

// awaitViewChange waits until the snapshot has another view of the instance.
func (edge *Edge) awaitViewChange(ctx context.Context, view *ebonywood.InstanceView) error {
	_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		current, found := snapshot.View(view.ID())
		return !found || current != view
	})
	return err
}
