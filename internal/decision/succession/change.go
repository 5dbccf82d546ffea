package succession

import (
	"github.com/ebonywood/ebonywood"
)

const (
	// standingsSpan is how long the members have to tell their positions.
	standingsSpan ebonywood.Millis = 250
	// leadSpan is how long an accepted order has to take effect.
	leadSpan ebonywood.Millis = 1500
	// refusedPause follows an order that the platform refused.
	refusedPause ebonywood.Millis = 200
)

// phase is how far a change of primary has come.
type phase uint8

const (
	phaseAsking phase = iota
	phaseOrdered
	phasePaused
)

// change is one change of primary that this process carries out.
type change struct {
	reason    reason
	phase     phase
	began     ebonywood.Millis
	since     ebonywood.Millis
	standings map[ebonywood.MemberID]ebonywood.ReplicationStatus
	asked     int
	order     ebonywood.PromoteMember
	doubtful  bool
}

// begin starts a change for a reason, unless there is none or nobody to follow.
func (each *instance) begin(now ebonywood.Millis, why reason) []ebonywood.Action {
	if why == reasonNone {
		return nil
	}
	actions := each.askStandings(now, why)
	if each.change.asked == 0 {
		each.change = nil
		return nil
	}
	return append(actions, ebonywood.NewLogMessage("changeBegins", "instance", each.id, "member", each.primary,
		"reason", string(why), "asked", each.change.asked))
}

// askStandings asks all that may follow for their positions.
func (each *instance) askStandings(now ebonywood.Millis, why reason) []ebonywood.Action {
	each.change = &change{
		reason: why, phase: phaseAsking, began: now, since: now,
		standings: map[ebonywood.MemberID]ebonywood.ReplicationStatus{},
	}
	var actions []ebonywood.Action
	for _, other := range each.members {
		if !other.unreachable && !other.listed.Member().IsLeaving() && other.listed.Member().ID() != each.primary {
			actions = append(actions, ebonywood.NewQueryReplicationStatus(each.id, other.listed.Member()))
			each.change.asked++
		}
	}
	return actions
}

func (each *instance) standing(event ebonywood.ReplicationStatusReceived) []ebonywood.Action {
	if each.change == nil || each.change.phase != phaseAsking || event.Fault() != nil {
		return nil
	}
	each.change.standings[event.Member()] = event.Status()
	return nil
}

// advance takes the change one step further when its time has come.
func (each *instance) advance(now ebonywood.Millis, token int64) []ebonywood.Action {
	change := each.change
	spent := now - change.since
	switch change.phase {
	case phaseAsking:
		return each.choose(now, token)
	case phaseOrdered:
		if spent < leadSpan {
			return nil
		}
		each.change = nil
		if change.doubtful {
			return []ebonywood.Action{ebonywood.RenewToken{}}
		}
	case phasePaused:
		if spent >= refusedPause {
			each.change = nil
		}
	}
	return nil
}

// choose orders the promotion once enough members have told their positions.
func (each *instance) choose(now ebonywood.Millis, token int64) []ebonywood.Action {
	change := each.change
	late := now-change.since >= standingsSpan
	if len(change.standings) < change.asked && !late {
		return nil
	}
	if len(change.standings) < each.enough() {
		if late {
			return each.askStandings(now, change.reason)
		}
		return nil
	}
	best, at := each.best()
	change.order = ebonywood.NewPromoteMember(each.id, best, token)
	change.phase, change.since = phaseOrdered, now
	return []ebonywood.Action{
		change.order,
		ebonywood.NewLogMessage("promote", "instance", each.id, "member", best, "received", at.String(),
			"reason", string(change.reason), "token", token, "answered", len(change.standings), "asked", change.asked),
	}
}

// enough is how many successors must have answered, so that one of them holds
// every commit that was acknowledged with the help of replicas.
func (each *instance) enough() int {
	successors := 0
	for _, other := range each.members {
		if other.listed.Member().ID() != each.primary {
			successors++
		}
	}
	if each.syncReplicas == 0 {
		return 1
	}
	return max(1, successors-each.syncReplicas+1)
}

// best is the member that received most; names break ties.
func (each *instance) best() (ebonywood.MemberID, ebonywood.Position) {
	var best ebonywood.MemberID
	var at ebonywood.Position
	for _, other := range each.members {
		id := other.listed.Member().ID()
		standing, answered := each.change.standings[id]
		if answered && (best == "" || at.Less(standing.Received())) {
			best, at = id, standing.Received()
		}
	}
	return best, at
}

// ended takes the platform's answer to the order.
func (each *instance) ended(now ebonywood.Millis, event ebonywood.PromoteEnded) []ebonywood.Action {
	fault := event.Fault()
	note := ebonywood.NewLogMessage("promoteEnded", "instance", each.id, "member", event.Order().Member(), "token", event.Order().Token(), "fault", faultText(fault))
	if each.change == nil || each.change.order != event.Order() {
		return []ebonywood.Action{note}
	}
	switch {
	case fault == nil:
		each.change.since = now
	case fault.Kind() == ebonywood.KindConflict:
		each.change.phase, each.change.since = phasePaused, now
		return []ebonywood.Action{note, ebonywood.RenewToken{}}
	default:
		each.change.doubtful = true
	}
	return []ebonywood.Action{note}
}

func faultText(fault *ebonywood.Fault) string {
	if fault == nil {
		return ""
	}
	return fault.Error()
}
