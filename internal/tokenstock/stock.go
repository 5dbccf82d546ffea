// Package tokenstock holds the tokens of one workspace that a proxy may spend. It is pure:
// the time comes in with each call.
//
// Tokens are kept by the allocator that dealt them. They expire a fixed time after the
// proxy sent the request for them, which is before the allocator stops to count them.
package tokenstock

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// demandPeriod is the length of one of the periods of which the demand is kept.
const demandPeriod ebonywood.Millis = 250

const (
	// demandPeriods is the number of these periods.
	demandPeriods = 3
	// maxWanted bounds a request, so that a burst of callers at one proxy does not take the
	// tokens of all.
	maxWanted = 256
)

// Stock holds the tokens of one workspace. It is not safe for concurrent use.
type Stock struct {
	// sources has the tokens by the allocator that dealt them: those of the present holders
	// of the allocators' keys, and of earlier ones until the tokens have expired.
	sources []*source
	// demand counts the operations that asked for a token, by period; period is the last.
	demand [demandPeriods]int
	period ebonywood.Millis
}

// source has the tokens of one claim of an allocator's key.
type source struct {
	number int
	nonce  string
	// batches are the tokens that can be taken, the oldest first. inUse are those that
	// operations have taken, and that were neither spent nor returned nor reported as spent.
	batches, inUse []batch
	blockedUntil   ebonywood.Millis
	// reportAt is when spent tokens have to be reported; 0 if they need not be.
	reportAt ebonywood.Millis
}

// batch is a number of tokens that expire together.
type batch struct {
	tokens int
	until  ebonywood.Millis
}

// New returns an empty stock.
func New() *Stock { return &Stock{} }

// CountDemand counts an operation that needs a token.
func (stock *Stock) CountDemand(now ebonywood.Millis) {
	stock.roll(now)
	stock.demand[stock.period%demandPeriods]++
}

// roll clears the counts of periods that have passed.
func (stock *Stock) roll(now ebonywood.Millis) {
	period := now / demandPeriod
	for passed := stock.period + 1; passed <= period && passed <= stock.period+demandPeriods; passed++ {
		stock.demand[passed%demandPeriods] = 0
	}
	stock.period = max(stock.period, period)
}

// Take takes the token that expires first for an operation, and reports whether there was one.
// It can be returned until Spend, or until the next request to its allocator.
func (stock *Stock) Take(now ebonywood.Millis) bool {
	var oldest *source
	for _, source := range stock.sources {
		source.expire(now)
		if len(source.batches) > 0 && (oldest == nil || source.batches[0].until < oldest.batches[0].until) {
			oldest = source
		}
	}
	if oldest == nil {
		return false
	}
	until := oldest.batches[0].until
	oldest.batches[0].tokens--
	if oldest.batches[0].tokens == 0 {
		oldest.batches = oldest.batches[1:]
	}
	oldest.inUse = insert(oldest.inUse, 1, until)
	return true
}

// insert adds tokens in the order in which they expire.
func insert(batches []batch, tokens int, until ebonywood.Millis) []batch {
	index := len(batches)
	for index > 0 && batches[index-1].until > until {
		index--
	}
	if index > 0 && batches[index-1].until == until {
		batches[index-1].tokens += tokens
		return batches
	}
	return slices.Insert(batches, index, batch{tokens: tokens, until: until})
}

// Spend records that an operation has used its token. Tokens in use that have not expired are
// interchangeable; the one that expires first is spent.
func (stock *Stock) Spend(now ebonywood.Millis) {
	for _, source := range stock.sources {
		source.expire(now)
		if len(source.inUse) == 0 {
			continue
		}
		source.inUse[0].tokens--
		if source.inUse[0].tokens == 0 {
			source.inUse = source.inUse[1:]
		}
		return
	}
}

// Return gives back the token of an operation that has not used it. One that has expired
// meanwhile is lost, since its allocator no longer counts it.
func (stock *Stock) Return(now ebonywood.Millis) {
	for _, source := range stock.sources {
		source.expire(now)
		last := len(source.inUse) - 1
		if last < 0 {
			continue
		}
		until := source.inUse[last].until
		source.inUse[last].tokens--
		if source.inUse[last].tokens == 0 {
			source.inUse = source.inUse[:last]
		}
		source.batches = insert(source.batches, 1, until)
		return
	}
}

// expire drops the tokens that can't be spent any more.
func (source *source) expire(now ebonywood.Millis) {
	for len(source.batches) > 0 && source.batches[0].until <= now {
		source.batches = source.batches[1:]
	}
	for len(source.inUse) > 0 && source.inUse[0].until <= now {
		source.inUse = source.inUse[1:]
	}
}

// Held returns how many tokens can be spent.
func (stock *Stock) Held(now ebonywood.Millis) (held int) {
	for _, source := range stock.sources {
		held += source.held(now)
	}
	return held
}

func (source *source) held(now ebonywood.Millis) (held int) {
	source.expire(now)
	for _, batch := range source.batches {
		held += batch.tokens
	}
	return held
}

// IsLow reports whether fewer tokens are held than were needed in the last quarter of a
// second, without the operation that was counted last.
func (stock *Stock) IsLow(now ebonywood.Millis) bool {
	stock.roll(now)
	recent := max(stock.demand[stock.period%demandPeriods]-1, stock.demand[(stock.period+demandPeriods-1)%demandPeriods])
	return stock.Held(now) < recent
}

// Wanted returns how many tokens to ask for: half of what was needed in the last half to
// three quarters of a second, less what is held, and at least what operations wait for. More
// would expire at proxies with few callers, or be missed elsewhere meanwhile.
func (stock *Stock) Wanted(now ebonywood.Millis, waiting int) int {
	stock.roll(now)
	needed := 0
	for _, count := range stock.demand {
		needed += count
	}
	return min(max(needed/2-stock.Held(now), waiting, 1), max(maxWanted, waiting))
}

// Next returns the first of the allocators, in the order in which to ask them, that may be
// asked now.
func (stock *Stock) Next(now ebonywood.Millis, allocators []ebonywood.Allocator) (ebonywood.Allocator, bool) {
	for _, allocator := range allocators {
		source, found := stock.find(allocator)
		if !found || source.blockedUntil <= now {
			return allocator, true
		}
	}
	return ebonywood.Allocator{}, false
}

// BeginRequest returns how many tokens of an allocator are held, for a request that is sent
// now. From then on the allocator counts those in use no longer, so that slow operations don't
// keep it from dealing: with them counted it dealt a quarter less at a peak.
func (stock *Stock) BeginRequest(now ebonywood.Millis, allocator ebonywood.Allocator) (held int) {
	source := stock.source(allocator)
	source.inUse, source.reportAt = nil, 0
	return source.held(now)
}

// find returns the tokens of an allocator.
func (stock *Stock) find(allocator ebonywood.Allocator) (*source, bool) {
	for _, source := range stock.sources {
		if source.number == allocator.Number() && source.nonce == allocator.Nonce() {
			return source, true
		}
	}
	return nil, false
}

// source returns the tokens of an allocator. Tokens of an earlier holder of its key stay
// until they expire, but are not reported as held: the new holder counts them as those of
// its predecessor.
func (stock *Stock) source(allocator ebonywood.Allocator) *source {
	if found, exists := stock.find(allocator); exists {
		return found
	}
	stock.sources = slices.DeleteFunc(stock.sources, func(former *source) bool {
		return former.number == allocator.Number() && len(former.batches)+len(former.inUse) == 0
	})
	created := &source{number: allocator.Number(), nonce: allocator.Nonce()}
	stock.sources = append(stock.sources, created)
	return created
}

// Add adds the tokens of a reply to the request that was sent at sentAt, which said how many of
// them are urgent. If retryAfter is not
// 0, the allocator must not be asked again for that time, and spent tokens have to be
// reported to it after reportAfter.
func (stock *Stock) Add(
	now, sentAt, life, reportAfter ebonywood.Millis, allocator ebonywood.Allocator, tokens, urgent int, retryAfter ebonywood.Millis,
) {
	source := stock.source(allocator)
	urgent = min(urgent, tokens)
	if urgent > 0 {
		source.batches = insert(source.batches, urgent, sentAt+min(life, ebonywood.UrgentTokenLife))
	}
	if tokens > urgent {
		source.batches = insert(source.batches, tokens-urgent, sentAt+life)
	}
	if retryAfter == 0 {
		return
	}
	source.blockedUntil = now + retryAfter
	if tokens > urgent {
		source.reportAt = now + reportAfter
	}
}

// Block makes an allocator not be asked for a time.
func (stock *Stock) Block(until ebonywood.Millis, allocator ebonywood.Allocator) {
	stock.source(allocator).blockedUntil = until
}

// IsReportDue reports whether spent tokens have to be reported to an allocator now. later is
// set if they have to be, but not yet.
func (stock *Stock) IsReportDue(now ebonywood.Millis, allocator ebonywood.Allocator) (due, later bool) {
	source, found := stock.find(allocator)
	if !found || source.reportAt == 0 {
		return false, false
	}
	return source.reportAt <= now, source.reportAt > now
}
