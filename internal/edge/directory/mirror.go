package directory

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ebonywood/ebonywood"
)

// allKeys is the prefix that matches all keys.
const allKeys = ""

const (
	// Between two watches the mirror waits watchDelayPerProxy for each proxy that
	// reports, at most maxWatchDelay, and maxWatchDelay while all proxies may be starting,
	// for startPeriod.
	watchDelayPerProxy                  = time.Millisecond
	maxWatchDelay                       = 250 * time.Millisecond
	startPeriod        ebonywood.Millis = 800
	// ownersTimeout bounds the wait for the owners that follow from the first list.
	ownersTimeout = 200 * time.Millisecond
	// A proxy of a large fleet that is no watcher backs off for followerRetryDelay first,
	// doubled once: its calls help nobody else, and it can follow a watcher meanwhile.
	followerRetryDelay = 1600 * time.Millisecond
	// watchTimeoutMargin is added to the wait of a watch for the transfer of the
	// response.
	watchTimeoutMargin = 600 * time.Millisecond
)

// mirror holds a copy of all keys of the directory. It uses a single watch for all
// prefixes, since each waiting watch counts as a call.
type mirror struct {
	edge     *Edge
	handlers []prefixHandler
	items    map[string]ebonywood.Item
	// configuration is the newest valid configuration.
	configuration configurationCopy
	// retained has the keys of members' entries that are kept although the directory holds
	// something else, with what it holds: a deleted item if that is nothing.
	retained map[string]ebonywood.Item
	// era is the latest of the items, 0 before the first. restoring is set while others may still
	// have to write again what a directory that was restored from a backup has lost.
	era       ebonywood.Era
	restoring bool
	// revision is the revision of the directory up to which items contains every
	// change; zero if the directory has to be listed.
	revision ebonywood.Revision
	// failures is the number of consecutive failed calls.
	failures int
	// upstreamAddress is the address of the watcher that this process follows, cursor
	// the position in that watcher's mirror. rejectedUntil is the time until which a
	// watcher is not chosen, by address; until directUntil no watcher is chosen.
	upstreamAddress string
	directUntil     ebonywood.Millis
	cursor          ebonywood.Cursor
	// behindTries is the number of consecutive pages of the watcher that were behind.
	behindTries   int
	rejectedUntil map[string]ebonywood.Millis
}

// prefixHandler receives all items under a prefix whenever one of them changes.
type prefixHandler struct {
	prefix string
	handle func(ctx context.Context, items map[string]ebonywood.Item, revision ebonywood.Revision)
}

func newMirror(edge *Edge) *mirror {
	return &mirror{edge: edge, retained: map[string]ebonywood.Item{}, rejectedUntil: map[string]ebonywood.Millis{}}
}

// handle adds handlers, which are called in order.
func (mirror *mirror) handle(handlers ...prefixHandler) {
	mirror.handlers = append(mirror.handlers, handlers...)
}

// dispatch passes the items under each prefix for which changed returns true to the
// prefix's handler.
func (mirror *mirror) dispatch(ctx context.Context, changed func(prefix string) bool) {
	for _, handler := range mirror.handlers {
		if !changed(handler.prefix) {
			continue
		}
		items := map[string]ebonywood.Item{}
		for key, item := range mirror.items {
			if strings.HasPrefix(key, handler.prefix) {
				items[key] = item
			}
		}
		handler.handle(ctx, items, mirror.revision)
	}
}

func (mirror *mirror) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if peer, found := mirror.upstream(); found {
			mirror.followPeer(ctx, peer)
			continue
		}
		mirror.watchDirectory(ctx)
	}
	return nil
}

// watchDirectory watches the directory itself until its history is compacted or too large to be
// read, or another proxy can be followed. It continues at the revision that a watcher's mirror
// had reached, because a new list takes long over a slow link.
func (mirror *mirror) watchDirectory(ctx context.Context) {
	mirror.upstreamAddress = ""
	if mirror.revision.IsZero() && !mirror.initialize(ctx) {
		return
	}
	for ctx.Err() == nil {
		if _, found := mirror.upstream(); found {
			return
		}
		err := mirror.pollChanges(ctx)
		if err == nil {
			mirror.delayWatch(ctx)
			continue
		}
		if ebonywood.FaultOf(err).Kind() == ebonywood.KindStale {
			mirror.edge.port.Log().Info("history gone", "at", mirror.revision.String(), "why", err.Error())
			mirror.revision = ebonywood.Revision{}
			return
		}
		// The directory may refuse only this process; another watcher may still reach it.
		mirror.directUntil = 0
		mirror.backOff(ctx)
	}
}

// initialize lists all keys and reports whether it succeeded. It then waits until the
// owners of that list are known, which say whom to follow. After a failure it tries the
// seeds and backs off.
func (mirror *mirror) initialize(ctx context.Context) bool {
	if err := mirror.relist(ctx); err != nil {
		mirror.directUntil = 0
		mirror.fetchFromSeeds(ctx)
		mirror.backOff(ctx)
		return false
	}
	ownersCtx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	_, _ = mirror.edge.port.Await(ownersCtx, func(snapshot *ebonywood.Snapshot) bool {
		return len(snapshot.Owners().Watchers()) > 0
	})
	return true
}

// delayWatch waits before the next watch. Otherwise, many proxies that write their
// reports at the same time would each end one watch of every watching proxy.
func (mirror *mirror) delayWatch(ctx context.Context) {
	delay := time.Duration(mirror.edge.port.Snapshot().ReportCount()) * watchDelayPerProxy
	if delay > maxWatchDelay || mirror.edge.port.Clock().Now() < startPeriod {
		delay = maxWatchDelay
	}
	mirror.edge.sleep(ctx, delay)
}

// backOff waits before the next call, longer after each failure. The wait ends early
// when the directory becomes available again.
func (mirror *mirror) backOff(ctx context.Context) {
	delay := retryDelay << min(mirror.failures, mirrorMaxDoublings)
	snapshot := mirror.edge.port.Snapshot()
	if snapshot.ReportCount() >= largeFleet && !snapshot.Owners().IsWatcher() {
		delay = followerRetryDelay << min(mirror.failures, 1)
	}
	mirror.failures++
	select {
	case <-ctx.Done():
	case <-mirror.edge.recovered:
	case <-time.After(delay):
	}
}

// relist reads all keys and replaces the mirrored items, except for members' entries that are
// retained.
func (mirror *mirror) relist(ctx context.Context) error {
	start := time.Now()
	listed, revision, err := mirror.list(ctx)
	mirror.edge.recordOutcome(start, err)
	if err != nil {
		return err
	}
	items := make(map[string]ebonywood.Item, len(listed))
	for _, item := range listed {
		items[item.Key()] = item
	}
	mirror.enterEra(ctx, revision.Era())
	mirror.retainMembers(items)
	mirror.edge.port.Log().Info("listed", "revision", revision.String(), "items", len(items), "heldThrough", mirror.newestRevision().String())
	isFirst := mirror.items == nil
	mirror.items, mirror.revision, mirror.failures = items, revision, 0
	mirror.keepNewestConfiguration()
	if isFirst {
		mirror.askSeedsForConfiguration(ctx, revision)
		mirror.keepNewestConfiguration()
	}
	startedAt := mirror.edge.port.Clock().Now() - ebonywood.MillisOf(time.Since(start))
	mirror.edge.feed.update(items, startedAt, revision)
	mirror.dispatch(ctx, func(string) bool { return true })
	mirror.confirm(ctx, startedAt)
	return nil
}

// confirm reports to the control loop that the events posted so far hold every change
// that the directory had accepted by a time. Like the changes, it waits in the loop's
// queue, so that the snapshot never claims more than is in force. A directory that was just
// restored from a backup may lack changes that it had accepted, so it confirms nothing.
func (mirror *mirror) confirm(ctx context.Context, asOf ebonywood.Millis) {
	if mirror.edge.wasJustRestored() {
		return
	}
	_ = mirror.edge.port.Post(ctx, ebonywood.NewConfigurationConfirmed(asOf))
}

// confirmedAsOf returns the time as of which a response that has just been read holds
// every change. The request was sent at sentAt and could wait for changes for wait. If
// there were none, the other side waited for as long. The time at which the response was
// read says nothing, since this process may have been late to do so.
func (mirror *mirror) confirmedAsOf(sentAt, wait ebonywood.Millis, changes int) ebonywood.Millis {
	if changes > 0 || mirror.edge.port.Clock().Now()-sentAt < wait {
		return sentAt
	}
	return sentAt + wait
}

// pollChanges waits for the next changes in the directory and applies them.
func (mirror *mirror) pollChanges(ctx context.Context) error {
	// A watch may get no response although there are changes, so its wait is well below
	// the time in which a change has to be in force.
	wait := mirror.edge.limits().Millis(ebonywood.LimitWatchWait)
	if len(mirror.retained) > 0 {
		wait = expiredWatchWait
	}
	start, sentAt := time.Now(), mirror.edge.port.Clock().Now()
	callCtx, cancel := context.WithTimeout(ctx, wait.Duration()+watchTimeoutMargin)
	defer cancel()
	changes, revision, err := mirror.edge.port.Directory().Changes(callCtx, allKeys, mirror.revision, wait)
	if ctx.Err() != nil {
		return nil
	}
	mirror.edge.recordOutcome(start, err)
	if err != nil {
		return err
	}
	if mirror.failures > 0 {
		// The directory is back, and so are the watchers that were stale without it.
		mirror.directUntil = 0
		clear(mirror.rejectedUntil)
	}
	mirror.revision, mirror.failures = mirror.revision.Max(revision), 0
	for _, change := range changes {
		mirror.applyChange(change)
	}
	mirror.keepNewestConfiguration()
	purged, ended := mirror.purgeRetained(), mirror.endRestore()
	mirror.edge.feed.update(mirror.items, mirror.edge.port.Clock().Now(), mirror.revision)
	mirror.dispatch(ctx, func(prefix string) bool {
		return purged && prefix == mirror.edge.port.Directory().MemberPrefix() || ended && prefix == proxyPrefix || mirror.affects(changes, prefix)
	})
	mirror.confirm(ctx, mirror.confirmedAsOf(sentAt, wait, len(changes)))
	return nil
}

// affects reports whether any of the changes is to a key under a prefix.
func (mirror *mirror) affects(changes []ebonywood.Item, prefix string) bool {
	return slices.ContainsFunc(changes, func(change ebonywood.Item) bool { return strings.HasPrefix(change.Key(), prefix) })
}

// applyChange applies a change unless the mirror holds a newer revision of its key. A
// deleted entry for which shouldRetain is true is retained.
func (mirror *mirror) applyChange(change ebonywood.Item) {
	key := change.Key()
	current, found := mirror.items[key]
	switch {
	case found && change.Revision().Less(current.Revision()):
		mirror.edge.port.Log().Info("change ignored", "key", key, "revision", change.Revision().String(), "held", current.Revision().String())
	case !change.IsDeleted():
		mirror.items[key] = change
		delete(mirror.retained, key)
	case found && mirror.shouldRetain(current):
		mirror.retained[key] = change
	default:
		delete(mirror.items, key)
		delete(mirror.retained, key)
	}
}
