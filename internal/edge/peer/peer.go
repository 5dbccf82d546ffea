// Package peer is the edge between proxies: probes with the news about proxies,
// the spread of object sets, and lanes at an instance's owner for callers who
// came in elsewhere. It speaks drpc with CBOR messages, authenticated by TLS.
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
	"github.com/ebonywood/ebonywood/internal/identity"
	"github.com/ebonywood/ebonywood/internal/objectfile"
	"github.com/ebonywood/ebonywood/internal/peerlink"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "peer"

const (
	// probeLimit bounds a probe, fetchLimit the fetching of a set.
	probeLimit = 300 * time.Millisecond
	fetchLimit = 2 * time.Second
	// drainPoll is how often a draining edge looks whether all lanes were released.
	drainPoll = 10 * time.Millisecond
)

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port) })
}

// Edge is the side of a process towards other proxies.
type Edge struct {
	port     ebonywood.Port
	local    ebonywood.ConnPool
	listener net.Listener
	identity *identity.Identity
	group    *rungroup.Group

	mutex    sync.Mutex
	links    map[string]*peerlink.Link
	served   map[string]ebonywood.PooledConn
	number   uint64
	fetching bool
	draining bool
}

// New opens the port that the settings name. The lanes of the target edge, which
// must have been built before, serve what this process owns.
func New(port ebonywood.Port) (*Edge, error) {
	settings := port.Settings()
	listener, err := net.Listen("tcp", settings.PeerAddress())
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("cannot listen for proxies at %s: %v", settings.PeerAddress(), err),
			"set peerAddress to a free port of this host")
	}
	edge := &Edge{
		port: port, local: port.ConnPool(), listener: listener, group: rungroup.New(context.Background()),
		links: map[string]*peerlink.Link{}, served: map[string]ebonywood.PooledConn{},
	}
	if files := settings.PeerTLS(); files.Certificate() != "" {
		if edge.identity, err = identity.New(files); err != nil {
			return nil, err
		}
		edge.listener = tls.NewListener(listener, edge.identity.Server())
	}
	return edge, nil
}

// Run serves other proxies until ctx ends. Then it opens no more lanes for them,
// and returns once those that are open were released.
func (edge *Edge) Run(ctx context.Context) error {
	defer edge.closeLinks()
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	edge.group.Go(func(context.Context) error {
		return drpcserver.New(handler{edge}).Serve(serving, edge.listener)
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

// drain waits until no other proxy uses a lane of this one.
func (edge *Edge) drain() {
	began := edge.port.Clock().Now()
	limit := edge.port.Settings().DrainLimit()
	for edge.refuseNew() > 0 {
		if limit > 0 && edge.port.Clock().Now()-began > limit {
			return
		}
		time.Sleep(drainPoll)
	}
}

func (edge *Edge) refuseNew() (open int) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.draining = true
	return len(edge.served)
}

// link finds the connections to the proxy at an address.
func (edge *Edge) link(address string) *peerlink.Link {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	known, found := edge.links[address]
	if !found {
		known = peerlink.New(func(ctx context.Context) (net.Conn, error) { return edge.dial(ctx, address) })
		edge.links[address] = known
	}
	return known
}

// dial opens a connection, secured if the settings name an identity.
func (edge *Edge) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || edge.identity == nil {
		return socket, err
	}
	secured := tls.Client(socket, edge.identity.Client())
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = socket.Close()
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

// Perform carries out probes and fetches.
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

// probe asks another proxy whether it lives, or has it ask a third one.
func (edge *Edge) probe(ctx context.Context, action ebonywood.ProbePeer) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	address := action.Address()
	message := probeMessage{
		Version: protocolVersion, Address: edge.port.Settings().PeerAddress(), Generation: edge.generation(),
		Hosts: edge.port.Snapshot().Hosts().Revision(), Join: action.IsJoin(), Updates: encodeUpdates(action.Updates()),
	}
	if action.Via() != "" {
		message.Target, address = address, action.Via()
	}
	var reply probeReply
	err := edge.link(address).Invoke(ctx, rpcProbe, &message, &reply)
	if err == nil {
		_ = edge.port.Post(ctx, ebonywood.NewGossipReceived(decodeUpdates(reply.Updates), reply.Generation, reply.Hosts, address))
	}
	if action.Number() != 0 {
		_ = edge.port.Post(context.WithoutCancel(ctx), ebonywood.NewProbeEnded(action.Number(), err == nil && reply.Reached))
	}
}

// fetch reads the set in force at another proxy, one at a time.
func (edge *Edge) fetch(action ebonywood.FetchObjectSet) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if edge.fetching {
		return
	}
	edge.fetching = true
	edge.group.Go(func(ctx context.Context) error {
		defer edge.endFetch()
		ctx, cancel := context.WithTimeout(ctx, fetchLimit)
		defer cancel()
		var reply fetchReply
		err := edge.link(action.Address()).Invoke(ctx, rpcFetch, &fetchMessage{Version: protocolVersion}, &reply)
		if err != nil {
			return nil
		}
		if reply.Hosts > 0 {
			if err := edge.port.Post(ctx, ebonywood.NewHostsListed(reply.Hosts, reply.Leaving)); err != nil {
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

// handler serves the procedures.
type handler struct {
	edge *Edge
}

// HandleRPC serves one call.
func (handler handler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcProbe:
		return handler.edge.serveProbe(stream)
	case rpcFetch:
		return handler.edge.serveFetch(stream)
	case rpcLane:
		return handler.edge.serveLane(stream)
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
	reply := probeReply{Version: protocolVersion, Generation: edge.generation(), Hosts: edge.port.Snapshot().Hosts().Revision(), Reached: true}
	if message.Target != "" {
		reply.Reached = edge.probeFor(stream.Context(), message.Target)
		return stream.MsgSend(&reply, wire)
	}
	snapshot := edge.port.Snapshot()
	reply.Updates = encodeUpdates(snapshot.PeerUpdates())
	if message.Join {
		reply.Updates = append(reply.Updates, encodePeers(snapshot.Peers(), edge.port.Settings().Name())...)
	}
	news := ebonywood.NewGossipReceived(decodeUpdates(message.Updates), message.Generation, message.Hosts, message.Address)
	if err := edge.port.Post(stream.Context(), news); err != nil {
		return err
	}
	return stream.MsgSend(&reply, wire)
}

// encodePeers tells a proxy that joins of all others. The least incarnation
// makes it give way to whatever is known better.
func encodePeers(peers []ebonywood.PeerView, self string) []updateMessage {
	var updates []ebonywood.PeerUpdate
	for _, peer := range peers {
		if peer.Name() != self {
			updates = append(updates, ebonywood.NewPeerUpdate(peer, 0, ebonywood.PeerAlive))
		}
	}
	return encodeUpdates(updates)
}

// probeFor probes a third proxy in another's place.
func (edge *Edge) probeFor(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
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
	reply := fetchReply{Hosts: snapshot.Hosts().Revision(), Leaving: snapshot.Hosts().Leaving()}
	if set := snapshot.ObjectSet(); set != nil {
		reply.Generation, reply.Content = set.Generation(), set.Content()
	}
	return stream.MsgSend(&reply, wire)
}
