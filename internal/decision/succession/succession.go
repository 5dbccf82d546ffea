// Package succession decides who leads each instance where the platform promotes
// on request: whom this process takes for the primary, when a primary is believed
// dead, and which member is to follow it.
//
// A belief comes from what members accept: a plain transaction that was opened on
// a member proves that it leads. What members or lists claim is only a hint whom
// to ask. A primary is dead when a majority of the live proxies can't reach it
// over fresh connections; one proxy's silence may be its own fault. While the
// directory is away, reports can't travel, and the holder of the duty goes by its
// own evidence for longer.
//
// Only the holder of the duty orders a promotion. It asks the members for their
// positions first and takes the one that received most. An order without an
// answer may take effect later, so the next one carries a greater fencing token.
package succession

import (
	"slices"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "succession"

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision {
		return New(settings.Name(), settings.Limits())
	})
}

const (
	// askPeriod is the pause between two questions who leads.
	askPeriod ebonywood.Millis = 100
	// leaderlessSpan is how long no member may lead before one is chosen anew.
	leaderlessSpan ebonywood.Millis = 1500
	// isolatedSpan is how long the directory and a primary must have been out of
	// reach before callers are sent elsewhere.
	isolatedSpan ebonywood.Millis = 1000
	// goneSpan is how long a primary may be missing from the list.
	goneSpan ebonywood.Millis = 600
)

// Succession is the decision.
type Succession struct {
	self string
	// confirmLoss is how long a primary has to be out of reach before the holder acts
	// on a majority of reports, confirmLossAlone the same while the directory is away.
	confirmLoss      ebonywood.Millis
	confirmLossAlone ebonywood.Millis

	instances map[ebonywood.InstanceID]*instance
	reports   []ebonywood.NodeReport
	owners    *ebonywood.Owners
	// lostPeers is since when other proxies don't answer this one.
	lostPeers map[ebonywood.PeerView]ebonywood.Millis
	token     int64
	// refused is a token that the platform does not accept any more.
	refused   int64
	away      bool
	awaySince ebonywood.Millis
	isolated  bool
	announced []ebonywood.MemberID
}

// New makes the decision of the named proxy.
func New(self string, limits ebonywood.Limits) *Succession {
	return &Succession{
		self: self, confirmLoss: limits.Millis(ebonywood.LimitConfirmLoss),
		confirmLossAlone: limits.Millis(ebonywood.LimitConfirmLossAlone),
		instances:        map[ebonywood.InstanceID]*instance{}, owners: &ebonywood.Owners{},
		lostPeers: map[ebonywood.PeerView]ebonywood.Millis{},
	}
}

// Handle takes one event.
func (decision *Succession) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	switch event := event.(type) {
	case ebonywood.MembersListed:
		return decision.list(now, event.Members())
	case ebonywood.ObjectSetApplied:
		decision.limit(now, event.ObjectSet())
	case ebonywood.NodesListed:
		decision.reports = event.Reports()
	case ebonywood.OwnersChanged:
		decision.owners = event.Owners()
		decision.watch(now)
	case ebonywood.PeerReachabilityChanged:
		if event.IsReachable() {
			delete(decision.lostPeers, event.Peer())
		} else {
			decision.lostPeers[event.Peer()] = now
		}
	case ebonywood.DutyChanged:
		return decision.takeDuty(now, event)
	case ebonywood.DirectoryReachabilityChanged:
		decision.away, decision.awaySince = !event.IsReachable(), now
	case ebonywood.PrimaryObserved:
		return decision.with(event.Instance(), func(each *instance) []ebonywood.Action { return each.seen(now, event) })
	case ebonywood.NonPrimaryObserved:
		return decision.with(event.Instance(), func(each *instance) []ebonywood.Action { return each.denied(now, event) })
	case ebonywood.MemberReachabilityChanged:
		actions := decision.with(event.Instance(), func(each *instance) []ebonywood.Action { return each.reach(now, event) })
		return append(actions, decision.announce()...)
	case ebonywood.ReplicationStatusReceived:
		return decision.with(event.Instance(), func(each *instance) []ebonywood.Action { return each.standing(event) })
	case ebonywood.PromoteEnded:
		return decision.ended(now, event)
	case ebonywood.Tick:
		return decision.tick(now)
	}
	return nil
}

func (decision *Succession) with(
	id ebonywood.InstanceID, work func(*instance) []ebonywood.Action,
) []ebonywood.Action {
	if each, found := decision.instances[id]; found {
		return work(each)
	}
	return nil
}

// takeDuty notes the token. What was ordered under an earlier one is begun anew,
// since the platform refuses it from now on.
func (decision *Succession) takeDuty(now ebonywood.Millis, event ebonywood.DutyChanged) []ebonywood.Action {
	decision.token = 0
	if event.IsHeld() {
		decision.token = event.Token()
	}
	for _, each := range decision.instances {
		each.change = nil
	}
	decision.watch(now)
	return []ebonywood.Action{ebonywood.NewLogMessage("duty", "held", event.IsHeld(), "token", event.Token())}
}

// watch decides which instances this process watches: those that it serves and, as
// the holder of the duty, all. What was believed of one that was not watched is out
// of date.
func (decision *Succession) watch(now ebonywood.Millis) {
	for id, each := range decision.instances {
		watched := decision.token != 0 || decision.isServed(id)
		if watched != each.watched {
			each.watched = watched
			each.forget(now)
		}
	}
}

// isServed reports whether this process serves the instance. Where no proxy is
// known to serve it, each does.
func (decision *Succession) isServed(id ebonywood.InstanceID) bool {
	_, found := decision.owners.Rank(id)
	return found || len(decision.owners.Of(id)) == 0
}

// voters are the reports that count for an instance: of the proxies that serve it,
// since the others have no connection to its members.
func (decision *Succession) voters(id ebonywood.InstanceID) []ebonywood.NodeReport {
	if len(decision.owners.Of(id)) == 0 {
		return decision.reports
	}
	return slices.DeleteFunc(slices.Clone(decision.reports), func(report ebonywood.NodeReport) bool {
		return !decision.owners.IsOwner(id, report.Name())
	})
}

// list replaces the members of all instances.
func (decision *Succession) list(now ebonywood.Millis, listed []ebonywood.ListedMember) []ebonywood.Action {
	byInstance := map[ebonywood.InstanceID][]ebonywood.ListedMember{}
	for _, each := range listed {
		byInstance[each.Instance()] = append(byInstance[each.Instance()], each)
	}
	for id := range byInstance {
		if _, known := decision.instances[id]; !known {
			decision.instances[id] = decision.newInstance(id, now)
		}
	}
	var actions []ebonywood.Action
	for id, each := range decision.instances {
		actions = append(actions, each.list(now, byInstance[id])...)
	}
	return append(actions, decision.announce()...)
}

func (decision *Succession) limit(now ebonywood.Millis, set *ebonywood.ObjectSet) {
	for _, configured := range set.Instances() {
		if each, known := decision.instances[configured.ID()]; known {
			each.syncReplicas = configured.SyncReplicas()
			continue
		}
		each := decision.newInstance(configured.ID(), now)
		each.syncReplicas = configured.SyncReplicas()
		decision.instances[configured.ID()] = each
	}
}

func (decision *Succession) newInstance(id ebonywood.InstanceID, now ebonywood.Millis) *instance {
	return &instance{id: id, lostAt: now, watched: decision.token != 0 || decision.isServed(id)}
}

// announce reports the primaries that this process can't reach when they change.
func (decision *Succession) announce() []ebonywood.Action {
	var suspects []ebonywood.MemberID
	for _, each := range decision.instances {
		if primary := each.presumed(); each.watched && each.isUnreachable(primary) {
			suspects = append(suspects, primary)
		}
	}
	slices.Sort(suspects)
	if slices.Equal(suspects, decision.announced) {
		return nil
	}
	decision.announced = suspects
	return []ebonywood.Action{
		ebonywood.NewAnnounceSuspects(suspects),
		ebonywood.NewLogMessage("suspects", "members", suspects),
	}
}

func (decision *Succession) tick(now ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	for _, each := range decision.instances {
		actions = append(actions, each.ask(now)...)
		if decision.token == 0 || decision.token == decision.refused {
			continue
		}
		if each.change == nil {
			actions = append(actions, each.begin(now, decision.judge(now, each))...)
		}
		if each.change != nil {
			actions = append(actions, each.advance(now, decision.token)...)
		}
	}
	decision.isolated = decision.isIsolated(now)
	return append(actions, decision.announce()...)
}

// isIsolated reports whether callers are better off at another proxy: this one
// can reach neither the directory nor the primary of some instance, or none of the
// proxies that serve it.
func (decision *Succession) isIsolated(now ebonywood.Millis) bool {
	if !decision.away || now-decision.awaySince < isolatedSpan {
		return false
	}
	for id, each := range decision.instances {
		lost := each.lostAt > 0 && now-each.lostAt > isolatedSpan && len(each.members) > 0
		if decision.isServed(id) && lost || !decision.isServed(id) && decision.areServersLost(now, id) {
			return true
		}
	}
	return false
}

// areServersLost reports whether no proxy that serves the instance answers.
func (decision *Succession) areServersLost(now ebonywood.Millis, id ebonywood.InstanceID) bool {
	for _, peer := range decision.owners.Of(id) {
		since, lost := decision.lostPeers[peer]
		if !lost || now-since < isolatedSpan {
			return false
		}
	}
	return true
}

// ended takes the platform's answer to an order. A token that was refused is not
// used again.
func (decision *Succession) ended(now ebonywood.Millis, event ebonywood.PromoteEnded) []ebonywood.Action {
	fault := event.Fault()
	if fault != nil && fault.Kind() == ebonywood.KindConflict {
		decision.refused = event.Order().Token()
	}
	return decision.with(event.Order().Instance(), func(each *instance) []ebonywood.Action { return each.ended(now, event) })
}

// judge says why the instance needs another primary; empty if it doesn't.
func (decision *Succession) judge(now ebonywood.Millis, each *instance) reason {
	switch {
	case each.isPrimaryLeaving(now):
		return reasonLeaving
	case each.primary == "" && len(each.members) > 0 && now-each.lostAt > leaderlessSpan:
		return reasonLeaderless
	case decision.isDead(now, each):
		return reasonDead
	default:
		return reasonNone
	}
}

// isDead weighs this process's evidence with that of the other proxies.
func (decision *Succession) isDead(now ebonywood.Millis, each *instance) bool {
	primary := each.presumed()
	if primary == "" {
		return false
	}
	lost := each.isUnreachable(primary)
	if decision.away {
		return lost && now-each.lostAt > decision.confirmLossAlone && each.reachesOthers()
	}
	votes, voters := 0, 0
	for _, report := range decision.voters(each.id) {
		if report.Name() == decision.self {
			continue
		}
		voters++
		if slices.Contains(report.Suspects(), primary) {
			votes++
		}
	}
	voters++
	if lost {
		votes++
	}
	if votes*2 <= voters {
		return false
	}
	return !lost || now-each.lostAt > decision.confirmLoss
}

// Contribute adds what is believed of each instance to the snapshot.
func (decision *Succession) Contribute(draft *ebonywood.Draft) {
	for _, each := range decision.instances {
		draft.AddView(each.view())
	}
	draft.SetReportCount(len(decision.reports))
	draft.SetIsolated(decision.isolated)
	draft.SetDuty(decision.token != 0)
}
