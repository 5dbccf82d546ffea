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
	// crossZoneCostSeconds is added to the expected wait of a member in another
	// availability zone.
	crossZoneCostSeconds = 0.002
	// probeAfterIdle is the idle time after which a connection is probed before use.
	probeAfterIdle = 500 * time.Millisecond
	// probeTimeout bounds a probe; a connection that exceeds it is closed as silent.
	probeTimeout = 100 * time.Millisecond
	// dialFailureBackoff is how long a member receives no reads after an attempt to
	// open a connection to it failed.
	dialFailureBackoff = 200 * time.Millisecond
	// leavingGracePeriod is how long a leaving member may still receive new work.
	leavingGracePeriod = 3 * time.Second
	// reservedConnections is how many of a member's connections are kept free for its
	// operators.
	reservedConnections = 2
)

// conn is one connection of a pool.
type conn struct {
	*pgconn.Conn
	// role, term and applied are the member's status, which was requested at openedAt.
	role       ebonywood.Role
	term       ebonywood.Term
	applied    ebonywood.Position
	openedAt   ebonywood.Millis
	lastUsedAt time.Time
	// prepared holds the names of the statements prepared on the connection.
	prepared map[string]struct{}
	// settings are the session settings on the connection, as SQL statements.
	settings string
	// lease is the current lease; nil while the connection is idle.
	lease *leasedConn
}

// pool shares the slots and connections of one member among the callers of this
// process. A slot admits one exchange; admission orders the requests that wait for
// one.
type pool struct {
	edge   *Edge
	member ebonywood.Member

	admission *admission.Controller

	mutex sync.Mutex
	idle  []*conn
	// open counts the open connections, idle or leased; dialing those being opened.
	open    int
	dialing int
	closed  bool
	// connsChanged is closed when a connection is opened, returned or closed, or an
	// attempt to open one fails; nil while no request waits.
	connsChanged chan struct{}
	// dialErr is the error of the last attempt to open a connection.
	dialErr error
	// dialFailedAt is when an attempt to open a connection last failed.
	dialFailedAt time.Time
	// leavingSince is when a read first found the member leaving.
	leavingSince time.Time
}

// newPool returns a pool that starts to open one connection for each slot.
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

// matches reports whether the pool was made for the member's address and capacity.
func (pool *pool) matches(member ebonywood.Member) bool {
	return pool.member.Address() == member.Address() && pool.member.Slots() == member.Slots() &&
		pool.member.MaxConnections() == member.MaxConnections()
}

// maxConns returns the maximum number of open connections.
func (pool *pool) maxConns() int {
	return max(pool.member.Slots(), pool.member.MaxConnections()-reservedConnections)
}

// expectedWaitSeconds returns the expected wait for a slot, in seconds.
func (pool *pool) expectedWaitSeconds() float64 {
	return pool.admission.ExpectedWait().Seconds()
}

// isFailing reports whether the last attempt to open a connection failed, less than
// dialFailureBackoff ago.
func (pool *pool) isFailing() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.dialErr != nil && time.Since(pool.dialFailedAt) < dialFailureBackoff
}

// close closes the idle connections; those leased are closed when they are returned.
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

// acquire waits for a slot and then for a usable connection.
func (pool *pool) acquire(
	ctx context.Context, requirements ebonywood.Requirements, route *ebonywood.Route, usable func(*conn) bool,
) (*leasedConn, error) {
	lease := &leasedConn{pool: pool, requirements: requirements, route: route}
	if err := lease.takeSlot(ctx); err != nil {
		return nil, err
	}
	conn, err := pool.takeConn(ctx, usable)
	if err != nil {
		lease.freeSlot()
		return nil, err
	}
	lease.conn = conn
	pool.checkInvariant(invariant.OneTransactionPerConnection, conn.lease == nil)
	conn.lease = lease
	return lease, nil
}

func (pool *pool) checkInvariant(name string, holds bool) {
	pool.edge.port.Invariants().Check(name, holds, string(pool.member.ID()))
}

// isPastLeavingGrace records whether the member is leaving, and reports whether it has
// been for longer than leavingGracePeriod.
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

// takeSlot waits for a slot and returns its ticket. It fails with KindOverload as soon
// as the predicted wait exceeds the deadline, and with KindNotRun when the deadline
// passes or ctx ends.
func (pool *pool) takeSlot(ctx context.Context, requirements ebonywood.Requirements, route *ebonywood.Route) (uint64, error) {
	expected, hasEstimate := pool.edge.expectedCost(requirements.Shape())
	deadline := time.Now().Add(requirements.Timeout().Duration())
	if ctxDeadline, hasDeadline := ctx.Deadline(); hasDeadline && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	ticket, wait, err := pool.admission.Acquire(ctx, route, requirements.Shape(), expected, hasEstimate, deadline, deadline)
	switch {
	case errors.Is(err, admission.ErrRefused):
		return 0, pool.refuse(route, wait)
	case err != nil:
		return 0, ebonywood.NewFault(ebonywood.KindNotRun,
			fmt.Sprintf("no slot of %s became free in time: %v", pool.member.ID(), err), "send the request again; it was not run")
	}
	return ticket, nil
}

// refuse counts a request that can't be run in time and returns its overload fault,
// which states the predicted wait.
func (pool *pool) refuse(route *ebonywood.Route, wait time.Duration) error {
	pool.edge.port.Metrics().Tagged(map[string]string{"route": route.Name(), "limit": "slots"}).Counter("refused").Inc(1)
	return ebonywood.NewFault(ebonywood.KindOverload,
		fmt.Sprintf("the predicted wait for a slot of %s is %d ms", pool.member.ID(), wait.Milliseconds()),
		fmt.Sprintf("the request was not run; send it again in %d ms", wait.Milliseconds()))
}

// freeSlot frees a slot that was held for the elapsed time, and records the cost of the
// shape.
func (pool *pool) freeSlot(ticket, shape uint64, elapsed time.Duration) {
	pool.admission.Release(ticket, elapsed)
	if pool.edge.recordCost(shape, elapsed) {
		pool.admission.UpdateCost(shape, elapsed)
	}
}

// takeConn takes an idle connection or waits for one to be opened. It prefers the
// most recently used, so that only connections in excess of the demand stay idle.
// Connections that are not usable, because the member's role or term changed, or not
// alive, are closed. If even a connection opened during the wait is not usable, it fails
// with KindUnavailable.
func (pool *pool) takeConn(ctx context.Context, usable func(*conn) bool) (*conn, error) {
	startedAt := pool.edge.port.Clock().Now()
	for {
		pool.mutex.Lock()
		if pool.closed {
			pool.mutex.Unlock()
			return nil, ebonywood.NewFault(ebonywood.KindNotRun, "the member was withdrawn", "send the request again; it was not run")
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
					fmt.Sprintf("%s does not have the expected role and term", pool.member.ID()), "wait for the next status round")
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

// lastDialError returns the error of the last attempt to open a connection, or nil if
// a connection is idle.
func (pool *pool) lastDialError() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.idle) > 0 {
		return nil
	}
	return pool.dialErr
}

// isAlive probes a connection that has been idle for probeAfterIdle, since a
// middlebox may have dropped it without closing it.
func (pool *pool) isAlive(ctx context.Context, conn *conn) bool {
	if time.Since(conn.lastUsedAt) < probeAfterIdle {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := conn.Query(ctx, "SELECT 1")
	return err == nil
}

// dialLocked opens one more connection in the background unless maxConns is reached.
// The mutex is held.
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

// dialTimeout bounds the opening of a connection, including its status query.
const dialTimeout = time.Second

// openConn opens a connection and queries the member's status over it.
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
		Conn: serverConn, role: status.Role(), term: status.FencedTerm(),
		applied: status.Applied(), openedAt: openedAt, lastUsedAt: time.Now(), prepared: map[string]struct{}{},
	}, nil
}

// notifyWaitersLocked wakes all requests that wait for a connection, to check again.
// The mutex is held.
func (pool *pool) notifyWaitersLocked() {
	if pool.connsChanged != nil {
		close(pool.connsChanged)
		pool.connsChanged = nil
	}
}

// returnConn makes a connection idle, or closes it if the pool is closed.
func (pool *pool) returnConn(conn *conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		conn.Close()
		pool.open--
		return
	}
	conn.lastUsedAt = time.Now()
	conn.lease = nil
	pool.idle = append(pool.idle, conn)
	pool.notifyWaitersLocked()
}

// closeConn closes a connection and removes it from the pool.
func (pool *pool) closeConn(conn *conn) {
	conn.Close()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
	pool.notifyWaitersLocked()
}
