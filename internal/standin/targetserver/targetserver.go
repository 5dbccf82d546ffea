// Package targetserver implements a stand-in for one member of a database group: a
// small server for version 3 of the PostgreSQL protocol with terms, log positions,
// replication, and fault injection for the failures that the proxy must tolerate.
// It supports only the statements that docs/TARGETS.md lists, so that tests need no
// installed database.
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

// ControlUser is the user that may connect beyond the connection limit, as a database
// reserves connections for its operators. It calls the control functions, which need no
// slot.
const ControlUser = "ebonywood_control"

const (
	defaultSlotCount      = 3
	defaultMaxConnections = 20
)

// Server is one member. Its limits, delays and password are set before Serve.
type Server struct {
	slotCount      int
	maxConnections int
	connectDelay   time.Duration
	serviceTime    time.Duration
	peers          []string
	password       string

	// mutex guards the journal, the sessions and the connection counts.
	mutex   sync.Mutex
	journal journal.Journal
	// changed is closed and replaced when the journal changes.
	changed chan struct{}
	// lastReceivedAt is when a primary last sent to this member.
	lastReceivedAt time.Time
	sessions       map[*session]struct{}

	// slotSemaphore has one element for each statement that is running.
	slotSemaphore      chan struct{}
	openConnections    int
	peakConnections    int
	refusedConnections int
	statementCount     atomic.Int64

	// applyLag is in nanoseconds.
	applyLag    atomic.Int64
	partitioned atomic.Bool
	// thawSignal is closed when the member is thawed; it is nil unless frozen.
	thawSignal atomic.Pointer[chan struct{}]

	listener net.Listener
	lastPID  atomic.Uint32
}

// New returns a member that replicates to the peers at the given addresses while it
// is primary.
func New(peers []string) *Server {
	return &Server{
		slotCount: defaultSlotCount, maxConnections: defaultMaxConnections, peers: peers,
		changed: make(chan struct{}), sessions: map[*session]struct{}{},
	}
}

// SetLimits sets the maximum numbers of statements that run concurrently and of open
// connections.
func (server *Server) SetLimits(slots, connections int) {
	server.slotCount = slots
	server.maxConnections = connections
}

// SetDelays sets the time to open a connection and the time for which a statement
// occupies its slot before it runs.
func (server *Server) SetDelays(connect, service time.Duration) {
	server.connectDelay = connect
	server.serviceTime = service
}

// SetPassword requires clients to send a password; empty requires none.
func (server *Server) SetPassword(password string) { server.password = password }

// SetLag delays the application of stored records, so that reads are stale by lag.
func (server *Server) SetLag(lag time.Duration) { server.applyLag.Store(int64(lag)) }

// SetPartitioned stops replication to and from the member's peers; proxies still reach it.
func (server *Server) SetPartitioned(partitioned bool) { server.partitioned.Store(partitioned) }

// SetFrozen suspends the processing of all messages, on open and new connections,
// until it is called with false.
func (server *Server) SetFrozen(frozen bool) {
	if frozen {
		thawed := make(chan struct{})
		server.thawSignal.CompareAndSwap(nil, &thawed)
		return
	}
	if thawed := server.thawSignal.Swap(nil); thawed != nil {
		close(*thawed)
	}
}

// Silence makes the member ignore all further messages on the connections that are
// open now. New connections work.
func (server *Server) Silence() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for session := range server.sessions {
		session.silent.Store(true)
	}
}

// ConnectionCounts returns the peak number of open connections and the number of refused ones.
// Connections of ControlUser do not count.
func (server *Server) ConnectionCounts() (peak, refused int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.peakConnections, server.refusedConnections
}

// Statements returns the number of statements that arrived, without control
// functions.
func (server *Server) Statements() int64 { return server.statementCount.Load() }

// Bootstrap makes an empty member the primary of term 1, as the platform does once
// when it creates an instance.
func (server *Server) Bootstrap() error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if err := server.journal.Fence(1, "platform"); err != nil {
		return err
	}
	defer server.wakeWaiters()
	return server.journal.Promote(1, "platform")
}

// Values returns a copy of a key's visible values, for tests and the demo.
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

// Address returns the address at which the member listens. Listen comes first.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Listen opens the listening socket. It returns a fault of KindUnavailable if the
// address can't be listened on.
func (server *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable,
			fmt.Sprintf("cannot listen at %s: %v", address, err), "choose a free port")
	}
	server.listener = listener
	return nil
}

// Serve accepts connections until ctx ends, then closes all of them immediately, as
// a killed server does. Listen comes first.
func (server *Server) Serve(ctx context.Context) error {
	server.slotSemaphore = make(chan struct{}, server.slotCount)
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

// closeSessions closes the connections that match.
func (server *Server) closeSessions(matches func(*session) bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for session := range server.sessions {
		if matches(session) {
			_ = session.socket.Close()
		}
	}
}

// awaitThaw blocks while the member is frozen.
func (server *Server) awaitThaw(ctx context.Context) {
	if thawed := server.thawSignal.Load(); thawed != nil {
		select {
		case <-*thawed:
		case <-ctx.Done():
		}
	}
}

// wakeWaiters wakes all goroutines that wait for the journal to change; the mutex is
// held.
func (server *Server) wakeWaiters() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// admit registers a connection and reports whether it is within the limit. The
// connection must be removed in either case.
func (server *Server) admit(session *session) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.sessions[session] = struct{}{}
	if session.isControl() {
		return true
	}
	if server.openConnections >= server.maxConnections {
		server.refusedConnections++
		return false
	}
	session.countsTowardLimit = true
	server.openConnections++
	server.peakConnections = max(server.peakConnections, server.openConnections)
	return true
}

func (server *Server) removeSession(session *session) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, session)
	if session.countsTowardLimit {
		server.openConnections--
	}
}

// statusLocked returns the member's status; the mutex is held.
func (server *Server) statusLocked() ebonywood.Status {
	age := ebonywood.Millis(0)
	if !server.journal.IsPrimary() {
		age = ebonywood.MillisOf(time.Since(server.lastReceivedAt))
	}
	return server.journal.Status(age)
}

// confirm waits until the journal confirms floor or ctx ends, and returns the
// member's status.
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
