// Package freshness records the log position of an instance's primary at known times,
// to prove how old the data of a read may be.
//
// A member that accepts a plain transaction is the primary at that moment, so the end
// of its log covers every commit that was acknowledged, through any proxy, before the
// request was sent. Ordinary traffic supplies such samples. For a given maximum age,
// the oldest sample that is recent enough gives the lowest sufficient floor.
package freshness

import (
	"github.com/ebonywood/ebonywood"
)

const (
	// minSampleInterval is the minimum time between two stored samples.
	minSampleInterval ebonywood.Millis = 25
	// maxSamples is the maximum number of stored samples of an instance.
	maxSamples = 256
)

// Samples holds the samples of one instance, ordered by the time at which their
// requests were sent. The zero value is empty. It is not safe for concurrent use.
type Samples struct {
	samples []sample
}

// sample is the log position that a primary returned to a request sent at sentAt.
type sample struct {
	sentAt   ebonywood.Millis
	position ebonywood.Position
}

// Add stores the position that a primary returned to a request sent at sentAt. A sample
// that is older than the newest one is ignored. Any other lowers the stored positions
// that are greater. One that was sent less than minSampleInterval after the last sample
// but one replaces the last. When maxSamples is reached, the older half of the samples is
// dropped.
func (samples *Samples) Add(sentAt ebonywood.Millis, position ebonywood.Position) {
	if count := len(samples.samples); count > 0 {
		last := &samples.samples[count-1]
		if sentAt < last.sentAt {
			return
		}
		samples.clamp(position)
		if count > 1 && sentAt-samples.samples[count-2].sentAt < minSampleInterval {
			*last = sample{sentAt: sentAt, position: position}
			return
		}
	}
	if len(samples.samples) == maxSamples {
		samples.samples = append(samples.samples[:0], samples.samples[maxSamples/2:]...)
	}
	samples.samples = append(samples.samples, sample{sentAt: sentAt, position: position})
}

// clamp lowers all stored positions to at most the given one. A later sample with a
// lower position comes from a new primary that rolled back the rest, or from a request
// that was processed before an earlier one. In both cases it covers every acknowledged
// commit that still exists.
func (samples *Samples) clamp(position ebonywood.Position) {
	for i := len(samples.samples) - 1; i >= 0 && position.Less(samples.samples[i].position); i-- {
		samples.samples[i].position = position
	}
}

// Floor returns the lowest stored position that covers every commit acknowledged before
// oldest; found is false if no sample is recent enough. Times are rounded down to
// milliseconds, so the request of a sample with the same millisecond may have been sent
// earlier; such a sample doesn't count.
func (samples *Samples) Floor(oldest ebonywood.Millis) (position ebonywood.Position, found bool) {
	low, high := 0, len(samples.samples)
	for low < high {
		middle := (low + high) / 2
		if samples.samples[middle].sentAt <= oldest {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(samples.samples) {
		return ebonywood.Position{}, false
	}
	return samples.samples[low].position, true
}

// NewestSentAt returns when the request of the newest sample was sent; found is false
// without samples.
func (samples *Samples) NewestSentAt() (sentAt ebonywood.Millis, found bool) {
	if len(samples.samples) == 0 {
		return 0, false
	}
	return samples.samples[len(samples.samples)-1].sentAt, true
}
