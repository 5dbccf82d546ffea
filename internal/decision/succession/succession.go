// Package succession tracks the primary of each instance and runs failovers, for
// platforms that promote a member on request.
//
// A member counts as the primary only after it has accepted a plain transaction.
// Claims by members or lists only determine which members are probed. A primary
// counts as dead when a majority of the live proxies that serve its instance can't
// reach it over new connections; a single proxy may itself be cut off. While the
// directory is unavailable there are no reports from other proxies, so the holder of
// the duty, the lease-guarded right to promote, relies on its own observation, after a
// longer delay.
//
// Only the holder of the duty orders a promotion. It queries the members' positions
// and promotes the member with the highest received position. An order without a reply
// may take effect later, so the next one carries a greater fencing token.
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
		decision := New(settings.Name(), settings.Limits())
		if drains, ok := settings.(drainSettings); ok {
			decision.memberDrainPeriod = drains.MemberDrainPeriod()
		}
		return decision
	})
}

// drainSettings is implemented by settings that say how long after a member reported that
// it is leaving it may get new work.
type drainSettings interface {
	MemberDrainPeriod() ebonywood.Millis
}

const (
	// probeInterval is the minimum time between two rounds of probes for an instance's
	// primary.
	probeInterval ebonywood.Millis = 100
	// noPrimaryTimeout is the time without a primary after which one is promoted.
	noPrimaryTimeout ebonywood.Millis = 1500
	// isolationDelay is the time for which both the directory and an instance's primary,
	// or all proxies that serve the instance, must have been unreachable before callers
	// are sent to another proxy.
	isolationDelay ebonywood.Millis = 1000
	// unlistedTimeout is the time after which a primary missing from the directory's
	// list is replaced.
	unlistedTimeout ebonywood.Millis = 600
	// drainMargin is the part of a member's drain period in which it gets no new work any
	// more, for the way of a statement to the member.
	drainMargin ebonywood.Millis = 250
)

// Succession is the decision that tracks primaries and runs failovers.
type Succession struct {
	self string
	// confirmLoss is the time for which the holder of the duty must have found a primary
	// unreachable before it acts on a majority of reports. confirmLossAlone is the same
	// while the directory is unavailable.
	confirmLoss      ebonywood.Millis
	confirmLossAlone ebonywood.Millis

	instances map[ebonywood.InstanceID]*instanceState
	reports   []ebonywood.ProxyReport
	owners    *ebonywood.Owners
	// unreachablePeers maps each unreachable proxy to the time at which contact was lost.
	unreachablePeers map[ebonywood.PeerView]ebonywood.Millis
	// token is the fencing token while this process holds the duty, 0 otherwise.
	token int64
	// memberDrainPeriod is how long after it was reported a leaving member may get new
	// work; 0 if there is no limit.
	memberDrainPeriod ebonywood.Millis
	// confirmedAsOf is the time up to which every change of the directory has been
	// received; 0 if none is known.
	confirmedAsOf ebonywood.Millis
	// refusedToken is the last token that the platform refused.
	refusedToken         int64
	directoryUnavailable bool
	directoryChangedAt   ebonywood.Millis
	isolated             bool
	announcedSuspects    []ebonywood.MemberID
	announcedStops       ebonywood.AnnounceWriteStops
	// peerStops are the stops of writes that other proxies request.
	peerStops []ebonywood.WriteStop
	// stopRounds counts the stops of writes that this process has requested.
	stopRounds int64
}

// New returns the decision of the proxy named self.
func New(self string, limits ebonywood.Limits) *Succession {
	return &Succession{
		self: self, confirmLoss: limits.Millis(ebonywood.LimitConfirmLoss),
		confirmLossAlone: limits.Millis(ebonywood.LimitConfirmLossAlone),
		instances:        map[ebonywood.InstanceID]*instanceState{}, owners: &ebonywood.Owners{},
		unreachablePeers: map[ebonywood.PeerView]ebonywood.Millis{},
	}
}

// Handle applies one event and returns the resulting actions.
func (decision *Succession) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	switch event := event.(type) {
	case ebonywood.MembersListed:
		return decision.setMembers(now, event.Members())
	case ebonywood.ObjectSetApplied:
		decision.applyObjectSet(now, event.ObjectSet())
	case ebonywood.ConfigurationConfirmed:
		decision.confirmedAsOf = max(decision.confirmedAsOf, event.AsOf())
	case ebonywood.ProxyReportsListed:
		return decision.setReports(now, event.Reports())
	case ebonywood.WritesStopped:
		if instance, found := decision.instances[event.Stop().Instance()]; found {
			instance.writesStopped(event.Stop())
		}
		return decision.announceWriteStops()
	case ebonywood.OwnersChanged:
		decision.owners = event.Owners()
		decision.updateWatched(now)
	case ebonywood.PeerReachabilityChanged:
		if event.IsReachable() {
			delete(decision.unreachablePeers, event.Peer())
		} else {
			decision.unreachablePeers[event.Peer()] = now
		}
	case ebonywood.DutyChanged:
		return decision.setDuty(now, event)
	case ebonywood.DirectoryReachabilityChanged:
		decision.directoryUnavailable, decision.directoryChangedAt = !event.IsReachable(), now
	case ebonywood.PrimaryObserved:
		return decision.withInstance(event.Instance(), func(instance *instanceState) []ebonywood.Action { return instance.confirmPrimary(now, event) })
	case ebonywood.NonPrimaryObserved:
		return decision.withInstance(event.Instance(), func(instance *instanceState) []ebonywood.Action { return instance.clearPrimary(now, event) })
	case ebonywood.MemberReachabilityChanged:
		actions := decision.withInstance(event.Instance(), func(instance *instanceState) []ebonywood.Action { return instance.setReachable(now, event) })
		return append(actions, decision.announceSuspects()...)
	case ebonywood.ReplicationStatusReceived:
		return decision.withInstance(event.Instance(), func(instance *instanceState) []ebonywood.Action { return instance.recordReplicationStatus(event) })
	case ebonywood.PromotionEnded:
		return decision.promotionEnded(now, event)
	case ebonywood.Tick:
		return decision.tick(now)
	}
	return nil
}

// withInstance calls handle with the state of an instance; it does nothing if the
// instance is unknown.
func (decision *Succession) withInstance(
	id ebonywood.InstanceID, handle func(*instanceState) []ebonywood.Action,
) []ebonywood.Action {
	if instance, found := decision.instances[id]; found {
		return handle(instance)
	}
	return nil
}

// setDuty stores the fencing token and discards all failovers in progress, since the
// platform refuses orders with an earlier token from now on. Orders without a reply are
// repeated with a renewed token.
func (decision *Succession) setDuty(now ebonywood.Millis, event ebonywood.DutyChanged) []ebonywood.Action {
	wasHeld := decision.token != 0
	decision.token = 0
	if event.IsHeld() {
		decision.token = event.Token()
	}
	var actions []ebonywood.Action
	for _, instance := range decision.instances {
		if event.IsHeld() && wasHeld {
			if orders, repeated := instance.repeatOrder(now, decision.token); repeated {
				actions = append(actions, orders...)
				continue
			}
		}
		instance.dropFailover()
		if event.IsHeld() && !wasHeld {
			// The former holder may have left paused members and an order behind.
			instance.pause = pauseState{active: true, orderToken: event.Token() - 1}
		}
	}
	decision.updateWatched(now)
	return append(actions, ebonywood.NewLogMessage("duty", "held", event.IsHeld(), "token", event.Token()))
}

// updateWatched determines the watched instances: those that this process serves or,
// while it holds the duty, all. State of an instance that was not watched is out of
// date, so it is reset when watching starts or stops.
func (decision *Succession) updateWatched(now ebonywood.Millis) {
	for id, instance := range decision.instances {
		watched := decision.token != 0 || decision.isServed(id)
		if watched != instance.watched {
			instance.watched = watched
			instance.reset(now)
		}
	}
}

// isServed reports whether this process serves the instance. An instance without a
// known owner is served by every proxy.
func (decision *Succession) isServed(id ebonywood.InstanceID) bool {
	_, found := decision.owners.Rank(id)
	return found || len(decision.owners.ForInstance(id)) == 0
}

// voters returns the reports of the proxies that serve the instance. The other
// proxies have no connection to its members.
func (decision *Succession) voters(id ebonywood.InstanceID) []ebonywood.ProxyReport {
	if len(decision.owners.ForInstance(id)) == 0 {
		return decision.reports
	}
	return slices.DeleteFunc(slices.Clone(decision.reports), func(report ebonywood.ProxyReport) bool {
		return !decision.owners.IsOwner(id, report.Name())
	})
}

// setMembers replaces the members of all instances.
func (decision *Succession) setMembers(now ebonywood.Millis, listed []ebonywood.ListedMember) []ebonywood.Action {
	byInstance := map[ebonywood.InstanceID][]ebonywood.ListedMember{}
	for _, entry := range listed {
		byInstance[entry.Instance()] = append(byInstance[entry.Instance()], entry)
	}
	for id := range byInstance {
		if _, found := decision.instances[id]; !found {
			decision.instances[id] = decision.newInstance(id, now)
		}
	}
	var actions []ebonywood.Action
	for id, instance := range decision.instances {
		actions = append(actions, instance.setMembers(now, byInstance[id], decision.workUntil())...)
	}
	return append(actions, decision.announceSuspects()...)
}

// workUntil returns the time from which a member must get no new work that this process
// now learns to be leaving; 0 if there is no limit. The member may have reported it at any
// time after the last one up to which all changes are known. If there is none, it may have
// left the whole period behind.
func (decision *Succession) workUntil() ebonywood.Millis {
	switch {
	case decision.memberDrainPeriod == 0:
		return 0
	case decision.confirmedAsOf == 0:
		return 1
	default:
		return max(1, decision.confirmedAsOf+decision.memberDrainPeriod-drainMargin)
	}
}

// applyObjectSet adds the configured instances and sets their number of synchronous
// replicas.
func (decision *Succession) applyObjectSet(now ebonywood.Millis, set *ebonywood.ObjectSet) {
	for _, configured := range set.Instances() {
		if instance, found := decision.instances[configured.ID()]; found {
			instance.syncReplicas = configured.SyncReplicas()
			continue
		}
		instance := decision.newInstance(configured.ID(), now)
		instance.syncReplicas = configured.SyncReplicas()
		decision.instances[configured.ID()] = instance
	}
}

func (decision *Succession) newInstance(id ebonywood.InstanceID, now ebonywood.Millis) *instanceState {
	return &instanceState{id: id, lostAt: now, watched: decision.token != 0 || decision.isServed(id)}
}

// announceSuspects reports the watched primaries that this process can't reach, if
// they have changed since the last report.
func (decision *Succession) announceSuspects() []ebonywood.Action {
	var suspects []ebonywood.MemberID
	for _, instance := range decision.instances {
		if primary := instance.presumedPrimary(); instance.watched && instance.isUnreachable(primary) {
			suspects = append(suspects, primary)
		}
	}
	slices.Sort(suspects)
	if slices.Equal(suspects, decision.announcedSuspects) {
		return nil
	}
	decision.announcedSuspects = suspects
	return []ebonywood.Action{
		ebonywood.NewAnnounceSuspects(suspects),
		ebonywood.NewLogMessage("suspects", "members", suspects),
	}
}

// tick probes for primaries that are in doubt. While this process holds the duty with a
// token that was not refused, it also starts and advances failovers.
func (decision *Succession) tick(now ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	for _, instance := range decision.instances {
		actions = append(actions, instance.probeMembers(now)...)
		if decision.token == 0 || decision.token == decision.refusedToken {
			continue
		}
		if instance.failover == nil {
			actions = append(actions, decision.startFailover(now, instance)...)
		}
		if instance.failover == nil {
			actions = append(actions, decision.settlePause(now, instance)...)
		}
		if instance.failover != nil {
			actions = append(actions, decision.advanceFailover(now, instance)...)
		}
	}
	decision.isolated = decision.isIsolated(now)
	actions = append(actions, decision.updateWriteStops(now)...)
	return append(actions, decision.announceSuspects()...)
}

// startFailover starts a failover if the instance needs another primary, or a switchover
// if its primary still runs and synchronous replicas confirm its commits.
func (decision *Succession) startFailover(now ebonywood.Millis, instance *instanceState) []ebonywood.Action {
	reason := decision.reasonFor(now, instance)
	isRunning := !instance.isPrimaryUnreachable() && instance.findMember(instance.primary) != nil
	switch {
	case reason != reasonLeaving || instance.syncReplicas == 0 || !isRunning:
		return instance.startFailover(now, reason)
	case decision.directoryUnavailable:
		// The other proxies would not receive the request to stop their writes.
		return nil
	default:
		return decision.startSwitchover(now, instance, reason)
	}
}

// advanceFailover runs the current phase of the instance's failover.
func (decision *Succession) advanceFailover(now ebonywood.Millis, instance *instanceState) []ebonywood.Action {
	if instance.failover.phase == phaseStoppingWrites {
		return decision.advanceStop(now, instance)
	}
	return instance.advanceFailover(now, decision.token)
}

// isIsolated reports whether callers should be sent to another proxy: this one can't
// reach the directory, and for some instance it can't reach the primary (if it serves
// the instance) or any of the proxies that serve it (if it doesn't).
func (decision *Succession) isIsolated(now ebonywood.Millis) bool {
	if !decision.directoryUnavailable || now-decision.directoryChangedAt < isolationDelay {
		return false
	}
	for id, instance := range decision.instances {
		lost := instance.lostAt > 0 && now-instance.lostAt > isolationDelay && len(instance.members) > 0
		if decision.isServed(id) && lost || !decision.isServed(id) && decision.areServersUnreachable(now, id) {
			return true
		}
	}
	return false
}

// areServersUnreachable reports whether every proxy that serves the instance has been
// unreachable for at least isolationDelay.
func (decision *Succession) areServersUnreachable(now ebonywood.Millis, id ebonywood.InstanceID) bool {
	for _, peer := range decision.owners.ForInstance(id) {
		since, lost := decision.unreachablePeers[peer]
		if !lost || now-since < isolationDelay {
			return false
		}
	}
	return true
}

// promotionEnded applies the platform's reply to a promotion. A refused token is not
// used again.
func (decision *Succession) promotionEnded(now ebonywood.Millis, event ebonywood.PromotionEnded) []ebonywood.Action {
	fault := event.Fault()
	if fault != nil && fault.Kind() == ebonywood.KindConflict {
		decision.refusedToken = event.Order().Token()
	}
	return decision.withInstance(event.Order().Instance(), func(instance *instanceState) []ebonywood.Action { return instance.promotionEnded(now, event) })
}

// reasonFor returns why the instance needs another primary, reasonNone if it doesn't.
func (decision *Succession) reasonFor(now ebonywood.Millis, instance *instanceState) failoverReason {
	switch {
	case instance.isPrimaryLeaving(now):
		return reasonLeaving
	case instance.primary == "" && len(instance.members) > 0 && now-instance.lostAt > noPrimaryTimeout:
		return reasonNoPrimary
	case decision.isPrimaryDead(now, instance):
		return reasonDead
	default:
		return reasonNone
	}
}

// isPrimaryDead reports whether a majority of the voters can't reach the instance's
// primary. The voters are this process and the proxies that serve the instance. If this
// process can't reach the primary either, that must have lasted longer than confirmLoss.
//
// While the directory is unavailable only this process counts. It must then reach
// another member, to rule out that it is cut off itself.
func (decision *Succession) isPrimaryDead(now ebonywood.Millis, instance *instanceState) bool {
	primary := instance.presumedPrimary()
	if primary == "" {
		return false
	}
	unreachable := instance.isUnreachable(primary)
	if decision.directoryUnavailable {
		return unreachable && now-instance.lostAt > decision.confirmLossAlone && instance.canReachReplica()
	}
	votes, voters := 0, 0
	for _, report := range decision.voters(instance.id) {
		if report.Name() == decision.self {
			continue
		}
		voters++
		if slices.Contains(report.Suspects(), primary) {
			votes++
		}
	}
	voters++
	if unreachable {
		votes++
	}
	if votes*2 <= voters {
		return false
	}
	return !unreachable || now-instance.lostAt > decision.confirmLoss
}

// Contribute adds the views of all instances, the number of reports, and whether this
// process is isolated and holds the duty.
func (decision *Succession) Contribute(draft *ebonywood.Draft) {
	for _, instance := range decision.instances {
		draft.AddView(instance.view())
	}
	draft.SetReportCount(len(decision.reports))
	draft.SetIsolated(decision.isolated)
	draft.SetDuty(decision.token != 0)
}
