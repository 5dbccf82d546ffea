package memberhealth

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonywood/ebonywood"
)

const (
	a ebonywood.MemberID = "a"
	b ebonywood.MemberID = "b"
	c ebonywood.MemberID = "c"
)

// serve answers count reads at each member, one every 10 ms.
func serve(tracker *Tracker, now ebonywood.Millis, count int, ids ...ebonywood.MemberID) ebonywood.Millis {
	for range count {
		for _, id := range ids {
			tracker.Answered(id, now)
		}
		now += 10
	}
	return now
}

// TestFailingMemberIsLeft guards against a member that fails 15% of its reads while its health
// check is good.
func TestFailingMemberIsLeft(t *testing.T) {
	tracker := New()
	now := serve(tracker, 0, 17, a, b, c)
	require.False(t, tracker.Failed(a, now).Happened())
	now = serve(tracker, now, 5, a, b, c)
	change := tracker.Failed(a, now)
	require.True(t, change.HasLeft())
	require.Equal(t, KindFailed, change.Kind())
	require.Equal(t, Left, tracker.Standing(a, now))
	costMs, isAvoided := tracker.LeftCost(a)
	require.True(t, isAvoided)
	require.Positive(t, costMs)
	require.Equal(t, Admitted, tracker.Standing(b, now))
}

// TestRareFailuresAreNoReason guards against leaving a member for single failures among many
// answers.
func TestRareFailuresAreNoReason(t *testing.T) {
	tracker := New()
	now := ebonywood.Millis(0)
	for range 20 {
		now = serve(tracker, now, 60, a, b, c)
		require.False(t, tracker.Failed(a, now).Happened())
		require.False(t, tracker.Lost(b, now).Happened())
	}
}

// TestFlappingMemberIsLeft guards against a member that goes down and comes up in turns, and
// against counting the callers that fail at the same moment.
func TestFlappingMemberIsLeft(t *testing.T) {
	tracker := New()
	serve(tracker, 0, 1, b, c)
	for range 50 {
		require.False(t, tracker.Unreachable(a, 100).Happened(), "one failure that 50 callers saw")
	}
	require.True(t, tracker.Unreachable(a, 4100).HasLeft())
}

// TestReturnByTrials guards against a member that is never used again, or at once in full.
func TestReturnByTrials(t *testing.T) {
	tracker := New()
	now := serve(tracker, 0, 1, a, b, c)
	tracker.Lost(a, now)
	require.True(t, tracker.Lost(a, now).HasLeft())
	require.Equal(t, Left, tracker.Standing(a, now+firstHold-1))
	start := now + firstHold
	var trials []ebonywood.Millis
	returned := false
	for now = start; now < start+20_000 && !returned; now += 10 {
		if tracker.Standing(a, now) == OnTrial {
			tracker.StartTrial(a, now)
			trials = append(trials, now)
			change := tracker.Answered(a, now+5)
			returned = change.Happened() && !change.HasLeft()
		}
	}
	require.True(t, returned)
	require.Len(t, trials, trialsToReturn)
	require.Greater(t, trials[1]-trials[0], 4*(trials[15]-trials[14]), "the trickle grows")
	require.Equal(t, Admitted, tracker.Standing(a, now))
}

// TestRelapseDoublesTheHold guards against trial reads that fail at the same rate for as long as
// a member is bad.
func TestRelapseDoublesTheHold(t *testing.T) {
	tracker := New()
	serve(tracker, 0, 1, a, b, c)
	tracker.Lost(a, 10)
	tracker.Lost(a, 10)
	tries := 0
	for now := ebonywood.Millis(10); now < 60_000; now += 10 {
		if tracker.Standing(a, now) == OnTrial {
			tracker.StartTrial(a, now)
			tracker.Lost(a, now)
			tries++
		}
	}
	require.LessOrEqual(t, tries, 6)
	require.GreaterOrEqual(t, tries, 3)
}

// TestOneMemberIsAlwaysUsed guards against leaving all members at once, with any evidence in any
// order.
func TestOneMemberIsAlwaysUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New()
		now := serve(tracker, 0, 1, a, b, c)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += ebonywood.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			id := rapid.SampledFrom([]ebonywood.MemberID{a, b, c}).Draw(t, "member")
			if tracker.Standing(id, now) == OnTrial {
				tracker.StartTrial(id, now)
			}
			switch rapid.IntRange(0, 3).Draw(t, "result") {
			case 0:
				tracker.Failed(id, now)
			case 1:
				tracker.Lost(id, now)
			case 2:
				tracker.Unreachable(id, now)
			default:
				tracker.Answered(id, now)
			}
			used := 0
			for _, id := range []ebonywood.MemberID{a, b, c} {
				if tracker.Standing(id, now) == Admitted {
					used++
				}
			}
			require.Positive(t, used)
		}
	})
}

// TestMemoryIsBounded guards against memory that grows with the members that come and go.
func TestMemoryIsBounded(t *testing.T) {
	tracker := New()
	for i := range 10 * maxMembers {
		tracker.Answered(ebonywood.MemberID(fmt.Sprint(i)), ebonywood.Millis(i))
	}
	require.Len(t, tracker.members, maxMembers)
}
