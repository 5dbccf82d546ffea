// Package queue decides which waiting statement gets a member's next slot.
//
// Paid work goes before browsing. Within each, the routes share by weight, and
// within a route short work goes before long work, with ageing: a statement's
// key is its arrival plus a multiple of its expected cost, so it waits behind
// later arrivals only up to that span. Long work, and work of a shape that was
// never seen, may not take the last free slot, so that short work finds one. The
// rule is work-conserving but for that slot.
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
	// paidFactor bounds how long browsing yields to paid work: it is treated as
	// paid once it has waited for this share of its deadline.
	paidFactor = 0.5
	// Limit bounds the statements that wait at one member.
	Limit = 4096
)

// Queue holds what waits for the slots of one member. It is pure and not safe
// for concurrent use.
type Queue struct {
	slots   int
	busy    int
	long    int
	usual   time.Duration
	waiting []*item
	running map[uint64]*item
	backlog time.Duration
	used    map[string]float64
}

// New makes a queue for so many slots.
func New(slots int) *Queue {
	return &Queue{slots: slots, running: map[uint64]*item{}, used: map[string]float64{}}
}

// item is one statement that waits or runs.
type item struct {
	ticket   uint64
	route    string
	weight   int
	paid     bool
	cost     time.Duration
	long     bool
	arrived  time.Duration
	deadline time.Duration
}

// Push lets a statement wait. Times are spans since an origin of the caller's
// choice. known says that the cost was learned. It reports false, with the
// predicted wait, when the statement can't start before its deadline.
func (queue *Queue) Push(
	ticket uint64, route string, weight int, paid bool, cost time.Duration, known bool, now, deadline time.Duration,
) (wait time.Duration, accepted bool) {
	if !known {
		cost = queue.usual
	}
	each := &item{
		ticket: ticket, route: route, weight: max(weight, 1), paid: paid, cost: cost,
		long: !known || queue.isLong(cost), arrived: now, deadline: deadline,
	}
	wait = queue.predict(each)
	if len(queue.waiting) >= Limit || now+wait > deadline {
		return wait, false
	}
	queue.waiting = append(queue.waiting, each)
	return wait, true
}

func (queue *Queue) isLong(cost time.Duration) bool {
	return queue.usual > 0 && cost > longFactor*queue.usual
}

// predict sums the expected cost of what would go first.
func (queue *Queue) predict(each *item) time.Duration {
	if queue.busy < queue.slots && len(queue.waiting) == 0 {
		return 0
	}
	ahead := time.Duration(0)
	for _, other := range queue.waiting {
		if other.paid && !each.paid || other.paid == each.paid && other.key() <= each.key() {
			ahead += other.cost
		}
	}
	return (ahead + queue.backlog) / time.Duration(queue.slots)
}

func (each *item) key() time.Duration { return each.arrived + costFactor*each.cost }

// Pop takes the statement that may start now.
func (queue *Queue) Pop(now time.Duration) (ticket uint64, found bool) {
	best := -1
	for i, each := range queue.waiting {
		if queue.mayStart(each) && (best < 0 || queue.before(each, queue.waiting[best], now)) {
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
	return !each.long || queue.slots == 1 || queue.long < queue.slots-1
}

func (queue *Queue) before(left, right *item, now time.Duration) bool {
	if left.isUrgent(now) != right.isUrgent(now) {
		return left.isUrgent(now)
	}
	if left.route != right.route {
		leftUsed, rightUsed := queue.used[left.route]/float64(left.weight), queue.used[right.route]/float64(right.weight)
		if leftUsed != rightUsed {
			return leftUsed < rightUsed
		}
	}
	return left.key() < right.key()
}

func (each *item) isUrgent(now time.Duration) bool {
	span := each.deadline - each.arrived
	return each.paid || now-each.arrived > time.Duration(paidFactor*float64(span))
}

func (queue *Queue) start(each *item) {
	queue.busy++
	queue.running[each.ticket] = each
	if each.long {
		queue.long++
	}
	queue.backlog += each.cost
	queue.used[each.route] += each.cost.Seconds()
	if len(queue.waiting) == 0 {
		clear(queue.used)
	}
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
	queue.backlog -= each.cost
	if each.long {
		queue.long--
	}
	if queue.usual == 0 {
		queue.usual = took
	}
	queue.usual += time.Duration(usualStep * float64(took-queue.usual))
}

// Load is the expected time to start of a statement that comes now.
func (queue *Queue) Load() time.Duration {
	total := queue.backlog
	for _, each := range queue.waiting {
		total += each.cost
	}
	return total / time.Duration(queue.slots)
}
