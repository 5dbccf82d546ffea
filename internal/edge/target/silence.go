package target

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// activityCheckDelay is how long a request waits for the first byte of its reply
	// before the member is queried, over another connection, about the activity of the
	// request's connection.
	activityCheckDelay = 300 * time.Millisecond
	// activityCheckInterval is the interval between two such queries.
	activityCheckInterval = 100 * time.Millisecond
	// idleReplyLimit is how many consecutive replies that report the connection as
	// idle show that it is silent.
	idleReplyLimit = 2
)

// detectSilence derives a context that is cancelled when the connection has gone
// silent: the member replies over another connection and reports that this one runs
// nothing. A statement that only takes long is reported as active and continues.
// Without this check, a request on a silent connection would use up its whole deadline.
// The returned function stops the detection and releases the context.
func (lease *leasedConn) detectSilence(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(activityCheckDelay, func() {
		lease.pool.edge.group.Go(func(context.Context) error {
			lease.pollActivity(ctx, cancel)
			return nil
		})
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// pollActivity queries the member until the reply starts, ctx ends, or the member
// has reported the connection as idle idleReplyLimit times in a row, upon which it
// cancels the exchange.
func (lease *leasedConn) pollActivity(ctx context.Context, cancelExchange context.CancelFunc) {
	set := lease.pool.edge.port.Snapshot().ObjectSet()
	instance, found := set.Instance(lease.requirements.Instance())
	if !found {
		return
	}
	control := lease.pool.edge.confirmerFor(instance).conns[lease.Member()]
	for idleReplies := 0; ctx.Err() == nil && !lease.replyStarted.Load(); {
		active, err := control.isActive(ctx, lease.conn.ProcessID())
		if err != nil || active {
			idleReplies = 0
		} else {
			idleReplies++
		}
		if idleReplies == idleReplyLimit && !lease.replyStarted.Load() {
			cancelExchange()
			return
		}
		sleep(ctx, activityCheckInterval)
	}
}

// isActive queries whether the member runs a statement on the connection that its server
// process pid serves.
func (control *controlConn) isActive(ctx context.Context, pid uint32) (bool, error) {
	if err := control.acquire(ctx); err != nil {
		return false, err
	}
	defer control.release()
	if err := control.connect(); err != nil {
		return false, err
	}
	queryCtx, cancel := context.WithTimeout(control.edge.group.Context(), orderTimeout)
	defer cancel()
	rows, err := control.conn.Query(queryCtx, fmt.Sprintf("SELECT ebonywood_activity(%d)", pid))
	if err != nil {
		control.disconnect()
		return false, err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return false, ebonywood.NewFault(ebonywood.KindUnavailable, "the member returned an invalid activity row",
			"check that the platform's functions are installed as docs/TARGETS.md says")
	}
	return rows[0][0] == "active", nil
}
