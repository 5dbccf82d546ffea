// Package queue decides which waiting statement gets a member's next slot.
//
// Statements of paid routes start before those of other routes, called browsing. Within
// each class the routes share the slots by weight. Within a route short statements
// start before long ones, with ageing: a statement's sort key is its arrival plus a
// multiple of its expected cost, so later arrivals overtake it only for that long.
//
// Long statements get at most half of the slots, rounded down but at least one, so that
// short ones find a free slot soon. With all but one slot open to long statements, two
// slow statements at each of two replicas left 2 of 6 slots to the rest, whose p99 wait
// was 32 ms. Statements of a shape without an estimate may be long. They run one at a
// time, in addition to the long ones so that slow statements can't delay new shapes, and
// never take the last free slot, unless the member has only one.
//
// Browsing statements never start before paid ones, however long they have waited.
// Letting them do so after half of their deadline lost 7% of the paid statements at a
// load of 120% of the slots. Statements that can no longer meet their deadline are
// removed before they start.
package queue

import (
	"time"
)

const (
	// ageingFactor is the multiple of a statement's cost for which later arrivals may
	// overtake it.
	ageingFactor = 8
	// longFactor is the multiple of the usual cost above which a statement is long.
	longFactor = 10
	// usualCostWeight is the weight of a new statement in the moving average of the
	// cost.
	usualCostWeight = 0.02
	// maxWaiting bounds the statements that wait for one member.
	maxWaiting = 4096
)

// Queue holds the statements that wait for the slots of one member, and those that hold
// one. It does no I/O and is not safe for concurrent use.
type Queue struct {
	// slots is the number of slots, busySlots how many are held. longSlots and
	// unseenSlots are how many of these are held by long statements and by statements
	// of shapes without an estimate.
	slots       int
	busySlots   int
	longSlots   int
	unseenSlots int
	// usualCost is a moving average of the time that statements held their slots.
	usualCost time.Duration
	waiting   []*statement
	running   map[uint64]*statement
	// shortBacklog and longBacklog are the sums of the expected costs of the running
	// statements, by whether they are long.
	shortBacklog time.Duration
	longBacklog  time.Duration
	// routeUsage is the expected cost, in seconds, of the statements that each route has
	// started since the queue was last empty.
	routeUsage map[string]float64
}

// New returns an empty queue for a member with the given number of slots.
func New(slots int) *Queue {
	return &Queue{slots: slots, running: map[uint64]*statement{}, routeUsage: map[string]float64{}}
}

// statement waits or runs. Its times are durations since the origin that the caller of
// Push chose. unseen is set while its shape has no estimate.
type statement struct {
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

// Push adds a statement to the queue. now and deadline are durations since an origin that
// the caller chooses. hasEstimate says that cost is an estimate for the shape; otherwise
// the usual cost is used. Push returns the predicted wait, and false without adding the
// statement if the queue is full or the statement would miss its deadline.
func (queue *Queue) Push(
	ticket, shape uint64, route string, weight int, paid bool, cost time.Duration, hasEstimate bool, now, deadline time.Duration,
) (wait time.Duration, accepted bool) {
	if !hasEstimate {
		cost = queue.usualCost
	}
	statement := &statement{
		ticket: ticket, shape: shape, route: route, weight: max(weight, 1), paid: paid, cost: cost,
		long: queue.isLong(cost), unseen: !hasEstimate, arrived: now, deadline: deadline,
	}
	wait = queue.predictWait(statement)
	if len(queue.waiting) >= maxWaiting || now+wait+cost > deadline {
		return wait, false
	}
	queue.waiting = append(queue.waiting, statement)
	return wait, true
}

// isLong reports whether a cost is far above the usual one.
func (queue *Queue) isLong(cost time.Duration) bool {
	return queue.usualCost > 0 && cost > longFactor*queue.usualCost
}

// predictWait returns the expected time until the statement starts: the cost of the
// statements that run or would start before it, divided by the slots open to it. A long
// statement counts only the long ones, a short statement only the short ones.
func (queue *Queue) predictWait(statement *statement) time.Duration {
	if queue.mayStart(statement) && len(queue.waiting) == 0 {
		return 0
	}
	ahead := queue.shortBacklog
	slots := queue.availableSlots()
	if statement.long {
		ahead, slots = queue.longBacklog, queue.maxLongSlots()
	}
	for _, queued := range queue.waiting {
		first := queued.paid && !statement.paid || queued.paid == statement.paid && queued.sortKey() <= statement.sortKey()
		if first && queued.long == statement.long {
			ahead += queued.cost
		}
	}
	return ahead / time.Duration(slots)
}

// availableSlots returns how many slots are not held by statements that may be long, at
// least 1.
func (queue *Queue) availableSlots() int {
	return max(1, queue.slots-queue.longSlots-queue.unseenSlots)
}

// maxLongSlots returns how many slots long statements may hold, at least 1.
func (queue *Queue) maxLongSlots() int { return max(1, queue.slots/2) }

func (statement *statement) sortKey() time.Duration {
	return statement.arrived + ageingFactor*statement.cost
}

// Pop starts the statement that comes first among those that may start now, and returns
// its ticket.
func (queue *Queue) Pop() (ticket uint64, found bool) {
	best := -1
	for i, statement := range queue.waiting {
		if queue.mayStart(statement) && (best < 0 || queue.before(statement, queue.waiting[best])) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	statement := queue.waiting[best]
	queue.waiting = append(queue.waiting[:best], queue.waiting[best+1:]...)
	queue.start(statement)
	return statement.ticket, true
}

// mayStart reports whether a slot is open to the statement.
func (queue *Queue) mayStart(statement *statement) bool {
	if queue.busySlots >= queue.slots {
		return false
	}
	if statement.unseen {
		return queue.slots == 1 || queue.unseenSlots == 0 && queue.busySlots < queue.slots-1
	}
	return !statement.long || queue.longSlots < queue.maxLongSlots()
}

// before orders paid statements before browsing ones, then by the usage of the routes
// relative to their weights, then by sort key.
func (queue *Queue) before(left, right *statement) bool {
	if left.paid != right.paid {
		return left.paid
	}
	if left.route != right.route {
		leftUsed, rightUsed := queue.routeUsage[left.route]/float64(left.weight), queue.routeUsage[right.route]/float64(right.weight)
		if leftUsed != rightUsed {
			return leftUsed < rightUsed
		}
	}
	return left.sortKey() < right.sortKey()
}

// start takes a slot for the statement and adds its cost to the usage of its route. The
// usage of all routes is cleared when nothing waits.
func (queue *Queue) start(statement *statement) {
	queue.busySlots++
	queue.running[statement.ticket] = statement
	if statement.unseen {
		queue.unseenSlots++
	} else if statement.long {
		queue.longSlots++
	}
	*queue.backlogOf(statement) += statement.cost
	queue.routeUsage[statement.route] += statement.cost.Seconds()
	if len(queue.waiting) == 0 {
		clear(queue.routeUsage)
	}
}

// UpdateCost sets the cost of a shape that had no estimate for those of its statements
// that already wait.
func (queue *Queue) UpdateCost(shape uint64, cost time.Duration) {
	for _, statement := range queue.waiting {
		if statement.unseen && statement.shape == shape {
			statement.cost, statement.unseen, statement.long = cost, false, queue.isLong(cost)
		}
	}
}

// Evict removes the statements that can no longer meet their deadline because more urgent
// ones overtook them, and returns their tickets. The callers receive the error early
// enough to react, and no slot is spent on a reply that nobody waits for.
func (queue *Queue) Evict(now time.Duration) (tickets []uint64) {
	kept := queue.waiting[:0]
	for _, statement := range queue.waiting {
		if now+statement.cost > statement.deadline {
			tickets = append(tickets, statement.ticket)
		} else {
			kept = append(kept, statement)
		}
	}
	clear(queue.waiting[len(kept):])
	queue.waiting = kept
	return tickets
}

// Remove removes a statement that has not started, and reports whether it was waiting.
func (queue *Queue) Remove(ticket uint64) bool {
	for i, statement := range queue.waiting {
		if statement.ticket == ticket {
			queue.waiting = append(queue.waiting[:i], queue.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Done frees the slot of a statement that held it for the elapsed time, and updates the
// usual cost.
func (queue *Queue) Done(ticket uint64, elapsed time.Duration) {
	statement, found := queue.running[ticket]
	if !found {
		return
	}
	delete(queue.running, ticket)
	queue.busySlots--
	*queue.backlogOf(statement) -= statement.cost
	if statement.unseen {
		queue.unseenSlots--
	} else if statement.long {
		queue.longSlots--
	}
	if queue.usualCost == 0 {
		queue.usualCost = elapsed
	}
	queue.usualCost += time.Duration(usualCostWeight * float64(elapsed-queue.usualCost))
}

// backlogOf returns the backlog that includes the statement's cost.
func (queue *Queue) backlogOf(statement *statement) *time.Duration {
	if statement.long {
		return &queue.longBacklog
	}
	return &queue.shortBacklog
}

// ExpectedWait returns the expected wait of a short statement that arrives now. Slots
// held by statements that may be long don't count, since they are not freed soon.
func (queue *Queue) ExpectedWait() time.Duration {
	total := queue.shortBacklog
	for _, statement := range queue.waiting {
		if !statement.long {
			total += statement.cost
		}
	}
	return total / time.Duration(queue.availableSlots())
}

// Resize changes the number of slots. Running statements beyond the new number are not
// interrupted.
func (queue *Queue) Resize(slots int) { queue.slots = slots }
