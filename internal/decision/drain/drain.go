// Package drain remembers that this process was asked to stop, so that readiness
// falls before the first listener closes, and until when it may answer.
package drain

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "drain"

// cutSpan is left between the last answer and the end of the time to leave.
const cutSpan ebonywood.Millis = 700

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision { return New(settings.DrainLimit()) })
}

// Drain is the decision. The zero value is a process that stays, and that would take
// any time to leave.
type Drain struct {
	limit    ebonywood.Millis
	draining bool
	endsAt   ebonywood.Millis
}

// New makes the decision for a process that may take so long to leave; 0 is any time.
func New(limit ebonywood.Millis) *Drain { return &Drain{limit: limit} }

// Handle takes the wish to stop; a second one changes nothing.
func (drain *Drain) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	if _, asked := event.(ebonywood.DrainRequested); !asked || drain.draining {
		return nil
	}
	drain.draining = true
	if drain.limit > 0 {
		drain.endsAt = now + max(drain.limit-cutSpan, drain.limit/2)
	}
	return nil
}

// Contribute marks the snapshot.
func (drain *Drain) Contribute(draft *ebonywood.Draft) {
	if drain.draining {
		draft.SetDraining(drain.endsAt)
	}
}
