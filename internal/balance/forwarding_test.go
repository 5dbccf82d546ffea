package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cost"
)

// This file compares ways to choose the proxy to forward to. Forty entry proxies in four zones
// forward to eight serving ones, two in each zone. A serving proxy handles one request at a time,
// for a time that depends on its share of a processor, and then waits for a member.

const (
	entries = 40
	// proxyMs is the processor time of a request, in ms.
	proxyMs = 3.0
	// memberMs is the mean time at the member.
	memberMs = 20.0
)

// forwardLoad is a load of the comparison.
type forwardLoad struct {
	name   string
	rate   float64
	shares [8]float64
	// squeezed is the share of the first proxy for 3 of every 10 s, 0 for no change.
	squeezed float64
	// workspaces reports that each request has a workspace, of which there are 84 and the first
	// three have half of the requests. Its rendezvous order is kept as far as possible.
	workspaces bool
}

var forwardLoads = []forwardLoad{
	{"even, low", 200, [8]float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}, 0, false},
	{"shares 0.2 and 0.8, low", 200, [8]float64{0.2, 0.2, 0.2, 0.2, 0.8, 0.8, 0.8, 0.8}, 0, false},
	{"shares 0.2 and 0.8, peak", 600, [8]float64{0.2, 0.2, 0.2, 0.2, 0.8, 0.8, 0.8, 0.8}, 0, false},
	{"one zone of 0.2, peak", 500, [8]float64{0.2, 0.6, 0.6, 0.6, 0.2, 0.6, 0.6, 0.6}, 0, false},
	{"one squeezed to 0.03", 300, [8]float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}, 0.03, false},
	{"workspaces, one squeezed to 0.03", 300, [8]float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}, 0.03, true},
	{"workspaces, shares 0.2 and 0.8, peak", 400, [8]float64{0.2, 0.2, 0.2, 0.2, 0.8, 0.8, 0.8, 0.8}, 0, true},
}

// forwardResult holds the measures of one run.
type forwardResult struct {
	p50, p99, within, far, moved float64
}

type forwardFigures struct {
	inFlight       int
	ratio, ratioAt float64
}

type forwardEntry struct {
	costs   cost.Table
	servers [8]forwardFigures
}

type forwardEvent struct {
	simEvent
	startedAt float64
}

type forwardEvents []forwardEvent

func (events forwardEvents) Len() int           { return len(events) }
func (events forwardEvents) Less(i, j int) bool { return events[i].at < events[j].at }
func (events forwardEvents) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *forwardEvents) Push(event any)    { *events = append(*events, event.(forwardEvent)) }
func (events *forwardEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// simulateForwarding runs a load for 40 s. Without a method the servers are chosen as before: the
// first of the rendezvous order in the own zone, or a random one there.
func simulateForwarding(load forwardLoad, method ebonywood.LoadBalancer, seed uint64) forwardResult {
	random := rand.New(rand.NewPCG(seed, 11))
	var (
		all       [entries]forwardEntry
		freeAt    [8]float64
		events    forwardEvents
		times     []float64
		far, move int
	)
	heap.Push(&events, forwardEvent{simEvent: simEvent{kind: kindArrival}})
	for len(events) > 0 {
		event := heap.Pop(&events).(forwardEvent)
		now := event.at
		if now > simLengthMs {
			break
		}
		if event.kind == kindDone {
			entry := &all[event.proxy]
			figures := &entry.servers[event.member]
			figures.inFlight--
			elapsed := now - event.startedAt
			times = append(times, elapsed)
			expected := 20.0
			if estimate, known := entry.costs.Estimate(1); known {
				expected = min(float64(estimate.Microseconds())/1000, 100)
			}
			entry.costs.Record(1, time.Duration(elapsed*float64(time.Millisecond)))
			ratio := min(elapsed/expected, maxRatio)
			figures.ratio = Average(figures.ratio, ratio, ebonywood.Millis(now-figures.ratioAt))
			figures.ratioAt = now
			continue
		}
		heap.Push(&events, forwardEvent{simEvent: simEvent{at: now + random.ExpFloat64()*1000/load.rate, kind: kindArrival}})
		entryIndex := random.IntN(entries)
		entry, zone := &all[entryIndex], entryIndex%4
		order := random.IntN(2)
		if load.workspaces {
			workspace := random.IntN(84)
			if random.IntN(2) == 0 {
				workspace = random.IntN(3)
			}
			order = workspace % 2
		}
		first := zone + 4*order
		server := first
		if method != nil {
			var candidates [8]ebonywood.LoadCandidate
			var servers [8]int
			for i := range 8 {
				// The candidates are in the order in which to try them: the own zone first.
				servers[i] = (zone+i/2)%4 + 4*((i+order)%2)
				figures := entry.servers[servers[i]]
				candidates[i] = ebonywood.NewLoadCandidate(figures.inFlight, 0).
					WithTime(figures.ratio*nominalMs, ebonywood.Millis(now-figures.ratioAt))
				if i >= 2 {
					candidates[i] = candidates[i].WithAvoidedCost(FarProxyCostMs)
				}
				if load.workspaces && i > 0 {
					candidates[i] = candidates[i].WithAvoidedCost(OtherProxyCostMs)
				}
			}
			server = servers[method.Choose(candidates[:], random.Uint64())]
		}
		rtt := nearRttMs
		if server%4 != zone {
			far++
			rtt = farRttMs
		}
		if server != first {
			move++
		}
		share := load.shares[server]
		if server == 0 && load.squeezed > 0 && math.Mod(now, 10_000) >= 7000 {
			share = load.squeezed
		}
		freeAt[server] = max(freeAt[server], now+rtt/2) + proxyMs/share*(0.6+0.4*random.ExpFloat64())
		member := memberMs * (0.6 + 0.4*random.ExpFloat64())
		entry.servers[server].inFlight++
		heap.Push(&events, forwardEvent{
			simEvent:  simEvent{at: freeAt[server] + member + rtt/2, kind: kindDone, proxy: entryIndex, member: server},
			startedAt: now,
		})
	}
	count := float64(max(1, len(times)))
	return forwardResult{
		p50: quantile(times, 0.5), p99: quantile(times, 0.99), within: withinGoal(times, readGoal),
		far: 100 * float64(far) / count, moved: 100 * float64(move) / count,
	}
}

const nominalMs = 20.0

// TestForwardingComparison guards against forwarding to a proxy that has little processor time
// while another one of the zone, or of another one, answers faster. With -v it prints the third
// table of docs/design/even-load.md.
func TestForwardingComparison(t *testing.T) {
	if testing.Verbose() {
		var table strings.Builder
		for _, load := range forwardLoads {
			for _, method := range []ebonywood.LoadBalancer{nil, TwoChoices{}, NewTimes(2), NewTimes(4), NewTimes(6), NewLeastTime(3)} {
				name := "before"
				if method != nil {
					name = method.Name()
				}
				result := simulateForwarding(load, method, 1)
				fmt.Fprintf(&table, "| %s | %s | %.1f | %.0f | %.2f | %.1f | %.1f |\n", load.name, name, result.p50, result.p99, result.within, result.far, result.moved)
			}
		}
		t.Log("\n" + table.String())
	}
	for _, load := range forwardLoads {
		before, after := simulateForwarding(load, nil, 1), simulateForwarding(load, ForProxies(), 1)
		require.LessOrEqual(t, after.p99, before.p99*1.1, load.name)
		require.GreaterOrEqual(t, after.within, before.within-0.1, load.name)
	}
}
