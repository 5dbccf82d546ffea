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
	// confirmLimit bounds a whole confirmation.
	confirmTimeout = 2 * time.Second
	// confirmSlice is how long a member waits for replication before it answers
	// that it is not there yet. Short slices tell a member that lags from a
	// connection that has gone silent.
	confirmWait = 200 * time.Millisecond
	// observeGap is the least time between two observations of one member.
	minObserveInterval ebonywood.Millis = 2
	// confirmPause follows an answer that is no confirmation.
	confirmRetryDelay = 5 * time.Millisecond
)

// verdict settles one ticket.
type outcome struct {
	confirmed bool
	position  ebonywood.Position
}

// confirmer settles the transactions that ended on one instance's primary. The
// decision is the batch's; this type asks the members.
type confirmer struct {
	edge     *Edge
	instance ebonywood.Instance
	conns    map[ebonywood.MemberID]*controlConn

	mutex      sync.Mutex
	batch      *confirmation.Batch
	lastTicket uint64
	waiters    map[uint64]chan outcome
	// observed is when each member's status was last told to control.
	lastObserved map[ebonywood.MemberID]ebonywood.Millis
	primary      ebonywood.MemberID
	term         ebonywood.Term
	// running is true from the start of a batch until its run has ended, which is
	// later than the moment at which the batch is settled.
	running bool
}

func newConfirmer(edge *Edge, instance ebonywood.Instance) *confirmer {
	confirmer := &confirmer{
		edge: edge, instance: instance, conns: map[ebonywood.MemberID]*controlConn{},
		batch: confirmation.New(len(instance.Members())), waiters: map[uint64]chan outcome{},
		lastObserved: map[ebonywood.MemberID]ebonywood.Millis{},
	}
	for _, member := range instance.Members() {
		confirmer.conns[member.ID()] = newControlConn(edge, member.Address())
	}
	return confirmer
}

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

// wait returns once the transaction that ended on member in term is safe. An
// error means that its outcome is unknown.
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

// begin starts a confirmation if none is under way; the mutex is held.
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

// run settles one batch.
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
	confirmer.deliverLocked(confirmer.batch.Abandon(), outcome{})
	confirmer.running = false
	confirmer.startLocked()
}

// anchor takes the primary's status and reports whether anything is left to
// confirm.
func (confirmer *confirmer) applyPrimaryStatus(primary ebonywood.MemberID, status ebonywood.Status) bool {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	confirmer.deliverLocked(confirmer.batch.Anchor(primary, status), outcome{})
	confirmed, position := confirmer.batch.Settle()
	confirmer.deliverLocked(confirmed, outcome{confirmed: true, position: position})
	return len(confirmed) == 0 && !confirmer.batch.Position().IsZero()
}

// gather asks all other members at once. A slow member goes on with its question
// when the batch is settled; its answer then counts for nothing.
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

func (confirmer *confirmer) recordConfirmation(id ebonywood.MemberID, round uint64) bool {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	tickets, position := confirmer.batch.Agree(id, round)
	confirmer.deliverLocked(tickets, outcome{confirmed: true, position: position})
	return len(tickets) > 0
}

// observe tells control what a replica showed while it confirmed, so that a
// session's next read need not wait for a status round. It is told seldom enough
// not to burden the control loop, whatever the rate of writes.
func (confirmer *confirmer) reportStatus(id ebonywood.MemberID, sentAt ebonywood.Millis, status ebonywood.Status) {
	confirmer.mutex.Lock()
	recent := sentAt-confirmer.lastObserved[id] < minObserveInterval
	if !recent {
		confirmer.lastObserved[id] = sentAt
	}
	confirmer.mutex.Unlock()
	if recent {
		return
	}
	order := ebonywood.NewMemberOrder(confirmer.instance.ID(), id, ebonywood.OrderStatus, 0, 0)
	confirmer.edge.post(ebonywood.NewMemberReply(order, sentAt, false, status, nil))
}

// settle tells the waiting callers; the mutex is held.
func (confirmer *confirmer) deliverLocked(tickets []uint64, result outcome) {
	for _, ticket := range tickets {
		if done, found := confirmer.waiters[ticket]; found {
			done <- result
			delete(confirmer.waiters, ticket)
		}
	}
}

// asker is one control connection to a member for confirmations.
type controlConn struct {
	edge      *Edge
	address   string
	semaphore chan struct{}
	conn      *pgconn.Conn
}

func newControlConn(edge *Edge, address string) *controlConn {
	return &controlConn{edge: edge, address: address, semaphore: make(chan struct{}, 1)}
}

// claim waits for the connection, which carries one question at a time.
func (control *controlConn) acquire(ctx context.Context) error {
	select {
	case control.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (control *controlConn) release() { <-control.semaphore }

// status asks a primary for its log's end, twice if the connection is broken.
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

// confirm asks until the member has the position, or ctx ends.
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

// askClaimed asks over the claimed connection. Its limit is its own: breaking a
// question off would cost the connection.
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

// connect opens the connection if there is none.
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
