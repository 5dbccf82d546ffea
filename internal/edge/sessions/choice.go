package sessions

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// crossZoneCostMs and primaryCostMs are added, in ms, to the expected wait of a
	// member: one for the latency to another availability zone, the other to keep
	// primaries free for writes.
	crossZoneCostMs = 6.0
	primaryCostMs   = 30.0
	// leasedCostMs is the expected wait, in ms, for each connection to the member that
	// this process has in use.
	leasedCostMs = 9.0
	// newConnectionCostMs is added to the expected wait of a member, in ms, if a connection
	// has to be opened for the workspace, which occupies a slot of the member.
	newConnectionCostMs = 15.0
	// recentWriteWindow is how long after a session's write the session does not read
	// from replicas whose reported position does not cover the write.
	recentWriteWindow ebonywood.Millis = 60
)

// primaryPool returns the pool of the instance's primary, and the time until which new
// work may be sent to it, 0 without a limit. Without a primary that may get new work it
// waits for one until the deadline, but no longer than LimitHoldForPrimary after the
// primary was lost or had to be left alone. The fault is KindOverload.
func (edge *Edge) primaryPool(id ebonywood.InstanceID, deadline time.Time) (*pool, ebonywood.Millis, *ebonywood.Fault) {
	for {
		view, found := edge.port.Snapshot().View(id)
		if !found {
			view = &ebonywood.InstanceView{}
		}
		member, found := view.Member(view.Primary())
		if found && view.AcceptsWork(edge.now()) {
			return edge.pool(id, member.Member()), view.PrimaryUntil(), nil
		}
		lostFor := edge.now() - max(view.PrimaryLostAt(), view.PrimaryUntil())
		left := min(time.Until(deadline), (edge.limits.Millis(ebonywood.LimitHoldForPrimary) - lostFor).Duration())
		if left <= 0 {
			return nil, 0, noPrimaryFault(view, id)
		}
		edge.awaitPrimary(id, left)
	}
}

// awaitPrimary waits until the snapshot names a primary of the instance that may get new
// work or no longer has the instance, or until the timeout has passed.
func (edge *Edge) awaitPrimary(id ebonywood.InstanceID, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(edge.group.Context(), timeout)
	defer cancel()
	_, _ = edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		view, found := snapshot.View(id)
		return !found || view.AcceptsWork(edge.now())
	})
}

// noPrimaryFault returns the fault for work that no primary may get.
func noPrimaryFault(view *ebonywood.InstanceView, id ebonywood.InstanceID) *ebonywood.Fault {
	message := fmt.Sprintf("%s has no primary", id)
	if view.Primary() != "" {
		message = fmt.Sprintf("%s has no primary: the drain period of %s is over", id, view.Primary())
	}
	return ebonywood.NewFault(ebonywood.KindOverload, message, "send the request again; it was not run")
}

// chooseReader returns the pool of the member with the shortest expected wait among those
// that are readable, not leaving, untried and may hold the floor; nil if there is none.
// For the primary, neither its position nor its reachability is required. recent excludes
// replicas that are not known to hold the floor. workspace names the workspace of the
// statement.
func (edge *Edge) chooseReader(
	view *ebonywood.InstanceView, floor ebonywood.Position, recent bool, tried map[ebonywood.MemberID]bool, workspace string,
) *pool {
	var best *pool
	leastMs := 0.0
	for _, candidate := range view.Members() {
		member := candidate.Member()
		if tried[member.ID()] || !candidate.IsReadable() || member.IsLeaving() {
			continue
		}
		pool := edge.pool(view.ID(), member)
		isPrimary := member.ID() == view.Primary()
		expectedMs, usable := pool.expectedWait(floor, recent && !isPrimary, workspace)
		if !usable && !isPrimary {
			continue
		}
		if member.Zone() != edge.port.Settings().Zone() {
			expectedMs += crossZoneCostMs
		}
		if isPrimary {
			expectedMs += primaryCostMs
		}
		if best == nil || expectedMs < leastMs {
			best, leastMs = pool, expectedMs
		}
	}
	return best
}

// expectedWait returns the expected wait at the member in ms, and whether the member is
// reachable and may hold the floor; with recent, it must be known to hold the floor. The
// observed delay decays with its age. An unusable member's expected wait is 0.
func (pool *pool) expectedWait(floor ebonywood.Position, recent bool, workspace string) (expectedMs float64, usable bool) {
	now := pool.edge.now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || pool.unreachable {
		return 0, false
	}
	lacksFloor := pool.position.Less(floor)
	if lacksFloor && (recent || now-pool.laggedAt < laggedPeriod) {
		return 0, false
	}
	ageMs := float64(now - pool.delayAt)
	decayedMs := pool.delayMs * delayHalfLifeMs / (delayHalfLifeMs + ageMs)
	expectedMs = float64(pool.admission.Running())*leasedCostMs + decayedMs
	if workspace != "" && !pool.hasIdle(workspace) {
		expectedMs += newConnectionCostMs
	}
	return expectedMs, true
}
