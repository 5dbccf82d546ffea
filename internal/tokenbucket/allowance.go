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

// allowance is one allocator's part of the limit of a workspace.
type allowance struct {
	// rate is the number of tokens created in a second.
	rate float64
	// bucket is how many tokens the bucket holds, dealt how many may be dealt and not spent.
	// Their sum is the total of unspent tokens.
	bucket, dealt float64
}

// newAllowance returns the part that each of a number of allocators has of the limit of a
// workspace.
func newAllowance(rate, burst float64, bounds ebonywood.RateBounds, allocators int) allowance {
	share := 1 / float64(allocators)
	rate, burst = rate*share, burst*share
	excess := dealtShare * ((rate*bounds.Seconds()+burst)*bounds.Overage() + bounds.Slack()*share)
	total := burst + excess
	bucket := max(burst, minBucketShare*total)
	return allowance{rate: rate, bucket: bucket, dealt: total - bucket}
}
