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
	})
}

// Context returns the group's context, which ends when the group stops.
func (group *Group) Context() context.Context {
	group.init(context.Background())
	return group.ctx
}

// Go starts a goroutine. An error that work returns before the context has ended
// stops the group, and so does a panic; otherwise the group's other goroutines
// could wait forever for the one that failed.
func (group *Group) Go(work func(ctx context.Context) error) {
	ctx := group.Context()
	group.wait.Go(func() {
		var err error
		caught := panics.Try(func() { err = work(ctx) })
		switch {
		case caught != nil:
			group.cancel(caught.AsError())
		case err != nil && ctx.Err() == nil:
			group.cancel(err)
		}
	})
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

// Wait blocks until all goroutines have returned, and returns the error that
// stopped the group. It is nil if Stop did so, or if the parent has ended.
func (group *Group) Wait() error {
	group.wait.Wait()
	cause := context.Cause(group.Context())
	if errors.Is(cause, context.Canceled) || group.parent.Err() != nil {
		return nil
	}
	return cause
}
