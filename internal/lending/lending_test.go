package lending

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	proxies = 9
	slots   = 4
	// share is what nine processes may use each: four statements for each of four slots,
	// and at least two each.
	share = 2
	work  = 20 * time.Millisecond
	// step is the step of time, way the time that a statement travels to the member and its
	// reply back.
	step     = 500 * time.Microsecond
	way      = 3 * time.Millisecond
	duration = 20 * time.Second
)

// statement is one statement in the simulation.
type statement struct {
	proxy                     int
	arrived, sentAt, takesFor time.Duration
	endsAt                    time.Duration
}

// site simulates processes before one member. A process sends as many statements as its
// limit permits, the others wait there. The member runs as many as it has slots, in the order
// of arrival.
type site struct {
	random  *rand.Rand
	limits  [proxies]Limit
	lends   bool
	waiting [proxies][]statement
	present [proxies]int
	member  []statement
	// latencies are the times from arrival to reply. largest is the largest number of
	// statements at the member, sum the sum over all steps.
	latencies    []time.Duration
	largest, sum int
	steps        int
}

// rates returns the statements per second that callers send to each process at a time.
type rates func(now time.Duration) [proxies]float64

func play(seed uint64, lends bool, demand rates) *site {
	site := &site{random: rand.New(rand.NewPCG(seed, seed)), lends: lends}
	for proxy := range site.limits {
		site.limits[proxy].SetShare(share, 2*slots)
	}
	for now := time.Duration(0); now < duration; now += step {
		for proxy, rate := range demand(now) {
			if site.random.Float64() < rate*step.Seconds() {
				takes := time.Duration((0.9 + 0.2*site.random.Float64()) * float64(work))
				site.waiting[proxy] = append(site.waiting[proxy], statement{proxy: proxy, arrived: now, takesFor: takes})
			}
		}
		site.complete(now)
		site.send(now)
		site.run(now)
		site.largest = max(site.largest, len(site.member))
		site.sum += len(site.member)
		site.steps++
	}
	return site
}

// complete returns the replies whose time has come.
func (site *site) complete(now time.Duration) {
	site.member = slices.DeleteFunc(site.member, func(done statement) bool {
		if done.endsAt == 0 || done.endsAt+way > now {
			return false
		}
		site.latencies = append(site.latencies, now-done.arrived)
		if site.lends {
			site.limits[done.proxy].Completed(now, 1, now-done.sentAt, site.present[done.proxy])
		}
		site.present[done.proxy]--
		return true
	})
}

func (site *site) send(now time.Duration) {
	for proxy := range site.limits {
		site.limits[proxy].Expire(now)
		for len(site.waiting[proxy]) > 0 && site.present[proxy] < site.limits[proxy].Value() {
			next := site.waiting[proxy][0]
			site.waiting[proxy] = site.waiting[proxy][1:]
			next.sentAt = now
			site.present[proxy]++
			site.member = append(site.member, next)
		}
	}
}

// run starts statements at the member while it has slots.
func (site *site) run(now time.Duration) {
	busy := 0
	for i := range site.member {
		statement := &site.member[i]
		if statement.endsAt == 0 && busy < slots {
			statement.endsAt = now + statement.takesFor
		}
		if statement.endsAt > now {
			busy++
		}
	}
}

// shareWithin returns the share of the statements that were served within a time.
func (site *site) shareWithin(limit time.Duration, offered int) float64 {
	served := 0
	for _, latency := range site.latencies {
		if latency <= limit {
			served++
		}
	}
	return float64(served) / float64(offered)
}

// offered counts all statements, waiting ones included.
func (site *site) offered() int {
	offered := len(site.latencies) + len(site.member)
	for _, waiting := range site.waiting {
		offered += len(waiting)
	}
	return offered
}

// uneven sends most of the load to one process, which changes every three seconds.
func uneven(seed uint64, load float64) rates {
	random := rand.New(rand.NewPCG(seed, 99))
	favourites := make([]int, duration/(3*time.Second)+1)
	for i := range favourites {
		favourites[i] = random.IntN(proxies)
	}
	total := load * slots / work.Seconds()
	return func(now time.Duration) (result [proxies]float64) {
		for proxy := range result {
			result[proxy] = 0.2 * total / (proxies - 1)
		}
		result[favourites[now/(3*time.Second)]] = 0.8 * total
		return result
	}
}

func even(load float64) rates {
	return func(time.Duration) (result [proxies]float64) {
		for proxy := range result {
			result[proxy] = load * slots / work.Seconds() / proxies
		}
		return result
	}
}

// TestUnevenDemandUsesTheMember sends 80% of the load of a member that is 70% used to one of
// nine processes at a time. With fixed shares its two slots can't run them, while the member
// idles.
func TestUnevenDemandUsesTheMember(t *testing.T) {
	for seed := range uint64(5) {
		demand := uneven(seed, 0.7)
		fixed, lent := play(seed, false, demand), play(seed, true, demand)
		fixedShare, lentShare := fixed.shareWithin(150*time.Millisecond, fixed.offered()), lent.shareWithin(150*time.Millisecond, lent.offered())
		t.Logf("seed %d: within 150 ms %.3f with fixed shares, %.3f with lending; at the member at most %d and %d", seed, fixedShare, lentShare, fixed.largest, lent.largest)
		require.Greater(t, lentShare, 0.97)
		require.Less(t, fixedShare, 0.5)
		require.LessOrEqual(t, lent.largest, 4*slots)
	}
}

// afterUsual sends 60% of what the member can run for two seconds, then another demand.
func afterUsual(demand rates) rates {
	usual := even(0.6)
	return func(now time.Duration) [proxies]float64 {
		if now < 2*time.Second {
			return usual(now)
		}
		return demand(now)
	}
}

// TestOverloadFallsBackToShares sends 150% of what the member can run, evenly and unevenly,
// after a time of usual load. The processes must not push each other's statements into the
// member's queue: on average there are not many more than the shares.
func TestOverloadFallsBackToShares(t *testing.T) {
	for seed := range uint64(5) {
		for name, demand := range map[string]rates{"even": even(1.5), "uneven": uneven(seed, 1.5)} {
			site := play(seed, true, afterUsual(demand))
			mean := float64(site.sum) / float64(site.steps)
			t.Logf("seed %d, %s: %.1f at the member on average, %d at most", seed, name, mean, site.largest)
			require.LessOrEqual(t, mean, proxies*share+1.0)
			require.LessOrEqual(t, site.largest, proxies*share+slots)
		}
	}
}

// TestShareIsNeverLost lets one process use a member in full and then all others return.
// Those must be served as if nothing had been lent.
func TestShareIsNeverLost(t *testing.T) {
	for seed := range uint64(5) {
		returning := func(now time.Duration) (result [proxies]float64) {
			result[0] = 250
			if now > duration/2 {
				for proxy := 1; proxy < proxies; proxy++ {
					result[proxy] = 10
				}
			}
			return result
		}
		site := play(seed, true, returning)
		for proxy := 1; proxy < proxies; proxy++ {
			require.Less(t, len(site.waiting[proxy]), 10, "seed %d", seed)
		}
	}
}

// A refusal of the member must end the excess within a few decreases and stop its rise.
func TestRefusalsEndTheExcess(t *testing.T) {
	var limit Limit
	limit.SetShare(2, 8)
	limit.Fill()
	require.Equal(t, 8, limit.Value())
	now := time.Second
	for range 4 {
		limit.Refused(now)
		now += decreaseInterval
	}
	require.Equal(t, 2, limit.Value())
	limit.Completed(now, 1, work, 2)
	require.Equal(t, 2, limit.Value())
	for range 3 {
		limit.Completed(now+refusalPause, 1, work, limit.Value())
	}
	require.Equal(t, 3, limit.Value())
}

// An excess that nobody uses must not be there when the member is in use again.
func TestUnusedExcessIsGivenBack(t *testing.T) {
	var limit Limit
	limit.SetShare(2, 8)
	for range 20 {
		limit.Completed(time.Second, 1, work, limit.Value())
	}
	require.Greater(t, limit.Value(), 4)
	limit.Expire(time.Second + unusedPeriod)
	require.Greater(t, limit.Value(), 4)
	limit.Expire(time.Second + unusedPeriod + 1)
	require.Equal(t, 2, limit.Value())
}
