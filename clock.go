package ebonywood

import "time"

// Millis is a point on a process's monotonic clock, or a duration, in milliseconds.
// Points of two processes can't be compared.
type Millis int64

// MillisOf converts a duration, rounding down.
func MillisOf(duration time.Duration) Millis {
	return Millis(duration.Milliseconds())
}

// Duration converts a duration to the type of the standard library.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// Clock returns the current time. Decisions never read a clock: the control loop
// passes the time with each event, so that a test can drive them with simulated
// time.
type Clock interface {
	Now() Millis
}
