// Package tokenbucket does an allocator's accounting of the tokens of workspaces. It is
// pure: the time comes in with each call.
//
// An allocator creates a fixed part of the rate of each workspace. The unspent tokens of
// one allocator, in its bucket and at the proxies, never exceed a total, and they grow at
// most at the rate. So the operations of any window number at most the total plus the rate
// times the window. That holds across a change of the allocator too: a new one starts with
// an empty bucket and counts what its predecessor may have dealt until that has expired.
package tokenbucket

import "github.com/ebonywood/ebonywood"

const (
	// dealtShare is the share of the overage and the slack that tokens may use. The rest
	// covers the time between the spending of a token and the arrival at a member.
	dealtShare = 0.8
	// minBucketShare is the share of the total that the bucket holds at least, whatever the
	// burst is. A smaller bucket often has no token for one of the few operations of a small
	// workspace, because these come at random to one of the allocators; tokens dealt for
	// operations that wait are not counted for long, so the other part may be small, too.
	minBucketShare  = 0.5
	millisPerSecond = 1000
)

// Bounds is the rule for the operations of a workspace in any window: at most
// (rate * window + burst) * (1 + overage) + slack.
type Bounds struct {
	window  ebonywood.Millis
	overage float64
	slack   float64
}

// NewBounds returns the rule.
func NewBounds(window ebonywood.Millis, overage, slack float64) Bounds {
	return Bounds{window: window, overage: overage, slack: slack}
}

// Window returns the length of the window.
func (bounds Bounds) Window() ebonywood.Millis { return bounds.window }

// Max returns how many operations a window may have.
func (bounds Bounds) Max(rate, burst float64) float64 {
	return (rate*bounds.seconds()+burst)*(1+bounds.overage) + bounds.slack
}

func (bounds Bounds) seconds() float64 { return float64(bounds.window) / millisPerSecond }

// Limit is one allocator's part of the limit of a workspace.
type Limit struct {
	// rate is the number of tokens created in a second.
	rate float64
	// bucket is how many tokens the bucket holds, dealt how many may be dealt and not spent.
	// Their sum is the total of unspent tokens.
	bucket, dealt float64
}

// NewLimit returns the part that each of a number of allocators has of the limit of a
// workspace.
func NewLimit(rate, burst float64, bounds Bounds, allocators int) Limit {
	share := 1 / float64(allocators)
	rate, burst = rate*share, burst*share
	excess := dealtShare * ((rate*bounds.seconds()+burst)*bounds.overage + bounds.slack*share)
	total := burst + excess
	bucket := max(burst, minBucketShare*total)
	return Limit{rate: rate, bucket: bucket, dealt: total - bucket}
}
