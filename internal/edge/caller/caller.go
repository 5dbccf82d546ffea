// Package caller is the edge towards callers, the clients of the proxy. It implements
// the PostgreSQL v3 protocol and makes no decisions about members or terms. Of an
// idle caller it keeps only the session: its floor, settings and prepared statements.
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
	"github.com/ebonywood/ebonywood/internal/clientguard"
	"github.com/ebonywood/ebonywood/internal/credentials"
	"github.com/ebonywood/ebonywood/internal/identity"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/refusals"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/retry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the name under which the plug-in registers itself.
const Name = "caller"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port) })
}

const (
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// drainPollInterval is how often a draining edge checks for remaining sessions.
	drainPollInterval = 20 * time.Millisecond
)

// Edge listens for callers.
type Edge struct {
	port     ebonywood.Port
	listener net.Listener
	// guard holds the limits for callers.
	guard *clientguard.Guard
	// tls is nil if the settings name no certificate.
	tls *tls.Config

	// mutex guards sessions, budgets and random.
	mutex sync.Mutex
	// sessions holds the sessions by the process ID sent to the caller.
	sessions map[uint32]*callerSession
	// budgets holds the retry budgets by the name of the route.
	budgets  map[string]*retry.Budget
	random   *rand.Rand
	refusals *refusals.Counter
	// meters maps a meterKey to its *meter.
	meters sync.Map

	// credentials is nil if callers need not authenticate.
	credentials *credentials.Credentials
}

// New listens at the caller address of the settings, and loads the TLS identity and
// the credentials that they name.
func New(port ebonywood.Port) (*Edge, error) {
	address := port.Settings().CallerAddress()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("cannot listen for callers at %s: %v", address, err), "set callerAddress to a free port of this host")
	}
	edge := &Edge{
		port: port, listener: listener, guard: clientguard.New(port, "callers", port.Settings().MaxCallers()), sessions: map[uint32]*callerSession{},
		refusals: refusals.New(port.Metrics()),
		budgets:  map[string]*retry.Budget{}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	return edge, edge.loadSecurity()
}

// loadSecurity loads the TLS identity of the proxy and the credentials of callers.
func (edge *Edge) loadSecurity() error {
	settings := edge.port.Settings()
	if files := settings.CallerTLS(); files.Certificate() != "" {
		serverIdentity, err := identity.New(files)
		if err != nil {
			return err
		}
		edge.tls = serverIdentity.ServerConfig()
	}
	if settings.CallersFile() == "" {
		return nil
	}
	loaded, err := credentials.Read(settings.CallersFile())
	edge.credentials = loaded
	return err
}

// Address returns the address at which the edge listens.
func (edge *Edge) Address() string { return edge.listener.Addr().String() }

// Perform returns false: no action is meant for this edge.
func (edge *Edge) Perform(ebonywood.Action) bool { return false }

// Run accepts callers until ctx ends. Then it closes the listener, lets each session
// finish the transaction in flight, and returns when all sessions have ended or the
// drain limit of the settings has passed.
func (edge *Edge) Run(ctx context.Context) error {
	group := rungroup.New(context.Background())
	stopClosing := context.AfterFunc(ctx, func() { _ = edge.listener.Close() })
	defer stopClosing()
	group.Go(edge.watchWorkspaces)
	err := edge.accept(ctx, group)
	if ctx.Err() == nil {
		group.Stop()
		return err
	}
	edge.drain()
	remaining := edge.sessionCount()
	hasLimit := edge.port.Settings().DrainLimit() > 0
	edge.port.Invariants().Check(invariant.DrainCutsNothingOff, remaining == 0 || hasLimit, fmt.Sprintf("%d sessions", remaining))
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
			// Errors such as too many open files are temporary, and must not end the
			// sessions of connected callers.
			edge.port.Log().Error(err, "a caller can't be accepted")
			sleep(ctx, acceptRetryDelay)
			continue
		}
		group.Go(func(ctx context.Context) error {
			// A panic caused by one caller's input ends only that caller's session.
			if panicked := panics.Try(func() { edge.serveConn(ctx, socket) }); panicked != nil {
				edge.port.Log().Error(panicked.AsError(), "a caller's session failed")
			}
			return nil
		})
	}
}

// drain closes sessions as they become idle, until none is left or the drain limit
// has passed.
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

// closeIdle makes every session close once it is idle, and returns how many remain.
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

// serveConn runs the session of one caller on its connection.
func (edge *Edge) serveConn(ctx context.Context, socket net.Conn) {
	defer socket.Close()
	session := &callerSession{edge: edge, socket: socket, limits: edge.guard.Accept(socket)}
	defer session.limits.Close()
	if !session.startUp(ctx) {
		return
	}
	session.limits.Started()
	defer edge.removeSession(session)
	session.serveRequests(ctx)
}

// addSession registers a session under a new process ID and secret. It returns a fault of
// KindOverload if maxCallers sessions are registered.
func (edge *Edge) addSession(session *callerSession) error {
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

func (edge *Edge) removeSession(session *callerSession) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	delete(edge.sessions, session.pid)
	edge.port.Metrics().Gauge("callers").Update(float64(len(edge.sessions)))
}

// cancel forwards a cancel request to the session of the process ID, if the secret
// matches.
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

// earnRetry credits the route's retry budget with one request.
func (edge *Edge) earnRetry(route *ebonywood.Route) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.retryBudget(route).Earn()
}

// spendRetry takes one retry out of the route's budget and returns the pause before
// it; allowed is false if the budget is exhausted. attempt counts from 0.
func (edge *Edge) spendRetry(route *ebonywood.Route, attempt int) (pause time.Duration, allowed bool) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	budget := edge.retryBudget(route)
	if !budget.Spend() {
		return 0, false
	}
	return budget.Backoff(attempt, edge.random), true
}

// retryBudget returns the route's retry budget. The mutex is held.
func (edge *Edge) retryBudget(route *ebonywood.Route) *retry.Budget {
	budget, found := edge.budgets[route.Name()]
	if !found {
		budget = &retry.Budget{}
		edge.budgets[route.Name()] = budget
	}
	return budget
}
