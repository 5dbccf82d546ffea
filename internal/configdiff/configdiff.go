// Package configdiff compares two object sets and states which routes, workspaces and sessions a
// change from one to the other affects. It has no access to files or networks. Keys appear as
// numbers only.
package configdiff

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
)

// Kind says what happens to an object.
type Kind uint8

// The kinds of change.
const (
	KindAdded Kind = iota
	KindRemoved
	KindChanged
)

// String returns the name used in output.
func (kind Kind) String() string { return [...]string{"added", "removed", "changed"}[kind] }

// Change is one object that differs.
type Change struct {
	kind    Kind
	subject string
	details []string
	effects []string
}

// Kind returns what happens to the object.
func (change Change) Kind() Kind { return change.kind }

// Subject returns the object, such as route/shop.
func (change Change) Subject() string { return change.subject }

// Details returns the fields that differ, with both values.
func (change Change) Details() []string { return change.details }

// Effects returns what happens to callers and sessions.
func (change Change) Effects() []string { return change.effects }

// Difference is everything that differs between two sets.
type Difference struct {
	changes    []Change
	routes     []string
	workspaces []string
	sessions   []string
}

// IsEmpty reports whether nothing differs.
func (difference *Difference) IsEmpty() bool { return len(difference.changes) == 0 }

// Changes returns the objects that differ.
func (difference *Difference) Changes() []Change { return difference.changes }

// Routes returns the names of the routes that are affected, sorted.
func (difference *Difference) Routes() []string { return difference.routes }

// Workspaces returns the names of the workspaces that are affected, sorted.
func (difference *Difference) Workspaces() []string { return difference.workspaces }

// Sessions describes the sessions that are affected.
func (difference *Difference) Sessions() []string { return difference.sessions }

// Product says when sessions take over a changed route.
type Product uint8

// The products.
const (
	// ProductPlatform is the proxy on the platform: each operation uses the route in force.
	ProductPlatform Product = iota
	// ProductPostgres is the PostgreSQL proxy: a session keeps the route with which it was
	// opened.
	ProductPostgres
)

// comparison collects the differences of two sets.
type comparison struct {
	before, after *ebonywood.ObjectSet
	product       Product
	result        *Difference
}

// Compare returns the differences of two sets. before is nil if no set is in force.
func Compare(before, after *ebonywood.ObjectSet, product Product) *Difference {
	if before == nil {
		before = ebonywood.NewObjectSet(0, "", nil, nil, nil)
	}
	comparison := &comparison{before: before, after: after, product: product, result: &Difference{}}
	comparison.compareSettings()
	comparison.compareInstances()
	comparison.compareRoutes()
	comparison.compareWorkspaces()
	result := comparison.result
	result.routes, result.workspaces = sortedUnique(result.routes), sortedUnique(result.workspaces)
	return result
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// add adds a change; its effects are on sessions.
func (comparison *comparison) add(kind Kind, subject string, details, effects []string) {
	result := comparison.result
	result.changes = append(result.changes, Change{kind: kind, subject: subject, details: details, effects: effects})
	for _, effect := range effects {
		result.sessions = append(result.sessions, subject+": "+effect)
	}
}

// details collects the fields that differ.
type details []string

// field adds a field if its values differ.
func field[T comparable](list *details, name string, before, after T) {
	if before != after {
		*list = append(*list, fmt.Sprintf("%s %v -> %v", name, before, after))
	}
}

func (comparison *comparison) compareSettings() {
	var list details
	field(&list, "idle transaction timeout (ms)", comparison.before.IdleTransactionTimeout(), comparison.after.IdleTransactionTimeout())
	if len(list) > 0 {
		comparison.add(KindChanged, "limits", list, []string{"open transactions are rolled back after the new time without a statement"})
	}
	switch required, requires := comparison.before.RequiresWorkspace(), comparison.after.RequiresWorkspace(); {
	case required == requires:
	case requires:
		comparison.touchAllRoutes()
		comparison.add(KindAdded, "workspaces", []string{"callers need a workspace, except on public routes"},
			[]string{"sessions of callers without a workspace end between transactions, except on public routes"})
	default:
		comparison.touchAllRoutes()
		comparison.add(KindRemoved, "workspaces", []string{"callers need no workspace any more"}, []string{"all callers are accepted"})
	}
}

func (comparison *comparison) touchAllRoutes() {
	for _, route := range comparison.after.Routes() {
		comparison.result.routes = append(comparison.result.routes, route.Name())
	}
}

func (comparison *comparison) compareInstances() {
	for _, before := range comparison.before.Instances() {
		after, found := comparison.after.Instance(before.ID())
		if !found {
			comparison.touchRoutesOf(before.ID())
			comparison.add(KindRemoved, "instance/"+string(before.ID()), nil, nil)
			continue
		}
		var list details
		field(&list, "connections of a member", before.MaxConnections(), after.MaxConnections())
		field(&list, "synchronous replicas", before.SyncReplicas(), after.SyncReplicas())
		compareMembers(&list, before.Members(), after.Members())
		if len(list) > 0 {
			comparison.touchRoutesOf(before.ID())
			comparison.add(KindChanged, "instance/"+string(before.ID()), list, nil)
		}
	}
	for _, after := range comparison.after.Instances() {
		if _, found := comparison.before.Instance(after.ID()); !found {
			comparison.touchRoutesOf(after.ID())
			comparison.add(KindAdded, "instance/"+string(after.ID()), nil, nil)
		}
	}
}

// compareMembers adds the members that differ.
func compareMembers(list *details, before, after []ebonywood.Member) {
	for _, member := range before {
		if !slices.ContainsFunc(after, func(other ebonywood.Member) bool { return other.ID() == member.ID() }) {
			*list = append(*list, fmt.Sprintf("member %s removed", member.ID()))
		}
	}
	for _, member := range after {
		index := slices.IndexFunc(before, func(other ebonywood.Member) bool { return other.ID() == member.ID() })
		if index < 0 {
			*list = append(*list, fmt.Sprintf("member %s added", member.ID()))
			continue
		}
		name, old := "member "+string(member.ID())+" ", before[index]
		field(list, name+"zone", old.Zone(), member.Zone())
		field(list, name+"address", old.Address(), member.Address())
		field(list, name+"slots", old.Slots(), member.Slots())
		field(list, name+"connections", old.MaxConnections(), member.MaxConnections())
		field(list, name+"leaving", old.IsLeaving(), member.IsLeaving())
	}
}

// touchRoutesOf adds the routes of both sets that use an instance.
func (comparison *comparison) touchRoutesOf(id ebonywood.InstanceID) {
	for _, set := range []*ebonywood.ObjectSet{comparison.before, comparison.after} {
		for _, route := range set.Routes() {
			if slices.Contains(route.Instances(), id) {
				comparison.result.routes = append(comparison.result.routes, route.Name())
			}
		}
	}
}

// namedRoutes returns the routes by name; of those with the same name, the first.
func namedRoutes(set *ebonywood.ObjectSet) map[string]*ebonywood.Route {
	routes := map[string]*ebonywood.Route{}
	for _, route := range set.Routes() {
		if _, found := routes[route.Name()]; !found {
			routes[route.Name()] = route
		}
	}
	return routes
}

func (comparison *comparison) compareRoutes() {
	before, after := namedRoutes(comparison.before), namedRoutes(comparison.after)
	for _, route := range comparison.before.Routes() {
		if before[route.Name()] != route {
			continue
		}
		if other, found := after[route.Name()]; found {
			comparison.compareRoute(route, other)
			continue
		}
		comparison.result.routes = append(comparison.result.routes, route.Name())
		comparison.add(KindRemoved, "route/"+route.Name(), nil, comparison.withoutRoute(route))
	}
	for _, route := range comparison.after.Routes() {
		if _, found := before[route.Name()]; found || after[route.Name()] != route {
			continue
		}
		comparison.result.routes = append(comparison.result.routes, route.Name())
		comparison.add(KindAdded, "route/"+route.Name(), []string{"serves " + callersOf(route)}, nil)
	}
}

// callersOf describes the callers that a route matches.
func callersOf(route *ebonywood.Route) string {
	if route.User() == "" {
		return fmt.Sprintf("database %q", route.Database())
	}
	return fmt.Sprintf("database %q for user %q", route.Database(), route.User())
}

// withoutRoute describes what happens to the callers of a route that is removed or no longer
// matches them.
func (comparison *comparison) withoutRoute(route *ebonywood.Route) []string {
	callers := callersOf(route)
	if other, found := comparison.after.Route(route.User(), route.Database()); found {
		return []string{fmt.Sprintf("new sessions with %s use route/%s%s", callers, other.Name(), comparison.openSessions(", and open ones from their next operation on"))}
	}
	return []string{fmt.Sprintf("new sessions with %s are refused%s", callers, comparison.openSessions(", and each operation of open ones"))}
}

// openSessions returns the text about open sessions for a product whose sessions use the route
// in force, and that of the other product.
func (comparison *comparison) openSessions(following string) string {
	if comparison.product == ProductPostgres {
		return "; open ones keep the old route"
	}
	return following
}

func (comparison *comparison) compareRoute(before, after *ebonywood.Route) {
	var list details
	field(&list, "database", before.Database(), after.Database())
	field(&list, "user", before.User(), after.User())
	field(&list, "instances", joinIDs(before.Instances()), joinIDs(after.Instances()))
	field(&list, "read policy", before.Policy().Name(), after.Policy().Name())
	field(&list, "greatest age (ms)", before.Policy().MaxAge(), after.Policy().MaxAge())
	field(&list, "when stale", staleAction(before), staleAction(after))
	field(&list, "timeout (ms)", before.Timeout(), after.Timeout())
	field(&list, "weight", before.Weight(), after.Weight())
	field(&list, "paid", before.IsPaid(), after.IsPaid())
	field(&list, "repeatable", before.IsRepeatable(), after.IsRepeatable())
	field(&list, "objective share", before.Objective().Share(), after.Objective().Share())
	field(&list, "objective latency (ms)", before.Objective().Latency(), after.Objective().Latency())
	field(&list, "priority", before.Priority(), after.Priority())
	field(&list, "public", before.IsPublic(), after.IsPublic())
	if len(list) == 0 {
		return
	}
	var effects []string
	if before.Database() != after.Database() || before.User() != after.User() {
		effects = append(effects, comparison.withoutRoute(before)...)
	} else {
		effects = append(effects, fmt.Sprintf("new sessions with %s use the new values%s", callersOf(after),
			comparison.openSessions(", and open ones from their next operation on")))
	}
	if comparison.after.RequiresWorkspace() && before.IsPublic() && !after.IsPublic() {
		effects = append(effects, "sessions of callers without a workspace end between transactions")
	}
	comparison.result.routes = append(comparison.result.routes, after.Name())
	comparison.add(KindChanged, "route/"+after.Name(), list, effects)
}

func joinIDs(ids []ebonywood.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}

func staleAction(route *ebonywood.Route) string {
	return map[ebonywood.StaleAction]string{
		ebonywood.StalePrimary: "primary", ebonywood.StaleWait: "wait", ebonywood.StaleRefuse: "refuse",
	}[route.Policy().StaleAction()]
}
