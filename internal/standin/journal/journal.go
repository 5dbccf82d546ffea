// Package journal is the log of one member of a database group as the platform
// keeps it: records with terms and offsets, fencing, promotion and replication.
// It does no input or output, so that the target stand-in and the stateful fuzz
// share one model of what a member may do.
package journal

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
)

// Journal is a member's log with the state that reads see. The zero value is an
// empty replica. It is not safe for concurrent use.
type Journal struct {
	records  []record
	state    map[string][]string
	applied  int
	fenced   ebonywood.Term
	holder   string
	promoted ebonywood.Term
}

type record struct {
	term   ebonywood.Term
	writes [][2]string
}

// Fence makes the member obey term and nothing below it. Each term is granted to
// one holder only; the same holder may ask again.
func (journal *Journal) Fence(term ebonywood.Term, holder string) error {
	granted := term > journal.fenced || term == journal.fenced && holder == journal.holder && holder != ""
	if !granted {
		return ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member obeys term %d already", journal.fenced), "fence at a higher term")
	}
	journal.fenced = term
	journal.holder = holder
	return nil
}

// Promote makes the member the primary of a term that holder fenced it at. The
// start record of the term goes to the log first.
func (journal *Journal) Promote(term ebonywood.Term, holder string) error {
	if journal.fenced != term || journal.holder != holder {
		return ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member obeys term %d of %q", journal.fenced, journal.holder), "fence it first")
	}
	if journal.promoted == term {
		return nil
	}
	journal.promoted = term
	journal.records = append(journal.records, record{term: term})
	journal.applyAll()
	return nil
}

// IsPrimary reports whether the member accepts writes.
func (journal *Journal) IsPrimary() bool {
	return journal.promoted > 0 && journal.promoted == journal.fenced
}

// PrimaryTerm is the term in which the member last was primary.
func (journal *Journal) PrimaryTerm() ebonywood.Term { return journal.promoted }

// Append commits writes, each a key and a value, as one record.
func (journal *Journal) Append(writes [][2]string) error {
	if !journal.IsPrimary() {
		return ebonywood.NewFault(ebonywood.KindNotRun, "cannot execute a write on a replica", "send it to the primary")
	}
	journal.records = append(journal.records, record{term: journal.promoted, writes: writes})
	journal.applyAll()
	return nil
}

// Receive stores records that a primary of term sent. Its records follow prev,
// which must stand in this log already; the rest of this log gives way to them.
// It reports whether prev matched, and whether state that reads had seen was
// taken back.
func (journal *Journal) Receive(
	term ebonywood.Term, prev ebonywood.Position, terms []ebonywood.Term, writes [][][2]string,
) (matched, rewound bool, err error) {
	if term < journal.fenced {
		return false, false, ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member obeys term %d", journal.fenced), "stop replicating at a lower term")
	}
	if term > journal.fenced {
		journal.fenced, journal.holder = term, ""
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

// termAt is the term of the record that ends at offset; 0 at the start and
// beyond the end.
func (journal *Journal) termAt(offset uint64) ebonywood.Term {
	if offset == 0 || offset > uint64(len(journal.records)) {
		return 0
	}
	return journal.records[offset-1].term
}

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

// From returns the records behind offset, at most limit, with the position that
// they follow.
func (journal *Journal) From(offset uint64, limit int) (prev ebonywood.Position, terms []ebonywood.Term, writes [][][2]string) {
	offset = min(offset, uint64(len(journal.records)))
	prev = ebonywood.NewPosition(journal.termAt(offset), offset)
	for _, entry := range journal.records[offset:] {
		if len(terms) == limit {
			break
		}
		terms = append(terms, entry.term)
		writes = append(writes, entry.writes)
	}
	return prev, terms, writes
}

// Apply makes the records up to offset visible to reads.
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

// End is the end of the stored log.
func (journal *Journal) End() ebonywood.Position {
	return ebonywood.NewPosition(journal.termAt(uint64(len(journal.records))), uint64(len(journal.records)))
}

// Applied is the end of what reads see.
func (journal *Journal) Applied() ebonywood.Position {
	return ebonywood.NewPosition(journal.termAt(uint64(journal.applied)), uint64(journal.applied))
}

// Confirms reports whether the log is stored up to floor while the member obeys
// floor's term. A fault says that it never will.
func (journal *Journal) Confirms(floor ebonywood.Position) (bool, error) {
	if journal.fenced > floor.Term() {
		return false, ebonywood.NewFault(ebonywood.KindConflict,
			fmt.Sprintf("the member obeys term %d", journal.fenced), "treat the outcome as unknown")
	}
	return journal.End().Covers(floor), nil
}

// Status is the member's account of itself, given how long ago it heard from a
// primary.
func (journal *Journal) Status(upstreamAge ebonywood.Millis) ebonywood.Status {
	role := ebonywood.RoleReplica
	if journal.IsPrimary() {
		role = ebonywood.RolePrimary
	} else if journal.promoted > 0 && journal.End().Term() == journal.promoted {
		role = ebonywood.RoleFormerPrimary
	}
	return ebonywood.NewStatus(role, journal.fenced, journal.End(), journal.Applied(), upstreamAge)
}

// Values are the visible values of a key in the order of their writes.
func (journal *Journal) Values(key string) []string { return journal.state[key] }

// Keys visits all visible keys with their values, in no order.
func (journal *Journal) Keys(visit func(key string, values []string)) {
	for key, values := range journal.state {
		visit(key, values)
	}
}
