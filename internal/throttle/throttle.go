// Package throttle decides how much of the work that another process refuses for lack of
// capacity is refused before it is sent there. What is sent stays at a multiple of what is
// admitted, so that the other process has enough to choose from: refusing all work while it
// refuses some would leave it idle a moment later.
package throttle

import "time"

const (
	// surplus is the multiple of the admitted work that is sent.
	surplus = 1.5
	// slack is how much refused work changes nothing. It is for processes that send little.
	slack = 3
	// probeShare is the share of the work that is sent in any case, so that an end of the
	// overload is noticed.
	probeShare = 0.1
	// halfLife is the time after which an outcome counts half, lifetime the time without any
	// outcome after which all are forgotten.
	halfLife = 250 * time.Millisecond
	lifetime = time.Second
)

// Level holds the recent outcomes of one kind of work. The zero value has none. It is not
// safe for concurrent use. Times are durations since any origin.
type Level struct {
	updatedAt time.Duration
	// admitted, refused and held are the decayed counts of work that the other process
	// admitted and refused, and of work that was not sent.
	admitted, refused, held float64
}

// age decays the counts.
func (level *Level) age(now time.Duration) {
	elapsed := now - level.updatedAt
	if elapsed <= 0 {
		return
	}
	level.updatedAt = now
	if elapsed >= lifetime {
		level.admitted, level.refused, level.held = 0, 0, 0
		return
	}
	// An approximation of 2^(-elapsed/halfLife) without the cost of the power.
	kept := float64(halfLife) / float64(halfLife+elapsed)
	level.admitted, level.refused, level.held = level.admitted*kept, level.refused*kept, level.held*kept
}

// Admitted records work that the other process admitted.
func (level *Level) Admitted(now time.Duration) {
	level.age(now)
	level.admitted++
}

// Refused records work that the other process refused.
func (level *Level) Refused(now time.Duration) {
	level.age(now)
	level.refused++
}

// MaySend reports whether work is to be sent. random is uniform in [0, 1).
func (level *Level) MaySend(now time.Duration, random float64) bool {
	level.age(now)
	total := level.admitted + level.refused + level.held
	share := (total - surplus*level.admitted - slack) / (total + 1)
	if random >= min(share, 1-probeShare) {
		return true
	}
	level.held++
	return false
}

// IsOver reports whether there was no outcome for so long that all are forgotten.
func (level *Level) IsOver(now time.Duration) bool { return now-level.updatedAt >= lifetime }
