package promoter

// A monitor holds what the members of one instance replied: their status, the proofs of
// freshness, and which member is primary.

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonywood/ebonywood"
)

// phase is the step of a change of primary that a monitor has reached.
type phase uint8

const (
	// phaseSteady runs no change.
	phaseSteady phase = iota
	// phaseFencing waits for a majority to obey the new term.
	phaseFencing
	// phasePromoting waits for the candidate's reply.
	phasePromoting
	// phaseHolding waits until this process has no open write. It is the first phase
	// of a switchover, a planned change of primary.
	phaseHolding
	// phaseClosing waits until the leaving primary obeys the new term.
	phaseClosing
	// phaseDraining waits until the candidate has the leaving primary's log.
	phaseDraining
)

const (
	// rankDelay is how long each proxy waits after the one before it in rendezvous
	// order, so that two seldom start a change at the same time.
	rankDelay ebonywood.Millis = 150
	// connectedPrimaryDelay postpones the failover of a primary that this proxy can't
	// reach while a replica still receives from it.
	connectedPrimaryDelay ebonywood.Millis = 3000
	// phaseTimeout bounds one phase of a change of primary.
	phaseTimeout ebonywood.Millis = 600
	// fenceGrace is how long to wait for the log positions of further members after a
	// majority is fenced.
	fenceGrace ebonywood.Millis = 20
	// holdTimeout bounds how long a switchover waits for open writes to end.
	holdTimeout ebonywood.Millis = 40
	// switchoverRetryDelay is the pause after a switchover that timed out while it
	// waited for open writes. Times the rank, it is how long a standby leaves a due
	// switchover to the proxies before it.
	switchoverRetryDelay ebonywood.Millis = 1000
	// minRoundInterval is the minimum interval between two rounds, however many are
	// requested.
	minRoundInterval ebonywood.Millis = 1
	// standbyIntervalFactor multiplies the interval between the rounds of a standby.
	standbyIntervalFactor = 10
	// maxBackoffJitter bounds the random part of the pause after an aborted change.
	maxBackoffJitter ebonywood.Millis = 250
)

// memberState holds a member and the results of the calls to it. Times are on the
// clock of this process.
type memberState struct {
	member  ebonywood.Member
	leaving bool
	// status was requested at requestedAt and received at statusAt. repliedAt is when
	// the last reply was received, which may be a refusal or a status older than the
	// stored one.
	status      ebonywood.Status
	requestedAt ebonywood.Millis
	statusAt    ebonywood.Millis
	repliedAt   ebonywood.Millis
	hasStatus   bool
	// failedAt is when a connection opened for a call last failed; failed says that
	// this came after the last reply.
	failedAt ebonywood.Millis
	failed   bool
}

// isOutdatedBy reports whether a reply is newer than the stored status. Of two queries
// in flight at the same time, the member may have processed the one sent first last.
// Positions only grow within a term that the member obeys, so the reply with the
// greater position is the newer one. If the smaller one replaced it, the replica would
// seem to have lost records that a read was sent there for.
func (entry *memberState) isOutdatedBy(event ebonywood.MemberReply) bool {
	if !entry.hasStatus || event.SentAt() > entry.statusAt {
		return true
	}
	status := event.Status()
	if status.FencedTerm() != entry.status.FencedTerm() {
		return status.FencedTerm() > entry.status.FencedTerm()
	}
	return !status.Applied().Less(entry.status.Applied())
}

// monitor detects the failure of one instance's primary and runs the changes of
// primary as a state machine. The methods that return actions are its transitions.
type monitor struct {
	id       ebonywood.InstanceID
	settings ebonywood.Settings
	random   *rand.Rand
	members  []*memberState
	rank     int

	round       round
	roundCount  uint64
	nextRoundAt ebonywood.Millis
	proofs      []ebonywood.Proof

	// term is the highest term in which a member replied as primary, and primary is
	// that member; empty once it obeys a later term.
	term    ebonywood.Term
	primary ebonywood.MemberID
	// primarySince is when the primary of this term first replied as such. Its replicas
	// need some time after that before they receive from it.
	primarySince ebonywood.Millis

	// phaseEnd is phaseTimeout after the start of the present phase. The change is aborted
	// then at the latest.
	// phaseTerm is the term of the present or last change. fenced has the replies of
	// the members that obey it, and fencedAt is when they became a majority. The change
	// makes candidate the primary in place of replaced. finalLogEnd is the end of the
	// log of replaced in a switchover.
	phase       phase
	phaseTerm   ebonywood.Term
	phaseEnd    ebonywood.Millis
	fenced      map[ebonywood.MemberID]ebonywood.Status
	fencedAt    ebonywood.Millis
	candidate   ebonywood.MemberID
	replaced    ebonywood.MemberID
	finalLogEnd ebonywood.Position
	// suspectedAt is when suspected became true. No change starts before notBefore.
	suspected   bool
	suspectedAt ebonywood.Millis
	notBefore   ebonywood.Millis

	cachedView *ebonywood.InstanceView
}

func newMonitor(id ebonywood.InstanceID, settings ebonywood.Settings, now ebonywood.Millis) *monitor {
	seed := xxhash.Sum64String(settings.Name() + string(id))
	return &monitor{
		id: id, settings: settings, random: rand.New(rand.NewPCG(seed, seed)), nextRoundAt: now,
	}
}

// setMembers replaces the members. It keeps the state of those whose address did not
// change, and counts the silence of new ones from now.
func (monitor *monitor) setMembers(members []ebonywood.Member, now ebonywood.Millis) {
	var kept []*memberState
	for _, member := range members {
		entry := monitor.member(member.ID())
		if entry == nil || entry.member.Address() != member.Address() {
			entry = &memberState{repliedAt: now}
		}
		entry.member = member
		kept = append(kept, entry)
	}
	monitor.members = kept
	monitor.cachedView = nil
}

// setLeaving marks the members that are leaving by the object set, or whose host is
// leaving by its address.
func (monitor *monitor) setLeaving(addresses map[string]bool) {
	for _, entry := range monitor.members {
		entry.leaving = entry.member.IsLeaving() || addresses[entry.member.Address()]
	}
	monitor.cachedView = nil
}

// setRank sets this proxy's index among the owners. After a move towards the front a
// round starts with the next tick.
func (monitor *monitor) setRank(rank int, now ebonywood.Millis) {
	if rank < monitor.rank {
		monitor.nextRoundAt = now
	}
	monitor.rank = rank
}

func (monitor *monitor) member(id ebonywood.MemberID) *memberState {
	for _, entry := range monitor.members {
		if entry.member.ID() == id {
			return entry
		}
	}
	return nil
}

// discountPause leaves the duration for which this process was paused out of every
// member's silence, and clears the suspicion.
func (monitor *monitor) discountPause(now, gap ebonywood.Millis) {
	monitor.discountLateness(now, gap)
	monitor.suspected = false
}

// discountLateness leaves a time out of every member's silence and out of the duration
// of the suspicion.
func (monitor *monitor) discountLateness(now, lateness ebonywood.Millis) {
	for _, entry := range monitor.members {
		entry.repliedAt = min(now, entry.repliedAt+lateness)
		entry.statusAt = min(now, entry.statusAt+lateness)
	}
	monitor.suspectedAt = min(now, monitor.suspectedAt+lateness)
}

// requestRound starts a round now, or after minRoundInterval if one started recently.
func (monitor *monitor) requestRound(now ebonywood.Millis) []ebonywood.Action {
	if earliest := monitor.round.startedAt + minRoundInterval; now < earliest {
		monitor.nextRoundAt = min(monitor.nextRoundAt, earliest)
		return nil
	}
	return monitor.startRound(now)
}

// tick starts a round if one is due, then advances the change in progress or decides
// whether to start one.
func (monitor *monitor) tick(now ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	if now >= monitor.nextRoundAt {
		actions = append(actions, monitor.startRound(now)...)
	}
	if monitor.phase != phaseSteady {
		return append(actions, monitor.advance(now)...)
	}
	if now < monitor.notBefore {
		return actions
	}
	if monitor.suspects(now) {
		return append(actions, monitor.maybeStartFailover(now)...)
	}
	monitor.suspected = false
	return append(actions, monitor.maybeStartSwitchover(now)...)
}

// startRound queries the status of all members.
func (monitor *monitor) startRound(now ebonywood.Millis) []ebonywood.Action {
	monitor.roundCount++
	monitor.nextRoundAt = now + monitor.roundInterval()
	monitor.round = newRound(monitor.roundCount, now, len(monitor.members))
	return monitor.memberOrders(ebonywood.OrderStatus, 0)
}

// roundInterval returns the interval between two rounds. Standbys use a longer one
// while the primary is known and not suspected, since they would otherwise cause most
// of a proxy's control traffic.
func (monitor *monitor) roundInterval() ebonywood.Millis {
	if monitor.rank == 0 || monitor.suspected || monitor.primary == "" {
		return monitor.settings.StatusPeriod()
	}
	return monitor.settings.StatusPeriod() * standbyIntervalFactor
}

// silenceTimeout returns how long a member may take to reply before it counts as
// silent. It is longer where rounds are rarer.
func (monitor *monitor) silenceTimeout() ebonywood.Millis {
	return monitor.settings.PrimarySilenceTimeout() + monitor.roundInterval() - monitor.settings.StatusPeriod()
}

// memberOrders returns an order for each member.
func (monitor *monitor) memberOrders(order ebonywood.Order, term ebonywood.Term) []ebonywood.Action {
	actions := make([]ebonywood.Action, 0, len(monitor.members))
	for _, entry := range monitor.members {
		actions = append(actions, monitor.memberOrder(entry.member.ID(), order, term))
	}
	return actions
}

// memberOrder returns an order for a member, numbered by the current round.
func (monitor *monitor) memberOrder(id ebonywood.MemberID, order ebonywood.Order, term ebonywood.Term) ebonywood.Action {
	return ebonywood.NewMemberOrder(monitor.id, id, order, term, monitor.roundCount)
}

// handleReply updates the member's state and the primary from a reply, then continues
// the round or the change that it belongs to.
func (monitor *monitor) handleReply(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	entry := monitor.member(event.Order().Member())
	if entry == nil {
		return nil
	}
	if event.Fault() != nil && event.Fault().Kind() != ebonywood.KindConflict {
		if event.IsNewConnection() {
			entry.failedAt, entry.failed = now, true
		}
		return nil
	}
	entry.repliedAt, entry.failed = now, false
	if event.Fault() != nil {
		return monitor.handleRefusal(now, event)
	}
	if entry.isOutdatedBy(event) {
		entry.status, entry.requestedAt, entry.statusAt, entry.hasStatus = event.Status(), event.SentAt(), now, true
	}
	monitor.updatePrimary(now, event.Order().Member(), event.Status())
	monitor.cachedView = nil
	switch event.Order().Order() {
	case ebonywood.OrderFence:
		return monitor.handleFenced(now, event)
	case ebonywood.OrderPromote:
		monitor.handlePromoted(now, event)
		return nil
	default:
		monitor.addToRound(event)
		return monitor.advanceDrain(now, event)
	}
}

// updatePrimary stores a primary whose term is not older than the stored one, and
// clears a primary that now obeys a later term.
func (monitor *monitor) updatePrimary(now ebonywood.Millis, id ebonywood.MemberID, status ebonywood.Status) {
	if status.Role() == ebonywood.RolePrimary && status.FencedTerm() >= monitor.term {
		if monitor.term != status.FencedTerm() || monitor.primary != id {
			monitor.primarySince = now
		}
		monitor.term, monitor.primary = status.FencedTerm(), id
		return
	}
	if id == monitor.primary && status.FencedTerm() > monitor.term {
		monitor.primary = ""
	}
}

// addToRound adds a reply to the current round and stores the proof if the reply
// completes one.
func (monitor *monitor) addToRound(event ebonywood.MemberReply) {
	if event.Order().Round() != monitor.round.number {
		return
	}
	proof, proved := monitor.round.add(event.Order().Member(), event.Status())
	if proved {
		monitor.proofs = appendProof(monitor.proofs, proof)
	}
}

// highestTerm returns the highest term that any member has reported or that this
// monitor has used.
func (monitor *monitor) highestTerm() ebonywood.Term {
	highest := monitor.term
	for _, entry := range monitor.members {
		if entry.hasStatus {
			highest = max(highest, entry.status.FencedTerm())
		}
	}
	return max(highest, monitor.phaseTerm)
}

// currentView returns the instance's view for the snapshot. It is cached until the
// state changes.
func (monitor *monitor) currentView() *ebonywood.InstanceView {
	if monitor.cachedView != nil {
		return monitor.cachedView
	}
	members := make([]ebonywood.MemberView, 0, len(monitor.members))
	for _, entry := range monitor.members {
		member := entry.member
		if entry.leaving {
			member = member.WithLeaving()
		}
		readable := entry.hasStatus && entry.status.Role() != ebonywood.RoleFormerPrimary
		members = append(members, ebonywood.NewMemberView(member, entry.status.Applied(), entry.requestedAt, entry.repliedAt, readable))
	}
	held := monitor.phase == phaseHolding || monitor.phase == phaseClosing || monitor.phase == phaseDraining
	monitor.cachedView = ebonywood.NewInstanceView(monitor.id, monitor.term, monitor.primary, held, members, monitor.proofs)
	return monitor.cachedView
}
