// Package platform is the edge towards the platform's key-value service: it
// watches the head of the published object sets and the list of hosts. While the
// service is down the process goes on with what it has.
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

// HostsKey is where the platform keeps its list of hosts: a JSON object that
// maps addresses to "live" or "leaving".
const HostsKey = "platform/hosts"

const (
	retryPause      = 50 * time.Millisecond
	retryPauseLimit = 2 * time.Second
)

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

// Edge watches the service.
type Edge struct {
	port  ebonywood.Port
	store ebonywood.Store
}

// New makes the edge.
func New(port ebonywood.Port) *Edge {
	settings := port.Settings()
	return &Edge{port: port, store: kvclient.New(settings.PlatformAddresses(), settings.Name(), port.Metrics())}
}

// Perform does nothing: control asks nothing of this edge.
func (edge *Edge) Perform(ebonywood.Action) bool { return false }

// Run watches until ctx ends.
func (edge *Edge) Run(ctx context.Context) error {
	group := rungroup.New(ctx)
	group.Go(edge.watchSets)
	group.Go(edge.watchHosts)
	return group.Wait()
}

// watchSets reads the head and then each later one. A head that can't be applied
// is reported loudly and passed over; the set in force stays.
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

func (edge *Edge) watchHosts(ctx context.Context) error {
	revision := int64(0)
	return edge.repeat(ctx, "hosts", func(ctx context.Context) error {
		text, current, err := edge.store.Watch(ctx, HostsKey, revision)
		if err != nil {
			return err
		}
		revision = current
		var states map[string]string
		if err := json.Unmarshal(text, &states); err != nil {
			return ebonywood.NewFault(ebonywood.KindBadInput, "the list of hosts can't be read: "+err.Error(),
				"mend the value of "+HostsKey)
		}
		leaving := map[string]bool{}
		for address, state := range states {
			leaving[address] = state == "leaving"
		}
		return edge.port.Post(ctx, ebonywood.NewHostsListed(current, leaving))
	})
}

// asWatcher makes a call while this proxy is one of the few that watch for the
// others, so that the calls to the service don't grow with the fleet. The call is
// broken off when others have taken over.
func (edge *Edge) asWatcher(ctx context.Context, call func(context.Context) error) error {
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
	if waited := group.Wait(); waited != nil || ctx.Err() != nil {
		return errors.CombineErrors(err, waited)
	}
	if snapshot := edge.port.Snapshot(); !isWatcher(snapshot) {
		return nil
	}
	return err
}

// repeat calls a function for ever and backs off with jitter while it fails.
func (edge *Edge) repeat(ctx context.Context, what string, call func(context.Context) error) error {
	pause := retryPause
	for ctx.Err() == nil {
		err := edge.asWatcher(ctx, call)
		if err == nil {
			pause = retryPause
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		edge.port.Log().Info("the platform's service failed", "reading", what, "error", err.Error())
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		pause = min(2*pause, retryPauseLimit)
	}
	return nil
}
