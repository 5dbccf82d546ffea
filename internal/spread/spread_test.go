package spread

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLargeWorkspacesRunOnMoreProxies guards against connections that are opened anew for most
// statements of small workspaces, and against large workspaces that are served by one proxy.
func TestLargeWorkspacesRunOnMoreProxies(t *testing.T) {
	require.Equal(t, 8, Count(1, 0, 8, 6), "without weights every proxy serves")
	require.Equal(t, 1, Count(1, 100, 8, 6))
	require.Equal(t, 3, Count(10, 100, 8, 6))
	require.Equal(t, 8, Count(60, 100, 8, 6))
}

// TestCountIsWithinTheServers guards against a workspace without a proxy.
func TestCountIsWithinTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0, 1000).Draw(t, "weight")
		total := weight + rapid.Float64Range(0, 1000).Draw(t, "others")
		servers := rapid.IntRange(1, 64).Draw(t, "servers")
		count := Count(weight, total, servers, rapid.IntRange(1, 100).Draw(t, "connections"))
		require.GreaterOrEqual(t, count, 1)
		require.LessOrEqual(t, count, servers)
	})
}
