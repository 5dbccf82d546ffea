// Package clock reads the monotonic clock for control logic.
//
// It uses CLOCK_BOOTTIME, which advances while the host is suspended. The usual
// monotonic clock stops meanwhile, so that a proof of freshness from before the
// suspension would seem recent afterwards.
package clock

import (
	"golang.org/x/sys/unix"

	"github.com/ebonywood/ebonywood"
)

const (
	millisPerSecond = 1000
	nanosPerMilli   = 1_000_000
)

// Monotonic is a clock that counts milliseconds since the package was initialized.
// The zero value is ready to use; all values return the same time.
type Monotonic struct{}

// processStart is the boot time at which the package was initialized.
var processStart = bootMillis()

// Now returns the time since the process started, including time in suspension.
func (Monotonic) Now() ebonywood.Millis {
	return bootMillis() - processStart
}

// bootMillis returns the time since the host booted. It panics if the system has
// no CLOCK_BOOTTIME.
func bootMillis() ebonywood.Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("the system has no boot time clock: " + err.Error())
	}
	return ebonywood.Millis(now.Sec*millisPerSecond + now.Nsec/nanosPerMilli)
}
