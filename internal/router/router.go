// Package router decides which members may run a read.
//
// A replica may serve a read if three conditions are proven: it has the session's
// acknowledged writes, it has all data that the session may have read from other
// members, and its data is no older than the policy allows. Each is a comparison of
// log positions, with the session's floor or with the proofs of status rounds. The
// clocks of different hosts are not compared, and no age is assumed. Other reads go to
// the primary, whose replies are confirmed by a majority.
package router

import (
	"github.com/ebonywood/ebonywood"
)

// Router decides for one request. The zero value allows the primary only.
type Router struct {
	view   *ebonywood.InstanceView
	policy *ebonywood.ReadPolicy
	floor  ebonywood.Floor
	now    ebonywood.Millis
}

// New returns the router of a request at time now, on the clock of this process. A nil
// policy allows the primary only.
func New(view *ebonywood.InstanceView, policy *ebonywood.ReadPolicy, floor ebonywood.Floor, now ebonywood.Millis) Router {
	return Router{view: view, policy: policy, floor: floor, now: now}
}

// Replicas returns the members other than the primary that may run the read, by the
// positions of their last status.
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

// Allows reports whether a replica that has applied its log up to applied may run the
// read.
func (router Router) Allows(id ebonywood.MemberID, applied ebonywood.Position) bool {
	if router.policy == nil || router.policy.MaxAge() == 0 || !applied.Covers(router.floor.Position()) {
		return false
	}
	oldest := router.now - router.policy.MaxAge()
	if id != router.floor.LastMember() {
		oldest = max(oldest, router.floor.Since())
	}
	return router.coversProofSince(applied, oldest)
}

// AllowsOnConn repeats the decision for a connection to a replica, given when it was
// opened and the replica's applied position at that time. The replica may have been
// rewound since its last status, so a position from a connection that was opened after
// that status was requested replaces the status.
func (router Router) AllowsOnConn(id ebonywood.MemberID, opened ebonywood.Millis, applied ebonywood.Position) bool {
	member, found := router.view.Member(id)
	if !found || !member.IsReadable() || router.view.Primary() == id {
		return false
	}
	if member.QueriedAt() >= opened {
		applied = member.Applied()
	}
	return router.Allows(id, applied)
}

// coversProofSince reports whether applied covers a proof that was started after oldest.
// Times are rounded down to milliseconds, so a proof of the same millisecond may have
// been started before oldest and is not used. Proofs are in order of time and their
// positions only grow, so the first one after oldest decides.
func (router Router) coversProofSince(applied ebonywood.Position, oldest ebonywood.Millis) bool {
	for _, proof := range router.view.Proofs() {
		if proof.StartedAt() > oldest {
			return applied.Covers(proof.Position())
		}
	}
	return false
}
