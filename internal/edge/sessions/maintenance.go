package sessions

import (
	"context"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// maintenanceInterval is the time between two runs of maintain.
	maintenanceInterval = 100 * time.Millisecond
	// idleSampleAge is the age at which the sample of an instance that is not in use is
	// refreshed.
	idleSampleAge ebonywood.Millis = 1000
	// warmupPeriod is how long after its start a process does not rely on the reported
	// number of proxies that share the members.
	warmupPeriod ebonywood.Millis = 3000
	// warmupProxies is the minimum number of proxies that is assumed during warmupPeriod.
	warmupProxies = 8
	// quietPeriod is how long a member may send no position over connections in use
	// before it is probed over another one.
	quietPeriod ebonywood.Millis = 500
	// inUseWindow is how long after a statement that needed a floor an instance counts as
	// in use.
	inUseWindow ebonywood.Millis = 5000
	// probeTimeout bounds a probe over an open connection.
	probeTimeout = 300 * time.Millisecond
	// probeDialTimeout bounds the opening of a connection for a probe.
	probeDialTimeout = 400 * time.Millisecond
	// stallAllowance is how far a probe or ping may exceed its timeout before this process
	// itself counts as having stalled, which makes a failure meaningless.
	stallAllowance ebonywood.Millis = 120
	// probeInterval is the pause between two probes of a member that fails them.
	probeInterval = 150 * time.Millisecond
	// statusTimeout bounds the query for a member's replication status, retries included.
	statusTimeout = 220 * time.Millisecond
	// statusRetryDelay is the delay before the query is repeated after the member had no
	// slot or connection for it.
	statusRetryDelay = 15 * time.Millisecond
)

// maintain refreshes samples, adjusts pools to this process's share, pings proxies with
// overdue requests and updates the gauges. Refreshing the samples also detects, without
// any traffic, that a primary has failed.
func (edge *Edge) maintain() {
	snapshot := edge.port.Snapshot()
	set := snapshot.ObjectSet()
	if set == nil {
		return
	}
	edge.watchPeers()
	listed := map[ebonywood.MemberID]bool{}
	for _, configured := range set.Instances() {
		view, found := snapshot.View(configured.ID())
		if !found {
			continue
		}
		for _, member := range view.Members() {
			listed[member.Member().ID()] = true
		}
		if snapshot.IsWatched(configured.ID()) {
			edge.refreshSample(view)
		}
		edge.trim(snapshot, configured, view)
	}
	edge.dropUnlisted(listed)
	edge.updateGauges(snapshot)
}

// trim adjusts the pools of an instance to this process's share. For an instance that
// this process does not watch, the idle connections are closed.
func (edge *Edge) trim(snapshot *ebonywood.Snapshot, configured ebonywood.Instance, view *ebonywood.InstanceView) {
	if !snapshot.IsWatched(view.ID()) {
		for _, member := range view.Members() {
			if pool := edge.existingPool(member.Member().ID()); pool != nil {
				pool.closeIdle()
			}
		}
		return
	}
	connections := configured.MaxConnections()
	if connections == 0 {
		connections = defaultConnections
	}
	proxies := edge.proxyCount(snapshot, view.ID())
	share := shareConnections(connections, proxies)
	if snapshot.ObjectSet().RequiresWorkspace() {
		share = shareByWorkspace(connections, proxies)
	}
	for _, member := range view.Members() {
		edge.pool(view.ID(), member.Member()).trim(share, edge.slotShare(member.Member(), proxies))
	}
}

// closeIdle closes the idle connections, so that the proxies that now serve the member
// can open theirs.
func (pool *pool) closeIdle() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, conn := range pool.idle {
		conn.memberConn.Close()
		pool.open--
	}
	pool.idle = nil
	pool.resize()
}

// existingPool returns the pool of a member, nil if there is none.
func (edge *Edge) existingPool(id ebonywood.MemberID) *pool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return edge.pools[id]
}

// proxyCount returns how many proxies share the members of an instance. During
// warmupPeriod, before the reports of all other proxies have arrived, it is at least
// warmupProxies.
func (edge *Edge) proxyCount(snapshot *ebonywood.Snapshot, id ebonywood.InstanceID) int {
	count := len(snapshot.Owners().ForInstance(id))
	if count == 0 {
		count = snapshot.ReportCount()
	}
	if edge.now() < warmupPeriod {
		return max(count, warmupProxies)
	}
	return count
}

// connectionShare is this process's share of the connections to one member.
type connectionShare struct {
	// keepOpen is how many are kept open when they are idle, equal how many may always be
	// open and maxOpen how many while the other proxies leave theirs unused.
	keepOpen, equal, maxOpen int
	// openAtOnce is up to how many may be opened at the same time.
	openAtOnce int
}

// shareConnections divides the connections to a member. Callers are spread unevenly over
// the proxies, so each proxy keeps only half of an equal share and the rest is opened
// where it is needed. The sum of the shares may exceed the member's connections; a member
// that has none left refuses further ones.
func shareConnections(connections, proxies int) connectionShare {
	equal := (connections - reservedConnections) / max(1, proxies)
	keepOpen := max(1, equal/2)
	return connectionShare{
		keepOpen: keepOpen, equal: max(minConnections, equal+extraConnections), maxOpen: max(minConnections, equal+extraConnections, connections/3),
		openAtOnce: max(keepOpen, min(equal, minSlots)),
	}
}

// shareByWorkspace divides the connections to a member if each belongs to a workspace. Then
// a proxy nearly always has a use for a further one, so each keeps an equal share and
// replaces the connections in it.
func shareByWorkspace(connections, proxies int) connectionShare {
	equal := max(minConnections, (connections-reservedConnections)/max(1, proxies))
	return connectionShare{keepOpen: equal, maxOpen: equal, openAtOnce: equal}
}

// dropUnlisted closes and removes the pools of members that no instance lists any more.
func (edge *Edge) dropUnlisted(listed map[ebonywood.MemberID]bool) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for id, pool := range edge.pools {
		if !listed[id] {
			pool.close()
			delete(edge.pools, id)
		}
	}
}

// refreshSample starts a probe of the primary if the newest sample is too old and no such
// probe is in flight.
func (edge *Edge) refreshSample(view *ebonywood.InstanceView) {
	primary, found := view.Member(view.Primary())
	if !found {
		return
	}
	state := edge.primaryState(view.ID())
	now := edge.now()
	state.mutex.Lock()
	newest, any := state.samples.NewestSentAt()
	maxAge := idleSampleAge
	if now-state.usedAt < inUseWindow {
		maxAge = edge.limits.Millis(ebonywood.LimitSampleAge)
	}
	due := !state.probing && (!any || now-newest >= maxAge)
	state.probing = state.probing || due
	state.mutex.Unlock()
	if !due {
		return
	}
	edge.group.Go(func(context.Context) error {
		edge.pool(view.ID(), primary.Member()).probePrimary()
		state.mutex.Lock()
		state.probing = false
		state.mutex.Unlock()
		return nil
	})
}

// probePrimary begins a read-write transaction on the member and rolls it back, which
// proves whether the member is the primary, and records the result. It does nothing if
// it would need a further connection to an active member.
func (pool *pool) probePrimary() {
	conn := pool.takeAnyIdle()
	if conn == nil && pool.isActive() {
		return
	}
	if conn == nil {
		dialed, fault := pool.dial("", probeDialTimeout)
		if fault != nil {
			return
		}
		conn = dialed
	}
	sentAt := pool.edge.now()
	replies, err := conn.memberConn.Exchange([]ebonywood.Statement{
		ebonywood.NewInternalStatement(ebonywood.VerbBegin, "", ""),
		ebonywood.NewInternalStatement(ebonywood.VerbRollback, "", ""),
	}, probeTimeout)
	pool.returnConn(conn, err != nil)
	if err != nil {
		pool.suspect()
		return
	}
	pool.recordPosition(replies[0].Position())
	switch replies[0].Code() {
	case ebonywood.CodeDone:
		pool.edge.recordPrimary(pool, sentAt, replies[0].Position())
	case ebonywood.CodeReadOnly:
		pool.edge.reportNotPrimary(pool)
	}
}

// isActive reports whether connections are in use and the member reported a position
// within quietPeriod, so that the state of the member is known without a probe.
func (pool *pool) isActive() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.admission.Running() > 0 && pool.edge.now()-pool.positionAt < quietPeriod
}

// queryStatus queries the member's replication status and posts the result to the control
// loop. With a term other than 0 it pauses the member.
func (pool *pool) queryStatus(pauseAt ebonywood.Term) {
	status, fault := pool.askRepeatedly(func(conn ebonywood.MemberConn, timeout time.Duration) (ebonywood.ReplicationStatus, error) {
		if pauseAt > 0 {
			return conn.PauseReplication(pauseAt, timeout)
		}
		return conn.Status(timeout)
	})
	pool.edge.post(ebonywood.NewReplicationStatusReceived(pool.instance, pool.member.ID(), status, fault).WithPause(pauseAt))
}

// resumeReplication ends a pause of the member and logs the result. A pause that could not
// be ended is ended by the next promotion or the member's restart.
func (pool *pool) resumeReplication() {
	_, fault := pool.askRepeatedly(func(conn ebonywood.MemberConn, timeout time.Duration) (ebonywood.ReplicationStatus, error) {
		return ebonywood.ReplicationStatus{}, conn.ResumeReplication(timeout)
	})
	reason := ""
	if fault != nil {
		reason = fault.Error()
	}
	pool.edge.port.Log().Info("replicationResumed", "instance", pool.instance, "member", pool.member.ID(), "fault", reason)
}

// askRepeatedly sends a command to the member. While the member has no slot or connection
// for it, it is repeated until statusTimeout has passed.
func (pool *pool) askRepeatedly(command statusCommand) (ebonywood.ReplicationStatus, *ebonywood.Fault) {
	deadline := time.Now().Add(statusTimeout)
	for {
		status, fault := pool.askOnce(command, time.Until(deadline))
		if fault == nil || fault.Kind() != ebonywood.KindOverload || time.Now().Add(statusRetryDelay).After(deadline) {
			return status, fault
		}
		time.Sleep(statusRetryDelay)
	}
}

// statusCommand is a command to a member that returns its replication status.
type statusCommand func(conn ebonywood.MemberConn, timeout time.Duration) (ebonywood.ReplicationStatus, error)

// askOnce sends a command to the member over one connection. A failure to connect or of
// the command, other than KindOverload, starts a probe of the member.
func (pool *pool) askOnce(command statusCommand, timeout time.Duration) (ebonywood.ReplicationStatus, *ebonywood.Fault) {
	conn := pool.takeAnyIdle()
	if conn == nil {
		dialed, fault := pool.dial("", timeout)
		if fault != nil {
			return ebonywood.ReplicationStatus{}, fault
		}
		conn = dialed
	}
	status, err := command(conn.memberConn, timeout)
	if err == nil {
		pool.returnConn(conn, false)
		return status, nil
	}
	fault := ebonywood.FaultOf(err)
	refused := fault.Kind() == ebonywood.KindOverload
	pool.returnConn(conn, !refused)
	if !refused {
		pool.suspect()
	}
	return ebonywood.ReplicationStatus{}, fault
}

// suspect starts probing the member over new connections after one of its connections
// failed, unless a probe is already running.
func (pool *pool) suspect() {
	pool.mutex.Lock()
	start := !pool.probing && !pool.closed
	pool.probing = pool.probing || start
	pool.mutex.Unlock()
	if start {
		pool.edge.group.Go(pool.probeLoop)
	}
}

// probeLoop probes the member until a probe succeeds or the pool is closed, and records
// its reachability.
func (pool *pool) probeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		reached, done := pool.probeOnce()
		pool.setUnreachable(!reached)
		if done {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
	pool.mutex.Lock()
	pool.probing = false
	pool.mutex.Unlock()
	return nil
}

// probeOnce opens one connection to the member and returns whether the member is
// reachable; done reports that no further probe is needed. A member that refuses the
// connection with KindOverload is reachable. A probe that fails while this process itself
// was stalled changes nothing.
func (pool *pool) probeOnce() (reached, done bool) {
	startedAt := pool.edge.now()
	conn, position, err := pool.edge.port.Dialer().Dial(pool.instance, pool.member, "", probeDialTimeout)
	stalled := pool.edge.now()-startedAt > ebonywood.MillisOf(probeDialTimeout)+stallAllowance
	pool.mutex.Lock()
	closed, wasUnreachable := pool.closed, pool.unreachable
	pool.mutex.Unlock()
	if err != nil && stalled {
		return !wasUnreachable, closed
	}
	if err != nil {
		reached = ebonywood.FaultOf(err).Kind() == ebonywood.KindOverload
		return reached, reached || closed
	}
	pool.recordPosition(position)
	pool.mutex.Lock()
	pool.open++
	pool.mutex.Unlock()
	pool.returnConn(&pooledConn{
		memberConn: conn, pool: pool, settings: map[string]string{}, prepared: map[string]struct{}{},
	}, false)
	return true, true
}

// setUnreachable records whether new connections fail and posts a change to the control
// loop. When the member becomes unreachable, idle connections are closed and repeatable
// exchanges are interrupted.
func (pool *pool) setUnreachable(unreachable bool) {
	pool.mutex.Lock()
	changed := pool.unreachable != unreachable && !pool.closed
	pool.unreachable = unreachable
	if changed && unreachable {
		for _, conn := range pool.idle {
			conn.memberConn.Close()
			pool.open--
		}
		pool.idle = nil
		for conn := range pool.interruptible {
			conn.memberConn.Interrupt()
		}
	}
	pool.mutex.Unlock()
	if changed {
		pool.edge.post(ebonywood.NewMemberReachabilityChanged(pool.instance, pool.member.ID(), !unreachable))
	}
}
