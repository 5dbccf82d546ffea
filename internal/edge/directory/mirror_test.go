package directory

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/clock"
)

// fakeDirectory serves List and Changes with functions of the test; those that are nil
// must not be called.
type fakeDirectory struct {
	ebonywood.Directory
	calls atomic.Int64
	// arriving makes responses start to arrive immediately.
	arriving bool
	changes  func(after ebonywood.Revision) ([]ebonywood.Item, ebonywood.Revision, error)
	list     func(ctx context.Context, call int64) ([]ebonywood.Item, ebonywood.Revision, error)
	replace  func() (ebonywood.Revision, error)
}

func (fake *fakeDirectory) Replace(context.Context, string, []byte, ebonywood.LeaseID, ebonywood.Revision) (ebonywood.Revision, error) {
	return fake.replace()
}

func (fake *fakeDirectory) List(ctx context.Context, _ string, onResponse func()) ([]ebonywood.Item, ebonywood.Revision, error) {
	if fake.arriving {
		onResponse()
	}
	return fake.list(ctx, fake.calls.Add(1))
}

func (fake *fakeDirectory) Changes(_ context.Context, _ string, after ebonywood.Revision, _ ebonywood.Millis) ([]ebonywood.Item, ebonywood.Revision, error) {
	return fake.changes(after)
}

func (fake *fakeDirectory) MemberPrefix() string { return "members/" }

func (fake *fakeDirectory) ConfigurationKey() string { return "configuration" }

func (fake *fakeDirectory) DecodeConfiguration(item ebonywood.Item) (*ebonywood.ObjectSet, error) {
	panic("cannot decode " + item.Key())
}

func (fake *fakeDirectory) DecodeMember(item ebonywood.Item) (ebonywood.ListedMember, error) {
	if string(item.Value()) == "malformed" {
		panic("cannot decode " + item.Key())
	}
	member := ebonywood.NewMember(ebonywood.MemberID(item.Key()), "a", "10.0.0.1:1", 1, 1, string(item.Value()) == "leaving")
	return ebonywood.NewListedMember(member, "db", false, item.Revision()), nil
}

// fakePort provides the fakes and discards events.
type fakePort struct {
	ebonywood.Port
	directory ebonywood.Directory
	relay     ebonywood.Relay
	snapshot  *ebonywood.Snapshot
	posted    *ebonywood.Event
}

func (port fakePort) Relay() ebonywood.Relay        { return port.relay }
func (port fakePort) Snapshot() *ebonywood.Snapshot { return port.snapshot }
func (port fakePort) Settings() ebonywood.Settings  { return fakeSettings{} }

func (port fakePort) Clock() ebonywood.Clock { return clock.Monotonic{} }
func (port fakePort) Directory() ebonywood.Directory {
	if port.directory == nil {
		return &fakeDirectory{}
	}
	return port.directory
}
func (port fakePort) Log() logr.Logger { return logr.Discard() }

// Post keeps the last event if the test asks for it, and discards it otherwise.
func (port fakePort) Post(_ context.Context, event ebonywood.Event) error {
	if port.posted != nil {
		*port.posted = event
	}
	return nil
}

func newTestMirror(t *testing.T, fake *fakeDirectory) *mirror {
	edge := New(fakePort{directory: fake})
	t.Cleanup(func() {
		edge.group.Stop()
		require.NoError(t, edge.group.Wait())
	})
	return newMirror(edge)
}

// TestListThatHangsIsNotWaitedFor checks that list starts a second attempt when the
// first gets no response, like a call that the directory received while it was
// unavailable.
func TestListThatHangsIsNotWaitedFor(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, atRevision(3))
	mirror := newTestMirror(t, &fakeDirectory{list: func(ctx context.Context, call int64) ([]ebonywood.Item, ebonywood.Revision, error) {
		if call == 1 {
			<-ctx.Done()
			return nil, ebonywood.Revision{}, ebonywood.NewFault(ebonywood.KindUnavailable, "no response", "")
		}
		return []ebonywood.Item{item}, atRevision(7), nil
	}})
	require.NoError(t, mirror.relist(context.Background()))
	require.Equal(t, atRevision(7), mirror.revision)
	require.Contains(t, mirror.items, "members/m0")
}

// TestFailedListsEnd checks that list returns an error after all attempts have failed.
func TestFailedListsEnd(t *testing.T) {
	mirror := newTestMirror(t, &fakeDirectory{list: func(context.Context, int64) ([]ebonywood.Item, ebonywood.Revision, error) {
		return nil, ebonywood.Revision{}, ebonywood.NewFault(ebonywood.KindUnavailable, "refused", "")
	}})
	require.Error(t, mirror.relist(context.Background()))
}

// TestExpiredEntriesArePurged checks that a deleted entry is retained right after the
// directory's recovery, unless its member was leaving, and purged after
// expiredRetention.
func TestExpiredEntriesArePurged(t *testing.T) {
	mirror := newTestMirror(t, &fakeDirectory{})
	staying := ebonywood.NewItem("members/m0", nil, atRevision(3))
	leaving := ebonywood.NewItem("members/m1", []byte("leaving"), atRevision(4))
	mirror.items = map[string]ebonywood.Item{staying.Key(): staying, leaving.Key(): leaving}
	mirror.edge.recoveredAt = time.Now()
	mirror.applyChange(ebonywood.NewDeletedItem(staying.Key(), atRevision(5)))
	mirror.applyChange(ebonywood.NewDeletedItem(leaving.Key(), atRevision(6)))
	require.Contains(t, mirror.items, staying.Key())
	require.NotContains(t, mirror.items, leaving.Key())
	require.False(t, mirror.purgeRetained())
	mirror.edge.recoveredAt = time.Now().Add(-2 * expiredRetention)
	require.True(t, mirror.purgeRetained())
	require.Empty(t, mirror.items)
}

// TestOldChangesAreIgnored checks that a change that the list already covered does not
// revert a newer item when the watch delivers it again.
func TestOldChangesAreIgnored(t *testing.T) {
	mirror := newTestMirror(t, &fakeDirectory{})
	mirror.items = map[string]ebonywood.Item{"members/m0": ebonywood.NewItem("members/m0", []byte("new"), atRevision(9))}
	mirror.applyChange(ebonywood.NewItem("members/m0", []byte("old"), atRevision(5)))
	mirror.applyChange(ebonywood.NewDeletedItem("members/m0", atRevision(6)))
	require.Equal(t, atRevision(9), mirror.items["members/m0"].Revision())
}

// TestSlowListIsWaitedFor checks that no further attempt starts once a response starts
// to arrive, since parallel responses would share the bandwidth of a slow link.
func TestSlowListIsWaitedFor(t *testing.T) {
	item := ebonywood.NewItem("members/m0", nil, atRevision(3))
	fake := &fakeDirectory{arriving: true, list: func(context.Context, int64) ([]ebonywood.Item, ebonywood.Revision, error) {
		time.Sleep(listFirstByteTimeout + 200*time.Millisecond)
		return []ebonywood.Item{item}, atRevision(3), nil
	}}
	items, _, err := newTestMirror(t, fake).list(context.Background())
	require.NoError(t, err)
	require.Equal(t, []ebonywood.Item{item}, items)
	require.Equal(t, int64(1), fake.calls.Load())
}

// TestMalformedItemsEndNothing lists an entry and a configuration on which the decoder
// panics. Every proxy lists the same items, so that would end the whole fleet, again after
// each restart. The other entries must be used.
func TestMalformedItemsEndNothing(t *testing.T) {
	var posted ebonywood.Event
	edge := New(fakePort{directory: &fakeDirectory{}, posted: &posted})
	edge.applyMembers(t.Context(), map[string]ebonywood.Item{
		"members/m0": ebonywood.NewItem("members/m0", []byte("malformed"), atRevision(1)),
		"members/m1": ebonywood.NewItem("members/m1", nil, atRevision(2)),
	}, atRevision(2))
	require.Len(t, posted.(ebonywood.MembersListed).Members(), 1)
	mirror := newMirror(edge)
	mirror.items = map[string]ebonywood.Item{"configuration": ebonywood.NewItem("configuration", nil, atRevision(3))}
	mirror.keepNewestConfiguration()
	mirror.applyConfiguration(t.Context(), mirror.items, atRevision(3))
	require.IsType(t, ebonywood.MembersListed{}, posted, "the previous configuration stays in force")
}

// TestConfirmationsAreNeverTooLate checks the time as of which a watch confirms the
// configuration: a response that this process reads late confirms no more than what the
// directory knew when the watch began, or at its end if nothing had changed.
func TestConfirmationsAreNeverTooLate(t *testing.T) {
	const late = 300 * time.Millisecond
	wait := ebonywood.Limits{}.Millis(ebonywood.LimitWatchWait)
	for _, test := range []struct {
		delay     time.Duration
		changes   []ebonywood.Item
		confirmed ebonywood.Millis
	}{
		{late, []ebonywood.Item{ebonywood.NewItem("members/m0", nil, atRevision(4))}, 0},
		{late, nil, 0},
		{wait.Duration() + late, nil, wait},
	} {
		synctest.Test(t, func(t *testing.T) {
			var posted ebonywood.Event
			clock := startClock{start: time.Now()}
			edge := New(timedPort{fakePort: fakePort{posted: &posted, directory: &fakeDirectory{changes: func(ebonywood.Revision) ([]ebonywood.Item, ebonywood.Revision, error) {
				time.Sleep(test.delay)
				return test.changes, atRevision(4), nil
			}}}, clock: clock})
			mirror := newMirror(edge)
			mirror.items = map[string]ebonywood.Item{}
			require.NoError(t, mirror.pollChanges(t.Context()))
			require.Equal(t, test.confirmed, posted.(ebonywood.ConfigurationConfirmed).AsOf())
		})
	}
}

// timedPort is a fakePort with a clock of its own.
type timedPort struct {
	fakePort
	clock ebonywood.Clock
}

func (port timedPort) Clock() ebonywood.Clock { return port.clock }

// TestLostMemberEntriesAreRetained guards against DRAIN and a needless failover: a directory that
// is restored from a backup has lost the entry of a member, and the report that another one is leaving.
// Both hold until the members have had the time to write again.
func TestLostMemberEntriesAreRetained(t *testing.T) {
	lost := ebonywood.NewItem("members/m0", nil, atRevision(8))
	leaving := ebonywood.NewItem("members/m1", []byte("leaving"), atRevision(9))
	copied := ebonywood.NewItem("members/m1", nil, ebonywood.NewRevision(2, 4))
	fake := &fakeDirectory{arriving: true}
	fake.list = func(_ context.Context, call int64) ([]ebonywood.Item, ebonywood.Revision, error) {
		if call == 1 {
			return []ebonywood.Item{lost, leaving}, atRevision(9), nil
		}
		return []ebonywood.Item{copied}, ebonywood.NewRevision(2, 6), nil
	}
	mirror := newTestMirror(t, fake)
	require.NoError(t, mirror.relist(t.Context()))
	for range 2 {
		require.NoError(t, mirror.relist(t.Context()))
		require.Equal(t, map[string]ebonywood.Item{lost.Key(): lost, leaving.Key(): leaving}, mirror.items)
		require.False(t, mirror.purgeRetained())
	}
	mirror.edge.recoveredAt = time.Now().Add(-2 * expiredRetention)
	require.True(t, mirror.purgeRetained())
	require.Equal(t, map[string]ebonywood.Item{copied.Key(): copied}, mirror.items)

	mirror.items[leaving.Key()], mirror.era = leaving, 1
	require.NoError(t, mirror.relist(t.Context()))
	rewritten := ebonywood.NewItem(leaving.Key(), nil, ebonywood.NewRevision(2, 7))
	mirror.applyChange(rewritten)
	mirror.edge.recoveredAt = time.Time{}
	require.False(t, mirror.purgeRetained())
	require.Equal(t, rewritten, mirror.items[leaving.Key()])
}

// TestRestoredDirectoryConfirmsNothing guards against CONFIG: a database whose route the directory
// has lost is refused as unknown only once the operator has had the time to write it again.
func TestRestoredDirectoryConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var posted ebonywood.Event
		era := ebonywood.Era(1)
		fake := &fakeDirectory{arriving: true, list: func(context.Context, int64) ([]ebonywood.Item, ebonywood.Revision, error) {
			return nil, ebonywood.NewRevision(era, 7), nil
		}}
		edge := New(timedPort{fakePort: fakePort{posted: &posted, directory: fake}, clock: startClock{start: time.Now()}})
		mirror := newMirror(edge)
		isConfirmed := func() bool {
			require.NoError(t, mirror.relist(t.Context()))
			_, confirmed := posted.(ebonywood.ConfigurationConfirmed)
			return confirmed
		}
		require.True(t, isConfirmed())
		era = 2
		require.False(t, isConfirmed())
		time.Sleep(expiredRetention)
		require.False(t, isConfirmed())
		time.Sleep(time.Millisecond)
		require.True(t, isConfirmed())
	})
}
