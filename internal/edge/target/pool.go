package target

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/admission"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/pgconn"
)

const (
	// crossZone is added to the load of a member in another availability zone, in
	// seconds.
	crossZone = 0.002
	// probeIdle is how long a connection may lie idle before it is probed.
	probeIdle = 500 * time.Millisecond
	// probeLimit bounds a probe; what does not answer in time is silent.
	probeLimit = 100 * time.Millisecond
	// failedPause is how long a member gets no reads after a failed connection.
	failedPause = 200 * time.Millisecond
	// leavingLimit is how long a leaving member may get new work.
	leavingLimit = 3 * time.Second
	// reserved connections of a member are left to its operators.
	reserved = 2
)

// conn is one connection of a pool.
type conn struct {
	*pgconn.Conn
	role     ebonywood.Role
	term     ebonywood.Term
	applied  ebonywood.Position
	opened   ebonywood.Millis
	lastUse  time.Time
	prepared map[string]struct{}
	setup    string
	// lane is whom the connection is leased to.
	lane *lane
}

// pool shares the slots and connections of one member among the callers of this
// process.
type pool struct {
	edge   *Edge
	member ebonywood.Member

	admission *admission.Admission

	mutex   sync.Mutex
	idle    []*conn
	open    int
	dialing int
	closed  bool
	// freed closes when a connection was returned or lost; nil while none waits.
	freed chan struct{}
	fault error
	// failed is when the last attempt to open a connection failed.
	failed time.Time
	// leavingSince is when reads first met the member as leaving.
	leavingSince time.Time
}

func newPool(edge *Edge, member ebonywood.Member) *pool {
	pool := &pool{
		edge: edge, member: member, admission: admission.New(member.Slots()),
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for range member.Slots() {
		pool.dial()
	}
	return pool
}

func (pool *pool) serves(member ebonywood.Member) bool {
	return pool.member.Address() == member.Address() && pool.member.Slots() == member.Slots() &&
		pool.member.MaxConnections() == member.MaxConnections()
}

func (pool *pool) limit() int { return max(pool.member.Slots(), pool.member.MaxConnections()-reserved) }

// load is the expected wait for a slot, in seconds.
func (pool *pool) load() float64 {
	return pool.admission.Load().Seconds()
}

// isFailing reports whether connections could not be opened a moment ago.
func (pool *pool) isFailing() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.fault != nil && time.Since(pool.failed) < failedPause
}

func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, each := range pool.idle {
		each.Close()
		pool.open--
	}
	pool.idle = nil
	pool.wake()
}

// acquire waits for a slot and then for a connection.
func (pool *pool) acquire(
	ctx context.Context, need ebonywood.Requirements, route *ebonywood.Route, fits func(*conn) bool,
) (*lane, error) {
	lane := &lane{pool: pool, need: need, route: route}
	if err := lane.takeSlot(ctx); err != nil {
		return nil, err
	}
	conn, err := pool.connect(ctx, fits)
	if err != nil {
		lane.freeSlot()
		return nil, err
	}
	lane.conn = conn
	pool.check(invariant.OneTransaction, conn.lane == nil)
	conn.lane = lane
	return lane, nil
}

func (pool *pool) check(name string, holds bool) {
	pool.edge.port.Invariants().Check(name, holds, string(pool.member.ID()))
}

// isLeavingLong reports whether the member has been known to leave for longer
// than new work may still come to it.
func (pool *pool) isLeavingLong(leaving bool) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !leaving {
		pool.leavingSince = time.Time{}
		return false
	}
	if pool.leavingSince.IsZero() {
		pool.leavingSince = time.Now()
	}
	return time.Since(pool.leavingSince) > leavingLimit
}

// enter waits for a slot. It refuses at once when the predicted wait passes the
// deadline.
func (pool *pool) enter(ctx context.Context, need ebonywood.Requirements, route *ebonywood.Route) (uint64, error) {
	expected, known := pool.edge.expect(need.Shape())
	deadline := time.Now().Add(need.Timeout().Duration())
	if until, bounded := ctx.Deadline(); bounded && until.Before(deadline) {
		deadline = until
	}
	ticket, wait, err := pool.admission.Enter(ctx, route, need.Shape(), expected, known, deadline, deadline)
	switch {
	case errors.Is(err, admission.ErrRefused):
		return 0, pool.refuse(route, wait)
	case err != nil:
		return 0, ebonywood.NewFault(ebonywood.KindNotRun,
			fmt.Sprintf("no slot of %s in time: %v", pool.member.ID(), err), "send the request again; it was not run")
	}
	return ticket, nil
}

// refuse tells a caller early that its request will not be run in time.
func (pool *pool) refuse(route *ebonywood.Route, wait time.Duration) error {
	pool.edge.port.Metrics().Tagged(map[string]string{"route": route.Name(), "limit": "slots"}).Counter("refused").Inc(1)
	return ebonywood.NewFault(ebonywood.KindOverload,
		fmt.Sprintf("the predicted wait for a slot of %s is %d ms", pool.member.ID(), wait.Milliseconds()),
		fmt.Sprintf("the request was not run; send it again in %d ms", wait.Milliseconds()))
}

func (pool *pool) leave(ticket, shape uint64, took time.Duration) {
	pool.admission.Leave(ticket, took)
	if pool.edge.learn(shape, took) {
		pool.admission.UpdateCost(shape, took)
	}
}

// connect takes an idle connection, the one used last first so that the others
// can age, or waits for one to be opened. Those that don't fit any more, because
// the member's role or term changed, are closed.
func (pool *pool) connect(ctx context.Context, fits func(*conn) bool) (*conn, error) {
	began := pool.edge.port.Clock().Now()
	for {
		pool.mutex.Lock()
		if pool.closed {
			pool.mutex.Unlock()
			return nil, ebonywood.NewFault(ebonywood.KindNotRun, "the member was withdrawn", "send the request again")
		}
		if count := len(pool.idle); count > 0 {
			taken := pool.idle[count-1]
			pool.idle = pool.idle[:count-1]
			pool.mutex.Unlock()
			if fits(taken) && pool.isLive(ctx, taken) {
				return taken, nil
			}
			pool.lose(taken)
			if taken.opened > began {
				return nil, ebonywood.NewFault(ebonywood.KindUnavailable,
					fmt.Sprintf("%s is in another role", pool.member.ID()), "wait for the next status round")
			}
			continue
		}
		if pool.dialing == 0 {
			pool.dial()
		}
		if pool.freed == nil {
			pool.freed = make(chan struct{})
		}
		freed := pool.freed
		pool.mutex.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := pool.lastFault(); err != nil {
			return nil, err
		}
	}
}

func (pool *pool) lastFault() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.idle) > 0 {
		return nil
	}
	return pool.fault
}

// isLive probes a connection that has lain idle: something between the two ends
// may have lost track of it.
func (pool *pool) isLive(ctx context.Context, each *conn) bool {
	if time.Since(each.lastUse) < probeIdle {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	_, err := each.Query(ctx, "SELECT 1")
	return err == nil
}

// dial opens one more connection in the background, if the cap allows; the mutex
// is held.
func (pool *pool) dial() {
	if pool.closed || pool.open+pool.dialing >= pool.limit() {
		return
	}
	pool.dialing++
	pool.edge.group.Go(func(ctx context.Context) error {
		opened, err := pool.openOne(ctx)
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.dialing--
		pool.fault = err
		if err != nil {
			pool.failed = time.Now()
		}
		if err == nil && pool.closed {
			opened.Close()
		} else if err == nil {
			pool.open++
			pool.idle = append(pool.idle, opened)
		}
		pool.wake()
		return nil
	})
}

// dialLimit bounds the opening of a connection.
const dialLimit = time.Second

func (pool *pool) openOne(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	settings := pool.edge.port.Settings()
	raw, err := pgconn.Dial(ctx, pool.member.Address(), settings.TargetUser(), settings.TargetPassword(), "postgres")
	if err != nil {
		return nil, err
	}
	opened := pool.edge.port.Clock().Now()
	status, err := queryStatus(ctx, raw, statusText)
	if err != nil {
		raw.Close()
		return nil, err
	}
	return &conn{
		Conn: raw, role: status.Role(), term: status.FencedTerm(),
		applied: status.Applied(), opened: opened, lastUse: time.Now(), prepared: map[string]struct{}{},
	}, nil
}

// wake lets all that wait for a connection look again; the mutex is held.
func (pool *pool) wake() {
	if pool.freed != nil {
		close(pool.freed)
		pool.freed = nil
	}
}

func (pool *pool) giveBack(each *conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		each.Close()
		pool.open--
		return
	}
	each.lastUse = time.Now()
	each.lane = nil
	pool.idle = append(pool.idle, each)
	pool.wake()
}

// lose closes a connection.
func (pool *pool) lose(each *conn) {
	each.Close()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	pool.wake()
}
