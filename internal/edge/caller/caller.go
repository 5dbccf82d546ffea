// Package caller is the edge towards callers. It speaks PostgreSQL v3, decides
// nothing about members or terms, and keeps no more of an idle caller than its
// session's floor.
package caller

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/credentials"
	"github.com/ebonywood/ebonywood/internal/identity"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/retry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "caller"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port) })
}

const (
	// startUpLimit bounds the time from accepting a connection to its first
	// request.
	startUpTimeout = 10 * time.Second
	// writeLimit bounds one write to a caller that doesn't read.
	writeTimeout = 30 * time.Second
	// acceptPause follows a caller that could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
	// drainPoll is how often a draining edge looks whether all sessions left.
	drainPollInterval = 20 * time.Millisecond
)

// Edge listens for callers.
type Edge struct {
	port     ebonywood.Port
	listener net.Listener
	tls      *tls.Config

	mutex    sync.Mutex
	sessions map[uint32]*callerSession
	budgets  map[string]*retry.Budget
	random   *rand.Rand
	meters   sync.Map

	credentials *credentials.Credentials
}

// New opens the port that the settings name.
func New(port ebonywood.Port) (*Edge, error) {
	address := port.Settings().CallerAddress()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("cannot listen for callers at %s: %v", address, err), "set callerAddress to a free port of this host")
	}
	edge := &Edge{
		port: port, listener: listener, sessions: map[uint32]*callerSession{},
		budgets: map[string]*retry.Budget{}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	return edge, edge.loadSecurity()
}

// secure loads what callers are authenticated and encrypted by.
func (edge *Edge) loadSecurity() error {
	settings := edge.port.Settings()
	if files := settings.CallerTLS(); files.Certificate() != "" {
		serverIdentity, err := identity.New(files)
		if err != nil {
			return err
		}
		edge.tls = serverIdentity.Server()
	}
	if settings.CallersFile() == "" {
		return nil
	}
	loaded, err := credentials.Read(settings.CallersFile())
	edge.credentials = loaded
	return err
}

// Address is where callers connect.
func (edge *Edge) Address() string { return edge.listener.Addr().String() }

// Perform does nothing: control asks nothing of this edge.
func (edge *Edge) Perform(ebonywood.Action) bool { return false }

// Run accepts callers until ctx ends. Then it accepts no more, lets each session
// finish the transaction in flight, and returns when all have left or the
// settings' limit has passed.
func (edge *Edge) Run(ctx context.Context) error {
	group := rungroup.New(context.Background())
	stopped := context.AfterFunc(ctx, func() { _ = edge.listener.Close() })
	defer stopped()
	err := edge.accept(ctx, group)
	if ctx.Err() == nil {
		group.Stop()
		return err
	}
	edge.drain()
	remaining := edge.sessionCount()
	hasLimit := edge.port.Settings().DrainLimit() > 0
	edge.port.Invariants().Check(invariant.NothingCutOff, remaining == 0 || hasLimit, fmt.Sprintf("%d sessions", remaining))
	group.Stop()
	edge.closeAll()
	return group.Wait()
}

func (edge *Edge) accept(ctx context.Context, group *rungroup.Group) error {
	for {
		socket, err := edge.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// Too many open files and the like pass; those who are connected go on.
			edge.port.Log().Error(err, "a caller can't be accepted")
			sleep(ctx, acceptRetryDelay)
			continue
		}
		group.Go(func(ctx context.Context) error {
			// A fault that one caller's input brings out ends that caller only.
			if panicked := panics.Try(func() { edge.serveConn(ctx, socket) }); panicked != nil {
				edge.port.Log().Error(panicked.AsError(), "a caller's session failed")
			}
			return nil
		})
	}
}

// drain closes sessions as they become idle.
func (edge *Edge) drain() {
	startedAt := edge.port.Clock().Now()
	limit := edge.port.Settings().DrainLimit()
	for edge.closeIdle() > 0 {
		if limit > 0 && edge.port.Clock().Now()-startedAt > limit {
			edge.port.Log().Info("drain limit passed", "sessions", edge.sessionCount())
			return
		}
		time.Sleep(drainPollInterval)
	}
}

func (edge *Edge) closeIdle() (remaining int) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, session := range edge.sessions {
		session.closeWhenIdle()
	}
	return len(edge.sessions)
}

func (edge *Edge) closeAll() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, session := range edge.sessions {
		_ = session.socket.Close()
	}
}

func (edge *Edge) sessionCount() int {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return len(edge.sessions)
}

func (edge *Edge) serveConn(ctx context.Context, socket net.Conn) {
	defer socket.Close()
	_ = socket.SetDeadline(time.Now().Add(startUpTimeout))
	session := &callerSession{edge: edge, socket: socket}
	if !session.startUp(ctx) {
		return
	}
	_ = session.socket.SetDeadline(time.Time{})
	defer edge.remove(session)
	session.serveRequests(ctx)
}

// add registers a session under a new key; it refuses when there are too many.
func (edge *Edge) add(session *callerSession) error {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if len(edge.sessions) >= edge.port.Settings().MaxCallers() {
		return ebonywood.NewFault(ebonywood.KindOverload, fmt.Sprintf("%d callers are connected", len(edge.sessions)),
			"connect to another proxy, or raise maxCallers")
	}
	for {
		session.pid = rand.Uint32()
		if _, taken := edge.sessions[session.pid]; !taken {
			break
		}
	}
	session.secret = rand.Uint32()
	edge.sessions[session.pid] = session
	edge.port.Metrics().Gauge("callers").Update(float64(len(edge.sessions)))
	return nil
}

func (edge *Edge) remove(session *callerSession) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	delete(edge.sessions, session.pid)
	edge.port.Metrics().Gauge("callers").Update(float64(len(edge.sessions)))
}

// cancel passes a cancel request to the session that it names.
func (edge *Edge) cancel(ctx context.Context, pid uint32, secret []byte) {
	if len(secret) != 4 {
		return
	}
	edge.mutex.Lock()
	session, found := edge.sessions[pid]
	edge.mutex.Unlock()
	if found && session.secret == binary.BigEndian.Uint32(secret) {
		session.cancel(ctx)
	}
}

// earn counts a request towards its route's budget for retries.
func (edge *Edge) earnRetry(route *ebonywood.Route) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.retryBudget(route).Earn()
}

// spend takes a retry out of the route's budget.
func (edge *Edge) spendRetry(route *ebonywood.Route, attempt int) (pause time.Duration, allowed bool) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	budget := edge.retryBudget(route)
	if !budget.Spend() {
		return 0, false
	}
	return budget.Pause(attempt, edge.random), true
}

func (edge *Edge) retryBudget(route *ebonywood.Route) *retry.Budget {
	budget, found := edge.budgets[route.Name()]
	if !found {
		budget = &retry.Budget{}
		edge.budgets[route.Name()] = budget
	}
	return budget
}
