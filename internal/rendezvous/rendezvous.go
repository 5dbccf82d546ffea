// Package rendezvous orders names for a key by highest random weight hashing, so
// that all who know the same names agree on an order without a message, and the
// loss of one name moves only what it held.
//
// The table keeps the first names of each key. A name that joins is weighed once
// against each key; a name that leaves costs a new order only for the keys that
// it stood first at. Ordering all names for all keys at each change would cost
// names times keys, which at 7,400 proxies and 25,500 instances is seconds.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table holds the first names of each key. The zero value is empty. It is not
// safe for concurrent use.
type Table struct {
	depth int
	// names is a list, since it is walked for each new key; index finds a name.
	names []hashed
	index map[string]int
	tops  map[string][]place
}

// hashed is a text with its hash, which is computed once.
type hashed struct {
	text string
	hash uint64
}

func newHashed(text string) hashed { return hashed{text: text, hash: xxhash.Sum64String(text)} }

type place struct {
	name   string
	weight uint64
}

// New makes a table that keeps the first depth names of each key.
func New(depth int) *Table {
	return &Table{depth: depth, index: map[string]int{}, tops: map[string][]place{}}
}

// SetKeys makes keys the keys of the table.
func (table *Table) SetKeys(keys []string) {
	tops := make(map[string][]place, len(keys))
	for _, key := range keys {
		known, found := table.tops[key]
		if !found {
			known = table.order(key)
		}
		tops[key] = known
	}
	table.tops = tops
}

// Join adds a name.
func (table *Table) Join(name string) {
	if _, known := table.index[name]; known {
		return
	}
	added := newHashed(name)
	table.index[name] = len(table.names)
	table.names = append(table.names, added)
	for key, top := range table.tops {
		candidate := place{name: name, weight: weigh(xxhash.Sum64String(key), added.hash)}
		if table.belongs(top, candidate) {
			table.tops[key] = table.insert(slices.Clone(top), candidate)
		}
	}
}

// Leave removes a name.
func (table *Table) Leave(name string) {
	at, known := table.index[name]
	if !known {
		return
	}
	last := table.names[len(table.names)-1]
	table.names[at] = last
	table.index[last.text] = at
	table.names = table.names[:len(table.names)-1]
	delete(table.index, name)
	for key, top := range table.tops {
		if slices.ContainsFunc(top, func(each place) bool { return each.name == name }) {
			table.tops[key] = table.order(key)
		}
	}
}

// Keep makes the names of the set the names of the table.
func (table *Table) Keep(names map[string]bool) {
	for _, known := range slices.Clone(table.names) {
		if !names[known.text] {
			table.Leave(known.text)
		}
	}
	for name := range names {
		table.Join(name)
	}
}

// Top returns the first names of a key in order.
func (table *Table) Top(key string) []string {
	names := make([]string, 0, table.depth)
	for _, each := range table.tops[key] {
		names = append(names, each.name)
	}
	return names
}

func (table *Table) order(key string) []place {
	hash := xxhash.Sum64String(key)
	top := make([]place, 0, table.depth+1)
	for _, name := range table.names {
		candidate := place{name: name.text, weight: weigh(hash, name.hash)}
		if table.belongs(top, candidate) {
			top = table.insert(top, candidate)
		}
	}
	return top
}

// belongs reports whether a place is among the first.
func (table *Table) belongs(top []place, candidate place) bool {
	return len(top) < table.depth || before(candidate, top[len(top)-1])
}

// insert puts a place in order and cuts the list to the table's depth.
func (table *Table) insert(top []place, added place) []place {
	index := 0
	for index < len(top) && before(top[index], added) {
		index++
	}
	top = slices.Insert(top, index, added)
	return top[:min(len(top), table.depth)]
}

// before orders by weight; names break ties.
func before(left, right place) bool {
	if left.weight != right.weight {
		return left.weight > right.weight
	}
	return left.name < right.name
}

// weigh mixes two hashes into a weight that is random for each pair.
func weigh(key, name uint64) uint64 {
	mixed := key*0x9E3779B97F4A7C15 ^ name
	mixed = (mixed ^ mixed>>32) * 0xD6E8FEB86659FD93
	mixed = (mixed ^ mixed>>32) * 0xD6E8FEB86659FD93
	return mixed ^ mixed>>32
}
