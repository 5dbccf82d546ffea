// Package clock is the one place that reads the monotonic clock for control.
package clock

import (
	"time"

	"github.com/ebonywood/ebonywood"
)

// Monotonic counts milliseconds since the process loaded the package. The zero
// value works, and all values agree.
type Monotonic struct{}

var origin = time.Now()

// Now is the time since the process began.
func (Monotonic) Now() ebonywood.Millis {
	return ebonywood.MillisOf(time.Since(origin))
}
