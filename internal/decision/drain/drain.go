// Package drain records that this process has to stop, and the deadline for its
// last reply. The snapshot shows it, so the readiness check fails before the first
// listener closes.
package drain

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "drain"

// deadlineMargin is kept between the last reply and the end of the drain timeout.
const deadlineMargin ebonywood.Millis = 700

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision { return New(settings.DrainLimit()) })
}

// Drain is the decision that handles requests to stop. The zero value is not draining
// and has no timeout.
type Drain struct {
	timeout  ebonywood.Millis // 0 means none
	draining bool
	deadline ebonywood.Millis // 0 means none
}

// New returns the decision for a process that must stop within timeout; 0 means no
// timeout.
func New(timeout ebonywood.Millis) *Drain { return &Drain{timeout: timeout} }

// Handle starts draining on the first DrainRequested event and sets the deadline. The
// margin is reduced to half of a timeout that is shorter than twice the margin.
func (drain *Drain) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	if _, requested := event.(ebonywood.DrainRequested); !requested || drain.draining {
		return nil
	}
	drain.draining = true
	if drain.timeout > 0 {
		drain.deadline = now + max(drain.timeout-deadlineMargin, drain.timeout/2)
	}
	return nil
}

// Contribute marks the snapshot as draining, with the deadline.
func (drain *Drain) Contribute(draft *ebonywood.Draft) {
	if drain.draining {
		draft.SetDraining(drain.deadline)
	}
}
