package freshness

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonywood/ebonywood"
)

func at(term ebonywood.Term, offset uint64) ebonywood.Position {
	return ebonywood.NewPosition(term, offset)
}

func TestOldestYoungSampleIsTheFloor(t *testing.T) {
	var samples Samples
	_, found := samples.Floor(0)
	require.False(t, found)
	for i := range 10 {
		samples.Add(ebonywood.Millis(i*100), at(1, uint64(i)))
	}
	floor, found := samples.Floor(250)
	require.True(t, found)
	require.Equal(t, at(1, 3), floor)
	_, found = samples.Floor(901)
	require.False(t, found)
}

// TestShorterSampleLowersEarlierOnes is the successor of a primary whose last
// commits were rolled back: no floor may ask for those any more.
func TestShorterSampleLowersEarlierOnes(t *testing.T) {
	var samples Samples
	samples.Add(0, at(1, 90))
	samples.Add(100, at(1, 100))
	samples.Add(200, at(1, 95))
	for _, oldest := range []ebonywood.Millis{50, 150} {
		floor, found := samples.Floor(oldest)
		require.True(t, found)
		require.Equal(t, at(1, 95), floor)
	}
	samples.Add(150, at(1, 1))
	floor, _ := samples.Floor(199)
	require.Equal(t, at(1, 95), floor, "a late answer to an early question changes nothing")
}

// TestSampleOfTheSameMillisecond may have been asked for before.
func TestSampleOfTheSameMillisecond(t *testing.T) {
	var samples Samples
	samples.Add(100, at(1, 7))
	_, found := samples.Floor(100)
	require.False(t, found)
	floor, found := samples.Floor(99)
	require.True(t, found)
	require.Equal(t, at(1, 7), floor)
}

func TestKeptSamplesAreBounded(t *testing.T) {
	var samples Samples
	for i := range 10 * kept {
		samples.Add(ebonywood.Millis(i)*spacing, at(1, uint64(i)))
	}
	require.LessOrEqual(t, len(samples.samples), kept)
	newest, found := samples.Newest()
	require.True(t, found)
	require.Equal(t, (10*kept-1)*spacing, newest)
}

// commit is one acknowledged commit of the model.
type commit struct {
	at    ebonywood.Position
	acked ebonywood.Millis
	lost  bool
}

// TestFloorCoversWhatWasAcknowledged drives a log with promotions that roll back,
// and questions whose answers arrive late and out of order. Whatever the floor, a
// log that holds it holds every commit that counts.
func TestFloorCoversWhatWasAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var samples Samples
		var commits []commit
		type question struct {
			asked ebonywood.Millis
			at    ebonywood.Position
		}
		var open []question
		now, term, length := ebonywood.Millis(0), ebonywood.Term(1), uint64(0)
		last := at(1, 0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += ebonywood.Millis(rapid.IntRange(0, 60).Draw(t, "pause"))
			switch rapid.SampledFrom([]string{"commit", "commit", "ask", "answer", "promote", "read"}).Draw(t, "step") {
			case "commit":
				length++
				last = at(term, length)
				commits = append(commits, commit{at: last, acked: now})
			case "ask":
				open = append(open, question{asked: now, at: last})
			case "answer":
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					samples.Add(open[i].asked, open[i].at)
					open = append(open[:i], open[i+1:]...)
				}
			case "promote":
				keep := uint64(rapid.IntRange(0, int(length)).Draw(t, "keep"))
				term++
				length = keep
				last = at(1, 0)
				for i := range commits {
					commits[i].lost = commits[i].lost || commits[i].at.Offset() > keep
					if !commits[i].lost {
						last = last.Max(commits[i].at)
					}
				}
			case "read":
				oldest := now - ebonywood.Millis(rapid.IntRange(0, 500).Draw(t, "age"))
				floor, found := samples.Floor(oldest)
				if !found {
					continue
				}
				for _, each := range commits {
					if !each.lost && each.acked < oldest {
						require.False(t, floor.Less(each.at), "floor %v lacks %v acknowledged at %d, oldest %d", floor, each.at, each.acked, oldest)
					}
				}
			}
		}
	})
}
