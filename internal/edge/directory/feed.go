package directory

import (
	"context"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// deletionsKept bounds the deletions that a feed remembers; who is further behind
// gets the whole.
const deletionsKept = 2000

const (
	// pausePerItem, up to pauseLimit, is how long a change waits for further ones before
	// followers are told.
	pausePerItem = 200 * time.Microsecond
	pauseLimit   = 100 * time.Millisecond
)

// feed is the mirror as other proxies follow it: each key with the number of its
// last change. It belongs to many goroutines.
type feed struct {
	epoch string

	mutex    sync.Mutex
	sequence uint64
	items    map[string]numbered
	// deleted are the deletions that are remembered, oldest that of the last one
	// forgotten.
	deleted []numbered
	oldest  uint64
	// fresh is when the directory last answered, as far as this mirror knows, and at the
	// revision up to which it misses nothing.
	fresh   ebonywood.Millis
	at      int64
	changed chan struct{}
}

// numbered is an item with the number of its change.
type numbered struct {
	item   ebonywood.Item
	number uint64
}

func newFeed(epoch string) *feed {
	return &feed{epoch: epoch, items: map[string]numbered{}, changed: make(chan struct{})}
}

// update makes items what the feed holds, as of a time and a revision.
func (feed *feed) update(items map[string]ebonywood.Item, fresh ebonywood.Millis, at int64) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.at = at
	feed.fresh = max(feed.fresh, fresh)
	before := feed.sequence
	for key, item := range items {
		known, found := feed.items[key]
		if !found || known.item.Revision() != item.Revision() {
			feed.sequence++
			feed.items[key] = numbered{item: item, number: feed.sequence}
		}
	}
	for key, known := range feed.items {
		if _, found := items[key]; !found {
			feed.sequence++
			delete(feed.items, key)
			feed.deleted = append(feed.deleted, numbered{
				item: ebonywood.NewDeletedItem(key, known.item.Revision()), number: feed.sequence,
			})
		}
	}
	if surplus := len(feed.deleted) - deletionsKept; surplus > 0 {
		feed.oldest = feed.deleted[surplus-1].number
		feed.deleted = append([]numbered(nil), feed.deleted[surplus:]...)
	}
	if feed.sequence != before {
		close(feed.changed)
		feed.changed = make(chan struct{})
	}
}

// since waits for changes after the cursor until ctx ends, or until the mirror is
// stale, which followers have to know at once.
func (feed *feed) since(ctx context.Context, cursor ebonywood.Cursor, now func() ebonywood.Millis) ebonywood.MirrorPage {
	feed.mutex.Lock()
	for cursor == ebonywood.NewCursor(feed.epoch, feed.sequence) && ctx.Err() == nil && now()-feed.fresh <= staleSpan {
		changed, left := feed.changed, staleSpan-(now()-feed.fresh)+1
		feed.mutex.Unlock()
		select {
		case <-changed:
			feed.gather(ctx)
		case <-ctx.Done():
		case <-time.After(left.Duration()):
		}
		feed.mutex.Lock()
	}
	defer feed.mutex.Unlock()
	next := ebonywood.NewCursor(feed.epoch, feed.sequence)
	age := now() - feed.fresh
	if cursor.Epoch() != feed.epoch || cursor.Sequence() < feed.oldest || cursor.Sequence() > feed.sequence {
		items, kept := feed.all(cursor.Revision())
		return ebonywood.NewMirrorPage(next, true, items, age).WithUnchanged(kept).WithRevision(feed.at)
	}
	return ebonywood.NewMirrorPage(next, false, feed.after(cursor.Sequence()), age).WithRevision(feed.at)
}

// gather waits a little for further changes.
func (feed *feed) gather(ctx context.Context) {
	feed.mutex.Lock()
	span := min(time.Duration(len(feed.items))*pausePerItem, pauseLimit)
	feed.mutex.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// all is everything, of which one who holds items up to a revision keeps what is not
// newer; the mutex is held.
func (feed *feed) all(revision int64) (items, kept []ebonywood.Item) {
	for _, each := range feed.items {
		if each.item.Revision() <= revision {
			kept = append(kept, ebonywood.NewItem(each.item.Key(), nil, each.item.Revision()))
			continue
		}
		items = append(items, each.item)
	}
	return items, kept
}

// after are the changes after a number; the mutex is held.
func (feed *feed) after(number uint64) []ebonywood.Item {
	var items []ebonywood.Item
	for _, each := range feed.items {
		if each.number > number {
			items = append(items, each.item)
		}
	}
	for _, each := range feed.deleted {
		if _, again := feed.items[each.item.Key()]; !again && each.number > number {
			items = append(items, each.item)
		}
	}
	return items
}
