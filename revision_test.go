package ebonywood

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRevisionsOfALaterEraAreLater guards against ONE: a fencing token of after the store's
// return must be greater than each of before, whatever the numbers are.
func TestRevisionsOfALaterEraAreLater(t *testing.T) {
	ordered := []Revision{
		{},
		NewRevision(0, 1),
		NewRevision(1, 0),
		NewRevision(1, 1<<tokenNumberBits-1),
		NewRevision(2, 1),
		NewRevision(2, 2),
	}
	for i, earlier := range ordered {
		require.Zero(t, earlier.Compare(earlier))
		for _, later := range ordered[i+1:] {
			require.True(t, earlier.Less(later))
			require.False(t, later.Less(earlier))
			require.Equal(t, later, earlier.Max(later))
			require.Less(t, earlier.FencingToken(), later.FencingToken())
		}
	}
}
