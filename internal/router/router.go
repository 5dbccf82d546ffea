// Package router decides which members may run a read.
//
// A replica serves a read when three things are proved: it holds the session's
// acknowledged writes, it holds all that the session may have seen elsewhere,
// and its data is no older than the policy allows. All three are comparisons of
// log positions with the proofs of status rounds; no clocks of two hosts are
// compared and no age is assumed. What is not proved goes to the primary, whose
// answers are confirmed by a majority.
package router

import (
	"github.com/ebonywood/ebonywood"
)

// Router is the rule for one request. The zero value allows nothing but the
// primary.
type Router struct {
	view   *ebonywood.InstanceView
	policy *ebonywood.ReadPolicy
	floor  ebonywood.Floor
	now    ebonywood.Millis
}

// New makes the rule for a request at time now.
func New(view *ebonywood.InstanceView, policy *ebonywood.ReadPolicy, floor ebonywood.Floor, now ebonywood.Millis) Router {
	return Router{view: view, policy: policy, floor: floor, now: now}
}

// Replicas are the members other than the primary that may run the read, given
// what they last showed.
func (router Router) Replicas() []ebonywood.Member {
	if router.policy == nil || router.policy.MaxAge() == 0 {
		return nil
	}
	var allowed []ebonywood.Member
	for _, member := range router.view.Members() {
		id := member.Member().ID()
		if id == router.view.Primary() || !member.IsReadable() || member.Member().IsLeaving() {
			continue
		}
		if router.Allows(id, member.Applied()) {
			allowed = append(allowed, member.Member())
		}
	}
	return allowed
}

// Allows reports whether a replica whose reads show applied may run the read.
func (router Router) Allows(id ebonywood.MemberID, applied ebonywood.Position) bool {
	if router.policy == nil || router.policy.MaxAge() == 0 || !applied.Covers(router.floor.Position()) {
		return false
	}
	oldest := router.now - router.policy.MaxAge()
	if id != router.floor.LastMember() {
		oldest = max(oldest, router.floor.Since())
	}
	return router.holdsProofSince(applied, oldest)
}

// AllowsOver decides again for a connection that was opened at a known time to a
// replica that showed applied then. The replica may have been rewound since its
// last status; a connection opened afterwards knows better.
func (router Router) AllowsOver(id ebonywood.MemberID, opened ebonywood.Millis, applied ebonywood.Position) bool {
	member, found := router.view.Member(id)
	if !found || !member.IsReadable() || router.view.Primary() == id {
		return false
	}
	if member.QueriedAt() >= opened {
		applied = member.Applied()
	}
	return router.Allows(id, applied)
}

// holdsProofSince reports whether applied covers a proof that began after oldest.
// Times are rounded down to milliseconds, so one of the same millisecond may have
// begun before. Proofs are in order of time and their positions only grow, so the
// first one that is young enough decides.
func (router Router) holdsProofSince(applied ebonywood.Position, oldest ebonywood.Millis) bool {
	for _, proof := range router.view.Proofs() {
		if proof.StartedAt() > oldest {
			return applied.Covers(proof.Position())
		}
	}
	return false
}
