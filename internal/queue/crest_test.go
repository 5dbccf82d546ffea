package queue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	crestSlots    = 3
	crestCost     = 20 * time.Millisecond
	crestPromise  = 400 * time.Millisecond
	crestDeadline = time.Second
	// crestGap offers 130% of what the slots can do.
	crestGap  = crestCost * 10 / (crestSlots * 13)
	crestSpan = 20 * time.Second
)

// playCrest offers more work than the slots can do, each piece of which may wait for
// the patience, and returns the share of it that was done within the promise. Time
// is virtual and the work's length varies by the seed.
func playCrest(seed uint64, patience time.Duration) (inTime float64) {
	random := rand.New(rand.NewPCG(seed, seed))
	each := New(crestSlots)
	arrived := map[uint64]time.Duration{}
	ends := map[uint64]time.Duration{}
	good, offered := 0, uint64(0)
	start := func(now time.Duration) {
		each.Evict(now)
		for {
			ticket, found := each.Pop()
			if !found {
				return
			}
			ends[ticket] = now + time.Duration(random.ExpFloat64()*float64(crestCost))
		}
	}
	for now := time.Duration(0); now < crestSpan; now += time.Millisecond {
		for ticket, end := range ends {
			if end <= now {
				each.Done(ticket, crestCost)
				delete(ends, ticket)
				if end-arrived[ticket] <= crestPromise {
					good++
				}
			}
		}
		for time.Duration(offered)*crestGap <= now {
			offered++
			arrived[offered] = now
			each.Push(offered, 1, "browse", 1, false, crestCost, true, now, now+patience)
		}
		start(now)
	}
	return float64(good) / float64(offered)
}

// TestCrestKeepsItsPromise is a crest of 130% of the slots: work that may wait until
// its deadline is nearly all late, work that is refused when it would miss its
// promise is nearly all in time, up to what the slots can do (77%).
func TestCrestKeepsItsPromise(t *testing.T) {
	for seed := range uint64(5) {
		bounded := playCrest(seed, crestPromise*6/10)
		unbounded := playCrest(seed, crestDeadline)
		require.Greater(t, bounded, 0.6, "seed %d", seed)
		require.Less(t, unbounded, bounded/2, "seed %d", seed)
	}
}
