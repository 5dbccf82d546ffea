package queue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	overloadSlots       = 3
	overloadCost        = 20 * time.Millisecond
	overloadLatencyGoal = 400 * time.Millisecond
	overloadDeadline    = time.Second
	// overloadArrivalInterval offers 130% of the capacity of the slots.
	overloadArrivalInterval = overloadCost * 10 / (overloadSlots * 13)
	overloadDuration        = 20 * time.Second
)

// simulateOverload offers more statements than the slots can run. Each may wait for
// maxWait. It returns the share of them that ended within overloadLatencyGoal. Time is
// virtual, and the seed determines how long the statements run.
func simulateOverload(seed uint64, maxWait time.Duration) (shareInTime float64) {
	random := rand.New(rand.NewPCG(seed, seed))
	queue := New(overloadSlots)
	arrived := map[uint64]time.Duration{}
	ends := map[uint64]time.Duration{}
	inTime, offered := 0, uint64(0)
	start := func(now time.Duration) {
		queue.Evict(now)
		for {
			ticket, found := queue.Pop()
			if !found {
				return
			}
			ends[ticket] = now + time.Duration(random.ExpFloat64()*float64(overloadCost))
		}
	}
	for now := time.Duration(0); now < overloadDuration; now += time.Millisecond {
		for ticket, end := range ends {
			if end <= now {
				queue.Done(ticket, overloadCost)
				delete(ends, ticket)
				if end-arrived[ticket] <= overloadLatencyGoal {
					inTime++
				}
			}
		}
		for time.Duration(offered)*overloadArrivalInterval <= now {
			offered++
			arrived[offered] = now
			queue.Push(offered, 1, "browse", 1, false, overloadCost, true, now, now+maxWait)
		}
		start(now)
	}
	return float64(inTime) / float64(offered)
}

// TestOverloadKeepsLatencyGoal offers 130% of the capacity of the slots. If statements
// may wait until their deadline, nearly all miss the latency goal. If those that would
// miss the goal are refused, nearly all that the slots can run (77%) meet it.
func TestOverloadKeepsLatencyGoal(t *testing.T) {
	for seed := range uint64(5) {
		bounded := simulateOverload(seed, overloadLatencyGoal*6/10)
		unbounded := simulateOverload(seed, overloadDeadline)
		require.Greater(t, bounded, 0.6, "seed %d", seed)
		require.Less(t, unbounded, bounded/2, "seed %d", seed)
	}
}
