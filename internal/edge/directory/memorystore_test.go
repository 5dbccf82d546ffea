package directory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonywood/ebonywood"
)

// memoryStore is the directory of a fleet. It keeps the whole history of changes.
type memoryStore struct {
	mutex    sync.Mutex
	revision int64
	era      ebonywood.Era
	items    map[string]ebonywood.Item
	leaseOf  map[string]ebonywood.LeaseID
	history  []ebonywood.Item
	leases   map[ebonywood.LeaseID]*time.Timer
	ttls     map[ebonywood.LeaseID]time.Duration
	lastID   int64
	changed  chan struct{}
	calls    map[string]int
	// down makes the store refuse all calls.
	down bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		era: 1, items: map[string]ebonywood.Item{}, leaseOf: map[string]ebonywood.LeaseID{}, changed: make(chan struct{}),
		leases: map[ebonywood.LeaseID]*time.Timer{}, ttls: map[ebonywood.LeaseID]time.Duration{}, calls: map[string]int{},
	}
}

// atRevision returns the revision with a number in the first era.
func atRevision(number int64) ebonywood.Revision { return ebonywood.NewRevision(1, number) }

// now returns the revision of the last change; the mutex is held.
func (store *memoryStore) now() ebonywood.Revision {
	return ebonywood.NewRevision(store.era, store.revision)
}

// takeCalls returns the calls since the last time by purpose.
func (store *memoryStore) takeCalls() map[string]int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	calls := store.calls
	store.calls = map[string]int{}
	return calls
}

// priced returns the number of calls, of which a renewal counts a tenth.
func priced(calls map[string]int) float64 {
	sum := 0.0
	for purpose, count := range calls {
		if purpose == "renew" {
			sum += 0.1 * float64(count)
		} else {
			sum += float64(count)
		}
	}
	return sum
}

// write records a change; the mutex is held.
func (store *memoryStore) write(item ebonywood.Item) {
	store.history = append(store.history, item)
	if item.IsDeleted() {
		delete(store.items, item.Key())
	} else {
		store.items[item.Key()] = item
	}
	close(store.changed)
	store.changed = make(chan struct{})
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
			store.revision++
			store.write(ebonywood.NewDeletedItem(key, store.now()))
		}
	}
}

const (
	// storeLatency and peerLatency are the times of a call to the store and to a proxy.
	storeLatency = 4 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
)

// storeClient is the directory as one proxy calls it.
type storeClient struct {
	ebonywood.Directory
	store *memoryStore
	// dead makes all calls fail, like those of a process that was killed.
	dead atomic.Bool
}

var (
	errDead = ebonywood.NewFault(ebonywood.KindUnavailable, "the process was killed", "")
	errDown = ebonywood.NewFault(ebonywood.KindUnavailable, "the store is down", "")
)

// count counts a call and locks the store for it; the error is that of a dead process or
// of a store that is down, which is not locked then.
func (client *storeClient) count(purpose string) error {
	time.Sleep(storeLatency)
	if client.dead.Load() {
		return errDead
	}
	client.store.mutex.Lock()
	client.store.calls[purpose]++
	if client.store.down {
		client.store.mutex.Unlock()
		return errDown
	}
	return nil
}

func (client *storeClient) ConfigurationKey() string { return "configuration" }
func (client *storeClient) MemberPrefix() string     { return "members/" }

func (client *storeClient) List(_ context.Context, _ string, onResponse func()) ([]ebonywood.Item, ebonywood.Revision, error) {
	if err := client.count("list"); err != nil {
		return nil, ebonywood.Revision{}, err
	}
	defer client.store.mutex.Unlock()
	onResponse()
	var items []ebonywood.Item
	for _, item := range client.store.items {
		items = append(items, item)
	}
	return items, client.store.now(), nil
}

func (client *storeClient) Changes(ctx context.Context, _ string, after ebonywood.Revision, wait ebonywood.Millis) ([]ebonywood.Item, ebonywood.Revision, error) {
	if err := client.count("watch"); err != nil {
		return nil, ebonywood.Revision{}, err
	}
	store := client.store
	defer store.mutex.Unlock()
	timeout := time.After(wait.Duration())
	for !after.Less(store.now()) {
		changed := store.changed
		store.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			store.mutex.Lock()
			return nil, store.now(), nil
		case <-ctx.Done():
			store.mutex.Lock()
			return nil, ebonywood.Revision{}, errDead
		}
		store.mutex.Lock()
		if store.down {
			return nil, ebonywood.Revision{}, errDown
		}
	}
	var changes []ebonywood.Item
	for i := len(store.history) - 1; i >= 0 && after.Less(store.history[i].Revision()); i-- {
		changes = append(changes, store.history[i])
	}
	slices.Reverse(changes)
	return changes, store.now(), nil
}

func (client *storeClient) Create(_ context.Context, key string, value []byte, lease ebonywood.LeaseID) (ebonywood.Revision, error) {
	if err := client.count("create"); err != nil {
		return ebonywood.Revision{}, err
	}
	defer client.store.mutex.Unlock()
	if _, found := client.store.items[key]; found {
		return ebonywood.Revision{}, ebonywood.NewFault(ebonywood.KindConflict, "the key exists", "")
	}
	return client.put(key, value, lease)
}

func (client *storeClient) Put(_ context.Context, key string, value []byte, lease ebonywood.LeaseID) (ebonywood.Revision, error) {
	if err := client.count("put"); err != nil {
		return ebonywood.Revision{}, err
	}
	defer client.store.mutex.Unlock()
	return client.put(key, value, lease)
}

func (client *storeClient) put(key string, value []byte, lease ebonywood.LeaseID) (ebonywood.Revision, error) {
	store := client.store
	if _, found := store.leases[lease]; !found {
		return ebonywood.Revision{}, ebonywood.NewFault(ebonywood.KindStale, "no such lease", "")
	}
	store.revision++
	store.leaseOf[key] = lease
	store.write(ebonywood.NewItem(key, value, store.now()))
	return store.now(), nil
}

func (client *storeClient) Grant(_ context.Context, ttl ebonywood.Millis) (ebonywood.LeaseID, error) {
	if err := client.count("grant"); err != nil {
		return ebonywood.LeaseID{}, err
	}
	store := client.store
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

func (client *storeClient) Renew(_ context.Context, lease ebonywood.LeaseID) error {
	if err := client.count("renew"); err != nil {
		return err
	}
	store := client.store
	defer store.mutex.Unlock()
	timer, found := store.leases[lease]
	if !found {
		return ebonywood.NewFault(ebonywood.KindStale, "no such lease", "")
	}
	timer.Reset(store.ttls[lease])
	return nil
}

func (client *storeClient) Revoke(_ context.Context, lease ebonywood.LeaseID) error {
	if err := client.count("revoke"); err != nil {
		return err
	}
	defer client.store.mutex.Unlock()
	client.store.end(lease)
	return nil
}
