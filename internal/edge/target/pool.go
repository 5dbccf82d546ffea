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
	crossZonePenaltySeconds = 0.002
	// probeIdle is how long a connection may lie idle before it is probed.
	probeAfterIdle = 500 * time.Millisecond
	// probeLimit bounds a probe; what does not answer in time is silent.
	probeTimeout = 100 * time.Millisecond
	// failedPause is how long a member gets no reads after a failed connection.
	dialFailureBackoff = 200 * time.Millisecond
	// leavingLimit is how long a leaving member may get new work.
	leavingGracePeriod = 3 * time.Second
	// reserved connections of a member are left to its operators.
	reservedConns = 2
)

// conn is one connection of a pool.
type conn struct {
	*pgconn.Conn
	role     ebonywood.Role
	term     ebonywood.Term
	applied  ebonywood.Position
	openedAt ebonywood.Millis
	lastUsed time.Time
	prepared map[string]struct{}
	settings string
	// lane is whom the connection is leased to.
	lease *leasedConn
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
	connsChanged chan struct{}
	dialErr      error
	// failed is when the last attempt to open a connection failed.
	dialFailedAt time.Time
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
		pool.dialLocked()
	}
	return pool
}

func (pool *pool) matches(member ebonywood.Member) bool {
	return pool.member.Address() == member.Address() && pool.member.Slots() == member.Slots() &&
		pool.member.Connections() == member.Connections()
}

func (pool *pool) maxConns() int {
	return max(pool.member.Slots(), pool.member.Connections()-reservedConns)
}

// load is the expected wait for a slot, in seconds.
func (pool *pool) load() float64 {
	return pool.admission.Load().Seconds()
}

// isFailing reports whether connections could not be opened a moment ago.
func (pool *pool) isFailing() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.dialErr != nil && time.Since(pool.dialFailedAt) < dialFailureBackoff
}

func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, conn := range pool.idle {
		conn.Close()
		pool.open--
	}
	pool.idle = nil
	pool.notifyWaitersLocked()
}

// acquire waits for a slot and then for a connection.
func (pool *pool) acquire(
	ctx context.Context, need ebonywood.Need, route *ebonywood.Route, usable func(*conn) bool,
) (*leasedConn, error) {
	lease := &leasedConn{pool: pool, need: need, route: route}
	if err := lease.takeSlot(ctx); err != nil {
		return nil, err
	}
	conn, err := pool.takeConn(ctx, usable)
	if err != nil {
		lease.freeSlot()
		return nil, err
	}
	lease.conn = conn
	pool.checkInvariant(invariant.OneTransaction, conn.lease == nil)
	conn.lease = lease
	return lease, nil
}

func (pool *pool) checkInvariant(name string, holds bool) {
	pool.edge.port.Invariants().Check(name, holds, string(pool.member.ID()))
}

// isLeavingLong reports whether the member has been known to leave for longer
// than new work may still come to it.
func (pool *pool) isPastLeavingGrace(leaving bool) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !leaving {
		pool.leavingSince = time.Time{}
		return false
	}
	if pool.leavingSince.IsZero() {
		pool.leavingSince = time.Now()
	}
	return time.Since(pool.leavingSince) > leavingGracePeriod
}

// enter waits for a slot. It refuses at once when the predicted wait passes the
// deadline.
func (pool *pool) takeSlot(ctx context.Context, need ebonywood.Need, route *ebonywood.Route) (uint64, error) {
	expected, hasEstimate := pool.edge.expectedCost(need.Shape())
	deadline := time.Now().Add(need.Deadline().Duration())
	if ctxDeadline, hasDeadline := ctx.Deadline(); hasDeadline && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	ticket, wait, err := pool.admission.Enter(ctx, route, need.Shape(), expected, hasEstimate, deadline, deadline)
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

func (pool *pool) freeSlot(ticket, shape uint64, took time.Duration) {
	pool.admission.Leave(ticket, took)
	if pool.edge.recordCost(shape, took) {
		pool.admission.Learned(shape, took)
	}
}

// connect takes an idle connection, the one used last first so that the others
// can age, or waits for one to be opened. Those that don't fit any more, because
// the member's role or term changed, are closed.
func (pool *pool) takeConn(ctx context.Context, usable func(*conn) bool) (*conn, error) {
	startedAt := pool.edge.port.Clock().Now()
	for {
		pool.mutex.Lock()
		if pool.closed {
			pool.mutex.Unlock()
			return nil, ebonywood.NewFault(ebonywood.KindNotRun, "the member was withdrawn", "send the request again")
		}
		if count := len(pool.idle); count > 0 {
			conn := pool.idle[count-1]
			pool.idle = pool.idle[:count-1]
			pool.mutex.Unlock()
			if usable(conn) && pool.isAlive(ctx, conn) {
				return conn, nil
			}
			pool.closeConn(conn)
			if conn.openedAt > startedAt {
				return nil, ebonywood.NewFault(ebonywood.KindUnavailable,
					fmt.Sprintf("%s is in another role", pool.member.ID()), "wait for the next status round")
			}
			continue
		}
		if pool.dialing == 0 {
			pool.dialLocked()
		}
		if pool.connsChanged == nil {
			pool.connsChanged = make(chan struct{})
		}
		connsChanged := pool.connsChanged
		pool.mutex.Unlock()
		select {
		case <-connsChanged:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := pool.lastDialError(); err != nil {
			return nil, err
		}
	}
}

func (pool *pool) lastDialError() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.idle) > 0 {
		return nil
	}
	return pool.dialErr
}

// isLive probes a connection that has lain idle: something between the two ends
// may have lost track of it.
func (pool *pool) isAlive(ctx context.Context, conn *conn) bool {
	if time.Since(conn.lastUsed) < probeAfterIdle {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := conn.Query(ctx, "SELECT 1")
	return err == nil
}

// dial opens one more connection in the background, if the cap allows; the mutex
// is held.
func (pool *pool) dialLocked() {
	if pool.closed || pool.open+pool.dialing >= pool.maxConns() {
		return
	}
	pool.dialing++
	pool.edge.group.Go(func(ctx context.Context) error {
		conn, err := pool.openConn(ctx)
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.dialing--
		pool.dialErr = err
		if err != nil {
			pool.dialFailedAt = time.Now()
		}
		if err == nil && pool.closed {
			conn.Close()
		} else if err == nil {
			pool.open++
			pool.idle = append(pool.idle, conn)
		}
		pool.notifyWaitersLocked()
		return nil
	})
}

// dialLimit bounds the opening of a connection.
const dialTimeout = time.Second

func (pool *pool) openConn(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	settings := pool.edge.port.Settings()
	serverConn, err := pgconn.Dial(ctx, pool.member.Address(), settings.TargetUser(), settings.TargetPassword(), "postgres")
	if err != nil {
		return nil, err
	}
	openedAt := pool.edge.port.Clock().Now()
	status, err := queryStatus(ctx, serverConn, statusQuery)
	if err != nil {
		serverConn.Close()
		return nil, err
	}
	return &conn{
		Conn: serverConn, role: status.Role(), term: status.Fenced(),
		applied: status.Applied(), openedAt: openedAt, lastUsed: time.Now(), prepared: map[string]struct{}{},
	}, nil
}

// wake lets all that wait for a connection look again; the mutex is held.
func (pool *pool) notifyWaitersLocked() {
	if pool.connsChanged != nil {
		close(pool.connsChanged)
		pool.connsChanged = nil
	}
}

func (pool *pool) returnConn(conn *conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		conn.Close()
		pool.open--
		return
	}
	conn.lastUsed = time.Now()
	conn.lease = nil
	pool.idle = append(pool.idle, conn)
	pool.notifyWaitersLocked()
}

// lose closes a connection.
func (pool *pool) closeConn(conn *conn) {
	conn.Close()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	pool.notifyWaitersLocked()
}
