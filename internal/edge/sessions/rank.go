package sessions

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/balance"
	"github.com/ebonywood/ebonywood/internal/spread"
)

// This file orders the proxies that a statement may be forwarded to.

// maxServers bounds the proxies that are compared by how they answer. Eight or nine serve an
// instance.
const maxServers = 16

// peerChoice chooses among the proxies to forward to.
var peerChoice = balance.ForProxies()

// rankedServer is a proxy that a statement may be forwarded to. Lower tiers go first.
type rankedServer struct {
	view ebonywood.PeerView
	peer *peer
	load ebonywood.LoadCandidate
	tier int
}

// The tiers. A workspace's statements run on its home proxies, within these on those of this
// availability zone. Without a workspace all proxies are home proxies.
const (
	tierNear = iota
	tierFar
	tierOtherNear
	tierOtherFar
	tierAvoided
)

// rank orders the proxies that serve an instance: home before others, within these the ones of
// this availability zone first; avoided ones last. Within a tier the given order stays. The
// proxy that peerChoice chooses by how the proxies answer now is moved to the front: one after
// the first only if it is clearly faster, by otherCostMs in addition, in ms.
func (edge *Edge) rank(home, others []ebonywood.PeerView, otherCostMs float64) []ebonywood.PeerView {
	servers := make([]rankedServer, 0, len(home)+len(others))
	for i, view := range append(home[:len(home):len(home)], others...) {
		server := rankedServer{view: view, peer: edge.peer(view)}
		load, isAvoided := server.peer.load()
		server.load, server.tier = load, edge.tierOf(view, i >= len(home), isAvoided)
		servers = append(servers, server)
	}
	slices.SortStableFunc(servers, func(left, right rankedServer) int { return cmp.Compare(left.tier, right.tier) })
	noteSlowPeers(servers[:min(len(servers), maxServers)])
	ranked := make([]ebonywood.PeerView, 0, len(servers))
	for _, server := range servers {
		ranked = append(ranked, server.view)
	}
	moveToFront(ranked, chooseServer(servers, otherCostMs))
	return ranked
}

// tierOf returns the tier of a proxy.
func (edge *Edge) tierOf(view ebonywood.PeerView, isOther, isAvoided bool) int {
	near := view.Zone() == edge.port.Settings().Zone()
	switch {
	case isAvoided:
		return tierAvoided
	case isOther && near:
		return tierOtherNear
	case isOther:
		return tierOtherFar
	case near:
		return tierNear
	default:
		return tierFar
	}
}

// chooseServer returns the index of the server to try first. servers are in the order of their
// tiers.
func chooseServer(servers []rankedServer, otherCostMs float64) int {
	var loads [maxServers]ebonywood.LoadCandidate
	count := 0
	for _, server := range servers {
		if server.tier == tierAvoided || count == maxServers {
			break
		}
		loads[count] = server.load
		if server.tier != servers[0].tier {
			loads[count] = loads[count].WithAvoidedCost(balance.FarProxyCostMs)
		}
		if count > 0 {
			loads[count] = loads[count].WithAvoidedCost(otherCostMs)
		}
		count++
	}
	if count < 2 {
		return 0
	}
	return peerChoice.Choose(loads[:count], rand.Uint64())
}

// moveToFront moves the server with this index to the front and keeps the order of the others.
func moveToFront(servers []ebonywood.PeerView, index int) {
	chosen := servers[index]
	copy(servers[1:index+1], servers[:index])
	servers[0] = chosen
}

// noteSlowPeers logs which of the proxies became much slower than the fastest one, or are as
// fast as usual again.
func noteSlowPeers(servers []rankedServer) {
	fastestMs := 0.0
	for _, server := range servers {
		if timeMs := server.load.TimeMs(); timeMs > 0 && (fastestMs == 0 || timeMs < fastestMs) {
			fastestMs = timeMs
		}
	}
	for _, server := range servers {
		if timeMs := server.load.TimeMs(); timeMs > 0 {
			server.peer.noteSlowness(timeMs, max(fastestMs, 1))
		}
	}
}

// rotated returns the proxies in an order that starts at an offset, so that the forwarding
// proxies spread their load.
func rotated(peers []ebonywood.PeerView, offset int) []ebonywood.PeerView {
	return append(slices.Clone(peers[offset:]), peers[:offset]...)
}

// homeOrder divides the proxies that serve an instance, in the workspace's rendezvous order,
// into those on which the workspace's statements run and the others.
func (edge *Edge) homeOrder(
	set *ebonywood.ObjectSet, id ebonywood.InstanceID, peers []ebonywood.PeerView, workspace *ebonywood.Workspace,
) (home, others []ebonywood.PeerView) {
	connections := defaultConnections
	if instance, found := set.Instance(id); found && instance.MaxConnections() > 0 {
		connections = instance.MaxConnections()
	}
	ordered := rendezvousOrder(peers, workspace.Name())
	count := spread.Count(workspace.Rate(), set.TotalRate(), len(peers), shareByWorkspace(connections, len(peers)).maxOpen)
	return ordered[:count], ordered[count:]
}

// rendezvousOrder returns the proxies in the rendezvous order of a key.
func rendezvousOrder(peers []ebonywood.PeerView, key string) []ebonywood.PeerView {
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(left, right ebonywood.PeerView) int {
		return cmp.Compare(xxhash.Sum64String(key+"/"+right.Name()), xxhash.Sum64String(key+"/"+left.Name()))
	})
	return ordered
}
