package target

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/confirmation"
	"github.com/ebonywood/ebonywood/internal/pgconn"
)

const (
	// confirmTimeout bounds the confirmation of one batch.
	confirmTimeout = 2 * time.Second
	// confirmWait bounds how long a member waits, in one query, until it has stored
	// the position. It is short so that a lagging member, which then returns an error,
	// can be distinguished from a connection that has gone silent.
	confirmWait = 200 * time.Millisecond
	// minReportInterval is the minimum time between two status reports of one
	// member to the control loop.
	minReportInterval ebonywood.Millis = 2
	// confirmRetryDelay is the delay before a failed confirmation query is retried.
	confirmRetryDelay = 5 * time.Millisecond
)

// outcome is the result of confirming one transaction. If it is confirmed, position
// covers everything that the transaction committed or read.
type outcome struct {
	confirmed bool
	position  ebonywood.Position
}

// confirmer confirms the transactions that ended on one instance's primary. It
// queries the members; confirmation.Batch decides when a majority is reached.
type confirmer struct {
	edge     *Edge
	instance ebonywood.Instance
	conns    map[ebonywood.MemberID]*controlConn

	mutex      sync.Mutex
	batch      *confirmation.Batch
	lastTicket uint64
	waiters    map[uint64]chan outcome
	// lastReportedAt is the time of the query whose status was last reported to the
	// control loop, by member.
	lastReportedAt map[ebonywood.MemberID]ebonywood.Millis
	// primary and term are those of the transaction that was added last.
	primary ebonywood.MemberID
	term    ebonywood.Term
	// running is true from the start of a batch until runBatch returns, which is
	// later than the time at which the outcomes are delivered.
	running bool
}

func newConfirmer(edge *Edge, instance ebonywood.Instance) *confirmer {
	confirmer := &confirmer{
		edge: edge, instance: instance, conns: map[ebonywood.MemberID]*controlConn{},
		batch: confirmation.New(len(instance.Members())), waiters: map[uint64]chan outcome{},
		lastReportedAt: map[ebonywood.MemberID]ebonywood.Millis{},
	}
	for _, member := range instance.Members() {
		confirmer.conns[member.ID()] = newControlConn(edge, member.Address())
	}
	return confirmer
}

// matches reports whether the confirmer's connections are to the members of the
// instance at their present addresses.
func (confirmer *confirmer) matches(instance ebonywood.Instance) bool {
	if len(instance.Members()) != len(confirmer.instance.Members()) {
		return false
	}
	for _, member := range instance.Members() {
		conn := confirmer.conns[member.ID()]
		if conn == nil || conn.address != member.Address() {
			return false
		}
	}
	return true
}

// wait blocks until a majority has confirmed the transaction that ended on member
// in term, and returns a position that covers it. An error means that the outcome
// of the transaction is unknown.
func (confirmer *confirmer) wait(ctx context.Context, member ebonywood.MemberID, term ebonywood.Term) (ebonywood.Position, error) {
	done := make(chan outcome, 1)
	confirmer.mutex.Lock()
	confirmer.lastTicket++
	ticket := confirmer.lastTicket
	confirmer.waiters[ticket] = done
	confirmer.batch.Add(ticket, term)
	confirmer.primary, confirmer.term = member, term
	confirmer.startLocked()
	confirmer.mutex.Unlock()
	select {
	case result := <-done:
		if result.confirmed {
			return result.position, nil
		}
	case <-ctx.Done():
		confirmer.mutex.Lock()
		delete(confirmer.waiters, ticket)
		confirmer.mutex.Unlock()
	}
	return ebonywood.Position{}, ebonywood.NewFault(ebonywood.KindUnknown,
		"no majority confirmed what the primary committed", "read back whether the request took effect")
}

// startLocked starts the confirmation of the waiting transactions unless one is in
// flight. The mutex is held.
func (confirmer *confirmer) startLocked() {
	if confirmer.running || !confirmer.batch.Begin() {
		return
	}
	confirmer.running = true
	primary, term := confirmer.primary, confirmer.term
	confirmer.edge.group.Go(func(ctx context.Context) error {
		termCtx, cancel := confirmer.edge.trackerFor(confirmer.instance.ID()).contextForTerm(ctx, term)
		defer cancel()
		confirmer.runBatch(termCtx, primary)
		return nil
	})
}

// runBatch confirms one batch, and fails its remaining transactions when ctx or
// confirmTimeout ends it.
func (confirmer *confirmer) runBatch(ctx context.Context, primary ebonywood.MemberID) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	status, err := confirmer.conns[primary].status(ctx)
	if err == nil && confirmer.applyPrimaryStatus(primary, status) {
		confirmer.queryReplicas(ctx, cancel, primary)
		<-ctx.Done()
	}
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	confirmer.deliverLocked(confirmer.batch.Abort(), outcome{})
	confirmer.running = false
	confirmer.startLocked()
}

// applyPrimaryStatus sets the position that the members have to confirm to the end
// of the primary's log. Transactions that can't be confirmed fail: those of another
// term, or all of them if the member is no longer primary. It reports whether
// confirmations of other members are still needed.
func (confirmer *confirmer) applyPrimaryStatus(primary ebonywood.MemberID, status ebonywood.Status) bool {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	confirmer.deliverLocked(confirmer.batch.ApplyPrimaryStatus(primary, status), outcome{})
	confirmed, position := confirmer.batch.TakeConfirmed()
	confirmer.deliverLocked(confirmed, outcome{confirmed: true, position: position})
	return len(confirmed) == 0 && !confirmer.batch.Position().IsZero()
}

// queryReplicas queries all other members in parallel. The query of a slow member
// continues after the batch is confirmed; its reply then counts for no batch, but its
// status is still reported.
func (confirmer *confirmer) queryReplicas(ctx context.Context, cancel context.CancelFunc, primary ebonywood.MemberID) {
	confirmer.mutex.Lock()
	position, round := confirmer.batch.Position(), confirmer.batch.Round()
	confirmer.mutex.Unlock()
	sql := fmt.Sprintf("SELECT ebonywood_confirm(%d, %d, %d)", position.Term(), position.Offset(), confirmWait.Milliseconds())
	for id, conn := range confirmer.conns {
		if id == primary {
			continue
		}
		confirmer.edge.group.Go(func(context.Context) error {
			sentAt := confirmer.edge.port.Clock().Now()
			status, confirmed := conn.confirm(ctx, sql)
			if confirmed && confirmer.recordConfirmation(id, round) {
				cancel()
			}
			if confirmed {
				confirmer.reportStatus(id, sentAt, status)
			}
			return nil
		})
	}
}

// recordConfirmation counts a member's confirmation in a round and reports whether
// it completed the majority.
func (confirmer *confirmer) recordConfirmation(id ebonywood.MemberID, round uint64) bool {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	tickets, position := confirmer.batch.RecordConfirmation(id, round)
	confirmer.deliverLocked(tickets, outcome{confirmed: true, position: position})
	return len(tickets) > 0
}

// reportStatus posts the status that a replica returned with its confirmation to
// the control loop, so that the session's next read need not wait for a status
// round. minReportInterval bounds the load on the control loop at any write rate.
func (confirmer *confirmer) reportStatus(id ebonywood.MemberID, sentAt ebonywood.Millis, status ebonywood.Status) {
	confirmer.mutex.Lock()
	recent := sentAt-confirmer.lastReportedAt[id] < minReportInterval
	if !recent {
		confirmer.lastReportedAt[id] = sentAt
	}
	confirmer.mutex.Unlock()
	if recent {
		return
	}
	order := ebonywood.NewMemberOrder(confirmer.instance.ID(), id, ebonywood.OrderStatus, 0, 0)
	confirmer.edge.post(ebonywood.NewMemberReply(order, sentAt, false, status, nil))
}

// deliverLocked sends the result to the goroutines that wait for the tickets. The
// mutex is held.
func (confirmer *confirmer) deliverLocked(tickets []uint64, result outcome) {
	for _, ticket := range tickets {
		if done, found := confirmer.waiters[ticket]; found {
			done <- result
			delete(confirmer.waiters, ticket)
		}
	}
}

// controlConn is one connection to a member for confirmations and activity queries.
// It is opened on first use and again after a failure.
type controlConn struct {
	edge      *Edge
	address   string
	semaphore chan struct{}
	conn      *pgconn.Conn
}

func newControlConn(edge *Edge, address string) *controlConn {
	return &controlConn{edge: edge, address: address, semaphore: make(chan struct{}, 1)}
}

// acquire waits for exclusive use of the connection, which carries one query at a
// time.
func (control *controlConn) acquire(ctx context.Context) error {
	select {
	case control.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (control *controlConn) release() { <-control.semaphore }

// status queries the member's status, and retries once if the first query fails,
// because the connection may have been broken.
func (control *controlConn) status(ctx context.Context) (ebonywood.Status, error) {
	if err := control.acquire(ctx); err != nil {
		return ebonywood.Status{}, err
	}
	defer control.release()
	status, err := control.query(statusQuery, orderTimeout)
	if err != nil {
		status, err = control.query(statusQuery, orderTimeout)
	}
	return status, err
}

// confirm repeats the query until the member confirms the position or ctx ends.
func (control *controlConn) confirm(ctx context.Context, sql string) (status ebonywood.Status, confirmed bool) {
	if control.acquire(ctx) != nil {
		return ebonywood.Status{}, false
	}
	defer control.release()
	for ctx.Err() == nil {
		status, err := control.query(sql, confirmWait+orderTimeout)
		if err == nil {
			return status, true
		}
		sleep(ctx, confirmRetryDelay)
	}
	return ebonywood.Status{}, false
}

// query runs a query that returns a status; the connection has been acquired. It is
// limited by its own timeout and does not end with the batch, because cancelling a
// query would lose the connection. A query that the member refuses keeps the
// connection, any other error closes it.
func (control *controlConn) query(sql string, timeout time.Duration) (ebonywood.Status, error) {
	ctx, cancel := context.WithTimeout(control.edge.group.Context(), timeout)
	defer cancel()
	if err := control.connect(); err != nil {
		return ebonywood.Status{}, err
	}
	status, err := queryStatus(ctx, control.conn, sql)
	if err != nil && ebonywood.FaultOf(err).Kind() != ebonywood.KindConflict {
		control.disconnect()
	}
	return status, err
}

// connect opens the connection if it is not open.
func (control *controlConn) connect() error {
	if control.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(control.edge.group.Context(), orderTimeout)
	defer cancel()
	conn, err := dialControl(ctx, control.edge, control.address)
	if err != nil {
		return err
	}
	control.conn = conn
	return nil
}

func (control *controlConn) disconnect() {
	control.conn.Close()
	control.conn = nil
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
