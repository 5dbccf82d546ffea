package directory

import (
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// versionDirectory decodes a configuration whose value is its version.
type versionDirectory struct {
	fakeDirectory
}

func (*versionDirectory) DecodeConfiguration(item ebonywood.Item) (*ebonywood.ObjectSet, error) {
	version, err := strconv.ParseUint(string(item.Value()), 10, 64)
	if err != nil {
		return nil, errors.New("no version")
	}
	return ebonywood.NewObjectSet(version, "", nil, nil, nil), nil
}

// TestMirrorKeepsNewestConfiguration guards against a withdrawn key that is valid again in a
// process that starts with this mirror: neither an older version with a later revision, nor an
// invalid or a deleted configuration, may replace the newest valid one, also after a new list.
func TestMirrorKeepsNewestConfiguration(t *testing.T) {
	mirror := newMirror(New(fakePort{directory: &versionDirectory{}, posted: new(ebonywood.Event)}))
	for i, step := range []struct {
		value    string
		revision int64
		kept     string
	}{
		{"bad", 1, "bad"}, {"3", 2, "3"}, {"2", 5, "3"}, {"2", 5, "3"}, {"bad", 6, "3"}, {"", 0, "3"}, {"3", 7, "3"}, {"4", 8, "4"}, {"3", 9, "4"},
	} {
		mirror.items = map[string]ebonywood.Item{}
		if step.revision > 0 {
			mirror.items["configuration"] = ebonywood.NewItem("configuration", []byte(step.value), atRevision(step.revision))
		}
		mirror.keepNewestConfiguration()
		require.Equal(t, step.kept, string(mirror.items["configuration"].Value()), "step %d", i)
	}
}
