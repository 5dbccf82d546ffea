// Package rungroup owns goroutines that stop together. A package starts no
// goroutine but through a group, so that whoever holds the group can wait until
// nothing of the package runs any more.
package rungroup

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group runs goroutines until one of them fails or the group is stopped. The
// zero value works: its parent is then the background context.
type Group struct {
	once   sync.Once
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   conc.WaitGroup
}

// New makes a group whose goroutines are asked to stop when parent ends.
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

// Context ends when the group stops.
func (group *Group) Context() context.Context {
	group.init(context.Background())
	return group.ctx
}

// Go starts a goroutine. An error other than the context's own stops the group,
// and so does a panic: what is left of a group that lost a goroutine would wait
// for it for ever.
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

// Every runs work once in each period until the group stops.
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

// Stop asks all goroutines to stop.
func (group *Group) Stop() {
	group.init(context.Background())
	group.cancel(context.Canceled)
}

// Wait returns when all goroutines have, with the error that stopped the group.
// A group that was asked to stop, or whose parent ended, has none.
func (group *Group) Wait() error {
	group.wait.Wait()
	cause := context.Cause(group.Context())
	if errors.Is(cause, context.Canceled) || group.parent.Err() != nil {
		return nil
	}
	return cause
}
