package directory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

func stopped() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func at(now ebonywood.Millis) func() ebonywood.Millis {
	return func() ebonywood.Millis { return now }
}

// TestFollowersEndUpWithTheSame whatever they missed, also when deletions were
// forgotten or the feed began anew.
func TestFollowersEndUpWithTheSame(t *testing.T) {
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
					held[key] = ebonywood.NewItem(key, nil, revision)
				}
			}
			source.update(held, ebonywood.Millis(step), 0)
			if random.IntN(100) == 0 {
				source = newFeed(fmt.Sprintf("after %d", step))
				source.update(held, ebonywood.Millis(step), 0)
			}
			if random.IntN(20) == 0 {
				// The follower leaves for another mirror and comes back.
				follower.cursor = ebonywood.Cursor{}.WithRevision(follower.newest())
			}
			if random.IntN(3) == 0 {
				page := source.since(stopped(), follower.cursor, at(ebonywood.Millis(step)))
				follower.merge(page)
				require.Equal(t, held, follower.items, "seed %d, step %d", seed, step)
				require.Zero(t, page.Age())
			}
		}
	}
}

// TestLeavingForAnotherMirrorMovesNoValues that are held already, and misses none that
// are not.
func TestLeavingForAnotherMirrorMovesNoValues(t *testing.T) {
	held := map[string]ebonywood.Item{
		"long": ebonywood.NewItem("long", make([]byte, 1<<20), 1), "gone": ebonywood.NewItem("gone", nil, 2),
	}
	first, second := newFeed("first"), newFeed("second")
	first.update(held, 0, 0)
	follower := newMirror(nil)
	follower.merge(first.since(stopped(), ebonywood.Cursor{}, at(0)))
	delete(held, "gone")
	held["new"] = ebonywood.NewItem("new", []byte("n"), 3)
	second.update(held, 0, 0)
	page := second.since(stopped(), ebonywood.Cursor{}.WithRevision(follower.newest()), at(0))
	require.Len(t, page.Items(), 1)
	require.Len(t, page.Unchanged(), 1)
	follower.merge(page)
	require.Equal(t, held, follower.items)

	delete(follower.items, "long")
	follower.merge(second.since(stopped(), ebonywood.Cursor{}.WithRevision(follower.newest()), at(0)))
	require.Equal(t, ebonywood.Cursor{}, follower.cursor, "the next page has to have all values")
	follower.merge(second.since(stopped(), follower.cursor, at(0)))
	require.Equal(t, held, follower.items)
}

// TestForgottenDeletionsMeanTheWhole for a follower that is far behind.
func TestForgottenDeletionsMeanTheWhole(t *testing.T) {
	source := newFeed("e")
	source.update(map[string]ebonywood.Item{"first": ebonywood.NewItem("first", nil, 1)}, 0, 0)
	behind := source.since(stopped(), ebonywood.Cursor{}, at(0)).Cursor()
	for i := range deletionsKept + 10 {
		key := fmt.Sprintf("k%d", i)
		source.update(map[string]ebonywood.Item{key: ebonywood.NewItem(key, nil, int64(i+2))}, 0, 0)
	}
	page := source.since(stopped(), behind, at(0))
	require.True(t, page.IsFull())
	require.Len(t, page.Items(), 1)
}

// TestChangeEndsTheWait of a follower that is up to date.
func TestChangeEndsTheWait(t *testing.T) {
	source := newFeed("e")
	source.update(map[string]ebonywood.Item{}, 0, 0)
	cursor := source.since(stopped(), ebonywood.Cursor{}, at(0)).Cursor()
	pages := make(chan ebonywood.MirrorPage, 1)
	go func() { pages <- source.since(context.Background(), cursor, at(7)) }()
	time.Sleep(20 * time.Millisecond)
	source.update(map[string]ebonywood.Item{"k": ebonywood.NewItem("k", nil, 1)}, 5, 0)
	page := <-pages
	require.Len(t, page.Items(), 1)
	require.Equal(t, ebonywood.Millis(2), page.Age())
}

// TestStaleMirrorAnswersAtOnce, so that its followers look elsewhere.
func TestStaleMirrorAnswersAtOnce(t *testing.T) {
	source := newFeed("e")
	source.update(map[string]ebonywood.Item{}, 0, 0)
	cursor := source.since(stopped(), ebonywood.Cursor{}, at(0)).Cursor()
	page := source.since(context.Background(), cursor, at(staleSpan+5))
	require.Equal(t, staleSpan+5, page.Age())
}

// fakeRelay answers followers as the test says.
type fakeRelay struct {
	ebonywood.Relay
	follow func(address string) (ebonywood.MirrorPage, error)
	asked  []string
}

func (fake *fakeRelay) FetchChanges(
	_ context.Context, address string, _ ebonywood.Cursor, _ ebonywood.Millis,
) (ebonywood.MirrorPage, error) {
	fake.asked = append(fake.asked, address)
	return fake.follow(address)
}

type fakeSettings struct {
	ebonywood.Settings
}

func (fakeSettings) Limits() ebonywood.Limits { return ebonywood.Limits{} }
func (fakeSettings) Zone() string             { return "a" }
func (fakeSettings) Name() string             { return "self" }
func (fakeSettings) Seeds() []string          { return []string{"s1", "s2"} }

// follow makes the mirror of a process that two others watch for.
func follow(t *testing.T, relay *fakeRelay, watchers ...ebonywood.PeerView) *mirror {
	mirror := mirrorOf(t, &fakeDirectory{})
	draft := ebonywood.NewDraft()
	draft.SetOwners(ebonywood.NewOwners("self", nil, watchers))
	mirror.edge.port = fakePort{relay: relay, snapshot: draft.Publish()}
	return mirror
}

var near, far = ebonywood.NewPeerView("near", "a", "near"), ebonywood.NewPeerView("far", "b", "far")

// alone reports whether the process watches by itself, and lets the time pass after
// which it would follow again.
func (mirror *mirror) alone() bool {
	_, found := mirror.upstream()
	mirror.aloneUntil = 0
	return !found
}

// TestStaleWatcherIsLeft at once for the directory itself, and later for another
// watcher.
func TestStaleWatcherIsLeft(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, 3)
	ages := map[string]ebonywood.Millis{"near": 10, "far": 20}
	relay := &fakeRelay{follow: func(address string) (ebonywood.MirrorPage, error) {
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{item}, ages[address]), nil
	}}
	mirror := follow(t, relay, far, near)
	for range 2 {
		peer, found := mirror.upstream()
		require.True(t, found)
		mirror.followPeer(t.Context(), peer)
		require.Equal(t, "near", mirror.followed)
	}
	require.Equal(t, item, mirror.items["members/m0"])
	ages["near"] = staleSpan + 1
	peer, _ := mirror.upstream()
	mirror.followPeer(t.Context(), peer)
	require.True(t, mirror.alone())
	peer, found := mirror.upstream()
	require.True(t, found)
	require.Equal(t, "far", peer.Name())
	ages["far"] = staleSpan + 1
	mirror.followPeer(t.Context(), peer)
	require.True(t, mirror.alone())
	_, found = mirror.upstream()
	require.False(t, found, "both are passed over")
}

// TestOneFailureSuffices: with all watchers out of reach, a process that tried them
// one after the other would know a change too late.
func TestOneFailureSuffices(t *testing.T) {
	relay := &fakeRelay{follow: func(string) (ebonywood.MirrorPage, error) {
		return ebonywood.MirrorPage{}, errors.New("i/o timeout")
	}}
	mirror := follow(t, relay, near, far, ebonywood.NewPeerView("next", "a", "next"))
	peer, _ := mirror.upstream()
	mirror.followPeer(t.Context(), peer)
	require.True(t, mirror.alone())
	require.Len(t, relay.asked, 1)
}

// TestRefusedFollowerTriesAnotherWatcher: its own is stale, and the directory refuses
// this process as well.
func TestRefusedFollowerTriesAnotherWatcher(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, 3)
	relay := &fakeRelay{follow: func(address string) (ebonywood.MirrorPage, error) {
		age := ebonywood.Millis(10)
		if address == "near" {
			age = staleSpan + 1
		}
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{item}, age), nil
	}}
	mirror := follow(t, relay, near, far)
	port := mirror.edge.port.(fakePort)
	port.directory = &fakeDirectory{list: func(context.Context, int64) ([]ebonywood.Item, int64, error) {
		return nil, 0, ebonywood.NewFault(ebonywood.KindUnavailable, "refused", "")
	}}
	mirror.edge.port = port
	peer, _ := mirror.upstream()
	mirror.followPeer(t.Context(), peer)
	_, found := mirror.upstream()
	require.False(t, found)
	mirror.watch(t.Context())
	peer, found = mirror.upstream()
	require.True(t, found)
	require.Equal(t, "far", peer.Name())
}

// TestClaimIsNotTakenBack by a mirror that has not heard of it: neither by this
// process's own, nor by that of another proxy, which is left instead.
func TestClaimIsNotTakenBack(t *testing.T) {
	relay := &fakeRelay{follow: func(address string) (ebonywood.MirrorPage, error) {
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, nil, 10).WithRevision(49), nil
	}}
	mirror := follow(t, relay, far)
	edge := mirror.edge
	edge.takeDuty(t.Context(), ebonywood.NewItem(dutyKey, edge.claim(), 50), 50)
	require.True(t, edge.held)
	edge.takeOwn(t.Context(), nil, 49)
	require.True(t, edge.held, "the mirror is behind")
	mirror.items, mirror.at = map[string]ebonywood.Item{dutyKey: ebonywood.NewItem(dutyKey, edge.claim(), 50)}, 50
	mirror.followPeer(t.Context(), far)
	require.Contains(t, mirror.items, dutyKey)
	require.True(t, edge.held)
	require.True(t, mirror.alone())
	edge.takeOwn(t.Context(), nil, 51)
	require.False(t, edge.held, "the key is gone")
}

// TestRefusedWatcherFollowsAnother while the directory does not answer it.
func TestRefusedWatcherFollowsAnother(t *testing.T) {
	relay := &fakeRelay{follow: func(address string) (ebonywood.MirrorPage, error) {
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{ebonywood.NewItem("k", nil, 1)}, 10), nil
	}}
	mirror := follow(t, relay, ebonywood.NewPeerView("self", "a", "self"), far)
	_, found := mirror.upstream()
	require.False(t, found)
	mirror.edge.settled(time.Now(), ebonywood.NewFault(ebonywood.KindUnavailable, "refused", ""))
	peer, found := mirror.upstream()
	require.True(t, found)
	require.Equal(t, "far", peer.Name())
	mirror.followPeer(t.Context(), peer)
	require.Contains(t, mirror.items, "k")
	mirror.edge.settled(time.Now(), nil)
	_, found = mirror.upstream()
	require.False(t, found)
}

// TestFollowerGoesOnFromItsWatcher without a list: only what changed since comes from the
// directory.
func TestFollowerGoesOnFromItsWatcher(t *testing.T) {
	first, second := ebonywood.NewItem("members/m0", nil, 3), ebonywood.NewItem("members/m1", nil, 8)
	failing := false
	relay := &fakeRelay{follow: func(address string) (ebonywood.MirrorPage, error) {
		if failing {
			return ebonywood.MirrorPage{}, errors.New("connection refused")
		}
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{first}, 10).WithRevision(7), nil
	}}
	mirror := follow(t, relay, near)
	mirror.followPeer(t.Context(), near)
	failing = true
	mirror.followPeer(t.Context(), near)
	ctx, cancel := context.WithCancel(t.Context())
	port := mirror.edge.port.(fakePort)
	port.directory = &fakeDirectory{
		list: func(context.Context, int64) ([]ebonywood.Item, int64, error) {
			t.Error("no list is needed")
			return nil, 0, nil
		},
		changes: func(after int64) ([]ebonywood.Item, int64, error) {
			if after == 8 {
				cancel()
				return nil, 8, nil
			}
			require.Equal(t, int64(7), after)
			return []ebonywood.Item{second}, 8, nil
		},
	}
	mirror.edge.port = port
	mirror.watch(ctx)
	require.Equal(t, map[string]ebonywood.Item{"members/m0": first, "members/m1": second}, mirror.items)
}

// TestSeedsHelpAProcessThatBegins while the directory refuses it, of whatever age
// their knowledge is.
func TestSeedsHelpAProcessThatBegins(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, 3)
	relay := &fakeRelay{follow: func(address string) (ebonywood.MirrorPage, error) {
		if address == "s1" {
			return ebonywood.MirrorPage{}, errors.New("connection refused")
		}
		return ebonywood.NewMirrorPage(ebonywood.NewCursor(address, 1), true, []ebonywood.Item{item}, 60_000), nil
	}}
	mirror := follow(t, relay)
	mirror.askSeeds(t.Context())
	require.Equal(t, []string{"s1", "s2"}, relay.asked)
	require.Equal(t, item, mirror.items["members/m0"])
	mirror.askSeeds(t.Context())
	require.Len(t, relay.asked, 2, "what it knows by now is not older than a seed's")
}
