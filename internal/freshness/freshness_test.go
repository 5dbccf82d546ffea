package freshness

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonywood/ebonywood"
)

func position(term ebonywood.Term, offset uint64) ebonywood.Position {
	return ebonywood.NewPosition(term, offset)
}

func TestOldestSampleAfterLimitIsFloor(t *testing.T) {
	var samples Samples
	_, found := samples.Floor(0)
	require.False(t, found)
	for i := range 10 {
		samples.Add(ebonywood.Millis(i*100), position(1, uint64(i)))
	}
	floor, found := samples.Floor(250)
	require.True(t, found)
	require.Equal(t, position(1, 3), floor)
	_, found = samples.Floor(901)
	require.False(t, found)
}

// A failover may roll back the last commits of the former primary. No floor may require
// them afterwards, since no member would ever reach it.
func TestShorterSampleLowersEarlierOnes(t *testing.T) {
	var samples Samples
	samples.Add(0, position(1, 90))
	samples.Add(100, position(1, 100))
	samples.Add(200, position(1, 95))
	for _, oldest := range []ebonywood.Millis{50, 150} {
		floor, found := samples.Floor(oldest)
		require.True(t, found)
		require.Equal(t, position(1, 95), floor)
	}
	samples.Add(150, position(1, 1))
	floor, _ := samples.Floor(199)
	require.Equal(t, position(1, 95), floor, "a late reply to an earlier request changes nothing")
}

// The request of a sample with the same millisecond may have been sent earlier.
func TestSampleOfSameMillisecondIsExcluded(t *testing.T) {
	var samples Samples
	samples.Add(100, position(1, 7))
	_, found := samples.Floor(100)
	require.False(t, found)
	floor, found := samples.Floor(99)
	require.True(t, found)
	require.Equal(t, position(1, 7), floor)
}

func TestSampleCountIsBounded(t *testing.T) {
	var samples Samples
	for i := range 10 * maxSamples {
		samples.Add(ebonywood.Millis(i)*minSampleInterval, position(1, uint64(i)))
	}
	require.LessOrEqual(t, len(samples.samples), maxSamples)
	newest, found := samples.NewestSentAt()
	require.True(t, found)
	require.Equal(t, (10*maxSamples-1)*minSampleInterval, newest)
}

// commit is an acknowledged commit in the model.
type commit struct {
	position   ebonywood.Position
	ackedAt    ebonywood.Millis
	rolledBack bool
}

// TestFloorCoversAcknowledgedCommits simulates a log with promotions that roll back
// commits, and position queries whose replies arrive late and out of order. Every floor
// must cover all commits that were acknowledged before and not rolled back.
func TestFloorCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var samples Samples
		var commits []commit
		type query struct {
			sentAt   ebonywood.Millis
			position ebonywood.Position
		}
		var open []query
		now, term, length := ebonywood.Millis(0), ebonywood.Term(1), uint64(0)
		last := position(1, 0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += ebonywood.Millis(rapid.IntRange(0, 60).Draw(t, "pause"))
			switch rapid.SampledFrom([]string{"commit", "commit", "ask", "answer", "promote", "read"}).Draw(t, "step") {
			case "commit":
				length++
				last = position(term, length)
				commits = append(commits, commit{position: last, ackedAt: now})
			case "ask":
				open = append(open, query{sentAt: now, position: last})
			case "answer":
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					samples.Add(open[i].sentAt, open[i].position)
					open = append(open[:i], open[i+1:]...)
				}
			case "promote":
				keep := uint64(rapid.IntRange(0, int(length)).Draw(t, "keep"))
				term++
				length = keep
				last = position(1, 0)
				for i := range commits {
					commits[i].rolledBack = commits[i].rolledBack || commits[i].position.Offset() > keep
					if !commits[i].rolledBack {
						last = last.Max(commits[i].position)
					}
				}
			case "read":
				oldest := now - ebonywood.Millis(rapid.IntRange(0, 500).Draw(t, "age"))
				floor, found := samples.Floor(oldest)
				if !found {
					continue
				}
				for _, commit := range commits {
					if !commit.rolledBack && commit.ackedAt < oldest {
						require.False(t, floor.Less(commit.position), "floor %v lacks %v acknowledged at %d, oldest %d", floor, commit.position, commit.ackedAt, oldest)
					}
				}
			}
		}
	})
}
