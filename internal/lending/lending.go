// Package lending decides how much of a member a process may use beyond its equal share,
// while the other processes leave their shares unused. Each process decides by what it
// observes itself, without messages: while its own statements take at the member hardly
// longer than they have to, the member has room, and the limit rises by about one for each
// round of statements. At the first signs of queueing the excess over the share is halved.
// The limit never falls below the share, so that a process that comes back to its share
// finds it: the others' statements then take longer, and they give way.
//
// A process that first uses a member while that is overloaded takes the time in the queue for
// the time that statements need, and may exceed its share until it has seen the member
// without a queue. The most that it may use bounds this.
package lending

import "time"

const (
	// lightRatio and queueingRatio bound the smoothed time that statements waited at the
	// member relative to the time that they had to take. Below the first the limit rises,
	// above the second it falls.
	lightRatio    = 0.3
	queueingRatio = 0.7
	// smoothing is the weight of a new statement in the smoothed times.
	smoothing = 0.2
	// decreaseInterval is the minimum time between two decreases, so that the statements
	// under way when the limit fell don't lower it again.
	decreaseInterval = 40 * time.Millisecond
	// refusalPause is how long the limit does not rise after the member refused something.
	refusalPause = 500 * time.Millisecond
	// unusedPeriod is how long an excess that is not used is kept.
	unusedPeriod = 500 * time.Millisecond
	// baseRise is the relative rise of the base time of a shape with each slower statement.
	// At 50 statements per second it doubles in half a minute, after which a member that
	// became slower counts as having room again.
	baseRise = 0.0005
	// maxShapes bounds the base times that are kept.
	maxShapes = 1024
)

// Limit is how many statements or connections a process may have at a member. It is not
// safe for concurrent use. The zero value is a limit of 0 without a share.
type Limit struct {
	share, most int
	excess      float64
	// waited and needed are the smoothed times that statements waited at the member and
	// that they had to take.
	waited, needed float64
	// decreasedAt, refusedAt and fullAt are when the limit last fell, when the member last
	// refused something and when the limit was last used in full.
	decreasedAt, refusedAt, fullAt time.Duration
	base                           map[uint64]time.Duration
}

// SetShare sets the share of this process and the most that it may use.
func (limit *Limit) SetShare(share, most int) {
	limit.share, limit.most = share, max(share, most)
	limit.excess = min(limit.excess, float64(limit.most-share))
}

// Fill sets the limit to the most that this process may use.
func (limit *Limit) Fill() { limit.excess = float64(limit.most - limit.share) }

// Value returns the limit.
func (limit *Limit) Value() int { return limit.share + int(limit.excess) }

// Expire gives an excess back that was not used for unusedPeriod. now is a duration since
// any origin, as in all methods.
func (limit *Limit) Expire(now time.Duration) {
	if now-limit.fullAt > unusedPeriod {
		limit.excess = 0
	}
}

// Completed records that a statement of a shape took the elapsed time at the member, and
// how many of this process were there together with it.
func (limit *Limit) Completed(now time.Duration, shape uint64, elapsed time.Duration, present int) {
	base := limit.baseOf(shape, elapsed)
	limit.waited += smoothing * ((elapsed - base).Seconds() - limit.waited)
	limit.needed += smoothing * (base.Seconds() - limit.needed)
	if limit.waited > queueingRatio*limit.needed {
		limit.decrease(now)
		return
	}
	if present < limit.Value() {
		return
	}
	limit.fullAt = now
	if limit.waited < lightRatio*limit.needed {
		limit.increase(now)
	}
}

// Unrefused records that the limit was used in full without a refusal, where there is no
// statement to tell how much is in use.
func (limit *Limit) Unrefused(now time.Duration) {
	limit.fullAt = now
	limit.increase(now)
}

// Refused records that the member refused a statement or a connection for lack of room.
func (limit *Limit) Refused(now time.Duration) {
	limit.refusedAt = now
	limit.decrease(now)
}

func (limit *Limit) increase(now time.Duration) {
	if limit.refusedAt > 0 && now-limit.refusedAt < refusalPause {
		return
	}
	limit.excess = min(limit.excess+1/float64(max(1, limit.Value())), float64(limit.most-limit.share))
}

func (limit *Limit) decrease(now time.Duration) {
	if limit.decreasedAt > 0 && now-limit.decreasedAt < decreaseInterval {
		return
	}
	limit.decreasedAt = now
	limit.excess /= 2
	if limit.excess < 1 {
		limit.excess = 0
	}
}

// baseOf updates and returns the time that a statement of a shape has to take, which is that
// of the fastest ones.
func (limit *Limit) baseOf(shape uint64, elapsed time.Duration) time.Duration {
	base, found := limit.base[shape]
	switch {
	case !found && len(limit.base) >= maxShapes:
		return elapsed
	case !found || elapsed < base:
		base = elapsed
	default:
		base = min(elapsed, base+time.Duration(baseRise*float64(base)))
	}
	if limit.base == nil {
		limit.base = map[uint64]time.Duration{}
	}
	limit.base[shape] = base
	return base
}
