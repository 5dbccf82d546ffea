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
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table holds the first names of each key. The zero value is empty. It is not
// safe for concurrent use.
type Table struct {
	depth int
	names map[string]struct{}
	tops  map[string][]place
}

type place struct {
	name   string
	weight uint64
}

// New makes a table that keeps the first depth names of each key.
func New(depth int) *Table {
	return &Table{depth: depth, names: map[string]struct{}{}, tops: map[string][]place{}}
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
	if _, known := table.names[name]; known {
		return
	}
	table.names[name] = struct{}{}
	for key, top := range table.tops {
		table.tops[key] = table.insert(top, place{name: name, weight: weight(key, name)})
	}
}

// Leave removes a name.
func (table *Table) Leave(name string) {
	if _, known := table.names[name]; !known {
		return
	}
	delete(table.names, name)
	for key, top := range table.tops {
		if slices.ContainsFunc(top, func(each place) bool { return each.name == name }) {
			table.tops[key] = table.order(key)
		}
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
	var top []place
	for name := range table.names {
		top = table.insert(top, place{name: name, weight: weight(key, name)})
	}
	return top
}

// insert puts a place in order and cuts the list to the table's depth.
func (table *Table) insert(top []place, added place) []place {
	if len(top) == table.depth && !before(added, top[len(top)-1]) {
		return top
	}
	index, _ := slices.BinarySearchFunc(top, added, func(each, wanted place) int {
		if before(each, wanted) {
			return -1
		}
		return 1
	})
	top = slices.Insert(slices.Clone(top), index, added)
	return top[:min(len(top), table.depth)]
}

// before orders by weight; names break ties.
func before(left, right place) bool {
	if left.weight != right.weight {
		return left.weight > right.weight
	}
	return strings.Compare(left.name, right.name) < 0
}

// weight mixes two hashes, so that the text is hashed once for each name and key
// without being joined.
func weight(key, name string) uint64 {
	mixed := xxhash.Sum64String(key)*0x9E3779B97F4A7C15 ^ xxhash.Sum64String(name)
	mixed ^= mixed >> 32
	mixed *= 0xD6E8FEB86659FD93
	mixed ^= mixed >> 32
	mixed *= 0xD6E8FEB86659FD93
	return mixed ^ mixed>>32
}
