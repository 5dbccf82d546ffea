// Package kernel builds the plug-ins of a process and runs the control loop that
// connects them.
//
// The control loop is a single goroutine and the only owner of control state. It
// receives events from a bounded channel, passes each event to every decision in
// a fixed order, dispatches the resulting actions to the edges, and publishes a
// new snapshot with one atomic store. It blocks while the channel is empty.
// Traffic goroutines, which belong to the edges, read the snapshot without locks.
// A lock around shared control state was rejected: since only the control loop
// calls decisions, a test can drive them with the same sequence of calls.
package kernel

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/burn"
	"github.com/ebonywood/ebonywood/internal/clientguard"
	"github.com/ebonywood/ebonywood/internal/clock"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/memorybudget"
	"github.com/ebonywood/ebonywood/internal/metrics"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

const (
	// eventQueueSize is how many events the control loop's channel holds; Post
	// blocks while it is full.
	eventQueueSize = 4096
	// exitInvariantViolated is the exit code after a violated invariant in strict
	// mode.
	exitInvariantViolated = 70
	// strictEnv is the environment variable that enables strict mode, in which a
	// violated invariant ends the process.
	strictEnv = "EBONYWOOD_STRICT"
)

// Kernel holds the plug-ins and the control loop of one process. It implements
// ebonywood.Port.
type Kernel struct {
	settings          ebonywood.Settings
	log               logr.Logger
	metrics           *metrics.Metrics
	clock             clock.Monotonic
	events            chan ebonywood.Event
	snapshot          atomic.Pointer[published]
	decisions         []ebonywood.Decision
	edges             []ebonywood.Edge
	connPool          ebonywood.ConnPool
	sessions          ebonywood.Sessions
	rateLimiter       ebonywood.RateLimiter
	tokenAllocator    ebonywood.TokenAllocator
	dialer            ebonywood.Dialer
	directory         ebonywood.Directory
	relay             ebonywood.Relay
	mirror            ebonywood.Mirror
	checker           invariant.Checker
	serviceLevels     burn.Ledger
	appliedGeneration uint64
	memoryBudget      *memorybudget.Budget
}

// published is a snapshot and a channel that is closed when the next snapshot
// replaces it.
type published struct {
	snapshot *ebonywood.Snapshot
	replaced chan struct{}
}

// New builds the named plug-ins in order. An edge that implements an interface that
// ebonywood.Port returns, such as ConnPool, must precede the edges that use it. The
// error is a fault of KindBadInput if a name is not registered.
func New(
	settings ebonywood.Settings, log logr.Logger, metrics *metrics.Metrics,
	plugins *registry.Registry, decisions, edges []string,
) (*Kernel, error) {
	kernel := &Kernel{
		settings: settings,
		log:      log,
		metrics:  metrics,
		events:   make(chan ebonywood.Event, eventQueueSize),

		memoryBudget: clientguard.NewBudget(settings),
	}
	kernel.checker.OnViolation(kernel.reportViolation)
	for _, name := range decisions {
		factory, found := plugins.Decision(name)
		if !found {
			return nil, unknownPlugin(name, plugins)
		}
		kernel.decisions = append(kernel.decisions, factory(settings))
	}
	kernel.publish()
	for _, name := range edges {
		if err := kernel.addEdge(name, plugins); err != nil {
			return nil, err
		}
	}
	return kernel, nil
}

// unknownPlugin is the fault of a name that is not registered.
func unknownPlugin(name string, plugins *registry.Registry) error {
	return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("no plug-in is registered as %q", name),
		fmt.Sprintf("use one of %v", plugins.Names()))
}

// addEdge builds an edge and stores it for each method of ebonywood.Port whose
// interface it implements.
func (kernel *Kernel) addEdge(name string, plugins *registry.Registry) error {
	factory, found := plugins.Edge(name)
	if !found {
		return unknownPlugin(name, plugins)
	}
	edge, err := factory(kernel)
	if err != nil {
		return errors.Wrapf(err, "edge %s", name)
	}
	kernel.edges = append(kernel.edges, edge)
	if connPool, ok := edge.(ebonywood.ConnPool); ok {
		kernel.connPool = connPool
	}
	if limiter, ok := edge.(ebonywood.RateLimiter); ok {
		kernel.rateLimiter = limiter
	}
	if allocator, ok := edge.(ebonywood.TokenAllocator); ok {
		kernel.tokenAllocator = allocator
	}
	if sessions, ok := edge.(ebonywood.Sessions); ok {
		kernel.sessions = sessions
	}
	if dialer, ok := edge.(ebonywood.Dialer); ok {
		kernel.dialer = dialer
	}
	if mirror, ok := edge.(ebonywood.Mirror); ok {
		kernel.mirror = mirror
	}
	if relay, ok := edge.(ebonywood.Relay); ok {
		kernel.relay = relay
	}
	if directory, ok := edge.(ebonywood.Directory); ok {
		kernel.directory = directory
	}
	return nil
}

// Run runs the control loop and the edges until the context ends or an edge fails,
// and returns when all have stopped. When the context ends, it first posts
// DrainRequested. Edges stop in the reverse order of their start, so that the target
// side still works while the requests of callers complete. The error combines those
// of all edges.
func (kernel *Kernel) Run(ctx context.Context) error {
	control := rungroup.New(context.Background())
	control.Go(kernel.loop)
	control.Every(kernel.settings.TickPeriod().Duration(), func(ctx context.Context) {
		_ = kernel.Post(ctx, ebonywood.Tick{})
	})
	failed := make(chan error, len(kernel.edges))
	groups := make([]*rungroup.Group, 0, len(kernel.edges))
	for _, edge := range kernel.edges {
		group := rungroup.New(context.Background())
		group.Go(func(ctx context.Context) error {
			err := edge.Run(ctx)
			if err != nil && ctx.Err() == nil {
				failed <- err
			}
			return err
		})
		groups = append(groups, group)
	}
	var err error
	select {
	case <-ctx.Done():
		err = kernel.Post(context.Background(), ebonywood.DrainRequested{})
	case err = <-failed:
	case <-control.Context().Done():
	}
	for i := len(groups) - 1; i >= 0; i-- {
		groups[i].Stop()
		err = errors.CombineErrors(err, groups[i].Wait())
	}
	control.Stop()
	return errors.CombineErrors(err, control.Wait())
}

// loop handles one event at a time and publishes a snapshot after each.
func (kernel *Kernel) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-kernel.events:
			kernel.handle(event)
			kernel.publish()
		}
	}
}

// handle passes the event to every decision and performs the resulting actions.
// An action that results in another event is handled recursively, before the next
// decision receives the first event.
func (kernel *Kernel) handle(event ebonywood.Event) {
	now := kernel.clock.Now()
	for _, decision := range kernel.decisions {
		for _, action := range decision.Handle(now, event) {
			kernel.perform(action)
		}
	}
}

// perform applies an action of the kernel itself, or dispatches it to the first
// edge that accepts it.
func (kernel *Kernel) perform(action ebonywood.Action) {
	if applySet, ok := action.(ebonywood.ApplyObjectSet); ok {
		set := applySet.ObjectSet()
		kernel.checker.Check(invariant.ConfigurationNeverReverts, set.Generation() > kernel.appliedGeneration,
			fmt.Sprintf("generation %d after %d", set.Generation(), kernel.appliedGeneration))
		kernel.appliedGeneration = set.Generation()
		kernel.log.Info("object set in force", "generation", set.Generation(), "hash", set.Hash())
		kernel.handle(ebonywood.NewObjectSetApplied(set))
		return
	}
	if applyOwners, ok := action.(ebonywood.ApplyOwners); ok {
		kernel.handle(ebonywood.NewOwnersChanged(applyOwners.Owners()))
		return
	}
	if message, ok := action.(ebonywood.LogMessage); ok {
		kernel.log.Info(message.Message(), message.Details()...)
		return
	}
	for _, edge := range kernel.edges {
		if edge.Perform(action) {
			return
		}
	}
	kernel.log.Info("no edge performs this action", "action", fmt.Sprintf("%T", action))
}

// publish builds a snapshot from all decisions, stores it, and wakes the
// goroutines that wait in Await.
func (kernel *Kernel) publish() {
	draft := ebonywood.NewDraft()
	for _, decision := range kernel.decisions {
		decision.Contribute(draft)
	}
	previous := kernel.snapshot.Swap(&published{snapshot: draft.Publish(), replaced: make(chan struct{})})
	if previous != nil {
		close(previous.replaced)
	}
}

// Post queues an event for the control loop. It blocks while the queue is full and
// returns the context's error if that ends first.
func (kernel *Kernel) Post(ctx context.Context, event ebonywood.Event) error {
	select {
	case kernel.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Snapshot returns the latest published control state; never nil.
func (kernel *Kernel) Snapshot() *ebonywood.Snapshot { return kernel.snapshot.Load().snapshot }

// Await blocks until a published snapshot satisfies ready, and returns it. It
// returns the context's error if that ends first.
func (kernel *Kernel) Await(ctx context.Context, ready func(*ebonywood.Snapshot) bool) (*ebonywood.Snapshot, error) {
	for {
		current := kernel.snapshot.Load()
		if ready(current.snapshot) {
			return current.snapshot, nil
		}
		select {
		case <-current.replaced:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Invariants returns the checker of runtime invariants.
func (kernel *Kernel) Invariants() ebonywood.Invariants { return &kernel.checker }

// Reads returns how many reads the target edge sent to replicas and to primaries.
func (kernel *Kernel) Reads() (replicaReads, primaryReads int64) {
	for _, edge := range kernel.edges {
		if counter, ok := edge.(interface{ Reads() (int64, int64) }); ok {
			return counter.Reads()
		}
	}
	return 0, 0
}

// Violations returns the number of violations by name of the invariant.
func (kernel *Kernel) Violations() map[string]int { return kernel.checker.Violations() }

// reportViolation counts and logs a violation. With EBONYWOOD_STRICT set, as in
// tests and soak runs, it also ends the process.
func (kernel *Kernel) reportViolation(name, detail string) {
	kernel.metrics.Scope().Tagged(map[string]string{"invariant": name}).Counter("violations").Inc(1)
	kernel.log.Error(nil, "invariant violated", "invariant", name, "detail", detail)
	if os.Getenv(strictEnv) != "" {
		fmt.Fprintln(os.Stderr, "invariant violated:", name, detail)
		os.Exit(exitInvariantViolated)
	}
}

// ServiceLevels returns the ledger of the routes' service levels.
func (kernel *Kernel) ServiceLevels() ebonywood.ServiceLevels { return &kernel.serviceLevels }

// Clock returns the process's monotonic clock.
func (kernel *Kernel) Clock() ebonywood.Clock { return kernel.clock }

// Log returns the process's logger.
func (kernel *Kernel) Log() logr.Logger { return kernel.log }

// Metrics returns the root scope of the process's metrics.
func (kernel *Kernel) Metrics() tally.Scope { return kernel.metrics.Scope() }

// MetricsHandler returns the HTTP handler that a Prometheus server scrapes.
func (kernel *Kernel) MetricsHandler() http.Handler { return kernel.metrics.Handler() }

// MemoryBudget returns the memory that all clients of the process share.
func (kernel *Kernel) MemoryBudget() *memorybudget.Budget { return kernel.memoryBudget }

// Settings returns the process's checked settings.
func (kernel *Kernel) Settings() ebonywood.Settings { return kernel.settings }

// ConnPool returns the pool of member connections; nil without a target edge.
func (kernel *Kernel) ConnPool() ebonywood.ConnPool { return kernel.connPool }

// RateLimiter returns the edge that applies the limits of workspaces; nil without one.
func (kernel *Kernel) RateLimiter() ebonywood.RateLimiter { return kernel.rateLimiter }

// TokenAllocator returns the edge that deals tokens to other proxies; nil without one.
func (kernel *Kernel) TokenAllocator() ebonywood.TokenAllocator { return kernel.tokenAllocator }

// Sessions returns the edge that opens sessions; nil without one.
func (kernel *Kernel) Sessions() ebonywood.Sessions { return kernel.sessions }

// Dialer returns the edge that opens connections to members; nil without one.
func (kernel *Kernel) Dialer() ebonywood.Dialer { return kernel.dialer }

// Relay returns the edge that opens connections to other proxies; nil without one.
func (kernel *Kernel) Relay() ebonywood.Relay { return kernel.relay }

// Mirror returns this process's copy of the directory; nil without one.
func (kernel *Kernel) Mirror() ebonywood.Mirror { return kernel.mirror }

// Directory returns the external directory; nil without one.
func (kernel *Kernel) Directory() ebonywood.Directory { return kernel.directory }
