package ebonywood

import "crypto/sha256"

// KeyDigest identifies a caller's key without containing its text. The zero value stands
// for a caller without a key.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the SHA-256 digest of a key, and the zero value for an empty key.
func NewKeyDigest(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// IsZero reports whether the digest stands for a caller without a key.
func (digest KeyDigest) IsZero() bool { return digest == KeyDigest{} }

// Workspace is a party whose callers use the routes. It is identified by its name.
type Workspace struct {
	name     string
	keys     []KeyDigest
	users    []string
	priority int
	rate     float64
	burst    float64
}

// NewWorkspace returns a workspace. Callers belong to it by one of the keys, or by one of
// the start-up users in a front that authenticates users. For priority, 0 is the highest.
func NewWorkspace(name string, keys []KeyDigest, users []string, priority int) *Workspace {
	return &Workspace{name: name, keys: keys, users: users, priority: priority}
}

// WithRate returns the workspace with a limit for the whole fleet: rate is in operations
// per second, burst is how many operations may come at once. A rate of 0 sets no limit.
func (workspace *Workspace) WithRate(rate, burst float64) *Workspace {
	changed := *workspace
	changed.rate, changed.burst = rate, burst
	return &changed
}

// Name returns the workspace's name.
func (workspace *Workspace) Name() string { return workspace.name }

// Keys returns the digests of the workspace's keys; the slice must not be modified.
func (workspace *Workspace) Keys() []KeyDigest { return workspace.keys }

// Users returns the start-up users that belong to the workspace; the slice must not be
// modified.
func (workspace *Workspace) Users() []string { return workspace.users }

// Priority returns the workspace's priority; 0 is the highest.
func (workspace *Workspace) Priority() int { return workspace.priority }

// maxWeightShift bounds the weight of a workspace to 1<<maxWeightShift.
const maxWeightShift = 2

// Weight returns the workspace's share of scarce slots relative to other workspaces: 4, 2
// and 1 for the priorities 0, 1 and larger ones. So a more urgent workspace gets more, but
// can't stop the others.
func (workspace *Workspace) Weight() int {
	return 1 << max(0, maxWeightShift-max(0, workspace.priority))
}

// Rate returns how many operations per second the fleet runs for the workspace; 0 means
// no limit.
func (workspace *Workspace) Rate() float64 { return workspace.rate }

// Burst returns how many operations may come at once.
func (workspace *Workspace) Burst() float64 { return workspace.burst }

// IsLimited reports whether the workspace has a limit for the whole fleet.
func (workspace *Workspace) IsLimited() bool { return workspace.rate > 0 }

// WithWorkspaces returns the set with workspaces, whose names, keys and users are unique.
// From then on callers need a key or a user of a workspace, except on public routes.
func (set *ObjectSet) WithWorkspaces(workspaces []*Workspace) *ObjectSet {
	changed := *set
	changed.requiresWorkspace, changed.totalRate = true, 0
	changed.workspaces = workspaces
	changed.workspaceByName = make(map[string]*Workspace, len(workspaces))
	changed.workspaceByKey = map[KeyDigest]*Workspace{}
	changed.workspaceByUser = map[string]*Workspace{}
	for _, workspace := range workspaces {
		changed.totalRate += workspace.rate
		changed.workspaceByName[workspace.name] = workspace
		for _, key := range workspace.keys {
			changed.workspaceByKey[key] = workspace
		}
		for _, user := range workspace.users {
			changed.workspaceByUser[user] = workspace
		}
	}
	return &changed
}

// RequiresWorkspace reports whether callers of routes that are not public have to belong
// to a workspace.
func (set *ObjectSet) RequiresWorkspace() bool { return set.requiresWorkspace }

// Workspaces returns all workspaces; the slice must not be modified.
func (set *ObjectSet) Workspaces() []*Workspace { return set.workspaces }

// TotalRate returns the sum of the workspaces' rates, in operations per second.
func (set *ObjectSet) TotalRate() float64 { return set.totalRate }

// Workspace finds a workspace by its name.
func (set *ObjectSet) Workspace(name string) (*Workspace, bool) {
	workspace, found := set.workspaceByName[name]
	return workspace, found
}

// WorkspaceByKey finds the workspace to which a key belongs.
func (set *ObjectSet) WorkspaceByKey(key KeyDigest) (*Workspace, bool) {
	workspace, found := set.workspaceByKey[key]
	return workspace, found
}

// WorkspaceByUser finds the workspace to which a start-up user belongs.
func (set *ObjectSet) WorkspaceByUser(user string) (*Workspace, bool) {
	workspace, found := set.workspaceByUser[user]
	return workspace, found
}

// AccessByKey returns the workspace of a caller with a key, nil if it has none, and
// whether the caller may use the route.
func (set *ObjectSet) AccessByKey(route *Route, key KeyDigest) (workspace *Workspace, allowed bool) {
	workspace, found := set.workspaceByKey[key]
	return workspace, found || !set.requiresWorkspace || route.public
}

// AccessByUser is like AccessByKey for a caller that the front has authenticated as user.
func (set *ObjectSet) AccessByUser(route *Route, user string) (workspace *Workspace, allowed bool) {
	workspace, found := set.workspaceByUser[user]
	return workspace, found || !set.requiresWorkspace || route.public
}
