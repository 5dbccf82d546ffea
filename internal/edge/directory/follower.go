package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ebonywood/ebonywood"
)

// In a large fleet a few proxies watch the directory, and the others follow those:
// the calls at the directory don't grow with the fleet. A follower whose watcher
// fails, or has not heard from the directory lately, watches by itself for a while:
// trying one watcher after the other could take longer than a change may.

const (
	// followWait is how long a follower waits for a change.
	followWait ebonywood.Millis = 1600
	// followSlack is added for the way of the answer.
	followSlack = 600 * time.Millisecond
	// staleSpan is the age above which a watcher's mirror is not good enough: a
	// watch, the attempt after it and the way of the answer.
	staleSpan ebonywood.Millis = 2600
	// aloneSpan is how long a follower watches by itself after its watcher failed or
	// was stale, unfollowedSpan how long it passes over that watcher.
	aloneSpan      ebonywood.Millis = 3000
	unfollowedSpan ebonywood.Millis = 6000
	// seedLimit bounds the question to a seed.
	seedLimit = 500 * time.Millisecond
)

// upstream chooses a watcher to follow: one of this availability zone if there is
// one. It finds none for a process that watches by itself. A watcher that the directory
// does not answer follows another one, which the directory may still answer.
func (mirror *mirror) upstream() (peer ebonywood.PeerView, found bool) {
	edge := mirror.edge
	owners := edge.port.Snapshot().Owners()
	if edge.port.Relay() == nil || owners.IsWatcher() && !edge.isAway() {
		return peer, false
	}
	now := edge.port.Clock().Now()
	if now < mirror.aloneUntil {
		return peer, false
	}
	zone := edge.port.Settings().Zone()
	var near, far []ebonywood.PeerView
	for _, watcher := range owners.Watchers() {
		switch {
		case watcher.Name() == edge.port.Settings().Name():
		case mirror.unfollowed[watcher.Address()] > now:
		case watcher.Zone() == zone:
			near = append(near, watcher)
		default:
			far = append(far, watcher)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return peer, false
	}
	for _, each := range near {
		if each.Address() == mirror.followed {
			return each, true
		}
	}
	return near[rand.IntN(len(near))], true
}

// followPeer takes the next changes from a watcher.
func (mirror *mirror) followPeer(ctx context.Context, peer ebonywood.PeerView) {
	edge := mirror.edge
	if mirror.followed != peer.Address() {
		edge.port.Log().Info("following", "peer", peer.Name(), "zone", peer.Zone())
		mirror.followed, mirror.cursor = peer.Address(), ebonywood.Cursor{}.WithRevision(mirror.newest())
	}
	limited, cancel := context.WithTimeout(ctx, followWait.Duration()+followSlack)
	defer cancel()
	page, err := edge.port.Relay().FetchChanges(limited, peer.Address(), mirror.cursor, followWait)
	if ctx.Err() != nil {
		return
	}
	why := ""
	switch {
	case err != nil:
		why = err.Error()
	case page.Age() > staleSpan:
		why = "its mirror is stale"
	case page.Revision() < mirror.at:
		// What is known here, such as this process's own claim to the duty, must not be
		// taken back by one who has not heard of it yet.
		why = "its mirror is behind"
	default:
		mirror.takePage(ctx, page)
		return
	}
	edge.port.Log().Info("unfollowed", "peer", peer.Name(), "why", why, "ageMs", int64(page.Age()))
	now := edge.port.Clock().Now()
	mirror.aloneUntil = now + aloneSpan
	mirror.unfollowed[peer.Address()] = now + unfollowedSpan
	mirror.followed = ""
}

// takePage takes in what a watcher or seed told.
func (mirror *mirror) takePage(ctx context.Context, page ebonywood.MirrorPage) {
	mirror.merge(page)
	mirror.edge.feed.update(mirror.items, mirror.edge.port.Clock().Now()-page.Age(), mirror.at)
	mirror.tell(ctx, func(prefix string) bool { return page.IsFull() || mirror.touches(page.Items(), prefix) })
}

// merge makes the items what the other mirror holds.
func (mirror *mirror) merge(page ebonywood.MirrorPage) {
	mirror.cursor, mirror.at = page.Cursor(), page.Revision()
	clear(mirror.lapsed)
	if page.IsFull() {
		mirror.keep(page)
	}
	for _, item := range page.Items() {
		if item.IsDeleted() {
			delete(mirror.items, item.Key())
			continue
		}
		mirror.items[item.Key()] = item
	}
}

// keep drops what a whole page does not name. If something is missing here that it
// expects to be held, the next page has to have all values.
func (mirror *mirror) keep(page ebonywood.MirrorPage) {
	items := make(map[string]ebonywood.Item, len(page.Items())+len(page.Unchanged()))
	for _, each := range page.Unchanged() {
		held, found := mirror.items[each.Key()]
		if !found || held.Revision() != each.Revision() {
			mirror.cursor, mirror.at = ebonywood.Cursor{}, 0
			continue
		}
		items[each.Key()] = held
	}
	mirror.items = items
}

// newest is the greatest revision that is held.
func (mirror *mirror) newest() int64 {
	revision := int64(0)
	for _, item := range mirror.items {
		revision = max(revision, item.Revision())
	}
	return revision
}

// askSeeds takes what other proxies know when this one has begun while the
// directory does not answer it.
func (mirror *mirror) askSeeds(ctx context.Context) {
	relay := mirror.edge.port.Relay()
	if relay == nil || len(mirror.items) > 0 {
		return
	}
	for _, seed := range mirror.edge.port.Settings().Seeds() {
		limited, cancel := context.WithTimeout(ctx, seedLimit)
		page, err := relay.FetchChanges(limited, seed, ebonywood.Cursor{}, 0)
		cancel()
		if err != nil || len(page.Items()) == 0 {
			continue
		}
		mirror.edge.port.Log().Info("seeded", "seed", seed, "items", len(page.Items()), "ageMs", int64(page.Age()))
		mirror.takePage(ctx, page)
		return
	}
}
