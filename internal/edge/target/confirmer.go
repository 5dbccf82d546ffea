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
	confirmLimit = 2 * time.Second
	// confirmSlice is how long a member waits for replication before it answers
	// that it is not there yet. Short slices tell a member that lags from a
	// connection that has gone silent.
	confirmSlice = 200 * time.Millisecond
	// observeGap is the least time between two observations of one member.
	observeGap ebonywood.Millis = 2
	// confirmPause follows an answer that is no confirmation.
	confirmPause = 5 * time.Millisecond
)

// verdict settles one ticket.
type verdict struct {
	safe bool
	at   ebonywood.Position
}

// confirmer settles the transactions that ended on one instance's primary. The
// decision is the batch's; this type asks the members.
type confirmer struct {
	edge     *Edge
	instance ebonywood.Instance
	askers   map[ebonywood.MemberID]*asker

	mutex   sync.Mutex
	batch   *confirmation.Batch
	number  uint64
	waiters map[uint64]chan verdict
	// observed is when each member's status was last told to control.
	observed map[ebonywood.MemberID]ebonywood.Millis
	primary  ebonywood.MemberID
	term     ebonywood.Term
	// running is true from the start of a batch until its run has ended, which is
	// later than the moment at which the batch is settled.
	running bool
}

func newConfirmer(edge *Edge, instance ebonywood.Instance) *confirmer {
	confirm := &confirmer{
		edge: edge, instance: instance, askers: map[ebonywood.MemberID]*asker{},
		batch: confirmation.New(len(instance.Members())), waiters: map[uint64]chan verdict{},
		observed: map[ebonywood.MemberID]ebonywood.Millis{},
	}
	for _, member := range instance.Members() {
		confirm.askers[member.ID()] = newAsker(edge, member.Address())
	}
	return confirm
}

func (confirm *confirmer) serves(instance ebonywood.Instance) bool {
	if len(instance.Members()) != len(confirm.instance.Members()) {
		return false
	}
	for _, member := range instance.Members() {
		known := confirm.askers[member.ID()]
		if known == nil || known.address != member.Address() {
			return false
		}
	}
	return true
}

// wait returns once the transaction that ended on member in term is safe. An
// error means that its outcome is unknown.
func (confirm *confirmer) wait(ctx context.Context, member ebonywood.MemberID, term ebonywood.Term) (ebonywood.Position, error) {
	done := make(chan verdict, 1)
	confirm.mutex.Lock()
	confirm.number++
	number := confirm.number
	confirm.waiters[number] = done
	confirm.batch.Add(number, term)
	confirm.primary, confirm.term = member, term
	confirm.begin()
	confirm.mutex.Unlock()
	select {
	case got := <-done:
		if got.safe {
			return got.at, nil
		}
	case <-ctx.Done():
		confirm.mutex.Lock()
		delete(confirm.waiters, number)
		confirm.mutex.Unlock()
	}
	return ebonywood.Position{}, ebonywood.NewFault(ebonywood.KindUnknown,
		"no majority confirmed what the primary committed", "read back whether the request took effect")
}

// begin starts a confirmation if none is under way; the mutex is held.
func (confirm *confirmer) begin() {
	if confirm.running || !confirm.batch.Begin() {
		return
	}
	confirm.running = true
	primary, term := confirm.primary, confirm.term
	confirm.edge.group.Go(func(ctx context.Context) error {
		during, ended := confirm.edge.gate(confirm.instance.ID()).during(ctx, term)
		defer ended()
		confirm.run(during, primary)
		return nil
	})
}

// run settles one batch.
func (confirm *confirmer) run(ctx context.Context, primary ebonywood.MemberID) {
	ctx, settled := context.WithTimeout(ctx, confirmLimit)
	defer settled()
	status, err := confirm.askers[primary].status(ctx)
	if err == nil && confirm.anchor(primary, status) {
		confirm.gather(ctx, settled, primary)
		<-ctx.Done()
	}
	confirm.mutex.Lock()
	defer confirm.mutex.Unlock()
	confirm.settle(confirm.batch.Abandon(), verdict{})
	confirm.running = false
	confirm.begin()
}

// anchor takes the primary's status and reports whether anything is left to
// confirm.
func (confirm *confirmer) anchor(primary ebonywood.MemberID, status ebonywood.Status) bool {
	confirm.mutex.Lock()
	defer confirm.mutex.Unlock()
	confirm.settle(confirm.batch.Anchor(primary, status), verdict{})
	settled, at := confirm.batch.Settle()
	confirm.settle(settled, verdict{safe: true, at: at})
	return len(settled) == 0 && !confirm.batch.Position().IsZero()
}

// gather asks all other members at once. A slow member goes on with its question
// when the batch is settled; its answer then counts for nothing.
func (confirm *confirmer) gather(ctx context.Context, settled context.CancelFunc, primary ebonywood.MemberID) {
	confirm.mutex.Lock()
	at, round := confirm.batch.Position(), confirm.batch.Round()
	confirm.mutex.Unlock()
	text := fmt.Sprintf("SELECT ebonywood_confirm(%d, %d, %d)", at.Term(), at.Offset(), confirmSlice.Milliseconds())
	for id, asker := range confirm.askers {
		if id == primary {
			continue
		}
		confirm.edge.group.Go(func(context.Context) error {
			asked := confirm.edge.port.Clock().Now()
			status, confirmed := asker.confirm(ctx, text)
			if confirmed && confirm.agree(id, round) {
				settled()
			}
			if confirmed {
				confirm.observe(id, asked, status)
			}
			return nil
		})
	}
}

func (confirm *confirmer) agree(id ebonywood.MemberID, round uint64) bool {
	confirm.mutex.Lock()
	defer confirm.mutex.Unlock()
	numbers, at := confirm.batch.Agree(id, round)
	confirm.settle(numbers, verdict{safe: true, at: at})
	return len(numbers) > 0
}

// observe tells control what a replica showed while it confirmed, so that a
// session's next read need not wait for a status round. It is told seldom enough
// not to burden the control loop, whatever the rate of writes.
func (confirm *confirmer) observe(id ebonywood.MemberID, asked ebonywood.Millis, status ebonywood.Status) {
	confirm.mutex.Lock()
	recent := asked-confirm.observed[id] < observeGap
	if !recent {
		confirm.observed[id] = asked
	}
	confirm.mutex.Unlock()
	if recent {
		return
	}
	order := ebonywood.NewMemberOrder(confirm.instance.ID(), id, ebonywood.OrderStatus, 0, 0)
	confirm.edge.post(ebonywood.NewMemberReply(order, asked, false, status, nil))
}

// settle tells the waiting callers; the mutex is held.
func (confirm *confirmer) settle(numbers []uint64, result verdict) {
	for _, number := range numbers {
		if done, found := confirm.waiters[number]; found {
			done <- result
			delete(confirm.waiters, number)
		}
	}
}

// asker is one control connection to a member for confirmations.
type asker struct {
	edge    *Edge
	address string
	turn    chan struct{}
	conn    *pgconn.Conn
}

func newAsker(edge *Edge, address string) *asker {
	return &asker{edge: edge, address: address, turn: make(chan struct{}, 1)}
}

// claim waits for the connection, which carries one question at a time.
func (asker *asker) claim(ctx context.Context) error {
	select {
	case asker.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (asker *asker) free() { <-asker.turn }

// status asks a primary for its log's end, twice if the connection is broken.
func (asker *asker) status(ctx context.Context) (ebonywood.Status, error) {
	if err := asker.claim(ctx); err != nil {
		return ebonywood.Status{}, err
	}
	defer asker.free()
	status, err := asker.askClaimed(statusText, orderLimit)
	if err != nil {
		status, err = asker.askClaimed(statusText, orderLimit)
	}
	return status, err
}

// confirm asks until the member has the position, or ctx ends.
func (asker *asker) confirm(ctx context.Context, text string) (status ebonywood.Status, confirmed bool) {
	if asker.claim(ctx) != nil {
		return ebonywood.Status{}, false
	}
	defer asker.free()
	for ctx.Err() == nil {
		status, err := asker.askClaimed(text, confirmSlice+orderLimit)
		if err == nil {
			return status, true
		}
		sleepFor(ctx, confirmPause)
	}
	return ebonywood.Status{}, false
}

// askClaimed asks over the claimed connection. Its limit is its own: breaking a
// question off would cost the connection.
func (asker *asker) askClaimed(sql string, limit time.Duration) (ebonywood.Status, error) {
	ctx, cancel := context.WithTimeout(asker.edge.group.Context(), limit)
	defer cancel()
	if err := asker.connect(); err != nil {
		return ebonywood.Status{}, err
	}
	status, err := queryStatus(ctx, asker.conn, sql)
	if err != nil && ebonywood.FaultOf(err).Kind() != ebonywood.KindConflict {
		asker.drop()
	}
	return status, err
}

// connect opens the connection if there is none.
func (asker *asker) connect() error {
	if asker.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(asker.edge.group.Context(), orderLimit)
	defer cancel()
	conn, err := dialControl(ctx, asker.edge, asker.address)
	if err != nil {
		return err
	}
	asker.conn = conn
	return nil
}

func (asker *asker) drop() {
	asker.conn.Close()
	asker.conn = nil
}

func sleepFor(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
