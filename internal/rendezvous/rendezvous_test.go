package rendezvous

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOrderDoesNotDependOnAddOrder adds and removes names in a random order. The table
// must equal one that is built from the remaining names.
func TestOrderDoesNotDependOnAddOrder(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	keys := []string{"x", "y", "z"}
	rapid.Check(t, func(t *rapid.T) {
		table := New(3)
		table.SetKeys(keys)
		live := map[string]bool{}
		for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 1, 30).Draw(t, "names") {
			if live[name] = !live[name]; live[name] {
				table.Add(name)
			} else {
				table.Remove(name)
			}
		}
		rebuilt := New(3)
		for _, name := range names {
			if live[name] {
				rebuilt.Add(name)
			}
		}
		rebuilt.SetKeys(keys)
		for _, key := range keys {
			require.Equal(t, rebuilt.Top(key), table.Top(key))
		}
	})
}

func TestRemoveChangesOnlyKeysThatTheNameHeld(t *testing.T) {
	table := New(1)
	keys := []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"}
	table.SetKeys(keys)
	for _, name := range []string{"a", "b", "c"} {
		table.Add(name)
	}
	before := map[string]string{}
	for _, key := range keys {
		before[key] = table.Top(key)[0]
	}
	table.Remove("b")
	for _, key := range keys {
		if before[key] != "b" {
			require.Equal(t, before[key], table.Top(key)[0])
		}
	}
}
