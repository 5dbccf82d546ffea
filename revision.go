package ebonywood

import (
	"cmp"
	"fmt"
)

// Era counts the times that the directory was restored from a backup of its content. It is 0 for
// a directory that does not tell.
type Era int64

// tokenNumberBits is the number of bits of a fencing token that hold the number of a revision;
// those above hold the era.
const tokenNumberBits = 40

// Revision is a point in the history of the directory. A directory that is restored from a backup
// loses its changes since and gives their numbers out again, so a number alone identifies
// nothing: the era in which it was read comes first. The zero value is before the first change.
type Revision struct {
	era    Era
	number int64
}

// NewRevision returns the revision with a number as read in an era.
func NewRevision(era Era, number int64) Revision { return Revision{era: era, number: number} }

// Era returns the era in which the revision was read.
func (revision Revision) Era() Era { return revision.era }

// Number returns the directory's number of the revision, which is unique within the era.
func (revision Revision) Number() int64 { return revision.number }

// IsZero reports whether the revision is before the first change.
func (revision Revision) IsZero() bool { return revision == Revision{} }

// Compare returns a negative number if the revision is before other, 0 if they are equal, and
// a positive number if it is after other.
func (revision Revision) Compare(other Revision) int {
	if order := cmp.Compare(revision.era, other.era); order != 0 {
		return order
	}
	return cmp.Compare(revision.number, other.number)
}

// Less reports whether the revision is before other.
func (revision Revision) Less(other Revision) bool { return revision.Compare(other) < 0 }

// Max returns the later of two revisions.
func (revision Revision) Max(other Revision) Revision {
	if revision.Less(other) {
		return other
	}
	return revision
}

// FencingToken returns an integer that orders the revisions of all eras. In era 0 it is the
// number.
func (revision Revision) FencingToken() int64 {
	return int64(revision.era)<<tokenNumberBits | revision.number
}

// String returns the revision as "era/number".
func (revision Revision) String() string { return fmt.Sprintf("%d/%d", revision.era, revision.number) }
