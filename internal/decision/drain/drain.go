// Package drain remembers that this process was asked to stop, so that readiness
// falls before the first listener closes.
package drain

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "drain"

func init() {
	registry.AddDecision(Name, func(ebonywood.Settings) ebonywood.Decision { return &Drain{} })
}

// Drain is the decision. The zero value is a process that stays.
type Drain struct {
	draining bool
}

// Handle takes the wish to stop.
func (drain *Drain) Handle(_ ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	if _, asked := event.(ebonywood.DrainAsked); asked {
		drain.draining = true
	}
	return nil
}

// Contribute marks the snapshot.
func (drain *Drain) Contribute(draft *ebonywood.Draft) {
	if drain.draining {
		draft.SetDraining()
	}
}
