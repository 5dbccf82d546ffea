// Package ratelimit is the edge that applies the rates of workspaces for the whole fleet. An
// operation takes a token that an allocator has dealt to this proxy. The edge requests tokens
// of the allocators, and is an allocator itself while it holds the leased key of one.
//
// Taking a token that the proxy holds is a mutex and a map look-up. Requests are sent by one
// goroutine for each allocator that is being asked, so that all workspaces that need tokens
// meanwhile share the next request. While no workspace has a rate, nothing runs.
package ratelimit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/boundedlabel"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "ratelimit"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

// The bounds for settings that state none.
const (
	defaultWindow  ebonywood.Millis = 5000
	defaultOverage float64          = 0.1
	defaultSlack   float64          = 20
)

// boundsSettings is implemented by settings that bound the operations of a workspace in a
// window.
type boundsSettings interface {
	RateBounds() (window ebonywood.Millis, overage, slack float64)
}

// Edge holds the tokens of this proxy and the allocators that it is.
type Edge struct {
	port       ebonywood.Port
	group      *rungroup.Group
	bounds     ebonywood.RateBounds
	allocators int
	life, ttl  ebonywood.Millis
	// run identifies this run of the process in its requests.
	run     string
	metrics metrics

	mutex  sync.Mutex
	stocks map[string]*stock
	links  map[int]*link
	// successors has, by number, allocators that answered in another run than the one listed.
	successors map[int]successor
	// reporting is set while a goroutine waits to report spent tokens.
	reporting bool

	claimMutex sync.Mutex
	claims     map[int]*claim
}

var (
	_ ebonywood.RateLimiter    = (*Edge)(nil)
	_ ebonywood.TokenAllocator = (*Edge)(nil)
)

// New returns an edge that uses the port.
func New(port ebonywood.Port) *Edge {
	window, overage, slack := defaultWindow, defaultOverage, defaultSlack
	if settings, ok := port.Settings().(boundsSettings); ok {
		window, overage, slack = settings.RateBounds()
	}
	limits := port.Settings().Limits()
	life := limits.Millis(ebonywood.LimitTokenLife)
	return &Edge{
		port: port, group: rungroup.New(context.Background()),
		bounds:     ebonywood.NewRateBounds(window, overage, slack),
		allocators: limits.Count(ebonywood.LimitRateAllocators), life: life,
		ttl: limits.AllocatorLeaseTTL(),
		run: newNonce(), metrics: newMetrics(port.Metrics()),
		stocks: map[string]*stock{}, links: map[int]*link{}, successors: map[int]successor{}, claims: map[int]*claim{},
	}
}

func newNonce() string { return fmt.Sprintf("%x", rand.Uint64()) }

// Run serves until ctx ends. It then releases the keys of the allocators that it is.
func (edge *Edge) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-edge.group.Context().Done():
	}
	edge.group.Stop()
	return edge.group.Wait()
}

// Perform starts to claim the key of an allocator, and reports whether the action is that.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	claim, ok := action.(ebonywood.ClaimAllocator)
	if ok {
		edge.startClaim(claim.Number())
	}
	return ok
}

func (edge *Edge) now() ebonywood.Millis { return edge.port.Clock().Now() }

// maxWorkspaceSeries bounds the workspaces that have a series of their own.
const maxWorkspaceSeries = 32

// metrics are the counters of the edge.
type metrics struct {
	scope                     tally.Scope
	taken, dealt, returned    tally.Counter
	answered, refused, failed tally.Counter
	held                      tally.Gauge
	workspaces                *boundedlabel.Labels
}

func newMetrics(scope tally.Scope) metrics {
	requests := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter("tokenRequests")
	}
	return metrics{
		scope: scope, taken: scope.Counter("tokensTaken"), dealt: scope.Counter("tokensDealt"), returned: scope.Counter("tokensReturned"),
		answered: requests("answered"), refused: requests("refused"), failed: requests("failed"),
		held: scope.Gauge("allocatorsHeld"), workspaces: boundedlabel.New(maxWorkspaceSeries),
	}
}

// countLimited counts an operation that was refused for lack of a token.
func (metrics metrics) countLimited(workspace string) {
	metrics.scope.Tagged(map[string]string{"workspace": metrics.workspaces.Label(workspace)}).Counter("operationsLimited").Inc(1)
}
