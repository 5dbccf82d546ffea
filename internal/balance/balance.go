// Package balance implements methods to choose among members or proxies by load figures of
// which some are old. Many processes choose at the same moment, so a method that always takes
// the least loaded candidate by the same old figures sends all of them to one candidate.
package balance

import (
	"math"

	"github.com/ebonywood/ebonywood"
)

const (
	// ownCostMs is the expected wait, in ms, for each own statement in flight.
	ownCostMs = 9.0
	// halfLifeMs is the age, in ms, at which an old figure counts half.
	halfLifeMs = 2000.0
	// maxCandidates bounds the candidates that are considered, so that a choice needs no
	// allocation. An instance has three members.
	maxCandidates = 16
	// baseCostMs is added to every cost before the weights are computed, so that small
	// differences between idle candidates do not decide.
	baseCostMs = 10.0
)

const (
	// sampleWeight is the least weight of a new value in a moving average.
	sampleWeight = 0.15
	// averageHalfLifeMs is the age, in ms, at which a moving average weighs half of that against a
	// new value. With 2 s, one fast read brings a slow member back (p99 of 125 instead of 104 ms
	// with one slower by six).
	averageHalfLifeMs = 10_000.0
)

// Average returns the moving average after a sample. previous, 0 if there is none, is of the given
// age: the older it is the less it weighs, so that few trials show that a candidate has recovered.
func Average(previous, sample float64, age ebonywood.Millis) float64 {
	if previous == 0 {
		return sample
	}
	return sample + (previous-sample)*(1-sampleWeight)*averageHalfLifeMs/(averageHalfLifeMs+float64(max(age, 0)))
}

// aged returns the weight, from 1 to 0, of a figure of this age.
func aged(age ebonywood.Millis) float64 { return halfLifeMs / (halfLifeMs + float64(max(age, 0))) }

// ownCost returns the cost of a candidate by own figures only: statements in flight and the
// excess time of own statements.
func ownCost(candidate ebonywood.LoadCandidate) float64 {
	return float64(candidate.OwnInFlight())*ownCostMs + candidate.DelayMs()*aged(candidate.DelayAge()) + candidate.FixedMs() + candidate.AvoidedMs()
}

// least returns the index of the first candidate with the least cost.
func least(candidates []ebonywood.LoadCandidate, cost func(ebonywood.LoadCandidate) float64) int {
	best, leastMs := 0, math.Inf(1)
	for i, candidate := range candidates {
		if ms := cost(candidate); ms < leastMs {
			best, leastMs = i, ms
		}
	}
	return best
}

// unit maps a random number to [0, 1).
func unit(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// pick returns an index with a probability proportional to its weight, 0 if all weights are 0.
func pick(weights []float64, random uint64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	left := unit(random) * sum
	for i, weight := range weights {
		if left < weight {
			return i
		}
		left -= weight
	}
	return 0
}

// ForMembers returns the method that chooses the member for a read. The comparison in this
// package's test is why it is this one.
// It is returned as its own type, so that the compiler sees that a choice keeps nothing and
// needs no allocation.
func ForMembers() Times { return NewTimes(4) }

const (
	// FarProxyCostMs is what a proxy of another zone has to be faster, in ms, to be forwarded to.
	FarProxyCostMs = 15.0
	// OtherProxyCostMs is what a proxy has to be faster, in ms, than the first one of a
	// workspace's order. Its connections for the workspace may have to be opened first.
	OtherProxyCostMs = 20.0
)

// ForProxies returns the method that chooses the proxy to forward to.
func ForProxies() Times { return NewTimes(4) }

// Times takes a random candidate with a weight that falls with the given power of the time
// that a further statement is expected to take there: the average time of the own statements,
// aged back to the mean of all candidates, plus ownCostMs for each own statement in flight.
type Times struct{ power int }

// NewTimes returns the method with this power.
func NewTimes(power int) Times { return Times{power: power} }

// Name returns the name of the method.
func (method Times) Name() string { return "times-" + string(rune('0'+method.power)) }

// Choose implements ebonywood.LoadBalancer.
func (method Times) Choose(candidates []ebonywood.LoadCandidate, random uint64) int {
	var weights [maxCandidates]float64
	candidates = candidates[:min(len(candidates), maxCandidates)]
	mean, leastDirect := meanTime(candidates), math.Inf(1)
	for i, candidate := range candidates {
		expected := expectedTime(candidate, mean)
		if candidate.AvoidedMs() == 0 {
			leastDirect = min(leastDirect, expected)
		}
		inverse := 1 / expected
		weights[i] = inverse
		for range method.power - 1 {
			weights[i] *= inverse
		}
	}
	for i, candidate := range candidates {
		if candidate.AvoidedMs() > 0 && expectedTime(candidate, mean) >= leastDirect {
			weights[i] = 0
		}
	}
	return pick(weights[:len(candidates)], random)
}

// meanTime returns the mean of the known average times of the candidates, in ms, in which old
// times have less weight; baseCostMs without any.
func meanTime(candidates []ebonywood.LoadCandidate) float64 {
	sum, weights := 0.0, 0.0
	for _, candidate := range candidates {
		if candidate.TimeMs() > 0 {
			weight := aged(candidate.TimeAge())
			sum, weights = sum+candidate.TimeMs()*weight, weights+weight
		}
	}
	if weights == 0 {
		return baseCostMs
	}
	return sum / weights
}

// expectedTime returns the time, in ms, that a further statement is expected to take at the
// candidate.
func expectedTime(candidate ebonywood.LoadCandidate, mean float64) float64 {
	time := mean
	if candidate.TimeMs() > 0 {
		time += (candidate.TimeMs() - mean) * aged(candidate.TimeAge())
	}
	return max(time, 1) + float64(candidate.OwnInFlight())*ownCostMs + candidate.FixedMs() + candidate.AvoidedMs()
}
