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

	mutex      sync.Mutex
	pools      map[ebonywood.MemberID]*pool
	controls   map[ebonywood.MemberID]*controller
	confirmers map[ebonywood.InstanceID]*confirmer
	gates      map[ebonywood.InstanceID]*gate

	// costMutex is held for a moment at each statement, apart from the mutex above.
	costMutex sync.Mutex
	costs     cost.Table

	byReplica atomic.Int64
	byPrimary atomic.Int64
}

// Reads counts the reads that went to replicas and to primaries.
func (edge *Edge) Reads() (byReplica, byPrimary int64) {
	return edge.byReplica.Load(), edge.byPrimary.Load()
}

// New makes the edge. The holder name under which it fences is new in each
// process, so that a restarted proxy can't be taken for its predecessor.
func New(port ebonywood.Port) *Edge {
	return &Edge{
		port: port, holder: fmt.Sprintf("%s-%x", port.Settings().Name(), rand.Uint64()),
		group:      rungroup.New(context.Background()),
		pools:      map[ebonywood.MemberID]*pool{},
		controls:   map[ebonywood.MemberID]*controller{},
		confirmers: map[ebonywood.InstanceID]*confirmer{},
		gates:      map[ebonywood.InstanceID]*gate{},
	}
}

// Run works until ctx ends, then closes all connections.
func (edge *Edge) Run(ctx context.Context) error {
	edge.group.Go(edge.watchReigns)
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
func (edge *Edge) watchReigns(ctx context.Context) error {
	var last *ebonywood.Snapshot
	for {
		snapshot, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool { return snapshot != last })
		if err != nil {
			return nil
		}
		last = snapshot
		edge.mutex.Lock()
		for id, gate := range edge.gates {
			if view, found := snapshot.View(id); found {
				gate.advance(view.Term())
			}
		}
		edge.mutex.Unlock()
	}
}

// Perform carries out orders to members and the holding of writes.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	switch action := action.(type) {
	case ebonywood.MemberOrder:
		if control := edge.control(action); control != nil {
			control.accept(action)
		}
		return true
	case ebonywood.HoldWrites:
		edge.gate(action.Instance()).whenIdle(func() {
			edge.post(ebonywood.NewWritesDrained(action.Instance()))
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

func (edge *Edge) control(order ebonywood.MemberOrder) *controller {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	address := edge.address(order.Instance(), order.Member())
	known := edge.controls[order.Member()]
	if known != nil && (known.address == address || address == "") {
		return known
	}
	if address == "" {
		return nil
	}
	if known != nil {
		known.stop()
	}
	fresh := newController(edge, address)
	edge.controls[order.Member()] = fresh
	return fresh
}

// address looks a member up in the set in force. Orders may come from a set that
// is only just being published; the snapshot has it one event later.
func (edge *Edge) address(instance ebonywood.InstanceID, id ebonywood.MemberID) string {
	set := edge.port.Snapshot().ObjectSet()
	if set == nil {
		return ""
	}
	found, _ := set.Instance(instance)
	for _, member := range found.Members() {
		if member.ID() == id {
			return member.Address()
		}
	}
	return ""
}

func (edge *Edge) gate(id ebonywood.InstanceID) *gate {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.gates[id]
	if !found {
		known = &gate{}
		edge.gates[id] = known
	}
	return known
}

func (edge *Edge) confirmer(instance ebonywood.Instance) *confirmer {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.confirmers[instance.ID()]
	if !found || !known.serves(instance) {
		known = newConfirmer(edge, instance)
		edge.confirmers[instance.ID()] = known
	}
	return known
}

func (edge *Edge) pool(member ebonywood.Member) *pool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.pools[member.ID()]
	if !found || !known.serves(member) {
		if found {
			known.close()
		}
		known = newPool(edge, member)
		edge.pools[member.ID()] = known
	}
	return known
}

// Acquire leases a connection that meets the need. It waits through a change of
// primary, since nothing has been sent yet.
func (edge *Edge) Acquire(ctx context.Context, need ebonywood.Requirements) (ebonywood.PooledConn, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		limited, cancel := context.WithTimeout(ctx, need.Timeout().Duration())
		defer cancel()
		ctx = limited
	}
	var last error
	began := time.Now()
	for {
		route, view, err := edge.await(ctx, need)
		if err != nil {
			return nil, timedOut(need, errors.CombineErrors(last, err))
		}
		lane, err := edge.try(ctx, need, route, view, began)
		if lane != nil {
			return lane, nil
		}
		if err != nil {
			kind := ebonywood.FaultOf(err).Kind()
			if kind == ebonywood.KindOverload || kind == ebonywood.KindStale {
				return nil, err
			}
			last = err
		}
		if ctx.Err() != nil {
			return nil, timedOut(need, last)
		}
	}
}

func timedOut(need ebonywood.Requirements, err error) error {
	return ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("no connection to %s within the deadline: %v", need.Instance(), err),
		"send the request again; it was not run")
}

// await waits for a view under which the need can be met at all.
func (edge *Edge) await(ctx context.Context, need ebonywood.Requirements) (*ebonywood.Route, *ebonywood.InstanceView, error) {
	snapshot, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		view, found := snapshot.View(need.Instance())
		if !found || snapshot.ObjectSet() == nil {
			return false
		}
		return need.Access() == ebonywood.AccessRead || view.Primary() != "" && !view.IsHoldingWrites()
	})
	if err != nil {
		return nil, nil, err
	}
	view, _ := snapshot.View(need.Instance())
	for _, route := range snapshot.ObjectSet().Routes() {
		if route.Name() == need.Route() {
			return route, view, nil
		}
	}
	return nil, nil, ebonywood.NewFault(ebonywood.KindNotRun,
		fmt.Sprintf("route %s was withdrawn", need.Route()), "connect again")
}

// try makes one attempt; a nil lane means that the view has to change first or
// that the attempt failed.
func (edge *Edge) try(
	ctx context.Context, need ebonywood.Requirements, route *ebonywood.Route, view *ebonywood.InstanceView, began time.Time,
) (ebonywood.PooledConn, error) {
	if need.Access() == ebonywood.AccessWrite {
		return edge.tryPrimary(ctx, need, route, view)
	}
	rule := router.New(view, route.Policy(), need.Floor(), edge.port.Clock().Now())
	if pool := edge.leastLoaded(rule.Replicas()); pool != nil {
		return edge.tryReplica(ctx, need, route, view, pool)
	}
	switch route.Policy().StaleAction() {
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
		if route.Policy().MaxAge() > 0 && edge.waitForReplica(ctx, view, began) {
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
func (edge *Edge) waitForReplica(ctx context.Context, view *ebonywood.InstanceView, began time.Time) bool {
	left := replicaWait - time.Since(began)
	if left <= 0 || view.Primary() == "" {
		return false
	}
	if edge.port.Post(ctx, ebonywood.NewStatusRoundRequested(view.ID())) != nil {
		return false
	}
	waiting, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return edge.awaitChange(waiting, view) == nil
}

func (edge *Edge) tryReplica(
	ctx context.Context, need ebonywood.Requirements, route *ebonywood.Route, view *ebonywood.InstanceView,
	pool *pool,
) (ebonywood.PooledConn, error) {
	lane, err := pool.acquire(ctx, need, route, func(each *conn) bool { return each.role == ebonywood.RoleReplica })
	if err != nil {
		return nil, err
	}
	if !edge.stillAllowed(need, route, lane) {
		lane.Release()
		return nil, edge.awaitChange(ctx, view)
	}
	edge.byReplica.Add(1)
	edge.checkRead(need, lane)
	return lane, nil
}

// checkRead asserts once more what the router promised, from what is known by now.
func (edge *Edge) checkRead(need ebonywood.Requirements, lane *lane) {
	view, found := edge.port.Snapshot().View(need.Instance())
	if !found {
		return
	}
	member, found := view.Member(lane.Member())
	if !found {
		return
	}
	covers := lane.conn.applied.Covers(need.Floor().Position()) || member.Applied().Covers(need.Floor().Position())
	if !covers {
		edge.port.Invariants().Check(invariant.ReadYourWrites, false, fmt.Sprintf(
			"%s showed %v when its connection was opened and %v when asked at %d, the floor is %v",
			lane.Member(), lane.conn.applied, member.Applied(), member.QueriedAt(), need.Floor().Position()))
	}
	lane.pool.check(invariant.NoWorkLeaving, !lane.pool.isLeavingLong(member.Member().IsLeaving()))
}

// stillAllowed decides again once the connection is there.
func (edge *Edge) stillAllowed(need ebonywood.Requirements, route *ebonywood.Route, lane *lane) bool {
	view, found := edge.port.Snapshot().View(need.Instance())
	if !found {
		return false
	}
	rule := router.New(view, route.Policy(), need.Floor(), edge.port.Clock().Now())
	return rule.AllowsOver(lane.Member(), lane.conn.opened, lane.conn.applied)
}

// expect returns what statements of the shape are expected to cost. All members
// share what was learned, so that a new shape is new only once.
func (edge *Edge) expect(shape uint64) (time.Duration, bool) {
	edge.costMutex.Lock()
	defer edge.costMutex.Unlock()
	return edge.costs.Expect(shape)
}

func (edge *Edge) learn(shape uint64, took time.Duration) (isNew bool) {
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
		pool := edge.pool(member)
		if pool.isFailing() {
			continue
		}
		load := pool.load()
		if member.Zone() != edge.port.Settings().Zone() {
			load += crossZone
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
	ctx context.Context, need ebonywood.Requirements, route *ebonywood.Route, view *ebonywood.InstanceView,
) (ebonywood.PooledConn, error) {
	member, found := view.Member(view.Primary())
	if !found || view.IsHoldingWrites() {
		return nil, edge.awaitChange(ctx, view)
	}
	gate := edge.gate(need.Instance())
	gate.enter()
	if current, found := edge.port.Snapshot().View(need.Instance()); !found || current.IsHoldingWrites() {
		gate.leave()
		return nil, edge.awaitChange(ctx, view)
	}
	lane, err := edge.pool(member.Member()).acquire(ctx, need, route, func(each *conn) bool {
		return each.role == ebonywood.RolePrimary && each.term == view.Term()
	})
	if err != nil {
		gate.leave()
		if ebonywood.FaultOf(err).Kind() == ebonywood.KindUnavailable {
			edge.post(ebonywood.NewConnectionFailed(need.Instance()))
			return nil, errors.CombineErrors(err, edge.awaitChange(ctx, view))
		}
		return nil, err
	}
	lane.gate = gate
	if need.Access() == ebonywood.AccessRead {
		edge.byPrimary.Add(1)
	}
	return lane, nil
}

// awaitChange waits for another view of the instance.
func (edge *Edge) awaitChange(ctx context.Context, view *ebonywood.InstanceView) error {
	_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		current, found := snapshot.View(view.ID())
		return !found || current != view
	})
	return err
}
