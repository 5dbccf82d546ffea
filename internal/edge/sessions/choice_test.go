package sessions

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// readers is an edge before an instance of three members, of which m0 is the primary.
type readers struct {
	edge    *Edge
	members []ebonywood.Member
	view    *ebonywood.InstanceView
}

func newReaders(t *testing.T) *readers {
	t.Helper()
	readers := &readers{edge: New(newServingPort())}
	for _, id := range []ebonywood.MemberID{"m0", "m1", "m2"} {
		readers.members = append(readers.members, ebonywood.NewMember(id, "a", string(id), 1, 4, false))
	}
	readers.setReadable(true, true, true)
	t.Cleanup(func() {
		readers.edge.group.Stop()
		require.NoError(t, readers.edge.group.Wait())
	})
	return readers
}

func (readers *readers) setReadable(readable ...bool) {
	var views []ebonywood.MemberView
	for i, member := range readers.members {
		views = append(views, ebonywood.NewMemberView(member, ebonywood.NewPosition(1, 1), 0, 0, readable[i]))
	}
	readers.view = ebonywood.NewInstanceView(db, 1, "m0", false, views, nil)
}

func (readers *readers) pool(index int) *pool { return readers.edge.pool(db, readers.members[index]) }

// shares returns how often each member is chosen, in percent.
func (readers *readers) shares(floor ebonywood.Position, recent bool, tried map[ebonywood.MemberID]bool, workspace string) [3]int {
	const rounds = 2000
	var counts [3]int
	for range rounds {
		chosen, _ := readers.edge.chooseReader(readers.view, floor, recent, tried, workspace, 20*time.Millisecond)
		for i, member := range readers.members {
			if chosen != nil && chosen.member.ID() == member.ID() {
				counts[i]++
			}
		}
	}
	for i := range counts {
		counts[i] = counts[i] * 100 / rounds
	}
	return counts
}

// TestReadsSpreadOverEqualReplicas guards against all proxies sending their reads to the first
// of several members that are equally loaded.
func TestReadsSpreadOverEqualReplicas(t *testing.T) {
	shares := newReaders(t).shares(ebonywood.Position{}, false, nil, "")
	require.Less(t, shares[0], 20, "the primary is kept free for writes")
	require.InDelta(t, shares[1], shares[2], 8)
}

// TestReadsLeaveASlowReplica guards against reads that wait at a member that is slower by six.
func TestReadsLeaveASlowReplica(t *testing.T) {
	readers := newReaders(t)
	for i := range readers.members {
		readers.pool(i).recordReadTime(20*time.Millisecond, 20*time.Millisecond)
	}
	for range 20 {
		readers.pool(1).recordReadTime(120*time.Millisecond, 20*time.Millisecond)
	}
	shares := readers.shares(ebonywood.Position{}, false, nil, "")
	require.Less(t, shares[1], 5)
	require.Greater(t, shares[2], 80)
}

// TestMembersThatReadsMustNotUse guards against reads at a member that was tried, is not
// readable, or lacks the floor.
func TestMembersThatReadsMustNotUse(t *testing.T) {
	readers := newReaders(t)
	require.Zero(t, readers.shares(ebonywood.Position{}, false, map[ebonywood.MemberID]bool{"m1": true}, "")[1])
	readers.setReadable(true, true, false)
	require.Zero(t, readers.shares(ebonywood.Position{}, false, nil, "")[2])
	floor := ebonywood.NewPosition(1, 9)
	readers.pool(1).recordPosition(ebonywood.NewPosition(1, 8))
	require.Equal(t, [3]int{100, 0, 0}, readers.shares(floor, true, nil, ""), "a recent write is read only where it is known to be")
	readers.setReadable(false, false, false)
	chosen, _ := readers.edge.chooseReader(readers.view, floor, false, nil, "", time.Millisecond)
	require.Nil(t, chosen)
}

// TestReadsUseOpenConnectionsOfTheWorkspace guards against connections that are opened, each at
// the cost of a slot, although another member has an idle one.
func TestReadsUseOpenConnectionsOfTheWorkspace(t *testing.T) {
	readers := newReaders(t)
	pool := readers.pool(2)
	pool.open++
	pool.idle = append(pool.idle, &pooledConn{pool: pool, workspace: "north", memberConn: &memberConn{}})
	require.Equal(t, [3]int{0, 0, 100}, readers.shares(ebonywood.Position{}, false, nil, "north"))
	require.Greater(t, readers.shares(ebonywood.Position{}, false, nil, "south")[1], 30)
}

// BenchmarkChooseReader measures the choice of a member, which every read pays.
func BenchmarkChooseReader(b *testing.B) {
	edge := New(newServingPort())
	var views []ebonywood.MemberView
	for _, id := range []ebonywood.MemberID{"m0", "m1", "m2"} {
		views = append(views, ebonywood.NewMemberView(ebonywood.NewMember(id, "a", string(id), 1, 4, false), ebonywood.NewPosition(1, 1), 0, 0, true))
	}
	view := ebonywood.NewInstanceView(db, 1, "m0", false, views, nil)
	b.ReportAllocs()
	for b.Loop() {
		edge.chooseReader(view, ebonywood.Position{}, false, nil, "", 20*time.Millisecond)
	}
}
