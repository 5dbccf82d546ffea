package ratelimit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/decision/allocation"
)

// This file plays a fleet without a network on a simulated clock. Every proxy has its own edge
// and decision; the store is in memory and refuses or loses calls as a test asks for. It guards
// against operations beyond the bound, and against refusals below the limit.

// fleetAllocators is the default number of allocators.
var fleetAllocators = ebonywood.Limits{}.Count(ebonywood.LimitRateAllocators)

const (
	fleetProxies    = 83
	fleetWorkspaces = 84
	peerLatency     = 2 * time.Millisecond
	storeLatency    = 4 * time.Millisecond
	// listDelay is how long a change of a key takes to be known at the proxies.
	listDelay = 40 * time.Millisecond
)

var errDown = ebonywood.NewFault(ebonywood.KindUnavailable, "no response", "")

// memoryStore holds the keys of the allocators.
type memoryStore struct {
	ebonywood.Directory
	fleet *fleet

	mutex    sync.Mutex
	revision int64
	items    map[string]ebonywood.Item
	leaseOf  map[string]ebonywood.LeaseID
	leases   map[ebonywood.LeaseID]*time.Timer
	ttls     map[ebonywood.LeaseID]time.Duration
	lastID   int64
	down     bool
	calls    int
	era      ebonywood.Era
}

// now returns the revision of the last change; the mutex is held.
func (store *memoryStore) now() ebonywood.Revision {
	return ebonywood.NewRevision(store.era, store.revision)
}

// storeClient is the store as one proxy reaches it.
type storeClient struct {
	*memoryStore
	proxy *fleetProxy
}

// enter delays and counts a call and locks the store; the error is that of a store that can't
// be reached, which is not locked then.
func (client storeClient) enter() error {
	time.Sleep(storeLatency)
	client.mutex.Lock()
	client.calls++
	if client.down || client.proxy.isCut() {
		client.mutex.Unlock()
		return errDown
	}
	return nil
}

func (client storeClient) Grant(_ context.Context, ttl ebonywood.Millis) (ebonywood.LeaseID, error) {
	if err := client.enter(); err != nil {
		return ebonywood.LeaseID{}, err
	}
	store := client.memoryStore
	defer store.mutex.Unlock()
	store.lastID++
	id := ebonywood.NewLeaseID(store.era, store.lastID)
	store.ttls[id] = ttl.Duration()
	store.leases[id] = time.AfterFunc(ttl.Duration(), func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.end(id)
	})
	return id, nil
}

// restoreFrom replaces the keys by those of a backup, and loses all leases and the revisions
// since the first one. The keys of the backup end after the time to live of an allocator's lease.
func (store *memoryStore) restoreFrom(copied map[string]ebonywood.Item) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.era++
	store.revision, store.lastID = 0, 0
	clear(store.items)
	clear(store.leaseOf)
	clear(store.leases)
	for key, item := range copied {
		store.revision++
		store.items[key] = ebonywood.NewItem(key, item.Value(), store.now())
	}
	store.lastID++
	lease, ttl := ebonywood.NewLeaseID(store.era, store.lastID), ebonywood.Limits{}.AllocatorLeaseTTL().Duration()
	for key := range copied {
		store.leaseOf[key] = lease
	}
	store.ttls[lease] = ttl
	store.leases[lease] = time.AfterFunc(ttl, func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.end(lease)
	})
	for _, proxy := range store.fleet.running() {
		if !proxy.isCut() {
			proxy.handle(ebonywood.DirectoryRestored{})
		}
	}
	store.fleet.list()
}

// end deletes the keys of a lease; the mutex is held.
func (store *memoryStore) end(lease ebonywood.LeaseID) {
	if timer, found := store.leases[lease]; found {
		timer.Stop()
	}
	delete(store.leases, lease)
	for key, owner := range store.leaseOf {
		if owner == lease {
			delete(store.leaseOf, key)
			delete(store.items, key)
			store.fleet.list()
		}
	}
}

func (client storeClient) Renew(_ context.Context, lease ebonywood.LeaseID) error {
	if err := client.enter(); err != nil {
		return err
	}
	defer client.mutex.Unlock()
	timer, found := client.leases[lease]
	if !found {
		return ebonywood.NewFault(ebonywood.KindStale, "no such lease", "")
	}
	timer.Reset(client.ttls[lease])
	return nil
}

func (client storeClient) Revoke(_ context.Context, lease ebonywood.LeaseID) error {
	if err := client.enter(); err != nil {
		return err
	}
	defer client.mutex.Unlock()
	client.end(lease)
	return nil
}

func (client storeClient) Create(ctx context.Context, key string, value []byte, lease ebonywood.LeaseID) (ebonywood.Revision, error) {
	return client.Replace(ctx, key, value, lease, ebonywood.Revision{})
}

func (client storeClient) Replace(
	_ context.Context, key string, value []byte, lease ebonywood.LeaseID, revision ebonywood.Revision,
) (ebonywood.Revision, error) {
	if err := client.enter(); err != nil {
		return ebonywood.Revision{}, err
	}
	store := client.memoryStore
	defer store.mutex.Unlock()
	if store.items[key].Revision() != revision {
		return ebonywood.Revision{}, ebonywood.NewFault(ebonywood.KindConflict, "another revision", "")
	}
	if _, found := store.leases[lease]; !found {
		return ebonywood.Revision{}, ebonywood.NewFault(ebonywood.KindStale, "no such lease", "")
	}
	store.revision++
	store.items[key], store.leaseOf[key] = ebonywood.NewItem(key, value, store.now()), lease
	store.fleet.list()
	return store.now(), nil
}

func (client storeClient) List(_ context.Context, _ string, _ func()) ([]ebonywood.Item, ebonywood.Revision, error) {
	if err := client.enter(); err != nil {
		return nil, ebonywood.Revision{}, err
	}
	defer client.mutex.Unlock()
	var items []ebonywood.Item
	for _, item := range client.items {
		items = append(items, item)
	}
	return items, client.now(), nil
}

// fleetProxy is the port of one run of a proxy.
type fleetProxy struct {
	ebonywood.Port
	fleet    *fleet
	name     string
	index    int
	decision *allocation.Allocation
	edge     *Edge
	stop     context.CancelFunc
	ended    chan error
	dead     atomic.Bool

	mutex    sync.Mutex
	snapshot *ebonywood.Snapshot
}

type fleetSettings struct {
	ebonywood.Settings
	name string
}

func (settings fleetSettings) Name() string             { return settings.name }
func (settings fleetSettings) PeerAddress() string      { return settings.name }
func (settings fleetSettings) Limits() ebonywood.Limits { return ebonywood.Limits{} }

type startClock struct{ start time.Time }

func (clock startClock) Now() ebonywood.Millis { return ebonywood.MillisOf(time.Since(clock.start)) }

func (proxy *fleetProxy) Settings() ebonywood.Settings { return fleetSettings{name: proxy.name} }
func (proxy *fleetProxy) Clock() ebonywood.Clock       { return proxy.fleet.clock }
func (proxy *fleetProxy) Log() logr.Logger             { return logr.Discard() }
func (proxy *fleetProxy) Metrics() tally.Scope         { return tally.NoopScope }
func (proxy *fleetProxy) Directory() ebonywood.Directory {
	return storeClient{proxy.fleet.store, proxy}
}
func (proxy *fleetProxy) Relay() ebonywood.Relay { return fleetRelay{proxy: proxy} }
func (proxy *fleetProxy) isCut() bool {
	return proxy.dead.Load() || proxy.fleet.cut[proxy.index].Load()
}

func (proxy *fleetProxy) Await(ctx context.Context, ready func(*ebonywood.Snapshot) bool) (*ebonywood.Snapshot, error) {
	for ctx.Err() == nil {
		if snapshot := proxy.Snapshot(); ready(snapshot) {
			return snapshot, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, ctx.Err()
}

func (proxy *fleetProxy) Snapshot() *ebonywood.Snapshot {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.snapshot
}

// handle passes an event to the decision, performs its actions and publishes the snapshot.
func (proxy *fleetProxy) handle(event ebonywood.Event) {
	proxy.mutex.Lock()
	actions := proxy.decision.Handle(proxy.fleet.clock.Now(), event)
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(proxy.fleet.set)
	proxy.decision.Contribute(draft)
	proxy.snapshot = draft.Publish()
	proxy.mutex.Unlock()
	for _, action := range actions {
		proxy.edge.Perform(action)
	}
}

// fleetRelay reaches the edges of the other proxies.
type fleetRelay struct {
	ebonywood.Relay
	proxy *fleetProxy
}

func (relay fleetRelay) RequestTokens(ctx context.Context, address string, request ebonywood.TokenRequest) (ebonywood.TokenReply, error) {
	fleet := relay.proxy.fleet
	fleet.messages.Add(1)
	key := fmt.Sprintf("%s/%d", relay.proxy.name, request.Allocator())
	fleet.addInFlight(key, 1)
	defer fleet.addInFlight(key, -1)
	time.Sleep(peerLatency)
	target := fleet.proxy(address)
	if relay.proxy.isCut() || target.isCut() {
		<-ctx.Done()
		return ebonywood.TokenReply{}, ctx.Err()
	}
	reply := target.edge.Allocate(request)
	time.Sleep(peerLatency)
	return reply, nil
}

// fleet is a number of proxies and what they did.
type fleet struct {
	clock    startClock
	store    *memoryStore
	set      *ebonywood.ObjectSet
	cut      []atomic.Bool
	messages atomic.Int64
	listing  atomic.Bool
	tasks    sync.WaitGroup

	mutex   sync.Mutex
	proxies []*fleetProxy
	// ended are the proxies that have ended, which others may still ask.
	ended []*fleetProxy
	// spent has the times of the operations of each workspace that were admitted, offered and
	// refused their numbers since the last takeCounts.
	spent            [][]time.Duration
	offered, refused []int
	// inFlight has the requests in flight by proxy and allocator, mostInFlight the greatest number.
	inFlight     map[string]int
	mostInFlight int
	// waited has the operations that did not find a token at their proxy.
	waited []int
}

// proxy returns the present run of a proxy.
func (fleet *fleet) proxy(name string) *fleetProxy {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, proxy := range append(slices.Clone(fleet.proxies), fleet.ended...) {
		if proxy.name == name {
			return proxy
		}
	}
	return nil
}

// addInFlight counts a request that begins or ends.
func (fleet *fleet) addInFlight(key string, change int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.inFlight[key] += change
	fleet.mostInFlight = max(fleet.mostInFlight, fleet.inFlight[key])
}

// list makes the present keys known to all proxies that are not cut off.
func (fleet *fleet) list() {
	if fleet.listing.Swap(true) {
		return
	}
	time.AfterFunc(listDelay, func() {
		fleet.listing.Store(false)
		event := ebonywood.NewAllocatorsListed(fleet.allocators())
		for _, proxy := range fleet.running() {
			if !proxy.isCut() {
				proxy.handle(event)
			}
		}
	})
}

func (fleet *fleet) running() []*fleetProxy {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.proxies)
}

// allocators returns the holders of the keys in the store.
func (fleet *fleet) allocators() (allocators []ebonywood.Allocator) {
	fleet.store.mutex.Lock()
	defer fleet.store.mutex.Unlock()
	for number := range 16 {
		item, found := fleet.store.items[ebonywood.AllocatorKey(number)]
		if !found {
			continue
		}
		var value keyValue
		if json.Unmarshal(item.Value(), &value) != nil {
			continue
		}
		allocators = append(allocators, ebonywood.NewAllocator(number, value.Holder, value.Address, value.Nonce).WithSettled(value.Settled))
	}
	return allocators
}

// start starts a run of all proxies.
func (fleet *fleet) start() {
	var reports []ebonywood.ProxyReport
	var proxies []*fleetProxy
	for i := range fleetProxies {
		name := fmt.Sprintf("p%02d", i)
		proxy := &fleetProxy{
			fleet: fleet, name: name, index: i, decision: allocation.New(name, name, fleetAllocators, ebonywood.Limits{}.AllocatorLeaseTTL()),
			snapshot: ebonywood.NewDraft().Publish(), ended: make(chan error, 1),
		}
		proxy.edge = New(proxy)
		proxies = append(proxies, proxy)
		reports = append(reports, ebonywood.NewProxyReport(ebonywood.NewPeerView(name, "z", name), nil, false))
	}
	fleet.mutex.Lock()
	fleet.proxies = proxies
	fleet.mutex.Unlock()
	listed := ebonywood.NewAllocatorsListed(fleet.allocators())
	for _, proxy := range proxies {
		ctx, stop := context.WithCancel(context.Background())
		proxy.stop = stop
		go func() { proxy.ended <- proxy.edge.Run(ctx) }()
		proxy.handle(ebonywood.NewObjectSetApplied(fleet.set))
		proxy.handle(listed)
		proxy.handle(ebonywood.NewProxyReportsListed(reports))
		fleet.tasks.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(50 * time.Millisecond)
				proxy.handle(ebonywood.Tick{})
			}
		})
	}
}

// kill ends all proxies without a goodbye.
func (fleet *fleet) kill(t *testing.T) {
	fleet.end(t, true, func(*fleetProxy) bool { return true })
}

// end ends some of the proxies; those that are killed call nobody any more.
func (fleet *fleet) end(t *testing.T, kill bool, includes func(*fleetProxy) bool) {
	var ended, rest []*fleetProxy
	for _, proxy := range fleet.running() {
		if includes(proxy) {
			ended = append(ended, proxy)
		} else {
			rest = append(rest, proxy)
		}
	}
	for _, proxy := range ended {
		proxy.dead.Store(kill)
		proxy.stop()
	}
	for _, proxy := range ended {
		require.NoError(t, <-proxy.ended)
		proxy.dead.Store(true)
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.proxies, fleet.ended = rest, append(fleet.ended, ended...)
}

// rateOf, burstOf and demandOf are those of the workspaces: the first three are large, and
// the first presses against its limit.
func rateOf(workspace int) float64 {
	switch workspace {
	case 0:
		return 300
	case 1, 2:
		return 250
	default:
		return 10 + float64(workspace%7)*3
	}
}

func burstOf(workspace int) float64 { return rateOf(workspace) / 2 }

func demandOf(workspace int) float64 {
	if workspace == 0 {
		return 2 * rateOf(workspace)
	}
	return 0.55 * rateOf(workspace)
}

// load lets callers come at the proxies for a time. Some proxies have many times more callers
// than others.
func (fleet *fleet) load(duration time.Duration) {
	weights := 0.0
	weight := func(index int) float64 { return 1 + float64(index%5)*float64(index%5)/4 }
	total := 0.0
	for index := range fleetProxies {
		weights += weight(index)
	}
	for workspace := range fleetWorkspaces {
		total += demandOf(workspace)
	}
	end := time.Now().Add(duration)
	var generators sync.WaitGroup
	for _, proxy := range fleet.running() {
		generators.Go(func() {
			random := rand.New(rand.NewPCG(uint64(proxy.index), uint64(end.UnixNano())))
			perSecond := total * weight(proxy.index) / weights
			for {
				time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				if time.Now().After(end) {
					return
				}
				workspace, point := 0, random.Float64()*total
				for point -= demandOf(0); point > 0 && workspace < fleetWorkspaces-1; point -= demandOf(workspace) {
					workspace++
				}
				generators.Go(func() { fleet.operate(proxy, workspace) })
			}
		})
	}
	generators.Wait()
}

// operate runs one operation.
func (fleet *fleet) operate(proxy *fleetProxy, workspace int) {
	entry, start := fleet.set.Workspaces()[workspace], time.Now()
	taken := proxy.edge.Take(context.Background(), entry, time.Now().Add(time.Second))
	if taken {
		proxy.edge.Spend(entry)
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.offered[workspace]++
	if workspace > 0 && time.Now().After(start) {
		fleet.waited[workspace]++
	}
	if taken {
		fleet.spent[workspace] = append(fleet.spent[workspace], time.Since(fleet.clock.start))
	} else {
		fleet.refused[workspace]++
	}
}

// takeCounts returns the operations since the last call.
func (fleet *fleet) takeCounts() (offered, refused []int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	offered, refused = fleet.offered, fleet.refused
	fleet.waited = make([]int, fleetWorkspaces)
	fleet.offered, fleet.refused = make([]int, fleetWorkspaces), make([]int, fleetWorkspaces)
	return offered, refused
}

// requireBound checks every window of every workspace.
func (fleet *fleet) requireBound(t *testing.T) {
	bounds := ebonywood.NewRateBounds(defaultWindow, defaultOverage, defaultSlack)
	for workspace, spent := range fleet.spent {
		slices.Sort(spent)
		most := int(bounds.Max(rateOf(workspace), burstOf(workspace)))
		for first := range spent {
			if last := first + most; last < len(spent) {
				require.GreaterOrEqual(t, spent[last]-spent[first], bounds.Window().Duration(), "workspace %d", workspace)
			}
		}
	}
}

// requireServed checks which share of its allowance the pressing workspace got in a time, and
// which share of the operations of the others was refused.
func (fleet *fleet) requireServed(t *testing.T, name string, duration time.Duration, least, mostRefused float64) {
	large, small := fleet.waited[1]+fleet.waited[2], 0
	for _, waited := range fleet.waited[3:] {
		small += waited
	}
	offered, refused := fleet.takeCounts()
	t.Logf("%s: waited: %d of %d in large workspaces, %d in small ones", name, large, offered[1]+offered[2], small)
	served := float64(offered[0]-refused[0]) / (rateOf(0) * duration.Seconds())
	others, lost := 0, 0
	for workspace := 1; workspace < fleetWorkspaces; workspace++ {
		others += offered[workspace]
		lost += refused[workspace]
	}
	messages := float64(fleet.messages.Swap(0)) / fleetProxies / duration.Seconds()
	t.Logf("%s: pressing workspace %.3f of its allowance, others refused %d of %d, %.1f requests per proxy and second, %d calls to the store",
		name, served, lost, others, messages, fleet.store.takeCalls())
	require.GreaterOrEqual(t, served, least, name)
	require.LessOrEqual(t, float64(lost)/float64(others), mostRefused, name)
}

// play runs a test on a fleet that has started.
func play(t *testing.T, test func(t *testing.T, fleet *fleet)) {
	playWith(t, rateOf, func(t *testing.T, fleet *fleet) {
		require.Len(t, fleet.allocators(), fleetAllocators)
		test(t, fleet)
	})
}

// playWith is play for other rates.
func playWith(t *testing.T, rateOf func(workspace int) float64, test func(t *testing.T, fleet *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		var workspaces []*ebonywood.Workspace
		for i := range fleetWorkspaces {
			workspaces = append(workspaces, ebonywood.NewWorkspace(fmt.Sprintf("w%d", i), nil, nil, 0).WithRate(rateOf(i), burstOf(i)))
		}
		fleet := &fleet{
			clock: startClock{start: time.Now()}, cut: make([]atomic.Bool, fleetProxies),
			set:   ebonywood.NewObjectSet(1, "", nil, nil, nil).WithWorkspaces(workspaces),
			spent: make([][]time.Duration, fleetWorkspaces), inFlight: map[string]int{},
		}
		fleet.store = &memoryStore{
			era: 1, fleet: fleet, items: map[string]ebonywood.Item{}, leaseOf: map[string]ebonywood.LeaseID{},
			leases: map[ebonywood.LeaseID]*time.Timer{}, ttls: map[ebonywood.LeaseID]time.Duration{},
		}
		fleet.takeCounts()
		fleet.start()
		// The goroutines of the bubble have to end also if a check fails.
		defer fleet.tasks.Wait()
		defer func() { fleet.kill(t) }()
		time.Sleep(2 * time.Second)
		test(t, fleet)
		fleet.requireBound(t)
		// With two, the allocator would count as spent what the reply to the other one deals.
		fleet.mutex.Lock()
		most := fleet.mostInFlight
		fleet.mutex.Unlock()
		require.LessOrEqual(t, most, 1, "requests of a proxy to an allocator at once")
	})
}

// TestFleetInNormalOperation guards against a pressing workspace that gets too little, and
// against too many messages.
func TestFleetInNormalOperation(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		fleet.load(8 * time.Second)
		fleet.takeCounts()
		fleet.messages.Store(0)
		fleet.store.takeCalls()
		const measured = 20 * time.Second
		fleet.load(measured)
		require.LessOrEqual(t, fleet.store.takeCalls(), fleetAllocators*21, "a renewal a second for each allocator")
		fleet.requireServed(t, "normal", measured, 0.95, 0.001)
	})
}

// TestFleetWithAQuarterCutOff cuts a quarter of the proxies off from the store and from the
// others, while their callers go on.
func TestFleetWithAQuarterCutOff(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		fleet.load(8 * time.Second)
		for index := range fleetProxies {
			fleet.cut[index].Store(index%4 == 0)
		}
		fleet.takeCounts()
		fleet.messages.Store(0)
		const measured = 20 * time.Second
		fleet.load(measured)
		fleet.requireServed(t, "a quarter cut off", measured, 0.80, 1)
		for index := range fleetProxies {
			fleet.cut[index].Store(false)
		}
		fleet.list()
		fleet.load(5 * time.Second)
	})
}

// TestFleetRestartedAtOnce kills all proxies and starts them again.
func TestFleetRestartedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		for range 3 {
			fleet.load(8 * time.Second)
			fleet.kill(t)
			fleet.start()
			fleet.takeCounts()
		}
		fleet.load(3 * time.Second)
		fleet.messages.Store(0)
		fleet.takeCounts()
		const measured = 10 * time.Second
		fleet.load(measured)
		fleet.requireServed(t, "after a restart", measured, 0.95, 0.001)
	})
}

// TestFleetWithoutTheStore lets the store refuse all calls for 4.5 s, less than the leases last.
func TestFleetWithoutTheStore(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		fleet.load(8 * time.Second)
		fleet.takeCounts()
		fleet.messages.Store(0)
		const outage = 4500 * time.Millisecond
		fleet.store.setDown(true)
		fleet.load(outage)
		fleet.store.setDown(false)
		fleet.requireServed(t, "without the store", outage, 0.95, 0.001)
		fleet.load(5 * time.Second)
		fleet.requireServed(t, "afterwards", 5*time.Second, 0.95, 0.001)
	})
}

// TestFleetOutlivesARestore restores the store from backups in which the keys have no holder, or
// earlier ones, while some allocators are cut off and go on dealing. It guards against QUOTA,
// two processes that deal the same part of the rate, and against parts that nobody deals.
func TestFleetOutlivesARestore(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		fleet.store.mutex.Lock()
		former := maps.Clone(fleet.store.items)
		fleet.store.mutex.Unlock()
		fleet.load(8 * time.Second)
		fleet.end(t, false, func(proxy *fleetProxy) bool { return proxy.name == fleet.allocators()[0].Holder() })
		fleet.load(8 * time.Second)
		for _, copied := range []map[string]ebonywood.Item{nil, former} {
			cut := fleet.proxy(fleet.allocators()[1].Holder())
			fleet.cut[cut.index].Store(true)
			fleet.store.restoreFrom(copied)
			fleet.takeCounts()
			fleet.messages.Store(0)
			const measured = 4 * time.Second
			fleet.load(measured)
			fleet.requireServed(t, "after the restore", measured, 0.75, 0.02)
			fleet.load(measured)
			fleet.cut[cut.index].Store(false)
			cut.handle(ebonywood.DirectoryRestored{})
			fleet.list()
			fleet.load(measured)
			fleet.takeCounts()
			fleet.load(measured)
			fleet.requireServed(t, "all back", measured, 0.95, 0.001)
			require.Len(t, fleet.allocators(), fleetAllocators)
		}
	})
}

// TestKeyOfAnEarlierEraIsNotReplaced guards against QUOTA: a process that starts after a restore
// finds the key of its earlier run in the backup, which another process may have held since.
func TestKeyOfAnEarlierEraIsNotReplaced(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		time.Sleep(8 * time.Second)
		copied := maps.Clone(fleet.store.items)
		former := fleet.allocators()
		require.True(t, former[0].IsSettled())
		fleet.kill(t)
		fleet.store.restoreFrom(copied)
		fleet.start()
		time.Sleep(4 * time.Second)
		require.Equal(t, former, fleet.allocators())
		time.Sleep(6 * time.Second)
		require.Len(t, fleet.allocators(), fleetAllocators)
		require.NotContains(t, fleet.allocators(), former[0])
	})
}

// TestFleetLosesItsAllocators cuts off all allocators, which go on dealing to themselves and to
// each other's former callers until their leases end, while others take over. It guards against
// two processes that deal the same part of the rate.
func TestFleetLosesItsAllocators(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		fleet.load(8 * time.Second)
		for range 2 {
			for _, allocator := range fleet.allocators() {
				fleet.cut[fleet.proxy(allocator.Holder()).index].Store(true)
			}
			fleet.load(9 * time.Second)
			for index := range fleetProxies {
				fleet.cut[index].Store(false)
			}
			fleet.list()
			fleet.takeCounts()
			fleet.messages.Store(0)
			const measured = 6 * time.Second
			fleet.load(measured)
			fleet.requireServed(t, "after the takeover", measured, 0.95, 0.01)
		}
	})
}

// TestFleetLosesHalfOfItsProxies kills half of the proxies at once, two allocators among them or
// not, as it happens.
func TestFleetLosesHalfOfItsProxies(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		fleet.load(8 * time.Second)
		fleet.end(t, true, func(proxy *fleetProxy) bool { return proxy.index%2 == 0 })
		fleet.load(9 * time.Second)
		fleet.takeCounts()
		fleet.messages.Store(0)
		const measured = 6 * time.Second
		fleet.load(measured)
		fleet.requireServed(t, "half killed", measured, 0.95, 0.001)
	})
}

// TestStoppedAllocatorHandsOver stops an allocator normally. It guards against a part of the rate
// that is missing until the lease has ended.
func TestStoppedAllocatorHandsOver(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		time.Sleep(6 * time.Second)
		former := fleet.allocators()[0]
		require.True(t, former.IsSettled())
		fleet.end(t, false, func(proxy *fleetProxy) bool { return proxy.name == former.Holder() })
		time.Sleep(2 * time.Second)
		require.Len(t, fleet.allocators(), fleetAllocators)
		require.NotEqual(t, former.Holder(), fleet.allocators()[0].Holder())
		require.False(t, fleet.allocators()[0].IsSettled())
	})
}

// TestUnsettledAllocatorKeepsItsKey guards against two takeovers within the life of a token, after
// which the third allocator would not know what the first one dealt.
func TestUnsettledAllocatorKeepsItsKey(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		former := fleet.allocators()[0]
		require.False(t, former.IsSettled())
		fleet.end(t, false, func(proxy *fleetProxy) bool { return proxy.name == former.Holder() })
		time.Sleep(2 * time.Second)
		require.Equal(t, former, fleet.allocators()[0])
		time.Sleep(6 * time.Second)
		require.NotEqual(t, former.Holder(), fleet.allocators()[0].Holder())
	})
}

// TestAllocatorStopsBeforeItsLeaseEnds guards against an allocator that can't renew its lease and
// deals on while another one has taken its key, and against one that stops for a short outage.
func TestAllocatorStopsBeforeItsLeaseEnds(t *testing.T) {
	play(t, func(t *testing.T, fleet *fleet) {
		allocator := fleet.allocators()[0]
		holder := fleet.proxy(allocator.Holder())
		sequence := uint64(0)
		refusal := func() string {
			sequence++
			needs := []ebonywood.TokenNeed{ebonywood.NewTokenNeed("w1", 0, 1)}
			return holder.edge.Allocate(ebonywood.NewTokenRequest("test", 0, allocator.Nonce(), needs).WithSequence("r", sequence)).Refusal()
		}
		fleet.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		require.Empty(t, refusal())
		fleet.store.setDown(false)
		time.Sleep(time.Second)
		fleet.cut[holder.index].Store(true)
		stoppedAt := time.Now()
		for refusal() == "" {
			require.Contains(t, fleet.allocators(), allocator.WithSettled(true), "the key still names it")
			time.Sleep(10 * time.Millisecond)
		}
		require.Greater(t, time.Since(stoppedAt), 4*time.Second)
		time.Sleep(2 * time.Second)
		require.NotEqual(t, allocator.Holder(), fleet.allocators()[0].Holder())
		fleet.cut[holder.index].Store(false)
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, refusal(), "it has lost its key for good")
	})
}

// TestNothingRunsWithoutARate guards against messages, calls to the store and refusals in a
// deployment whose workspaces have no rate.
func TestNothingRunsWithoutARate(t *testing.T) {
	playWith(t, func(int) float64 { return 0 }, func(t *testing.T, fleet *fleet) {
		fleet.load(3 * time.Second)
		_, refused := fleet.takeCounts()
		require.Equal(t, make([]int, fleetWorkspaces), refused)
		require.Zero(t, fleet.messages.Load())
		require.Zero(t, fleet.store.takeCalls())
		for _, proxy := range fleet.running() {
			require.Empty(t, proxy.edge.stocks)
			require.Empty(t, proxy.edge.claims)
		}
		fleet.spent = nil
	})
}

// BenchmarkTake measures an operation that finds a token.
func BenchmarkTake(b *testing.B) {
	workspace := ebonywood.NewWorkspace("w", nil, nil, 0).WithRate(1e9, 1e9)
	fleet := &fleet{clock: startClock{start: time.Now()}, set: ebonywood.NewObjectSet(1, "", nil, nil, nil)}
	proxy := &fleetProxy{fleet: fleet, name: "p", decision: allocation.New("p", "p", fleetAllocators, 0), snapshot: ebonywood.NewDraft().Publish()}
	edge := New(proxy)
	allocator := ebonywood.NewAllocator(0, "p", "p", "n")
	edge.stock("w").tokens.Add(0, 0, 1e9, 0, allocator, 1<<40, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		edge.Take(context.Background(), workspace, time.Time{})
		edge.Spend(workspace)
	}
}

// takeCalls returns the number of calls since the last time.
func (store *memoryStore) takeCalls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	calls := store.calls
	store.calls = 0
	return calls
}

func (store *memoryStore) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
}
