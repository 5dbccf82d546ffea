// Package rendezvous orders names for a key by rendezvous (highest random weight)
// hashing. All processes that have the same names compute the same order without a
// message, and the removal of a name reassigns only the keys that it was assigned.
//
// The table keeps the first names of each key. Adding a name computes one weight for
// each key. Removing a name recomputes the order of only those keys that had it among
// their first names. Ordering all names for all keys at each change would take time
// proportional to names times keys, which is seconds for 7,400 proxies and 25,500
// instances.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table holds the first names of each key. The zero value is empty and can't take names;
// New returns a usable table. It is not safe for concurrent use.
type Table struct {
	depth int
	// names is a slice, since every new key iterates over it. index has the position of
	// each name in it.
	names []hashedName
	index map[string]int
	tops  map[string][]rankedName
}

// hashedName caches the hash of a name.
type hashedName struct {
	name string
	hash uint64
}

func newHashedName(name string) hashedName {
	return hashedName{name: name, hash: xxhash.Sum64String(name)}
}

// rankedName is a name with its weight for one key.
type rankedName struct {
	name   string
	weight uint64
}

// New returns an empty table that keeps the first depth names of each key.
func New(depth int) *Table {
	return &Table{depth: depth, index: map[string]int{}, tops: map[string][]rankedName{}}
}

// SetKeys replaces the keys of the table. Keys that stay keep their order.
func (table *Table) SetKeys(keys []string) {
	tops := make(map[string][]rankedName, len(keys))
	for _, key := range keys {
		top, found := table.tops[key]
		if !found {
			top = table.computeTop(key)
		}
		tops[key] = top
	}
	table.tops = tops
}

// Add adds a name. It does nothing if the table has it already.
func (table *Table) Add(name string) {
	if _, found := table.index[name]; found {
		return
	}
	added := newHashedName(name)
	table.index[name] = len(table.names)
	table.names = append(table.names, added)
	for key, top := range table.tops {
		candidate := rankedName{name: name, weight: combineHashes(xxhash.Sum64String(key), added.hash)}
		if table.belongsInTop(top, candidate) {
			table.tops[key] = table.insert(slices.Clone(top), candidate)
		}
	}
}

// Remove removes a name. It does nothing if the table does not have it.
func (table *Table) Remove(name string) {
	position, found := table.index[name]
	if !found {
		return
	}
	last := table.names[len(table.names)-1]
	table.names[position] = last
	table.index[last.name] = position
	table.names = table.names[:len(table.names)-1]
	delete(table.index, name)
	for key, top := range table.tops {
		if slices.ContainsFunc(top, func(entry rankedName) bool { return entry.name == name }) {
			table.tops[key] = table.computeTop(key)
		}
	}
}

// SetNames replaces the names of the table by the names in the set.
func (table *Table) SetNames(names map[string]bool) {
	for _, existing := range slices.Clone(table.names) {
		if !names[existing.name] {
			table.Remove(existing.name)
		}
	}
	for name := range names {
		table.Add(name)
	}
}

// Top returns the first names of a key in order, or none for a key that is not in the
// table.
func (table *Table) Top(key string) []string {
	names := make([]string, 0, table.depth)
	for _, entry := range table.tops[key] {
		names = append(names, entry.name)
	}
	return names
}

// computeTop computes the first names of a key from all names.
func (table *Table) computeTop(key string) []rankedName {
	hash := xxhash.Sum64String(key)
	top := make([]rankedName, 0, table.depth+1)
	for _, name := range table.names {
		candidate := rankedName{name: name.name, weight: combineHashes(hash, name.hash)}
		if table.belongsInTop(top, candidate) {
			top = table.insert(top, candidate)
		}
	}
	return top
}

// belongsInTop reports whether a name is among the first of a key.
func (table *Table) belongsInTop(top []rankedName, candidate rankedName) bool {
	return len(top) < table.depth || outranks(candidate, top[len(top)-1])
}

// insert adds a name in order and truncates the list to the table's depth.
func (table *Table) insert(top []rankedName, added rankedName) []rankedName {
	index := 0
	for index < len(top) && outranks(top[index], added) {
		index++
	}
	top = slices.Insert(top, index, added)
	return top[:min(len(top), table.depth)]
}

// outranks orders by descending weight; names break ties.
func outranks(left, right rankedName) bool {
	if left.weight != right.weight {
		return left.weight > right.weight
	}
	return left.name < right.name
}

// combineHashes mixes the hashes of a key and a name into a weight that is
// pseudo-random for each pair.
func combineHashes(key, name uint64) uint64 {
	mixed := key*0x9E3779B97F4A7C15 ^ name
	mixed = (mixed ^ mixed>>32) * 0xD6E8FEB86659FD93
	mixed = (mixed ^ mixed>>32) * 0xD6E8FEB86659FD93
	return mixed ^ mixed>>32
}
