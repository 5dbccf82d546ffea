package target

import (
	"context"
	"sync"

	"github.com/ebonywood/ebonywood"
)

// gate counts the transactions of this process that are open on the primary of
// one instance, and ends what waits for a primary that has been replaced. The
// zero value works.
type primaryTracker struct {
	mutex      sync.Mutex
	open       int
	onIdle     func()
	term       ebonywood.Term
	termCtx    context.Context
	cancelTerm context.CancelFunc
}

// advance ends the reign of an earlier term.
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

// during derives a context that also ends when a primary of a later term is
// known: what is under way then can't be confirmed any more.
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

func (tracker *primaryTracker) begin() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.open++
}

func (tracker *primaryTracker) end() {
	tracker.mutex.Lock()
	tracker.open--
	onIdle := tracker.takeOnIdleLocked()
	tracker.mutex.Unlock()
	if onIdle != nil {
		onIdle()
	}
}

// whenIdle calls back once no transaction is open.
func (tracker *primaryTracker) notifyWhenIdle(onIdle func()) {
	tracker.mutex.Lock()
	tracker.onIdle = onIdle
	callback := tracker.takeOnIdleLocked()
	tracker.mutex.Unlock()
	if callback != nil {
		callback()
	}
}

func (tracker *primaryTracker) takeOnIdleLocked() func() {
	if tracker.open > 0 {
		return nil
	}
	onIdle := tracker.onIdle
	tracker.onIdle = nil
	return onIdle
}
