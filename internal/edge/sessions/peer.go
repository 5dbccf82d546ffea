package sessions

import (
	"context"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// This file tracks the reachability of the proxies that work is forwarded to. A proxy
// that leaves work unanswered is probed over a new connection. Until it replies it is
// avoided, and reads in flight there are retried at another proxy. If it does reply, the
// existing connections are at fault: the idle ones are closed and overdue reads are
// interrupted.

const (
	// overdueAge is the age of unanswered work at which its proxy is probed.
	overdueAge ebonywood.Millis = 250
	// reachTimeout bounds a probe of a proxy, reachInterval is the pause between two.
	reachTimeout  = 200 * time.Millisecond
	reachInterval = 300 * time.Millisecond
	// avoidPeriod is how long other proxies are preferred to one that refused work.
	avoidPeriod ebonywood.Millis = 1500
)

// peer is the state of another proxy that work is forwarded to.
type peer struct {
	edge *Edge
	view ebonywood.PeerView

	mutex sync.Mutex
	// inFlight holds the work that waits for an outcome, by its channel.
	inFlight map[ebonywood.PeerConn]pendingWork
	// repliedAt is when the proxy last replied to work or to a probe.
	repliedAt    ebonywood.Millis
	avoidedUntil ebonywood.Millis
	unreachable  bool
	probing      bool
}

// pendingWork is one piece of work in flight at a proxy. Repeatable work may be run
// again at another proxy.
type pendingWork struct {
	startedAt  ebonywood.Millis
	repeatable bool
}

// peer returns the state of a proxy and creates it if needed. A proxy that returns
// under another address counts as a new one.
func (edge *Edge) peer(view ebonywood.PeerView) *peer {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	cached, found := edge.peers[view]
	if !found {
		cached = &peer{edge: edge, view: view, inFlight: map[ebonywood.PeerConn]pendingWork{}}
		edge.peers[view] = cached
	}
	return cached
}

// isAvoided reports whether other proxies are preferred, since this one is unreachable,
// is being probed, or refused work within avoidPeriod.
func (peer *peer) isAvoided() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return peer.unreachable || peer.probing || peer.avoidedUntil > peer.edge.now()
}

// recordRefusal records that the proxy refused work without beginning it, and avoids it
// for avoidPeriod.
func (peer *peer) recordRefusal(reason string) {
	peer.mutex.Lock()
	alreadyAvoided := peer.avoidedUntil > peer.edge.now()
	peer.avoidedUntil = peer.edge.now() + avoidPeriod
	peer.mutex.Unlock()
	if !alreadyAvoided {
		peer.edge.counters.logLine("peerAvoided", "peer", peer.view.Name(), "why", reason)
	}
}

// exchange sends work over a channel and waits for its outcome until the timeout.
// Repeatable work fails early, once the proxy is found unreachable. An error starts a
// probe of the proxy.
func (peer *peer) exchange(
	channel ebonywood.PeerConn, work ebonywood.ForwardRequest, timeout time.Duration, repeatable bool,
) (ebonywood.ForwardResult, error) {
	peer.mutex.Lock()
	peer.inFlight[channel] = pendingWork{startedAt: peer.edge.now(), repeatable: repeatable}
	peer.mutex.Unlock()
	done, err := channel.Exchange(work, timeout)
	peer.mutex.Lock()
	delete(peer.inFlight, channel)
	if err == nil {
		peer.repliedAt = peer.edge.now()
	}
	peer.mutex.Unlock()
	if err != nil {
		peer.suspect()
	}
	return done, err
}

// isOverdue reports whether work has been in flight for overdueAge and the proxy has not
// replied to anything for as long.
func (peer *peer) isOverdue() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	now := peer.edge.now()
	if now-peer.repliedAt < overdueAge {
		return false
	}
	for _, work := range peer.inFlight {
		if now-work.startedAt >= overdueAge {
			return true
		}
	}
	return false
}

// suspect starts probing the proxy unless a probe is already running.
func (peer *peer) suspect() {
	peer.mutex.Lock()
	start := !peer.probing
	peer.probing = true
	peer.mutex.Unlock()
	if start {
		peer.edge.group.Go(peer.probeLoop)
	}
}

// probeLoop probes the proxy over new connections until it replies or serves nothing
// any more.
func (peer *peer) probeLoop(ctx context.Context) error {
	for ctx.Err() == nil && peer.edge.isListed(peer.view) {
		probedAt := peer.edge.now()
		limited, cancel := context.WithTimeout(ctx, reachTimeout)
		err := peer.edge.port.Relay().Ping(limited, peer.view.Address())
		cancel()
		// A probe that failed while this process itself was stalled proves nothing.
		stalled := peer.edge.now()-probedAt > ebonywood.MillisOf(reachTimeout)+stallAllowance
		if err == nil {
			peer.dropSilentChannels(probedAt)
		}
		if err == nil || !stalled {
			peer.recordReach(err)
		}
		if err == nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(reachInterval):
		}
	}
	peer.mutex.Lock()
	peer.probing = false
	peer.mutex.Unlock()
	return nil
}

// dropSilentChannels closes the idle channels to the proxy and interrupts overdue
// repeatable work if nothing has been received over existing connections since that work
// was sent, although a probe sent at probedAt was answered over a new connection.
func (peer *peer) dropSilentChannels(probedAt ebonywood.Millis) {
	peer.mutex.Lock()
	silent := false
	for channel, work := range peer.inFlight {
		if probedAt-work.startedAt < overdueAge || peer.repliedAt >= work.startedAt {
			continue
		}
		silent = true
		if work.repeatable {
			channel.Interrupt()
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

// recordReach records the result of a probe and posts a change of reachability to the
// control loop. A failure interrupts the repeatable work in flight.
func (peer *peer) recordReach(err error) {
	unreachable := err != nil
	peer.mutex.Lock()
	changed := peer.unreachable != unreachable
	peer.unreachable = unreachable
	if unreachable {
		for channel, work := range peer.inFlight {
			if work.repeatable {
				channel.Interrupt()
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

// watchPeers starts probing proxies with overdue work and removes the state of those
// that serve nothing any more.
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

// isBusy reports whether work is in flight or a probe is running.
func (peer *peer) isBusy() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return peer.probing || len(peer.inFlight) > 0
}
