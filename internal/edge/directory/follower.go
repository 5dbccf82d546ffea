package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// In a large fleet a few proxies, the watchers, watch the directory, and the others
// follow a watcher's mirror, so that the load on the directory does not grow with the
// fleet. A follower whose watcher fails or is stale watches the directory itself for
// a while: trying one watcher after another could take longer than the time in which
// a change has to be in force.

const (
	// followWait is how long a watcher may hold a follower's request until there is a
	// change.
	followWait ebonywood.Millis = 1600
	// followTimeoutMargin is added to followWait for the transfer of the response.
	followTimeoutMargin = 600 * time.Millisecond
	// maxMirrorAge is the age above which a watcher's mirror is stale. It covers one
	// watch, the attempt after it and the transfer of the response.
	maxMirrorAge ebonywood.Millis = 2600
	// directWatchPeriod is how long a follower watches the directory itself after its
	// watcher failed or was stale; watcherRetryDelay is how long it does not choose
	// that watcher again.
	directWatchPeriod ebonywood.Millis = 3000
	watcherRetryDelay ebonywood.Millis = 6000
	// watcherRecoveryTime is how long after the directory's recovery a watcher may still be
	// in its backoff, with a stale mirror.
	watcherRecoveryTime = time.Second
	// maxBehindTries is how often a follower asks a watcher whose mirror is behind its own
	// again, after maxWatchDelay each, before it rejects it. A watcher waits that long
	// between two watches, so a follower that has just watched the directory itself is
	// often ahead.
	maxBehindTries = 3
	// seedTimeout bounds the request to a seed.
	seedTimeout = 500 * time.Millisecond
)

// upstream chooses a watcher to follow, preferably in the same availability zone. It
// returns false if this process has to watch the directory itself. A watcher to which
// the directory does not respond follows another watcher, which may still reach it.
func (mirror *mirror) upstream() (peer ebonywood.PeerView, found bool) {
	edge := mirror.edge
	owners := edge.port.Snapshot().Owners()
	if edge.port.Relay() == nil || owners.IsWatcher() && !edge.isUnavailable() {
		return peer, false
	}
	now := edge.port.Clock().Now()
	if now < mirror.directUntil {
		return peer, false
	}
	zone := edge.port.Settings().Zone()
	var candidates, otherZones []ebonywood.PeerView
	for _, watcher := range owners.Watchers() {
		switch {
		case watcher.Name() == edge.port.Settings().Name():
		case mirror.rejectedUntil[watcher.Address()] > now:
		case watcher.Zone() == zone:
			candidates = append(candidates, watcher)
		default:
			otherZones = append(otherZones, watcher)
		}
	}
	if len(candidates) == 0 {
		candidates = otherZones
	}
	if len(candidates) == 0 {
		return peer, false
	}
	for _, watcher := range candidates {
		if watcher.Address() == mirror.upstreamAddress {
			return watcher, true
		}
	}
	return candidates[rand.IntN(len(candidates))], true
}

// followPeer fetches and applies the next changes from a watcher. If the watcher fails,
// or its mirror is stale or behind, it is rejected for watcherRetryDelay. A watcher stops
// following as soon as the directory responds to it again.
func (mirror *mirror) followPeer(ctx context.Context, peer ebonywood.PeerView) {
	edge := mirror.edge
	if mirror.upstreamAddress != peer.Address() {
		edge.port.Log().Info("following", "peer", peer.Name(), "zone", peer.Zone())
		mirror.upstreamAddress, mirror.cursor = peer.Address(), ebonywood.Cursor{}.WithRevision(mirror.newestRevision())
	}
	sentAt := edge.port.Clock().Now()
	callCtx, cancel := context.WithTimeout(ctx, followWait.Duration()+followTimeoutMargin)
	defer cancel()
	if edge.port.Snapshot().Owners().IsWatcher() {
		edge.onRecovery(cancel)
		defer edge.onRecovery(nil)
	}
	page, err := edge.port.Relay().FetchChanges(callCtx, peer.Address(), mirror.cursor, followWait)
	if errors.Is(callCtx.Err(), context.Canceled) {
		return
	}
	reason := ""
	switch {
	case err != nil:
		reason = err.Error()
	case page.Age() > maxMirrorAge && edge.timeSinceRecovery() < watcherRecoveryTime:
		edge.sleep(ctx, maxWatchDelay)
		return
	case page.Age() > maxMirrorAge:
		reason = "its mirror is stale"
	case !page.Revision().Less(mirror.revision):
		mirror.behindTries = 0
		mirror.applyPage(ctx, page)
		mirror.confirm(ctx, mirror.confirmedAsOf(sentAt, followWait, len(page.Items()))-page.Age())
		return
	case mirror.behindTries < maxBehindTries:
		// An older mirror must not revert newer state here, such as this process's own
		// claim to the duty.
		mirror.behindTries++
		edge.sleep(ctx, maxWatchDelay)
		return
	default:
		reason = "its mirror is behind"
	}
	mirror.behindTries = 0
	edge.port.Log().Info("unfollowed", "peer", peer.Name(), "why", reason, "ageMs", int64(page.Age()))
	now := edge.port.Clock().Now()
	mirror.directUntil = now + directWatchPeriod
	mirror.rejectedUntil[peer.Address()] = now + watcherRetryDelay
	mirror.upstreamAddress = ""
}

// applyPage applies a page from a watcher or seed, and passes the changes on to the
// followers of this process and to the handlers.
func (mirror *mirror) applyPage(ctx context.Context, page ebonywood.MirrorPage) {
	if page.IsFull() {
		mirror.edge.port.Log().Info("mirror copied", "revision", page.Revision().String(), "items", len(page.Items()), "unchanged", len(page.Unchanged()))
	}
	mirror.enterEra(ctx, page.Revision().Era())
	mirror.merge(page)
	mirror.keepNewestConfiguration()
	mirror.edge.feed.update(mirror.items, mirror.edge.port.Clock().Now()-page.Age(), mirror.revision)
	ended := mirror.endRestore()
	mirror.dispatch(ctx, func(prefix string) bool {
		return page.IsFull() || ended && prefix == proxyPrefix || mirror.affects(page.Items(), prefix)
	})
}

// merge updates the items to match the mirror that the page comes from.
func (mirror *mirror) merge(page ebonywood.MirrorPage) {
	mirror.cursor, mirror.revision = page.Cursor(), page.Revision()
	clear(mirror.retained)
	if page.IsFull() {
		mirror.retainUnchanged(page)
	}
	for _, item := range page.Items() {
		if item.IsDeleted() {
			delete(mirror.items, item.Key())
			continue
		}
		mirror.items[item.Key()] = item
	}
}

// retainUnchanged drops all items except those that a full page lists as unchanged. If
// one of these is missing here or has another revision, it resets the cursor, so that
// the next page contains all values.
func (mirror *mirror) retainUnchanged(page ebonywood.MirrorPage) {
	items := make(map[string]ebonywood.Item, len(page.Items())+len(page.Unchanged()))
	for _, entry := range page.Unchanged() {
		local, found := mirror.items[entry.Key()]
		if !found || local.Revision() != entry.Revision() {
			mirror.cursor, mirror.revision = ebonywood.Cursor{}, ebonywood.Revision{}
			continue
		}
		items[entry.Key()] = local
	}
	mirror.items = items
}

// newestRevision returns the highest revision of the held items.
func (mirror *mirror) newestRevision() (revision ebonywood.Revision) {
	for _, item := range mirror.items {
		revision = revision.Max(item.Revision())
	}
	return revision
}

// seedPage is the whole mirror of a seed proxy.
type seedPage struct {
	seed string
	page ebonywood.MirrorPage
}

// isNewerThan reports whether the page reflects a later state of the directory, or the
// same state more recently.
func (own seedPage) isNewerThan(other seedPage) bool {
	if order := own.page.Revision().Compare(other.page.Revision()); order != 0 {
		return order > 0
	}
	return own.page.Age() < other.page.Age()
}

// fetchFromSeeds fills an empty mirror from the seed proxy whose mirror is the most
// recent one, whatever its age. It serves a proxy that starts while the directory does
// not respond to it. A seed that the directory refuses, too, may still list members that
// have left and routes that were removed, so the first seed to respond is not enough.
func (mirror *mirror) fetchFromSeeds(ctx context.Context) {
	if mirror.edge.port.Relay() == nil || len(mirror.items) > 0 {
		return
	}
	pages := mirror.fetchSeedPages(ctx, mirror.edge.port.Settings().Seeds(), ebonywood.Cursor{})
	if len(pages) == 0 {
		return
	}
	newest := pages[0]
	for _, candidate := range pages {
		mirror.examinePage(candidate.page)
		if candidate.isNewerThan(newest) {
			newest = candidate
		}
	}
	mirror.edge.port.Log().Info("seeded", "seed", newest.seed, "items", len(newest.page.Items()), "ageMs", int64(newest.page.Age()))
	mirror.applyPage(ctx, newest.page)
}

// fetchSeedPages requests the mirrors of all seeds at the same time, and returns those
// that hold any items. The items up to the cursor's revision come without values.
func (mirror *mirror) fetchSeedPages(ctx context.Context, seeds []string, cursor ebonywood.Cursor) (pages []seedPage) {
	var group rungroup.Group
	var mutex sync.Mutex
	for _, seed := range seeds {
		group.Go(func(context.Context) error {
			callCtx, cancel := context.WithTimeout(ctx, seedTimeout)
			defer cancel()
			page, err := mirror.edge.port.Relay().FetchChanges(callCtx, seed, cursor, 0)
			if err != nil || len(page.Items())+len(page.Unchanged()) == 0 {
				return nil
			}
			mutex.Lock()
			defer mutex.Unlock()
			pages = append(pages, seedPage{seed: seed, page: page})
			return nil
		})
	}
	_ = group.Wait()
	return pages
}
