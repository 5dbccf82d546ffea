package sessions

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/balance"
)

// This file tracks the reachability of the proxies that statements are forwarded to. A
// proxy that does not reply to a request is pinged over a new connection. It is avoided
// until it replies to the ping, and if the ping fails, reads in flight there are retried
// at another proxy. If it does reply, the existing connections are at fault: the idle
// ones are closed and overdue reads are interrupted.

const (
	// overdueAge is the age of a request without a result at which its proxy is pinged.
	overdueAge ebonywood.Millis = 250
	// pingTimeout bounds a ping of a proxy, pingInterval is the pause between two.
	pingTimeout  = 200 * time.Millisecond
	pingInterval = 300 * time.Millisecond
	// avoidPeriod is how long other proxies are preferred to one that refused a request.
	avoidPeriod ebonywood.Millis = 1500
	// nominalForwardMs is the time of a forwarded request, in ms, for which proxies are compared.
	nominalForwardMs = 20.0
	// refusalSlowness counts a refusal as a request that took this many times as long as
	// expected, so that a proxy that refused gets its share back little by little.
	refusalSlowness = 5.0
	// slowPeerFactor is how much longer than the fastest one a proxy takes that is logged as
	// slow. It is logged as usual again below half of that.
	slowPeerFactor = 4.0
)

// peer is the state of another proxy that statements are forwarded to.
type peer struct {
	edge *Edge
	view ebonywood.PeerView

	mutex sync.Mutex
	// inFlight holds the requests that wait for a result, by their connection.
	inFlight map[ebonywood.PeerConn]pendingRequest
	// repliedAt is when the proxy last replied to a request or a ping.
	repliedAt    ebonywood.Millis
	avoidedUntil ebonywood.Millis
	unreachable  bool
	pinging      bool
	// slowness is the moving average of the ratio of the requests' times to the expected ones,
	// 0 before the first request, as of slownessAt.
	slowness   float64
	slownessAt ebonywood.Millis
	// slow reports that the proxy was logged as slow.
	slow atomic.Bool
}

// pendingRequest is a request in flight at a proxy. A repeatable one is interrupted when
// the proxy is unreachable.
type pendingRequest struct {
	startedAt  ebonywood.Millis
	repeatable bool
}

// peer returns the state of a proxy and creates it if needed. A proxy that restarts at
// another address counts as a new one.
func (edge *Edge) peer(view ebonywood.PeerView) *peer {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	cached, found := edge.peers[view]
	if !found {
		cached = &peer{edge: edge, view: view, inFlight: map[ebonywood.PeerConn]pendingRequest{}}
		edge.peers[view] = cached
	}
	return cached
}

// isAvoided reports whether other proxies are preferred, since this one is unreachable,
// is being pinged, or refused a request within avoidPeriod.
func (peer *peer) isAvoided() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return peer.unreachable || peer.pinging || peer.avoidedUntil > peer.edge.now()
}

// recordRefusal records that the proxy refused a request without starting it. The proxy
// is avoided for avoidPeriod.
func (peer *peer) recordRefusal(reason string) {
	peer.mutex.Lock()
	alreadyAvoided := peer.avoidedUntil > peer.edge.now()
	peer.avoidedUntil = peer.edge.now() + avoidPeriod
	peer.addSlowness(refusalSlowness)
	peer.mutex.Unlock()
	if !alreadyAvoided {
		peer.edge.counters.logLine("peerAvoided", "peer", peer.view.Name(), "why", reason)
	}
}

// addSlowness adds a ratio to the moving average. The mutex is held.
func (peer *peer) addSlowness(ratio float64) {
	now := peer.edge.now()
	peer.slowness, peer.slownessAt = balance.Average(peer.slowness, ratio, now-peer.slownessAt), now
}

// recordTime records the time of a request. The members are the same for all proxies, so what
// differs between proxies is the time that they add. A request without a result counts only if
// it took longer than expected; a connection that fails at once is handled by the ping.
func (peer *peer) recordTime(elapsed, expected time.Duration, answered bool) {
	if !answered && elapsed <= expected {
		return
	}
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	peer.addSlowness(min(float64(elapsed)/float64(max(expected, time.Microsecond)), maxSlowness))
}

// load returns what this process knows of the load at the proxy, and whether it is avoided.
func (peer *peer) load() (load ebonywood.LoadCandidate, isAvoided bool) {
	now := peer.edge.now()
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	load = ebonywood.NewLoadCandidate(len(peer.inFlight), 0).WithTime(peer.slowness*nominalForwardMs, now-peer.slownessAt)
	return load, peer.unreachable || peer.pinging || peer.avoidedUntil > now
}

// noteSlowness logs that the proxy became slow, or is as fast as usual again. fastestMs is the
// time of the fastest proxy.
func (peer *peer) noteSlowness(timeMs, fastestMs float64) {
	wasSlow := peer.slow.Load()
	slow := timeMs >= nominalForwardMs && timeMs >= slowPeerFactor*fastestMs
	if wasSlow {
		slow = timeMs >= slowPeerFactor/2*fastestMs
	}
	if slow == wasSlow || !peer.slow.CompareAndSwap(wasSlow, slow) {
		return
	}
	kind := "usual"
	if slow {
		kind = "slow"
	}
	peer.edge.counters.count("peersSlow", kind)
	peer.edge.counters.logLine("peerSlow", "peer", peer.view.Name(), "slow", slow, "timeMs", timeMs, "fastestMs", fastestMs)
}

// exchange sends a request and waits for its result until the timeout. A repeatable
// request fails early, once the proxy is found unreachable. After an error the proxy is
// pinged.
func (peer *peer) exchange(
	conn ebonywood.PeerConn, request ebonywood.ForwardRequest, timeout time.Duration, repeatable bool,
) (ebonywood.ForwardResult, error) {
	peer.mutex.Lock()
	peer.inFlight[conn] = pendingRequest{startedAt: peer.edge.now(), repeatable: repeatable}
	peer.mutex.Unlock()
	result, err := conn.Exchange(request, timeout)
	peer.mutex.Lock()
	delete(peer.inFlight, conn)
	if err == nil {
		peer.repliedAt = peer.edge.now()
	}
	peer.mutex.Unlock()
	if err != nil {
		peer.suspect()
	}
	return result, err
}

// isOverdue reports whether a request has been in flight for overdueAge and the proxy has
// not replied to anything for as long.
func (peer *peer) isOverdue() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	now := peer.edge.now()
	if now-peer.repliedAt < overdueAge {
		return false
	}
	for _, request := range peer.inFlight {
		if now-request.startedAt >= overdueAge {
			return true
		}
	}
	return false
}

// suspect starts pinging the proxy unless it is already being pinged.
func (peer *peer) suspect() {
	peer.mutex.Lock()
	start := !peer.pinging
	peer.pinging = true
	peer.mutex.Unlock()
	if start {
		peer.edge.group.Go(peer.pingUntilReachable)
	}
}

// pingUntilReachable pings the proxy over new connections until it replies or serves no
// instance any more.
func (peer *peer) pingUntilReachable(ctx context.Context) error {
	for ctx.Err() == nil && peer.edge.isListed(peer.view) {
		sentAt := peer.edge.now()
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := peer.edge.port.Relay().Ping(pingCtx, peer.view.Address())
		cancel()
		// A ping that failed while this process itself was stalled proves nothing.
		stalled := peer.edge.now()-sentAt > ebonywood.MillisOf(pingTimeout)+stallAllowance
		if err == nil {
			peer.dropSilentConns(sentAt)
		}
		if err == nil || !stalled {
			peer.recordReachability(err)
		}
		if err == nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pingInterval):
		}
	}
	peer.mutex.Lock()
	peer.pinging = false
	peer.mutex.Unlock()
	return nil
}

// dropSilentConns is called when the proxy replied to a ping that was sent at pingedAt
// over a new connection. If a request was overdue by then and the proxy has replied to
// nothing since that request was sent, the existing connections no longer work: overdue
// repeatable requests are interrupted and the idle connections are closed.
func (peer *peer) dropSilentConns(pingedAt ebonywood.Millis) {
	peer.mutex.Lock()
	silent := false
	for conn, request := range peer.inFlight {
		if pingedAt-request.startedAt < overdueAge || peer.repliedAt >= request.startedAt {
			continue
		}
		silent = true
		if request.repeatable {
			conn.Interrupt()
		}
	}
	peer.mutex.Unlock()
	if silent {
		peer.edge.port.Relay().CloseIdle(peer.view)
		peer.edge.counters.logLine("peerChannelsSilent", "peer", peer.view.Name())
	}
}

// isListed reports whether the proxy is still among the owners of any instance.
func (edge *Edge) isListed(view ebonywood.PeerView) bool {
	return edge.port.Snapshot().Owners().Includes(view)
}

// recordReachability records the result of a ping and posts a change to the control loop.
// A failure interrupts the repeatable requests in flight.
func (peer *peer) recordReachability(err error) {
	unreachable := err != nil
	peer.mutex.Lock()
	changed := peer.unreachable != unreachable
	peer.unreachable = unreachable
	if unreachable {
		for conn, request := range peer.inFlight {
			if request.repeatable {
				conn.Interrupt()
			}
		}
	} else {
		peer.repliedAt = peer.edge.now()
	}
	peer.mutex.Unlock()
	if !changed {
		return
	}
	reason := ""
	if unreachable {
		reason = err.Error()
	}
	peer.edge.counters.logLine("peerReach", "peer", peer.view.Name(), "reachable", !unreachable, "why", reason)
	peer.edge.post(ebonywood.NewPeerReachabilityChanged(peer.view, !unreachable))
}

// watchPeers starts pinging proxies with overdue requests and removes the state of idle
// ones that serve no instance any more.
func (edge *Edge) watchPeers() {
	edge.mutex.Lock()
	peers := make([]*peer, 0, len(edge.peers))
	for view, peer := range edge.peers {
		peers = append(peers, peer)
		if !edge.isListed(view) && !peer.isBusy() {
			delete(edge.peers, view)
		}
	}
	edge.mutex.Unlock()
	for _, peer := range peers {
		if peer.isOverdue() {
			peer.suspect()
		}
	}
}

// isBusy reports whether requests are in flight or the proxy is being pinged.
func (peer *peer) isBusy() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return peer.pinging || len(peer.inFlight) > 0
}
