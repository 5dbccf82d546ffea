package target

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// quietLimit is how long a request may be without the first byte of an answer
	// before the member is asked, over another connection, whether it runs it.
	activityCheckDelay = 300 * time.Millisecond
	// quietPause is the time between two such questions.
	activityCheckInterval = 100 * time.Millisecond
	// idleAnswers is how many answers in a row show that the connection is silent.
	idleReplyLimit = 2
)

// guard ends the exchange when its connection has gone silent: the member answers
// over another connection, and says that this one runs nothing. A statement that
// merely takes long is reported as active and goes on. Without it a request on a
// silent connection cost its whole deadline.
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

func (lease *leasedConn) pollActivity(ctx context.Context, cancelExchange context.CancelFunc) {
	set := lease.pool.edge.port.Snapshot().Set()
	instance, found := set.Instance(lease.need.Instance())
	if !found {
		return
	}
	control := lease.pool.edge.confirmerFor(instance).conns[lease.Member()]
	for idleReplies := 0; ctx.Err() == nil && !lease.replyStarted.Load(); {
		active, err := control.isActive(ctx, lease.conn.Pid())
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

// isActive asks the member whether one of its connections runs a statement.
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
		return false, ebonywood.NewFault(ebonywood.KindUnavailable, "the member's activity can't be read",
			"check that the platform's functions are installed as docs/TARGETS.md says")
	}
	return rows[0][0] == "active", nil
}
