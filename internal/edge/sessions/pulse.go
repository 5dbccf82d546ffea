package sessions

import (
	"context"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// pulsePeriod is how often the edge looks after samples and pools.
	pulsePeriod = 100 * time.Millisecond
	// idleSampleSpan is the age at which an instance that no caller needs gets another
	// sample.
	idleSampleSpan ebonywood.Millis = 1000
	// guessSpan is how long after its start a process guesses how many proxies
	// share the members.
	guessSpan ebonywood.Millis = 3000
	// guessedProxies is that guess.
	guessedProxies = 8
	// quietSpan is how long a member may tell nothing over connections in use
	// before it is asked over another one.
	quietSpan ebonywood.Millis = 500
	// inUse is how long after a statement an instance counts as in use.
	inUse ebonywood.Millis = 5000
	// askLimit bounds a question over a connection that stands.
	askLimit = 300 * time.Millisecond
	// checkLimit bounds the opening of a connection that only asks whether the
	// member lives.
	checkLimit = 400 * time.Millisecond
	// stallSpan is how much longer than its limit an attempt may take.
	stallSpan ebonywood.Millis = 120
	// checkPause is the time between two such attempts.
	checkPause = 150 * time.Millisecond
	// standingLimit bounds the asking for a standing, refusals included.
	standingLimit = 220 * time.Millisecond
	// standingPause follows a refusal for lack of a slot.
	standingPause = 15 * time.Millisecond
)

// lookAfter keeps samples young, which is also how a primary that died is noticed
// without traffic, and keeps pools at their share.
func (edge *Edge) lookAfter() {
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
		for _, each := range view.Members() {
			listed[each.Member().ID()] = true
		}
		if snapshot.IsWatched(configured.ID()) {
			edge.refresh(view)
		}
		edge.trim(snapshot, configured, view)
	}
	edge.dropUnlisted(listed)
	edge.measure(snapshot)
}

// trim adjusts the pools of an instance to this process's share.
func (edge *Edge) trim(snapshot *ebonywood.Snapshot, configured ebonywood.Instance, view *ebonywood.InstanceView) {
	if !snapshot.IsWatched(view.ID()) {
		for _, each := range view.Members() {
			if known := edge.known(each.Member().ID()); known != nil {
				known.retire()
			}
		}
		return
	}
	connections := configured.MaxConnections()
	if connections == 0 {
		connections = defaultConnections
	}
	proxies := edge.proxies(snapshot, view.ID())
	keep, most := share(connections, proxies)
	for _, each := range view.Members() {
		edge.pool(view.ID(), each.Member()).trim(keep, most, edge.slotsOf(each.Member(), proxies))
	}
}

// retire closes the connections that nothing uses, so that the proxies that serve the
// member now can open theirs.
func (pool *pool) retire() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, each := range pool.idle {
		each.conn.Close()
		pool.open--
	}
	pool.idle = nil
	pool.resize()
}

// known finds the pool of a member, nil if there is none.
func (edge *Edge) known(id ebonywood.MemberID) *pool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return edge.pools[id]
}

// proxies is how many proxies share the members of an instance. Until the reports
// of the others had time to arrive it is a guess.
func (edge *Edge) proxies(snapshot *ebonywood.Snapshot, id ebonywood.InstanceID) int {
	count := len(snapshot.Owners().Of(id))
	if count == 0 {
		count = snapshot.ReportCount()
	}
	if edge.now() < guessSpan {
		return max(count, guessedProxies)
	}
	return count
}

// share is how many connections to one member this process may keep idle, and how
// many it may open. Callers are spread unevenly over the proxies, so each keeps
// only half of an equal share and the rest goes where it is needed; a member that
// has no connection left says so.
func share(connections, proxies int) (keep, most int) {
	equal := (connections - reservedConnections) / max(1, proxies)
	return max(1, equal/2), max(leastConnections, equal+borrowed, connections/3)
}

// dropUnlisted closes the pools of members that are gone.
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

// refresh asks the primary for a sample if the newest one is too old.
func (edge *Edge) refresh(view *ebonywood.InstanceView) {
	primary, found := view.Member(view.Primary())
	if !found {
		return
	}
	known := edge.leader(view.ID())
	now := edge.now()
	known.mutex.Lock()
	newest, any := known.samples.Newest()
	span := idleSampleSpan
	if now-known.used < inUse {
		span = edge.limits.Millis(ebonywood.LimitSampleAge)
	}
	due := !known.asking && (!any || now-newest >= span)
	known.asking = known.asking || due
	known.mutex.Unlock()
	if !due {
		return
	}
	edge.group.Go(func(context.Context) error {
		edge.pool(view.ID(), primary.Member()).askLead()
		known.mutex.Lock()
		known.asking = false
		known.mutex.Unlock()
		return nil
	})
}

// askLead opens a plain transaction on the member and ends it, which proves
// whether the member leads.
func (pool *pool) askLead() {
	each := pool.takeIdle()
	if each == nil && pool.isBusy() {
		return
	}
	if each == nil {
		opened, fault := pool.dial(checkLimit)
		if fault != nil {
			return
		}
		each = opened
	}
	asked := pool.edge.now()
	replies, err := each.conn.Exchange([]ebonywood.Statement{
		ebonywood.NewInternalStatement(ebonywood.VerbBegin, "", ""),
		ebonywood.NewInternalStatement(ebonywood.VerbRollback, "", ""),
	}, askLimit)
	pool.giveBack(each, err != nil)
	if err != nil {
		pool.suspect()
		return
	}
	pool.learnPosition(replies[0].Position())
	switch replies[0].Code() {
	case ebonywood.CodeDone:
		pool.edge.note(pool, asked, replies[0].Position())
	case ebonywood.CodeReadOnly:
		pool.edge.deny(pool)
	}
}

// isBusy reports whether all connections work for callers and one of them has
// told something lately; then no further one is needed to know how the member
// stands.
func (pool *pool) isBusy() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.admission.Running() > 0 && pool.edge.now()-pool.heard < quietSpan
}

// askStanding asks the member for its account of itself until it has a slot for
// the question.
func (pool *pool) askStanding() {
	until := time.Now().Add(standingLimit)
	for {
		standing, fault := pool.standing(time.Until(until))
		if fault == nil || fault.Kind() != ebonywood.KindOverload || time.Now().Add(standingPause).After(until) {
			pool.edge.post(ebonywood.NewReplicationStatusReceived(pool.instance, pool.member.ID(), standing, fault))
			return
		}
		time.Sleep(standingPause)
	}
}

func (pool *pool) standing(limit time.Duration) (ebonywood.ReplicationStatus, *ebonywood.Fault) {
	each, fault := pool.connect(limit)
	if fault != nil {
		return ebonywood.ReplicationStatus{}, fault
	}
	standing, err := each.conn.Status(limit)
	if err == nil {
		pool.giveBack(each, false)
		return standing, nil
	}
	fault = ebonywood.FaultOf(err)
	refused := fault.Kind() == ebonywood.KindOverload
	pool.giveBack(each, !refused)
	if !refused {
		pool.suspect()
	}
	return ebonywood.ReplicationStatus{}, fault
}

// suspect finds out over fresh connections whether a member still answers after
// one of its connections failed.
func (pool *pool) suspect() {
	pool.mutex.Lock()
	begin := !pool.checking && !pool.closed
	pool.checking = pool.checking || begin
	pool.mutex.Unlock()
	if begin {
		pool.edge.group.Go(pool.check)
	}
}

func (pool *pool) check(ctx context.Context) error {
	for ctx.Err() == nil {
		reached, done := pool.tryReach()
		pool.setSilent(!reached)
		if done {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkPause):
		}
	}
	pool.mutex.Lock()
	pool.checking = false
	pool.mutex.Unlock()
	return nil
}

// tryReach opens one connection; done says that no further attempt is needed. An
// attempt during which this process stood still itself says nothing.
func (pool *pool) tryReach() (reached, done bool) {
	asked := pool.edge.now()
	conn, at, err := pool.edge.port.Dialer().Dial(pool.instance, pool.member, checkLimit)
	stalled := pool.edge.now()-asked > ebonywood.MillisOf(checkLimit)+stallSpan
	pool.mutex.Lock()
	closed, silent := pool.closed, pool.silent
	pool.mutex.Unlock()
	if err != nil && stalled {
		return !silent, closed
	}
	if err != nil {
		reached = ebonywood.FaultOf(err).Kind() == ebonywood.KindOverload
		return reached, reached || closed
	}
	pool.learnPosition(at)
	pool.mutex.Lock()
	pool.open++
	pool.mutex.Unlock()
	pool.giveBack(&link{
		conn: conn, pool: pool, settings: map[string]string{}, names: map[string]struct{}{},
	}, false)
	return true, true
}

// setSilent notes whether fresh connections fail, and tells the control loop when
// that changed.
func (pool *pool) setSilent(silent bool) {
	pool.mutex.Lock()
	changed := pool.silent != silent && !pool.closed
	pool.silent = silent
	if changed && silent {
		for _, each := range pool.idle {
			each.conn.Close()
			pool.open--
		}
		pool.idle = nil
		for each := range pool.working {
			each.conn.Interrupt()
		}
	}
	pool.mutex.Unlock()
	if changed {
		pool.edge.post(ebonywood.NewMemberReachabilityChanged(pool.instance, pool.member.ID(), !silent))
	}
}
