package target

import (
	"context"
	"sync"

	"github.com/ebonywood/ebonywood"
)

// primaryTracker counts the transactions of this process that are open on the
// primary of one instance, and cancels the work of a term whose primary has been
// replaced. The zero value is ready to use.
type primaryTracker struct {
	mutex sync.Mutex
	open  int
	// onIdle is called once when no transaction is open; nil if none is set.
	onIdle func()
	term   ebonywood.Term
	// termCtx is cancelled when a later term starts; nil before the first term.
	termCtx    context.Context
	cancelTerm context.CancelFunc
}

// advance moves to a later term and cancels the context of the earlier one.
func (tracker *primaryTracker) advance(term ebonywood.Term) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.advanceLocked(term)
}

func (tracker *primaryTracker) advanceLocked(term ebonywood.Term) {
	if tracker.termCtx != nil && term <= tracker.term {
		return
	}
	if tracker.cancelTerm != nil {
		tracker.cancelTerm()
	}
	tracker.term = term
	tracker.termCtx, tracker.cancelTerm = context.WithCancel(context.Background())
}

// contextForTerm derives a context that is also cancelled when a primary of a later
// term is known, since work of the earlier term can't be confirmed any more. If that
// is already so, the context is cancelled immediately.
func (tracker *primaryTracker) contextForTerm(ctx context.Context, term ebonywood.Term) (context.Context, context.CancelFunc) {
	tracker.mutex.Lock()
	tracker.advanceLocked(term)
	termCtx, current := tracker.termCtx, tracker.term == term
	tracker.mutex.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if !current {
		cancel()
		return ctx, cancel
	}
	stop := context.AfterFunc(termCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// begin counts a transaction as open on the primary.
func (tracker *primaryTracker) begin() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.open++
}

// end counts a transaction as no longer open, and calls onIdle after the last one.
func (tracker *primaryTracker) end() {
	tracker.mutex.Lock()
	tracker.open--
	onIdle := tracker.takeOnIdleLocked()
	tracker.mutex.Unlock()
	if onIdle != nil {
		onIdle()
	}
}

// notifyWhenIdle calls onIdle once no transaction is open, immediately if that is
// already so. It replaces an earlier onIdle that has not been called.
func (tracker *primaryTracker) notifyWhenIdle(onIdle func()) {
	tracker.mutex.Lock()
	tracker.onIdle = onIdle
	callback := tracker.takeOnIdleLocked()
	tracker.mutex.Unlock()
	if callback != nil {
		callback()
	}
}

// takeOnIdleLocked removes and returns onIdle if no transaction is open. The mutex is
// held; the result must be called after the mutex is released.
func (tracker *primaryTracker) takeOnIdleLocked() func() {
	if tracker.open > 0 {
		return nil
	}
	onIdle := tracker.onIdle
	tracker.onIdle = nil
	return onIdle
}
