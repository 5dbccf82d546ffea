// Package kernel builds the plug-ins that a process needs and runs the control
// loop between them.
//
// The control loop is one goroutine and the only owner of control state. It
// takes events from a bounded channel, hands each to every decision in a fixed
// order, offers the resulting actions to the edges, and publishes a new snapshot
// by one atomic store. It blocks while there is nothing to do. Traffic
// goroutines, which edges own, read the snapshot without locks. The alternative,
// a lock around shared control state, was left because a decision that is
// called from one place can be driven by a test with the same calls.
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
	"github.com/ebonywood/ebonywood/internal/clock"
	"github.com/ebonywood/ebonywood/internal/invariant"
	"github.com/ebonywood/ebonywood/internal/metrics"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

const (
	eventBacklog = 4096
	// exitViolated is the exit code of a process that strict checking ended.
	exitViolated = 70
	// strictVariable makes a violated invariant end the process.
	strictVariable = "EBONYWOOD_STRICT"
)

// Kernel is one process's set of plug-ins.
type Kernel struct {
	settings  ebonywood.Settings
	log       logr.Logger
	metrics   *metrics.Metrics
	clock     clock.Monotonic
	events    chan ebonywood.Event
	snapshot  atomic.Pointer[published]
	decisions []ebonywood.Decision
	edges     []ebonywood.Edge
	lanes     ebonywood.ConnPool
	sessions  ebonywood.Sessions
	dialer    ebonywood.Dialer
	directory ebonywood.Directory
	relay     ebonywood.Relay
	mirror    ebonywood.Mirror
	checker   invariant.Checker
	levels    burn.Ledger
	inForce   uint64
}

// published is a snapshot with the channel that closes when the next one stands.
type published struct {
	snapshot *ebonywood.Snapshot
	replaced chan struct{}
}

// New builds the named plug-ins in order. An edge that offers lanes must come
// before the edges that use them.
func New(
	settings ebonywood.Settings, log logr.Logger, metrics *metrics.Metrics,
	from *registry.Registry, decisions, edges []string,
) (*Kernel, error) {
	kernel := &Kernel{
		settings: settings,
		log:      log,
		metrics:  metrics,
		events:   make(chan ebonywood.Event, eventBacklog),
	}
	kernel.checker.OnBroken(kernel.reportBroken)
	for _, name := range decisions {
		factory, found := from.Decision(name)
		if !found {
			return nil, unknownPlugin(name, from)
		}
		kernel.decisions = append(kernel.decisions, factory(settings))
	}
	kernel.publish()
	for _, name := range edges {
		if err := kernel.addEdge(name, from); err != nil {
			return nil, err
		}
	}
	return kernel, nil
}

func unknownPlugin(name string, from *registry.Registry) error {
	return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("no plug-in is registered as %q", name),
		fmt.Sprintf("use one of %v", from.Names()))
}

func (kernel *Kernel) addEdge(name string, from *registry.Registry) error {
	factory, found := from.Edge(name)
	if !found {
		return unknownPlugin(name, from)
	}
	edge, err := factory(kernel)
	if err != nil {
		return errors.Wrapf(err, "edge %s", name)
	}
	kernel.edges = append(kernel.edges, edge)
	if lanes, offers := edge.(ebonywood.ConnPool); offers {
		kernel.lanes = lanes
	}
	if sessions, offers := edge.(ebonywood.Sessions); offers {
		kernel.sessions = sessions
	}
	if dialer, offers := edge.(ebonywood.Dialer); offers {
		kernel.dialer = dialer
	}
	if mirror, offers := edge.(ebonywood.Mirror); offers {
		kernel.mirror = mirror
	}
	if relay, offers := edge.(ebonywood.Relay); offers {
		kernel.relay = relay
	}
	if directory, offers := edge.(ebonywood.Directory); offers {
		kernel.directory = directory
	}
	return nil
}

// Run works until the context ends or an edge fails. Edges stop in the reverse
// order of their start, so that callers are served to the end while the target
// side still works.
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

// handle gives the event to every decision, and at once the events that their
// actions mean for the others.
func (kernel *Kernel) handle(event ebonywood.Event) {
	now := kernel.clock.Now()
	for _, decision := range kernel.decisions {
		for _, action := range decision.Handle(now, event) {
			kernel.perform(action)
		}
	}
}

func (kernel *Kernel) perform(action ebonywood.Action) {
	if apply, ok := action.(ebonywood.ApplyObjectSet); ok {
		set := apply.ObjectSet()
		kernel.checker.Check(invariant.NeverReverts, set.Generation() > kernel.inForce,
			fmt.Sprintf("generation %d after %d", set.Generation(), kernel.inForce))
		kernel.inForce = set.Generation()
		kernel.log.Info("object set in force", "generation", set.Generation(), "hash", set.Hash())
		kernel.handle(ebonywood.NewObjectSetApplied(set))
		return
	}
	if announce, ok := action.(ebonywood.ApplyOwners); ok {
		kernel.handle(ebonywood.NewOwnersChanged(announce.Owners()))
		return
	}
	if note, ok := action.(ebonywood.LogMessage); ok {
		kernel.log.Info(note.Message(), note.Details()...)
		return
	}
	for _, edge := range kernel.edges {
		if edge.Perform(action) {
			return
		}
	}
	kernel.log.Info("no edge performs this action", "action", fmt.Sprintf("%T", action))
}

func (kernel *Kernel) publish() {
	draft := ebonywood.NewDraft()
	for _, decision := range kernel.decisions {
		decision.Contribute(draft)
	}
	before := kernel.snapshot.Swap(&published{snapshot: draft.Publish(), replaced: make(chan struct{})})
	if before != nil {
		close(before.replaced)
	}
}

// Post hands an event to the control loop.
func (kernel *Kernel) Post(ctx context.Context, event ebonywood.Event) error {
	select {
	case kernel.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Snapshot is the control state last published.
func (kernel *Kernel) Snapshot() *ebonywood.Snapshot { return kernel.snapshot.Load().snapshot }

// Await blocks until a snapshot meets the condition.
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

// Invariants checks what must always hold.
func (kernel *Kernel) Invariants() ebonywood.Invariants { return &kernel.checker }

// Reads counts the reads that the target edge sent to replicas and to primaries.
func (kernel *Kernel) Reads() (byReplica, byPrimary int64) {
	for _, edge := range kernel.edges {
		if counted, counts := edge.(interface{ Reads() (int64, int64) }); counts {
			return counted.Reads()
		}
	}
	return 0, 0
}

// Violations counts the invariants that were broken, by name.
func (kernel *Kernel) Violations() map[string]int { return kernel.checker.Broken() }

// reportBroken counts and logs a violation. EBONYWOOD_STRICT makes it end the
// process, for tests and soak runs.
func (kernel *Kernel) reportBroken(name, detail string) {
	kernel.metrics.Scope().Tagged(map[string]string{"invariant": name}).Counter("violations").Inc(1)
	kernel.log.Error(nil, "invariant violated", "invariant", name, "detail", detail)
	if os.Getenv(strictVariable) != "" {
		fmt.Fprintln(os.Stderr, "invariant violated:", name, detail)
		os.Exit(exitViolated)
	}
}

// Levels keeps the account of the routes' service levels.
func (kernel *Kernel) ServiceLevels() ebonywood.ServiceLevels { return &kernel.levels }

// Clock is the process's clock.
func (kernel *Kernel) Clock() ebonywood.Clock { return kernel.clock }

// Log is the process's log.
func (kernel *Kernel) Log() logr.Logger { return kernel.log }

// Metrics is the root scope.
func (kernel *Kernel) Metrics() tally.Scope { return kernel.metrics.Scope() }

// Scrape serves the metrics over HTTP.
func (kernel *Kernel) Scrape() http.Handler { return kernel.metrics.Handler() }

// Settings are the process's settings.
func (kernel *Kernel) Settings() ebonywood.Settings { return kernel.settings }

// Lanes is the target side.
func (kernel *Kernel) ConnPool() ebonywood.ConnPool { return kernel.lanes }

// Sessions opens sessions.
func (kernel *Kernel) Sessions() ebonywood.Sessions { return kernel.sessions }

// Dialer opens connections to members.
func (kernel *Kernel) Dialer() ebonywood.Dialer { return kernel.dialer }

// Relay opens channels to other proxies.
func (kernel *Kernel) Relay() ebonywood.Relay { return kernel.relay }

// Mirror is this process's copy of the directory.
func (kernel *Kernel) Mirror() ebonywood.Mirror { return kernel.mirror }

// Directory is the outside directory.
func (kernel *Kernel) Directory() ebonywood.Directory { return kernel.directory }
