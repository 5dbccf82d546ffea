package sessions

import (
	"context"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// What this process knows of the proxies that it sends work to. One that leaves
// work without an answer is asked over a fresh connection whether it lives; until
// it answers it gets no work, and reads that wait for it are begun elsewhere. If it
// does answer, it is the connections that went silent.

const (
	// overdueSpan is how long work may lie at a proxy before it is asked whether it
	// lives.
	overdueSpan ebonywood.Millis = 250
	// reachLimit bounds such a question, reachPause is the time between two.
	reachLimit = 200 * time.Millisecond
	reachPause = 300 * time.Millisecond
	// avoidSpan is how long a proxy that refused work is passed over while there is
	// another one.
	avoidSpan ebonywood.Millis = 1500
)

// peer is another proxy.
type peer struct {
	edge *Edge
	view ebonywood.PeerView

	mutex sync.Mutex
	// working are the channels with work under way, by its kind.
	working map[ebonywood.PeerConn]underWay
	// heard is when the proxy last answered anything.
	heard    ebonywood.Millis
	avoided  ebonywood.Millis
	silent   bool
	checking bool
}

// underWay is one piece of work at a proxy.
type underWay struct {
	since      ebonywood.Millis
	repeatable bool
}

// peer finds what is known of a proxy; one at another address is another one.
func (edge *Edge) peer(view ebonywood.PeerView) *peer {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.peers[view]
	if !found {
		known = &peer{edge: edge, view: view, working: map[ebonywood.PeerConn]underWay{}}
		edge.peers[view] = known
	}
	return known
}

// isAvoided reports whether another proxy is to be preferred: this one does not
// answer, is being asked whether it does, or refused work lately.
func (peer *peer) isAvoided() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return peer.silent || peer.checking || peer.avoided > peer.edge.now()
}

// refused notes that the proxy began no work.
func (peer *peer) refused(why string) {
	peer.mutex.Lock()
	known := peer.avoided > peer.edge.now()
	peer.avoided = peer.edge.now() + avoidSpan
	peer.mutex.Unlock()
	if !known {
		peer.edge.counters.line("peerAvoided", "peer", peer.view.Name(), "why", why)
	}
}

// exchange runs work over a channel. Repeatable work fails as soon as the proxy is
// found not to answer.
func (peer *peer) exchange(
	channel ebonywood.PeerConn, work ebonywood.ForwardRequest, limit time.Duration, repeatable bool,
) (ebonywood.ForwardResult, error) {
	peer.mutex.Lock()
	peer.working[channel] = underWay{since: peer.edge.now(), repeatable: repeatable}
	peer.mutex.Unlock()
	done, err := channel.Exchange(work, limit)
	peer.mutex.Lock()
	delete(peer.working, channel)
	if err == nil {
		peer.heard = peer.edge.now()
	}
	peer.mutex.Unlock()
	if err != nil {
		peer.suspect()
	}
	return done, err
}

// isOverdue reports whether work lies there for long while nothing was heard.
func (peer *peer) isOverdue() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	now := peer.edge.now()
	if now-peer.heard < overdueSpan {
		return false
	}
	for _, each := range peer.working {
		if now-each.since >= overdueSpan {
			return true
		}
	}
	return false
}

// suspect finds out whether the proxy still answers.
func (peer *peer) suspect() {
	peer.mutex.Lock()
	begin := !peer.checking
	peer.checking = true
	peer.mutex.Unlock()
	if begin {
		peer.edge.group.Go(peer.check)
	}
}

func (peer *peer) check(ctx context.Context) error {
	for ctx.Err() == nil && peer.edge.isListed(peer.view) {
		asked := peer.edge.now()
		limited, cancel := context.WithTimeout(ctx, reachLimit)
		err := peer.edge.port.Relay().Ping(limited, peer.view.Address())
		cancel()
		// An attempt during which this process stood still says nothing.
		stalled := peer.edge.now()-asked > ebonywood.MillisOf(reachLimit)+stallSpan
		if err == nil {
			peer.distrust(asked)
		}
		if err == nil || !stalled {
			peer.setSilent(err)
		}
		if err == nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(reachPause):
		}
	}
	peer.mutex.Lock()
	peer.checking = false
	peer.mutex.Unlock()
	return nil
}

// distrust gives up the connections that stand if none of them has answered since work
// was sent over one, although the proxy answered over a fresh one at asked: they went
// silent, and new ones work.
func (peer *peer) distrust(asked ebonywood.Millis) {
	peer.mutex.Lock()
	silent := false
	for channel, each := range peer.working {
		if asked-each.since < overdueSpan || peer.heard >= each.since {
			continue
		}
		silent = true
		if each.repeatable {
			channel.Interrupt()
		}
	}
	peer.mutex.Unlock()
	if silent {
		peer.edge.port.Relay().CloseIdle(peer.view)
		peer.edge.counters.line("peerChannelsSilent", "peer", peer.view.Name())
	}
}

// isListed reports whether the proxy still serves or watches anything.
func (edge *Edge) isListed(view ebonywood.PeerView) bool {
	return edge.port.Snapshot().Owners().Includes(view)
}

// setSilent notes whether the proxy answers, and tells the control loop when that
// changed.
func (peer *peer) setSilent(err error) {
	silent := err != nil
	peer.mutex.Lock()
	changed := peer.silent != silent
	peer.silent = silent
	if silent {
		for channel, each := range peer.working {
			if each.repeatable {
				channel.Interrupt()
			}
		}
	} else {
		peer.heard = peer.edge.now()
	}
	peer.mutex.Unlock()
	if !changed {
		return
	}
	why := ""
	if silent {
		why = err.Error()
	}
	peer.edge.counters.line("peerReach", "peer", peer.view.Name(), "reachable", !silent, "why", why)
	peer.edge.post(ebonywood.NewPeerReachabilityChanged(peer.view, !silent))
}

// watchPeers asks those that leave work without an answer, and forgets those that
// are gone.
func (edge *Edge) watchPeers() {
	edge.mutex.Lock()
	known := make([]*peer, 0, len(edge.peers))
	for view, each := range edge.peers {
		known = append(known, each)
		if !edge.isListed(view) && !each.isBusy() {
			delete(edge.peers, view)
		}
	}
	edge.mutex.Unlock()
	for _, each := range known {
		if each.isOverdue() {
			each.suspect()
		}
	}
}

// isBusy reports whether work or a question is under way.
func (peer *peer) isBusy() bool {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return peer.checking || len(peer.working) > 0
}
