package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	entries = 20
	// capacity is what the simulated process runs per second.
	capacity = 200.0
	// latency is the time after which the outcome of work is known.
	latency = 20 * time.Millisecond
)

// second counts the work of one second.
type second struct{ offered, sent, admitted int }

// play offers work to a process that admits what it can run and keeps up to 100 ms of work
// waiting, from the given number of entries. load is relative to the capacity.
func play(seed uint64, duration time.Duration, load func(now time.Duration) float64) []second {
	random := rand.New(rand.NewPCG(seed, seed))
	levels := make([]Level, entries)
	seconds := make([]second, duration/time.Second)
	type outcome struct {
		at       time.Duration
		entry    int
		admitted bool
	}
	var outcomes []outcome
	waiting := 0.0
	const step = time.Millisecond
	for now := time.Duration(0); now < duration; now += step {
		waiting = max(0, waiting-capacity*step.Seconds())
		for len(outcomes) > 0 && outcomes[0].at <= now {
			if outcomes[0].admitted {
				levels[outcomes[0].entry].Admitted(now)
			} else {
				levels[outcomes[0].entry].Refused(now)
			}
			outcomes = outcomes[1:]
		}
		for arrivals := load(now) * capacity * step.Seconds(); random.Float64() < arrivals; arrivals-- {
			counted := &seconds[now/time.Second]
			counted.offered++
			entry := random.IntN(entries)
			if !levels[entry].MaySend(now, random.Float64()) {
				continue
			}
			counted.sent++
			admitted := waiting < capacity/10
			if admitted {
				waiting++
				counted.admitted++
			}
			outcomes = append(outcomes, outcome{at: now + latency, entry: entry, admitted: admitted})
		}
	}
	return seconds
}

// Work that can be served must not be refused before it is sent: neither in a burst whose
// outcomes are not yet known nor because of single refusals.
func TestNothingIsHeldWithoutRefusals(t *testing.T) {
	var level Level
	for range 1000 {
		require.True(t, level.MaySend(time.Second, 0))
	}
	level.Refused(time.Second)
	level.Refused(time.Second)
	level.Refused(time.Second)
	require.True(t, level.MaySend(time.Second, 0))
}

// TestOverloadIsRefusedWhereItCameIn offers five times what a process can run. Most of what it
// would refuse must not be sent to it, and it must not run dry: refusals that last longer than
// its queue would leave it idle.
func TestOverloadIsRefusedWhereItCameIn(t *testing.T) {
	for seed := range uint64(5) {
		for at, second := range play(seed, 6*time.Second, func(time.Duration) float64 { return 5 })[1:] {
			require.Greater(t, second.admitted, int(0.95*capacity), "seed %d, second %d: %+v", seed, at+1, second)
			require.Less(t, second.sent, second.offered*6/10, "seed %d, second %d: %+v", seed, at+1, second)
		}
	}
}

// TestEndOfOverloadIsNoticed ends an overload of ten times the capacity. From two seconds
// later on nothing may be refused.
func TestEndOfOverloadIsNoticed(t *testing.T) {
	for seed := range uint64(5) {
		seconds := play(seed, 8*time.Second, func(now time.Duration) float64 {
			if now < 4*time.Second {
				return 10
			}
			return 0.7
		})
		for at, second := range seconds[6:] {
			require.GreaterOrEqual(t, second.admitted, second.offered-1, "seed %d, second %d: %+v", seed, at+6, second)
		}
	}
}

// Old outcomes must not decide: they are forgotten after lifetime.
func TestOutcomesAgeOut(t *testing.T) {
	var level Level
	for range 1000 {
		level.Refused(time.Second)
	}
	require.False(t, level.MaySend(time.Second, 0))
	require.True(t, level.MaySend(time.Second, 0.95), "a probe")
	require.False(t, level.IsOver(time.Second+lifetime-1))
	require.True(t, level.IsOver(time.Second+lifetime))
	require.True(t, level.MaySend(time.Second+lifetime, 0))
}
