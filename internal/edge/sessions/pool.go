package sessions

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/admission"
)

const (
	// dialTimeout bounds the opening of a connection for a request.
	dialTimeout = 600 * time.Millisecond
	// reservedConnections is how many of a member's connections are left for proxies
	// that join.
	reservedConnections = 2
	// extraConnections is how many connections a proxy may open beyond an equal share.
	extraConnections = 1
	// minConnections is the minimum number of connections that a proxy may open to a
	// member.
	minConnections = 2
	// defaultConnections is the connection limit of the members of an instance that is
	// configured without one.
	defaultConnections = 20
	// fullBackoff is how long no connection is opened to a member that reported that it
	// has none left.
	fullBackoff ebonywood.Millis = 200
	// fullRetryDelay is the delay before a request waits for one of the open connections
	// after the member had no further one left.
	fullRetryDelay = 5 * time.Millisecond
	// laggedPeriod is how long a replica that lacked a floor is not used for floors
	// beyond its last reported position.
	laggedPeriod ebonywood.Millis = 150
)

// pooledConn is a pooled connection to a member, with the settings and the prepared
// statements that it holds.
type pooledConn struct {
	memberConn ebonywood.MemberConn
	pool       *pool
	// workspace names the workspace whose statements the connection runs; empty for none.
	workspace string
	settings  map[string]string
	// prepared holds the names of the prepared statements.
	prepared map[string]struct{}
	// stateUnknown reports that the connection may hold other settings and prepared
	// statements than recorded here, so that it has to be reset.
	stateUnknown bool
	lastUsedAt   ebonywood.Millis
}

// pool shares the connections to one member among the sessions of this process and
// tracks the member's reachability, log position and slowness.
type pool struct {
	edge     *Edge
	instance ebonywood.InstanceID
	member   ebonywood.Member
	// admission queues requests for a connection.
	admission *admission.Controller
	// slots queues statements for a slot of the member.
	slots *admission.Controller

	mutex sync.Mutex
	idle  []*pooledConn
	// interruptible holds the connections whose exchange may be interrupted, because its
	// statements can be repeated at another member.
	interruptible map[*pooledConn]struct{}
	// open counts all connections, including the dialing ones that are being opened.
	open    int
	dialing int
	share   connectionShare
	lent    lentLimits
	closed  bool
	// unreachable reports that new connections to the member fail.
	unreachable bool
	probing     bool
	// fullUntil is the time until which no further connection is opened.
	fullUntil ebonywood.Millis
	// position is the last reported end of the member's log.
	position ebonywood.Position
	// positionAt is when the position was received.
	positionAt ebonywood.Millis
	// laggedAt is when the member last lacked the floor of a statement.
	laggedAt ebonywood.Millis
	// slowness is the moving average of the ratio of the reads' times to the expected ones,
	// 0 before the first read, as of slownessAt.
	slowness   float64
	slownessAt ebonywood.Millis
}

func newPool(edge *Edge, instance ebonywood.InstanceID, member ebonywood.Member) *pool {
	return &pool{
		edge: edge, instance: instance, member: member,
		admission: admission.New(1), slots: admission.New(minSlots), lent: newLentLimits(),
		interruptible: map[*pooledConn]struct{}{},
	}
}

// lease is a connection that is in use by one session, with its admission ticket.
type lease struct {
	*pooledConn
	ticket    uint64
	shape     uint64
	startedAt time.Time
}

// lease waits for a connection until the attempt's wait deadline. Its faults prove that
// nothing was sent: KindOverload, the wait would be too long or the member has no
// connection left; KindUnavailable, the member can't be reached or was withdrawn;
// KindDenied, another member responded.
func (pool *pool) lease(attempt *attempt, shape uint64) (*lease, *ebonywood.Fault) {
	for {
		ticket, fault := pool.enter(attempt, shape)
		if fault != nil {
			return nil, fault
		}
		conn, fault := pool.connect(attempt.workspaceName(), dialTimeout)
		if fault == nil {
			return &lease{pooledConn: conn, ticket: ticket, shape: shape, startedAt: time.Now()}, nil
		}
		if !pool.leaveUnused(ticket) || fault.Kind() != ebonywood.KindOverload {
			return nil, fault
		}
		time.Sleep(fullRetryDelay)
	}
}

// leaveUnused releases an admission ticket for which no connection could be opened, and
// reports whether other connections are in use that may become free.
func (pool *pool) leaveUnused(ticket uint64) (others bool) {
	pool.admission.Release(ticket, 0)
	return pool.admission.Running() > 0
}

// enter waits for admission to the pool's connections and returns the ticket. Its faults:
// KindOverload, the wait would be too long; KindUnavailable, the member can't be reached.
func (pool *pool) enter(attempt *attempt, shape uint64) (uint64, *ebonywood.Fault) {
	if pool.isUnusable() {
		return 0, pool.unavailableFault("the member does not respond")
	}
	expected := pool.edge.expectedCost(shape)
	waitUntil := attempt.waitDeadline(time.Now())
	ticket, wait, err := pool.admission.AcquireFor(attempt.awaited, attempt.route, attempt.workspace, shape, expected,
		attempt.inTimeUntil(), earlier(attempt.deadline, waitUntil.Add(expected)), waitUntil)
	if err != nil {
		attempt.refuse(wait)
		return 0, pool.overloadFault(wait)
	}
	return ticket, nil
}

func (pool *pool) isUnusable() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.closed || pool.unreachable
}

// connect returns the workspace's most recently used idle connection, so that surplus ones
// can reach their idle limit, or opens a new one.
func (pool *pool) connect(workspace string, timeout time.Duration) (*pooledConn, *ebonywood.Fault) {
	if conn := pool.takeIdle(workspace); conn != nil {
		return conn, nil
	}
	return pool.dial(workspace, timeout)
}

// takeIdle returns the workspace's most recently used idle connection, nil if there is none.
func (pool *pool) takeIdle(workspace string) *pooledConn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for i := len(pool.idle) - 1; i >= 0; i-- {
		if pool.idle[i].workspace == workspace {
			return pool.removeIdle(i)
		}
	}
	return nil
}

// takeAnyIdle returns the most recently used idle connection of any workspace, nil if there
// is none. It is for statements that the proxy itself issues.
func (pool *pool) takeAnyIdle() *pooledConn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.idle) == 0 {
		return nil
	}
	return pool.removeIdle(len(pool.idle) - 1)
}

// removeIdle removes and returns an idle connection by its index. The mutex is held.
func (pool *pool) removeIdle(index int) *pooledConn {
	conn := pool.idle[index]
	pool.idle = slices.Delete(pool.idle, index, index+1)
	return conn
}

// closeLeastRecentlyUsed closes the idle connection that was used longest ago. There is one,
// and the mutex is held.
func (pool *pool) closeLeastRecentlyUsed() {
	pool.removeIdle(0).memberConn.Close()
	pool.open--
	pool.edge.counters.count("connectionsReplaced", "workspace")
}

// hasIdle reports whether there is an idle connection of the workspace. The mutex is held.
func (pool *pool) hasIdle(workspace string) bool {
	return slices.ContainsFunc(pool.idle, func(conn *pooledConn) bool { return conn.workspace == workspace })
}

// dial opens a connection for a workspace. If this process may open no further one, it
// replaces an idle connection of another workspace. A fault other than KindOverload starts a
// probe of the member.
func (pool *pool) dial(workspace string, timeout time.Duration) (*pooledConn, *ebonywood.Fault) {
	pool.mutex.Lock()
	if pool.closed {
		pool.mutex.Unlock()
		return nil, pool.unavailableFault("the member was withdrawn")
	}
	if pool.fullUntil > pool.edge.now() {
		// An idle connection of another workspace makes room at the member.
		if len(pool.idle) == 0 {
			pool.mutex.Unlock()
			return nil, pool.fullFault()
		}
		pool.closeLeastRecentlyUsed()
	}
	// After a share became smaller, there may be several connections too many.
	for pool.open >= pool.lent.connections.Value() && len(pool.idle) > 0 {
		pool.closeLeastRecentlyUsed()
	}
	pool.open++
	pool.dialing++
	pool.mutex.Unlock()
	conn, position, err := pool.edge.port.Dialer().Dial(pool.instance, pool.member, workspace, timeout)
	pool.mutex.Lock()
	pool.dialing--
	if err == nil {
		pool.resize()
		pool.mutex.Unlock()
		pool.recordPosition(position)
		return &pooledConn{
			memberConn: conn, pool: pool, workspace: workspace,
			settings: map[string]string{}, prepared: map[string]struct{}{}, lastUsedAt: pool.edge.now(),
		}, nil
	}
	fault := ebonywood.FaultOf(err)
	pool.open--
	if fault.Kind() == ebonywood.KindOverload {
		pool.fullUntil = pool.edge.now() + fullBackoff
		pool.lent.connections.Refused(pool.edge.now().Duration())
	}
	pool.resize()
	pool.mutex.Unlock()
	pool.edge.counters.count("dialFailed", fault.Kind().String())
	if fault.Kind() != ebonywood.KindOverload {
		pool.suspect()
	}
	return nil, fault
}

// resize sets the admission limit to the established connections plus one that may be opened,
// and at most to what is lent, which established ones may exceed. Beyond openAtOnce, requests
// open no more than one at a time, since opening a connection occupies a slot of the member. Up
// to there they open as many as they need: after a start all callers come at once. While the
// member has no connection left, none is opened. The mutex is held.
func (pool *pool) resize() {
	established := pool.open - pool.dialing
	if pool.edge.now() < pool.fullUntil {
		pool.admission.Resize(max(1, established))
		return
	}
	limit := max(pool.lent.connections.Value(), established)
	pool.admission.Resize(min(limit, max(established+1, pool.share.openAtOnce)))
}

// release ends a lease and records its cost. A broken connection is closed and the
// member is probed.
func (pool *pool) release(lease *lease, broken bool) {
	elapsed := time.Since(lease.startedAt)
	pool.edge.recordCost(lease.shape, elapsed)
	lease.forgetLargeSettings()
	pool.returnConn(lease.pooledConn, broken)
	pool.admission.Release(lease.ticket, elapsed)
	if broken {
		pool.suspect()
	}
}

// returnConn returns a connection to the idle ones, or closes it if it is broken or the
// pool is closed.
func (pool *pool) returnConn(conn *pooledConn, broken bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if broken || pool.closed {
		conn.memberConn.Close()
		pool.open--
		pool.resize()
		return
	}
	conn.lastUsedAt = pool.edge.now()
	pool.idle = append(pool.idle, conn)
}

// trim applies this process's share of the member's connections and slots. Connections
// above the share's keepOpen are closed once they exceed the idle limit.
func (pool *pool) trim(share connectionShare, slots int) {
	pool.lendSlots(slots)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.edge.now()
	maxIdle := pool.edge.limits.Millis(ebonywood.LimitIdleConnection)
	pool.lendConnections(share)
	pool.resize()
	for len(pool.idle) > 0 && pool.open > share.keepOpen && now-pool.idle[0].lastUsedAt > maxIdle {
		pool.idle[0].memberConn.Close()
		pool.idle = pool.idle[1:]
		pool.open--
	}
}

// close closes the idle connections and refuses everything that waits. Connections in
// use are closed when they are returned.
func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, conn := range pool.idle {
		conn.memberConn.Close()
		pool.open--
	}
	pool.idle = nil
	pool.admission.RefuseAll()
	pool.slots.RefuseAll()
}

// recordPosition records the end of the member's log as the member reports it. A zero
// position is ignored.
func (pool *pool) recordPosition(position ebonywood.Position) {
	if position.IsZero() {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.position = position
	pool.positionAt = pool.edge.now()
}

// markLagging records that the member refused a statement because its log lacks the
// floor.
func (pool *pool) markLagging() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.laggedAt = pool.edge.now()
}

func (pool *pool) unavailableFault(reason string) *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindUnavailable, fmt.Sprintf("%s: %s", pool.member.ID(), reason),
		"send the request again; it was not run")
}

func (pool *pool) overloadFault(wait time.Duration) *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindOverload,
		fmt.Sprintf("the predicted wait for %s is %d ms", pool.member.ID(), wait.Milliseconds()),
		"send the request again; it was not run")
}

func (pool *pool) fullFault() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindOverload, fmt.Sprintf("%s has no connection left", pool.member.ID()),
		"send the request again; it was not run")
}
