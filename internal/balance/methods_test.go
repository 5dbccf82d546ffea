package balance

import (
	"math"

	"github.com/ebonywood/ebonywood"
)

// This file has the methods that were compared and are not used.

// Least takes the candidate with the least cost by own figures.
type Least struct{}

// Name returns the name of the method.
func (Least) Name() string { return "least" }

// Choose implements ebonywood.LoadBalancer.
func (Least) Choose(candidates []ebonywood.LoadCandidate, _ uint64) int {
	return least(candidates, ownCost)
}

// TwoChoices takes the one of two random candidates that has the lesser cost by own figures.
type TwoChoices struct{}

// Name returns the name of the method.
func (TwoChoices) Name() string { return "two-choices" }

// Choose implements ebonywood.LoadBalancer.
func (TwoChoices) Choose(candidates []ebonywood.LoadCandidate, random uint64) int {
	count := uint64(len(candidates))
	if count < 2 {
		return 0
	}
	first := random % count
	second := (first + 1 + (random/count)%(count-1)) % count
	if ownCost(candidates[second]) < ownCost(candidates[first]) {
		return int(second)
	}
	return int(first)
}

// Aged takes the least loaded candidate by reported figures, each of which ages back to the
// mean of all reported figures.
type Aged struct{}

// Name returns the name of the method.
func (Aged) Name() string { return "aged" }

// Choose implements ebonywood.LoadBalancer.
func (Aged) Choose(candidates []ebonywood.LoadCandidate, _ uint64) int {
	mean := meanReported(candidates)
	return least(candidates, func(candidate ebonywood.LoadCandidate) float64 {
		return estimate(candidate, mean)*ownCostMs + candidate.FixedMs() + candidate.AvoidedMs()
	})
}

func meanReported(candidates []ebonywood.LoadCandidate) float64 {
	sum := 0.0
	for _, candidate := range candidates {
		sum += float64(candidate.Reported())
	}
	return sum / float64(len(candidates))
}

// estimate returns the statements in flight at a candidate: the reported number, aged back to
// the mean, and at least the own ones. reportHalfLife is shorter than halfLifeMs, since
// queues change within a few service times.
func estimate(candidate ebonywood.LoadCandidate, mean float64) float64 {
	const reportHalfLife = 250.0
	weight := reportHalfLife / (reportHalfLife + float64(max(candidate.ReportAge(), 0)))
	return max(mean+(float64(candidate.Reported())-mean)*weight, float64(candidate.OwnInFlight()))
}

// FreeCapacity takes a random candidate, weighted by its estimated free slots.
type FreeCapacity struct{}

// Name returns the name of the method.
func (FreeCapacity) Name() string { return "free-capacity" }

// Choose implements ebonywood.LoadBalancer.
func (FreeCapacity) Choose(candidates []ebonywood.LoadCandidate, random uint64) int {
	const minFree = 0.25
	mean := meanReported(candidates)
	var weights [maxCandidates]float64
	candidates = candidates[:min(len(candidates), maxCandidates)]
	for i, candidate := range candidates {
		free := max(minFree, float64(candidate.Slots())-estimate(candidate, mean))
		weights[i] = free * baseCostMs / (baseCostMs + candidate.FixedMs() + candidate.AvoidedMs())
	}
	return pick(weights[:len(candidates)], random)
}

// OwnSinceReport takes the least loaded candidate by the reported figure, to which the own
// statements in flight are added.
type OwnSinceReport struct{}

// Name returns the name of the method.
func (OwnSinceReport) Name() string { return "report-plus-own" }

// Choose implements ebonywood.LoadBalancer.
func (OwnSinceReport) Choose(candidates []ebonywood.LoadCandidate, _ uint64) int {
	return least(candidates, func(candidate ebonywood.LoadCandidate) float64 {
		return float64(candidate.Reported()+candidate.OwnInFlight())*ownCostMs + candidate.FixedMs() + candidate.AvoidedMs()
	})
}

// Weighted takes a random candidate with a weight that falls with the given power of its cost
// by own figures.
type Weighted struct{ power int }

// NewWeighted returns the method with this power.
func NewWeighted(power int) Weighted { return Weighted{power: power} }

// Name returns the name of the method.
func (method Weighted) Name() string { return "weighted-" + string(rune('0'+method.power)) }

// Choose implements ebonywood.LoadBalancer.
func (method Weighted) Choose(candidates []ebonywood.LoadCandidate, random uint64) int {
	var weights [maxCandidates]float64
	candidates = candidates[:min(len(candidates), maxCandidates)]
	for i, candidate := range candidates {
		inverse := 1 / (baseCostMs + ownCost(candidate))
		weights[i] = inverse
		for range method.power - 1 {
			weights[i] *= inverse
		}
	}
	return pick(weights[:len(candidates)], random)
}

// LeastTime takes the candidate with the least expected time, with a random choice between
// nearly equal ones.
type LeastTime struct{ marginMs float64 }

// NewLeastTime returns the method, for which expected times that differ by up to marginMs are
// equal.
func NewLeastTime(marginMs float64) LeastTime { return LeastTime{marginMs: marginMs} }

// Name returns the name of the method.
func (LeastTime) Name() string { return "least-time" }

// Choose implements ebonywood.LoadBalancer.
func (method LeastTime) Choose(candidates []ebonywood.LoadCandidate, random uint64) int {
	var times, weights [maxCandidates]float64
	candidates = candidates[:min(len(candidates), maxCandidates)]
	mean, leastMs := meanTime(candidates), math.Inf(1)
	for i, candidate := range candidates {
		times[i] = expectedTime(candidate, mean)
		leastMs = min(leastMs, times[i])
	}
	for i := range candidates {
		if times[i] <= leastMs+method.marginMs {
			weights[i] = 1
		}
	}
	return pick(weights[:len(candidates)], random)
}
