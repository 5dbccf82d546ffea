package succession

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

const (
	db     ebonywood.InstanceID = "db"
	first  ebonywood.MemberID   = "m0"
	second ebonywood.MemberID   = "m1"
	third  ebonywood.MemberID   = "m2"
	token                       = 7
	// aloneLimit is the preset span before the holder goes on alone.
	aloneLimit ebonywood.Millis = 1500
)

// driver drives the decision by its own clock.
type driver struct {
	t        *testing.T
	decision *Succession
	now      ebonywood.Millis
	actions  []ebonywood.Action
}

func listed(id ebonywood.MemberID, leaving bool) ebonywood.ListedMember {
	member := ebonywood.NewMember(id, "a", "10.0.0.1:"+string(id[1:]), 3, 20, leaving)
	return ebonywood.NewListedMember(member, db, id == first, 1)
}

// lead begins with three members of which the first leads, three proxies, and the
// duty here.
func lead(t *testing.T) *driver {
	drive := &driver{t: t, decision: New("p0", ebonywood.Limits{}), now: 1000}
	drive.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, false), listed(second, false), listed(third, false)}))
	drive.report(nil, nil)
	drive.send(ebonywood.NewDutyChanged(true, token))
	drive.send(ebonywood.NewPrimaryObserved(db, first, 1))
	require.Equal(t, first, drive.view().Primary())
	return drive
}

func (drive *driver) send(event ebonywood.Event) {
	drive.actions = append(drive.actions, drive.decision.Handle(drive.now, event)...)
}

// pass lets time pass in ticks.
func (drive *driver) pass(span ebonywood.Millis) {
	for until := drive.now + span; drive.now < until; {
		drive.now += 50
		drive.send(ebonywood.Tick{})
	}
}

// report has the other proxies suspect members.
func (drive *driver) report(others ...[]ebonywood.MemberID) {
	reports := []ebonywood.NodeReport{ebonywood.NewNodeReport(ebonywood.NewPeerView("p0", "a", ""), nil, false)}
	for i, suspects := range others {
		reports = append(reports, ebonywood.NewNodeReport(ebonywood.NewPeerView(fmt.Sprintf("p%d", i+1), "a", ""), suspects, false))
	}
	drive.send(ebonywood.NewNodesListed(reports))
}

func (drive *driver) view() *ebonywood.InstanceView {
	draft := ebonywood.NewDraft()
	drive.decision.Contribute(draft)
	view, found := draft.Publish().View(db)
	require.True(drive.t, found)
	return view
}

// answer tells positions to all who were asked, and takes the orders.
func (drive *driver) answer(received map[ebonywood.MemberID]uint64) {
	for id, offset := range received {
		standing := ebonywood.NewReplicationStatus(false, 1, ebonywood.NewPosition(1, offset), 0, 1)
		drive.send(ebonywood.NewReplicationStatusReceived(db, id, standing, nil))
	}
}

func (drive *driver) orders() []ebonywood.PromoteMember {
	var orders []ebonywood.PromoteMember
	for _, action := range drive.actions {
		if order, ok := action.(ebonywood.PromoteMember); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (drive *driver) renewals() int {
	count := 0
	for _, action := range drive.actions {
		if _, ok := action.(ebonywood.RenewToken); ok {
			count++
		}
	}
	return count
}

func TestMajorityOfReportsReplacesThePrimary(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	drive.pass(500)
	drive.answer(map[ebonywood.MemberID]uint64{second: 10, third: 12})
	drive.pass(500)
	require.Empty(t, drive.orders(), "the own silence may be this process's fault")
	require.Empty(t, drive.view().Primary())
	drive.report([]ebonywood.MemberID{first}, nil)
	drive.pass(200)
	drive.answer(map[ebonywood.MemberID]uint64{second: 10, third: 12})
	drive.pass(50)
	require.Equal(t, []ebonywood.PromoteMember{ebonywood.NewPromoteMember(db, third, token)}, drive.orders())
	drive.send(ebonywood.NewPrimaryObserved(db, third, 2))
	require.Equal(t, third, drive.view().Primary())
	drive.pass(2000)
	require.Len(t, drive.orders(), 1)
}

func TestOthersMajoritySufficesWithoutOwnSilence(t *testing.T) {
	drive := lead(t)
	drive.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	drive.pass(50)
	drive.answer(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	drive.pass(50)
	require.Len(t, drive.orders(), 1)
}

func TestNobodyButTheHolderOrders(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewDutyChanged(false, 0))
	drive.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	drive.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	drive.pass(3000)
	require.Empty(t, drive.orders())
}

func TestHolderGoesOnAloneWhileTheDirectoryIsAway(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewDirectoryReachabilityChanged(false))
	drive.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	drive.pass(aloneLimit - 100)
	require.Empty(t, drive.orders())
	drive.pass(300)
	drive.answer(map[ebonywood.MemberID]uint64{second: 3})
	drive.pass(standingsSpan + 50)
	require.Len(t, drive.orders(), 1)
}

func TestCutOffHolderOrdersNothing(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewDirectoryReachabilityChanged(false))
	for _, id := range []ebonywood.MemberID{first, second, third} {
		drive.send(ebonywood.NewMemberReachabilityChanged(db, id, false))
	}
	drive.pass(5000)
	require.Empty(t, drive.orders())
	draft := ebonywood.NewDraft()
	drive.decision.Contribute(draft)
	require.True(t, draft.Publish().IsIsolated())
}

func TestDoubtfulOrderIsFollowedByAGreaterToken(t *testing.T) {
	drive := lead(t)
	drive.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	drive.pass(50)
	drive.answer(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	drive.pass(50)
	order := drive.orders()[0]
	drive.send(ebonywood.NewPromoteEnded(order, ebonywood.NewFault(ebonywood.KindUnavailable, "no answer", "")))
	drive.pass(leadSpan + 50)
	require.Equal(t, 1, drive.renewals())
	drive.send(ebonywood.NewDutyChanged(true, token+1))
	drive.pass(100)
	drive.answer(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	drive.pass(100)
	require.Equal(t, int64(token+1), drive.orders()[1].Token())
}

func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	drive := lead(t)
	drive.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	drive.pass(50)
	drive.answer(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	drive.pass(50)
	drive.send(ebonywood.NewPromoteEnded(drive.orders()[0], ebonywood.NewFault(ebonywood.KindConflict, "fenced", "")))
	require.Equal(t, 1, drive.renewals())
	for range 10 {
		drive.pass(500)
		drive.answer(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	}
	require.Len(t, drive.orders(), 1)
}

func TestLeavingPrimaryIsReplacedByOneThatStays(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, true), listed(second, true), listed(third, false)}))
	drive.pass(50)
	drive.answer(map[ebonywood.MemberID]uint64{third: 1})
	drive.pass(50)
	require.Equal(t, third, drive.orders()[0].Member())
	require.Equal(t, first, drive.view().Primary(), "it serves until its successor leads")
}

func TestPrimaryMissingFromTheList(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(second, false), listed(third, false)}))
	drive.pass(goneSpan - 100)
	require.Empty(t, drive.orders())
	drive.pass(300)
	drive.answer(map[ebonywood.MemberID]uint64{second: 2, third: 1})
	drive.pass(50)
	require.Equal(t, second, drive.orders()[0].Member())
}

// TestSyncReplicasNeedEveryPossibleHolder: with one synchronous replica of two, the
// commit may lie on either.
func TestSyncReplicasNeedEveryPossibleHolder(t *testing.T) {
	drive := lead(t)
	instance := ebonywood.NewInstance(db, nil).WithLimits(20, 1)
	drive.send(ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(1, "", nil, []ebonywood.Instance{instance}, nil)))
	drive.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	drive.pass(50)
	drive.answer(map[ebonywood.MemberID]uint64{second: 5})
	drive.pass(2000)
	require.Empty(t, drive.orders())
	drive.answer(map[ebonywood.MemberID]uint64{second: 5, third: 6})
	drive.pass(50)
	require.Equal(t, third, drive.orders()[0].Member())
}

func TestOldTermChangesNothing(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewPrimaryObserved(db, second, 3))
	drive.send(ebonywood.NewPrimaryObserved(db, first, 1))
	require.Equal(t, second, drive.view().Primary())
	drive.send(ebonywood.NewNonPrimaryObserved(db, first))
	require.Equal(t, second, drive.view().Primary())
	drive.send(ebonywood.NewNonPrimaryObserved(db, second))
	require.Empty(t, drive.view().Primary())
	require.Positive(t, drive.view().PrimaryLostAt())
}

// serve has other proxies serve the instance.
func (drive *driver) serve(names ...string) []ebonywood.PeerView {
	var servers []ebonywood.PeerView
	for _, name := range names {
		servers = append(servers, ebonywood.NewPeerView(name, "a", name))
	}
	owners := ebonywood.NewOwners("p0", map[ebonywood.InstanceID][]ebonywood.PeerView{db: servers}, nil)
	drive.send(ebonywood.NewOwnersChanged(owners))
	return servers
}

// TestOnlyServersVote: the others have no connection to the members and can't know.
func TestOnlyServersVote(t *testing.T) {
	drive := lead(t)
	drive.serve("p0", "p1", "p2")
	suspects := []ebonywood.MemberID{first}
	drive.report(suspects, nil, suspects, suspects, suspects)
	drive.pass(1000)
	require.Empty(t, drive.orders(), "one of three servers suspects it")
	drive.report(suspects, suspects, nil, nil, nil)
	drive.pass(50)
	drive.answer(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	drive.pass(50)
	require.Len(t, drive.orders(), 1)
}

// TestNewHolderTakesNobodysSilenceForADeath: it watched nothing before, so it first
// finds out who leads.
func TestNewHolderTakesNobodysSilenceForADeath(t *testing.T) {
	drive := lead(t)
	drive.serve("p1", "p2")
	drive.send(ebonywood.NewDutyChanged(false, 0))
	drive.pass(60_000)
	drive.send(ebonywood.NewDutyChanged(true, token))
	drive.pass(1000)
	require.Empty(t, drive.orders())
	drive.send(ebonywood.NewPrimaryObserved(db, second, 4))
	drive.pass(5000)
	require.Empty(t, drive.orders())
	require.Equal(t, second, drive.view().Primary())
}

// TestNewHolderActsOnTheServersReports of a primary that it never reached itself.
func TestNewHolderActsOnTheServersReports(t *testing.T) {
	drive := lead(t)
	drive.serve("p1", "p2")
	drive.send(ebonywood.NewDutyChanged(false, 0))
	drive.pass(10_000)
	drive.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	drive.send(ebonywood.NewDutyChanged(true, token))
	drive.pass(50)
	drive.answer(map[ebonywood.MemberID]uint64{second: 1, third: 2})
	drive.pass(250)
	require.Len(t, drive.orders(), 1)
	require.Equal(t, third, drive.orders()[0].Member())
}

// TestWithoutServersAndDirectoryIsIsolated: a proxy whose callers' work can go
// nowhere sends them elsewhere; with either of the two it does not.
func TestWithoutServersAndDirectoryIsIsolated(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewDutyChanged(false, 0))
	isolated := func() bool {
		drive.pass(1500)
		draft := ebonywood.NewDraft()
		drive.decision.Contribute(draft)
		return draft.Publish().IsIsolated()
	}
	servers := drive.serve("p1", "p2")
	drive.send(ebonywood.NewDirectoryReachabilityChanged(false))
	require.False(t, isolated())
	drive.send(ebonywood.NewPeerReachabilityChanged(servers[0], false))
	require.False(t, isolated())
	drive.send(ebonywood.NewPeerReachabilityChanged(servers[1], false))
	require.True(t, isolated())
	drive.send(ebonywood.NewDirectoryReachabilityChanged(true))
	require.False(t, isolated())
	drive.send(ebonywood.NewDirectoryReachabilityChanged(false))
	drive.send(ebonywood.NewPeerReachabilityChanged(servers[0], true))
	require.False(t, isolated())
}

// TestNewServerSuspectsWhoClaimsToLead although it never reached that member: after a
// split those who did may be cut off from the directory.
func TestNewServerSuspectsWhoClaimsToLead(t *testing.T) {
	drive := lead(t)
	drive.send(ebonywood.NewDutyChanged(false, 0))
	drive.serve("p1", "p2")
	drive.pass(5000)
	drive.actions = nil
	drive.serve("p0", "p2")
	drive.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	require.Contains(t, drive.actions, ebonywood.Action(ebonywood.NewAnnounceSuspects([]ebonywood.MemberID{first})))
	drive.actions = nil
	drive.serve("p1", "p2")
	drive.pass(50)
	require.Contains(t, drive.actions, ebonywood.Action(ebonywood.NewAnnounceSuspects(nil)), "it serves no more")
}
