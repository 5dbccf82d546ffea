package ebonywood

import "time"

// Millis is a point on a process's own monotonic time line, or a span on it, in
// milliseconds. Points of two processes can't be compared.
type Millis int64

// MillisOf converts a span, rounding down.
func MillisOf(span time.Duration) Millis {
	return Millis(span.Milliseconds())
}

// Duration converts a span for the standard library.
func (span Millis) Duration() time.Duration {
	return time.Duration(span) * time.Millisecond
}

// Clock tells the time. Decisions never ask for it: the control loop hands the
// time in with each event, so that a test can drive them by a clock of its own.
type Clock interface {
	Now() Millis
}
