package ebonywood

import "context"

// Cursor is a position in the changes of a mirror. The zero value is before the
// first change.
type Cursor struct {
	epoch    string
	sequence uint64
	revision Revision
}

// NewCursor returns a cursor. epoch identifies one run of a mirror, within which
// the sequence orders its changes.
func NewCursor(epoch string, sequence uint64) Cursor { return Cursor{epoch: epoch, sequence: sequence} }

// WithRevision returns the cursor of a follower that holds the items up to a
// revision of the directory, whichever mirror they came from.
func (cursor Cursor) WithRevision(revision Revision) Cursor {
	cursor.revision = revision
	return cursor
}

// Revision returns the revision of the directory up to which the follower holds
// items.
func (cursor Cursor) Revision() Revision { return cursor.revision }

// Epoch identifies the run of the mirror.
func (cursor Cursor) Epoch() string { return cursor.epoch }

// Sequence orders the changes of one epoch.
func (cursor Cursor) Sequence() uint64 { return cursor.sequence }

// MirrorPage holds the changes of a mirror since a cursor.
type MirrorPage struct {
	cursor    Cursor
	full      bool
	items     []Item
	unchanged []Item
	revision  Revision
	age       Millis
}

// NewMirrorPage returns a page. cursor is where the next request continues. full is
// true if the page holds all items of the mirror rather than changes. age is the time
// since the directory last responded to the mirror.
func NewMirrorPage(cursor Cursor, full bool, items []Item, age Millis) MirrorPage {
	return MirrorPage{cursor: cursor, full: full, items: items, age: age}
}

// WithUnchanged returns the full page with further items, of which it has only the
// keys and revisions: the follower already holds their values.
func (page MirrorPage) WithUnchanged(unchanged []Item) MirrorPage {
	page.unchanged = unchanged
	return page
}

// WithRevision returns the page of a mirror that holds every change up to a
// revision of the directory.
func (page MirrorPage) WithRevision(revision Revision) MirrorPage {
	page.revision = revision
	return page
}

// Revision returns a revision of the directory up to which no change is missing.
func (page MirrorPage) Revision() Revision { return page.revision }

// Unchanged returns the items of a full page that come without their values.
func (page MirrorPage) Unchanged() []Item { return page.unchanged }

// Cursor returns where the next request continues.
func (page MirrorPage) Cursor() Cursor { return page.cursor }

// IsFull reports whether the page holds all items of the mirror.
func (page MirrorPage) IsFull() bool { return page.full }

// Items returns the items that were written or deleted since the cursor. In a full
// page they are all items of the mirror except the unchanged ones.
func (page MirrorPage) Items() []Item { return page.items }

// Age returns the time since the directory last responded to the mirror.
func (page MirrorPage) Age() Millis { return page.age }

// Mirror is this process's copy of the directory, which other proxies can follow.
type Mirror interface {
	// Changes waits for changes after the cursor, and returns none when ctx ends or
	// once the page's age shows that the mirror is out of date, so that the follower
	// can switch to another. A cursor of another epoch, or one that is too old, gets
	// a full page.
	Changes(ctx context.Context, cursor Cursor) MirrorPage
}
