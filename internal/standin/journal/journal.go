// Package journal models the replicated log of one member of a database group:
// records with terms and offsets, fencing, promotion and replication. It does no
// input or output, so that the target stand-in and the stateful fuzz test share
// one model of a member's behaviour.
package journal

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
)

// Journal holds a member's log and the state that its applied records produce. The
// zero value is an empty replica. It is not safe for concurrent use.
type Journal struct {
	records []record
	// state maps each key to its visible values in the order of their writes.
	state map[string][]string
	// applied counts the records that state includes.
	applied     int
	fencedTerm  ebonywood.Term
	fenceHolder string
	primaryTerm ebonywood.Term
}

// record is one entry of the log; each write is a key and a value. A record
// without writes starts a term.
type record struct {
	term   ebonywood.Term
	writes [][2]string
}

// Fence makes the member refuse all terms below term. A term is granted to one
// holder only; the same holder may repeat the call. It returns a fault of KindConflict
// if the member is fenced at a higher term, or at this one by another holder.
func (journal *Journal) Fence(term ebonywood.Term, holder string) error {
	granted := term > journal.fencedTerm || term == journal.fencedTerm && holder == journal.fenceHolder && holder != ""
	if !granted {
		return ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member is already fenced at term %d", journal.fencedTerm), "fence at a higher term")
	}
	journal.fencedTerm = term
	journal.fenceHolder = holder
	return nil
}

// Promote makes the member the primary of a term at which holder has fenced it.
// It appends a record that starts the term, before any write of the term. A repeated
// call has no effect. It returns a fault of KindConflict if the member is not fenced at
// the term by holder.
func (journal *Journal) Promote(term ebonywood.Term, holder string) error {
	if journal.fencedTerm != term || journal.fenceHolder != holder {
		return ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member is fenced at term %d by %q", journal.fencedTerm, journal.fenceHolder), "fence it first")
	}
	if journal.primaryTerm == term {
		return nil
	}
	journal.primaryTerm = term
	journal.records = append(journal.records, record{term: term})
	journal.applyAll()
	return nil
}

// IsPrimary reports whether the member accepts writes.
func (journal *Journal) IsPrimary() bool {
	return journal.primaryTerm > 0 && journal.primaryTerm == journal.fencedTerm
}

// PrimaryTerm returns the term in which the member was last the primary, 0 if it
// never was.
func (journal *Journal) PrimaryTerm() ebonywood.Term { return journal.primaryTerm }

// Append commits writes, each a key and a value, as one record, and makes them visible
// to reads. It returns a fault of KindNotRun on a replica.
func (journal *Journal) Append(writes [][2]string) error {
	if !journal.IsPrimary() {
		return ebonywood.NewFault(ebonywood.KindNotRun, "cannot execute a write on a replica", "send it to the primary")
	}
	journal.records = append(journal.records, record{term: journal.primaryTerm, writes: writes})
	journal.applyAll()
	return nil
}

// Receive stores records that a primary of term sent; terms and writes have one
// element for each record. The records follow prev, which this log must already
// contain; from the first record that conflicts with them, this log is
// truncated. It reports whether prev matched, and whether records that were visible
// to reads were rolled back. It returns a fault of KindConflict if the member is fenced
// at a higher term.
func (journal *Journal) Receive(
	term ebonywood.Term, prev ebonywood.Position, terms []ebonywood.Term, writes [][][2]string,
) (matched, rewound bool, err error) {
	if term < journal.fencedTerm {
		return false, false, ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member is fenced at term %d", journal.fencedTerm), "stop replicating at a lower term")
	}
	if term > journal.fencedTerm {
		journal.fencedTerm, journal.fenceHolder = term, ""
	}
	if journal.termAt(prev.Offset()) != prev.Term() || prev.Offset() > uint64(len(journal.records)) {
		return false, false, nil
	}
	base := int(prev.Offset())
	for i := range terms {
		if base+i < len(journal.records) && journal.records[base+i].term == terms[i] {
			continue
		}
		rewound = journal.truncate(base+i) || rewound
		journal.records = append(journal.records, record{term: terms[i], writes: writes[i]})
	}
	return true, rewound, nil
}

// termAt returns the term of the record that ends at offset, or 0 if offset is 0 or
// beyond the end of the log.
func (journal *Journal) termAt(offset uint64) ebonywood.Term {
	if offset == 0 || offset > uint64(len(journal.records)) {
		return 0
	}
	return journal.records[offset-1].term
}

// truncate removes the records after the first length ones. It reports whether
// any of them was visible to reads; the state is then rebuilt from the rest.
func (journal *Journal) truncate(length int) (rewound bool) {
	journal.records = journal.records[:length]
	if journal.applied <= length {
		return false
	}
	journal.state = nil
	journal.applied = 0
	journal.Apply(uint64(length))
	return true
}

// From returns at most limit records that follow offset, and the position that
// they follow.
func (journal *Journal) From(offset uint64, limit int) (prev ebonywood.Position, terms []ebonywood.Term, writes [][][2]string) {
	offset = min(offset, uint64(len(journal.records)))
	prev = ebonywood.NewPosition(journal.termAt(offset), offset)
	for _, record := range journal.records[offset:] {
		if len(terms) == limit {
			break
		}
		terms = append(terms, record.term)
		writes = append(writes, record.writes)
	}
	return prev, terms, writes
}

// Apply makes the records up to offset visible to reads. Records beyond the end of
// the log are ignored.
func (journal *Journal) Apply(offset uint64) {
	if journal.state == nil {
		journal.state = map[string][]string{}
	}
	end := min(int(offset), len(journal.records))
	for journal.applied < end {
		for _, write := range journal.records[journal.applied].writes {
			journal.state[write[0]] = append(journal.state[write[0]], write[1])
		}
		journal.applied++
	}
}

func (journal *Journal) applyAll() { journal.Apply(uint64(len(journal.records))) }

// End returns the position of the end of the stored log.
func (journal *Journal) End() ebonywood.Position {
	return ebonywood.NewPosition(journal.termAt(uint64(len(journal.records))), uint64(len(journal.records)))
}

// Applied returns the position up to which records are visible to reads.
func (journal *Journal) Applied() ebonywood.Position {
	return ebonywood.NewPosition(journal.termAt(uint64(journal.applied)), uint64(journal.applied))
}

// Confirms reports whether the log is stored up to floor and the member is not
// fenced at a term above that of floor. If it is, it can never confirm floor, and the
// error is a fault of KindConflict.
func (journal *Journal) Confirms(floor ebonywood.Position) (bool, error) {
	if journal.fencedTerm > floor.Term() {
		return false, ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member is fenced at term %d", journal.fencedTerm), "treat the outcome as unknown")
	}
	return journal.End().Covers(floor), nil
}

// Status returns the member's role, fenced term and positions. upstreamAge is the
// time in milliseconds since a primary last sent to it.
func (journal *Journal) Status(upstreamAge ebonywood.Millis) ebonywood.Status {
	role := ebonywood.RoleReplica
	if journal.IsPrimary() {
		role = ebonywood.RolePrimary
	} else if journal.primaryTerm > 0 && journal.End().Term() == journal.primaryTerm {
		role = ebonywood.RoleFormerPrimary
	}
	return ebonywood.NewStatus(role, journal.fencedTerm, journal.End(), journal.Applied(), upstreamAge)
}

// Values returns the visible values of a key in the order of their writes.
func (journal *Journal) Values(key string) []string { return journal.state[key] }

// Keys calls visit for every visible key with its values, in no particular order.
func (journal *Journal) Keys(visit func(key string, values []string)) {
	for key, values := range journal.state {
		visit(key, values)
	}
}
