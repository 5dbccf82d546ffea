package sessions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/balance"
)

const (
	// crossZoneCostMs and primaryCostMs are added, in ms, to the expected time at a
	// member: one for the latency to another availability zone, the other to keep
	// primaries free for writes.
	crossZoneCostMs = 6.0
	primaryCostMs   = 30.0
	// newConnectionCostMs is added to the expected time at a member, in ms, if a connection
	// has to be opened for the workspace, which occupies a slot of the member and replaces a
	// connection that another workspace will need. fullMemberCostMs is added if the member has
	// no connection left, too.
	newConnectionCostMs = 50.0
	fullMemberCostMs    = 100.0
	// maxReaders bounds the members that are considered for a read, so that the choice needs
	// no allocation.
	maxReaders = 16
	// maxSlowness bounds the ratio of a read's time to the expected one, so that one read
	// that hung does not keep a member out for minutes.
	maxSlowness = 20.0
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

// memberChoice chooses among the members that can run a read.
var memberChoice = balance.ForMembers()

// chooseReader returns the pool of one of the members that are readable, not leaving, untried
// and may hold the floor; nil if there is none. memberChoice chooses by the expected time of a
// read that is expected to take expected. For the primary, neither its position nor its
// reachability is required. recent excludes replicas that are not known to hold the floor.
// workspace names the workspace of the statement. isSuspect reports that the read may not be
// answered there, and that there is a member where it should be.
func (edge *Edge) chooseReader(
	view *ebonywood.InstanceView, floor ebonywood.Position, recent bool, tried map[ebonywood.MemberID]bool, workspace string,
	expected time.Duration,
) (chosen *pool, isSuspect bool) {
	var (
		pools      [maxReaders]*pool
		candidates [maxReaders]ebonywood.LoadCandidate
		count      int
	)
	zone := edge.port.Settings().Zone()
	for _, candidate := range view.Members() {
		member := candidate.Member()
		if count == maxReaders || tried[member.ID()] || !candidate.IsReadable() || member.IsLeaving() {
			continue
		}
		pool := edge.pool(view.ID(), member)
		isPrimary := member.ID() == view.Primary()
		fixedMs := 0.0
		if member.Zone() != zone {
			fixedMs += crossZoneCostMs
		}
		if isPrimary {
			fixedMs += primaryCostMs
		}
		load, usable := pool.load(floor, recent && !isPrimary, workspace, fixedMs, expected)
		if !usable && !isPrimary {
			continue
		}
		pools[count], candidates[count] = pool, load
		count++
	}
	if count == 0 {
		return nil, false
	}
	index, suspects := edge.health.weigh(view.ID(), pools[:count], candidates[:count], edge.now())
	if index < 0 {
		index = memberChoice.Choose(candidates[:count], rand.Uint64())
	}
	return pools[index], isSuspectAmong(suspects[:count], index)
}

// load returns what this process knows of the load at the member, and whether the member is
// reachable and may hold the floor; with recent, it must be known to hold the floor.
func (pool *pool) load(
	floor ebonywood.Position, recent bool, workspace string, fixedMs float64, expected time.Duration,
) (load ebonywood.LoadCandidate, usable bool) {
	now := pool.edge.now()
	inFlight := pool.admission.Running()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	load = ebonywood.NewLoadCandidate(inFlight, fixedMs).
		WithTime(pool.slowness*expected.Seconds()*1000, now-pool.slownessAt)
	if workspace != "" && !pool.hasIdle(workspace) {
		load = load.WithAvoidedCost(newConnectionCostMs)
		if now < pool.fullUntil {
			load = load.WithAvoidedCost(fullMemberCostMs)
		}
	}
	if pool.closed || pool.unreachable {
		return load, false
	}
	lacksFloor := pool.position.Less(floor)
	return load, !lacksFloor || (!recent && now-pool.laggedAt >= laggedPeriod)
}

// recordReadTime updates the moving average of the ratio of the reads' times at the member to
// the expected ones.
func (pool *pool) recordReadTime(elapsed, expected time.Duration) {
	ratio := min(float64(elapsed)/float64(max(expected, time.Microsecond)), maxSlowness)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.edge.now()
	pool.slowness, pool.slownessAt = balance.Average(pool.slowness, ratio, now-pool.slownessAt), now
}
