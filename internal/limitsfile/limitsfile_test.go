package limitsfile

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func TestParse(t *testing.T) {
	limits, err := Parse("limits.yaml", []byte("statementsPerSlot: 2\nwaitShare: 0.5\nholdForPrimary: 1s\n"))
	require.NoError(t, err)
	require.Equal(t, 2, limits.Count(ebonywood.LimitStatementsPerSlot))
	require.InDelta(t, 0.5, limits.Share(ebonywood.LimitWaitShare), 0)
	require.Equal(t, ebonywood.Millis(1000), limits.Millis(ebonywood.LimitHoldForPrimary))
	require.Equal(t, ebonywood.Millis(250), limits.Millis(ebonywood.LimitSampleAge), "the default")
}

func TestEmptyFileSetsNothing(t *testing.T) {
	for _, text := range []string{"", "# nothing\n"} {
		limits, err := Parse("limits.yaml", []byte(text))
		require.NoError(t, err)
		require.Equal(t, ebonywood.Limits{}, limits)
	}
}

// TestFaultsNameLineAndRemedy checks that all faults of a file are reported together,
// each with its line and a remedy.
func TestFaultsNameLineAndRemedy(t *testing.T) {
	_, err := Parse("limits.yaml", []byte("waitShare: 7\nunknown: 1\ndutyTTL: soon\nserversPerInstance: [1]\nwatchWait: 1s\nwatchWait: 2s\n"))
	for _, part := range []string{
		"limits.yaml:1: waitShare: 7 is out of range; choose from 0.05 to 1", "limits.yaml:2: unknown is not a limit",
		`limits.yaml:3: dutyTTL: "soon" can't be read; write it as 1.2s`, "limits.yaml:4: serversPerInstance",
		"limits.yaml:6: watchWait is set twice",
	} {
		require.ErrorContains(t, err, part)
	}
	_, err = Parse("limits.yaml", []byte("- a\n"))
	require.ErrorContains(t, err, "not a mapping")
	_, err = Parse("limits.yaml", []byte("a: [\n"))
	require.ErrorContains(t, err, "limits.yaml")
}

// TestDefaultsAreInRange checks the default of each limit, and that the order of the
// definitions is that of the constants.
func TestDefaultsAreInRange(t *testing.T) {
	for i, definition := range ebonywood.LimitDefinitions() {
		minimum, maximum := definition.Range()
		require.Equal(t, ebonywood.Limit(i), definition.Limit(), definition.Name())
		require.GreaterOrEqual(t, definition.Default(), minimum)
		require.LessOrEqual(t, definition.Default(), maximum)
	}
}

// TestOperationsPageContainsTable checks that docs/OPERATIONS.md contains the table of
// limits unchanged.
func TestOperationsPageContainsTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	require.True(t, strings.Contains(string(page), Table()), "put this into docs/OPERATIONS.md:\n%s", Table())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("waitShare: 0.5\nwatchWait: 2s\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = Parse("limits.yaml", text)
	})
}
