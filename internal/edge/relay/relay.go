// Package relay is the edge between proxies where each instance is served by some
// of them: it carries the work of a session to a proxy that serves the instance,
// and runs the work that others send here. It speaks drpc with CBOR messages.
//
// A stream stays open between two pieces of work, so that each costs one write on
// either side. A stream that ends within a transaction rolls it back.
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/peerlink"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "relay"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port) })
}

const (
	// drainPoll is how often a leaving process looks whether work for others ended.
	drainPoll = 20 * time.Millisecond
	// newerSetLimit is how long work waits for the object set that it was routed by.
	newerSetLimit = 60 * time.Millisecond
)

// Edge is the side of a process towards the proxies that share the instances.
type Edge struct {
	port     ebonywood.Port
	listener net.Listener
	group    *rungroup.Group
	packer   packer

	mutex sync.Mutex
	// links are the connections for calls, by address.
	links map[string]*peerlink.Link
	// idle are the channels to each address that wait for work.
	idle map[string][]*channel
	// busy counts the sessions of others with an open transaction or a statement
	// under way.
	busy int
}

var _ ebonywood.Relay = (*Edge)(nil)

// New opens the port that the settings name.
func New(port ebonywood.Port) (*Edge, error) {
	address := port.Settings().PeerAddress()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("cannot listen for proxies at %s: %v", address, err), "free the port, or name another one in the settings file")
	}
	return &Edge{
		port: port, listener: listener, group: rungroup.New(context.Background()),
		links: map[string]*peerlink.Link{}, idle: map[string][]*channel{},
	}, nil
}

// Perform does nothing: control asks nothing of this edge.
func (edge *Edge) Perform(ebonywood.Action) bool { return false }

// Run serves other proxies until ctx ends. Then it begins nothing more for them,
// and returns once what was begun has ended, or the time to leave is over.
func (edge *Edge) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	edge.group.Go(func(context.Context) error {
		return drpcserver.New(handler{edge}).Serve(serving, edge.listener)
	})
	edge.group.Every(idleSpan/2, func(context.Context) { edge.closeUnused() })
	select {
	case <-ctx.Done():
		edge.drain()
	case <-edge.group.Context().Done():
	}
	stop()
	edge.group.Stop()
	edge.closeIdle()
	return edge.group.Wait()
}

func (edge *Edge) drain() {
	began := time.Now()
	limit := edge.port.Settings().DrainLimit().Duration()
	for edge.underWay() > 0 && time.Since(began) < limit {
		time.Sleep(drainPoll)
	}
}

func (edge *Edge) underWay() int {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return edge.busy
}

func (edge *Edge) count(change int) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.busy += change
}

// handler serves the procedure.
type handler struct {
	edge *Edge
}

// HandleRPC serves one stream.
func (handler handler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcWork:
	case rpcFollow:
		return handler.edge.serveFollow(stream)
	case rpcReach:
		return handler.edge.serveReach(stream)
	default:
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("no procedure %q", rpc), "upgrade the fleet one version at a time")
	}
	served := &served{edge: handler.edge, stream: stream}
	// A fault that one session's work brings out ends that session only.
	if caught := panics.Try(served.serve); caught != nil {
		handler.edge.port.Log().Error(caught.AsError(), "work for another proxy failed")
	}
	served.abandon()
	return nil
}

// served is the work that comes over one stream.
type served struct {
	edge   *Edge
	stream drpc.Stream
	// session has an open transaction; nil between two pieces of work.
	session ebonywood.ForwardedSession
}

// serve runs work until the stream ends.
func (served *served) serve() {
	for served.next() == nil {
	}
}

// next runs one piece of work.
func (served *served) next() error {
	var message workMessage
	if err := served.stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	if served.session == nil {
		served.edge.count(1)
	}
	done := served.run(&message)
	if served.session != nil && served.session.IsIdle() {
		served.session = nil
	}
	if served.session == nil {
		served.edge.count(-1)
	}
	return served.stream.MsgSend(encodeDone(done), wire)
}

func (served *served) run(message *workMessage) ebonywood.ForwardResult {
	if message.Version != protocolVersion {
		return ebonywood.NewForwardRefusal(fmt.Sprintf("version %d of the protocol is not known here", message.Version))
	}
	work := message.decode()
	if served.session == nil {
		if why := served.edge.refusal(work); why != "" {
			return ebonywood.NewForwardRefusal(why)
		}
		served.session = served.edge.port.Sessions().OpenForwarded(work)
	}
	return served.session.Run(work)
}

// refusal says why new work is not begun here; empty if it is.
func (edge *Edge) refusal(work ebonywood.ForwardRequest) string {
	snapshot := edge.port.Snapshot()
	if snapshot.IsDraining() {
		return "the proxy is leaving"
	}
	wanted := work.State().Generation()
	if set := snapshot.ObjectSet(); set != nil && set.Generation() >= wanted {
		return ""
	}
	ctx, cancel := context.WithTimeout(edge.group.Context(), newerSetLimit)
	defer cancel()
	_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		return snapshot.ObjectSet() != nil && snapshot.ObjectSet().Generation() >= wanted
	})
	if err != nil {
		return "the object set is older here"
	}
	return ""
}

// abandon rolls back what the stream's end left open.
func (served *served) abandon() {
	if served.session == nil {
		return
	}
	served.session.Abandon()
	served.session = nil
	served.edge.count(-1)
}
