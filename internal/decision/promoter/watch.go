package promoter

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonywood/ebonywood"
)

// phase is what a watch is doing about its instance's primary.
type phase uint8

const (
	// phaseSteady watches.
	phaseSteady phase = iota
	// phaseFencing waits for a majority to obey the new term.
	phaseFencing
	// phasePromoting waits for the chosen member's answer.
	phasePromoting
	// phaseHolding waits until no write of this process is open.
	phaseHolding
	// phaseClosing waits until the leaving primary obeys the new term.
	phaseClosing
	// phaseDraining waits until the chosen replica has the leaving primary's log.
	phaseDraining
)

const (
	// stagger is the delay of each proxy behind the one before it in rendezvous
	// order, so that they seldom duel.
	stagger ebonywood.Millis = 150
	// witnessPatience is how long a primary is left alone that its replicas
	// still hear, although no proxy reaches it.
	witnessPatience ebonywood.Millis = 3000
	// phaseLimit bounds one step of a change of primary.
	phaseLimit ebonywood.Millis = 600
	// fenceGrace is how long to wait for further logs after a majority is fenced.
	fenceGrace ebonywood.Millis = 20
	// holdLimit bounds how long a planned change waits for open writes.
	holdLimit ebonywood.Millis = 40
	// moveRetry is the pause after a planned change that could not be made.
	moveRetry ebonywood.Millis = 1000
	// leastRoundGap is the least time between two rounds, whoever wants them.
	leastRoundGap ebonywood.Millis = 1
	// standbyFactor is how much rarer the rounds of those are that stand in.
	standbyFactor = 10
	// backoffLimit bounds the random part of the pause after a lost duel.
	backoffLimit ebonywood.Millis = 250
)

// known is what is known of one member.
type known struct {
	member  ebonywood.Member
	leaving bool
	status  ebonywood.Status
	asked   ebonywood.Millis
	// told is when the answer came that status is from, heard when the last one did.
	told  ebonywood.Millis
	heard ebonywood.Millis
	ever  bool
	// missed is when a fresh connection last failed.
	missed ebonywood.Millis
	failed bool
}

// isOutdatedBy reports whether an answer tells of a later state than what is known.
// Of two questions that were under way together, the one that left first may have
// been answered last. Within a term that the member obeys, positions only grow,
// so the greater one is the later. Were the smaller one believed, a replica
// would seem to lose records that a read was sent there for.
func (entry *known) isOutdatedBy(event ebonywood.MemberReply) bool {
	if !entry.ever || event.SentAt() > entry.told {
		return true
	}
	status := event.Status()
	if status.FencedTerm() != entry.status.FencedTerm() {
		return status.FencedTerm() > entry.status.FencedTerm()
	}
	return !status.Applied().Less(entry.status.Applied())
}

// watch is one instance.
type watch struct {
	id       ebonywood.InstanceID
	settings ebonywood.Settings
	random   *rand.Rand
	members  []*known
	rank     int

	round     round
	rounds    uint64
	nextRound ebonywood.Millis
	proofs    []ebonywood.Proof

	// term is the highest term that a primary was seen in, primary its holder.
	term    ebonywood.Term
	primary ebonywood.MemberID
	// since is when the primary became known. Its replicas need some time before
	// they have heard of it.
	since ebonywood.Millis

	phase      phase
	phaseTerm  ebonywood.Term
	phaseEnd   ebonywood.Millis
	fenced     map[ebonywood.MemberID]ebonywood.Status
	fencedAt   ebonywood.Millis
	chosen     ebonywood.MemberID
	replaced   ebonywood.MemberID
	finalEnd   ebonywood.Position
	suspicious bool
	suspect    ebonywood.Millis
	notBefore  ebonywood.Millis

	view *ebonywood.InstanceView
}

func newWatch(id ebonywood.InstanceID, settings ebonywood.Settings, now ebonywood.Millis) *watch {
	seed := xxhash.Sum64String(settings.Name() + string(id))
	return &watch{
		id: id, settings: settings, random: rand.New(rand.NewPCG(seed, seed)), nextRound: now,
	}
}

func (watch *watch) setMembers(members []ebonywood.Member, now ebonywood.Millis) {
	var kept []*known
	for _, member := range members {
		entry := watch.member(member.ID())
		if entry == nil || entry.member.Address() != member.Address() {
			entry = &known{heard: now}
		}
		entry.member = member
		kept = append(kept, entry)
	}
	watch.members = kept
	watch.view = nil
}

func (watch *watch) setLeaving(addresses map[string]bool) {
	for _, entry := range watch.members {
		entry.leaving = entry.member.IsLeaving() || addresses[entry.member.Address()]
	}
	watch.view = nil
}

// setRank changes this proxy's place among the owners; a new owner asks at once.
func (watch *watch) setRank(rank int, now ebonywood.Millis) {
	if rank < watch.rank {
		watch.nextRound = now
	}
	watch.rank = rank
}

func (watch *watch) member(id ebonywood.MemberID) *known {
	for _, entry := range watch.members {
		if entry.member.ID() == id {
			return entry
		}
	}
	return nil
}

// forgive moves what was heard forward by a span in which this process was
// paused.
func (watch *watch) forgive(gap ebonywood.Millis) {
	for _, entry := range watch.members {
		entry.heard += gap
		entry.told += gap
	}
	watch.suspicious = false
}

func (watch *watch) hasten(now ebonywood.Millis) []ebonywood.Action {
	if earliest := watch.round.began + leastRoundGap; now < earliest {
		watch.nextRound = min(watch.nextRound, earliest)
		return nil
	}
	return watch.beginRound(now)
}

func (watch *watch) tick(now ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	if now >= watch.nextRound {
		actions = append(actions, watch.beginRound(now)...)
	}
	if watch.phase != phaseSteady {
		return append(actions, watch.advance(now)...)
	}
	if now < watch.notBefore {
		return actions
	}
	if watch.suspects(now) {
		return append(actions, watch.consider(now)...)
	}
	watch.suspicious = false
	return append(actions, watch.considerMove(now)...)
}

func (watch *watch) beginRound(now ebonywood.Millis) []ebonywood.Action {
	watch.rounds++
	watch.nextRound = now + watch.period()
	watch.round = newRound(watch.rounds, now, len(watch.members))
	return watch.orderAll(ebonywood.OrderStatus, 0)
}

// period is the time between two rounds. Those that stand in for the owner watch
// less often while all is well, since most of a node's control traffic would
// else be theirs.
func (watch *watch) period() ebonywood.Millis {
	if watch.rank == 0 || watch.suspicious || watch.primary == "" {
		return watch.settings.StatusPeriod()
	}
	return watch.settings.StatusPeriod() * standbyFactor
}

// silence is how long a member may be silent: longer where rounds are rarer.
func (watch *watch) silence() ebonywood.Millis {
	return watch.settings.PrimarySilence() + watch.period() - watch.settings.StatusPeriod()
}

func (watch *watch) orderAll(order ebonywood.Order, term ebonywood.Term) []ebonywood.Action {
	actions := make([]ebonywood.Action, 0, len(watch.members))
	for _, entry := range watch.members {
		actions = append(actions, watch.orderOne(entry.member.ID(), order, term))
	}
	return actions
}

func (watch *watch) orderOne(id ebonywood.MemberID, order ebonywood.Order, term ebonywood.Term) ebonywood.Action {
	return ebonywood.NewMemberOrder(watch.id, id, order, term, watch.rounds)
}

// reply takes a member's answer.
func (watch *watch) reply(now ebonywood.Millis, event ebonywood.MemberReply) []ebonywood.Action {
	entry := watch.member(event.Order().Member())
	if entry == nil {
		return nil
	}
	if event.Fault() != nil && event.Fault().Kind() != ebonywood.KindConflict {
		if event.IsNewConnection() {
			entry.missed, entry.failed = now, true
		}
		return nil
	}
	entry.heard, entry.failed = now, false
	if event.Fault() != nil {
		return watch.refused(now, event)
	}
	if entry.isOutdatedBy(event) {
		entry.status, entry.asked, entry.told, entry.ever = event.Status(), event.SentAt(), now, true
	}
	watch.notePrimary(now, event.Order().Member(), event.Status())
	watch.view = nil
	switch event.Order().Order() {
	case ebonywood.OrderFence:
		return watch.noteFenced(now, event)
	case ebonywood.OrderPromote:
		watch.notePromoted(now, event)
		return nil
	default:
		watch.noteRound(event)
		return watch.advanceDrain(now, event)
	}
}

// notePrimary learns of a primary in a term that is not older than the known
// one.
func (watch *watch) notePrimary(now ebonywood.Millis, id ebonywood.MemberID, status ebonywood.Status) {
	if status.Role() == ebonywood.RolePrimary && status.FencedTerm() >= watch.term {
		if watch.term != status.FencedTerm() || watch.primary != id {
			watch.since = now
		}
		watch.term, watch.primary = status.FencedTerm(), id
		return
	}
	if id == watch.primary && status.FencedTerm() > watch.term {
		watch.primary = ""
	}
}

// noteRound adds a reply to the round and keeps the proof if it makes one.
func (watch *watch) noteRound(event ebonywood.MemberReply) {
	if event.Order().Round() != watch.round.number {
		return
	}
	proof, proved := watch.round.add(event.Order().Member(), event.Status())
	if proved {
		watch.proofs = keepProof(watch.proofs, proof)
	}
}

// highest is the highest term that any member is known to obey.
func (watch *watch) highest() ebonywood.Term {
	highest := watch.term
	for _, entry := range watch.members {
		if entry.ever {
			highest = max(highest, entry.status.FencedTerm())
		}
	}
	return max(highest, watch.phaseTerm)
}

func (watch *watch) currentView() *ebonywood.InstanceView {
	if watch.view != nil {
		return watch.view
	}
	members := make([]ebonywood.MemberView, 0, len(watch.members))
	for _, entry := range watch.members {
		member := entry.member
		if entry.leaving {
			member = member.WithLeaving()
		}
		readable := entry.ever && entry.status.Role() != ebonywood.RoleFormerPrimary
		members = append(members, ebonywood.NewMemberView(member, entry.status.Applied(), entry.asked, entry.heard, readable))
	}
	held := watch.phase == phaseHolding || watch.phase == phaseClosing || watch.phase == phaseDraining
	watch.view = ebonywood.NewInstanceView(watch.id, watch.term, watch.primary, held, members, watch.proofs)
	return watch.view
}
