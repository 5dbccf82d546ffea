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
	soakSeeds = flag.Int("seeds", 2, "number of seeds of the soak run")
	soakSteps = flag.Int("steps", 20_000, "number of steps for each seed")
)

// simulate runs the given number of steps, then heals all failures and checks the
// final state. It returns the first violation, nil if there is none.
func simulate(choose chooser, mutation string, steps int) (found *violation, sim *simulation) {
	defer func() {
		switch caught := recover().(type) {
		case nil:
		case violation:
			found = &caught
		default:
			panic(caught)
		}
	}()
	sim = newSimulation(choose, mutation)
	for range steps {
		sim.step()
	}
	sim.healAll()
	sim.checkFinal()
	return nil, sim
}

// checkFinal compares the log of the primary of the highest term with the outcomes that
// callers received. A run that ends without a primary violates liveness.
func (sim *simulation) checkFinal() {
	var last *member
	for _, member := range sim.members {
		if member.journal.IsPrimary() && (last == nil || member.journal.PrimaryTerm() > last.journal.PrimaryTerm()) {
			last = member
		}
	}
	if last == nil {
		sim.failf("liveness: no primary after all failures ended")
	}
	sim.oracle.checkFinal(last.journal.Values)
}

// seededChooser returns a chooser whose draws follow from the seed.
func seededChooser(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, seed))
	return random.IntN
}

// TestStatefulFuzz searches for violations with rapid, which shrinks a failing
// sequence. The seed is fixed unless the flag -rapid.seed sets one, so that CI runs
// are reproducible.
func TestStatefulFuzz(t *testing.T) {
	if seedFlag := flag.Lookup("rapid.seed"); seedFlag.Value.String() == "0" {
		require.NoError(t, seedFlag.Value.Set("1"))
	}
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		seed := rapid.Uint64().Draw(t, "seed")
		random := seededChooser(seed)
		// Rapid draws the first choices, so it can shrink them; the rest follow from
		// the seed.
		draws := 0
		mixed := func(n int) int {
			if draws++; draws < 200 {
				return choose(n)
			}
			return random(n)
		}
		if found, _ := simulate(mixed, "", 1500); found != nil {
			t.Fatalf("step %d: %s", found.step, found.text)
		}
	})
}

// TestSoak runs many steps for each of a range of seeds. A failure message contains
// the command that reproduces it.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		found, sim := simulate(seededChooser(seed), "", *soakSteps)
		if found != nil {
			t.Fatalf("make soak SEED=%d STEPS=%d fails at step %d: %s", seed, *soakSteps, found.step, found.text)
		}
		t.Logf("seed %d: %d steps, %d writes acknowledged, %d reads, final term %d, 0 violations",
			seed, *soakSteps, sim.oracle.acks, sim.oracle.reads, sim.proxies[0].view().Term())
		require.Positive(t, sim.oracle.acks)
	}
}

// mutations disable one mechanism each, which the oracle must detect. seed is the
// first one that TestMutations tries.
var mutations = []struct {
	name string
	seed uint64
}{
	{"noConfirm", 1},           // results are returned without confirmation by a majority
	{"confirmTermOnly", 1},     // a member confirms by its term alone, whatever its log holds
	{"anchorAnyTerm", 1},       // a batch ignores the term of its transactions and of the primary
	{"fenceNobody", 1},         // a fence order succeeds without effect
	{"promoteAny", 1},          // a promote order takes effect on a random member
	{"noFloor", 1},             // reads ignore the position of the session's own writes
	{"noSince", 1},             // reads ignore what the session may have seen before
	{"assumeAge", 1},           // the policy's maximum age is a minute
	{"repeatUnknown", 1},       // a write whose outcome is unknown is repeated
	{"denyUnknown", 1},         // a write that times out is always reported as not run
	{"floorBeforeAnswer", 403}, // the floor is raised when a read is sent, not when its result arrives
	{"readFormer", 300},        // a former primary reports itself as a replica
	{"agreeAnyRound", 10},      // confirmations of earlier rounds count
}

// TestMutations shows that each mechanism is needed, and that the oracle can detect
// its absence: with each mutation some check fails.
func TestMutations(t *testing.T) {
	const seeds, steps = 60, 100_000
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if found, _ := simulate(seededChooser(mutation.seed+seed), mutation.name, steps); found != nil {
					t.Logf("caught with seed %d at step %d: %.90s", mutation.seed+seed, found.step, found.text)
					return
				}
			}
			t.Fatalf("no check detected the mutation %s", mutation.name)
		})
	}
}

// TestNaiveBaseline counts the violations of a proxy that repeats writes on error,
// fences no member, confirms no result and assumes that replicas are up to date, and
// those of the real decisions under the same failures. It is a measurement: it fails
// only if the naive proxy causes no violation, or the real one causes any.
func TestNaiveBaseline(t *testing.T) {
	const seeds, steps = 4, 20_000
	for _, mutation := range []string{"", "naive"} {
		counts := map[string]int{}
		acks, reads := 0, 0
		for seed := range uint64(seeds) {
			sim := newSimulation(seededChooser(seed+1), mutation)
			sim.oracle.failf = func(format string, _ ...any) {
				kind, _, _ := strings.Cut(format, ":")
				counts[kind]++
			}
			for range steps {
				sim.step()
			}
			sim.healAll()
			sim.checkFinal()
			acks += sim.oracle.acks
			reads += sim.oracle.reads
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
