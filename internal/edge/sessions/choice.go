package sessions

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// crossZoneCost and primaryCost are added to a member's expected wait, in ms:
	// the way to another availability zone, and the wish to keep primaries free for
	// writes.
	crossZoneCost = 6.0
	primaryCost   = 30.0
	// leasedCost is the expected wait behind each statement of this process.
	leasedCost = 9.0
	// recentWrite is how long after a write a replica that is not known to hold it
	// is passed over.
	recentWrite ebonywood.Millis = 60
)

// primary waits for a primary to be known, while one can be expected soon.
func (edge *Edge) primary(id ebonywood.InstanceID, until time.Time) (*pool, *ebonywood.Fault) {
	for {
		view, found := edge.port.Snapshot().View(id)
		if !found {
			view = &ebonywood.InstanceView{}
		}
		if member, found := view.Member(view.Primary()); found {
			return edge.pool(id, member.Member()), nil
		}
		lost := edge.now() - view.PrimaryLostAt()
		left := min(time.Until(until), (edge.limits.Millis(ebonywood.LimitHoldForPrimary) - lost).Duration())
		if left <= 0 {
			return nil, noPrimary(id)
		}
		edge.awaitPrimary(id, left)
	}
}

func (edge *Edge) awaitPrimary(id ebonywood.InstanceID, limit time.Duration) {
	ctx, cancel := context.WithTimeout(edge.group.Context(), limit)
	defer cancel()
	_, _ = edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		view, found := snapshot.View(id)
		return !found || view.Primary() != ""
	})
}

func noPrimary(id ebonywood.InstanceID) *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindOverload, fmt.Sprintf("%s has no primary", id),
		"send the request again; it was not run")
}

// reader chooses the member with the least expected wait of those that may hold
// the floor; nil if none is left.
func (edge *Edge) reader(
	view *ebonywood.InstanceView, floor ebonywood.Position, recent bool, tried map[ebonywood.MemberID]bool,
) *pool {
	var best *pool
	least := 0.0
	for _, each := range view.Members() {
		member := each.Member()
		if tried[member.ID()] || !each.IsReadable() || member.IsLeaving() {
			continue
		}
		pool := edge.pool(view.ID(), member)
		isPrimary := member.ID() == view.Primary()
		expected, usable := pool.outlook(floor, recent && !isPrimary)
		if !usable && !isPrimary {
			continue
		}
		if member.Zone() != edge.port.Settings().Zone() {
			expected += crossZoneCost
		}
		if isPrimary {
			expected += primaryCost
		}
		if best == nil || expected < least {
			best, least = pool, expected
		}
	}
	return best
}

// outlook is the expected wait at the member in ms, and whether it may hold the
// floor.
func (pool *pool) outlook(floor ebonywood.Position, recent bool) (expected float64, usable bool) {
	now := pool.edge.now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || pool.silent {
		return 0, false
	}
	lacks := pool.known.Less(floor)
	if lacks && (recent || now-pool.lagged < laggedSpan) {
		return 0, false
	}
	age := float64(now - pool.delayAt)
	delay := pool.delay * halfLife / (halfLife + age)
	return float64(pool.admission.Running())*leasedCost + delay, true
}
