// Package targetserver is a stand-in for one member of a database group: a small
// PostgreSQL v3 server with terms, log positions, replication and switches that
// cause the failures that the proxy must withstand. It knows the few statements
// that docs/TARGETS.md lists, so that no database has to be installed for a
// test.
package targetserver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/rungroup"
	"github.com/ebonywood/ebonywood/internal/standin/journal"
)

// ControlUser may connect beyond the connection cap and runs outside the slots,
// as a database reserves connections for its operators.
const ControlUser = "ebonywood_control"

const (
	defaultSlots       = 3
	defaultConnections = 20
)

// Server is one member. Set its options before Serve.
type Server struct {
	slots        int
	connections  int
	connectDelay time.Duration
	serviceTime  time.Duration
	peers        []string
	password     string

	mutex    sync.Mutex
	journal  journal.Journal
	changed  chan struct{}
	heard    time.Time
	sessions map[*session]struct{}

	slot       chan struct{}
	open       int
	crest      int
	refused    int
	statements atomic.Int64

	lag    atomic.Int64
	cut    atomic.Bool
	frozen atomic.Pointer[chan struct{}]

	listener net.Listener
	pids     atomic.Uint32
}

// New makes a member that replicates to peers, given by address, while it is
// primary.
func New(peers []string) *Server {
	return &Server{
		slots: defaultSlots, connections: defaultConnections, peers: peers,
		changed: make(chan struct{}), sessions: map[*session]struct{}{},
	}
}

// SetLimits sets how many statements run at once and how many connections are
// accepted.
func (server *Server) SetLimits(slots, connections int) {
	server.slots = slots
	server.connections = connections
}

// SetDelays sets how long a connection takes to open and how long a statement
// holds its slot.
func (server *Server) SetDelays(connect, service time.Duration) {
	server.connectDelay = connect
	server.serviceTime = service
}

// SetPassword asks callers for a password; empty asks for none.
func (server *Server) SetPassword(password string) { server.password = password }

// SetLag delays what reads see behind what is stored.
func (server *Server) SetLag(lag time.Duration) { server.lag.Store(int64(lag)) }

// SetPartitioned cuts the member from its peers, not from proxies.
func (server *Server) SetPartitioned(cut bool) { server.cut.Store(cut) }

// SetFrozen stops the member from answering, on old and new connections alike,
// until it is thawed.
func (server *Server) SetFrozen(frozen bool) {
	if frozen {
		gate := make(chan struct{})
		server.frozen.CompareAndSwap(nil, &gate)
		return
	}
	if gate := server.frozen.Swap(nil); gate != nil {
		close(*gate)
	}
}

// Silence makes all open connections silent for good while new ones work.
func (server *Server) Silence() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for each := range server.sessions {
		each.silent.Store(true)
	}
}

// ConnectionCounts returns the greatest number of connections that were open at
// once, and how many were refused.
func (server *Server) ConnectionCounts() (crest, refused int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.crest, server.refused
}

// Statements counts the statements that ran.
func (server *Server) Statements() int64 { return server.statements.Load() }

// Bootstrap makes an empty member the primary of term 1, as the platform does
// once when it creates an instance.
func (server *Server) Bootstrap() error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if err := server.journal.Fence(1, "platform"); err != nil {
		return err
	}
	defer server.announce()
	return server.journal.Promote(1, "platform")
}

// Values reads a key's visible values, for tests and the demo.
func (server *Server) Values(key string) []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]string(nil), server.journal.Values(key)...)
}

// IsPrimary reports whether the member accepts writes.
func (server *Server) IsPrimary() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.journal.IsPrimary()
}

// Address is where the member listens, once Listen returned.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Listen opens the port.
func (server *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable,
			fmt.Sprintf("cannot listen at %s: %v", address, err), "choose a free port")
	}
	server.listener = listener
	return nil
}

// Serve works until ctx ends, then closes every connection at once, as a killed
// server does. Listen comes first.
func (server *Server) Serve(ctx context.Context) error {
	server.slot = make(chan struct{}, server.slots)
	group := rungroup.New(ctx)
	for _, peer := range server.peers {
		group.Go(func(ctx context.Context) error { return server.replicate(ctx, peer) })
	}
	group.Go(server.applyLoop)
	group.Go(func(ctx context.Context) error {
		return server.accept(ctx, group)
	})
	<-group.Context().Done()
	_ = server.listener.Close()
	server.SetFrozen(false)
	server.closeSessions(func(*session) bool { return true })
	return group.Wait()
}

func (server *Server) accept(ctx context.Context, group *rungroup.Group) error {
	for {
		socket, err := server.listener.Accept()
		if err != nil {
			return err
		}
		group.Go(func(ctx context.Context) error {
			newSession(server, socket).run(ctx)
			return nil
		})
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (server *Server) closeSessions(which func(*session) bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for each := range server.sessions {
		if which(each) {
			_ = each.socket.Close()
		}
	}
}

// awaitThaw blocks while the member is frozen.
func (server *Server) awaitThaw(ctx context.Context) {
	if gate := server.frozen.Load(); gate != nil {
		select {
		case <-*gate:
		case <-ctx.Done():
		}
	}
}

// announce wakes all that wait for the journal to change; the mutex is held.
func (server *Server) announce() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// admit counts a connection against the cap.
func (server *Server) admit(each *session) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.sessions[each] = struct{}{}
	if each.isControl() {
		return true
	}
	if server.open >= server.connections {
		server.refused++
		return false
	}
	each.counted = true
	server.open++
	server.crest = max(server.crest, server.open)
	return true
}

func (server *Server) leave(each *session) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, each)
	if each.counted {
		server.open--
	}
}

func (server *Server) statusLocked() ebonywood.Status {
	age := ebonywood.Millis(0)
	if !server.journal.IsPrimary() {
		age = ebonywood.MillisOf(time.Since(server.heard))
	}
	return server.journal.Status(age)
}

// confirm waits until the journal confirms floor.
func (server *Server) confirm(ctx context.Context, floor ebonywood.Position) (ebonywood.Status, error) {
	for {
		server.mutex.Lock()
		done, err := server.journal.Confirms(floor)
		status, changed := server.statusLocked(), server.changed
		server.mutex.Unlock()
		if done || err != nil {
			return status, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return status, ctx.Err()
		}
	}
}
