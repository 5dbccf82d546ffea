package ebonywood

// Member is one database server of an instance.
type Member struct {
	id          MemberID
	zone        string
	address     string
	slots       int
	connections int
	leaving     bool
}

// NewMember makes a member. slots is how many statements it runs at once,
// connections how many it accepts at all.
func NewMember(id MemberID, zone, address string, slots, connections int, leaving bool) Member {
	return Member{id: id, zone: zone, address: address, slots: slots, connections: connections, leaving: leaving}
}

// ID names the member.
func (member Member) ID() MemberID { return member.id }

// Zone is the member's availability zone.
func (member Member) Zone() string { return member.zone }

// Address is its IP number and port.
func (member Member) Address() string { return member.address }

// Slots is how many statements it runs at once.
func (member Member) Slots() int { return member.slots }

// Connections is how many connections it accepts.
func (member Member) MaxConnections() int { return member.connections }

// IsLeaving reports whether its host is on its way out.
func (member Member) IsLeaving() bool { return member.leaving }

// Instance is one primary with its replicas; who is primary is not configured.
type Instance struct {
	id           InstanceID
	members      []Member
	connections  int
	syncReplicas int
}

// NewInstance makes an instance.
func NewInstance(id InstanceID, members []Member) Instance {
	return Instance{id: id, members: members}
}

// WithLimits returns the instance with what holds for each of its members:
// connections is how many each accepts, syncReplicas how many replicas hold a
// commit before it is acknowledged.
func (instance Instance) WithLimits(connections, syncReplicas int) Instance {
	instance.connections = connections
	instance.syncReplicas = syncReplicas
	return instance
}

// Connections is how many connections each member accepts; 0 if each member
// says so itself.
func (instance Instance) MaxConnections() int { return instance.connections }

// SyncReplicas is how many replicas hold a commit before it is acknowledged.
func (instance Instance) SyncReplicas() int { return instance.syncReplicas }

// ID names the instance.
func (instance Instance) ID() InstanceID { return instance.id }

// Members are the members in the order of the object; not to be changed.
func (instance Instance) Members() []Member { return instance.members }

// Stale says what happens to a read whose age can't be proved.
type StaleAction uint8

// The ways to treat a read whose age can't be proved.
const (
	// StalePrimary sends the read to the primary.
	StalePrimary StaleAction = iota
	// StaleWait waits for a replica until the deadline.
	StaleWait
	// StaleRefuse refuses the read at once.
	StaleRefuse
)

// ReadPolicy states how old the data of a read may be.
type ReadPolicy struct {
	name   string
	maxAge Millis
	stale  StaleAction
}

// NewReadPolicy makes a policy. A maxAge of 0 allows the primary only.
func NewReadPolicy(name string, maxAge Millis, stale StaleAction) *ReadPolicy {
	return &ReadPolicy{name: name, maxAge: maxAge, stale: stale}
}

// Name names the policy.
func (policy *ReadPolicy) Name() string { return policy.name }

// MaxAge is the greatest acceptable age.
func (policy *ReadPolicy) MaxAge() Millis { return policy.maxAge }

// Stale says what happens when no member proves the age.
func (policy *ReadPolicy) StaleAction() StaleAction { return policy.stale }

// Objective is the service level that a route promises.
type Objective struct {
	share   float64
	latency Millis
}

// NewObjective makes an objective: the share (0 to 1) of requests that are to be
// answered within latency.
func NewObjective(share float64, latency Millis) Objective {
	return Objective{share: share, latency: latency}
}

// Share is the promised share of requests, 0 to 1; 0 promises nothing.
func (objective Objective) Share() float64 { return objective.share }

// Latency is the time within which they are answered.
func (objective Objective) Latency() Millis { return objective.latency }

// Route binds callers to a database group and its policies.
type Route struct {
	name       string
	user       string
	database   string
	instances  []InstanceID
	policy     *ReadPolicy
	deadline   Millis
	weight     int
	paid       bool
	repeatable bool
	objective  Objective
}

// NewRoute makes a route for callers that start up with user and database; an
// empty user matches all. repeatable promises that every statement on the route
// may be run twice.
func NewRoute(
	name, user, database string, instances []InstanceID, policy *ReadPolicy,
	deadline Millis, weight int, paid, repeatable bool, objective Objective,
) *Route {
	return &Route{
		name: name, user: user, database: database, instances: instances, policy: policy,
		deadline: deadline, weight: weight, paid: paid, repeatable: repeatable, objective: objective,
	}
}

// Name names the route.
func (route *Route) Name() string { return route.name }

// User is the startup user that the route matches; empty matches all.
func (route *Route) User() string { return route.user }

// Database is the startup database that the route matches.
func (route *Route) Database() string { return route.database }

// Instances are the instances of the route's group, in the group's order.
func (route *Route) Instances() []InstanceID { return route.instances }

// Policy is the read policy.
func (route *Route) Policy() *ReadPolicy { return route.policy }

// Deadline is how long a request may take in all.
func (route *Route) Timeout() Millis { return route.deadline }

// Weight is the route's share of the slots against other routes.
func (route *Route) Weight() int { return route.weight }

// IsPaid reports whether the route's work goes before browsing.
func (route *Route) IsPaid() bool { return route.paid }

// IsRepeatable reports whether its statements may be run twice.
func (route *Route) IsRepeatable() bool { return route.repeatable }

// Objective is the promised service level.
func (route *Route) Objective() Objective { return route.objective }

// ObjectSet is a whole checked configuration. Sets are ordered by generation.
type ObjectSet struct {
	generation uint64
	hash       string
	content    []byte
	instances  []Instance
	routes     []*Route
	// byDatabase finds the routes of a database.
	byDatabase map[string][]*Route
	txIdle     Millis
}

// NewObjectSet makes a set. content is the published text and hash its name in
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

// WithTransactionIdle returns the set with the span after which an idle
// transaction is rolled back; 0 never does.
func (set *ObjectSet) WithIdleTransactionTimeout(span Millis) *ObjectSet {
	changed := *set
	changed.txIdle = span
	return &changed
}

// TransactionIdle is the span after which an idle transaction is rolled back.
func (set *ObjectSet) IdleTransactionTimeout() Millis { return set.txIdle }

// Generation orders the accepted sets.
func (set *ObjectSet) Generation() uint64 { return set.generation }

// Hash names the content.
func (set *ObjectSet) Hash() string { return set.hash }

// Content is the published text; not to be changed.
func (set *ObjectSet) Content() []byte { return set.content }

// Instances are all instances of all groups.
func (set *ObjectSet) Instances() []Instance { return set.instances }

// Routes are the routes in the order of the files.
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

// Route finds the route of a caller: one that names the user goes before one
// that matches all.
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
