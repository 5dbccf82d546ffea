package succession

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestStopOutlivesTheDuty checks that a holder that loses the duty after its order goes on
// requesting the stop of writes until the order has taken effect. Found by the model with
// seed 1388.
func TestStopOutlivesTheDuty(t *testing.T) {
	driver := newSyncedDriver(t)
	driver.settleDuty()
	driver.report()
	driver.leave()
	driver.send(ebonywood.NewWritesStopped(actionsOf[ebonywood.StopWrites](driver)[0].Stop()))
	driver.advance(50)
	driver.replyAll(12, 10, 12)
	driver.advance(50)
	driver.send(ebonywood.NewPromotionEnded(driver.orders()[0], nil))
	driver.send(ebonywood.NewDutyChanged(false, 0))
	driver.advance(300)
	require.Empty(t, actionsOf[ebonywood.ResumeWrites](driver))
	announced := actionsOf[ebonywood.AnnounceWriteStops](driver)
	require.NotEmpty(t, announced[len(announced)-1].Requested())
	driver.observe(third, 1, 12)
	driver.advance(50)
	require.Len(t, actionsOf[ebonywood.ResumeWrites](driver), 1)
	announced = actionsOf[ebonywood.AnnounceWriteStops](driver)
	require.Empty(t, announced[len(announced)-1].Requested())
}

// newSyncedDriver is newDriver for an instance with one synchronous replica.
func newSyncedDriver(t *testing.T) *testDriver {
	driver := newDriver(t)
	instance := ebonywood.NewInstance(db, nil).WithLimits(20, 1)
	driver.send(ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(1, "", nil, []ebonywood.Instance{instance}, nil)))
	return driver
}

// leave makes the first member, the primary, leave.
func (driver *testDriver) leave() {
	driver.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, true), listed(second, false), listed(third, false)}))
	driver.advance(50)
}

// reportStops sends the reports of p0, p1 and p2: p1 requests the first stop, if there is
// one, and those in stopped have carried theirs out.
func (driver *testDriver) reportStops(requested []ebonywood.WriteStop, stopped map[string]ebonywood.WriteStop) {
	var reports []ebonywood.ProxyReport
	for _, name := range []string{"p0", "p1", "p2"} {
		report := ebonywood.NewProxyReport(ebonywood.NewPeerView(name, "a", ""), nil, false)
		var own, carriedOut []ebonywood.WriteStop
		if name == "p1" {
			own = requested
		}
		if stop, found := stopped[name]; found {
			carriedOut = append(carriedOut, stop)
		}
		reports = append(reports, report.WithWriteStops(own, carriedOut))
	}
	driver.send(ebonywood.NewProxyReportsListed(reports))
}

// actionsOf returns the collected actions of one type.
func actionsOf[T ebonywood.Action](driver *testDriver) []T {
	var found []T
	for _, action := range driver.actions {
		if typed, ok := action.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

// replyAll sends replies of all three members: the primary and the replicas have received
// the given offsets.
func (driver *testDriver) replyAll(primary, replica, otherReplica uint64) {
	status := ebonywood.NewReplicationStatus(true, 1, ebonywood.NewPosition(1, primary), 0, 1)
	driver.send(ebonywood.NewReplicationStatusReceived(db, first, status, nil))
	driver.reply(map[ebonywood.MemberID]uint64{second: replica, third: otherReplica})
}

// TestSwitchoverStopsWritesFirst guards against LOST with synchronous replicas: as long as
// a proxy may still write, the primary may commit more than the positions say.
func TestSwitchoverStopsWritesFirst(t *testing.T) {
	driver := newSyncedDriver(t)
	driver.reportStops(nil, nil)
	driver.leave()
	require.Len(t, actionsOf[ebonywood.StopWrites](driver), 1)
	stop := actionsOf[ebonywood.StopWrites](driver)[0].Stop()
	require.Equal(t, ebonywood.NewAnnounceWriteStops([]ebonywood.WriteStop{stop}, nil), actionsOf[ebonywood.AnnounceWriteStops](driver)[0])
	driver.reportStops(nil, map[string]ebonywood.WriteStop{"p1": stop, "p2": stop})
	driver.advance(100)
	require.Empty(t, actionsOf[ebonywood.QueryReplicationStatus](driver), "this process has writes in flight")
	driver.send(ebonywood.NewWritesStopped(stop))
	driver.reportStops(nil, map[string]ebonywood.WriteStop{"p1": stop})
	driver.advance(100)
	require.Empty(t, actionsOf[ebonywood.QueryReplicationStatus](driver), "p2 has writes in flight")
	driver.reportStops(nil, map[string]ebonywood.WriteStop{"p1": stop, "p2": stop})
	driver.advance(50)
	require.Len(t, actionsOf[ebonywood.QueryReplicationStatus](driver), 3, "the primary, too")
	driver.replyAll(12, 10, 12)
	driver.advance(50)
	require.Equal(t, []ebonywood.PromoteMember{ebonywood.NewPromoteMember(db, third, token)}, driver.orders())
	require.True(t, driver.view().IsHoldingWrites())
	driver.observe(third, 1, 1)
	require.Len(t, actionsOf[ebonywood.ResumeWrites](driver), 1)
	require.False(t, driver.view().IsHoldingWrites())
	driver.advance(50)
	announced := actionsOf[ebonywood.AnnounceWriteStops](driver)
	require.Empty(t, announced[len(announced)-1].Requested())
}

// TestSwitchoverAwaitsAReplicaWithEveryCommit checks that no replica is promoted that lacks
// something of the primary's log or of another replica's.
func TestSwitchoverAwaitsAReplicaWithEveryCommit(t *testing.T) {
	driver := newSyncedDriver(t)
	driver.report()
	driver.leave()
	driver.send(ebonywood.NewWritesStopped(actionsOf[ebonywood.StopWrites](driver)[0].Stop()))
	driver.advance(50)
	for _, received := range [][3]uint64{{12, 10, 11}, {11, 12, 10}} {
		driver.replyAll(received[0], received[1], received[2])
		driver.advance(50)
		if received[0] > received[1] {
			require.Empty(t, driver.orders())
		}
		driver.advance(queryTimeout)
	}
	require.Equal(t, second, driver.orders()[0].Member())
}

// TestSwitchoverIsPostponedWithoutAllProxies checks that writes go on if a proxy doesn't
// stop its own, and that the switchover is tried again.
func TestSwitchoverIsPostponedWithoutAllProxies(t *testing.T) {
	driver := newSyncedDriver(t)
	driver.reportStops(nil, nil)
	driver.leave()
	stop := actionsOf[ebonywood.StopWrites](driver)[0].Stop()
	driver.send(ebonywood.NewWritesStopped(stop))
	driver.advance(stopTimeout + 100)
	require.Empty(t, driver.orders())
	require.Len(t, actionsOf[ebonywood.ResumeWrites](driver), 1)
	require.False(t, driver.view().IsHoldingWrites())
	driver.advance(postponeDelay + 100)
	stops := actionsOf[ebonywood.StopWrites](driver)
	require.Len(t, stops, 2)
	require.True(t, stop.IsBefore(stops[1].Stop()))
}

// TestLateSwitchoverIsPostponed checks that no promotion is ordered that could take effect
// after the proxies have resumed their writes by themselves.
func TestLateSwitchoverIsPostponed(t *testing.T) {
	driver := newSyncedDriver(t)
	driver.report()
	driver.leave()
	driver.send(ebonywood.NewWritesStopped(actionsOf[ebonywood.StopWrites](driver)[0].Stop()))
	for driver.now < 1000+promotionWindow+300 {
		driver.replyAll(12, 10, 11)
		driver.advance(queryTimeout)
	}
	driver.replyAll(12, 12, 12)
	driver.advance(100)
	require.Empty(t, driver.orders())
	require.Len(t, actionsOf[ebonywood.ResumeWrites](driver), 1)
}

// TestWriteStopsOfOtherProxies checks when a stop that another proxy requests begins and
// ends, and that one that has ended does not begin again.
func TestWriteStopsOfOtherProxies(t *testing.T) {
	driver := newSyncedDriver(t)
	driver.send(ebonywood.NewDutyChanged(false, 0))
	stop := ebonywood.NewWriteStop(db, 9, 1)
	requested := []ebonywood.WriteStop{stop}
	driver.reportStops(requested, nil)
	driver.reportStops(requested, nil)
	require.Equal(t, []ebonywood.StopWrites{ebonywood.NewStopWrites(stop)}, actionsOf[ebonywood.StopWrites](driver))
	driver.send(ebonywood.NewWritesStopped(stop))
	require.Contains(t, driver.actions, ebonywood.Action(ebonywood.NewAnnounceWriteStops(nil, requested)))
	driver.observe(second, 2, 1)
	require.Len(t, actionsOf[ebonywood.ResumeWrites](driver), 1)
	driver.reportStops(requested, nil)
	driver.advance(100)
	require.Len(t, actionsOf[ebonywood.StopWrites](driver), 1, "it has ended")

	next := ebonywood.NewWriteStop(db, 10, 1)
	driver.reportStops([]ebonywood.WriteStop{next}, nil)
	require.Len(t, actionsOf[ebonywood.StopWrites](driver), 2)
	driver.reportStops(nil, nil)
	require.Len(t, actionsOf[ebonywood.ResumeWrites](driver), 2, "it is withdrawn")

	driver.reportStops([]ebonywood.WriteStop{ebonywood.NewWriteStop(db, 10, 2)}, nil)
	driver.advance(maxWriteStop)
	require.Len(t, actionsOf[ebonywood.ResumeWrites](driver), 3, "it has lasted too long")
	driver.advance(maxWriteStop)
	require.Len(t, actionsOf[ebonywood.StopWrites](driver), 3)
}

// TestSwitchoverWithoutSynchronousReplicas checks that writes go on if no replica confirms
// them: some may be lost in any case.
func TestSwitchoverWithoutSynchronousReplicas(t *testing.T) {
	driver := newDriver(t)
	driver.leave()
	driver.reply(map[ebonywood.MemberID]uint64{second: 1, third: 1})
	driver.advance(50)
	require.Len(t, driver.orders(), 1)
	require.Empty(t, actionsOf[ebonywood.StopWrites](driver))
}
