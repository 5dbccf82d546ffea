// Package confirmation decides when a primary's reply may be returned to the caller.
//
// A committed write is safe once a majority of the members have stored it while they
// obey no later term: any later primary is chosen from a majority, the two majorities
// share a member, and the member with the most advanced log is promoted. The members
// are queried after the commit, once for all transactions that wait at that time, so
// the cost does not grow with the rate of writes.
//
// Confirming the term alone would save one wait for replication. It shows that the
// primary had not been replaced, but if the primary then fails, the end of its log that
// no replica had received is lost.
package confirmation

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// Batch collects transactions that ended on a primary and confirms them together. It
// does no I/O. The zero value is for an instance without members, from which no status
// can arrive, so that nothing is confirmed.
type Batch struct {
	// members is the number of members of the instance.
	members int
	// waiting has the transactions of the next confirmation, inFlight those of the
	// present one.
	waiting  []transaction
	inFlight []transaction
	// round is the number of the present confirmation.
	round uint64
	// position is the log position that the members have to confirm.
	position ebonywood.Position
	// confirmedBy has the members that confirmed position, the primary first.
	confirmedBy []ebonywood.MemberID
}

// transaction waits for its confirmation. It has the caller's number for it and the
// term in which its connection to the primary was opened.
type transaction struct {
	number uint64
	term   ebonywood.Term
}

// New returns an empty batch for an instance with the given number of members.
func New(members int) *Batch { return &Batch{members: members} }

// Add queues a transaction for the next confirmation. It must have ended on the primary
// already.
func (batch *Batch) Add(number uint64, term ebonywood.Term) {
	batch.waiting = append(batch.waiting, transaction{number: number, term: term})
}

// Begin starts a confirmation of all waiting transactions and reports whether it did:
// it doesn't if one is in flight or none wait. The primary's status must be requested
// after this call.
func (batch *Batch) Begin() bool {
	if len(batch.inFlight) > 0 || len(batch.waiting) == 0 {
		return false
	}
	batch.inFlight, batch.waiting = batch.waiting, nil
	batch.round++
	batch.position = ebonywood.Position{}
	batch.confirmedBy = batch.confirmedBy[:0]
	return true
}

// Round returns the number of the confirmation that was started last.
func (batch *Batch) Round() uint64 { return batch.round }

// ApplyPrimaryStatus sets the position to confirm from the primary's status, which was
// requested after Begin. It returns the transactions that can't be confirmed because the
// member is not the primary of their term.
func (batch *Batch) ApplyPrimaryStatus(member ebonywood.MemberID, status ebonywood.Status) (lost []uint64) {
	var kept []transaction
	for _, transaction := range batch.inFlight {
		if status.Role() == ebonywood.RolePrimary && status.FencedTerm() == transaction.term {
			kept = append(kept, transaction)
		} else {
			lost = append(lost, transaction.number)
		}
	}
	batch.inFlight = kept
	if len(kept) > 0 {
		batch.position = status.LogEnd()
		batch.confirmedBy = append(batch.confirmedBy, member)
	}
	return lost
}

// Position returns the log position that the members have to confirm; zero before
// ApplyPrimaryStatus.
func (batch *Batch) Position() ebonywood.Position { return batch.position }

// RecordConfirmation records a member's confirmation of Position that was requested in
// the given round. Once a majority has confirmed, it returns the transactions that are
// safe and the position that covers them.
//
// A late reply of an earlier round does not count even if the position is the same: it
// was requested before the reads of this round, so the member may already have obeyed a
// later term when they ran.
func (batch *Batch) RecordConfirmation(member ebonywood.MemberID, round uint64) (confirmed []uint64, position ebonywood.Position) {
	if batch.position.IsZero() || round != batch.round || slices.Contains(batch.confirmedBy, member) {
		return nil, ebonywood.Position{}
	}
	batch.confirmedBy = append(batch.confirmedBy, member)
	return batch.TakeConfirmed()
}

// TakeConfirmed returns the transactions that are safe if a majority has confirmed. The
// primary alone is a majority in an instance of one member.
func (batch *Batch) TakeConfirmed() (confirmed []uint64, position ebonywood.Position) {
	if batch.position.IsZero() || len(batch.confirmedBy) < ebonywood.Majority(batch.members) {
		return nil, ebonywood.Position{}
	}
	return batch.Abort(), batch.position
}

// Abort ends the confirmation and returns its transactions, whose outcome is unknown.
func (batch *Batch) Abort() (unconfirmed []uint64) {
	for _, transaction := range batch.inFlight {
		unconfirmed = append(unconfirmed, transaction.number)
	}
	batch.inFlight = nil
	return unconfirmed
}
