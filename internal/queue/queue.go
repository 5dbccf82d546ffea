// Package queue decides which waiting statement gets a member's next slot.
//
// Statements have a priority, 0 for the most urgent. A statement starts before those of
// larger numbers. Within a priority, the workspaces, or the routes of callers without one,
// share the slots by weight: the next statement is taken from the share that used least in
// proportion to its weight. A share that had nothing waiting begins with what the others
// have reached, so that it neither saves up for a burst nor pays for an earlier one.
// Within a share short statements start before long ones, with ageing: a statement's sort
// key is its arrival plus a multiple of its expected cost, so later arrivals overtake it
// only for that long.
//
// A statement that can no longer end within its latency objective is late. It starts after
// all statements of its priority that may still be in time. When it started after those of
// the other priorities, too, browsing statements that filled the member's own queue made the
// urgent ones late and then kept them waiting: 2 of 320 in a second were in time.
//
// For a while after a statement of priority 0 with a latency objective, the others leave one of
// two or three slots free. Otherwise the next one finds all slots held by statements that take
// longer than it may wait: with two slots for each of eight processes and a load of 150%, 86% of
// the statements of priority 0 were in time in the first second without this rule and 97% with it.
// Less urgent priorities leave none to each other: the idle slot cost them more than it gained.
//
// Long statements get at most half of the slots, rounded down but at least one, so that
// short ones find a free slot soon. With all but one slot open to long statements, two
// slow statements at each of two replicas left 2 of 6 slots to the rest, whose p99 wait
// was 32 ms. Statements of a shape without an estimate may be long. They run one at a
// time, in addition to the long ones so that slow statements can't delay new shapes, and
// never take the last free slot, unless the member has only one.
//
// Statements in time never start before ones of a more urgent priority, however long they
// have waited. Letting browsing statements do so after half of their deadline lost 7% of
// the paid statements at a load of 120% of the slots. Statements that can no longer meet
// their deadline are removed before they start.
package queue

import (
	"slices"
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
	// lateFactor is the multiple of a statement's cost that must be left until the end of
	// its latency objective for the statement to count as in time. Costs vary, and with
	// just the expected cost left about half would end late.
	lateFactor = 2
	// urgentPeriod is how long after the arrival of a statement of priority 0 others leave a
	// slot free for the next, in queues of up to maxSlotsToLeave slots. With more, one becomes
	// free soon.
	urgentPeriod    = 500 * time.Millisecond
	maxSlotsToLeave = 3
	// never is later than any time.
	never time.Duration = 1<<63 - 1
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
	// shares holds what each workspace or route used since the queue was last empty.
	shares map[shareKey]*share
	// reached is, by priority, the usage at which the last statement in time started.
	reached map[int]float64
	// nextChange is the earliest time at which a waiting statement becomes late or can no
	// longer meet its deadline.
	nextChange time.Duration
	// now is the time of the last call of Add or Evict. Until leavesFreeUntil others leave a
	// slot free for statements of priority 0.
	now, leavesFreeUntil time.Duration
	// displaced holds the tickets that gave way to more urgent ones in a full queue.
	displaced []uint64
}

// shareKey identifies a party that shares the slots with others of the same priority.
type shareKey struct {
	priority    int
	party       string
	isWorkspace bool
}

// share is the use of one party. usage is the cost, in seconds by weight, of the statements
// that it started. waiting counts its statements in the queue. ahead is used within
// predictWait.
type share struct {
	usage   float64
	waiting int
	ahead   time.Duration
}

// New returns an empty queue for a member with the given number of slots.
func New(slots int) *Queue {
	return &Queue{slots: slots, running: map[uint64]*statement{}, shares: map[shareKey]*share{}, reached: map[int]float64{}}
}

// Work describes a statement that needs a slot. Its times are durations since an origin
// that the caller chooses.
type Work struct {
	shape        uint64
	priority     int
	party        string
	isWorkspace  bool
	weight       int
	cost         time.Duration
	hasEstimate  bool
	hasObjective bool
	inTimeUntil  time.Duration
	deadline     time.Duration
}

// NewWork returns work of a shape with an expected cost that must end by the deadline.
// priority is 0 for the most urgent work; within it, the routes share the slots by weight.
func NewWork(shape uint64, priority int, route string, weight int, cost, deadline time.Duration) Work {
	return Work{
		shape: shape, priority: priority, party: route, weight: max(weight, 1),
		cost: cost, hasEstimate: true, inTimeUntil: deadline, deadline: deadline,
	}
}

// WithoutEstimate returns the work as that of a shape whose cost is not known.
func (work Work) WithoutEstimate() Work {
	work.hasEstimate = false
	return work
}

// WithWorkspace returns the work as that of a workspace, which shares the slots by its weight
// in place of the route.
func (work Work) WithWorkspace(name string, weight int) Work {
	work.party, work.isWorkspace, work.weight = name, true, max(weight, 1)
	return work
}

// WithObjective returns the work with the end of its latency objective, after which it is
// late.
func (work Work) WithObjective(inTimeUntil time.Duration) Work {
	work.hasObjective, work.inTimeUntil = true, min(inTimeUntil, work.deadline)
	return work
}

// statement waits or runs. unseen is set while its shape has no estimate. late is set once
// it can't end within its latency objective.
type statement struct {
	Work
	ticket  uint64
	share   *share
	long    bool
	unseen  bool
	late    bool
	arrived time.Duration
}

// Push adds a statement of a route to the queue. Paid statements have priority 0, others
// priority 1. hasEstimate says that cost is an estimate for the shape; otherwise the usual
// cost is used. It returns the results of Add.
func (queue *Queue) Push(
	ticket, shape uint64, route string, weight int, paid bool, cost time.Duration, hasEstimate bool, now, deadline time.Duration,
) (wait time.Duration, accepted bool) {
	priority := 1
	if paid {
		priority = 0
	}
	work := NewWork(shape, priority, route, weight, cost, deadline)
	if !hasEstimate {
		work = work.WithoutEstimate()
	}
	return queue.Add(ticket, work, now)
}

// Add adds a statement to the queue. It returns the predicted wait, and false without
// adding the statement if it would miss its deadline or the queue is full of statements
// that are as urgent. If it is full of others, the least urgent one is displaced, which the
// next call of Evict returns.
func (queue *Queue) Add(ticket uint64, work Work, now time.Duration) (wait time.Duration, accepted bool) {
	if !work.hasEstimate {
		work.cost = queue.usualCost
	}
	queue.now = now
	if work.hasObjective && work.priority <= 0 {
		queue.leavesFreeUntil = now + urgentPeriod
	}
	added := &statement{
		Work: work, ticket: ticket, share: queue.shareOf(&work),
		long: queue.isLong(work.cost), unseen: !work.hasEstimate, arrived: now,
	}
	added.markLate(now)
	wait = queue.predictWait(added)
	if now+wait+work.cost > work.deadline || len(queue.waiting) >= maxWaiting && !queue.displaceFor(added) {
		return wait, false
	}
	queue.waiting = append(queue.waiting, added)
	queue.nextChange = min(queue.nextChange, added.nextChange())
	added.share.waiting++
	return wait, true
}

// shareOf returns the share that the work is charged to. One with nothing waiting begins
// with the usage that its priority has reached.
func (queue *Queue) shareOf(work *Work) *share {
	key := shareKey{priority: work.priority, party: work.party, isWorkspace: work.isWorkspace}
	found := queue.shares[key]
	if found == nil {
		found = &share{}
		queue.shares[key] = found
	}
	if found.waiting == 0 {
		found.usage = max(found.usage, queue.reached[work.priority])
	}
	return found
}

// displaceFor removes the least urgent statement if the new one comes before it.
func (queue *Queue) displaceFor(added *statement) bool {
	last := added
	for _, statement := range queue.waiting {
		if last.before(statement) {
			last = statement
		}
	}
	if last == added {
		return false
	}
	queue.Remove(last.ticket)
	queue.displaced = append(queue.displaced, last.ticket)
	return true
}

// markLate records whether the statement can still end within its latency objective if it
// starts now.
func (statement *statement) markLate(now time.Duration) {
	statement.late = statement.inTimeUntil < statement.deadline && now > statement.lateAfter()
}

// lateAfter returns the time after which the statement is late unless it has started. At
// least half of the objective may be spent waiting, since the expected cost includes the
// wait at an overloaded member.
func (statement *statement) lateAfter() time.Duration {
	return statement.inTimeUntil - min(lateFactor*statement.cost, (statement.inTimeUntil-statement.arrived)/2)
}

// nextChange returns the time after which the statement is late, or misses its deadline if
// it is late already or has no latency objective.
func (statement *statement) nextChange() time.Duration {
	missesAfter := statement.deadline - statement.cost
	if statement.late || statement.inTimeUntil >= statement.deadline {
		return missesAfter
	}
	return min(missesAfter, statement.lateAfter())
}

// isLong reports whether a cost is far above the usual one.
func (queue *Queue) isLong(cost time.Duration) bool {
	return queue.usualCost > 0 && cost > longFactor*queue.usualCost
}

// predictWait returns the expected time until the statement starts: the cost of the
// statements that run or would start before it, divided by the slots open to it. A long
// statement counts only the long ones, a short statement only the short ones. Of another
// share of the same priority it counts no more than what that share may use before it has
// used as much as the statement's own.
func (queue *Queue) predictWait(added *statement) time.Duration {
	if queue.mayStart(added) && len(queue.waiting) == 0 {
		return 0
	}
	ahead := queue.shortBacklog
	slots := queue.availableSlots()
	if added.long {
		ahead, slots = queue.longBacklog, queue.maxLongSlots()
	}
	if queue.leavesSlot(added) {
		slots = max(1, min(slots, queue.slots-1))
	}
	added.share.ahead = 0
	for _, queued := range queue.waiting {
		queued.share.ahead = 0
	}
	for _, queued := range queue.waiting {
		if queued.long == added.long && queued.share == added.share && queued.late == added.late && queued.sortKey() <= added.sortKey() {
			ahead += queued.cost
			added.share.ahead += queued.cost
		}
	}
	reaches := added.share.usage + added.share.ahead.Seconds()/float64(added.weight)
	for _, queued := range queue.waiting {
		switch {
		case queued.long != added.long:
		case queued.late != added.late || queued.priority != added.priority:
			if queued.comparePriority(added) < 0 {
				ahead += queued.cost
			}
		case queued.share != added.share && queued.share.usage+queued.share.ahead.Seconds()/float64(queued.weight) <= reaches:
			queued.share.ahead += queued.cost
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
	if queue.busySlots >= queue.slots {
		return 0, false
	}
	best := -1
	for i, statement := range queue.waiting {
		if queue.mayStart(statement) && (best < 0 || statement.before(queue.waiting[best])) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	statement := queue.waiting[best]
	queue.removeAt(best)
	queue.start(statement)
	return statement.ticket, true
}

// removeAt removes a waiting statement by its index.
func (queue *Queue) removeAt(index int) {
	queue.waiting[index].share.waiting--
	queue.waiting = slices.Delete(queue.waiting, index, index+1)
}

// mayStart reports whether a slot is open to the statement.
func (queue *Queue) mayStart(statement *statement) bool {
	if queue.busySlots >= queue.slots {
		return false
	}
	if queue.leavesSlot(statement) && queue.busySlots >= queue.slots-1 {
		return false
	}
	if statement.unseen {
		return queue.slots == 1 || queue.unseenSlots == 0 && queue.busySlots < queue.slots-1
	}
	return !statement.long || queue.longSlots < queue.maxLongSlots()
}

// leavesSlot reports whether the statement must leave a slot free for one of priority 0.
func (queue *Queue) leavesSlot(statement *statement) bool {
	return statement.hasObjective && statement.priority > 0 && queue.slots > 1 && queue.slots <= maxSlotsToLeave &&
		queue.now < queue.leavesFreeUntil
}

// before orders by priority, then statements that may be in time before late ones, then by
// the usage of their shares, then by sort key.
func (statement *statement) before(other *statement) bool {
	if order := statement.comparePriority(other); order != 0 {
		return order < 0
	}
	if statement.share != other.share && statement.share.usage != other.share.usage {
		return statement.share.usage < other.share.usage
	}
	return statement.sortKey() < other.sortKey()
}

// comparePriority is negative if the statement comes before the other one whatever their
// shares have used.
func (statement *statement) comparePriority(other *statement) int {
	switch {
	case statement.priority != other.priority:
		return statement.priority - other.priority
	case statement.late == other.late:
		return 0
	case other.late:
		return -1
	default:
		return 1
	}
}

// start takes a slot for the statement and charges its cost to its share. The usage of all
// shares is cleared when nothing waits.
func (queue *Queue) start(statement *statement) {
	queue.busySlots++
	queue.running[statement.ticket] = statement
	if statement.unseen {
		queue.unseenSlots++
	} else if statement.long {
		queue.longSlots++
	}
	*queue.backlogOf(statement) += statement.cost
	if !statement.late {
		queue.reached[statement.priority] = max(queue.reached[statement.priority], statement.share.usage)
	}
	statement.share.charge(statement.cost, statement.weight)
	if len(queue.waiting) == 0 {
		clear(queue.shares)
		clear(queue.reached)
	}
}

// charge adds a cost to the usage of the share.
func (share *share) charge(cost time.Duration, weight int) {
	share.usage += cost.Seconds() / float64(weight)
}

// UpdateCost sets the cost of a shape that had no estimate for those of its statements
// that already wait.
func (queue *Queue) UpdateCost(shape uint64, cost time.Duration) {
	for _, statement := range queue.waiting {
		if statement.unseen && statement.shape == shape {
			statement.cost, statement.unseen, statement.long = cost, false, queue.isLong(cost)
			queue.nextChange = min(queue.nextChange, statement.nextChange())
		}
	}
}

// Evict removes the statements that can no longer meet their deadline because more urgent
// ones overtook them, and returns their tickets and those that were displaced. The callers
// receive the error early enough to react, and no slot is spent on a reply that nobody
// waits for. Statements that can no longer end within their latency objective become late.
func (queue *Queue) Evict(now time.Duration) (tickets []uint64) {
	queue.now = now
	tickets, queue.displaced = queue.displaced, nil
	if now <= queue.nextChange {
		return tickets
	}
	queue.nextChange = never
	kept := queue.waiting[:0]
	for _, statement := range queue.waiting {
		if now+statement.cost > statement.deadline {
			statement.share.waiting--
			tickets = append(tickets, statement.ticket)
		} else {
			statement.markLate(now)
			queue.nextChange = min(queue.nextChange, statement.nextChange())
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
			queue.removeAt(i)
			return true
		}
	}
	return false
}

// Done frees the slot of a statement that held it for the elapsed time, charges its share
// what it took beyond or below the expected cost, and updates the usual cost.
func (queue *Queue) Done(ticket uint64, elapsed time.Duration) {
	statement, found := queue.running[ticket]
	if !found {
		return
	}
	delete(queue.running, ticket)
	queue.busySlots--
	*queue.backlogOf(statement) -= statement.cost
	statement.share.charge(elapsed-statement.cost, statement.weight)
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
