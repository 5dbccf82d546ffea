package sessions

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// deafMember does not respond: opening a connection fails after a while.
type deafMember struct {
	after time.Duration
}

func (member *deafMember) Dial(ebonywood.InstanceID, ebonywood.Member, string, time.Duration) (ebonywood.MemberConn, ebonywood.Position, error) {
	time.Sleep(member.after)
	return nil, ebonywood.Position{}, ebonywood.NewFault(ebonywood.KindUnavailable, "no response", "")
}

// deafPort is a port with a clock that follows the time of the test.
type deafPort struct {
	servingPort
	member *deafMember
	start  time.Time
}

func (port deafPort) Dialer() ebonywood.Dialer { return port.member }
func (port deafPort) Clock() ebonywood.Clock   { return port }
func (port deafPort) Now() ebonywood.Millis    { return ebonywood.MillisOf(time.Since(port.start)) }

// TestProbeOfAStalledProcessProvesNothing checks that a probe that fails counts against the
// member only if this process itself was not stalled meanwhile: a probe that takes far longer
// than its timeout was not given any processor time to read the response.
func TestProbeOfAStalledProcessProvesNothing(t *testing.T) {
	for after, reachable := range map[time.Duration]bool{
		probeDialTimeout: false, probeDialTimeout + stallAllowance.Duration() + time.Millisecond: true,
	} {
		synctest.Test(t, func(t *testing.T) {
			edge := New(deafPort{servingPort: newServingPort(), member: &deafMember{after: after}, start: time.Now()})
			reached, done := edge.pool(db, ebonywood.NewMember("m0", "a", "m0", 1, 10, false)).probeOnce()
			require.Equal(t, reachable, reached, "the probe took %s", after)
			require.False(t, done, "it is repeated")
		})
	}
}
