package directory

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/ebonywood/ebonywood"
)

// allocatorValue is the JSON value of an allocator's key, which package ratelimit writes.
type allocatorValue struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Nonce   string `json:"nonce"`
	Settled bool   `json:"settled"`
}

// applyAllocators posts the allocators whose keys have a holder, if they have changed. In a
// fleet without any, nothing is posted. Keys that can't be decoded are skipped.
func (edge *Edge) applyAllocators(ctx context.Context, items map[string]ebonywood.Item) {
	var allocators []ebonywood.Allocator
	for key, item := range items {
		suffix, found := strings.CutPrefix(key, ebonywood.AllocatorPrefix)
		if !found {
			continue
		}
		number, err := strconv.Atoi(suffix)
		var value allocatorValue
		if err != nil || number < 0 || json.Unmarshal(item.Value(), &value) != nil {
			continue
		}
		allocators = append(allocators, ebonywood.NewAllocator(number, value.Holder, value.Address, value.Nonce).WithSettled(value.Settled))
	}
	slices.SortFunc(allocators, func(left, right ebonywood.Allocator) int { return left.Number() - right.Number() })
	if slices.Equal(allocators, edge.allocators) {
		return
	}
	edge.allocators = allocators
	_ = edge.port.Post(ctx, ebonywood.NewAllocatorsListed(allocators))
}
