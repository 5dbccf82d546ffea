package promoter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
)

const instanceID = ebonywood.InstanceID("g/a")

// bench plays three members that answer orders at once unless they are mute.
type bench struct {
	promoter *Promoter
	now      ebonywood.Millis
	mute     map[ebonywood.MemberID]bool
	status   map[ebonywood.MemberID]ebonywood.Status
	promoted []ebonywood.MemberID
	fences   int
}

func member(number string) ebonywood.MemberID {
	return ebonywood.MemberID(string(instanceID) + "/m" + number)
}

func newBench(t *testing.T) *bench {
	settings, err := settingsfile.Parse("test", []byte(
		"name: p\nzone: z\ncallerAddress: 10.0.0.1:1\nplatform: {addresses: [\"http://10.0.0.1:1\"]}\n"))
	require.NoError(t, err)
	made := &bench{promoter: New(settings), mute: map[ebonywood.MemberID]bool{}, status: map[ebonywood.MemberID]ebonywood.Status{}}
	var members []ebonywood.Member
	for i, number := range []string{"0", "1", "2"} {
		members = append(members, ebonywood.NewMember(member(number), "z", "10.0.0.2:1", 3, 20, false))
		role := ebonywood.RoleReplica
		if i == 0 {
			role = ebonywood.RolePrimary
		}
		at := ebonywood.NewPosition(1, uint64(100-i))
		made.status[member(number)] = ebonywood.NewStatus(role, 1, at, at, 0)
	}
	set := ebonywood.NewObjectSet(1, "h", nil, []ebonywood.Instance{ebonywood.NewInstance(instanceID, members)}, nil)
	made.handle(ebonywood.NewObjectSetApplied(set))
	made.run(500)
	require.Equal(t, member("0"), made.view().Primary())
	return made
}

func (bench *bench) view() *ebonywood.InstanceView {
	draft := ebonywood.NewDraft()
	bench.promoter.Contribute(draft)
	view, _ := draft.Publish().View(instanceID)
	return view
}

func (bench *bench) run(span ebonywood.Millis) {
	for until := bench.now + span; bench.now < until; {
		bench.now += 10
		bench.handle(ebonywood.Tick{})
	}
}

func (bench *bench) handle(event ebonywood.Event) {
	for _, action := range bench.promoter.Handle(bench.now, event) {
		if order, ok := action.(ebonywood.MemberOrder); ok {
			bench.answer(order)
		}
	}
}

// answer carries out an order; a mute member makes it fail over a fresh
// connection.
func (bench *bench) answer(order ebonywood.MemberOrder) {
	id := order.Member()
	if bench.mute[id] {
		fault := ebonywood.NewFault(ebonywood.KindUnavailable, "no answer", "")
		bench.handle(ebonywood.NewMemberReply(order, bench.now, true, ebonywood.Status{}, fault))
		return
	}
	before := bench.status[id]
	switch order.Order() {
	case ebonywood.OrderFence:
		bench.fences++
		bench.status[id] = ebonywood.NewStatus(ebonywood.RoleReplica, order.Term(), before.LogEnd(), before.Applied(), before.UpstreamAge())
	case ebonywood.OrderPromote:
		bench.promoted = append(bench.promoted, id)
		at := ebonywood.NewPosition(order.Term(), before.LogEnd().Offset()+1)
		bench.status[id] = ebonywood.NewStatus(ebonywood.RolePrimary, order.Term(), at, at, 0)
	}
	bench.handle(ebonywood.NewMemberReply(order, bench.now, false, bench.status[id], nil))
}

// deafen makes the replicas report that they hear no primary.
func (bench *bench) deafen(age ebonywood.Millis) {
	for id, status := range bench.status {
		if status.Role() != ebonywood.RolePrimary {
			bench.status[id] = ebonywood.NewStatus(status.Role(), status.FencedTerm(), status.LogEnd(), status.Applied(), age)
		}
	}
}

func TestSilentPrimaryIsReplacedByTheGreatestLog(t *testing.T) {
	bench := newBench(t)
	bench.mute[member("0")] = true
	bench.deafen(1000)
	bench.run(800)
	require.Equal(t, []ebonywood.MemberID{member("1")}, bench.promoted)
	require.Equal(t, ebonywood.Term(2), bench.view().Term())
}

func TestShortPausePromotesNobody(t *testing.T) {
	bench := newBench(t)
	bench.mute[member("0")] = true
	bench.deafen(300)
	bench.run(300)
	bench.mute[member("0")] = false
	bench.deafen(0)
	bench.run(2000)
	require.Empty(t, bench.promoted)
	require.Zero(t, bench.fences)
}

// TestWitnessedPrimaryIsLeftAlone cuts the primary from this proxy only: its
// replicas still hear it.
func TestWitnessedPrimaryIsLeftAlone(t *testing.T) {
	bench := newBench(t)
	bench.mute[member("0")] = true
	bench.run(2500)
	require.Zero(t, bench.fences)
	bench.run(2000)
	require.NotEmpty(t, bench.promoted, "patience has an end")
}

func TestPrimaryCutFromItsPeersIsReplaced(t *testing.T) {
	bench := newBench(t)
	bench.deafen(1000)
	bench.run(800)
	require.Equal(t, []ebonywood.MemberID{member("1")}, bench.promoted[:1])
}

// TestOwnPauseProvesNothing lets this process stand still for a second.
func TestOwnPauseProvesNothing(t *testing.T) {
	bench := newBench(t)
	bench.now += 1000
	bench.run(1000)
	require.Zero(t, bench.fences)
}

func TestMinorityPromotesNobody(t *testing.T) {
	bench := newBench(t)
	bench.mute[member("0")], bench.mute[member("1")] = true, true
	bench.run(5000)
	require.Empty(t, bench.promoted)
}

func TestFormerPrimaryIsNotReadable(t *testing.T) {
	bench := newBench(t)
	at := ebonywood.NewPosition(1, 100)
	bench.status[member("0")] = ebonywood.NewStatus(ebonywood.RoleFormerPrimary, 2, at, at, 0)
	bench.run(60)
	view, _ := bench.view().Member(member("0"))
	require.False(t, view.IsReadable())
}

// TestLateAnswerDoesNotTurnBack delivers the answers to two questions that were
// under way together in the order in which they did not leave the member.
func TestLateAnswerDoesNotTurnBack(t *testing.T) {
	bench := newBench(t)
	observe := func(asked ebonywood.Millis, term ebonywood.Term, applied uint64) ebonywood.Position {
		order := ebonywood.NewMemberOrder(instanceID, member("1"), ebonywood.OrderStatus, 0, 0)
		at := ebonywood.NewPosition(1, applied)
		status := ebonywood.NewStatus(ebonywood.RoleReplica, term, at, at, 0)
		bench.handle(ebonywood.NewMemberReply(order, asked, false, status, nil))
		view, _ := bench.view().Member(member("1"))
		return view.Applied()
	}
	asked := bench.now + 1
	bench.now += 5
	require.Equal(t, ebonywood.NewPosition(1, 210), observe(asked, 1, 210))
	require.Equal(t, ebonywood.NewPosition(1, 210), observe(asked+1, 1, 205), "both were under way")
	require.Equal(t, ebonywood.NewPosition(1, 204), observe(asked+1, 2, 204), "a later term can take records back")
	require.Equal(t, ebonywood.NewPosition(1, 204), observe(asked+2, 1, 208), "an earlier term is older")
	bench.now += 5
	require.Equal(t, ebonywood.NewPosition(1, 150), observe(bench.now, 2, 150), "asked after the answer")
}
