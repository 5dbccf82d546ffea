package sessions

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/throttle"
)

// This file refuses work where it comes in if the proxies that serve its instance refuse such
// work for lack of capacity, so that it takes no hop. They say so in their results; package
// throttle decides how much is still sent.

// maxEntryLevels bounds the kinds of work with a level. All are forgotten when there are more.
const maxEntryLevels = 4096

// entryKind is work that the serving proxies treat alike: statements of one route and one
// workspace that need the primary, or any member.
type entryKind struct {
	route, workspace string
	writes           bool
}

// entryLevel is what the serving proxies did with one kind of work.
type entryLevel struct {
	level throttle.Level
	// wait is the wait that was predicted for the last refused work.
	wait ebonywood.Millis
}

// entryLevels holds a level for each kind of work that was refused recently.
type entryLevels struct {
	mutex  sync.Mutex
	levels map[entryKind]*entryLevel
}

func (attempt *attempt) entryKind() entryKind {
	return entryKind{route: attempt.route.Name(), workspace: attempt.workspaceName(), writes: attempt.writes}
}

// maySend reports whether work is to be sent to a serving proxy. If not, wait is what was
// predicted for such work there.
func (entry *entryLevels) maySend(kind entryKind, now time.Duration) (wait ebonywood.Millis, send bool) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	found := entry.levels[kind]
	if found == nil {
		return 0, true
	}
	if found.level.IsOver(now) {
		delete(entry.levels, kind)
		return 0, true
	}
	return found.wait, found.level.MaySend(now, rand.Float64())
}

// record adds the outcome of work that was sent. wait is the wait that was predicted for it if
// it was refused for lack of capacity, 0 if it was not.
func (entry *entryLevels) record(kind entryKind, wait ebonywood.Millis, now time.Duration) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	found := entry.levels[kind]
	switch {
	case found != nil && wait == 0:
		found.level.Admitted(now)
	case found != nil:
		found.level.Refused(now)
		found.wait = wait
	case wait > 0:
		if entry.levels == nil || len(entry.levels) >= maxEntryLevels {
			entry.levels = map[entryKind]*entryLevel{}
		}
		created := &entryLevel{wait: wait}
		created.level.Refused(now)
		entry.levels[kind] = created
	}
}

// refuseAtEntry reports whether the attempt is refused before it is sent to a serving proxy,
// and the reply.
func (session *session) refuseAtEntry(attempt *attempt) (ebonywood.Reply, bool) {
	edge := session.edge
	wait, send := edge.entry.maySend(attempt.entryKind(), edge.now().Duration())
	if send {
		return ebonywood.Reply{}, false
	}
	kind := "read"
	if attempt.writes {
		kind = "write"
	}
	edge.counters.count("refusedAtEntry", kind)
	return failure(ebonywood.CodeBusy, fmt.Sprintf("the predicted wait at the proxies that serve the instance is %d ms", wait)), true
}

// recordAtEntry records what a serving proxy did with the attempt.
func (session *session) recordAtEntry(attempt *attempt, result ebonywood.ForwardResult) {
	session.edge.entry.record(attempt.entryKind(), result.RefusedWait(), session.edge.now().Duration())
}

// refuse records that the statement was refused for lack of capacity, with the predicted wait.
func (attempt *attempt) refuse(wait time.Duration) {
	attempt.refusedWait = max(1, ebonywood.MillisOf(wait))
}

// refusedWait returns the wait that was predicted for the last statement if the reply refuses
// it for lack of capacity, otherwise 0.
func (forwarded *forwardedSession) refusedWait(reply ebonywood.Reply) ebonywood.Millis {
	last := forwarded.session.lastAttempt
	if last == nil || reply.Code() != ebonywood.CodeBusy {
		return 0
	}
	return last.refusedWait
}
