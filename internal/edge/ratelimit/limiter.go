package ratelimit

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/tokenstock"
)

// maxWait bounds how long an operation waits for a token. Callers of a workspace over its
// limit are refused at once; this wait covers a request to one allocator that does not answer
// and to the next one.
const maxWait = 150 * time.Millisecond

// unavailableWait bounds the wait for an allocator that can be asked. After a start of all
// proxies their allocators are known everywhere within a few hundred milliseconds, and callers
// that are refused meanwhile use up their retries.
const unavailableWait = 500 * time.Millisecond

// allocatorPollInterval is the time after which an allocator that did not answer is asked again.
const allocatorPollInterval = 50 * time.Millisecond

// stock holds the tokens of one workspace and the operations that wait for one. The edge's
// mutex protects it.
type stock struct {
	name   string
	tokens *tokenstock.Stock
	// waiters have one entry for each operation that waits, in order of arrival.
	waiters []chan bool
	// asking counts the requests for tokens of the workspace that are queued or in flight, each
	// to another allocator. askedAt is when the last one was queued.
	asking  int
	askedAt ebonywood.Millis
	// order has the allocators in the order in which this proxy asks them, for the table
	// listed.
	listed, order []ebonywood.Allocator
}

// Take spends a token for an operation of the workspace, and waits for one if the proxy holds
// none and an allocator may be asked.
func (edge *Edge) Take(ctx context.Context, workspace *ebonywood.Workspace, until time.Time) bool {
	if !workspace.IsLimited() {
		return true
	}
	taken := edge.take(ctx, workspace.Name(), until)
	for waitUntil := earlier(until, time.Now().Add(unavailableWait)); !taken && edge.awaitAllocators(ctx, waitUntil); {
		taken = edge.take(ctx, workspace.Name(), until)
	}
	if taken {
		edge.metrics.taken.Inc(1)
	} else {
		edge.metrics.countLimited(workspace.Name())
	}
	return taken
}

// awaitAllocators waits, while no allocator can be asked, for a change of the listed ones or
// for allocatorPollInterval. It returns false if one can be asked or the time to wait is over.
func (edge *Edge) awaitAllocators(ctx context.Context, until time.Time) bool {
	listed := edge.port.Snapshot().Allocators()
	if edge.canAskAny() || !time.Now().Before(until) {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(allocatorPollInterval, time.Until(until)))
	defer cancel()
	_, _ = edge.port.Await(waitCtx, func(snapshot *ebonywood.Snapshot) bool { return !slices.Equal(snapshot.Allocators(), listed) })
	return ctx.Err() == nil
}

// canAskAny reports whether one of the allocators can be asked.
func (edge *Edge) canAskAny() bool {
	now := edge.now()
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return slices.ContainsFunc(edge.allocatorTable(), func(allocator ebonywood.Allocator) bool { return !edge.isDown(now, allocator) })
}

// earlier returns the earlier of two times.
func earlier(left, right time.Time) time.Time {
	if right.Before(left) {
		return right
	}
	return left
}

func (edge *Edge) take(ctx context.Context, workspace string, until time.Time) bool {
	edge.mutex.Lock()
	// The clock is read under the mutex: a process that is paused while it waits for it must
	// not spend tokens that have expired meanwhile.
	now := edge.now()
	stock := edge.stock(workspace)
	stock.tokens.CountDemand(now)
	if stock.tokens.Take(now) {
		if stock.tokens.IsLow(now) {
			edge.request(now, stock)
		}
		edge.mutex.Unlock()
		return true
	}
	edge.request(now, stock)
	if stock.asking == 0 {
		edge.mutex.Unlock()
		return false
	}
	answer := make(chan bool, 1)
	stock.waiters = append(stock.waiters, answer)
	edge.mutex.Unlock()
	return edge.await(ctx, stock, answer, min(maxWait, time.Until(until)))
}

// await waits for the answer to an operation that waits in the stock.
func (edge *Edge) await(ctx context.Context, stock *stock, answer chan bool, wait time.Duration) bool {
	timer := time.NewTimer(max(0, min(wait, slowAge.Duration())))
	defer timer.Stop()
	select {
	case taken := <-answer:
		return taken
	case <-ctx.Done():
	case <-timer.C:
		// The allocator is slow: another one is asked as well.
		edge.mutex.Lock()
		edge.request(edge.now(), stock)
		edge.mutex.Unlock()
		timer.Reset(max(0, wait-slowAge.Duration()))
		select {
		case taken := <-answer:
			return taken
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if index := slices.Index(stock.waiters, answer); index >= 0 {
		stock.waiters = slices.Delete(stock.waiters, index, index+1)
		return false
	}
	return <-answer
}

// Spend records that an operation has used its token.
func (edge *Edge) Spend(workspace *ebonywood.Workspace) {
	if !workspace.IsLimited() {
		return
	}
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.stock(workspace.Name()).tokens.Spend(edge.now())
}

// Return gives back the token of an operation that has reached no member.
func (edge *Edge) Return(workspace *ebonywood.Workspace) {
	if !workspace.IsLimited() {
		return
	}
	edge.metrics.returned.Inc(1)
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.stock(workspace.Name()).tokens.Return(edge.now())
}

// stock returns the stock of a workspace and creates it if needed. The mutex is held.
func (edge *Edge) stock(workspace string) *stock {
	found, exists := edge.stocks[workspace]
	if !exists {
		found = &stock{name: workspace, tokens: tokenstock.New()}
		edge.stocks[workspace] = found
	}
	return found
}

// serve spends tokens for the operations that wait, and refuses the rest unless another
// allocator can be asked. The mutex is held.
func (edge *Edge) serve(now ebonywood.Millis, stock *stock) {
	for len(stock.waiters) > 0 && stock.tokens.Take(now) {
		stock.answerFirst(true)
	}
	if len(stock.waiters) > 0 {
		edge.request(now, stock)
	}
	if stock.asking == 0 {
		for len(stock.waiters) > 0 {
			stock.answerFirst(false)
		}
	}
}

func (stock *stock) answerFirst(taken bool) {
	stock.waiters[0] <- taken
	stock.waiters = stock.waiters[1:]
}

// candidates returns the allocators in the order in which this proxy asks them for tokens of
// the workspace, without those that do not answer and the slow ones last. The order differs
// among proxies and workspaces, so that the allocators are asked evenly. The mutex is held.
func (edge *Edge) candidates(now ebonywood.Millis, stock *stock) []ebonywood.Allocator {
	listed := edge.allocatorTable()
	if !slices.Equal(listed, stock.listed) {
		stock.listed = listed
		prefix := edge.port.Settings().Name() + "/" + stock.name + "/"
		stock.order = slices.Clone(listed)
		slices.SortFunc(stock.order, func(left, right ebonywood.Allocator) int {
			return cmp.Compare(xxhash.Sum64String(prefix+strconv.Itoa(left.Number())), xxhash.Sum64String(prefix+strconv.Itoa(right.Number())))
		})
	}
	plain := true
	for _, allocator := range stock.order {
		plain = plain && !edge.isDown(now, allocator) && !edge.isSlow(now, allocator)
	}
	if plain {
		return stock.order
	}
	var fast, slow []ebonywood.Allocator
	for _, allocator := range stock.order {
		switch {
		case edge.isDown(now, allocator):
		case edge.isSlow(now, allocator):
			slow = append(slow, allocator)
		default:
			fast = append(fast, allocator)
		}
	}
	return append(fast, slow...)
}
