package succession

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestEarlierEvidenceIsIgnored checks that the primary is the member of the evidence that was
// sent last, whatever arrives last and whatever the terms are.
func TestEarlierEvidenceIsIgnored(t *testing.T) {
	driver := newDriver(t)
	driver.advance(100)
	driver.observe(second, 3, 1)
	for _, term := range []ebonywood.Term{1, 3, 9} {
		driver.send(ebonywood.NewPrimaryObserved(db, first, ebonywood.NewPosition(term, 7), driver.now-1))
		require.Equal(t, second, driver.view().Primary())
	}
	driver.send(ebonywood.NewNonPrimaryObserved(db, first))
	require.Equal(t, second, driver.view().Primary())
	driver.send(ebonywood.NewNonPrimaryObserved(db, second))
	require.Empty(t, driver.view().Primary())
	require.Positive(t, driver.view().PrimaryLostAt())
}

// TestPrimaryWithAnOlderLogIsConfirmed guards against a service without a primary: a member
// whose last record is of an older term than seen before is the primary if it accepts a
// transaction.
func TestPrimaryWithAnOlderLogIsConfirmed(t *testing.T) {
	driver := newDriver(t)
	driver.observe(second, 2, 9)
	driver.advance(50)
	driver.observe(third, 1, 8)
	require.Equal(t, third, driver.view().Primary())
	driver.advance(5000)
	require.Empty(t, driver.orders())
}

// replyWith sends the members' replies with the given positions.
func (driver *testDriver) replyWith(received map[ebonywood.MemberID]ebonywood.Position) {
	for id, position := range received {
		status := ebonywood.NewReplicationStatus(false, position.Term(), position, 0, 1)
		driver.send(ebonywood.NewReplicationStatusReceived(db, id, status, nil))
	}
}

// TestAbandonedLogIsNotPromoted guards against STALE: after a promotion, a member that has
// what the promotion rolled back must not be promoted, neither with a higher number (the
// third) nor with a term that the present primary's log lacks.
func TestAbandonedLogIsNotPromoted(t *testing.T) {
	for name, test := range map[string]struct {
		primaryAt, abandoned, descendant ebonywood.Position
	}{
		"more records of an earlier term": {
			ebonywood.NewPosition(1, 173), ebonywood.NewPosition(1, 230), ebonywood.NewPosition(1, 160),
		},
		"a log that ends where the branch begins": {
			ebonywood.NewPosition(1, 173), ebonywood.NewPosition(1, 174), ebonywood.NewPosition(1, 173),
		},
		"records of the present term": {
			ebonywood.NewPosition(1, 173), ebonywood.NewPosition(1, 230), ebonywood.NewPosition(2, 175),
		},
	} {
		t.Run(name, func(t *testing.T) {
			driver := newDriver(t)
			driver.advance(50)
			driver.observe(second, test.primaryAt.Term(), test.primaryAt.Offset())
			driver.advance(50)
			driver.observe(second, 2, 200)
			driver.report([]ebonywood.MemberID{second}, []ebonywood.MemberID{second})
			driver.advance(50)
			driver.replyWith(map[ebonywood.MemberID]ebonywood.Position{third: test.abandoned})
			driver.advance(queryTimeout)
			require.Empty(t, driver.orders())
			driver.replyWith(map[ebonywood.MemberID]ebonywood.Position{third: test.abandoned, first: test.descendant})
			driver.advance(50)
			require.Equal(t, first, driver.orders()[0].Member())
		})
	}
}

// TestFormerPrimaryOfALaterTermIsNotPromoted is the same for a primary whose whole term was
// abandoned: the next one began with a log of the term before it.
func TestFormerPrimaryOfALaterTermIsNotPromoted(t *testing.T) {
	driver := newDriver(t)
	driver.advance(50)
	driver.observe(second, 1, 200)
	driver.advance(50)
	driver.observe(second, 2, 236)
	driver.advance(50)
	driver.observe(third, 1, 190)
	driver.report([]ebonywood.MemberID{third}, []ebonywood.MemberID{third})
	driver.advance(50)
	driver.replyWith(map[ebonywood.MemberID]ebonywood.Position{first: ebonywood.NewPosition(1, 180), second: ebonywood.NewPosition(2, 236)})
	driver.advance(50)
	require.Equal(t, first, driver.orders()[0].Member())
}

// TestAbandonedLogMayHoldCommits checks that the part of an abandoned log that was not rolled
// back counts: with synchronous replicas, no member is promoted that lacks some of it. Found
// by the model with seed 1541.
func TestAbandonedLogMayHoldCommits(t *testing.T) {
	driver := newSyncedDriver(t)
	driver.settleDuty()
	driver.observe(second, 1, 12)
	driver.send(ebonywood.NewMemberReachabilityChanged(db, second, false))
	driver.report([]ebonywood.MemberID{second}, []ebonywood.MemberID{second})
	driver.advance(200)
	driver.replyWith(map[ebonywood.MemberID]ebonywood.Position{first: ebonywood.NewPosition(1, 13), third: ebonywood.NewPosition(1, 7)})
	driver.advance(queryTimeout)
	require.Empty(t, driver.pauses())
	driver.replyWith(map[ebonywood.MemberID]ebonywood.Position{first: ebonywood.NewPosition(1, 13), third: ebonywood.NewPosition(1, 12)})
	driver.advance(50)
	require.Len(t, driver.pauses(), 2)
}

// TestAbandonedLogIsPromotedIfNothingElseComes checks that a service does not stay without a
// primary if the other logs are gone for good.
func TestAbandonedLogIsPromotedIfNothingElseComes(t *testing.T) {
	driver := newDriver(t)
	driver.advance(50)
	driver.observe(second, 1, 173)
	driver.send(ebonywood.NewMemberReachabilityChanged(db, second, false))
	driver.report([]ebonywood.MemberID{second}, []ebonywood.MemberID{second})
	lostAt := driver.now
	for len(driver.orders()) == 0 && driver.now < lostAt+2*abandonedLogWait {
		driver.replyWith(map[ebonywood.MemberID]ebonywood.Position{third: ebonywood.NewPosition(1, 230)})
		driver.advance(50)
	}
	require.GreaterOrEqual(t, driver.now-lostAt, abandonedLogWait)
	require.Equal(t, third, driver.orders()[0].Member())
}
