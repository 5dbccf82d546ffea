package sessions

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

const maxConfigurationAge ebonywood.Millis = 2400

// agedSettings limit the age of the configuration.
type agedSettings struct {
	settings
}

func (agedSettings) MaxConfigurationAge() ebonywood.Millis { return maxConfigurationAge }

// agedPort is a port whose control loop last confirmed the configuration at asOf.
type agedPort struct {
	*port
	asOf ebonywood.Millis
	now  ebonywood.Millis
}

func (aged *agedPort) Settings() ebonywood.Settings { return agedSettings{} }
func (aged *agedPort) Clock() ebonywood.Clock       { return aged }
func (aged *agedPort) Now() ebonywood.Millis        { return aged.now }

func (aged *agedPort) Snapshot() *ebonywood.Snapshot {
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(aged.snapshot.ObjectSet())
	draft.SetObjectSetAsOf(aged.asOf)
	return draft.Publish()
}

// TestMissingRouteIsRefusedOnlyWithACurrentConfiguration checks that a proxy whose control
// loop, watch or watcher is behind does not say that a database does not exist, which may
// have been added meanwhile.
func TestMissingRouteIsRefusedOnlyWithACurrentConfiguration(t *testing.T) {
	aged := &agedPort{port: newPort(), asOf: 10_000}
	edge := New(aged)
	for age, code := range map[ebonywood.Millis]ebonywood.Code{
		0: ebonywood.CodeNoDatabase, maxConfigurationAge: ebonywood.CodeNoDatabase, maxConfigurationAge + 1: ebonywood.CodeBusy,
	} {
		aged.now = aged.asOf + age
		_, opened := edge.Open("unknown", ebonywood.KeyDigest{})
		require.Equal(t, code, opened, "%d ms", age)
		_, opened = edge.Open("shop", ebonywood.KeyDigest{})
		require.Equal(t, ebonywood.CodeDone, opened, "a database with a route is served")
	}
}
