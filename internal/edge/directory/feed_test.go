package directory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func fixedClock(now ebonywood.Millis) func() ebonywood.Millis {
	return func() ebonywood.Millis { return now }
}

// TestFollowersConverge checks with random changes that a follower ends up with the
// items of its feed, whichever changes it missed, also after the feed was replaced or
// the follower switched mirrors.
func TestFollowersConverge(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		source := newFeed("first")
		held := map[string]ebonywood.Item{}
		follower := newMirror(nil)
		revision := int64(0)
		for step := range 400 {
			for range random.IntN(4) {
				revision++
				key := fmt.Sprintf("k%d", random.IntN(30))
				if random.IntN(3) == 0 {
					delete(held, key)
				} else {
					held[key] = ebonywood.NewItem(key, nil, atRevision(revision))
				}
			}
			source.update(held, ebonywood.Millis(step), ebonywood.Revision{})
			if random.IntN(100) == 0 {
				source = newFeed(fmt.Sprintf("after %d", step))
				source.update(held, ebonywood.Millis(step), ebonywood.Revision{})
			}
			if random.IntN(20) == 0 {
				// The follower switches to another mirror and back.
				follower.cursor = ebonywood.Cursor{}.WithRevision(follower.newestRevision())
			}
			if random.IntN(3) == 0 {
				page := source.changesSince(cancelledContext(), follower.cursor, fixedClock(ebonywood.Millis(step)))
				follower.merge(page)
				require.Equal(t, held, follower.items, "seed %d, step %d", seed, step)
				require.Zero(t, page.Age())
			}
		}
	}
}

// TestSwitchingMirrorsTransfersNoHeldValues checks that a follower that switches
// mirrors receives only the values that it lacks, and requests all values if an item
// that the page lists as unchanged is missing.
func TestSwitchingMirrorsTransfersNoHeldValues(t *testing.T) {
	held := map[string]ebonywood.Item{
		"long": ebonywood.NewItem("long", make([]byte, 1<<20), atRevision(1)), "gone": ebonywood.NewItem("gone", nil, atRevision(2)),
	}
	first, second := newFeed("first"), newFeed("second")
	first.update(held, 0, ebonywood.Revision{})
	follower := newMirror(nil)
	follower.merge(first.changesSince(cancelledContext(), ebonywood.Cursor{}, fixedClock(0)))
	delete(held, "gone")
	held["new"] = ebonywood.NewItem("new", []byte("n"), atRevision(3))
	second.update(held, 0, ebonywood.Revision{})
	page := second.changesSince(cancelledContext(), ebonywood.Cursor{}.WithRevision(follower.newestRevision()), fixedClock(0))
	require.Len(t, page.Items(), 1)
	require.Len(t, page.Unchanged(), 1)
	follower.merge(page)
	require.Equal(t, held, follower.items)

	delete(follower.items, "long")
	follower.merge(second.changesSince(cancelledContext(), ebonywood.Cursor{}.WithRevision(follower.newestRevision()), fixedClock(0)))
	require.Equal(t, ebonywood.Cursor{}, follower.cursor, "the next page has to contain all values")
	follower.merge(second.changesSince(cancelledContext(), follower.cursor, fixedClock(0)))
	require.Equal(t, held, follower.items)
}

// TestEvictedDeletionsForceFullPage checks that a follower that is further behind than
// the retained deletions receives a full page.
func TestEvictedDeletionsForceFullPage(t *testing.T) {
	source := newFeed("e")
	source.update(map[string]ebonywood.Item{"first": ebonywood.NewItem("first", nil, atRevision(1))}, 0, ebonywood.Revision{})
	behind := source.changesSince(cancelledContext(), ebonywood.Cursor{}, fixedClock(0)).Cursor()
	for i := range maxDeletions + 10 {
		key := fmt.Sprintf("k%d", i)
		source.update(map[string]ebonywood.Item{key: ebonywood.NewItem(key, nil, atRevision(int64(i+2)))}, 0, ebonywood.Revision{})
	}
	page := source.changesSince(cancelledContext(), behind, fixedClock(0))
	require.True(t, page.IsFull())
	require.Len(t, page.Items(), 1)
}

// TestChangeEndsTheWait checks that a change ends the wait of a follower that is up to
// date.
func TestChangeEndsTheWait(t *testing.T) {
	source := newFeed("e")
	source.update(map[string]ebonywood.Item{}, 0, ebonywood.Revision{})
	cursor := source.changesSince(cancelledContext(), ebonywood.Cursor{}, fixedClock(0)).Cursor()
	pages := make(chan ebonywood.MirrorPage, 1)
	go func() { pages <- source.changesSince(context.Background(), cursor, fixedClock(7)) }()
	time.Sleep(20 * time.Millisecond)
	source.update(map[string]ebonywood.Item{"k": ebonywood.NewItem("k", nil, atRevision(1))}, 5, ebonywood.Revision{})
	page := <-pages
	require.Len(t, page.Items(), 1)
	require.Equal(t, ebonywood.Millis(2), page.Age())
}

// TestStaleMirrorRespondsImmediately checks that a stale mirror does not wait for
// changes, so that its followers can switch.
func TestStaleMirrorRespondsImmediately(t *testing.T) {
	source := newFeed("e")
	source.update(map[string]ebonywood.Item{}, 0, ebonywood.Revision{})
	cursor := source.changesSince(cancelledContext(), ebonywood.Cursor{}, fixedClock(0)).Cursor()
	page := source.changesSince(context.Background(), cursor, fixedClock(maxMirrorAge+5))
	require.Equal(t, maxMirrorAge+5, page.Age())
}

// fakeRelay serves FetchChanges with a function of the test and records the addresses.
type fakeRelay struct {
	ebonywood.Relay
	fetch     func(address string) (ebonywood.MirrorPage, error)
	mutex     sync.Mutex
	requested []string
}

func (fake *fakeRelay) FetchChanges(
	_ context.Context, address string, _ ebonywood.Cursor, _ ebonywood.Millis,
) (ebonywood.MirrorPage, error) {
	fake.mutex.Lock()
	fake.requested = append(fake.requested, address)
	fake.mutex.Unlock()
	return fake.fetch(address)
}

type fakeSettings struct {
	ebonywood.Settings
}

func (fakeSettings) Limits() ebonywood.Limits { return ebonywood.Limits{} }
func (fakeSettings) Zone() string             { return "a" }
func (fakeSettings) Name() string             { return "self" }
func (fakeSettings) Seeds() []string          { return []string{"s1", "s2"} }

// newFollower returns the mirror of a process with the given watchers.
func newFollower(t *testing.T, relay *fakeRelay, watchers ...ebonywood.PeerView) *mirror {
	mirror := newTestMirror(t, &fakeDirectory{})
	draft := ebonywood.NewDraft()
	draft.SetOwners(ebonywood.NewOwners("self", nil, watchers))
	mirror.edge.port = fakePort{relay: relay, snapshot: draft.Publish()}
	return mirror
}

var near, far = ebonywood.NewPeerView("near", "a", "near"), ebonywood.NewPeerView("far", "b", "far")

// watchesDirectly reports whether the process watches the directory itself, and ends
// that period, so that the next call of upstream chooses a watcher again.
func (mirror *mirror) watchesDirectly() bool {
	_, found := mirror.upstream()
	mirror.directUntil = 0
	return !found
}

// TestStaleWatcherIsRejected checks that a follower of a stale watcher first watches the
// directory itself and later follows another watcher.
func TestStaleWatcherIsRejected(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, atRevision(3))
	ages := map[string]ebonywood.Millis{"near": 10, "far": 20}
	relay := &fakeRelay{fetch: func(address string) (ebonywood.MirrorPage, error) {
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{item}, ages[address]), nil
	}}
	mirror := newFollower(t, relay, far, near)
	for range 2 {
		peer, found := mirror.upstream()
		require.True(t, found)
		mirror.followPeer(t.Context(), peer)
		require.Equal(t, "near", mirror.upstreamAddress)
	}
	require.Equal(t, item, mirror.items["members/m0"])
	ages["near"] = maxMirrorAge + 1
	peer, _ := mirror.upstream()
	mirror.followPeer(t.Context(), peer)
	require.True(t, mirror.watchesDirectly())
	peer, found := mirror.upstream()
	require.True(t, found)
	require.Equal(t, "far", peer.Name())
	ages["far"] = maxMirrorAge + 1
	mirror.followPeer(t.Context(), peer)
	require.True(t, mirror.watchesDirectly())
	_, found = mirror.upstream()
	require.False(t, found, "both are rejected")
}

// TestOneFailureSuffices checks that a follower watches the directory itself after one
// watcher has failed. With all watchers unreachable, trying each in turn would delay
// changes too long.
func TestOneFailureSuffices(t *testing.T) {
	relay := &fakeRelay{fetch: func(string) (ebonywood.MirrorPage, error) {
		return ebonywood.MirrorPage{}, errors.New("i/o timeout")
	}}
	mirror := newFollower(t, relay, near, far, ebonywood.NewPeerView("next", "a", "next"))
	peer, _ := mirror.upstream()
	mirror.followPeer(t.Context(), peer)
	require.True(t, mirror.watchesDirectly())
	require.Len(t, relay.requested, 1)
}

// TestRefusedFollowerTriesAnotherWatcher checks that a follower whose watcher is stale
// chooses another watcher when the directory refuses its own calls.
func TestRefusedFollowerTriesAnotherWatcher(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, atRevision(3))
	relay := &fakeRelay{fetch: func(address string) (ebonywood.MirrorPage, error) {
		age := ebonywood.Millis(10)
		if address == "near" {
			age = maxMirrorAge + 1
		}
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{item}, age), nil
	}}
	mirror := newFollower(t, relay, near, far)
	port := mirror.edge.port.(fakePort)
	port.directory = &fakeDirectory{list: func(context.Context, int64) ([]ebonywood.Item, ebonywood.Revision, error) {
		return nil, ebonywood.Revision{}, ebonywood.NewFault(ebonywood.KindUnavailable, "refused", "")
	}}
	mirror.edge.port = port
	peer, _ := mirror.upstream()
	mirror.followPeer(t.Context(), peer)
	_, found := mirror.upstream()
	require.False(t, found)
	mirror.watchDirectory(t.Context())
	peer, found = mirror.upstream()
	require.True(t, found)
	require.Equal(t, "far", peer.Name())
}

// TestOutdatedMirrorDoesNotRevokeClaim checks that a mirror without the claim to the
// duty does not revoke it: neither this process's own mirror nor that of another proxy,
// which is rejected if it stays behind.
func TestOutdatedMirrorDoesNotRevokeClaim(t *testing.T) {
	relay := &fakeRelay{fetch: func(address string) (ebonywood.MirrorPage, error) {
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, nil, 10).WithRevision(atRevision(49)), nil
	}}
	mirror := newFollower(t, relay, far)
	edge := mirror.edge
	edge.applyDuty(t.Context(), ebonywood.NewItem(dutyKey, edge.claimValue(), atRevision(50)), atRevision(50))
	require.True(t, edge.holdsDuty)
	edge.applyProxyKeys(t.Context(), nil, atRevision(49))
	require.True(t, edge.holdsDuty, "the mirror is behind")
	mirror.items, mirror.revision = map[string]ebonywood.Item{dutyKey: ebonywood.NewItem(dutyKey, edge.claimValue(), atRevision(50))}, atRevision(50)
	for range maxBehindTries {
		mirror.followPeer(t.Context(), far)
		require.Contains(t, mirror.items, dutyKey)
		require.True(t, edge.holdsDuty)
		_, found := mirror.upstream()
		require.True(t, found, "it may be behind for a moment")
	}
	mirror.followPeer(t.Context(), far)
	require.Contains(t, mirror.items, dutyKey)
	require.True(t, edge.holdsDuty)
	require.True(t, mirror.watchesDirectly())
	edge.applyProxyKeys(t.Context(), nil, atRevision(51))
	require.False(t, edge.holdsDuty, "the key was deleted")
}

// TestRefusedWatcherFollowsAnother checks that a watcher follows another watcher while
// the directory does not respond to it.
func TestRefusedWatcherFollowsAnother(t *testing.T) {
	relay := &fakeRelay{fetch: func(address string) (ebonywood.MirrorPage, error) {
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{ebonywood.NewItem("k", nil, atRevision(1))}, 10), nil
	}}
	mirror := newFollower(t, relay, ebonywood.NewPeerView("self", "a", "self"), far)
	_, found := mirror.upstream()
	require.False(t, found)
	mirror.edge.recordOutcome(time.Now(), ebonywood.NewFault(ebonywood.KindUnavailable, "refused", ""))
	peer, found := mirror.upstream()
	require.True(t, found)
	require.Equal(t, "far", peer.Name())
	mirror.followPeer(t.Context(), peer)
	require.Contains(t, mirror.items, "k")
	mirror.edge.recordOutcome(time.Now(), nil)
	_, found = mirror.upstream()
	require.False(t, found)
}

// TestFollowerContinuesAtWatcherRevision checks that a follower whose watcher failed
// watches the directory from the revision of that watcher's mirror, without a list.
func TestFollowerContinuesAtWatcherRevision(t *testing.T) {
	first, second := ebonywood.NewItem("members/m0", nil, atRevision(3)), ebonywood.NewItem("members/m1", nil, atRevision(8))
	failing := false
	relay := &fakeRelay{fetch: func(address string) (ebonywood.MirrorPage, error) {
		if failing {
			return ebonywood.MirrorPage{}, errors.New("connection refused")
		}
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{first}, 10).WithRevision(atRevision(7)), nil
	}}
	mirror := newFollower(t, relay, near)
	mirror.followPeer(t.Context(), near)
	failing = true
	mirror.followPeer(t.Context(), near)
	ctx, cancel := context.WithCancel(t.Context())
	port := mirror.edge.port.(fakePort)
	port.directory = &fakeDirectory{
		list: func(context.Context, int64) ([]ebonywood.Item, ebonywood.Revision, error) {
			t.Error("no list is needed")
			return nil, ebonywood.Revision{}, nil
		},
		changes: func(after ebonywood.Revision) ([]ebonywood.Item, ebonywood.Revision, error) {
			if after == atRevision(8) {
				cancel()
				return nil, atRevision(8), nil
			}
			require.Equal(t, atRevision(7), after)
			return []ebonywood.Item{second}, atRevision(8), nil
		},
	}
	mirror.edge.port = port
	mirror.watchDirectory(ctx)
	require.Equal(t, map[string]ebonywood.Item{"members/m0": first, "members/m1": second}, mirror.items)
}

// TestStartFromSeeds checks that a process that starts while the directory refuses it
// takes the items of a seed, whatever their age.
func TestStartFromSeeds(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, atRevision(3))
	relay := &fakeRelay{fetch: func(address string) (ebonywood.MirrorPage, error) {
		if address == "s1" {
			return ebonywood.MirrorPage{}, errors.New("connection refused")
		}
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{item}, 60_000), nil
	}}
	mirror := newFollower(t, relay)
	mirror.fetchFromSeeds(t.Context())
	require.ElementsMatch(t, []string{"s1", "s2"}, relay.requested)
	require.Equal(t, item, mirror.items["members/m0"])
	mirror.fetchFromSeeds(t.Context())
	require.Len(t, relay.requested, 2, "the items that it has are not older than those of a seed")
}

// TestStartFromTheNewestSeed starts a process that the directory refuses, with a seed
// that has long been refused, too. A member that has left since and a route that was
// removed must not come back.
func TestStartFromTheNewestSeed(t *testing.T) {
	left, present := ebonywood.NewItem("members/left", nil, atRevision(3)), ebonywood.NewItem("members/present", nil, atRevision(9))
	pages := map[string]ebonywood.MirrorPage{
		"s1": ebonywood.NewMirrorPage(ebonywood.NewCursor("s1", 1), true, []ebonywood.Item{left}, 60_000).WithRevision(atRevision(4)),
		"s2": ebonywood.NewMirrorPage(ebonywood.NewCursor("s2", 1), true, []ebonywood.Item{present}, 10).WithRevision(atRevision(9)),
	}
	mirror := newFollower(t, &fakeRelay{fetch: func(address string) (ebonywood.MirrorPage, error) { return pages[address], nil }})
	mirror.fetchFromSeeds(t.Context())
	require.Equal(t, map[string]ebonywood.Item{"members/present": present}, mirror.items)
	require.Equal(t, atRevision(9), mirror.revision)
}
