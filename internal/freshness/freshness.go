// Package freshness keeps proofs of how far the log of an instance had come at
// known times.
//
// A member that accepts a plain transaction leads at that moment, so the end of
// its log covers every commit that was acknowledged, through any proxy, before
// the question was sent. Such samples come with ordinary traffic. The oldest one
// that is young enough is the least floor that proves a read's age.
package freshness

import (
	"github.com/ebonywood/ebonywood"
)

const (
	// spacing is the least time between two kept samples.
	spacing ebonywood.Millis = 25
	// kept bounds the samples.
	kept = 256
)

// Samples are the proofs of one instance in order of time. The zero value has
// none. It is not safe for concurrent use.
type Samples struct {
	samples []sample
}

type sample struct {
	asked ebonywood.Millis
	at    ebonywood.Position
}

// Add takes the position that a primary told in answer to a question that was
// sent at asked.
func (samples *Samples) Add(asked ebonywood.Millis, at ebonywood.Position) {
	if count := len(samples.samples); count > 0 {
		last := &samples.samples[count-1]
		if asked < last.asked {
			return
		}
		samples.clamp(at)
		if count > 1 && asked-samples.samples[count-2].asked < spacing {
			*last = sample{asked: asked, at: at}
			return
		}
	}
	if len(samples.samples) == kept {
		samples.samples = append(samples.samples[:0], samples.samples[kept/2:]...)
	}
	samples.samples = append(samples.samples, sample{asked: asked, at: at})
}

// clamp lowers the positions above at. A later sample that is shorter comes from a
// successor that rolled back the rest, or from a question that was answered first;
// either way it covers all that counts.
func (samples *Samples) clamp(at ebonywood.Position) {
	for i := len(samples.samples) - 1; i >= 0 && at.Less(samples.samples[i].at); i-- {
		samples.samples[i].at = at
	}
}

// Floor is the least position that covers every commit acknowledged before
// oldest; found is false when no sample is young enough. Times are rounded down to
// milliseconds, so a sample of the same millisecond may have been asked for before.
func (samples *Samples) Floor(oldest ebonywood.Millis) (at ebonywood.Position, found bool) {
	low, high := 0, len(samples.samples)
	for low < high {
		middle := (low + high) / 2
		if samples.samples[middle].asked <= oldest {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(samples.samples) {
		return ebonywood.Position{}, false
	}
	return samples.samples[low].at, true
}

// Newest is when the youngest sample was asked for; found is false without one.
func (samples *Samples) Newest() (asked ebonywood.Millis, found bool) {
	if len(samples.samples) == 0 {
		return 0, false
	}
	return samples.samples[len(samples.samples)-1].asked, true
}
