package fuzz

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	soakSeed  = flag.Uint64("seed", 1, "first seed of the soak run")
	soakSeeds = flag.Int("seeds", 2, "how many seeds the soak run takes")
	soakSteps = flag.Int("steps", 20_000, "steps for each seed")
)

// run takes so many steps and returns the first violation.
func run(choose chooser, mutation string, steps int) (found *violation, world *world) {
	defer func() {
		switch caught := recover().(type) {
		case nil:
		case violation:
			found = &caught
		default:
			panic(caught)
		}
	}()
	world = newWorld(choose, mutation)
	for range steps {
		world.step()
	}
	world.healAll()
	world.checkFinal()
	return nil, world
}

// checkFinal compares the log of the last primary with what callers were told.
func (world *world) checkFinal() {
	var last *node
	for _, node := range world.nodes {
		if node.journal.IsPrimary() && (last == nil || node.journal.PrimaryTerm() > last.journal.PrimaryTerm()) {
			last = node
		}
	}
	if last == nil {
		world.fail("liveness: no primary after all failures ended")
	}
	world.oracle.final(last.journal.Values)
}

func seeded(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, seed))
	return random.IntN
}

// TestStatefulFuzz searches with rapid, which shrinks what it finds. The seed is
// fixed unless one is given, so that a run of CI says the same each time.
func TestStatefulFuzz(t *testing.T) {
	if given := flag.Lookup("rapid.seed"); given.Value.String() == "0" {
		require.NoError(t, given.Value.Set("1"))
	}
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		seed := rapid.Uint64().Draw(t, "seed")
		random := seeded(seed)
		// The first steps are rapid's to shrink; the rest follow from the seed.
		drawn := 0
		mixed := func(n int) int {
			if drawn++; drawn < 200 {
				return choose(n)
			}
			return random(n)
		}
		if found, _ := run(mixed, "", 1500); found != nil {
			t.Fatalf("step %d: %s", found.step, found.text)
		}
	})
}

// TestSoak runs long, by seed. A failure names what to run again.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		found, world := run(seeded(seed), "", *soakSteps)
		if found != nil {
			t.Fatalf("make soak SEED=%d STEPS=%d fails at step %d: %s", seed, *soakSteps, found.step, found.text)
		}
		t.Logf("seed %d: %d steps, %d writes acknowledged, %d reads, final term %d, 0 violations",
			seed, *soakSteps, world.oracle.acks, world.oracle.reads, world.proxies[0].view().Term())
		require.Positive(t, world.oracle.acks)
	}
}

// mutations take one mechanism out each; the oracle has to notice. seed is where
// the search begins.
var mutations = []struct {
	name string
	seed uint64
}{
	{"noConfirm", 1},
	{"confirmTermOnly", 1},
	{"anchorAnyTerm", 1},
	{"fenceNobody", 1},
	{"promoteAny", 1},
	{"noFloor", 1},
	{"noSince", 1},
	{"assumeAge", 1},
	{"repeatUnknown", 1},
	{"denyUnknown", 1},
	{"floorBeforeAnswer", 403},
	{"readFormer", 300},
	{"agreeAnyRound", 10},
}

// TestMutations shows that each mechanism is needed: without it some check fails.
func TestMutations(t *testing.T) {
	const seeds, steps = 60, 100_000
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if found, _ := run(seeded(mutation.seed+seed), mutation.name, steps); found != nil {
					t.Logf("caught with seed %d at step %d: %.90s", mutation.seed+seed, found.step, found.text)
					return
				}
			}
			t.Fatalf("no check noticed that %s", mutation.name)
		})
	}
}

// TestNaiveBaseline counts what a proxy breaks that repeats on error, fences
// nobody, confirms nothing and assumes that replicas are fresh, under the same
// failures as ours. It is a measurement; it fails only if nothing went wrong.
func TestNaiveBaseline(t *testing.T) {
	const seeds, steps = 4, 20_000
	for _, mutation := range []string{"", "naive"} {
		counts := map[string]int{}
		acks, reads := 0, 0
		for seed := range uint64(seeds) {
			world := newWorld(seeded(seed+1), mutation)
			world.oracle.fail = func(format string, _ ...any) {
				kind, _, _ := strings.Cut(format, ":")
				counts[kind]++
			}
			for range steps {
				world.step()
			}
			world.healAll()
			world.checkFinal()
			acks += world.oracle.acks
			reads += world.oracle.reads
		}
		name := "ours"
		if mutation != "" {
			name = mutation
			require.NotEmpty(t, counts)
		} else {
			require.Empty(t, counts)
		}
		t.Logf("%s: %d writes acknowledged, %d reads, violations %v", name, acks, reads, counts)
	}
}
