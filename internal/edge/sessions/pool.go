package sessions

import (
	"fmt"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/admission"
)

const (
	// dialLimit bounds the opening of a connection for a request.
	dialLimit = 600 * time.Millisecond
	// reservedConnections of a member are left for proxies that join.
	reservedConnections = 2
	// borrowed is how many connections a proxy may open beyond an equal share.
	borrowed = 1
	// leastConnections is the least share of a proxy.
	leastConnections = 2
	// defaultConnections is the cap of a member that names none.
	defaultConnections = 20
	// crowdedSpan is how long a member that had no connection left isn't asked for
	// another one.
	crowdedSpan ebonywood.Millis = 200
	// crowdedPause is the wait before a connection that stands is looked for again.
	crowdedPause = 5 * time.Millisecond
	// laggedSpan is how long a replica that lacked a floor is passed over for
	// floors that it is not known to hold.
	laggedSpan ebonywood.Millis = 150
	// halfLife is how fast a member's observed slowness is forgotten.
	halfLife = 2000.0
)

// link is one connection of a pool with what a session has set on it.
type link struct {
	conn     ebonywood.MemberConn
	pool     *pool
	settings map[string]string
	names    map[string]struct{}
	// unclear says that what is set on the connection is not known.
	unclear bool
	lastUse ebonywood.Millis
}

// pool shares the connections to one member among the sessions of this process.
type pool struct {
	edge     *Edge
	instance ebonywood.InstanceID
	member   ebonywood.Member
	// admission lets statements wait for the connections.
	admission *admission.Admission
	// slots lets them wait for their turn at the member.
	slots *admission.Admission

	mutex sync.Mutex
	idle  []*link
	// working are the links whose exchange may be given up, because it can be run
	// elsewhere.
	working map[*link]struct{}
	open    int
	dialing int
	most    int
	closed  bool
	// silent says that fresh connections fail, too.
	silent   bool
	checking bool
	// crowded is until when no further connection is tried.
	crowded ebonywood.Millis
	known   ebonywood.Position
	// heard is when the member last told its position.
	heard   ebonywood.Millis
	lagged  ebonywood.Millis
	delay   float64
	delayAt ebonywood.Millis
}

func newPool(edge *Edge, instance ebonywood.InstanceID, member ebonywood.Member) *pool {
	return &pool{
		edge: edge, instance: instance, member: member,
		admission: admission.New(1), slots: admission.New(leastSlots), most: leastConnections,
		working: map[*link]struct{}{},
	}
}

// lease is a link that works for one session, with its place in the queue.
type lease struct {
	*link
	ticket uint64
	shape  uint64
	began  time.Time
}

// lease waits for a connection until the deadline. Its faults prove that nothing
// was sent: KindOverload, the wait would be too long; KindUnavailable, the member
// can't be reached.
func (pool *pool) lease(each *attempt, shape uint64) (*lease, *ebonywood.Fault) {
	for {
		ticket, fault := pool.enter(each, shape)
		if fault != nil {
			return nil, fault
		}
		taken, fault := pool.connect(dialLimit)
		if fault == nil {
			return &lease{link: taken, ticket: ticket, shape: shape, began: time.Now()}, nil
		}
		if !pool.leaveEmpty(ticket) || fault.Kind() != ebonywood.KindOverload {
			return nil, fault
		}
		time.Sleep(crowdedPause)
	}
}

// leaveEmpty gives up a place for which there was no connection, and reports
// whether other connections stand that may become free.
func (pool *pool) leaveEmpty(ticket uint64) (others bool) {
	pool.admission.Leave(ticket, 0)
	return pool.admission.Running() > 0
}

// enter waits for a place among those that use connections.
func (pool *pool) enter(each *attempt, shape uint64) (uint64, *ebonywood.Fault) {
	if pool.isUnusable() {
		return 0, pool.unavailable("the member does not answer")
	}
	expected := pool.edge.expect(shape)
	until := each.waitsUntil(time.Now())
	ticket, wait, err := pool.admission.Enter(pool.edge.group.Context(), each.route, shape, expected, true, until.Add(expected), until)
	if err != nil {
		return 0, pool.overloaded(wait)
	}
	return ticket, nil
}

func (pool *pool) isUnusable() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.closed || pool.silent
}

// connect takes the connection used last, so that others can age, or opens one.
func (pool *pool) connect(limit time.Duration) (*link, *ebonywood.Fault) {
	if taken := pool.takeIdle(); taken != nil {
		return taken, nil
	}
	return pool.dial(limit)
}

func (pool *pool) takeIdle() *link {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	count := len(pool.idle)
	if count == 0 {
		return nil
	}
	taken := pool.idle[count-1]
	pool.idle = pool.idle[:count-1]
	return taken
}

func (pool *pool) dial(limit time.Duration) (*link, *ebonywood.Fault) {
	pool.mutex.Lock()
	if pool.closed {
		pool.mutex.Unlock()
		return nil, pool.unavailable("the member was withdrawn")
	}
	if pool.crowded > pool.edge.now() {
		pool.mutex.Unlock()
		return nil, pool.crowdedFault()
	}
	pool.open++
	pool.dialing++
	pool.mutex.Unlock()
	conn, at, err := pool.edge.port.Dialer().Dial(pool.instance, pool.member, limit)
	pool.mutex.Lock()
	pool.dialing--
	if err == nil {
		pool.resize()
		pool.mutex.Unlock()
		pool.learnPosition(at)
		return &link{
			conn: conn, pool: pool, settings: map[string]string{}, names: map[string]struct{}{},
			lastUse: pool.edge.now(),
		}, nil
	}
	fault := ebonywood.FaultOf(err)
	pool.open--
	if fault.Kind() == ebonywood.KindOverload {
		pool.crowded = pool.edge.now() + crowdedSpan
	}
	pool.resize()
	pool.mutex.Unlock()
	pool.edge.counters.count("dialFailed", fault.Kind().String())
	if fault.Kind() != ebonywood.KindOverload {
		pool.suspect()
	}
	return nil, fault
}

// resize lets requests share the connections that stand and at most one that is
// being opened, since the opening of a connection holds a slot of the member. While
// the member has no connection left none is opened. The mutex is held.
func (pool *pool) resize() {
	standing := pool.open - pool.dialing
	if pool.edge.now() < pool.crowded {
		pool.admission.Resize(max(1, standing))
		return
	}
	pool.admission.Resize(min(pool.most, standing+1))
}

// release ends a lease. A broken connection is closed.
func (pool *pool) release(each *lease, broken bool) {
	took := time.Since(each.began)
	pool.edge.learn(each.shape, took)
	pool.giveBack(each.link, broken)
	pool.admission.Leave(each.ticket, took)
	if broken {
		pool.suspect()
	}
}

func (pool *pool) giveBack(each *link, broken bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if broken || pool.closed {
		each.conn.Close()
		pool.open--
		pool.resize()
		return
	}
	each.lastUse = pool.edge.now()
	pool.idle = append(pool.idle, each)
}

// trim adjusts the pool to its share of the member's connections.
func (pool *pool) trim(keep, most, slots int) {
	pool.slots.Resize(slots)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.edge.now()
	idleLimit := pool.edge.limits.Millis(ebonywood.LimitIdleConnection)
	pool.most = most
	pool.resize()
	for len(pool.idle) > 0 && pool.open > keep && now-pool.idle[0].lastUse > idleLimit {
		pool.idle[0].conn.Close()
		pool.idle = pool.idle[1:]
		pool.open--
	}
}

func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, each := range pool.idle {
		each.conn.Close()
		pool.open--
	}
	pool.idle = nil
	pool.admission.RefuseAll()
	pool.slots.RefuseAll()
}

// learnPosition takes the end of the member's log as it last told it.
func (pool *pool) learnPosition(at ebonywood.Position) {
	if at.IsZero() {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.known = at
	pool.heard = pool.edge.now()
}

// markLagging notes that the member lacked a floor.
func (pool *pool) markLagging() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.lagged = pool.edge.now()
}

// learnDelay takes how much longer than expected a read took.
func (pool *pool) learnDelay(took, expected time.Duration) {
	excess := max(0, (took-expected).Seconds()*1000)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.delay += 0.15 * (excess - pool.delay)
	pool.delayAt = pool.edge.now()
}

func (pool *pool) unavailable(why string) *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindUnavailable, fmt.Sprintf("%s: %s", pool.member.ID(), why),
		"send the request again; it was not run")
}

func (pool *pool) overloaded(wait time.Duration) *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindOverload,
		fmt.Sprintf("the predicted wait for %s is %d ms", pool.member.ID(), wait.Milliseconds()),
		"send the request again; it was not run")
}

func (pool *pool) crowdedFault() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindOverload, fmt.Sprintf("%s has no connection left", pool.member.ID()),
		"send the request again; it was not run")
}
