package ebonywood

import (
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the reigns of primaries in one instance of a database group. A
// higher term replaces a lower one for good.
type Term uint64

// Position is the end of a member's log: the term of the last record and how
// many records there are. The zero value is the empty log.
type Position struct {
	term   Term
	offset uint64
}

// NewPosition makes a position from the term of a record and its offset.
func NewPosition(term Term, offset uint64) Position {
	return Position{term: term, offset: offset}
}

// Term is the term of the last record.
func (at Position) Term() Term { return at.term }

// Offset counts the records up to and including the last one.
func (at Position) Offset() uint64 { return at.offset }

// IsZero reports whether the log is empty.
func (at Position) IsZero() bool { return at == Position{} }

// Less orders logs for a promotion: by the term of the last record, then by
// length.
func (at Position) Less(other Position) bool {
	if at.term != other.term {
		return at.term < other.term
	}
	return at.offset < other.offset
}

// Covers reports whether a log that ends here holds every write that was
// acknowledged at or below floor.
//
// Within a term offsets compare. A record of a later term stands behind the
// start record of that term, whose log was chosen from a majority, so it holds
// all that was ever acknowledged in earlier terms, whatever the offsets say.
func (at Position) Covers(floor Position) bool {
	return !at.Less(floor)
}

// Max returns the later of two positions.
func (at Position) Max(other Position) Position {
	if at.Less(other) {
		return other
	}
	return at
}

// String prints the position as "term/offset", the form of a session token.
func (at Position) String() string {
	return fmt.Sprintf("%d/%d", at.term, at.offset)
}

// ParsePosition reads the form that String prints.
func ParsePosition(text string) (Position, error) {
	left, right, found := strings.Cut(text, "/")
	term, termErr := strconv.ParseUint(left, 10, 64)
	offset, offsetErr := strconv.ParseUint(right, 10, 64)
	if !found || termErr != nil || offsetErr != nil {
		return Position{}, NewFault(KindBadInput, fmt.Sprintf("%q is not a log position", text),
			"pass the value of the ebonywood.session parameter unchanged, such as 3/1042")
	}
	return NewPosition(Term(term), offset), nil
}
