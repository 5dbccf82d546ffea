// Package peer connects the proxies of a fleet. It sends probes that carry gossip about
// the proxies, distributes object sets, and forwards requests of callers to pooled
// connections of the proxy that owns the instance. The protocol is drpc with CBOR
// messages, authenticated by TLS if the settings name an identity.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/clientguard"
	"github.com/ebonywood/ebonywood/internal/identity"
	"github.com/ebonywood/ebonywood/internal/objectfile"
	"github.com/ebonywood/ebonywood/internal/peerlink"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "peer"

const (
	// probeTimeout bounds a probe or a cancel request, fetchTimeout the transfer of an
	// object set.
	probeTimeout = 300 * time.Millisecond
	fetchTimeout = 2 * time.Second
	// drainPollInterval is how often a draining edge checks whether all connections
	// were released.
	drainPollInterval = 10 * time.Millisecond
)

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port) })
}

// Edge probes other proxies, and forwards requests to them and serves theirs.
type Edge struct {
	port      ebonywood.Port
	localPool ebonywood.ConnPool
	listener  net.Listener
	identity  *identity.Identity
	group     *rungroup.Group

	mutex sync.Mutex
	// links holds the connections to other proxies, by address.
	links map[string]*peerlink.Link
	// servedConns holds the connections that other proxies use, by name. The value is
	// nil while a connection is being acquired.
	servedConns map[string]ebonywood.PooledConn
	// lastConnNumber is the number in the name of the last remote connection.
	lastConnNumber uint64
	fetching       bool
	draining       bool
}

// New listens on the peer address of the settings. Instances that this process owns are
// served by the connection pool of the target edge, which must have been created
// before.
func New(port ebonywood.Port) (*Edge, error) {
	settings := port.Settings()
	listener, err := net.Listen("tcp", settings.PeerAddress())
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("cannot listen for proxies at %s: %v", settings.PeerAddress(), err),
			"set peerAddress to a free port of this host")
	}
	edge := &Edge{
		port: port, localPool: port.ConnPool(), listener: listener, group: rungroup.New(context.Background()),
		links: map[string]*peerlink.Link{}, servedConns: map[string]ebonywood.PooledConn{},
	}
	if files := settings.PeerTLS(); files.Certificate() != "" {
		if edge.identity, err = identity.New(files); err != nil {
			return nil, err
		}
		edge.listener = tls.NewListener(listener, edge.identity.ServerConfig())
	}
	return edge, nil
}

// Run serves other proxies until ctx ends. It then drains: it acquires no further
// connections for them, and returns when all have been released or the drain limit, if
// there is one, has passed.
func (edge *Edge) Run(ctx context.Context) error {
	defer edge.closeLinks()
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	edge.group.Go(func(context.Context) error {
		return drpcserver.New(handler{edge}).Serve(serving, edge.limitedListener())
	})
	select {
	case <-ctx.Done():
		edge.drain()
	case <-edge.group.Context().Done():
	}
	stop()
	edge.group.Stop()
	return edge.group.Wait()
}

// limitedListener returns the listener with the limits for other proxies.
func (edge *Edge) limitedListener() net.Listener {
	return clientguard.ListenForPeers(edge.port, edge.listener)
}

// drain waits until no other proxy uses a connection of this one.
func (edge *Edge) drain() {
	start := edge.port.Clock().Now()
	limit := edge.port.Settings().DrainLimit()
	for edge.rejectNewConns() > 0 {
		if limit > 0 && edge.port.Clock().Now()-start > limit {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// rejectNewConns makes further requests for connections fail, and returns the number of
// connections that are in use.
func (edge *Edge) rejectNewConns() (open int) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.draining = true
	return len(edge.servedConns)
}

// link returns the connections to the proxy at an address.
func (edge *Edge) link(address string) *peerlink.Link {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	link, found := edge.links[address]
	if !found {
		link = peerlink.New(func(ctx context.Context) (net.Conn, error) { return edge.dial(ctx, address) })
		edge.links[address] = link
	}
	return link
}

// dial opens a connection, with TLS if the settings name an identity.
func (edge *Edge) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	plain, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || edge.identity == nil {
		return plain, err
	}
	secured := tls.Client(plain, edge.identity.ClientConfig())
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, err
	}
	return secured, nil
}

func (edge *Edge) closeLinks() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, link := range edge.links {
		link.Close()
	}
}

// Perform starts a probe or the transfer of an object set, and reports whether the action
// is one of them.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	switch action := action.(type) {
	case ebonywood.ProbePeer:
		edge.group.Go(func(ctx context.Context) error {
			edge.probe(ctx, action)
			return nil
		})
		return true
	case ebonywood.FetchObjectSet:
		edge.fetch(action)
		return true
	default:
		return false
	}
}

func (edge *Edge) generation() uint64 {
	if set := edge.port.Snapshot().ObjectSet(); set != nil {
		return set.Generation()
	}
	return 0
}

// probe probes a proxy, directly or through another proxy, and posts the received gossip
// and, if the probe has a number, the result.
func (edge *Edge) probe(ctx context.Context, action ebonywood.ProbePeer) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	address := action.Address()
	message := probeMessage{
		Version: protocolVersion, Address: edge.port.Settings().PeerAddress(), Generation: edge.generation(),
		HostsRevision: edge.port.Snapshot().Hosts().Revision(), Join: action.RequestsFullState(), Updates: encodeUpdates(action.Updates()),
	}
	if action.Via() != "" {
		message.Target, address = address, action.Via()
	}
	var reply probeReply
	err := edge.link(address).Invoke(ctx, rpcProbe, &message, &reply)
	if err == nil {
		_ = edge.port.Post(ctx, ebonywood.NewGossipReceived(decodeUpdates(reply.Updates), reply.Generation, reply.HostsRevision, address))
	}
	if action.Number() != 0 {
		_ = edge.port.Post(context.WithoutCancel(ctx), ebonywood.NewProbeEnded(action.Number(), err == nil && reply.Reached))
	}
}

// fetch requests the object set and the list of hosts that are in force at another
// proxy. It does nothing while another fetch is in flight.
func (edge *Edge) fetch(action ebonywood.FetchObjectSet) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if edge.fetching {
		return
	}
	edge.fetching = true
	edge.group.Go(func(ctx context.Context) error {
		defer edge.endFetch()
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		var reply fetchReply
		err := edge.link(action.Address()).Invoke(ctx, rpcFetch, &fetchMessage{Version: protocolVersion}, &reply)
		if err != nil {
			return nil
		}
		if reply.HostsRevision > 0 {
			if err := edge.port.Post(ctx, ebonywood.NewHostsListed(reply.HostsRevision, reply.Leaving)); err != nil {
				return nil
			}
		}
		if reply.Generation <= edge.generation() {
			return nil
		}
		set, err := objectfile.Parse(reply.Generation, reply.Content)
		if err != nil {
			edge.port.Log().Error(err, "a peer's object set can't be applied by this version of the program",
				"generation", reply.Generation, "peer", action.Address())
			return nil
		}
		return edge.port.Post(ctx, ebonywood.NewObjectSetReceived(set))
	})
}

func (edge *Edge) endFetch() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.fetching = false
}

// handler dispatches the remote procedures.
type handler struct {
	edge *Edge
}

// HandleRPC serves one call or stream.
func (handler handler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcProbe:
		return handler.edge.serveProbe(stream)
	case rpcFetch:
		return handler.edge.serveFetch(stream)
	case rpcConn:
		return handler.edge.serveConn(stream)
	case rpcCancel:
		return handler.edge.serveCancel(stream)
	default:
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("no procedure %q", rpc),
			"upgrade the fleet one version at a time")
	}
}

func (edge *Edge) serveProbe(stream drpc.Stream) error {
	var message probeMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	if err := checkVersion(message.Version); err != nil {
		return err
	}
	reply := probeReply{Version: protocolVersion, Generation: edge.generation(), HostsRevision: edge.port.Snapshot().Hosts().Revision(), Reached: true}
	if message.Target != "" {
		reply.Reached = edge.probeOnBehalf(stream.Context(), message.Target)
		return stream.MsgSend(&reply, wire)
	}
	snapshot := edge.port.Snapshot()
	reply.Updates = encodeUpdates(snapshot.PeerUpdates())
	if message.Join {
		reply.Updates = append(reply.Updates, encodePeers(snapshot.Peers(), edge.port.Settings().Name())...)
	}
	gossip := ebonywood.NewGossipReceived(decodeUpdates(message.Updates), message.Generation, message.HostsRevision, message.Address)
	if err := edge.port.Post(stream.Context(), gossip); err != nil {
		return err
	}
	return stream.MsgSend(&reply, wire)
}

// encodePeers returns updates about all peers but self for a proxy that joins. With
// incarnation 0, the lowest, they don't override any newer update.
func encodePeers(peers []ebonywood.PeerView, self string) []updateMessage {
	var updates []ebonywood.PeerUpdate
	for _, peer := range peers {
		if peer.Name() != self {
			updates = append(updates, ebonywood.NewPeerUpdate(peer, 0, ebonywood.PeerAlive))
		}
	}
	return encodeUpdates(updates)
}

// probeOnBehalf probes a proxy on behalf of another one, and reports whether it replied.
func (edge *Edge) probeOnBehalf(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	message := probeMessage{Version: protocolVersion, Address: edge.port.Settings().PeerAddress(), Generation: edge.generation()}
	var reply probeReply
	return edge.link(target).Invoke(ctx, rpcProbe, &message, &reply) == nil
}

func (edge *Edge) serveFetch(stream drpc.Stream) error {
	var message fetchMessage
	if err := stream.MsgRecv(&message, wire); err != nil {
		return err
	}
	snapshot := edge.port.Snapshot()
	reply := fetchReply{HostsRevision: snapshot.Hosts().Revision(), Leaving: snapshot.Hosts().Leaving()}
	if set := snapshot.ObjectSet(); set != nil {
		reply.Generation, reply.Content = set.Generation(), set.Content()
	}
	return stream.MsgSend(&reply, wire)
}
