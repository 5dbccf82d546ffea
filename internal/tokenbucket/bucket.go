package tokenbucket

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

const (
	// demandPeriod is the time over which the demand of the proxies is added up.
	demandPeriod ebonywood.Millis = 500
	// requestsPerSecond is how many requests of a pressed workspace one allocator asks for;
	// four allocators make a few hundred in the fleet.
	requestsPerSecond = 50
	// minRetry and maxRetry bound the time after which a proxy may ask again.
	minRetry ebonywood.Millis = 50
	maxRetry ebonywood.Millis = 2000
	// nearRetry is the retry time of a workspace near its limit that got all it asked for. It
	// makes the proxy report soon what it has spent.
	nearRetry ebonywood.Millis = 1
	// maxSpare is how many tokens a proxy gets beyond what it asked for. A proxy with few callers
	// uses hardly more before they expire.
	maxSpare = 2
	// pressedShare is the share of the bucket or of the tokens that may be dealt below
	// which proxies have to wait between two requests.
	pressedShare = 0.25
)

// bucket holds the tokens of one workspace that an allocator has created and not dealt, and
// counts those that it has dealt and that may not be spent.
type bucket struct {
	limit  allowance
	tokens float64
	// filledAt is the time up to which tokens were created.
	filledAt ebonywood.Millis
	// predecessorUntil is when the last token of an earlier allocator has expired.
	predecessorUntil ebonywood.Millis
	life             ebonywood.Millis
	accounts         map[string]*account
	// outstanding is the sum of the tokens dealt in all accounts. expiries has one entry for
	// each request, urgentExpiries one for each that got urgent tokens, both in order of time.
	outstanding              int
	expiries, urgentExpiries []expiry
	demand                   demand
}

// account has the tokens dealt to one proxy that it may not have spent, those that expire
// first at the beginning.
type account struct {
	batches []batch
	askedAt ebonywood.Millis
	// period is the last period of the demand in which the proxy was counted.
	period ebonywood.Millis
}

// batch is a number of tokens that expire together.
type batch struct {
	tokens int
	until  ebonywood.Millis
}

// expiry is the time at which an account has to be looked through.
type expiry struct {
	proxy string
	until ebonywood.Millis
}

// demand is what proxies have asked for in the present and in the previous period.
type demand struct {
	period                       ebonywood.Millis
	wanted, askers               int
	previousWanted, previousAsks int
}

// newBucket returns the empty bucket of an allocator that started at startedAt.
func newBucket(limit allowance, startedAt, life ebonywood.Millis) *bucket {
	return &bucket{
		limit: limit, filledAt: startedAt, predecessorUntil: startedAt + life, life: life,
		accounts: map[string]*account{},
	}
}

// setLimit applies another limit. Tokens that the bucket holds beyond it are dropped.
func (bucket *bucket) setLimit(now ebonywood.Millis, limit allowance) {
	if limit == bucket.limit {
		return
	}
	bucket.advance(now)
	bucket.limit = limit
	bucket.clamp(now)
}

// advance creates the tokens since the last call and forgets dealt ones that have expired.
// A time before that of the last call changes nothing.
func (bucket *bucket) advance(now ebonywood.Millis) {
	if now > bucket.filledAt {
		bucket.tokens += bucket.limit.rate * float64(now-bucket.filledAt) / millisPerSecond
		bucket.filledAt = now
	}
	// The clamp comes before the expiry: what was lost to tokens still outstanding at some
	// time before now can't be created afterwards.
	bucket.clamp(now)
	bucket.urgentExpiries = bucket.expireDue(bucket.urgentExpiries, now)
	bucket.expiries = bucket.expireDue(bucket.expiries, now)
}

// expireDue looks through the accounts whose time has come and returns the other entries.
func (bucket *bucket) expireDue(expiries []expiry, now ebonywood.Millis) []expiry {
	for len(expiries) > 0 && expiries[0].until <= now {
		bucket.expire(expiries[0].proxy, now)
		expiries = expiries[1:]
	}
	return expiries
}

// clamp drops the tokens that exceed the bucket or, with all that may be unspent elsewhere,
// the total.
func (bucket *bucket) clamp(now ebonywood.Millis) {
	room := bucket.limit.bucket + bucket.limit.dealt - float64(bucket.outstanding)
	if now < bucket.predecessorUntil {
		room -= bucket.limit.dealt
	}
	bucket.tokens = max(0, min(bucket.tokens, bucket.limit.bucket, room))
}

// expire forgets the tokens of a proxy that have expired, and an account that is empty.
func (bucket *bucket) expire(proxy string, now ebonywood.Millis) {
	account, found := bucket.accounts[proxy]
	if !found {
		return
	}
	for len(account.batches) > 0 && account.batches[0].until <= now {
		bucket.outstanding -= account.batches[0].tokens
		account.batches = account.batches[1:]
	}
	if len(account.batches) == 0 && account.askedAt+bucket.life <= now {
		delete(bucket.accounts, proxy)
	}
}

// report records that the proxy has spent all but held of the tokens dealt to it. It spends
// those that expire first.
func (bucket *bucket) report(account *account, held int) {
	sum := 0
	for _, batch := range account.batches {
		sum += batch.tokens
	}
	for excess := sum - max(0, held); excess > 0; {
		spent := min(excess, account.batches[0].tokens)
		account.batches[0].tokens -= spent
		bucket.outstanding -= spent
		excess -= spent
		if account.batches[0].tokens == 0 {
			account.batches = account.batches[1:]
		}
	}
}

// deal answers a request of a proxy that holds tokens of this allocator and wants more, some of
// them urgently. It returns the number dealt, and how long the proxy should wait before it asks
// again.
func (bucket *bucket) deal(now ebonywood.Millis, proxy string, held, wanted, urgent int) (tokens int, retryAfter ebonywood.Millis) {
	bucket.advance(now)
	entry, found := bucket.accounts[proxy]
	if !found {
		entry = &account{period: -1}
		bucket.accounts[proxy] = entry
	}
	bucket.report(entry, held)
	entry.askedAt = now
	bucket.expiries = append(bucket.expiries, expiry{proxy: proxy, until: now + bucket.life})
	if wanted <= 0 {
		return 0, 0
	}
	bucket.demand.add(now, entry, wanted)
	available := max(0, min(int(bucket.tokens), int(bucket.limit.dealt)-bucket.outstanding))
	retry := bucket.retryAfter()
	tokens = min(wanted, available)
	if total := bucket.demand.total(); total > available {
		tokens = min(tokens, bucket.share(available, wanted, total, retry))
	}
	urgent = min(max(0, urgent), tokens)
	enough := tokens == wanted
	if enough && urgent == wanted {
		tokens += bucket.spare(tokens)
	}
	bucket.tokens -= float64(tokens)
	bucket.outstanding += tokens
	if urgent > 0 {
		bucket.urgentExpiries = append(bucket.urgentExpiries, expiry{proxy: proxy, until: now + ebonywood.UrgentTokenLife})
		entry.add(urgent, now+ebonywood.UrgentTokenLife)
	}
	if tokens > urgent {
		entry.add(tokens-urgent, now+bucket.life)
	}
	switch {
	case !enough:
		return tokens, retry
	case bucket.isPressed():
		return tokens, nearRetry
	default:
		return tokens, 0
	}
}

// spare returns how many tokens a proxy gets in addition to those that its operations wait for,
// so that the next operations find one: as many as leave half of the bucket, and of what may be
// outstanding, to operations elsewhere.
func (bucket *bucket) spare(dealt int) int {
	room := min(bucket.tokens-bucket.limit.bucket/2, bucket.limit.dealt/2-float64(bucket.outstanding)) - float64(dealt)
	return max(0, min(maxSpare, int(room)))
}

// add adds tokens in the order in which they expire.
func (account *account) add(tokens int, until ebonywood.Millis) {
	index := len(account.batches)
	for index > 0 && account.batches[index-1].until > until {
		index--
	}
	account.batches = slices.Insert(account.batches, index, batch{tokens: tokens, until: until})
}

// share returns how many of the available tokens one proxy gets while all want more than
// there is: its share of what is created until it may ask again, rounded up, and at least half
// of a bucket that is half full, since what does not fit is lost.
func (bucket *bucket) share(available, wanted, total int, retry ebonywood.Millis) int {
	created := bucket.limit.rate * float64(retry) / millisPerSecond
	share := 1 + int(created*float64(wanted)/float64(total))
	if bucket.tokens >= bucket.limit.bucket/2 {
		share = max(share, available/2)
	}
	return share
}

// isPressed reports whether the workspace is near its limit, so that spent tokens have to be
// reported.
func (bucket *bucket) isPressed() bool {
	return bucket.tokens < pressedShare*bucket.limit.bucket ||
		float64(bucket.outstanding) > (1-pressedShare)*bucket.limit.dealt
}

// retryAfter returns the time between two requests of a proxy at which all that asked
// lately send requestsPerSecond.
func (bucket *bucket) retryAfter() ebonywood.Millis {
	retry := ebonywood.Millis(bucket.demand.count() * millisPerSecond / requestsPerSecond)
	return min(max(retry, minRetry), maxRetry)
}

// add counts a request. A proxy is counted once in a period.
func (demand *demand) add(now ebonywood.Millis, account *account, wanted int) {
	period := now / demandPeriod
	if period != demand.period {
		previous := *demand
		*demand = demandOf(period)
		if previous.period+1 == period {
			demand.previousWanted, demand.previousAsks = previous.wanted, previous.askers
		}
	}
	if account.period != period {
		account.period = period
		demand.askers++
		demand.wanted += wanted
	}
}

func demandOf(period ebonywood.Millis) demand { return demand{period: period} }

// total returns how many tokens the proxies that asked lately want.
func (demand *demand) total() int { return max(demand.wanted, demand.previousWanted) }

// count returns how many proxies asked lately.
func (demand *demand) count() int { return max(demand.askers, demand.previousAsks) }
