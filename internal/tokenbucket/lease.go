package tokenbucket

import "github.com/ebonywood/ebonywood"

const (
	// ClockMargin is how long before its lease may end an allocator stops: for the difference
	// between the speeds of the clocks of its host and of the directory.
	ClockMargin ebonywood.Millis = 200
	// KeyTimeout bounds the time from the request for an allocator's lease to the write of its
	// key.
	KeyTimeout ebonywood.Millis = 1000
)

// LeaseTTL returns the time to live of an allocator's lease. A key that expires unsettled must
// outlive the tokens of the holder before it, and its lease was granted up to KeyTimeout before
// the key was written.
func LeaseTTL(limits ebonywood.Limits) ebonywood.Millis {
	life := limits.Millis(ebonywood.LimitTokenLife)
	return max(limits.Millis(ebonywood.LimitAllocatorTTL), life+KeyTimeout+2*ClockMargin)
}
