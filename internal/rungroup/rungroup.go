// Package rungroup runs goroutines that stop together. Packages start goroutines
// only through a group, so that the owner of the group can wait until all of them
// have returned.
package rungroup

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group runs goroutines until one of them fails or the group is stopped. The zero
// value is ready to use, with the background context as its parent.
type Group struct {
	once   sync.Once
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   conc.WaitGroup

	mutex sync.Mutex
	// running is the number of goroutines that have not returned; idle is signaled
	// when it becomes 0. closed is set once Wait has seen it at 0.
	running int
	closed  bool
	idle    *sync.Cond
}

// New returns a group whose context ends when parent does.
func New(parent context.Context) *Group {
	group := &Group{}
	group.init(parent)
	return group
}

func (group *Group) init(parent context.Context) {
	group.once.Do(func() {
		group.parent = parent
		group.ctx, group.cancel = context.WithCancelCause(parent)
		group.idle = sync.NewCond(&group.mutex)
	})
}

// Context returns the group's context, which ends when the group stops.
func (group *Group) Context() context.Context {
	group.init(context.Background())
	return group.ctx
}

// Go starts a goroutine. An error that work returns before the context has ended
// stops the group, and so does a panic; otherwise the group's other goroutines
// could wait forever for the one that failed. Go does nothing once Wait has found
// that all goroutines have returned, and reports whether it started work.
func (group *Group) Go(work func(ctx context.Context) error) (started bool) {
	ctx := group.Context()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.closed {
		return false
	}
	group.running++
	group.wait.Go(func() {
		defer group.finish()
		var err error
		caught := panics.Try(func() { err = work(ctx) })
		switch {
		case caught != nil:
			group.cancel(caught.AsError())
		case err != nil && ctx.Err() == nil:
			group.cancel(err)
		}
	})
	return true
}

// finish records that a goroutine has returned.
func (group *Group) finish() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.running--
	if group.running == 0 {
		group.idle.Broadcast()
	}
}

// Every starts a goroutine that calls work once per period until the group stops.
// If a call takes longer than a period, at most one of the missed calls follows it
// immediately; the others are dropped.
func (group *Group) Every(period time.Duration, work func(ctx context.Context)) {
	group.Go(func(ctx context.Context) error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				work(ctx)
			}
		}
	})
}

// Stop cancels the group's context. It does not wait for the goroutines.
func (group *Group) Stop() {
	group.init(context.Background())
	group.cancel(context.Canceled)
}

// Wait blocks until all goroutines have returned, after which the group starts no
// others. It returns the error that stopped the group, nil if Stop did so or if the
// parent has ended.
func (group *Group) Wait() error {
	group.init(context.Background())
	group.mutex.Lock()
	for group.running > 0 {
		group.idle.Wait()
	}
	group.closed = true
	group.mutex.Unlock()
	group.wait.Wait()
	cause := context.Cause(group.Context())
	if errors.Is(cause, context.Canceled) || group.parent.Err() != nil {
		return nil
	}
	return cause
}
