// Package relay connects proxies in a fleet where each instance is served by some of
// them. It forwards the requests of a session to a proxy that serves the instance, and
// runs the requests that other proxies forward to this one. The protocol is drpc with
// CBOR messages.
//
// A stream stays open between two requests, so that each request costs one write on
// either side. When a stream ends within a transaction, the transaction is rolled back.
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
	"github.com/ebonywood/ebonywood/internal/clientguard"
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
	// drainPollInterval is how often a draining process checks for active sessions of
	// other proxies.
	drainPollInterval = 20 * time.Millisecond
	// newerSetTimeout is how long a request waits for the object set that it was routed
	// by.
	newerSetTimeout = 60 * time.Millisecond
)

// Edge forwards requests to other proxies and serves theirs.
type Edge struct {
	port       ebonywood.Port
	listener   net.Listener
	group      *rungroup.Group
	compressor compressor

	mutex sync.Mutex
	// links holds the connections for unary calls, by address.
	links map[string]*peerlink.Link
	// idle holds the idle connections for forwarded requests, by address.
	idle map[string][]*peerConn
	// activeSessions counts the forwarded sessions of other proxies that have an open
	// transaction or a statement in flight.
	activeSessions int
}

var _ ebonywood.Relay = (*Edge)(nil)

// New listens on the peer address of the settings.
func New(port ebonywood.Port) (*Edge, error) {
	address := port.Settings().PeerAddress()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("cannot listen for proxies at %s: %v", address, err), "free the port, or name another one in the settings file")
	}
	return &Edge{
		port: port, listener: listener, group: rungroup.New(context.Background()),
		links: map[string]*peerlink.Link{}, idle: map[string][]*peerConn{},
	}, nil
}

// Perform returns false, since the control loop has no actions for this edge.
func (edge *Edge) Perform(ebonywood.Action) bool { return false }

// Run serves other proxies until ctx ends. It then drains: it starts no further
// requests, and returns when the active ones have ended or the drain limit has passed.
func (edge *Edge) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	edge.group.Go(func(context.Context) error {
		return drpcserver.New(handler{edge}).Serve(serving, edge.limitedListener())
	})
	edge.group.Every(idleTimeout/2, func(context.Context) { edge.closeExpired() })
	select {
	case <-ctx.Done():
		edge.drain()
	case <-edge.group.Context().Done():
	}
	stop()
	edge.group.Stop()
	edge.closeAll()
	return edge.group.Wait()
}

// limitedListener returns the listener with the limits for other proxies.
func (edge *Edge) limitedListener() net.Listener {
	return clientguard.ListenForPeers(edge.port, edge.listener)
}

func (edge *Edge) drain() {
	start := time.Now()
	limit := edge.port.Settings().DrainLimit().Duration()
	for edge.activeCount() > 0 && time.Since(start) < limit {
		time.Sleep(drainPollInterval)
	}
}

func (edge *Edge) activeCount() int {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return edge.activeSessions
}

func (edge *Edge) addActive(change int) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.activeSessions += change
}

// handler dispatches the remote procedures.
type handler struct {
	edge *Edge
}

// HandleRPC serves one call or stream. A panic ends only that call or stream, whose state
// belongs to it alone.
func (handler handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	caught := panics.Try(func() { err = handler.serve(stream, rpc) })
	if caught != nil {
		handler.edge.port.Log().Error(caught.AsError(), "work for another proxy failed")
		return caught.AsError()
	}
	return err
}

func (handler handler) serve(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcForward:
		server := &sessionServer{edge: handler.edge, stream: stream}
		defer server.abandon()
		server.serve()
		return nil
	case rpcFetchChanges:
		return handler.edge.serveFetchChanges(stream)
	case rpcPing:
		return handler.edge.servePing(stream)
	case rpcRequestTokens:
		return handler.edge.serveTokens(stream)
	default:
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("no procedure %q", rpc), "upgrade the fleet one version at a time")
	}
}

// sessionServer serves the forwarded requests of one stream.
type sessionServer struct {
	edge   *Edge
	stream drpc.Stream
	// session is the session of the open transaction or the running request; nil
	// otherwise.
	session ebonywood.ForwardedSession
	// active reports that this stream is counted in the edge's activeSessions.
	active bool
}

// serve runs requests until the stream ends.
func (server *sessionServer) serve() {
	for server.serveNext() == nil {
	}
}

// serveNext receives and runs one request and sends its result.
func (server *sessionServer) serveNext() error {
	var message forwardMessage
	if err := server.stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	server.setActive(true)
	result := server.run(&message)
	if server.session != nil && server.session.IsIdle() {
		server.session = nil
	}
	err := server.stream.MsgSend(encodeResult(result), wire)
	server.setActive(server.session != nil)
	return err
}

// setActive counts this stream among the active ones, or no longer. A draining process
// waits for those, so a request counts until its result is sent.
func (server *sessionServer) setActive(active bool) {
	if server.active == active {
		return
	}
	server.active = active
	if active {
		server.edge.addActive(1)
	} else {
		server.edge.addActive(-1)
	}
}

func (server *sessionServer) run(message *forwardMessage) ebonywood.ForwardResult {
	if message.Version != protocolVersion {
		return ebonywood.NewForwardRefusal(fmt.Sprintf("protocol version %d is not supported here", message.Version))
	}
	request := message.decode()
	if server.session == nil {
		if reason := server.edge.refusal(request); reason != "" {
			return ebonywood.NewForwardRefusal(reason)
		}
		server.session = server.edge.port.Sessions().OpenForwarded(server.stream.Context(), request)
	}
	return server.session.Run(request)
}

// refusal returns why this process does not start a request, or an empty string if it
// does. It waits up to newerSetTimeout for the object set that the request was routed
// by.
func (edge *Edge) refusal(request ebonywood.ForwardRequest) string {
	snapshot := edge.port.Snapshot()
	if snapshot.IsDraining() {
		return "the proxy is leaving"
	}
	required := request.State().Generation()
	if set := snapshot.ObjectSet(); set != nil && set.Generation() >= required {
		return ""
	}
	ctx, cancel := context.WithTimeout(edge.group.Context(), newerSetTimeout)
	defer cancel()
	_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool {
		return snapshot.ObjectSet() != nil && snapshot.ObjectSet().Generation() >= required
	})
	if err != nil {
		return "the object set is older here"
	}
	return ""
}

// abandon rolls back the transaction that the end of the stream left open.
func (server *sessionServer) abandon() {
	defer server.setActive(false)
	if server.session == nil {
		return
	}
	server.session.Close()
	server.session = nil
}
