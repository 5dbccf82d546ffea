package workspacecheck

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func digests(keys ...string) (digests []ebonywood.KeyDigest) {
	for _, key := range keys {
		digests = append(digests, ebonywood.NewKeyDigest(key))
	}
	return digests
}

// TestCheck checks the place, severity and message of each fault.
func TestCheck(t *testing.T) {
	workspace := ebonywood.NewWorkspace
	for name, test := range map[string]struct {
		workspaces []*ebonywood.Workspace
		want       []string
	}{
		"none":            {nil, nil},
		"good":            {[]*ebonywood.Workspace{workspace("a", digests("1", "2"), []string{"u"}, 0).WithRate(5, 1), workspace("b", digests("3"), []string{"v"}, 1)}, nil},
		"name twice":      {[]*ebonywood.Workspace{workspace("a", nil, nil, 0), workspace("a", nil, nil, 0)}, []string{`1 name 0 error "a" is used by another workspace`}},
		"no name":         {[]*ebonywood.Workspace{workspace("", nil, nil, 0)}, []string{`0 name 0 error is missing`}},
		"key shared":      {[]*ebonywood.Workspace{workspace("a", digests("1"), nil, 0), workspace("b", digests("2", "1"), nil, 0)}, []string{`1 keys 1 error has an entry that workspace "a" has, too`}},
		"key twice":       {[]*ebonywood.Workspace{workspace("a", digests("1", "1"), nil, 0)}, []string{`0 keys 1 warning has an entry twice`}},
		"empty key":       {[]*ebonywood.Workspace{workspace("a", digests("1", ""), nil, 0)}, []string{`0 keys 1 error has an empty key`}},
		"user shared":     {[]*ebonywood.Workspace{workspace("a", nil, []string{"u"}, 0), workspace("b", nil, []string{"u"}, 0)}, []string{`1 users 0 error has an entry that workspace "a" has, too: "u"`}},
		"negative values": {[]*ebonywood.Workspace{workspace("a", nil, nil, -1).WithRate(-2, -3)}, []string{`0 priority 0 error -1 is negative`, `0 rate 0 error -2 is negative`, `0 burst 0 error -3 is negative`}},
		"burst alone":     {[]*ebonywood.Workspace{workspace("a", nil, nil, 0).WithRate(0, 3)}, []string{`0 burst 0 warning 3 has no effect, since there is no rate`}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, fault := range Check(test.workspaces) {
				severity := "error"
				if fault.IsWarning() {
					severity = "warning"
				}
				require.NotEmpty(t, fault.Remedy())
				got = append(got, fmt.Sprintf("%d %s %d %s %s", fault.Index(), fault.Field(), fault.Entry(), severity, fault.Message()))
			}
			require.Equal(t, test.want, got)
		})
	}
}
