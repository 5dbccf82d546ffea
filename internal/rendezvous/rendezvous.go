// Package rendezvous orders names for a key by highest random weight hashing, so
// that all who know the same names agree on an order without a message, and the
// loss of one name moves only what it held.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order is a set of names.
type Order struct {
	names []string
}

// New makes an order of names.
func New(names []string) Order { return Order{names: names} }

// Of returns the names in the order of the key.
func (order Order) Of(key string) []string {
	sorted := slices.Clone(order.names)
	slices.SortFunc(sorted, func(left, right string) int {
		leftWeight, rightWeight := weight(key, left), weight(key, right)
		switch {
		case leftWeight > rightWeight:
			return -1
		case leftWeight < rightWeight:
			return 1
		default:
			return 0
		}
	})
	return sorted
}

// Rank is the place of a name in the order of the key, counted from 0, as if it
// were one of the names.
func (order Order) Rank(key, name string) int {
	own := weight(key, name)
	rank := 0
	for _, other := range order.names {
		if other != name && weight(key, other) > own {
			rank++
		}
	}
	return rank
}

func weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
