// Package clock is the one place that reads the monotonic clock for control.
//
// It reads the boot time clock, which goes on while the host is suspended. The
// usual monotonic clock stands still then, and a proof of freshness that was
// taken before would pass for a young one afterwards.
package clock

import (
	"golang.org/x/sys/unix"

	"github.com/ebonywood/ebonywood"
)

const (
	millisPerSecond = 1000
	nanosPerMilli   = 1_000_000
)

// Monotonic counts milliseconds since the process loaded the package. The zero
// value works, and all values agree.
type Monotonic struct{}

var origin = bootMillis()

// Now is the time since the process began, times of suspension included.
func (Monotonic) Now() ebonywood.Millis {
	return bootMillis() - origin
}

func bootMillis() ebonywood.Millis {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("the system has no boot time clock: " + err.Error())
	}
	return ebonywood.Millis(at.Sec*millisPerSecond + at.Nsec/nanosPerMilli)
}
