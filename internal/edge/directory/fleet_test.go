package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/decision/placement"
)

// This file plays the load of a large fleet on the directory without a network: all
// proxies start at once, rest, and lose the holder of the duty. Every proxy has its own
// edge and placement; the directory is a store in memory that counts the calls.

// fleetProxy is the port of one proxy of the fleet.
type fleetProxy struct {
	ebonywood.Port
	settings  fleetSettings
	fleet     *fleet
	client    *storeClient
	placement *placement.Placement
	edge      *Edge
	stop      context.CancelFunc
	ended     chan error

	mutex    sync.Mutex
	snapshot *ebonywood.Snapshot
	changed  chan struct{}
}

type fleetSettings struct {
	ebonywood.Settings
	name, zone string
}

func (settings fleetSettings) Name() string             { return settings.name }
func (settings fleetSettings) Zone() string             { return settings.zone }
func (settings fleetSettings) PeerAddress() string      { return settings.name }
func (settings fleetSettings) Limits() ebonywood.Limits { return ebonywood.Limits{} }
func (settings fleetSettings) Seeds() []string          { return nil }

func (proxy *fleetProxy) Settings() ebonywood.Settings   { return proxy.settings }
func (proxy *fleetProxy) Directory() ebonywood.Directory { return proxy.client }
func (proxy *fleetProxy) Relay() ebonywood.Relay         { return fleetRelay{fleet: proxy.fleet} }
func (proxy *fleetProxy) Clock() ebonywood.Clock         { return proxy.fleet.clock }
func (proxy *fleetProxy) Log() logr.Logger               { return logr.Discard() }

func (proxy *fleetProxy) Snapshot() *ebonywood.Snapshot {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.snapshot
}

// Post passes the event to the placement and publishes the owners.
func (proxy *fleetProxy) Post(_ context.Context, event ebonywood.Event) error {
	listed, ok := event.(ebonywood.ProxyReportsListed)
	if !ok {
		return nil
	}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.placement.Handle(0, event)
	draft := ebonywood.NewDraft()
	proxy.placement.Contribute(draft)
	draft.SetReportCount(len(listed.Reports()))
	proxy.snapshot = draft.Publish()
	close(proxy.changed)
	proxy.changed = make(chan struct{})
	return nil
}

func (proxy *fleetProxy) Await(ctx context.Context, ready func(*ebonywood.Snapshot) bool) (*ebonywood.Snapshot, error) {
	for {
		proxy.mutex.Lock()
		snapshot, changed := proxy.snapshot, proxy.changed
		proxy.mutex.Unlock()
		if ready(snapshot) {
			return snapshot, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fleetRelay reaches the mirrors of the other proxies directly.
type fleetRelay struct {
	ebonywood.Relay
	fleet *fleet
}

func (relay fleetRelay) FetchChanges(ctx context.Context, address string, cursor ebonywood.Cursor, wait ebonywood.Millis) (ebonywood.MirrorPage, error) {
	time.Sleep(peerLatency)
	target := relay.fleet.proxies[address]
	if target.client.dead.Load() {
		return ebonywood.MirrorPage{}, errDead
	}
	callCtx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	return target.edge.Changes(callCtx, cursor), nil
}

// startClock counts from the start of the fleet, as those of its processes do.
type startClock struct {
	start time.Time
}

func (clock startClock) Now() ebonywood.Millis { return ebonywood.MillisOf(time.Since(clock.start)) }

// fleet is a number of proxies in five availability zones.
type fleet struct {
	clock   startClock
	store   *memoryStore
	proxies map[string]*fleetProxy
}

// startFleet starts all proxies at once.
func startFleet(t *testing.T, size int) *fleet {
	all := &fleet{clock: startClock{start: time.Now()}, store: newMemoryStore(), proxies: map[string]*fleetProxy{}}
	for i := range size {
		settings := fleetSettings{name: fmt.Sprintf("p%03d", i), zone: fmt.Sprintf("z%d", i%5)}
		proxy := &fleetProxy{
			settings: settings, fleet: all, client: &storeClient{store: all.store}, changed: make(chan struct{}), ended: make(chan error, 1),
			placement: placement.New(ebonywood.NewPeerView(settings.name, settings.zone, settings.name), 8),
			snapshot:  ebonywood.NewDraft().Publish(),
		}
		proxy.edge = New(proxy)
		all.proxies[settings.name] = proxy
	}
	for _, proxy := range all.proxies {
		ctx, stop := context.WithCancel(context.Background())
		proxy.stop = stop
		go func() { proxy.ended <- proxy.edge.Run(ctx) }()
	}
	t.Cleanup(func() {
		for _, proxy := range all.proxies {
			proxy.client.dead.Store(true)
			proxy.stop()
		}
		for _, proxy := range all.proxies {
			require.NoError(t, <-proxy.ended)
		}
	})
	return all
}

// holder returns the proxy that holds the duty, nil if none does.
func (fleet *fleet) holder() *fleetProxy {
	for _, proxy := range fleet.proxies {
		proxy.edge.mutex.Lock()
		holds := proxy.edge.holdsDuty
		proxy.edge.mutex.Unlock()
		if holds && !proxy.client.dead.Load() {
			return proxy
		}
	}
	return nil
}

// watchers returns the number of proxies that watch the directory.
func (fleet *fleet) watchers() (count int) {
	for _, proxy := range fleet.proxies {
		if proxy.Snapshot().Owners().IsWatcher() {
			count++
		}
	}
	return count
}

// await polls until the condition holds, and fails the test after 20 s of its time.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(t, "waiting for "+what)
}

// setDown makes the store refuse all calls, or serve them again. Watches that wait are
// cut when it goes down.
func (store *memoryStore) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
	close(store.changed)
	store.changed = make(chan struct{})
}

// knowsAll reports whether every proxy that lives knows that many.
func (fleet *fleet) knowsAll(count int) bool {
	for _, proxy := range fleet.proxies {
		if !proxy.client.dead.Load() && proxy.Snapshot().ReportCount() != count {
			return false
		}
	}
	return true
}

const (
	largeFleetSize = 295
	// callsPerStart is what a start of one proxy may cost: a list, a lease, a report, and
	// some watches until it knows whom to follow.
	callsPerStart = 8
	// callsAtRest is the number of calls a second that a proxy at rest may make.
	callsAtRest = 0.1
)

// TestLargeFleetCallsTheDirectorySeldom starts 295 proxies at once, lets them rest, and
// kills the holder of the duty.
func TestLargeFleetCallsTheDirectorySeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startFleet(t, largeFleetSize)
		await(t, "the start", func() bool { return all.knowsAll(largeFleetSize) && all.holder() != nil })
		time.Sleep(2 * time.Second)
		started, watchers := all.store.takeCalls(), all.watchers()
		t.Log("start:", started)
		require.Equal(t, largeFleetSize, started["put"], "each proxy writes one report")
		require.LessOrEqual(t, started["create"], 2*watchers, "few compete for the duty")
		require.LessOrEqual(t, priced(started), float64(callsPerStart*largeFleetSize))

		const rest = 20 * time.Second
		time.Sleep(rest)
		resting := all.store.takeCalls()
		t.Log("rest:", resting)
		require.LessOrEqual(t, priced(resting)/rest.Seconds()/largeFleetSize, callsAtRest)
		require.Zero(t, resting["grant"]+resting["put"], "no report expires")

		lost := all.holder()
		lost.client.dead.Store(true)
		lost.stop()
		killedAt := time.Now()
		await(t, "another holder", func() bool { return all.holder() != nil })
		require.LessOrEqual(t, time.Since(killedAt), 2*time.Second)
		time.Sleep(time.Second)
		succession := all.store.takeCalls()
		t.Log("succession:", succession)
		require.LessOrEqual(t, succession["create"], watchers, "few compete for the duty")
	})
}

// TestWatchersDieWithTheHolder kills the holder of the duty and all watchers. Another
// proxy takes the duty soon, and few compete for it.
func TestWatchersDieWithTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startFleet(t, largeFleetSize)
		await(t, "the start", func() bool { return all.knowsAll(largeFleetSize) && all.holder() != nil })
		time.Sleep(2 * time.Second)
		watchers := all.watchers()
		killed := 0
		for _, proxy := range all.proxies {
			if proxy.Snapshot().Owners().IsWatcher() || proxy == all.holder() {
				proxy.client.dead.Store(true)
				proxy.stop()
				killed++
			}
		}
		all.store.takeCalls()
		await(t, "another holder", func() bool { return all.holder() != nil })
		await(t, "other watchers", func() bool { return all.knowsAll(largeFleetSize - killed) })
		calls := all.store.takeCalls()
		t.Log("calls:", calls)
		require.LessOrEqual(t, calls["create"], 3*watchers)
	})
}

// TestOutageCostsFewCalls lets the store refuse all calls of a large fleet for 5 s, in
// which all leases end. All calls are priced, refused ones too.
func TestOutageCostsFewCalls(t *testing.T) {
	const (
		outage = 5 * time.Second
		// callsPerOutage is what an outage and the return of the store may cost a proxy: a
		// lease and a report anew, and some calls that fail.
		callsPerOutage = 6
	)
	synctest.Test(t, func(t *testing.T) {
		all := startFleet(t, largeFleetSize)
		await(t, "the start", func() bool { return all.knowsAll(largeFleetSize) && all.holder() != nil })
		time.Sleep(2 * time.Second)
		all.store.takeCalls()
		all.store.setDown(true)
		time.Sleep(outage)
		refused := all.store.takeCalls()
		t.Log("outage:", refused)
		all.store.setDown(false)
		returnedAt := time.Now()
		time.Sleep(time.Second)
		await(t, "all reports", func() bool { return all.knowsAll(largeFleetSize) && all.holder() != nil })
		t.Log("back after", time.Since(returnedAt))
		calls := all.store.takeCalls()
		t.Log("return:", calls)
		require.LessOrEqual(t, calls["create"], all.watchers(), "few compete for the duty")
		require.LessOrEqual(t, priced(refused)+priced(calls), float64(callsPerOutage*largeFleetSize))
	})
}
