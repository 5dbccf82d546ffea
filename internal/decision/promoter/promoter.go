// Package promoter monitors the instances that this proxy owns or is a standby for, in
// all database groups. It decides when a primary is replaced and which member is
// promoted.
//
// Safety depends only on the terms of the database group. A promoter fences a
// majority of the members at a new term, then promotes the fenced member with the
// most advanced log. A member grants each term to one promoter only, so two
// promoters can't both succeed at one term, and the term of a promoter that was
// paused has been superseded. Safety depends neither on a leader among the
// promoters, nor on leases, nor on the platform's store being available. The
// alternative, a lease in the store for the right to promote, was rejected because
// a failover would then need the store, and because an expired lease does not stop
// a holder that was paused.
//
// Liveness depends on status rounds. The same rounds provide every proof of
// freshness, so a healthy instance needs no further messages.
package promoter

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "promoter"

const (
	// maxTickGap is the longest interval between two ticks of a process that runs. After
	// a longer one this process must have been paused itself, so that missing replies
	// are no evidence of a failed member.
	maxTickGap ebonywood.Millis = 100
	// punctualTickPeriods is how many tick periods may pass between two ticks of a
	// process that gets its processor time. What a gap lasts beyond that was spent
	// waiting for a processor, like the replies that did not arrive, and does not count
	// as silence of a member.
	punctualTickPeriods = 2
)

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision { return New(settings) })
}

// Promoter is the decision that fails over the instances that this proxy owns or is
// a standby for, with one monitor for each.
type Promoter struct {
	settings      ebonywood.Settings
	monitors      map[ebonywood.InstanceID]*monitor
	instanceOrder []ebonywood.InstanceID
	objectSet     *ebonywood.ObjectSet
	owners        *ebonywood.Owners
	// leaving maps the address of each host on the platform's list of hostsRevision to
	// whether the host is leaving.
	hostsRevision int64
	leaving       map[string]bool
	lastTickAt    ebonywood.Millis
}

// New returns a promoter without instances. They are added by the first
// ObjectSetApplied event.
func New(settings ebonywood.Settings) *Promoter {
	return &Promoter{settings: settings, monitors: map[ebonywood.InstanceID]*monitor{}}
}

// Handle processes ticks, replies of members, failures observed by traffic, requests
// for a status round, the end of the open writes that a switchover waits for, and
// changes of the object set, the hosts and the owners.
func (promoter *Promoter) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	switch event := event.(type) {
	case ebonywood.Tick:
		return promoter.tick(now)
	case ebonywood.MemberReply:
		if monitor, found := promoter.monitors[event.Order().Instance()]; found {
			return monitor.handleReply(now, event)
		}
	case ebonywood.ConnectionFailed:
		if monitor, found := promoter.monitors[event.Instance()]; found {
			return monitor.requestRound(now)
		}
	case ebonywood.StatusRoundRequested:
		if monitor, found := promoter.monitors[event.Instance()]; found {
			return monitor.requestRound(now)
		}
	case ebonywood.WritesDrained:
		if monitor, found := promoter.monitors[event.Instance()]; found {
			return monitor.handleWritesDrained(now)
		}
	case ebonywood.ObjectSetApplied:
		promoter.objectSet = event.ObjectSet()
		promoter.updateMonitors(now)
	case ebonywood.HostsListed:
		if event.Revision() <= promoter.hostsRevision {
			return nil
		}
		promoter.hostsRevision, promoter.leaving = event.Revision(), event.Leaving()
		for _, monitor := range promoter.monitors {
			monitor.setLeaving(promoter.leaving)
		}
	case ebonywood.OwnersChanged:
		promoter.owners = event.Owners()
		promoter.updateMonitors(now)
	}
	return nil
}

// tick advances every monitor. The lateness of a tick does not count towards the silence
// of any member, and after a long gap between ticks none of it counts.
func (promoter *Promoter) tick(now ebonywood.Millis) []ebonywood.Action {
	gap := now - promoter.lastTickAt
	lateness := gap - punctualTickPeriods*promoter.settings.TickPeriod()
	promoter.lastTickAt = now
	var actions []ebonywood.Action
	for _, id := range promoter.instanceOrder {
		monitor := promoter.monitors[id]
		switch {
		case gap > maxTickGap:
			monitor.discountPause(now, gap)
		case lateness > 0:
			monitor.discountLateness(now, lateness)
		}
		actions = append(actions, monitor.tick(now)...)
	}
	return actions
}

// updateMonitors creates monitors for the instances of the set that this proxy owns
// or is a standby for, updates those that exist, and drops the others. Instances
// without a monitor cost nothing here, whatever the size of the set.
func (promoter *Promoter) updateMonitors(now ebonywood.Millis) {
	if promoter.objectSet == nil {
		return
	}
	kept := map[ebonywood.InstanceID]*monitor{}
	promoter.instanceOrder = promoter.instanceOrder[:0]
	for _, instance := range promoter.objectSet.Instances() {
		rank, owned := promoter.rank(instance.ID())
		if !owned {
			continue
		}
		current, found := promoter.monitors[instance.ID()]
		if !found {
			current = newMonitor(instance.ID(), promoter.settings, now)
		}
		current.setMembers(instance.Members(), now)
		current.setLeaving(promoter.leaving)
		current.setRank(rank, now)
		kept[instance.ID()] = current
		promoter.instanceOrder = append(promoter.instanceOrder, instance.ID())
	}
	promoter.monitors = kept
}

// rank returns this proxy's index among the owners of an instance, and false if it
// is not one of them. A process without peers owns every instance at rank 0.
func (promoter *Promoter) rank(id ebonywood.InstanceID) (int, bool) {
	if promoter.owners == nil {
		return 0, true
	}
	return promoter.owners.Rank(id)
}

// Contribute adds the view of every monitored instance to the snapshot.
func (promoter *Promoter) Contribute(draft *ebonywood.Draft) {
	for _, id := range promoter.instanceOrder {
		draft.AddView(promoter.monitors[id].currentView())
	}
}
