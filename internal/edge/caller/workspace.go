package caller

import (
	"context"
	"fmt"

	"github.com/ebonywood/ebonywood"
)

// This file applies the object set's workspaces to callers.

// isAllowed reports whether the object set in force permits the session: its route is public,
// or its user belongs to a workspace. A session whose route was removed keeps the rule of that
// route.
func (caller *callerSession) isAllowed() bool {
	set := caller.edge.port.Snapshot().ObjectSet()
	if set == nil || !set.RequiresWorkspace() {
		return true
	}
	route := caller.route
	if current, found := set.Route(caller.user, route.Database()); found {
		route = current
	}
	_, allowed := set.AccessByUser(route, caller.user)
	return allowed
}

func (caller *callerSession) forbiddenFault() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindForbidden, fmt.Sprintf("user %q belongs to no workspace", caller.user),
		"add the user to a workspace, or make the route public")
}

// watchWorkspaces closes the sessions of removed users whenever another object set is in force.
func (edge *Edge) watchWorkspaces(ctx context.Context) error {
	generation := uint64(0)
	for {
		snapshot, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
			return snapshot.ObjectSet() != nil && snapshot.ObjectSet().Generation() != generation
		})
		if err != nil {
			return nil
		}
		generation = snapshot.ObjectSet().Generation()
		if snapshot.ObjectSet().RequiresWorkspace() {
			edge.closeRemoved()
		}
	}
}

// closeRemoved closes the sessions of removed users that are idle. Others end after their
// request or transaction.
func (edge *Edge) closeRemoved() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, session := range edge.sessions {
		session.closeIfRemoved()
	}
}

// closeIfRemoved ends the session if it is idle and its user was removed. The session's own
// goroutine sends the reason.
func (caller *callerSession) closeIfRemoved() {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if caller.busy || caller.removed || caller.isAllowed() {
		return
	}
	caller.removed = true
	caller.limits.StopReading()
}

// sendRemoval tells the caller why its session ends if its user was removed.
func (caller *callerSession) sendRemoval() {
	caller.mutex.Lock()
	removed := caller.removed
	caller.mutex.Unlock()
	if !removed {
		return
	}
	caller.edge.port.Metrics().Tagged(map[string]string{"why": "userRemoved"}).Counter("sessionsClosed").Inc(1)
	caller.edge.port.Log().V(1).Info("session ended", "why", "userRemoved", "route", caller.route.Name())
	caller.sendFatal(caller.forbiddenFault())
}
