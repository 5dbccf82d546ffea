package directory

import (
	"context"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// maxDeletions bounds the deletions that a feed retains. A follower that is further
// behind receives a full page.
const maxDeletions = 2000

const (
	// After a change, a feed waits batchDelayPerItem for each item that it holds, at
	// most maxBatchDelay, so that followers receive further changes in the same page.
	batchDelayPerItem = 200 * time.Microsecond
	maxBatchDelay     = 100 * time.Millisecond
)

// feed publishes the mirror to other proxies. It numbers the changes in sequence and
// stores the sequence number of the last change of each key. It is safe for concurrent
// use.
type feed struct {
	// epoch identifies this run of the mirror.
	epoch string

	mutex    sync.Mutex
	sequence uint64
	items    map[string]sequencedItem
	// deleted lists the retained deletions in order of their sequence numbers;
	// evictedThrough is the number of the last deletion that was evicted from it.
	deleted        []sequencedItem
	evictedThrough uint64
	// lastResponseAt is the time of the last response of the directory that the mirror
	// reflects; revision is the revision up to which the mirror is complete.
	lastResponseAt ebonywood.Millis
	revision       ebonywood.Revision
	// changed is closed and replaced when the sequence number increases.
	changed chan struct{}
}

// sequencedItem is an item with the sequence number of its last change.
type sequencedItem struct {
	item     ebonywood.Item
	sequence uint64
}

func newFeed(epoch string) *feed {
	return &feed{epoch: epoch, items: map[string]sequencedItem{}, changed: make(chan struct{})}
}

// update replaces the content of the feed with items and wakes waiting followers if
// anything changed. lastResponseAt and revision say how current the items are.
func (feed *feed) update(items map[string]ebonywood.Item, lastResponseAt ebonywood.Millis, revision ebonywood.Revision) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.revision = revision
	feed.lastResponseAt = max(feed.lastResponseAt, lastResponseAt)
	before := feed.sequence
	for key, item := range items {
		previous, found := feed.items[key]
		if !found || previous.item.Revision() != item.Revision() {
			feed.sequence++
			feed.items[key] = sequencedItem{item: item, sequence: feed.sequence}
		}
	}
	for key, previous := range feed.items {
		if _, found := items[key]; !found {
			feed.sequence++
			delete(feed.items, key)
			feed.deleted = append(feed.deleted, sequencedItem{
				item: ebonywood.NewDeletedItem(key, previous.item.Revision()), sequence: feed.sequence,
			})
		}
	}
	if surplus := len(feed.deleted) - maxDeletions; surplus > 0 {
		feed.evictedThrough = feed.deleted[surplus-1].sequence
		feed.deleted = append([]sequencedItem(nil), feed.deleted[surplus:]...)
	}
	if feed.sequence != before {
		close(feed.changed)
		feed.changed = make(chan struct{})
	}
}

// changesSince waits for changes after the cursor until ctx ends or the mirror is
// stale. A stale mirror returns immediately, so that its followers can switch.
func (feed *feed) changesSince(ctx context.Context, cursor ebonywood.Cursor, now func() ebonywood.Millis) ebonywood.MirrorPage {
	feed.mutex.Lock()
	for cursor == ebonywood.NewCursor(feed.epoch, feed.sequence) && ctx.Err() == nil && now()-feed.lastResponseAt <= maxMirrorAge {
		changed, remaining := feed.changed, maxMirrorAge-(now()-feed.lastResponseAt)+1
		feed.mutex.Unlock()
		select {
		case <-changed:
			feed.awaitBatch(ctx)
		case <-ctx.Done():
		case <-time.After(remaining.Duration()):
		}
		feed.mutex.Lock()
	}
	defer feed.mutex.Unlock()
	next := ebonywood.NewCursor(feed.epoch, feed.sequence)
	age := now() - feed.lastResponseAt
	if cursor.Epoch() != feed.epoch || cursor.Sequence() < feed.evictedThrough || cursor.Sequence() > feed.sequence {
		items, unchanged := feed.fullPage(cursor.Revision())
		return ebonywood.NewMirrorPage(next, true, items, age).WithUnchanged(unchanged).WithRevision(feed.revision)
	}
	return ebonywood.NewMirrorPage(next, false, feed.changesAfter(cursor.Sequence()), age).WithRevision(feed.revision)
}

// awaitBatch waits for further changes to include in the same page.
func (feed *feed) awaitBatch(ctx context.Context) {
	feed.mutex.Lock()
	delay := min(time.Duration(len(feed.items))*batchDelayPerItem, maxBatchDelay)
	feed.mutex.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// fullPage returns all items for a follower that holds items up to a revision: newer
// items with their values, and the others in unchanged without values. The mutex is
// held.
func (feed *feed) fullPage(revision ebonywood.Revision) (items, unchanged []ebonywood.Item) {
	for _, entry := range feed.items {
		if !revision.Less(entry.item.Revision()) {
			unchanged = append(unchanged, ebonywood.NewItem(entry.item.Key(), nil, entry.item.Revision()))
			continue
		}
		items = append(items, entry.item)
	}
	return items, unchanged
}

// changesAfter returns the items that were written or deleted after a sequence number.
// The mutex is held.
func (feed *feed) changesAfter(sequence uint64) []ebonywood.Item {
	var items []ebonywood.Item
	for _, entry := range feed.items {
		if entry.sequence > sequence {
			items = append(items, entry.item)
		}
	}
	for _, entry := range feed.deleted {
		if _, rewritten := feed.items[entry.item.Key()]; !rewritten && entry.sequence > sequence {
			items = append(items, entry.item)
		}
	}
	return items
}
