// Package objectset decides which object set is in force in this process.
//
// The rule is one line: a set with a greater generation replaces one with a
// smaller, whoever brings it. The store orders generations by compare-and-swap,
// so two sets never share one; a store that was restored from an old copy, a
// partition or a late message can therefore never take a proxy back.
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

// ObjectSet is the decision. The zero value has no set in force.
type ObjectSet struct {
	current *ebonywood.ObjectSet
}

// Handle takes sets that were seen and puts the newer ones in force.
func (decision *ObjectSet) Handle(_ ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	seen, ok := event.(ebonywood.ObjectSetReceived)
	if !ok || !decision.isNewer(seen.ObjectSet()) {
		return nil
	}
	decision.current = seen.ObjectSet()
	return []ebonywood.Action{ebonywood.NewApplyObjectSet(seen.ObjectSet())}
}

func (decision *ObjectSet) isNewer(set *ebonywood.ObjectSet) bool {
	return decision.current == nil || set.Generation() > decision.current.Generation()
}

// Contribute adds the set in force.
func (decision *ObjectSet) Contribute(draft *ebonywood.Draft) {
	draft.SetObjectSet(decision.current)
}
