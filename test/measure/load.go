package main

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ebonywood/ebonywood/internal/cost"
	"github.com/ebonywood/ebonywood/internal/queue"
)

// The load section runs the decisions (queue, cost) on fake members in virtual
// time, with the same seeded arrivals for every policy.
const (
	loadSpan      = 12 * time.Second
	crestAt       = 4 * time.Second
	crestRamp     = 2 * time.Second
	crestFactor   = 10
	shortCost     = 5 * time.Millisecond
	longFactor    = 100
	longShare     = 0.02
	requestLimit  = 500 * time.Millisecond
	longLimit     = 10 * time.Second
	replicaCount  = 2
	entryCount    = 7
	untunedSeeds  = 10
	firstUntuned  = 5000
	browsingRoute = "browsing"
	paidRoute     = "paid"
)

// place is one deployment of the brief.
type place struct {
	name        string
	slots       int
	connections int
	connect     time.Duration
	hop         time.Duration
	zones       int
}

var places = []place{
	{"Kyushu", 3, 20, 10 * time.Millisecond, time.Millisecond, 3},
	{"Addis", 3, 35, 30 * time.Millisecond, 1500 * time.Microsecond, 4},
}

// job is one request of the run.
type job struct {
	arrival  time.Duration
	service  time.Duration
	deadline time.Duration
	route    string
	paid     bool
	long     bool
	shape    uint64
	entry    int
	number   uint64
	started  time.Duration
	ended    time.Duration
	outcome  outcome
}

type outcome uint8

const (
	outcomeOpen outcome = iota
	outcomeDone
	outcomeRefused
	outcomeTimedOut
)

// arrivals draws the requests of one run; rate is a share of the replicas' slots
// at each moment.
func arrivals(seed uint64, slots int, rate func(at time.Duration) float64, paidShare, stragglers float64) []*job {
	random := rand.New(rand.NewPCG(seed, seed))
	capacity := float64(replicaCount*slots) / shortCost.Seconds()
	var jobs []*job
	for at := time.Duration(0); at < loadSpan; {
		perSecond := rate(at) * capacity
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		each := &job{
			arrival: at, service: time.Duration(float64(shortCost) * (0.5 + random.Float64())), deadline: at + requestLimit,
			route: browsingRoute, shape: uint64(1 + random.IntN(8)), entry: random.IntN(entryCount), number: uint64(len(jobs) + 1),
		}
		if random.Float64() < paidShare {
			each.route, each.paid, each.shape = paidRoute, true, each.shape+100
		}
		if random.Float64() < stragglers {
			each.long, each.service, each.deadline = true, each.service*longFactor, at+longLimit
			each.shape = uint64(1000 + random.IntN(4))
			if random.IntN(4) == 0 {
				// One in four was never seen before.
				each.shape = uint64(1_000_000 + len(jobs))
			}
		}
		jobs = append(jobs, each)
	}
	return jobs
}

// policy decides who runs where and when.
type policy interface {
	arrive(run *run, each *job)
	finish(run *run, each *job, member int)
}

// run is one simulation.
type run struct {
	place   place
	policy  policy
	now     time.Duration
	events  events
	busy    [replicaCount]int
	crests  [replicaCount]int
	waiting [replicaCount][]*job
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	act   func()
}

type events []event

// Len counts the events.
func (list events) Len() int { return len(list) }

// Less orders by time, then by arrival.
func (list events) Less(i, j int) bool {
	if list[i].at != list[j].at {
		return list[i].at < list[j].at
	}
	return list[i].order < list[j].order
}

// Swap exchanges two events.
func (list events) Swap(i, j int) { list[i], list[j] = list[j], list[i] }

// Push adds an event.
func (list *events) Push(item any) { *list = append(*list, item.(event)) }

// Pop removes the last event.
func (list *events) Pop() (last any) {
	last, *list = (*list)[len(*list)-1], (*list)[:len(*list)-1]
	return last
}

func (run *run) after(span time.Duration, act func()) {
	heap.Push(&run.events, event{at: run.now + span, order: run.events.Len(), act: act})
}

func simulate(where place, how policy, jobs []*job) *run {
	simulation := &run{place: where, policy: how}
	for _, each := range jobs {
		heap.Push(&simulation.events, event{at: each.arrival, act: func() { how.arrive(simulation, each) }})
	}
	for simulation.events.Len() > 0 {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.act()
	}
	return simulation
}

// begin puts a job on a member, which runs as many at once as it has slots and
// queues the rest by itself, first come first served.
func (run *run) begin(each *job, member int) {
	run.crests[member] = max(run.crests[member], run.busy[member]+len(run.waiting[member])+1)
	if run.busy[member] >= run.place.slots {
		run.waiting[member] = append(run.waiting[member], each)
		return
	}
	run.busy[member]++
	each.started = run.now
	run.after(each.service, func() {
		run.busy[member]--
		each.ended = run.now
		each.outcome = outcomeDone
		if len(run.waiting[member]) > 0 {
			next := run.waiting[member][0]
			run.waiting[member] = run.waiting[member][1:]
			run.begin(next, member)
		}
		run.policy.finish(run, each, member)
	})
}

// ours is the owner with its queues.
type ours struct {
	queues [replicaCount]*queue.Queue
	costs  cost.Table
	jobs   map[uint64]*job
}

func newOurs(where place) policy {
	made := &ours{jobs: map[uint64]*job{}}
	for i := range made.queues {
		made.queues[i] = queue.New(where.slots)
	}
	return made
}

func (policy *ours) arrive(run *run, each *job) {
	hop := time.Duration(0)
	if each.entry%run.place.zones != 0 {
		hop = run.place.hop
	}
	run.after(hop, func() { policy.queueUp(run, each) })
}

func (policy *ours) queueUp(run *run, each *job) {
	member := 0
	if policy.queues[1].ExpectedWait() < policy.queues[0].ExpectedWait() {
		member = 1
	}
	expected, known := policy.costs.Estimate(each.shape)
	weight := 1
	_, accepted := policy.queues[member].Push(each.number, each.shape, each.route, weight, each.paid, expected, known, run.now, each.deadline)
	if !accepted {
		each.outcome = outcomeRefused
		return
	}
	policy.jobs[each.number] = each
	run.after(each.deadline-run.now, func() {
		if policy.queues[member].Remove(each.number) {
			each.outcome = outcomeTimedOut
		}
	})
	policy.grant(run, member)
}

func (policy *ours) grant(run *run, member int) {
	for _, ticket := range policy.queues[member].Evict(run.now) {
		policy.jobs[ticket].outcome = outcomeRefused
	}
	for {
		ticket, found := policy.queues[member].Pop()
		if !found {
			return
		}
		run.begin(policy.jobs[ticket], member)
	}
}

func (policy *ours) finish(run *run, each *job, member int) {
	took := each.ended - each.started
	policy.queues[member].Done(each.number, took)
	if policy.costs.Record(each.shape, took) {
		for _, waiting := range policy.queues {
			waiting.UpdateCost(each.shape, took)
		}
	}
	delete(policy.jobs, each.number)
	policy.grant(run, member)
}

// shares gives each entry proxy a fixed share of a member's connections and
// serves its own callers first come first served.
type shares struct {
	limit   int
	open    [entryCount][replicaCount]int
	waiting [entryCount][replicaCount][]*job
	next    int
}

func newShares(where place) policy { return &shares{limit: max(1, where.slots/entryCount)} }

func (policy *shares) arrive(run *run, each *job) {
	policy.next++
	member := policy.next % replicaCount
	policy.waiting[each.entry][member] = append(policy.waiting[each.entry][member], each)
	policy.grant(run, each.entry, member)
}

func (policy *shares) grant(run *run, entry, member int) {
	for policy.open[entry][member] < policy.limit && len(policy.waiting[entry][member]) > 0 {
		each := policy.waiting[entry][member][0]
		policy.waiting[entry][member] = policy.waiting[entry][member][1:]
		if run.now > each.deadline {
			each.outcome = outcomeTimedOut
			continue
		}
		policy.open[entry][member]++
		run.begin(each, member)
	}
}

func (policy *shares) finish(run *run, each *job, member int) {
	policy.open[each.entry][member]--
	policy.grant(run, each.entry, member)
}

// through passes everything on at once, up to the member's connections; what
// finds none is refused by the member.
type through struct {
	open [replicaCount]int
	next int
}

func newThrough(place) policy { return &through{} }

func (policy *through) arrive(run *run, each *job) {
	policy.next++
	member := policy.next % replicaCount
	if policy.open[member] >= run.place.connections {
		each.outcome = outcomeRefused
		return
	}
	policy.open[member]++
	run.begin(each, member)
}

func (policy *through) finish(_ *run, _ *job, member int) { policy.open[member]-- }

// robin is one queue at each member without order or refusal, fed in turn.
type robin struct {
	waiting [replicaCount][]*job
	busy    [replicaCount]int
	next    int
}

func newRobin(place) policy { return &robin{} }

func (policy *robin) arrive(run *run, each *job) {
	policy.next++
	member := policy.next % replicaCount
	policy.waiting[member] = append(policy.waiting[member], each)
	policy.grant(run, member)
}

func (policy *robin) grant(run *run, member int) {
	for policy.busy[member] < run.place.slots && len(policy.waiting[member]) > 0 {
		each := policy.waiting[member][0]
		policy.waiting[member] = policy.waiting[member][1:]
		if run.now > each.deadline {
			each.outcome = outcomeTimedOut
			continue
		}
		policy.busy[member]++
		run.begin(each, member)
	}
}

func (policy *robin) finish(run *run, _ *job, member int) {
	policy.busy[member]--
	policy.grant(run, member)
}

var policies = []struct {
	name string
	make func(place) policy
}{
	{"owner, queue, refusal", newOurs},
	{"static shares, FIFO", newShares},
	{"unlimited pass-through", newThrough},
	{"round robin, FIFO", newRobin},
}

// measureLoad prints both deployments.
func measureLoad(context.Context) error {
	for _, where := range places {
		printCrest(where)
		printStragglers(where)
	}
	return nil
}

// crestRate is the offered load as a share of the slots: 12% at the base, 120%
// at the crest, of which paid work is half.
func crestRate(at time.Duration) float64 {
	const base = 0.12
	switch {
	case at < crestAt:
		return base
	case at < crestAt+crestRamp:
		return base * (1 + (crestFactor-1)*float64(at-crestAt)/float64(crestRamp))
	default:
		return base * crestFactor
	}
}

func printCrest(where place) {
	fmt.Printf("%s, crest of %d times the base within %s (seeds %d to %d, not used for tuning)\n",
		where.name, crestFactor, crestRamp, firstUntuned, firstUntuned+untunedSeeds-1)
	fmt.Printf("  %-24s %9s %9s %9s %9s %9s %7s\n", "policy", "paid", "browsing", "goodput", "refused", "timed out", "crest")
	for _, each := range policies {
		var jobs []*job
		crest, work := 0, time.Duration(0)
		for seed := range uint64(untunedSeeds) {
			drawn := arrivals(firstUntuned+seed, where.slots, crestRate, 0.5, 0)
			simulation := simulate(where, each.make(where), drawn)
			crest = max(crest, simulation.crests[0], simulation.crests[1])
			jobs = append(jobs, drawn...)
		}
		atCrest := slices.DeleteFunc(slices.Clone(jobs), func(each *job) bool { return each.arrival < crestAt+crestRamp })
		for _, done := range atCrest {
			if done.inTime() && done.ended < loadSpan {
				work += done.service
			}
		}
		capacity := time.Duration(untunedSeeds*replicaCount*where.slots) * (loadSpan - crestAt - crestRamp)
		fmt.Printf("  %-24s %8.2f%% %8.2f%% %8.1f%% %9d %9d %7d\n", each.name,
			inTimeShare(atCrest, paidRoute), inTimeShare(atCrest, browsingRoute), 100*float64(work)/float64(capacity),
			countOutcome(jobs, outcomeRefused), countLate(jobs), crest)
	}
}

func (each *job) inTime() bool { return each.outcome == outcomeDone && each.ended <= each.deadline }

func inTimeShare(jobs []*job, route string) float64 {
	total, good := 0, 0
	for _, each := range jobs {
		if each.route != route {
			continue
		}
		total++
		if each.inTime() {
			good++
		}
	}
	return 100 * float64(good) / float64(total)
}

func countOutcome(jobs []*job, wanted outcome) int {
	count := 0
	for _, each := range jobs {
		if each.outcome == wanted {
			count++
		}
	}
	return count
}

func countLate(jobs []*job) int {
	count := 0
	for _, each := range jobs {
		if each.outcome == outcomeTimedOut || each.outcome == outcomeDone && each.ended > each.deadline {
			count++
		}
	}
	return count
}

// printStragglers compares the wait of short work with and without stragglers.
func printStragglers(where place) {
	rate := func(time.Duration) float64 { return 0.15 }
	fmt.Printf("%s, wait of short work with %.0f%% stragglers of %d times the cost (short work 15%% of the slots, stragglers 30%%)\n",
		where.name, 100*longShare, longFactor)
	fmt.Printf("  %-24s %10s %10s %12s %12s %9s\n", "policy", "p50 with", "p99 with", "p50 without", "p99 without", "in time")
	for _, each := range policies {
		with, jobs := waits(where, each.make, rate, longShare)
		without, _ := waits(where, each.make, rate, 0)
		fmt.Printf("  %-24s %8.1fms %8.1fms %10.1fms %10.1fms %8.2f%%\n", each.name,
			quantile(with, 0.5), quantile(with, 0.99), quantile(without, 0.5), quantile(without, 0.99), shortInTime(jobs))
	}
}

func waits(where place, make func(place) policy, rate func(time.Duration) float64, stragglers float64) (spans []time.Duration, all []*job) {
	for seed := range uint64(untunedSeeds) {
		jobs := arrivals(firstUntuned+seed, where.slots, rate, 0.5, stragglers)
		simulate(where, make(where), jobs)
		for _, each := range jobs {
			if !each.long && each.outcome == outcomeDone {
				spans = append(spans, each.started-each.arrival)
			}
		}
		all = append(all, jobs...)
	}
	slices.Sort(spans)
	return spans, all
}

func shortInTime(jobs []*job) float64 {
	total, good := 0, 0
	for _, each := range jobs {
		if each.long {
			continue
		}
		total++
		if each.inTime() {
			good++
		}
	}
	return 100 * float64(good) / float64(total)
}

func quantile(sorted []time.Duration, share float64) float64 {
	return float64(sorted[int(share*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
