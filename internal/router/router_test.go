package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

const (
	primaryID = ebonywood.MemberID("g/a/m0")
	replicaID = ebonywood.MemberID("g/a/m1")
)

func at(offset uint64) ebonywood.Position { return ebonywood.NewPosition(2, offset) }

// view returns an instance with proofs at 1000, 1100 and 1200 ms for positions 10, 11
// and 12.
func view(applied ebonywood.Position, readable bool) *ebonywood.InstanceView {
	members := []ebonywood.MemberView{
		ebonywood.NewMemberView(ebonywood.NewMember(primaryID, "z", "", 3, 20, false), at(12), 1200, 1200, true),
		ebonywood.NewMemberView(ebonywood.NewMember(replicaID, "z", "", 3, 20, false), applied, 1200, 1200, readable),
	}
	proofs := []ebonywood.Proof{
		ebonywood.NewProof(1000, at(10)), ebonywood.NewProof(1100, at(11)), ebonywood.NewProof(1200, at(12)),
	}
	return ebonywood.NewInstanceView("g/a", 2, primaryID, false, members, proofs)
}

func TestReplicas(t *testing.T) {
	cases := []struct {
		name     string
		applied  ebonywood.Position
		readable bool
		maxAge   ebonywood.Millis
		floor    ebonywood.Floor
		want     bool
	}{
		{"up to date, no floor", at(12), true, 200, ebonywood.Floor{}, true},
		{"age proved by an older round", at(11), true, 201, ebonywood.Floor{}, true},
		{"a round of the same millisecond may have begun before", at(11), true, 200, ebonywood.Floor{}, false},
		{"age not proved", at(10), true, 200, ebonywood.Floor{}, false},
		{"no proof recent enough", at(12), true, 50, ebonywood.Floor{}, false},
		{"own write missing", at(11), true, 500, ebonywood.NewFloor(at(12), 0, ""), false},
		{"own write applied", at(12), true, 500, ebonywood.NewFloor(at(12), 0, ""), true},
		{"read elsewhere after the proof", at(11), true, 500, ebonywood.NewFloor(at(0), 1150, ""), false},
		{"read elsewhere in the millisecond of the proof", at(11), true, 500, ebonywood.NewFloor(at(0), 1100, ""), false},
		{"read elsewhere a millisecond before the proof", at(11), true, 500, ebonywood.NewFloor(at(0), 1099, ""), true},
		{"read on the same member", at(11), true, 500, ebonywood.NewFloor(at(0), 1150, replicaID), true},
		{"a later term covers an earlier one", ebonywood.NewPosition(3, 5), true, 200, ebonywood.NewFloor(at(12), 0, ""), true},
		{"former primary", at(12), false, 500, ebonywood.Floor{}, false},
		{"policy allows the primary only", at(12), true, 0, ebonywood.Floor{}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			policy := ebonywood.NewReadPolicy("p", test.maxAge, ebonywood.StalePrimary)
			got := New(view(test.applied, test.readable), policy, test.floor, 1300).Replicas()
			require.Equal(t, test.want, len(got) == 1)
		})
	}
}

// TestNewerConnectionOverridesOlderStatus covers a replica that was rewound after its
// last status. Without the newer position, reads would go to a replica that lost the
// records.
func TestNewerConnectionOverridesOlderStatus(t *testing.T) {
	policy := ebonywood.NewReadPolicy("p", 200, ebonywood.StalePrimary)
	router := New(view(at(12), true), policy, ebonywood.Floor{}, 1300)
	require.True(t, router.AllowsOnConn(replicaID, 900, at(5)))
	require.False(t, router.AllowsOnConn(replicaID, 1250, at(5)))
}
