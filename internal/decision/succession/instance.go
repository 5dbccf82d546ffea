package succession

import (
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
)

// reason says why an instance needs another primary.
type reason string

const (
	reasonNone       reason = ""
	reasonLeaving    reason = "leaving"
	reasonDead       reason = "dead"
	reasonLeaderless reason = "leaderless"
)

// instance is what is believed of one instance.
type instance struct {
	id           ebonywood.InstanceID
	members      []*member
	primary      ebonywood.MemberID
	term         ebonywood.Term
	syncReplicas int
	// watched says that this process has to know who leads.
	watched bool
	// lostAt is since when the primary is unknown or out of reach.
	lostAt ebonywood.Millis
	// missingAt is since when the primary is not on the list; 0 while it is.
	missingAt ebonywood.Millis
	asked     ebonywood.Millis
	change    *change
	// cached is the view last published; nil when something changed since.
	cached *ebonywood.InstanceView
}

// member is what is believed of one member.
type member struct {
	listed      ebonywood.ListedMember
	unreachable bool
}

func (each *instance) find(id ebonywood.MemberID) *member {
	for _, candidate := range each.members {
		if candidate.listed.Member().ID() == id {
			return candidate
		}
	}
	return nil
}

// forget drops what was believed of the primary.
func (each *instance) forget(now ebonywood.Millis) {
	each.primary = ""
	each.lostAt, each.missingAt, each.asked = now, 0, 0
	each.change = nil
	each.cached = nil
	for _, other := range each.members {
		other.unreachable = false
	}
}

// list takes the members that the directory names. Who newly claims to lead is
// asked at once.
func (each *instance) list(now ebonywood.Millis, listed []ebonywood.ListedMember) []ebonywood.Action {
	var actions []ebonywood.Action
	members := make([]*member, 0, len(listed))
	for _, entry := range listed {
		next := &member{listed: entry}
		before := each.find(entry.Member().ID())
		if before != nil && before.listed.Member().Address() == entry.Member().Address() {
			next.unreachable = before.unreachable
		}
		claims := entry.ClaimsPrimary() && (before == nil || !before.listed.ClaimsPrimary())
		if each.watched && claims && entry.Member().ID() != each.primary {
			actions = append(actions, ebonywood.NewProbePrimary(each.id, entry.Member()))
		}
		members = append(members, next)
	}
	slices.SortFunc(members, func(left, right *member) int {
		return strings.Compare(string(left.listed.Member().ID()), string(right.listed.Member().ID()))
	})
	each.members = members
	each.cached = nil
	switch {
	case each.primary == "" || each.find(each.primary) != nil:
		each.missingAt = 0
	case each.missingAt == 0:
		each.missingAt = now
	}
	return actions
}

// seen takes the proof that a member leads.
func (each *instance) seen(now ebonywood.Millis, event ebonywood.PrimaryObserved) []ebonywood.Action {
	if event.Term() < each.term || each.find(event.Member()) == nil {
		return nil
	}
	if event.Member() == each.primary && event.Term() == each.term {
		return nil
	}
	gap := ebonywood.Millis(0)
	if each.lostAt > 0 {
		gap = now - each.lostAt
	}
	message := "primary"
	if event.Member() == each.primary {
		message = "term"
	}
	each.primary, each.term = event.Member(), event.Term()
	each.lostAt, each.missingAt = 0, 0
	each.find(event.Member()).unreachable = false
	each.change = nil
	each.cached = nil
	return []ebonywood.Action{ebonywood.NewLogMessage(message,
		"instance", each.id, "member", event.Member(), "term", uint64(event.Term()), "unknownForMs", int64(gap))}
}

// denied takes the proof that a member does not lead.
func (each *instance) denied(now ebonywood.Millis, event ebonywood.NonPrimaryObserved) []ebonywood.Action {
	if event.Member() != each.primary {
		return nil
	}
	each.primary = ""
	each.lostAt = now
	each.cached = nil
	actions := []ebonywood.Action{
		ebonywood.NewLogMessage("primaryLost", "instance", each.id, "member", event.Member(), "evidence", "refused"),
	}
	return append(actions, each.ask(now)...)
}

func (each *instance) reach(now ebonywood.Millis, event ebonywood.MemberReachabilityChanged) []ebonywood.Action {
	known := each.find(event.Member())
	if known == nil || known.unreachable == !event.IsReachable() {
		return nil
	}
	known.unreachable = !event.IsReachable()
	each.cached = nil
	if event.Member() == each.primary {
		each.lostAt = 0
		if known.unreachable {
			each.lostAt = now
		}
	}
	return []ebonywood.Action{ebonywood.NewLogMessage("reach",
		"instance", each.id, "member", event.Member(), "reachable", event.IsReachable(), "isPrimary", event.Member() == each.primary)}
}

func (each *instance) isPrimaryLost() bool { return each.isUnreachable(each.primary) }

func (each *instance) isUnreachable(id ebonywood.MemberID) bool {
	known := each.find(id)
	return known != nil && known.unreachable
}

// presumed is the primary, or the one that claims to lead while this process has
// not found out yet; a new holder of the duty may never have reached it.
func (each *instance) presumed() ebonywood.MemberID {
	if each.primary != "" {
		return each.primary
	}
	claimed := ebonywood.MemberID("")
	for _, other := range each.members {
		if !other.listed.ClaimsPrimary() {
			continue
		}
		if claimed != "" {
			return ""
		}
		claimed = other.listed.Member().ID()
	}
	return claimed
}

// isPrimaryLeaving reports whether the primary is on its way out, or has been
// missing from the list for long enough.
func (each *instance) isPrimaryLeaving(now ebonywood.Millis) bool {
	if each.primary == "" {
		return false
	}
	known := each.find(each.primary)
	if known == nil {
		return each.missingAt > 0 && now-each.missingAt > goneSpan && len(each.members) > 0
	}
	return known.listed.Member().IsLeaving()
}

// reachesOthers reports whether a member besides the primary answers.
func (each *instance) reachesOthers() bool {
	for _, other := range each.members {
		if other.listed.Member().ID() != each.primary && !other.unreachable {
			return true
		}
	}
	return false
}

// ask looks for the primary while none is known or the known one is in doubt.
func (each *instance) ask(now ebonywood.Millis) []ebonywood.Action {
	if !each.watched {
		return nil
	}
	if each.primary != "" && !each.isPrimaryLost() && each.missingAt == 0 && each.change == nil {
		return nil
	}
	if now-each.asked < askPeriod {
		return nil
	}
	each.asked = now
	var actions []ebonywood.Action
	for _, other := range each.members {
		if !other.unreachable && other.listed.Member().ID() != each.primary {
			actions = append(actions, ebonywood.NewProbePrimary(each.id, other.listed.Member()))
		}
	}
	return actions
}

// view is what traffic sees of the instance.
func (each *instance) view() *ebonywood.InstanceView {
	if each.cached != nil {
		return each.cached
	}
	primary := each.primary
	if each.isPrimaryLost() || each.find(primary) == nil {
		primary = ""
	}
	views := make([]ebonywood.MemberView, 0, len(each.members))
	for _, other := range each.members {
		views = append(views, ebonywood.NewMemberView(other.listed.Member(), ebonywood.Position{}, 0, 0, !other.unreachable))
	}
	each.cached = ebonywood.NewInstanceView(each.id, each.term, primary, false, views, nil).WithPrimaryLostAt(each.lostAt)
	return each.cached
}
