package ebonywood

import "context"

// Cursor is a place in the changes of a mirror. The zero value is before all.
type Cursor struct {
	epoch    string
	sequence uint64
	revision int64
}

// NewCursor makes a cursor; epoch names one life of a mirror, within which the
// sequence orders its changes.
func NewCursor(epoch string, sequence uint64) Cursor { return Cursor{epoch: epoch, sequence: sequence} }

// Holding returns the cursor of one who holds items up to a revision of the
// directory, whichever mirror they came from.
func (cursor Cursor) WithRevision(revision int64) Cursor {
	cursor.revision = revision
	return cursor
}

// Revision is up to which revision of the directory the other holds items.
func (cursor Cursor) Revision() int64 { return cursor.revision }

// Epoch names the life of the mirror.
func (cursor Cursor) Epoch() string { return cursor.epoch }

// Sequence orders the changes of one epoch.
func (cursor Cursor) Sequence() uint64 { return cursor.sequence }

// MirrorPage is what has changed in a mirror since a cursor.
type MirrorPage struct {
	cursor Cursor
	whole  bool
	items  []Item
	kept   []Item
	at     int64
	age    Millis
}

// NewMirrorPage makes a page. whole says that the items are all that the mirror
// holds; age is the time since the directory, of which it is a mirror, answered.
func NewMirrorPage(cursor Cursor, whole bool, items []Item, age Millis) MirrorPage {
	return MirrorPage{cursor: cursor, whole: whole, items: items, age: age}
}

// Keeping returns a whole page that names further items, without their values, which
// the other has to hold already.
func (page MirrorPage) WithUnchanged(kept []Item) MirrorPage {
	page.kept = kept
	return page
}

// AsOf returns the page of a mirror that misses nothing up to a revision of the
// directory.
func (page MirrorPage) WithRevision(revision int64) MirrorPage {
	page.at = revision
	return page
}

// At is a revision of the directory from which its changes go on.
func (page MirrorPage) Revision() int64 { return page.at }

// Kept are the items of a whole page that come without their values.
func (page MirrorPage) Unchanged() []Item { return page.kept }

// Cursor is where to go on from.
func (page MirrorPage) Cursor() Cursor { return page.cursor }

// IsWhole reports whether the items are all that the mirror holds.
func (page MirrorPage) IsFull() bool { return page.whole }

// Items are what was written or deleted.
func (page MirrorPage) Items() []Item { return page.items }

// Age is the time since the directory answered the mirror.
func (page MirrorPage) Age() Millis { return page.age }

// Mirror is this process's copy of the directory, from which others can take
// theirs.
type Mirror interface {
	// Since waits for changes after the cursor, and returns none when ctx ends. A
	// cursor of another epoch, or one that is too old, gets the whole.
	Changes(ctx context.Context, cursor Cursor) MirrorPage
}
