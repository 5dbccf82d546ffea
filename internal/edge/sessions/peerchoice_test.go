package sessions

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/balance"
)

// forwarders is an edge in zone a before proxies of two zones, on a clock that the test sets.
type forwarders struct {
	edge    *Edge
	clock   *agedPort
	servers []ebonywood.PeerView
}

func newForwarders() *forwarders {
	clock := &agedPort{port: newPort(), now: 10_000}
	return &forwarders{edge: New(clock), clock: clock, servers: []ebonywood.PeerView{
		ebonywood.NewPeerView("n1", "a", "n1"), ebonywood.NewPeerView("n2", "a", "n2"),
		ebonywood.NewPeerView("f1", "b", "f1"), ebonywood.NewPeerView("f2", "b", "f2"),
	}}
}

// answer records a number of requests to a proxy that took this many times as long as expected.
func (forwarders *forwarders) answer(name string, count int, ratio float64) {
	for _, server := range forwarders.servers {
		for range count {
			if server.Name() == name {
				forwarders.edge.peer(server).recordTime(time.Duration(ratio*float64(20*time.Millisecond)), 20*time.Millisecond, true)
			}
		}
	}
}

// firsts returns how often each proxy is the first one, in percent.
func (forwarders *forwarders) firsts(workspace string) map[string]int {
	const rounds = 2000
	counts := map[string]int{}
	for range rounds {
		counts[forwarders.rank(forwarders.servers, workspace)[0].Name()]++
	}
	for name := range counts {
		counts[name] = counts[name] * 100 / rounds
	}
	return counts
}

// rank orders the servers as for a session of the workspace; empty for none.
func (forwarders *forwarders) rank(servers []ebonywood.PeerView, workspace string) []ebonywood.PeerView {
	if workspace == "" {
		return forwarders.edge.rank(rotated(servers, rand.IntN(len(servers))), nil, 0)
	}
	return forwarders.edge.rank(rendezvousOrder(servers, workspace), nil, balance.OtherProxyCostMs)
}

// TestForwardingStaysInTheZone guards against hops between zones, and against one of two equal
// proxies getting all requests.
func TestForwardingStaysInTheZone(t *testing.T) {
	firsts := newForwarders().firsts("")
	require.InDelta(t, 50, firsts["n1"], 6)
	require.InDelta(t, 50, firsts["n2"], 6)
	require.Zero(t, firsts["f1"]+firsts["f2"])
}

// TestSlowProxyIsLeft guards against requests to a proxy that has little processor time while
// others answer faster, and against never returning to it.
func TestSlowProxyIsLeft(t *testing.T) {
	forwarders := newForwarders()
	for _, name := range []string{"n1", "n2", "f1", "f2"} {
		forwarders.answer(name, 10, 1)
	}
	forwarders.answer("n1", 20, 8)
	require.Less(t, forwarders.firsts("")["n1"], 3)
	forwarders.answer("n2", 20, 8)
	firsts := forwarders.firsts("")
	require.Greater(t, firsts["f1"]+firsts["f2"], 80, "another zone is used if the own one is slow")
	forwarders.answer("n2", 40, 1)
	forwarders.clock.now += 10_000
	forwarders.answer("n2", 1, 1)
	later := forwarders.firsts("")["n1"]
	require.Positive(t, later, "the trickle begins")
	require.Less(t, later, 10)
	forwarders.clock.now += 30_000
	forwarders.answer("n2", 1, 1)
	require.Greater(t, forwarders.firsts("")["n1"], later, "the trickle grows")
}

// TestRefusingProxyReturnsByATrickle guards against a proxy that gets its full share 1.5 s after a
// refusal and refuses again.
func TestRefusingProxyReturnsByATrickle(t *testing.T) {
	forwarders := newForwarders()
	for _, name := range []string{"n1", "n2", "f1", "f2"} {
		forwarders.answer(name, 10, 1)
	}
	forwarders.edge.peer(forwarders.servers[0]).recordRefusal("the wait is too long")
	require.Zero(t, forwarders.firsts("")["n1"])
	forwarders.clock.now += avoidPeriod + 1
	forwarders.answer("n2", 1, 1)
	first := forwarders.firsts("")["n1"]
	require.Less(t, first, 25)
	forwarders.clock.now += 20_000
	forwarders.answer("n2", 1, 1)
	require.Greater(t, forwarders.firsts("")["n1"], first)
}

// TestWorkspaceKeepsItsProxy guards against connections for a workspace at many proxies: its
// order is kept while the times differ little.
func TestWorkspaceKeepsItsProxy(t *testing.T) {
	forwarders := newForwarders()
	order := rendezvousOrder(forwarders.servers[:2], "north")
	first, second := order[0].Name(), order[1].Name()
	require.Equal(t, map[string]int{first: 100}, forwarders.firsts("north"))
	forwarders.answer(first, 20, 1.5)
	forwarders.answer(second, 20, 1)
	require.Equal(t, map[string]int{first: 100}, forwarders.firsts("north"))
	forwarders.answer(first, 20, 6)
	require.Greater(t, forwarders.firsts("north")[second], 90)
	far := forwarders.rank(forwarders.servers[2:], "north")
	require.Equal(t, rendezvousOrder(forwarders.servers[2:], "north"), far, "also without a proxy in the own zone")
}

// TestAllProxiesAreRanked guards against losing a proxy from the order in which they are tried.
func TestAllProxiesAreRanked(t *testing.T) {
	forwarders := newForwarders()
	forwarders.edge.peer(forwarders.servers[1]).recordRefusal("the wait is too long")
	for range 100 {
		ranked := forwarders.rank(forwarders.servers, "")
		require.ElementsMatch(t, forwarders.servers, ranked)
		require.Equal(t, "n2", ranked[3].Name(), "the refusing one is last")
	}
}

// BenchmarkRank measures the choice of a proxy, which every forwarded statement pays.
func BenchmarkRank(b *testing.B) {
	forwarders := newForwarders()
	forwarders.servers = append(forwarders.servers, ebonywood.NewPeerView("g1", "c", "g1"), ebonywood.NewPeerView("g2", "c", "g2"),
		ebonywood.NewPeerView("h1", "d", "h1"), ebonywood.NewPeerView("h2", "d", "h2"))
	b.ReportAllocs()
	for b.Loop() {
		forwarders.rank(forwarders.servers, "")
	}
}
