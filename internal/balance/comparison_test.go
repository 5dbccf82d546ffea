package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cost"
)

// This file compares the methods on seeded loads with a simulated clock. Eight proxies in four
// zones choose independently among the three members of an instance, in three of the zones.
// Each member has four slots and a queue. The first member is the primary and also gets all
// writes and strict reads.

const (
	simSlots    = 4
	simProxies  = 8
	simZones    = 4
	simWriteMs  = 5.0
	readGoal    = 250.0
	writeGoal   = 150.0
	nearRttMs   = 0.6
	farRttMs    = 4.4
	simLengthMs = 40_000.0
	// maxRatio bounds the ratio of a read's time to the expected one.
	maxRatio = 20.0
	// zoneMs and primaryMs are the fixed costs of the edge for another zone and the primary.
	zoneMs    = 6.0
	primaryMs = 30.0
)

// simReadMs are the mean service times of the two kinds of reads, which come in equal numbers.
var simReadMs = [2]float64{14.5, 28}

// load is a load of the comparison.
type load struct {
	name string
	// reads and writes are the arrivals per second of the instance outside of peaks.
	reads, writes float64
	// peak multiplies reads for 5 of every 10 seconds.
	peak float64
	// crowd is how many reads every proxy gets at the same moment, 5 times a second, during
	// peaks, in addition.
	crowd int
	// factors multiply the service times of the members.
	factors [3]float64
	// reportEvery is the time between two reports of the members' load, in ms.
	reportEvery float64
}

var loads = []load{
	{"even, low", 120, 120, 1, 0, [3]float64{1, 1, 1}, 500},
	{"even, peak", 120, 120, 3, 0, [3]float64{1, 1, 1}, 500},
	{"uneven members", 120, 120, 2, 0, [3]float64{1, 1, 2}, 500},
	{"one slower by 6", 120, 120, 1.6, 0, [3]float64{1, 6, 1}, 500},
	{"all choose at once", 100, 120, 2, 3, [3]float64{1, 1, 1}, 500},
	{"peak, figures 0.1 s", 120, 120, 3.4, 0, [3]float64{1, 1, 1}, 100},
	{"peak, figures 2 s", 120, 120, 3.4, 0, [3]float64{1, 1, 1}, 2000},
}

type simKind uint8

const (
	kindArrival simKind = iota
	kindCrowd
	kindAtMember
	kindDone
	kindReport
)

type simEvent struct {
	at      float64
	order   int
	kind    simKind
	proxy   int
	member  int
	read    bool
	request *simRequest
}

type simRequest struct {
	startedAt, rtt float64
	proxy, member  int
	read           bool
	shape          int
}

type simEvents []simEvent

func (events simEvents) Len() int { return len(events) }
func (events simEvents) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}
func (events simEvents) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *simEvents) Push(event any) {
	*events = append(*events, event.(simEvent))
}

func (events *simEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// simFigures is what one proxy knows of one member.
type simFigures struct {
	inFlight       int
	delayMs, delay float64
	// ratio is the moving average of a read's time over the expected one.
	ratio, ratioAt float64
	reported       int
	reportedAt     float64
}

type simProxy struct {
	costs   cost.Table
	members [3]simFigures
}

type simMember struct {
	running int
	queue   []*simRequest
	// area is the integral of the statements in the member over the current 100 ms.
	area float64
}

type simulation struct {
	load    load
	method  ebonywood.LoadBalancer
	random  *rand.Rand
	events  simEvents
	order   int
	now     float64
	proxies [simProxies]simProxy
	members [3]simMember

	unevenMs             float64
	windowEnd            float64
	spread               []float64
	readTimes, writeTime []float64
}

// simResult holds the measures of one run or the mean of several.
type simResult struct {
	unevenShare, spread, p50, p99, within, writesP99, writesWithin float64
}

func (sim *simulation) add(event simEvent) {
	sim.order++
	event.order = sim.order
	heap.Push(&sim.events, event)
}

// isPeak reports whether there is a peak, which is in the second half of every 10 s.
func (sim *simulation) isPeak() bool { return math.Mod(sim.now, 10_000) >= 5000 }

func (sim *simulation) nextArrival(read bool) {
	rate := sim.load.writes
	if read {
		rate = sim.load.reads
		if sim.isPeak() {
			rate *= sim.load.peak
		}
	}
	sim.add(simEvent{at: sim.now + sim.random.ExpFloat64()*1000/rate, kind: kindArrival, read: read})
}

// proxyOf returns a random proxy. Callers are uneven: the first half of the proxies gets two
// thirds of them.
func (sim *simulation) proxyOf() int {
	if sim.random.IntN(3) < 2 {
		return sim.random.IntN(simProxies / 2)
	}
	return simProxies/2 + sim.random.IntN(simProxies/2)
}

func (sim *simulation) run() simResult {
	sim.windowEnd = 100
	sim.nextArrival(true)
	sim.nextArrival(false)
	for proxy := range simProxies {
		for member := range 3 {
			sim.add(simEvent{at: sim.random.Float64() * sim.load.reportEvery, kind: kindReport, proxy: proxy, member: member})
		}
	}
	if sim.load.crowd > 0 {
		sim.add(simEvent{at: 200, kind: kindCrowd})
	}
	for len(sim.events) > 0 {
		event := heap.Pop(&sim.events).(simEvent)
		if event.at > simLengthMs {
			break
		}
		sim.advance(event.at)
		sim.handle(event)
	}
	return sim.result()
}

func (sim *simulation) handle(event simEvent) {
	switch event.kind {
	case kindArrival:
		sim.arrive(sim.proxyOf(), event.read)
		sim.nextArrival(event.read)
	case kindCrowd:
		if sim.isPeak() {
			for range sim.load.crowd {
				for proxy := range simProxies {
					sim.arrive(proxy, true)
				}
			}
		}
		sim.add(simEvent{at: sim.now + 200, kind: kindCrowd})
	case kindAtMember:
		member := &sim.members[event.request.member]
		if member.running < simSlots {
			sim.start(event.request)
		} else {
			member.queue = append(member.queue, event.request)
		}
	case kindDone:
		sim.done(event.request)
	case kindReport:
		figures := &sim.proxies[event.proxy].members[event.member]
		member := &sim.members[event.member]
		figures.reported, figures.reportedAt = member.running+len(member.queue), sim.now
		sim.add(simEvent{at: sim.now + sim.load.reportEvery, kind: kindReport, proxy: event.proxy, member: event.member})
	}
}

func (sim *simulation) arrive(proxy int, read bool) {
	member, shape := 0, sim.random.IntN(2)
	if read {
		member = sim.choose(proxy, shape)
	}
	rtt := farRttMs
	if proxy%simZones == member {
		rtt = nearRttMs
	}
	request := &simRequest{startedAt: sim.now, rtt: rtt, proxy: proxy, member: member, read: read, shape: shape}
	sim.proxies[proxy].members[member].inFlight++
	sim.add(simEvent{at: sim.now + rtt/2, kind: kindAtMember, request: request})
}

// expectedMs returns the time that a proxy expects for a kind of read, as the edge does.
func (proxy *simProxy) expectedMs(shape int) float64 {
	if estimate, known := proxy.costs.Estimate(uint64(shape)); known {
		return min(float64(estimate.Microseconds())/1000, 100)
	}
	return 20
}

func (sim *simulation) choose(proxy, shape int) int {
	expected := sim.proxies[proxy].expectedMs(shape)
	var candidates [3]ebonywood.LoadCandidate
	for i, figures := range sim.proxies[proxy].members {
		fixed := 0.0
		if proxy%simZones != i {
			fixed += zoneMs
		}
		if i == 0 {
			fixed += primaryMs
		}
		candidates[i] = ebonywood.NewLoadCandidate(figures.inFlight, fixed).
			WithDelay(figures.delayMs, ebonywood.Millis(sim.now-figures.delay)).
			WithTime(figures.ratio*expected, ebonywood.Millis(sim.now-figures.ratioAt)).
			WithReport(figures.reported, ebonywood.Millis(sim.now-figures.reportedAt), simSlots)
	}
	return sim.method.Choose(candidates[:], sim.random.Uint64())
}

func (sim *simulation) start(request *simRequest) {
	member := &sim.members[request.member]
	member.running++
	mean := simWriteMs
	if request.read {
		mean = simReadMs[request.shape]
	}
	service := mean * sim.load.factors[request.member] * (0.6 + 0.4*sim.random.ExpFloat64())
	sim.add(simEvent{at: sim.now + service, kind: kindDone, request: request})
}

func (sim *simulation) done(request *simRequest) {
	member := &sim.members[request.member]
	member.running--
	if len(member.queue) > 0 {
		next := member.queue[0]
		member.queue = member.queue[1:]
		sim.start(next)
	}
	elapsed := sim.now - request.startedAt + request.rtt/2
	proxy := &sim.proxies[request.proxy]
	figures := &proxy.members[request.member]
	figures.inFlight--
	if !request.read {
		sim.writeTime = append(sim.writeTime, elapsed)
		return
	}
	sim.readTimes = append(sim.readTimes, elapsed)
	expected := proxy.expectedMs(request.shape)
	proxy.costs.Record(uint64(request.shape), time.Duration(elapsed*float64(time.Millisecond)))
	figures.delayMs += 0.15 * (max(0, elapsed-expected) - figures.delayMs)
	figures.delay = sim.now
	ratio := min(elapsed/expected, maxRatio)
	if figures.ratio == 0 {
		figures.ratio = ratio
	}
	figures.ratio += 0.15 * (ratio - figures.ratio)
	figures.ratioAt = sim.now
}

// advance moves the clock and adds up the measures.
func (sim *simulation) advance(to float64) {
	for sim.now < to {
		step := min(to, sim.windowEnd) - sim.now
		if sim.isUneven() {
			sim.unevenMs += step
		}
		for i := range sim.members {
			member := &sim.members[i]
			member.area += step * float64(member.running+len(member.queue))
		}
		sim.now += step
		if sim.now >= sim.windowEnd {
			sim.closeWindow()
		}
	}
}

// isUneven reports whether reads queue at one member while another of usual speed has a free
// slot.
func (sim *simulation) isUneven() bool {
	for i := range sim.members {
		if !slices.ContainsFunc(sim.members[i].queue, func(request *simRequest) bool { return request.read }) {
			continue
		}
		for j := range sim.members {
			if j != i && sim.members[j].running < simSlots && sim.load.factors[j] <= sim.load.factors[i] {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) closeWindow() {
	sim.windowEnd += 100
	sum, most := 0.0, 0.0
	for i := range sim.members {
		sum += sim.members[i].area
		most = max(most, sim.members[i].area)
		sim.members[i].area = 0
	}
	if sum > 0 {
		sim.spread = append(sim.spread, most*3/sum)
	}
}

func quantile(values []float64, share float64) float64 {
	slices.Sort(values)
	if len(values) == 0 {
		return 0
	}
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

func withinGoal(values []float64, goal float64) float64 {
	count := 0
	for _, value := range values {
		if value <= goal {
			count++
		}
	}
	return 100 * float64(count) / float64(max(1, len(values)))
}

func (sim *simulation) result() simResult {
	// Reads that are still in a queue at the end count by their age.
	for i := range sim.members {
		for _, request := range sim.members[i].queue {
			if request.read {
				sim.readTimes = append(sim.readTimes, sim.now-request.startedAt)
			}
		}
	}
	mean := 0.0
	for _, value := range sim.spread {
		mean += value / float64(len(sim.spread))
	}
	return simResult{
		unevenShare: 100 * sim.unevenMs / simLengthMs, spread: mean,
		p50: quantile(sim.readTimes, 0.5), p99: quantile(sim.readTimes, 0.99), within: withinGoal(sim.readTimes, readGoal),
		writesP99: quantile(sim.writeTime, 0.99), writesWithin: withinGoal(sim.writeTime, writeGoal),
	}
}

// simulate returns the mean of the measures over the seeds 1 to count.
func simulate(method ebonywood.LoadBalancer, load load, count int) simResult {
	var mean simResult
	for seed := range count {
		sim := &simulation{load: load, method: method, random: rand.New(rand.NewPCG(uint64(seed+1), 7))}
		result := sim.run()
		share := 1 / float64(count)
		mean.unevenShare += result.unevenShare * share
		mean.spread += result.spread * share
		mean.p50 += result.p50 * share
		mean.p99 += result.p99 * share
		mean.within += result.within * share
		mean.writesP99 += result.writesP99 * share
		mean.writesWithin += result.writesWithin * share
	}
	return mean
}

var methods = []ebonywood.LoadBalancer{
	Least{},
	TwoChoices{},
	Aged{},
	FreeCapacity{},
	OwnSinceReport{},
	NewWeighted(1), NewWeighted(2), NewWeighted(3), NewTimes(2), NewTimes(3), NewTimes(4), NewLeastTime(3),
}

// TestComparison guards against a method for members that is worse than taking the least
// loaded member, which sends all proxies to one member at the same moment. With -v it also
// prints the table of docs/design/even-load.md.
func TestComparison(t *testing.T) {
	if testing.Verbose() {
		var table strings.Builder
		for _, load := range loads {
			for _, method := range methods {
				result := simulate(method, load, 5)
				fmt.Fprintf(&table, "| %s | %s | %.1f | %.2f | %.1f | %.0f | %.2f | %.0f | %.2f |\n", load.name, method.Name(),
					result.unevenShare, result.spread, result.p50, result.p99, result.within, result.writesP99, result.writesWithin)
			}
		}
		t.Log("\n" + table.String())
	}
	for _, load := range loads {
		before, after := simulate(Least{}, load, 2), simulate(ForMembers(), load, 2)
		require.LessOrEqual(t, after.p99, before.p99*1.1, load.name)
		require.LessOrEqual(t, after.spread, before.spread*1.05, load.name)
		require.LessOrEqual(t, after.unevenShare, before.unevenShare+1, load.name)
		require.GreaterOrEqual(t, after.within, before.within-0.1, load.name)
		require.GreaterOrEqual(t, after.writesWithin, before.writesWithin-0.1, load.name)
	}
}
