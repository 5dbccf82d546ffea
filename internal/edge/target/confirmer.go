package target

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/confirmation"
	"github.com/ebonywood/ebonywood/internal/pgconn"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// confirmLimit bounds one wait at a member for the replication of a position.
const confirmLimit = time.Second

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
	primary ebonywood.MemberID
}

func newConfirmer(edge *Edge, instance ebonywood.Instance) *confirmer {
	confirm := &confirmer{
		edge: edge, instance: instance, askers: map[ebonywood.MemberID]*asker{},
		batch: confirmation.New(len(instance.Members())), waiters: map[uint64]chan verdict{},
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
	confirm.primary = member
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
	if !confirm.batch.Begin() {
		return
	}
	primary := confirm.primary
	confirm.edge.group.Go(func(ctx context.Context) error {
		confirm.run(ctx, primary)
		return nil
	})
}

// run settles one batch.
func (confirm *confirmer) run(ctx context.Context, primary ebonywood.MemberID) {
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	status, err := confirm.askers[primary].ask(ctx, statusText)
	if err == nil {
		confirm.anchor(primary, status)
		confirm.gather(ctx, cancel, primary)
	}
	confirm.mutex.Lock()
	defer confirm.mutex.Unlock()
	confirm.settle(confirm.batch.Abandon(), verdict{})
	confirm.begin()
}

func (confirm *confirmer) anchor(primary ebonywood.MemberID, status ebonywood.Status) {
	confirm.mutex.Lock()
	defer confirm.mutex.Unlock()
	confirm.settle(confirm.batch.Anchor(primary, status), verdict{})
	settled, at := confirm.batch.Settle()
	confirm.settle(settled, verdict{safe: true, at: at})
}

// gather asks all other members at once and returns when the batch is settled or
// all have answered.
func (confirm *confirmer) gather(ctx context.Context, settled context.CancelFunc, primary ebonywood.MemberID) {
	confirm.mutex.Lock()
	at := confirm.batch.Position()
	confirm.mutex.Unlock()
	if at.IsZero() {
		return
	}
	text := fmt.Sprintf("SELECT ebonywood_confirm(%d, %d, %d)", at.Term(), at.Offset(), confirmLimit.Milliseconds())
	asking := rungroup.New(ctx)
	for id, asker := range confirm.askers {
		if id == primary || !asker.claim() {
			continue
		}
		asking.Go(func(context.Context) error {
			defer asker.free()
			if _, err := asker.askClaimed(ctx, text); err != nil {
				return nil
			}
			if confirm.agree(id) {
				settled()
			}
			return nil
		})
	}
	_ = asking.Wait()
}

func (confirm *confirmer) agree(id ebonywood.MemberID) bool {
	confirm.mutex.Lock()
	defer confirm.mutex.Unlock()
	numbers, at := confirm.batch.Agree(id)
	confirm.settle(numbers, verdict{safe: true, at: at})
	return len(numbers) > 0
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
	mutex   sync.Mutex
	conn    *pgconn.Conn
}

func newAsker(edge *Edge, address string) *asker { return &asker{edge: edge, address: address} }

// claim takes the connection for one question, unless one is under way.
func (asker *asker) claim() bool { return asker.mutex.TryLock() }

func (asker *asker) free() { asker.mutex.Unlock() }

func (asker *asker) ask(ctx context.Context, sql string) (ebonywood.Status, error) {
	asker.mutex.Lock()
	defer asker.mutex.Unlock()
	return asker.askClaimed(ctx, sql)
}

func (asker *asker) askClaimed(ctx context.Context, sql string) (ebonywood.Status, error) {
	if asker.conn == nil {
		conn, err := dialControl(ctx, asker.edge, asker.address)
		if err != nil {
			return ebonywood.Status{}, err
		}
		asker.conn = conn
	}
	status, err := queryStatus(ctx, asker.conn, sql)
	if err != nil {
		asker.conn.Close()
		asker.conn = nil
	}
	return status, err
}
