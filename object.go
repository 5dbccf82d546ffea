package ebonywood

// Member is one database server of an instance.
type Member struct {
	id             MemberID
	zone           string
	address        string
	slots          int
	maxConnections int
	leaving        bool
}

// NewMember returns a member. slots is how many statements it runs concurrently,
// maxConnections how many connections it accepts.
func NewMember(id MemberID, zone, address string, slots, maxConnections int, leaving bool) Member {
	return Member{id: id, zone: zone, address: address, slots: slots, maxConnections: maxConnections, leaving: leaving}
}

// ID returns the member's identifier.
func (member Member) ID() MemberID { return member.id }

// Zone returns the member's availability zone.
func (member Member) Zone() string { return member.zone }

// Address returns the member's IP address and port.
func (member Member) Address() string { return member.address }

// Slots returns how many statements the member runs concurrently.
func (member Member) Slots() int { return member.slots }

// MaxConnections returns how many connections the member accepts.
func (member Member) MaxConnections() int { return member.maxConnections }

// IsLeaving reports whether the member's host is being taken out of service.
func (member Member) IsLeaving() bool { return member.leaving }

// Instance is one primary with its replicas. Which member is primary is not
// configured.
type Instance struct {
	id             InstanceID
	members        []Member
	maxConnections int
	syncReplicas   int
}

// NewInstance returns an instance.
func NewInstance(id InstanceID, members []Member) Instance {
	return Instance{id: id, members: members}
}

// WithLimits returns the instance with limits for each of its members:
// maxConnections is how many connections each accepts, syncReplicas how many
// replicas hold a commit before it is acknowledged.
func (instance Instance) WithLimits(maxConnections, syncReplicas int) Instance {
	instance.maxConnections = maxConnections
	instance.syncReplicas = syncReplicas
	return instance
}

// MaxConnections returns how many connections each member accepts; 0 if the members
// have limits of their own.
func (instance Instance) MaxConnections() int { return instance.maxConnections }

// SyncReplicas returns how many replicas hold a commit before it is acknowledged.
func (instance Instance) SyncReplicas() int { return instance.syncReplicas }

// ID returns the instance's identifier.
func (instance Instance) ID() InstanceID { return instance.id }

// Members returns the members in the order of the object; the slice must not be
// modified.
func (instance Instance) Members() []Member { return instance.members }

// StaleAction says what happens to a read whose age can't be proven.
type StaleAction uint8

// The actions for a read whose age can't be proven.
const (
	// StalePrimary sends the read to the primary.
	StalePrimary StaleAction = iota
	// StaleWait waits for a replica until the deadline.
	StaleWait
	// StaleRefuse refuses the read immediately.
	StaleRefuse
)

// ReadPolicy states how old the data of a read may be.
type ReadPolicy struct {
	name        string
	maxAge      Millis
	staleAction StaleAction
}

// NewReadPolicy returns a policy. A maxAge of 0 allows the primary only.
func NewReadPolicy(name string, maxAge Millis, staleAction StaleAction) *ReadPolicy {
	return &ReadPolicy{name: name, maxAge: maxAge, staleAction: staleAction}
}

// Name returns the policy's name.
func (policy *ReadPolicy) Name() string { return policy.name }

// MaxAge returns the maximum acceptable age; 0 allows the primary only.
func (policy *ReadPolicy) MaxAge() Millis { return policy.maxAge }

// StaleAction returns what happens when no member proves the age.
func (policy *ReadPolicy) StaleAction() StaleAction { return policy.staleAction }

// Objective is the service level that a route promises.
type Objective struct {
	share   float64
	latency Millis
}

// NewObjective returns an objective: the share (0 to 1) of requests that must succeed
// within latency.
func NewObjective(share float64, latency Millis) Objective {
	return Objective{share: share, latency: latency}
}

// Share returns the promised share of requests, 0 to 1; 0 promises nothing.
func (objective Objective) Share() float64 { return objective.share }

// Latency returns the time within which they must succeed.
func (objective Objective) Latency() Millis { return objective.latency }

// Route binds callers to a database group and its policies.
type Route struct {
	name       string
	user       string
	database   string
	instances  []InstanceID
	policy     *ReadPolicy
	timeout    Millis
	weight     int
	paid       bool
	repeatable bool
	objective  Objective
	priority   int
	public     bool
}

// NewRoute returns a route for callers that connect with user and database; an
// empty user matches all. repeatable is true if every statement on the route may be
// run twice.
func NewRoute(
	name, user, database string, instances []InstanceID, policy *ReadPolicy,
	timeout Millis, weight int, paid, repeatable bool, objective Objective,
) *Route {
	return &Route{
		name: name, user: user, database: database, instances: instances, policy: policy,
		timeout: timeout, weight: weight, paid: paid, repeatable: repeatable, objective: objective,
		priority: defaultPriority(paid),
	}
}

// defaultPriority returns the priority of a route for which none is configured: 0 for paid
// routes, 1 for the others.
func defaultPriority(paid bool) int {
	if paid {
		return 0
	}
	return 1
}

// WithPriority returns the route with a priority; 0 is the highest.
func (route *Route) WithPriority(priority int) *Route {
	changed := *route
	changed.priority = priority
	return &changed
}

// WithPublic returns the route with or without the requirement that its callers belong to
// a workspace.
func (route *Route) WithPublic(public bool) *Route {
	changed := *route
	changed.public = public
	return &changed
}

// Priority returns the route's priority; 0 is the highest.
func (route *Route) Priority() int { return route.priority }

// IsPublic reports whether the route's callers need not belong to a workspace.
func (route *Route) IsPublic() bool { return route.public }

// Name returns the route's name.
func (route *Route) Name() string { return route.name }

// User returns the startup user that the route matches; empty matches all.
func (route *Route) User() string { return route.user }

// Database returns the startup database that the route matches.
func (route *Route) Database() string { return route.database }

// Instances returns the instances of the route's group, in the group's order.
func (route *Route) Instances() []InstanceID { return route.instances }

// Policy returns the read policy.
func (route *Route) Policy() *ReadPolicy { return route.policy }

// Timeout returns how long a request may take in total.
func (route *Route) Timeout() Millis { return route.timeout }

// Weight returns the route's share of the slots relative to other routes.
func (route *Route) Weight() int { return route.weight }

// IsPaid reports whether the route's statements start before those of the other
// routes, called browsing.
func (route *Route) IsPaid() bool { return route.paid }

// IsRepeatable reports whether the route's statements may be run twice.
func (route *Route) IsRepeatable() bool { return route.repeatable }

// Objective returns the promised service level.
func (route *Route) Objective() Objective { return route.objective }

// ObjectSet is a complete, checked configuration. Sets are ordered by generation.
type ObjectSet struct {
	generation uint64
	hash       string
	content    []byte
	instances  []Instance
	routes     []*Route
	// byDatabase holds the routes of each database, in the order of routes.
	byDatabase             map[string][]*Route
	idleTransactionTimeout Millis
	// requiresWorkspace is true if the set names workspaces, even if the list is empty.
	requiresWorkspace bool
	workspaces        []*Workspace
	workspaceByName   map[string]*Workspace
	workspaceByKey    map[KeyDigest]*Workspace
	workspaceByUser   map[string]*Workspace
	totalRate         float64
}

// NewObjectSet returns a set. content is the published text and hash its name in
// the store.
func NewObjectSet(generation uint64, hash string, content []byte, instances []Instance, routes []*Route) *ObjectSet {
	byDatabase := make(map[string][]*Route, len(routes))
	for _, route := range routes {
		byDatabase[route.database] = append(byDatabase[route.database], route)
	}
	return &ObjectSet{
		generation: generation, hash: hash, content: content, instances: instances, routes: routes,
		byDatabase: byDatabase,
	}
}

// WithIdleTransactionTimeout returns the set with the time after which an idle
// transaction is rolled back; 0 disables it.
func (set *ObjectSet) WithIdleTransactionTimeout(timeout Millis) *ObjectSet {
	changed := *set
	changed.idleTransactionTimeout = timeout
	return &changed
}

// IdleTransactionTimeout returns the time after which an idle transaction is rolled
// back; 0 means never.
func (set *ObjectSet) IdleTransactionTimeout() Millis { return set.idleTransactionTimeout }

// Generation orders the accepted sets.
func (set *ObjectSet) Generation() uint64 { return set.generation }

// Hash returns the content's name in the store.
func (set *ObjectSet) Hash() string { return set.hash }

// Content returns the published text; it must not be modified.
func (set *ObjectSet) Content() []byte { return set.content }

// Instances returns all instances of all groups.
func (set *ObjectSet) Instances() []Instance { return set.instances }

// Routes returns the routes in the order of the files.
func (set *ObjectSet) Routes() []*Route { return set.routes }

// Instance finds an instance.
func (set *ObjectSet) Instance(id InstanceID) (Instance, bool) {
	for _, instance := range set.instances {
		if instance.id == id {
			return instance, true
		}
	}
	return Instance{}, false
}

// Route finds the route of a caller. A route that names the user takes precedence
// over one that matches all.
func (set *ObjectSet) Route(user, database string) (*Route, bool) {
	var fallback *Route
	for _, route := range set.byDatabase[database] {
		if route.user == user {
			return route, true
		}
		if route.user == "" && fallback == nil {
			fallback = route
		}
	}
	return fallback, fallback != nil
}

// WithLeaving returns the member marked as leaving.
func (member Member) WithLeaving() Member {
	member.leaving = true
	return member
}
