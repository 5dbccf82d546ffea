// Package platform connects a proxy to the platform's key-value service. It watches the
// head of the published object sets and the list of hosts. While the service is
// unavailable, the process continues with the last state that it received.
package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/kvclient"
	"github.com/ebonywood/ebonywood/internal/publication"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "platform"

// HostsKey is the key of the platform's list of hosts: a JSON object that maps addresses
// to "live" or "leaving".
const HostsKey = "platform/hosts"

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

// Edge watches the key-value service.
type Edge struct {
	port  ebonywood.Port
	store ebonywood.Store
}

// New returns an edge for the service at the addresses of the settings.
func New(port ebonywood.Port) *Edge {
	settings := port.Settings()
	return &Edge{port: port, store: kvclient.New(settings.PlatformAddresses(), settings.Name(), port.Metrics())}
}

// Perform returns false, since the control loop has no actions for this edge.
func (edge *Edge) Perform(ebonywood.Action) bool { return false }

// Run watches until ctx ends.
func (edge *Edge) Run(ctx context.Context) error {
	group := rungroup.New(ctx)
	group.Go(edge.watchSets)
	group.Go(edge.watchHosts)
	return group.Wait()
}

// watchSets reads the current head of the object sets and then each later one. A head
// that can't be applied is logged and skipped; the set in force stays.
func (edge *Edge) watchSets(ctx context.Context) error {
	sets := publication.New(edge.store)
	revision := int64(0)
	return edge.repeat(ctx, "object sets", func(ctx context.Context) error {
		set, current, err := sets.Next(ctx, revision)
		if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindBadInput {
			revision = current
		}
		if err != nil {
			return err
		}
		revision = current
		return edge.port.Post(ctx, ebonywood.NewObjectSetReceived(set))
	})
}

// watchHosts posts the list of hosts and then each later one.
func (edge *Edge) watchHosts(ctx context.Context) error {
	revision := int64(0)
	return edge.repeat(ctx, "hosts", func(ctx context.Context) error {
		data, current, err := edge.store.Watch(ctx, HostsKey, revision)
		if err != nil {
			return err
		}
		revision = current
		var states map[string]string
		if err := json.Unmarshal(data, &states); err != nil {
			return ebonywood.NewFault(ebonywood.KindBadInput, "the list of hosts can't be read: "+err.Error(),
				"fix the value of "+HostsKey)
		}
		leaving := map[string]bool{}
		for address, state := range states {
			leaving[address] = state == "leaving"
		}
		return edge.port.Post(ctx, ebonywood.NewHostsListed(current, leaving))
	})
}

// runAsWatcher waits until this proxy is one of the few watchers and then runs call. Only
// watchers call the service, so that its load does not grow with the fleet. The call is
// cancelled, and its error dropped, when other proxies have become the watchers.
func (edge *Edge) runAsWatcher(ctx context.Context, call func(context.Context) error) error {
	isWatcher := func(snapshot *ebonywood.Snapshot) bool { return snapshot.Owners().IsWatcher() }
	if _, err := edge.port.Await(ctx, isWatcher); err != nil {
		return err
	}
	group := rungroup.New(ctx)
	group.Go(func(ctx context.Context) error {
		_, err := edge.port.Await(ctx, func(snapshot *ebonywood.Snapshot) bool { return !isWatcher(snapshot) })
		group.Stop()
		return err
	})
	err := call(group.Context())
	group.Stop()
	if awaitErr := group.Wait(); awaitErr != nil || ctx.Err() != nil {
		return errors.CombineErrors(err, awaitErr)
	}
	if snapshot := edge.port.Snapshot(); !isWatcher(snapshot) {
		return nil
	}
	return err
}

// repeat runs call repeatedly until ctx ends, and backs off with jitter after errors.
// subject is what call reads, as the log shows it.
func (edge *Edge) repeat(ctx context.Context, subject string, call func(context.Context) error) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := edge.runAsWatcher(ctx, call)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		edge.port.Log().Info("the platform's service failed", "reading", subject, "error", err.Error())
		timer := time.NewTimer(delay/2 + rand.N(delay))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}
