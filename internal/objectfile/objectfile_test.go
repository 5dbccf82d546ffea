package objectfile

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

const good = `kind: databaseGroup
name: mend-db
instances:
- name: a
  members:
  - {name: m0, zone: fukuoka, address: "10.0.0.1:5432"}
  - {name: m1, zone: kumamoto, address: "10.0.0.2:5432"}
  - {name: m2, zone: kagoshima, address: "10.0.0.3:5432"}
---
kind: readPolicy
name: catalogue
maxAge: 2s
---
kind: route
name: shop
database: mend
group: mend-db
readPolicy: catalogue
deadline: 2s
objective: {share: 0.99, latency: 500ms}
---
kind: workspace
name: repair-shop
users: [web, till]
rate: 50
burst: 10
---
kind: workspace
name: office
users: [clerk]
priority: 1
`

func parse(text string) (*ebonywood.ObjectSet, error) {
	return Parse(7, Join([]string{"set.yaml"}, [][]byte{[]byte(text)}))
}

func TestParseWholeSet(t *testing.T) {
	set, err := parse(good)
	require.NoError(t, err)
	require.Equal(t, uint64(7), set.Generation())
	route, found := set.Route("anybody", "mend")
	require.True(t, found)
	require.Equal(t, ebonywood.Millis(2000), route.Policy().MaxAge())
	require.Equal(t, []ebonywood.InstanceID{"mend-db/a"}, route.Instances())
}

// TestFaults checks that each fault names its line, its object and its remedy.
func TestFaults(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "maxAge: 2s", "maxAge: 2s\nmaxLag: 1s", "set.yaml:13: readPolicy/catalogue: maxLag is an unknown field"},
		{"duration without unit", "maxAge: 2s", "maxAge: 2", `set.yaml:12: readPolicy/catalogue: maxAge "2" is not a duration`},
		{"missing group", "group: mend-db", "group: mend", `set.yaml:17: route/shop: group "mend" is not in the set`},
		{"missing policy", "readPolicy: catalogue", "readPolicy: fresh", `readPolicy "fresh" is not in the set; publish the readPolicy`},
		{"host name", "10.0.0.2:5432", "db2:5432", `mend-db/a/m1: address "db2:5432" is not an IP address`},
		{"address twice", "10.0.0.2:5432", "10.0.0.1:5432", "address is used by databaseGroup/mend-db/a/m0"},
		{"two members", "  - {name: m2, zone: kagoshima, address: \"10.0.0.3:5432\"}\n", "", "members has 2 entries; list an odd number"},
		{"objective beyond deadline", "latency: 500ms", "latency: 5s", "objective.latency is beyond the route's deadline"},
		{"unknown kind", "kind: readPolicy", "kind: policy", `kind "policy" is unknown; use databaseGroup`},
		{"user of two workspaces", "[clerk]", "\n- clerk\n- till", `set.yaml:32: workspace/office: users has an entry that workspace "repair-shop" has, too: "till"; leave it`},
		{"user twice", "[clerk]", "[clerk, clerk]", `set.yaml:30: workspace/office: users has an entry twice: "clerk"; list it once`},
		{"empty user", "[clerk]", `[""]`, "set.yaml:30: workspace/office: users has an empty user; remove it"},
		{"workspace name twice", "name: office", "name: repair-shop", "set.yaml:28: workspace/repair-shop: name is used by the object at set.yaml:22"},
		{"negative rate", "rate: 50", "rate: -50", "set.yaml:25: workspace/repair-shop: rate -50 is negative; write 0 or more"},
		{"negative burst", "burst: 10", "burst: -1", "set.yaml:26: workspace/repair-shop: burst -1 is negative"},
		{"negative priority", "priority: 1", "priority: -1", "set.yaml:31: workspace/office: priority -1 is negative"},
		{"burst without rate", "rate: 50", "rate: 0", "set.yaml:26: workspace/repair-shop: burst 10 has no effect, since there is no rate; set a rate"},
		{"rate that is no number", "rate: 50", "rate: NaN", `set.yaml:25: workspace/repair-shop: rate "NaN" is not a number`},
		{"key in the file", "rate: 50", "keys: [a]", "set.yaml:25: workspace/repair-shop: keys is an unknown field"},
		{"route priority", "deadline: 2s", "deadline: 2s\npriority: -1", `set.yaml:20: route/shop: priority "-1" is not a number of at least 0`},
		{"share of 1", "share: 0.99", "share: 1", `share "1" is not a share between 0 and 1`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := parse(strings.Replace(good, test.old, test.new, 1))
			require.ErrorContains(t, err, test.want)
			require.Equal(t, ebonywood.KindBadInput, ebonywood.FaultOf(err).Kind())
		})
	}
}

// TestWorkspaces checks the objects of workspaces and the fields of routes that concern them.
func TestWorkspaces(t *testing.T) {
	set, err := parse(strings.Replace(good, "deadline: 2s", "deadline: 2s\npriority: 2\npublic: true", 1))
	require.NoError(t, err)
	require.True(t, set.RequiresWorkspace())
	workspace, found := set.Workspace("repair-shop")
	require.True(t, found)
	require.Equal(t, []string{"web", "till"}, workspace.Users())
	require.InDelta(t, 50, workspace.Rate(), 0)
	require.InDelta(t, 10, workspace.Burst(), 0)
	route := set.Routes()[0]
	require.Equal(t, 2, route.Priority())
	require.True(t, route.IsPublic())
	owner, allowed := set.AccessByUser(route, "clerk")
	require.True(t, allowed)
	require.Equal(t, "office", owner.Name())

	set, err = parse(good[:strings.Index(good, "---\nkind: workspace")])
	require.NoError(t, err)
	require.False(t, set.RequiresWorkspace(), "without workspaces callers need none")
	require.Equal(t, 1, set.Routes()[0].Priority())
}

func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("maxAge: 2s", "maxAge: 2", "group: mend-db", "group: x", "0.99", "7").Replace(good)
	_, err := parse(text)
	require.Len(t, strings.Split(ebonywood.FaultOf(err).Message(), "\n"), 3)
}

// TestSyntaxFaultNamesTheFile checks that the fault names the right one of two joined
// files, of which only the second has a syntax error.
func TestSyntaxFaultNamesTheFile(t *testing.T) {
	_, err := Parse(7, Join([]string{"set.yaml", "broken.yaml"}, [][]byte{[]byte(good), []byte("kind: route\nname: [x\n")}))
	require.ErrorContains(t, err, "broken.yaml:")
}

// TestSyntaxFaultsNameTheirFile breaks the second of three files in ways for which the
// YAML library states no line, and the third in one for which it does.
func TestSyntaxFaultsNameTheirFile(t *testing.T) {
	for _, broken := range []string{"name: \xff\n", "name: a\x01b\n", "name: *unknown\n"} {
		_, err := Parse(1, Join([]string{"first.yaml", "second.yaml", "third.yaml"},
			[][]byte{[]byte(good), []byte(broken), []byte("kind: route\n  name: a\n")}))
		require.Error(t, err)
		faults := strings.Split(ebonywood.FaultOf(err).Message(), "\n")
		require.Len(t, faults, 2, "%q: %v", broken, faults)
		require.True(t, strings.HasPrefix(faults[0], "second.yaml: yaml: "), faults[0])
		require.True(t, strings.HasPrefix(faults[1], "third.yaml:2: "), faults[1])
	}
}

// TestLinesCountFromTheirFile puts a fault into the second of two files.
func TestLinesCountFromTheirFile(t *testing.T) {
	_, err := Parse(1, Join([]string{"first.yaml", "second.yaml"},
		[][]byte{[]byte(good), []byte("kind: readPolicy\nname: other\nmaxLag: 1s\n")}))
	require.ErrorContains(t, err, "second.yaml:3: readPolicy/other: maxLag is an unknown field")
}
