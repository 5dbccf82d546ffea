// Package confirmation decides when a primary's answer may be given.
//
// A committed write is safe once a majority of the members hold it while they
// obey no later term: any later primary is chosen from a majority, the two meet
// in one member, and the longest log wins. The proof is asked for after the
// commit, for all transactions that wait at that moment together, so its cost
// does not grow with the rate of writes.
//
// Confirming the term alone would be cheaper by one wait for replication. It
// shows that the primary had not been replaced, but loses the tail that no
// replica had received when the primary dies.
package confirmation

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// Batch gathers transactions that ended on a primary and settles them together.
// It is pure; the zero value works for an instance without members and settles
// nothing.
type Batch struct {
	members int
	waiting []ticket
	flight  []ticket
	round   uint64
	anchor  ebonywood.Position
	agreed  []ebonywood.MemberID
}

// ticket is one transaction that waits: its number and the term in which its
// connection was opened to the primary.
type ticket struct {
	number uint64
	term   ebonywood.Term
}

// New makes a batch for an instance of so many members.
func New(members int) *Batch { return &Batch{members: members} }

// Add lets a transaction wait. It must have ended on the primary already.
func (batch *Batch) Add(number uint64, term ebonywood.Term) {
	batch.waiting = append(batch.waiting, ticket{number: number, term: term})
}

// Begin starts a confirmation of all that wait, unless one is under way or none
// wait. The primary's status must be read after it.
func (batch *Batch) Begin() bool {
	if len(batch.flight) > 0 || len(batch.waiting) == 0 {
		return false
	}
	batch.flight, batch.waiting = batch.waiting, nil
	batch.round++
	batch.anchor = ebonywood.Position{}
	batch.agreed = batch.agreed[:0]
	return true
}

// Round tells the confirmation that began last from earlier ones.
func (batch *Batch) Round() uint64 { return batch.round }

// Anchor takes the primary's status, read after Begin. The tickets returned
// can't be settled: the member is no longer primary in their term.
func (batch *Batch) Anchor(member ebonywood.MemberID, status ebonywood.Status) (lost []uint64) {
	var kept []ticket
	for _, each := range batch.flight {
		if status.Role() == ebonywood.RolePrimary && status.FencedTerm() == each.term {
			kept = append(kept, each)
		} else {
			lost = append(lost, each.number)
		}
	}
	batch.flight = kept
	if len(kept) > 0 {
		batch.anchor = status.LogEnd()
		batch.agreed = append(batch.agreed, member)
	}
	return lost
}

// Position is what the members have to confirm; zero before Anchor.
func (batch *Batch) Position() ebonywood.Position { return batch.anchor }

// Agree takes a member's confirmation of Position, asked for in a round. Once a
// majority agreed, it returns the transactions that are safe and the position
// that covers them.
//
// A late answer of an earlier round does not count even if the position is the
// same: it was asked for before the reads of this round, so the member may have
// obeyed a later term by the time at which they ran.
func (batch *Batch) Agree(member ebonywood.MemberID, round uint64) (settled []uint64, at ebonywood.Position) {
	if batch.anchor.IsZero() || round != batch.round || slices.Contains(batch.agreed, member) {
		return nil, ebonywood.Position{}
	}
	batch.agreed = append(batch.agreed, member)
	return batch.Settle()
}

// Settle returns the transactions that are safe by now; an instance of one
// member is its own majority.
func (batch *Batch) Settle() (settled []uint64, at ebonywood.Position) {
	if batch.anchor.IsZero() || len(batch.agreed) < ebonywood.Majority(batch.members) {
		return nil, ebonywood.Position{}
	}
	return batch.Abandon(), batch.anchor
}

// Abandon ends the confirmation; what is returned has an unknown outcome.
func (batch *Batch) Abandon() (unsettled []uint64) {
	for _, each := range batch.flight {
		unsettled = append(unsettled, each.number)
	}
	batch.flight = nil
	return unsettled
}
