package ebonywood

import (
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the successive primaries of one instance. A higher term permanently
// replaces a lower one.
type Term uint64

// Position is the end of a member's log: the term of the last record and the number
// of records. The zero value is the empty log.
type Position struct {
	term   Term
	offset uint64
}

// NewPosition returns a position from the term of a record and its offset.
func NewPosition(term Term, offset uint64) Position {
	return Position{term: term, offset: offset}
}

// Term returns the term of the last record.
func (position Position) Term() Term { return position.term }

// Offset counts the records up to and including the last one.
func (position Position) Offset() uint64 { return position.offset }

// IsZero reports whether the log is empty.
func (position Position) IsZero() bool { return position == Position{} }

// Less orders logs for a promotion: by the term of the last record, then by length.
func (position Position) Less(other Position) bool {
	if position.term != other.term {
		return position.term < other.term
	}
	return position.offset < other.offset
}

// Covers reports whether a log that ends here holds every write that was
// acknowledged at or below floor.
//
// Within a term offsets compare. A record of a later term follows the start record
// of that term, whose log was chosen from a majority, so it holds everything that
// was ever acknowledged in earlier terms, whatever the offsets are.
func (position Position) Covers(floor Position) bool {
	return !position.Less(floor)
}

// Max returns the later of two positions.
func (position Position) Max(other Position) Position {
	if position.Less(other) {
		return other
	}
	return position
}

// String returns the position as "term/offset", the form of a session token.
func (position Position) String() string {
	return fmt.Sprintf("%d/%d", position.term, position.offset)
}

// ParsePosition parses the form that String returns. Its fault is of KindBadInput.
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
