// Package objectset decides which object set is in force in this process.
//
// A set replaces the current one only if its generation is greater, regardless of its
// source. The store assigns generations by compare-and-swap, so two sets never share
// one. A store that was restored from an old copy, a network partition or a late
// message can therefore never revert a proxy to an older set.
package objectset

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "objectset"

func init() {
	registry.AddDecision(Name, func(ebonywood.Settings) ebonywood.Decision { return &ObjectSet{} })
}

// ObjectSet is the decision that selects the set in force. The zero value has none.
type ObjectSet struct {
	current *ebonywood.ObjectSet
	// asOf is a time by which no newer set had been accepted.
	asOf ebonywood.Millis
}

// Handle puts a received set in force if it is newer than the current one.
func (decision *ObjectSet) Handle(_ ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	if confirmed, ok := event.(ebonywood.ConfigurationConfirmed); ok {
		decision.asOf = max(decision.asOf, confirmed.AsOf())
		return nil
	}
	received, ok := event.(ebonywood.ObjectSetReceived)
	if !ok || !decision.isNewer(received.ObjectSet()) {
		return nil
	}
	decision.current = received.ObjectSet()
	return []ebonywood.Action{ebonywood.NewApplyObjectSet(received.ObjectSet())}
}

func (decision *ObjectSet) isNewer(set *ebonywood.ObjectSet) bool {
	return decision.current == nil || set.Generation() > decision.current.Generation()
}

// Contribute adds the set in force to the snapshot; nil before the first one.
func (decision *ObjectSet) Contribute(draft *ebonywood.Draft) {
	draft.SetObjectSet(decision.current)
	draft.SetObjectSetAsOf(decision.asOf)
}
