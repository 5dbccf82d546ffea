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
	// confirmLossAlone is the default of the limit of that name.
	confirmLossAlone ebonywood.Millis = 1500
)

// testDriver feeds events to the decision on a simulated clock and collects the
// resulting actions.
type testDriver struct {
	t        *testing.T
	decision *Succession
	now      ebonywood.Millis
	actions  []ebonywood.Action
}

func listed(id ebonywood.MemberID, leaving bool) ebonywood.ListedMember {
	member := ebonywood.NewMember(id, "a", "10.0.0.1:"+string(id[1:]), 3, 20, leaving)
	return ebonywood.NewListedMember(member, db, id == first, ebonywood.NewRevision(1, 1))
}

// newDriver starts with three members of which the first is primary, and three
// proxies of which this one holds the duty.
func newDriver(t *testing.T) *testDriver {
	driver := &testDriver{t: t, decision: New("p0", ebonywood.Limits{}), now: 1000}
	driver.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, false), listed(second, false), listed(third, false)}))
	driver.report(nil, nil)
	driver.send(ebonywood.NewDutyChanged(true, token))
	driver.observe(first, 1, 1)
	require.Equal(t, first, driver.view().Primary())
	return driver
}

func (driver *testDriver) send(event ebonywood.Event) {
	driver.actions = append(driver.actions, driver.decision.Handle(driver.now, event)...)
}

// observe reports that a member accepted a transaction that is sent now; its log ends at
// the position.
func (driver *testDriver) observe(member ebonywood.MemberID, term ebonywood.Term, offset uint64) {
	driver.send(ebonywood.NewPrimaryObserved(db, member, ebonywood.NewPosition(term, offset), driver.now))
}

// advance moves the clock on by a duration, with a tick every 50 ms.
func (driver *testDriver) advance(duration ebonywood.Millis) {
	for end := driver.now + duration; driver.now < end; {
		driver.now += 50
		driver.send(ebonywood.Tick{})
	}
}

// report sets the reports of the other proxies: one list of suspects for each.
func (driver *testDriver) report(others ...[]ebonywood.MemberID) {
	reports := []ebonywood.ProxyReport{ebonywood.NewProxyReport(ebonywood.NewPeerView("p0", "a", ""), nil, false)}
	for i, suspects := range others {
		reports = append(reports, ebonywood.NewProxyReport(ebonywood.NewPeerView(fmt.Sprintf("p%d", i+1), "a", ""), suspects, false))
	}
	driver.send(ebonywood.NewProxyReportsListed(reports))
}

func (driver *testDriver) view() *ebonywood.InstanceView {
	draft := ebonywood.NewDraft()
	driver.decision.Contribute(draft)
	view, found := draft.Publish().View(db)
	require.True(driver.t, found)
	return view
}

// reply sends the members' replies with the given received offsets.
func (driver *testDriver) reply(received map[ebonywood.MemberID]uint64) {
	for id, offset := range received {
		status := ebonywood.NewReplicationStatus(false, 1, ebonywood.NewPosition(1, offset), 0, 1)
		driver.send(ebonywood.NewReplicationStatusReceived(db, id, status, nil))
	}
}

func (driver *testDriver) orders() []ebonywood.PromoteMember {
	var orders []ebonywood.PromoteMember
	for _, action := range driver.actions {
		if order, ok := action.(ebonywood.PromoteMember); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (driver *testDriver) renewals() int {
	count := 0
	for _, action := range driver.actions {
		if _, ok := action.(ebonywood.RenewToken); ok {
			count++
		}
	}
	return count
}

func TestMajorityOfReportsReplacesThePrimary(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	driver.advance(500)
	driver.reply(map[ebonywood.MemberID]uint64{second: 10, third: 12})
	driver.advance(500)
	require.Empty(t, driver.orders(), "one proxy that can't reach the primary may itself be cut off")
	require.Empty(t, driver.view().Primary())
	driver.report([]ebonywood.MemberID{first}, nil)
	driver.advance(200)
	driver.reply(map[ebonywood.MemberID]uint64{second: 10, third: 12})
	driver.advance(50)
	require.Equal(t, []ebonywood.PromoteMember{ebonywood.NewPromoteMember(db, third, token)}, driver.orders())
	driver.observe(third, 2, 1)
	require.Equal(t, third, driver.view().Primary())
	driver.advance(2000)
	require.Len(t, driver.orders(), 1)
}

func TestMajorityOfOtherProxiesSuffices(t *testing.T) {
	driver := newDriver(t)
	driver.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	driver.advance(50)
	driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	driver.advance(50)
	require.Len(t, driver.orders(), 1)
}

func TestOnlyDutyHolderPromotes(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewDutyChanged(false, 0))
	driver.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	driver.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	driver.advance(3000)
	require.Empty(t, driver.orders())
}

func TestHolderActsAloneWhileDirectoryIsUnavailable(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewDirectoryReachabilityChanged(false))
	driver.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	driver.advance(confirmLossAlone - 100)
	require.Empty(t, driver.orders())
	driver.advance(300)
	driver.reply(map[ebonywood.MemberID]uint64{second: 3})
	driver.advance(queryTimeout + 50)
	require.Len(t, driver.orders(), 1)
}

func TestIsolatedHolderDoesNotPromote(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewDirectoryReachabilityChanged(false))
	for _, id := range []ebonywood.MemberID{first, second, third} {
		driver.send(ebonywood.NewMemberReachabilityChanged(db, id, false))
	}
	driver.advance(5000)
	require.Empty(t, driver.orders())
	draft := ebonywood.NewDraft()
	driver.decision.Contribute(draft)
	require.True(t, draft.Publish().IsIsolated())
}

func TestUnconfirmedOrderIsFollowedByGreaterToken(t *testing.T) {
	driver := newDriver(t)
	driver.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	driver.advance(50)
	driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	driver.advance(50)
	order := driver.orders()[0]
	driver.send(ebonywood.NewPromotionEnded(order, ebonywood.NewFault(ebonywood.KindUnavailable, "no reply", "")))
	driver.advance(promotionTimeout + 50)
	require.Equal(t, 1, driver.renewals())
	driver.send(ebonywood.NewDutyChanged(true, token+1))
	driver.advance(100)
	driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	driver.advance(100)
	require.Equal(t, int64(token+1), driver.orders()[1].Token())
}

func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	driver := newDriver(t)
	driver.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	driver.advance(50)
	driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	driver.advance(50)
	driver.send(ebonywood.NewPromotionEnded(driver.orders()[0], ebonywood.NewFault(ebonywood.KindConflict, "fenced", "")))
	require.Equal(t, 1, driver.renewals())
	for range 10 {
		driver.advance(500)
		driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	}
	require.Len(t, driver.orders(), 1)
}

func TestLeavingPrimaryIsReplacedByStayingMember(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, true), listed(second, true), listed(third, false)}))
	driver.advance(50)
	driver.reply(map[ebonywood.MemberID]uint64{third: 1})
	driver.advance(50)
	require.Equal(t, third, driver.orders()[0].Member())
	require.Equal(t, first, driver.view().Primary(), "it stays primary until its successor is confirmed")
}

func TestPrimaryMissingFromTheList(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(second, false), listed(third, false)}))
	driver.advance(unlistedTimeout - 100)
	require.Empty(t, driver.orders())
	driver.advance(300)
	driver.reply(map[ebonywood.MemberID]uint64{second: 2, third: 1})
	driver.advance(50)
	require.Equal(t, second, driver.orders()[0].Member())
}

// With one synchronous replica out of two, a commit may be on either of them, so the
// replies of both are needed.
func TestSyncReplicasRequireEveryPossibleHolder(t *testing.T) {
	driver := newDriver(t)
	instance := ebonywood.NewInstance(db, nil).WithLimits(20, 1)
	driver.send(ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(1, "", nil, []ebonywood.Instance{instance}, nil)))
	driver.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	driver.advance(50)
	driver.reply(map[ebonywood.MemberID]uint64{second: 5})
	driver.advance(2000)
	require.Empty(t, driver.orders())
	driver.reply(map[ebonywood.MemberID]uint64{second: 5, third: 6})
	driver.advance(50)
	require.Empty(t, driver.orders(), "the primary may still run")
	driver.replyPaused(2, map[ebonywood.MemberID]uint64{second: 7})
	driver.advance(50)
	require.Empty(t, driver.orders(), "the third may confirm further commits")
	driver.replyPaused(2, map[ebonywood.MemberID]uint64{third: 6})
	driver.advance(50)
	require.Equal(t, second, driver.orders()[0].Member())
}

// setServers makes the named proxies the owners of the instance.
func (driver *testDriver) setServers(names ...string) []ebonywood.PeerView {
	var servers []ebonywood.PeerView
	for _, name := range names {
		servers = append(servers, ebonywood.NewPeerView(name, "a", name))
	}
	owners := ebonywood.NewOwners("p0", map[ebonywood.InstanceID][]ebonywood.PeerView{db: servers}, nil)
	driver.send(ebonywood.NewOwnersChanged(owners))
	return servers
}

// Proxies that don't serve the instance have no connection to its members, so their
// reports don't count.
func TestOnlyServersVote(t *testing.T) {
	driver := newDriver(t)
	driver.setServers("p0", "p1", "p2")
	suspects := []ebonywood.MemberID{first}
	driver.report(suspects, nil, suspects, suspects, suspects)
	driver.advance(1000)
	require.Empty(t, driver.orders(), "one of three servers suspects it")
	driver.report(suspects, suspects, nil, nil, nil)
	driver.advance(50)
	driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	driver.advance(50)
	require.Len(t, driver.orders(), 1)
}

// A new holder of the duty did not watch the instance before, so it must first find the
// primary instead of taking an unknown primary for a dead one.
func TestNewHolderDoesNotReplaceUnprobedPrimary(t *testing.T) {
	driver := newDriver(t)
	driver.setServers("p1", "p2")
	driver.send(ebonywood.NewDutyChanged(false, 0))
	driver.advance(60_000)
	driver.send(ebonywood.NewDutyChanged(true, token))
	driver.advance(1000)
	require.Empty(t, driver.orders())
	driver.observe(second, 4, 1)
	driver.advance(5000)
	require.Empty(t, driver.orders())
	require.Equal(t, second, driver.view().Primary())
}

// The reports of the serving proxies suffice even if the new holder never reached the
// primary itself.
func TestNewHolderActsOnServerReports(t *testing.T) {
	driver := newDriver(t)
	driver.setServers("p1", "p2")
	driver.send(ebonywood.NewDutyChanged(false, 0))
	driver.advance(10_000)
	driver.report([]ebonywood.MemberID{first}, []ebonywood.MemberID{first})
	driver.send(ebonywood.NewDutyChanged(true, token))
	driver.advance(50)
	driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 2})
	driver.advance(250)
	require.Len(t, driver.orders(), 1)
	require.Equal(t, third, driver.orders()[0].Member())
}

// A proxy is isolated when it can reach neither the directory nor any server of an
// instance that it doesn't serve; either of the two prevents that.
func TestIsolatedWithoutServersAndDirectory(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewDutyChanged(false, 0))
	isolated := func() bool {
		driver.advance(1500)
		draft := ebonywood.NewDraft()
		driver.decision.Contribute(draft)
		return draft.Publish().IsIsolated()
	}
	servers := driver.setServers("p1", "p2")
	driver.send(ebonywood.NewDirectoryReachabilityChanged(false))
	require.False(t, isolated())
	driver.send(ebonywood.NewPeerReachabilityChanged(servers[0], false))
	require.False(t, isolated())
	driver.send(ebonywood.NewPeerReachabilityChanged(servers[1], false))
	require.True(t, isolated())
	driver.send(ebonywood.NewDirectoryReachabilityChanged(true))
	require.False(t, isolated())
	driver.send(ebonywood.NewDirectoryReachabilityChanged(false))
	driver.send(ebonywood.NewPeerReachabilityChanged(servers[0], true))
	require.False(t, isolated())
}

// A new server reports a member that claims to be primary as unreachable even if it
// never reached that member: after a network partition, the proxies that did may be cut
// off from the directory.
func TestNewServerSuspectsClaimedPrimary(t *testing.T) {
	driver := newDriver(t)
	driver.send(ebonywood.NewDutyChanged(false, 0))
	driver.setServers("p1", "p2")
	driver.advance(5000)
	driver.actions = nil
	driver.setServers("p0", "p2")
	driver.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	require.Contains(t, driver.actions, ebonywood.Action(ebonywood.NewAnnounceSuspects([]ebonywood.MemberID{first})))
	driver.actions = nil
	driver.setServers("p1", "p2")
	driver.advance(50)
	require.Contains(t, driver.actions, ebonywood.Action(ebonywood.NewAnnounceSuspects(nil)), "it no longer serves the instance")
}

// TestHolderWithoutConnectionKeepsThePrimary lets a new holder of the duty find no primary,
// since the primary has no connection left for its probes. The primary serves the other
// proxies, which report no suspects, and replies to the query for its status, at once or
// only later. It must not be replaced, whatever the replicas have received.
func TestHolderWithoutConnectionKeepsThePrimary(t *testing.T) {
	for _, rounds := range []int{0, 1, 5} {
		driver := &testDriver{t: t, decision: New("p0", ebonywood.Limits{}), now: 1000}
		driver.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, false), listed(second, false), listed(third, false)}))
		driver.report(nil, nil)
		driver.send(ebonywood.NewDutyChanged(true, token))
		driver.advance(noPrimaryTimeout + 100)
		for range rounds {
			driver.reply(map[ebonywood.MemberID]uint64{second: 10, third: 12})
			driver.advance(queryTimeout + 50)
			require.Empty(t, driver.orders(), "the member that claims to be primary has not replied")
		}
		driver.reply(map[ebonywood.MemberID]uint64{second: 10, third: 12})
		driver.send(ebonywood.NewReplicationStatusReceived(db, first, ebonywood.NewReplicationStatus(true, 1, ebonywood.NewPosition(1, 11), 0, 20), nil))
		driver.advance(1000)
		require.Empty(t, driver.orders(), "the primary replied")
	}
}

// TestDeadClaimedPrimaryIsReplaced checks that a claim alone keeps no primary: the member
// that claims it accepts no connections.
func TestDeadClaimedPrimaryIsReplaced(t *testing.T) {
	driver := &testDriver{t: t, decision: New("p0", ebonywood.Limits{}), now: 1000}
	driver.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, false), listed(second, false), listed(third, false)}))
	driver.report(nil, nil)
	driver.send(ebonywood.NewDutyChanged(true, token))
	driver.send(ebonywood.NewMemberReachabilityChanged(db, first, false))
	driver.advance(noPrimaryTimeout + 100)
	driver.reply(map[ebonywood.MemberID]uint64{second: 10, third: 12})
	driver.advance(500)
	require.Len(t, driver.orders(), 1)
	require.Equal(t, third, driver.orders()[0].Member())
}
