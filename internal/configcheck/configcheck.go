// Package configcheck finds faults and contradictions in an object set, whichever source it was
// read from. It has no access to files or networks. Of keys it knows digests only, so that no
// finding can contain one.
package configcheck

import (
	"fmt"
	"slices"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/workspacecheck"
)

// shortestOperation is the time, in ms, for which the shortest kind of operation occupies a slot
// of a member: a strict read or write of the deployments for which the product is built.
const shortestOperation = 4.5

// checker collects the findings of one set.
type checker struct {
	set      *ebonywood.ObjectSet
	findings []Finding
}

// Check returns the findings of a set. The slots for its workspaces' rates are those of the
// members that it lists.
func Check(set *ebonywood.ObjectSet) []Finding { return CheckWithSlots(set, listedSlots(set)) }

// CheckWithSlots is Check for a set whose members are listed elsewhere and have the given number
// of slots in all; 0 if it is not known.
func CheckWithSlots(set *ebonywood.ObjectSet, slots int) []Finding {
	checker := &checker{set: set}
	checker.checkRoutes()
	checker.checkInstances()
	checker.checkWorkspaces()
	checker.checkRates(slots)
	return checker.findings
}

// listedSlots returns the number of slots of the members that the set lists.
func listedSlots(set *ebonywood.ObjectSet) (slots int) {
	for _, instance := range set.Instances() {
		for _, member := range instance.Members() {
			slots += member.Slots()
		}
	}
	return slots
}

func (checker *checker) add(severity Severity, path, message, remedy string) {
	checker.findings = append(checker.findings, NewFinding(severity, path, message, remedy))
}

// RoutePath returns the path of a route in findings.
func RoutePath(route *ebonywood.Route) string { return "route/" + route.Name() }

// InstancePath returns the path of an instance in findings.
func InstancePath(id ebonywood.InstanceID) string { return "instance/" + string(id) }

// WorkspacePath returns the path of a workspace in findings.
func WorkspacePath(name string) string { return "workspace/" + name }

func (checker *checker) checkRoutes() {
	names, matches := map[string]bool{}, map[[2]string]*ebonywood.Route{}
	for _, route := range checker.set.Routes() {
		path := RoutePath(route)
		if names[route.Name()] {
			checker.add(SeverityWarning, path, "the name is used by another route", "choose another name: metrics and costs are kept by name")
		}
		names[route.Name()] = true
		match := [2]string{route.User(), route.Database()}
		if first, taken := matches[match]; taken {
			checker.add(SeverityWarning, path, fmt.Sprintf("it can never match: the route %q before it has the same database and user", first.Name()),
				"remove it or change its database")
		} else {
			matches[match] = route
		}
		checker.checkReferences(route, path)
		checker.checkTimes(route, path)
		checker.checkAccess(route, path)
	}
}

func (checker *checker) checkReferences(route *ebonywood.Route, path string) {
	if len(route.Instances()) == 0 {
		checker.add(SeverityError, path, "it has no instance", "name the database group or service that serves it")
	}
	for _, id := range route.Instances() {
		if _, found := checker.set.Instance(id); !found {
			checker.add(SeverityError, path, fmt.Sprintf("the instance %q does not exist", id), "add it, or name another one")
		}
	}
}

// checkTimes compares the route's timeout with its latency objective, and its staleness with
// what replicas can prove.
func (checker *checker) checkTimes(route *ebonywood.Route, path string) {
	timeout := route.Timeout()
	if timeout <= 0 {
		timeout = ebonywood.Limits{}.Millis(ebonywood.LimitDefaultTimeout)
	}
	if objective := route.Objective().Latency(); objective > timeout {
		checker.add(SeverityWarning, path, fmt.Sprintf("the timeout of %d ms is below the latency objective of %d ms", timeout, objective),
			"raise the timeout or lower the objective")
	}
	sampleAge := ebonywood.Limits{}.Millis(ebonywood.LimitSampleAge)
	if age := route.Policy().MaxAge(); age > 0 && age < sampleAge {
		checker.add(SeverityWarning, path,
			fmt.Sprintf("replicas can hardly prove an age of %d ms, since the primary's position is known to %d ms", age, sampleAge),
			"allow a greater age, or 0 for the primary only")
	}
}

// checkAccess finds routes that no caller may use.
func (checker *checker) checkAccess(route *ebonywood.Route, path string) {
	if !checker.set.RequiresWorkspace() || route.IsPublic() {
		return
	}
	if route.User() != "" {
		if _, found := checker.set.WorkspaceByUser(route.User()); !found {
			checker.add(SeverityWarning, path, fmt.Sprintf("it can never match: its user %q belongs to no workspace", route.User()),
				"add the user to a workspace, or make the route public")
		}
		return
	}
	hasCallers := slices.ContainsFunc(checker.set.Workspaces(), func(workspace *ebonywood.Workspace) bool {
		return len(workspace.Keys())+len(workspace.Users()) > 0
	})
	if !hasCallers {
		checker.add(SeverityWarning, path, "it can never match: no workspace has a key or user", "add a key or user, or make the route public")
	}
}

// checkInstances finds instances that no route uses.
func (checker *checker) checkInstances() {
	used := map[ebonywood.InstanceID]bool{}
	for _, route := range checker.set.Routes() {
		for _, id := range route.Instances() {
			used[id] = true
		}
	}
	for _, instance := range checker.set.Instances() {
		if !used[instance.ID()] {
			checker.add(SeverityWarning, InstancePath(instance.ID()), "no route uses it", "add a route or remove it")
		}
	}
}

func (checker *checker) checkWorkspaces() {
	workspaces := checker.set.Workspaces()
	for _, fault := range workspacecheck.Check(workspaces) {
		severity := SeverityError
		if fault.IsWarning() {
			severity = SeverityWarning
		}
		checker.add(severity, WorkspacePath(workspaces[fault.Index()].Name()), fault.Field().String()+" "+fault.Message(), fault.Remedy())
	}
	for _, workspace := range workspaces {
		if len(workspace.Keys())+len(workspace.Users()) == 0 {
			checker.add(SeverityWarning, WorkspacePath(workspace.Name()), "no caller can belong to it, since it has no key or user",
				"add one or remove the workspace")
		}
	}
}

// checkRates compares the rates of the workspaces with what the slots can run at best.
func (checker *checker) checkRates(slots int) {
	if slots == 0 {
		return
	}
	capacity := float64(slots) * 1000 / shortestOperation
	sum := 0.0
	for _, workspace := range checker.set.Workspaces() {
		sum += max(0, workspace.Rate())
		if workspace.Rate() > capacity {
			checker.add(SeverityWarning, WorkspacePath(workspace.Name()),
				fmt.Sprintf("the rate of %g/s can't fit the %d slots, which run at most %.0f operations per second", workspace.Rate(), slots, capacity),
				"lower the rate or add members")
		}
	}
	if sum > capacity {
		checker.add(SeverityWarning, "workspaces",
			fmt.Sprintf("the rates add up to %g/s, but the %d slots run at most %.0f operations per second", sum, slots, capacity),
			"lower rates or add members, unless the workspaces are busy at different times")
	}
}
