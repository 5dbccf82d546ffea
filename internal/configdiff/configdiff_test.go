package configdiff

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func routeOf(name, database string, timeout ebonywood.Millis, instance ebonywood.InstanceID) *ebonywood.Route {
	return ebonywood.NewRoute(name, "", database, []ebonywood.InstanceID{instance}, ebonywood.NewReadPolicy("p", 0, ebonywood.StaleRefuse),
		timeout, 1, false, false, ebonywood.Objective{})
}

func keysOf(keys ...string) (digests []ebonywood.KeyDigest) {
	for _, key := range keys {
		digests = append(digests, ebonywood.NewKeyDigest(key))
	}
	return digests
}

func setOf(instances []ebonywood.Instance, routes ...*ebonywood.Route) *ebonywood.ObjectSet {
	return ebonywood.NewObjectSet(1, "", nil, instances, routes)
}

// describe returns the changes, one a line.
func describe(difference *Difference) (lines []string) {
	for _, change := range difference.Changes() {
		line := change.Kind().String() + " " + change.Subject()
		for _, detail := range change.Details() {
			line += " | " + detail
		}
		for _, effect := range change.Effects() {
			line += " => " + effect
		}
		lines = append(lines, line)
	}
	return lines
}

// TestEqualSetsDoNotDiffer compares sets that were read separately.
func TestEqualSetsDoNotDiffer(t *testing.T) {
	build := func() *ebonywood.ObjectSet {
		return setOf([]ebonywood.Instance{ebonywood.NewInstance("db", []ebonywood.Member{ebonywood.NewMember("m", "a", "x", 1, 2, false)})},
			routeOf("shop", "d", 1000, "db")).WithWorkspaces([]*ebonywood.Workspace{ebonywood.NewWorkspace("a", keysOf("1"), []string{"u"}, 0)})
	}
	difference := Compare(build(), build(), ProductPlatform)
	require.True(t, difference.IsEmpty(), "%q", describe(difference))
}

// TestRoutesAndInstances checks what is said about changed, added and removed routes and
// instances, and for each product when sessions take them over.
func TestRoutesAndInstances(t *testing.T) {
	member := func(slots int, address string) ebonywood.Member {
		return ebonywood.NewMember("m0", "a", address, slots, 20, false)
	}
	before := setOf([]ebonywood.Instance{ebonywood.NewInstance("db", []ebonywood.Member{member(3, "x")}), ebonywood.NewInstance("old", nil)},
		routeOf("shop", "d", 1000, "db"), routeOf("gone", "g", 1000, "old"), routeOf("moved", "m", 1000, "db"), routeOf("same", "s", 1, "db"))
	after := setOf([]ebonywood.Instance{ebonywood.NewInstance("db", []ebonywood.Member{member(4, "x")}).WithLimits(9, 1), ebonywood.NewInstance("new", nil)},
		routeOf("shop", "d", 500, "db").WithPriority(0), routeOf("moved", "m2", 1000, "new"), routeOf("fresh", "f", 1000, "new"), routeOf("same", "s", 1, "db")).
		WithIdleTransactionTimeout(3000)
	difference := Compare(before, after, ProductPlatform)
	require.Equal(t, []string{
		"changed limits | idle transaction timeout (ms) 0 -> 3000 => open transactions are rolled back after the new time without a statement",
		"changed instance/db | connections of a member 0 -> 9 | synchronous replicas 0 -> 1 | member m0 slots 3 -> 4",
		"removed instance/old",
		"added instance/new",
		`changed route/shop | timeout (ms) 1000 -> 500 | priority 1 -> 0 => new sessions with database "d" use the new values, and open ones from their next operation on`,
		`removed route/gone => new sessions with database "g" are refused, and each operation of open ones`,
		`changed route/moved | database m -> m2 | instances db -> new => new sessions with database "m" are refused, and each operation of open ones`,
		`added route/fresh | serves database "f"`,
	}, describe(difference))
	require.Equal(t, []string{"fresh", "gone", "moved", "same", "shop"}, difference.Routes(), "routes of a changed instance are affected, too")
	require.Len(t, difference.Sessions(), 4)

	postgres := strings.Join(describe(Compare(before, after, ProductPostgres)), "\n")
	require.Contains(t, postgres, `new sessions with database "d" use the new values; open ones keep the old route`)
	require.Len(t, Compare(nil, after, ProductPlatform).Changes(), 7, "without a set in force everything is added")
}

// TestWorkspaces checks what is said about workspaces, and that keys appear as numbers only.
func TestWorkspaces(t *testing.T) {
	workspace := ebonywood.NewWorkspace
	before := setOf(nil).WithWorkspaces([]*ebonywood.Workspace{
		workspace("red", keysOf("k1", "k2", "k3"), nil, 0).WithRate(50, 10), workspace("blue", keysOf("k4"), []string{"web"}, 1),
		workspace("gone", keysOf("k5"), nil, 0), workspace("same", keysOf("k6"), nil, 0),
	})
	after := setOf(nil).WithWorkspaces([]*ebonywood.Workspace{
		workspace("red", keysOf("k1", "k7"), nil, 0).WithRate(20, 10), workspace("blue", keysOf("k4", "k2"), []string{"till"}, 1),
		workspace("same", keysOf("k6"), nil, 0), workspace("new", keysOf("k8"), nil, 2).WithRate(5, 1),
	})
	difference := Compare(before, after, ProductPlatform)
	require.Equal(t, []string{
		`changed workspace/red | rate (per s) 50 -> 20 | 1 key added | 2 keys removed => sessions of 1 key end, except on public routes => ` +
			`sessions of 1 key belong to ["blue"] from their next operation on => the limit of its operations changes`,
		`changed workspace/blue | 1 key added | 1 user added ["till"] | 1 user removed ["web"] => sessions of 1 user end, except on public routes`,
		"removed workspace/gone | 1 key removed => sessions of 1 key end, except on public routes",
		"added workspace/new | priority 0 -> 2 | rate (per s) 0 -> 5 | burst 0 -> 1 | 1 key added",
	}, describe(difference))
	require.Equal(t, []string{"blue", "gone", "new", "red"}, difference.Workspaces())
	for _, digest := range keysOf("k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8") {
		require.NotContains(t, strings.Join(describe(difference), "\n"), string(digest[:4]))
	}
}

// TestFirstAndLastWorkspaces checks what is said when callers begin to need a workspace, and when
// they need none any more.
func TestFirstAndLastWorkspaces(t *testing.T) {
	without := setOf([]ebonywood.Instance{ebonywood.NewInstance("db", nil)}, routeOf("shop", "d", 1000, "db"))
	with := without.WithWorkspaces([]*ebonywood.Workspace{ebonywood.NewWorkspace("red", keysOf("k"), nil, 0)})
	difference := Compare(without, with, ProductPlatform)
	require.Equal(t, []string{
		"added workspaces | callers need a workspace, except on public routes => sessions of callers without a workspace end between transactions, except on public routes",
		"added workspace/red | 1 key added",
	}, describe(difference))
	require.Equal(t, []string{"shop"}, difference.Routes())
	difference = Compare(with, without, ProductPlatform)
	require.Equal(t, []string{
		"removed workspaces | callers need no workspace any more => all callers are accepted",
		"removed workspace/red | 1 key removed",
	}, describe(difference))
	public := setOf(without.Instances(), without.Routes()[0].WithPublic(true)).WithWorkspaces(with.Workspaces())
	require.Contains(t, strings.Join(describe(Compare(public, with, ProductPlatform)), "\n"),
		"public true -> false => new sessions with database \"d\" use the new values, and open ones from their next operation on => sessions of callers without a workspace end")
}
