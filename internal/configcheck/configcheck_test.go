package configcheck

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// routeOf returns a route to the instance "db" with a timeout, a latency objective and a greatest
// age.
func routeOf(name, user, database string, timeout, objective, age ebonywood.Millis) *ebonywood.Route {
	return ebonywood.NewRoute(name, user, database, []ebonywood.InstanceID{"db"}, ebonywood.NewReadPolicy("p", age, ebonywood.StaleRefuse),
		timeout, 1, false, false, ebonywood.NewObjective(0.95, objective))
}

// setOf returns a set with one instance that has 9 slots.
func setOf(routes ...*ebonywood.Route) *ebonywood.ObjectSet {
	var members []ebonywood.Member
	for _, id := range []ebonywood.MemberID{"m0", "m1", "m2"} {
		members = append(members, ebonywood.NewMember(id, "a", "10.0.0.1:1", 3, 20, false))
	}
	return ebonywood.NewObjectSet(1, "", nil, []ebonywood.Instance{ebonywood.NewInstance("db", members)}, routes)
}

// TestCheck checks the severity, path and message of each finding, and that a set without
// contradictions has none.
func TestCheck(t *testing.T) {
	good := routeOf("shop", "", "d", 1000, 200, 1500)
	key := []ebonywood.KeyDigest{ebonywood.NewKeyDigest("secret")}
	workspace := func(name string, rate, burst float64) *ebonywood.Workspace {
		return ebonywood.NewWorkspace(name, []ebonywood.KeyDigest{ebonywood.NewKeyDigest("key of " + name)}, nil, 0).WithRate(rate, burst)
	}
	for name, test := range map[string]struct {
		set  *ebonywood.ObjectSet
		want []string
	}{
		"good":                     {setOf(good).WithWorkspaces([]*ebonywood.Workspace{workspace("a", 500, 10)}), nil},
		"no workspaces":            {setOf(good), nil},
		"objective beyond timeout": {setOf(routeOf("shop", "", "d", 100, 200, 0)), []string{"warning route/shop: the timeout of 100 ms is below the latency objective of 200 ms"}},
		"objective beyond default": {setOf(routeOf("shop", "", "d", 0, 1001, 0)), []string{"warning route/shop: the timeout of 1000 ms is below the latency objective of 1001 ms"}},
		"staleness":                {setOf(routeOf("shop", "", "d", 1000, 0, 249)), []string{"warning route/shop: replicas can hardly prove an age of 249 ms, since the primary's position is known to 250 ms"}},
		"same match":               {setOf(good, routeOf("late", "", "d", 1000, 0, 0)), []string{`warning route/late: it can never match: the route "shop" before it has the same database and user`}},
		"same name":                {setOf(good, routeOf("shop", "", "e", 1000, 0, 0)), []string{"warning route/shop: the name is used by another route"}},
		"missing instance": {
			ebonywood.NewObjectSet(1, "", nil, nil, []*ebonywood.Route{good}),
			[]string{`error route/shop: the instance "db" does not exist`},
		},
		"unused instance": {setOf(), []string{"warning instance/db: no route uses it"}},
		"user without workspace": {
			setOf(routeOf("shop", "web", "d", 1000, 0, 0)).WithWorkspaces([]*ebonywood.Workspace{workspace("a", 0, 0)}),
			[]string{`warning route/shop: it can never match: its user "web" belongs to no workspace`},
		},
		"no caller": {setOf(good).WithWorkspaces(nil), []string{"warning route/shop: it can never match: no workspace has a key or user"}},
		"public":    {setOf(good.WithPublic(true)).WithWorkspaces(nil), nil},
		"empty workspace": {
			setOf(good.WithPublic(true)).WithWorkspaces([]*ebonywood.Workspace{ebonywood.NewWorkspace("a", nil, nil, 0)}),
			[]string{"warning workspace/a: no caller can belong to it, since it has no key or user"},
		},
		"burst without rate": {
			setOf(good).WithWorkspaces([]*ebonywood.Workspace{workspace("a", 0, 7)}),
			[]string{"warning workspace/a: burst 7 has no effect, since there is no rate"},
		},
		"shared key": {
			setOf(good).WithWorkspaces([]*ebonywood.Workspace{ebonywood.NewWorkspace("a", key, nil, 0), ebonywood.NewWorkspace("b", key, nil, 0)}),
			[]string{`error workspace/b: keys has an entry that workspace "a" has, too`},
		},
		"rate beyond the slots": {setOf(good).WithWorkspaces([]*ebonywood.Workspace{workspace("a", 2001, 1)}), []string{
			"warning workspace/a: the rate of 2001/s can't fit the 9 slots, which run at most 2000 operations per second",
			"warning workspaces: the rates add up to 2001/s, but the 9 slots run at most 2000 operations per second",
		}},
		"rates beyond the slots": {
			setOf(good).WithWorkspaces([]*ebonywood.Workspace{workspace("a", 1500, 1), workspace("b", 600, 1)}),
			[]string{"warning workspaces: the rates add up to 2100/s, but the 9 slots run at most 2000 operations per second"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, finding := range Check(test.set) {
				require.NotEmpty(t, finding.Remedy())
				got = append(got, finding.Severity().String()+" "+finding.Path()+": "+finding.Message())
			}
			require.Equal(t, test.want, got)
		})
	}
}

// TestSlotsFromElsewhere checks rates against slots that the set does not list, and that nothing
// is said about them while no slots are known.
func TestSlotsFromElsewhere(t *testing.T) {
	set := ebonywood.NewObjectSet(1, "", nil, []ebonywood.Instance{ebonywood.NewInstance("db", nil)}, []*ebonywood.Route{routeOf("shop", "", "d", 1000, 0, 0)}).
		WithWorkspaces([]*ebonywood.Workspace{ebonywood.NewWorkspace("a", nil, []string{"u"}, 0).WithRate(300, 1)})
	require.Empty(t, Check(set))
	require.Len(t, CheckWithSlots(set, 1), 2)
	document := NewDocument(set, nil, map[string]string{"workspace/a": "file:3"})
	require.Equal(t, "file:3: workspace/a", document.Findings(1)[0].Path())
}
