// Package queue decides which waiting statement gets a member's next slot.
//
// Paid work goes before browsing. Within each, the routes share by weight, and
// within a route short work goes before long work, with ageing: a statement's
// key is its arrival plus a multiple of its expected cost, so it waits behind
// later arrivals only up to that span. Long work gets half of the slots at most,
// rounded down, so that short work finds one soon: with all but one slot open to
// long work, two stragglers at each of two replicas left 2 of 6 slots to the
// rest, whose p99 wait was 32 ms. Work of a shape that was never seen may be
// long: it runs one at a time, beside the known long work so that a straggler
// can't keep new shapes waiting, and it never takes the last free slot.
//
// Browsing never goes before paid work, however long it has waited. Letting it
// pass after half of its deadline cost 7% of the paid work at a crest of 120% of
// the slots. What can't end in time any more is taken out early.
package queue

import (
	"time"
)

const (
	// costFactor is how many times its cost a statement yields to later arrivals.
	costFactor = 8
	// longFactor is how many times the usual cost makes a statement long.
	longFactor = 10
	// usualStep is the weight of a new statement in the running usual cost.
	usualStep = 0.02
	// Limit bounds the statements that wait at one member.
	Limit = 4096
)

// Queue holds what waits for the slots of one member. It is pure and not safe
// for concurrent use.
type Queue struct {
	slots   int
	busy    int
	long    int
	unseen  int
	usual   time.Duration
	waiting []*item
	running map[uint64]*item
	// backlog is the expected cost of what runs, apart for long work.
	backlog     time.Duration
	longBacklog time.Duration
	used        map[string]float64
}

// New makes a queue for so many slots.
func New(slots int) *Queue {
	return &Queue{slots: slots, running: map[uint64]*item{}, used: map[string]float64{}}
}

// item is one statement that waits or runs.
type item struct {
	ticket   uint64
	shape    uint64
	route    string
	weight   int
	paid     bool
	cost     time.Duration
	long     bool
	unseen   bool
	arrived  time.Duration
	deadline time.Duration
}

// Push lets a statement wait. Times are spans since an origin of the caller's
// choice. known says that the cost was learned. It reports false, with the
// predicted wait, when the statement can't end before its deadline.
func (queue *Queue) Push(
	ticket, shape uint64, route string, weight int, paid bool, cost time.Duration, known bool, now, deadline time.Duration,
) (wait time.Duration, accepted bool) {
	if !known {
		cost = queue.usual
	}
	each := &item{
		ticket: ticket, shape: shape, route: route, weight: max(weight, 1), paid: paid, cost: cost,
		long: queue.isLong(cost), unseen: !known, arrived: now, deadline: deadline,
	}
	wait = queue.predict(each)
	if len(queue.waiting) >= Limit || now+wait+cost > deadline {
		return wait, false
	}
	queue.waiting = append(queue.waiting, each)
	return wait, true
}

func (queue *Queue) isLong(cost time.Duration) bool {
	return queue.usual > 0 && cost > longFactor*queue.usual
}

// predict sums the expected cost of what would go first, over the slots that the
// statement can get.
func (queue *Queue) predict(each *item) time.Duration {
	if queue.mayStart(each) && len(queue.waiting) == 0 {
		return 0
	}
	ahead := queue.backlog
	slots := queue.available()
	if each.long {
		ahead, slots = queue.longBacklog, queue.longLimit()
	}
	for _, other := range queue.waiting {
		first := other.paid && !each.paid || other.paid == each.paid && other.key() <= each.key()
		if first && other.long == each.long {
			ahead += other.cost
		}
	}
	return ahead / time.Duration(slots)
}

// available is how many slots are not held by work that may be long.
func (queue *Queue) available() int { return max(1, queue.slots-queue.long-queue.unseen) }

func (queue *Queue) longLimit() int { return max(1, queue.slots/2) }

func (each *item) key() time.Duration { return each.arrived + costFactor*each.cost }

// Pop takes the statement that may start now.
func (queue *Queue) Pop() (ticket uint64, found bool) {
	best := -1
	for i, each := range queue.waiting {
		if queue.mayStart(each) && (best < 0 || queue.before(each, queue.waiting[best])) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	each := queue.waiting[best]
	queue.waiting = append(queue.waiting[:best], queue.waiting[best+1:]...)
	queue.start(each)
	return each.ticket, true
}

func (queue *Queue) mayStart(each *item) bool {
	if queue.busy >= queue.slots {
		return false
	}
	if each.unseen {
		return queue.slots == 1 || queue.unseen == 0 && queue.busy < queue.slots-1
	}
	return !each.long || queue.long < queue.longLimit()
}

func (queue *Queue) before(left, right *item) bool {
	if left.paid != right.paid {
		return left.paid
	}
	if left.route != right.route {
		leftUsed, rightUsed := queue.used[left.route]/float64(left.weight), queue.used[right.route]/float64(right.weight)
		if leftUsed != rightUsed {
			return leftUsed < rightUsed
		}
	}
	return left.key() < right.key()
}

func (queue *Queue) start(each *item) {
	queue.busy++
	queue.running[each.ticket] = each
	if each.unseen {
		queue.unseen++
	} else if each.long {
		queue.long++
	}
	*queue.share(each) += each.cost
	queue.used[each.route] += each.cost.Seconds()
	if len(queue.waiting) == 0 {
		clear(queue.used)
	}
}

// Learned tells the cost of a shape that had not been seen before to those of its
// statements that wait already.
func (queue *Queue) Learned(shape uint64, cost time.Duration) {
	for _, each := range queue.waiting {
		if each.unseen && each.shape == shape {
			each.cost, each.unseen, each.long = cost, false, queue.isLong(cost)
		}
	}
}

// Evict takes out what can't end before its deadline any more, because more
// urgent work came in between. Told early, its callers can still do something
// else, and no slot is spent on an answer that nobody waits for.
func (queue *Queue) Evict(now time.Duration) (tickets []uint64) {
	kept := queue.waiting[:0]
	for _, each := range queue.waiting {
		if now+each.cost > each.deadline {
			tickets = append(tickets, each.ticket)
		} else {
			kept = append(kept, each)
		}
	}
	clear(queue.waiting[len(kept):])
	queue.waiting = kept
	return tickets
}

// Remove takes back a statement that still waits, and reports whether it did.
func (queue *Queue) Remove(ticket uint64) bool {
	for i, each := range queue.waiting {
		if each.ticket == ticket {
			queue.waiting = append(queue.waiting[:i], queue.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Done frees the slot of a statement that held it for took.
func (queue *Queue) Done(ticket uint64, took time.Duration) {
	each, found := queue.running[ticket]
	if !found {
		return
	}
	delete(queue.running, ticket)
	queue.busy--
	*queue.share(each) -= each.cost
	if each.unseen {
		queue.unseen--
	} else if each.long {
		queue.long--
	}
	if queue.usual == 0 {
		queue.usual = took
	}
	queue.usual += time.Duration(usualStep * float64(took-queue.usual))
}

// share is the backlog that the statement counts to.
func (queue *Queue) share(each *item) *time.Duration {
	if each.long {
		return &queue.longBacklog
	}
	return &queue.backlog
}

// Load is the expected time to start of a short statement that comes now. Slots
// that long work holds don't count, since it will not give them back soon.
func (queue *Queue) Load() time.Duration {
	total := queue.backlog
	for _, each := range queue.waiting {
		if !each.long {
			total += each.cost
		}
	}
	return total / time.Duration(queue.available())
}

// Resize changes the number of slots. Work that runs beyond it ends by itself.
func (queue *Queue) Resize(slots int) { queue.slots = slots }
