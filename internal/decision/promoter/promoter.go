// Package promoter watches the instances of all database groups and decides when
// a primary is replaced, and by whom.
//
// Safety rests on the terms of the database group alone. A promoter fences a
// majority of the members at a new term, then promotes the fenced member with
// the greatest log. A member grants each term to one promoter only, so two
// promoters can't both succeed at one term, and a promoter that was paused finds
// its term overtaken. Nothing here depends on who leads, on leases, or on the
// platform's store being up. The alternative, a lease in the store for the right
// to promote, was left because a failover would then need the store, and because
// a lapsed lease whose holder is paused protects nothing.
//
// Liveness rests on status rounds. Every proof of freshness comes from the same
// rounds, so a healthy instance costs no further messages.
package promoter

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "promoter"

// pauseLimit is the gap between two ticks beyond which this process must have
// been paused itself, so that the silence of others proves nothing.
const pauseLimit ebonywood.Millis = 100

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision { return New(settings) })
}

// Promoter is the decision for all instances.
type Promoter struct {
	settings ebonywood.Settings
	watches  map[ebonywood.InstanceID]*watch
	order    []ebonywood.InstanceID
	set      *ebonywood.ObjectSet
	owners   *ebonywood.Owners
	hosts    int64
	leaving  map[string]bool
	lastTick ebonywood.Millis
}

// New makes a promoter that knows no instance yet.
func New(settings ebonywood.Settings) *Promoter {
	return &Promoter{settings: settings, watches: map[ebonywood.InstanceID]*watch{}}
}

// Handle takes ticks, replies of members, observations of traffic, and changes
// of the object set, of the hosts and of the live proxies.
func (promoter *Promoter) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	switch event := event.(type) {
	case ebonywood.Tick:
		return promoter.tick(now)
	case ebonywood.MemberReply:
		if watch, found := promoter.watches[event.Order().Instance()]; found {
			return watch.reply(now, event)
		}
	case ebonywood.ConnectionFailed:
		if watch, found := promoter.watches[event.Instance()]; found {
			return watch.hasten(now)
		}
	case ebonywood.StatusRoundRequested:
		if watch, found := promoter.watches[event.Instance()]; found {
			return watch.hasten(now)
		}
	case ebonywood.WritesDrained:
		if watch, found := promoter.watches[event.Instance()]; found {
			return watch.writesIdle(now)
		}
	case ebonywood.ObjectSetApplied:
		promoter.set = event.ObjectSet()
		promoter.adopt(now)
	case ebonywood.HostsListed:
		if event.Revision() <= promoter.hosts {
			return nil
		}
		promoter.hosts, promoter.leaving = event.Revision(), event.Leaving()
		for _, watch := range promoter.watches {
			watch.setLeaving(promoter.leaving)
		}
	case ebonywood.OwnersChanged:
		promoter.owners = event.Owners()
		promoter.adopt(now)
	}
	return nil
}

// tick moves every instance on. A gap between ticks means that this process was
// paused: what it did not hear in the meantime is no silence of a member.
func (promoter *Promoter) tick(now ebonywood.Millis) []ebonywood.Action {
	gap := now - promoter.lastTick
	promoter.lastTick = now
	var actions []ebonywood.Action
	for _, id := range promoter.order {
		watch := promoter.watches[id]
		if gap > pauseLimit {
			watch.forgive(gap)
		}
		actions = append(actions, watch.tick(now)...)
	}
	return actions
}

// adopt takes over the instances of the set that this proxy owns or stands in
// for, and keeps what is known of those that stay. The others cost nothing here,
// whatever the size of the set.
func (promoter *Promoter) adopt(now ebonywood.Millis) {
	if promoter.set == nil {
		return
	}
	kept := map[ebonywood.InstanceID]*watch{}
	promoter.order = promoter.order[:0]
	for _, instance := range promoter.set.Instances() {
		rank, owned := promoter.rank(instance.ID())
		if !owned {
			continue
		}
		known, found := promoter.watches[instance.ID()]
		if !found {
			known = newWatch(instance.ID(), promoter.settings, now)
		}
		known.setMembers(instance.Members(), now)
		known.setLeaving(promoter.leaving)
		known.setRank(rank, now)
		kept[instance.ID()] = known
		promoter.order = append(promoter.order, instance.ID())
	}
	promoter.watches = kept
}

// rank is this proxy's place among the owners. A process without peers owns all.
func (promoter *Promoter) rank(id ebonywood.InstanceID) (int, bool) {
	if promoter.owners == nil {
		return 0, true
	}
	return promoter.owners.Rank(id)
}

// Contribute adds the view of every instance.
func (promoter *Promoter) Contribute(draft *ebonywood.Draft) {
	for _, id := range promoter.order {
		draft.AddView(promoter.watches[id].currentView())
	}
}
