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
	quietLimit = 300 * time.Millisecond
	// quietPause is the time between two such questions.
	quietPause = 100 * time.Millisecond
	// idleAnswers is how many answers in a row show that the connection is silent.
	idleAnswers = 2
)

// guard ends the exchange when its connection has gone silent: the member answers
// over another connection, and says that this one runs nothing. A statement that
// merely takes long is reported as active and goes on. Without it a request on a
// silent connection cost its whole deadline.
func (lane *lane) guard(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(quietLimit, func() {
		lane.pool.edge.group.Go(func(context.Context) error {
			lane.watchQuiet(ctx, cancel)
			return nil
		})
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

func (lane *lane) watchQuiet(ctx context.Context, giveUp context.CancelFunc) {
	set := lane.pool.edge.port.Snapshot().ObjectSet()
	instance, found := set.Instance(lane.need.Instance())
	if !found {
		return
	}
	asker := lane.pool.edge.confirmer(instance).askers[lane.Member()]
	for idle := 0; ctx.Err() == nil && !lane.heard.Load(); {
		active, err := asker.isActive(ctx, lane.conn.Pid())
		if err != nil || active {
			idle = 0
		} else {
			idle++
		}
		if idle == idleAnswers && !lane.heard.Load() {
			giveUp()
			return
		}
		sleepFor(ctx, quietPause)
	}
}

// isActive asks the member whether one of its connections runs a statement.
func (asker *asker) isActive(ctx context.Context, pid uint32) (bool, error) {
	if err := asker.claim(ctx); err != nil {
		return false, err
	}
	defer asker.free()
	if err := asker.connect(); err != nil {
		return false, err
	}
	limited, cancel := context.WithTimeout(asker.edge.group.Context(), orderLimit)
	defer cancel()
	rows, err := asker.conn.Query(limited, fmt.Sprintf("SELECT ebonywood_activity(%d)", pid))
	if err != nil {
		asker.drop()
		return false, err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return false, ebonywood.NewFault(ebonywood.KindUnavailable, "the member's activity can't be read",
			"check that the platform's functions are installed as docs/TARGETS.md says")
	}
	return rows[0][0] == "active", nil
}
