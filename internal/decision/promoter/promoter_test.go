package promoter

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
)

const instanceID = ebonywood.InstanceID("g/a")

// harness simulates the members of an instance, which reply to orders immediately unless
// they are unreachable.
type harness struct {
	promoter    *Promoter
	now         ebonywood.Millis
	unreachable map[ebonywood.MemberID]bool
	status      map[ebonywood.MemberID]ebonywood.Status
	promoted    []ebonywood.MemberID
	fences      int
	members     []ebonywood.Member
}

func member(number string) ebonywood.MemberID {
	return ebonywood.MemberID(string(instanceID) + "/m" + number)
}

// newHarness returns an instance of three members.
func newHarness(t *testing.T) *harness { return newHarnessOf(t, 3) }

// newHarnessOf returns an instance of that many members, of which the first is primary.
func newHarnessOf(t *testing.T, memberCount int) *harness {
	settings, err := settingsfile.Parse("test", []byte(
		"name: p\nzone: z\ncallerAddress: 10.0.0.1:1\nplatform: {addresses: [\"http://10.0.0.1:1\"]}\n"))
	require.NoError(t, err)
	harness := &harness{promoter: New(settings), unreachable: map[ebonywood.MemberID]bool{}, status: map[ebonywood.MemberID]ebonywood.Status{}}
	for i := range memberCount {
		number := strconv.Itoa(i)
		harness.members = append(harness.members, ebonywood.NewMember(member(number), "z", "10.0.0.2:1", 3, 20, false))
		role := ebonywood.RoleReplica
		if i == 0 {
			role = ebonywood.RolePrimary
		}
		at := ebonywood.NewPosition(1, uint64(100-i))
		harness.status[member(number)] = ebonywood.NewStatus(role, 1, at, at, 0)
	}
	harness.apply(1)
	harness.run(500)
	require.Equal(t, member("0"), harness.view().Primary())
	return harness
}

// apply puts an object set with the present members in force.
func (harness *harness) apply(generation uint64) {
	instances := []ebonywood.Instance{ebonywood.NewInstance(instanceID, harness.members)}
	harness.handle(ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(generation, "h", nil, instances, nil)))
}

func (harness *harness) view() *ebonywood.InstanceView {
	draft := ebonywood.NewDraft()
	harness.promoter.Contribute(draft)
	view, _ := draft.Publish().View(instanceID)
	return view
}

func (harness *harness) run(duration ebonywood.Millis) {
	for end := harness.now + duration; harness.now < end; {
		harness.now += 10
		harness.handle(ebonywood.Tick{})
	}
}

func (harness *harness) handle(event ebonywood.Event) {
	for _, action := range harness.promoter.Handle(harness.now, event) {
		if order, ok := action.(ebonywood.MemberOrder); ok {
			harness.reply(order)
		}
	}
}

// reply carries out an order. For an unreachable member it reports a failure over a
// newly opened connection.
func (harness *harness) reply(order ebonywood.MemberOrder) {
	id := order.Member()
	if harness.unreachable[id] {
		fault := ebonywood.NewFault(ebonywood.KindUnavailable, "no reply", "")
		harness.handle(ebonywood.NewMemberReply(order, harness.now, true, ebonywood.Status{}, fault))
		return
	}
	before := harness.status[id]
	switch order.Order() {
	case ebonywood.OrderFence:
		harness.fences++
		harness.status[id] = ebonywood.NewStatus(ebonywood.RoleReplica, order.Term(), before.LogEnd(), before.Applied(), before.UpstreamAge())
	case ebonywood.OrderPromote:
		harness.promoted = append(harness.promoted, id)
		at := ebonywood.NewPosition(order.Term(), before.LogEnd().Offset()+1)
		harness.status[id] = ebonywood.NewStatus(ebonywood.RolePrimary, order.Term(), at, at, 0)
	}
	harness.handle(ebonywood.NewMemberReply(order, harness.now, false, harness.status[id], nil))
}

// setUpstreamAge makes the replicas report that they last received from a primary
// the given time ago.
func (harness *harness) setUpstreamAge(age ebonywood.Millis) {
	for id, status := range harness.status {
		if status.Role() != ebonywood.RolePrimary {
			harness.status[id] = ebonywood.NewStatus(status.Role(), status.FencedTerm(), status.LogEnd(), status.Applied(), age)
		}
	}
}

func TestSilentPrimaryIsReplacedByTheMostAdvancedReplica(t *testing.T) {
	harness := newHarness(t)
	harness.unreachable[member("0")] = true
	harness.setUpstreamAge(1000)
	harness.run(800)
	require.Equal(t, []ebonywood.MemberID{member("1")}, harness.promoted)
	require.Equal(t, ebonywood.Term(2), harness.view().Term())
}

func TestShortPausePromotesNobody(t *testing.T) {
	harness := newHarness(t)
	harness.unreachable[member("0")] = true
	harness.setUpstreamAge(300)
	harness.run(300)
	harness.unreachable[member("0")] = false
	harness.setUpstreamAge(0)
	harness.run(2000)
	require.Empty(t, harness.promoted)
	require.Zero(t, harness.fences)
}

// TestFailoverIsDelayedWhileReplicasReachThePrimary makes the primary unreachable
// from this proxy only: its replicas still receive from it.
func TestFailoverIsDelayedWhileReplicasReachThePrimary(t *testing.T) {
	harness := newHarness(t)
	harness.unreachable[member("0")] = true
	harness.run(2500)
	require.Zero(t, harness.fences)
	harness.run(2000)
	require.NotEmpty(t, harness.promoted, "the delay is bounded")
}

func TestPrimaryCutFromItsPeersIsReplaced(t *testing.T) {
	harness := newHarness(t)
	harness.setUpstreamAge(1000)
	harness.run(800)
	require.Equal(t, []ebonywood.MemberID{member("1")}, harness.promoted[:1])
}

// TestOwnPauseCausesNoFailover pauses this process for a second, during which it
// receives no replies.
func TestOwnPauseCausesNoFailover(t *testing.T) {
	harness := newHarness(t)
	harness.now += 1000
	harness.run(1000)
	require.Zero(t, harness.fences)
}

// TestStarvedProcessCausesNoFailover lets this process run only every 90 ms, which is no
// pause, while it can't reach a primary that a replica still receives from. A primary
// that nobody hears is replaced all the same.
func TestStarvedProcessCausesNoFailover(t *testing.T) {
	const gap = 90
	harness := newHarness(t)
	harness.setUpstreamAge(300)
	harness.unreachable[member("0")] = true
	for range 45 {
		harness.now += gap
		harness.handle(ebonywood.Tick{})
	}
	require.Zero(t, harness.fences, "silent for 4.05 s, of which this process ran for 0.9 s")
	harness.setUpstreamAge(1000)
	harness.run(200)
	require.Equal(t, []ebonywood.MemberID{member("1")}, harness.promoted)
}

func TestMinorityPromotesNobody(t *testing.T) {
	harness := newHarness(t)
	harness.unreachable[member("0")], harness.unreachable[member("1")] = true, true
	harness.run(5000)
	require.Empty(t, harness.promoted)
}

func TestFormerPrimaryIsNotReadable(t *testing.T) {
	harness := newHarness(t)
	at := ebonywood.NewPosition(1, 100)
	harness.status[member("0")] = ebonywood.NewStatus(ebonywood.RoleFormerPrimary, 2, at, at, 0)
	harness.run(60)
	view, _ := harness.view().Member(member("0"))
	require.False(t, view.IsReadable())
}

// TestLateReplyDoesNotRevertStatus delivers the replies to two queries that were in
// flight together in the reverse of the order in which the member sent them.
func TestLateReplyDoesNotRevertStatus(t *testing.T) {
	harness := newHarness(t)
	observe := func(requestedAt ebonywood.Millis, term ebonywood.Term, applied uint64) ebonywood.Position {
		order := ebonywood.NewMemberOrder(instanceID, member("1"), ebonywood.OrderStatus, 0, 0)
		at := ebonywood.NewPosition(1, applied)
		status := ebonywood.NewStatus(ebonywood.RoleReplica, term, at, at, 0)
		harness.handle(ebonywood.NewMemberReply(order, requestedAt, false, status, nil))
		view, _ := harness.view().Member(member("1"))
		return view.Applied()
	}
	requestedAt := harness.now + 1
	harness.now += 5
	require.Equal(t, ebonywood.NewPosition(1, 210), observe(requestedAt, 1, 210))
	require.Equal(t, ebonywood.NewPosition(1, 210), observe(requestedAt+1, 1, 205), "both were in flight")
	require.Equal(t, ebonywood.NewPosition(1, 204), observe(requestedAt+1, 2, 204), "a later term can take records back")
	require.Equal(t, ebonywood.NewPosition(1, 204), observe(requestedAt+2, 1, 208), "an earlier term is older")
	harness.now += 5
	require.Equal(t, ebonywood.NewPosition(1, 150), observe(harness.now, 2, 150), "requested after the last reply")
}

// TestSwitchoverNeedsNoFailover replaces a leaving primary. The switchover promotes the
// most advanced replica without waiting for any phase to time out, whatever the number of
// members is.
func TestSwitchoverNeedsNoFailover(t *testing.T) {
	for _, memberCount := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(memberCount, " members"), func(t *testing.T) {
			harness := newHarnessOf(t, memberCount)
			for i := range harness.members {
				status := harness.status[harness.members[i].ID()]
				full := harness.status[member("0")].LogEnd()
				if i == 1 {
					harness.status[member("1")] = ebonywood.NewStatus(status.Role(), 1, full, full, 0)
				}
			}
			harness.members[0] = harness.members[0].WithLeaving()
			harness.apply(2)
			harness.run(10)
			require.True(t, harness.view().IsHoldingWrites(), "writes are held for the switchover")
			harness.handle(ebonywood.NewWritesDrained(instanceID))
			harness.run(10)
			require.Equal(t, []ebonywood.MemberID{member("1")}, harness.promoted)
			require.Equal(t, member("1"), harness.view().Primary())
		})
	}
}

// TestSwitchoverPromotesOnlyWithFencedMajority keeps two of five members unreachable
// during a switchover, so that the others are just a majority, and then a third one.
func TestSwitchoverPromotesOnlyWithFencedMajority(t *testing.T) {
	for _, unreachable := range []int{2, 3} {
		harness := newHarnessOf(t, 5)
		full := harness.status[member("0")].LogEnd()
		harness.status[member("1")] = ebonywood.NewStatus(ebonywood.RoleReplica, 1, full, full, 0)
		harness.members[0] = harness.members[0].WithLeaving()
		harness.apply(2)
		harness.run(10)
		for i := range unreachable {
			harness.unreachable[member(strconv.Itoa(4-i))] = true
		}
		harness.handle(ebonywood.NewWritesDrained(instanceID))
		harness.run(10)
		require.Equal(t, unreachable == 2, len(harness.promoted) == 1, "%d unreachable", unreachable)
	}
}
