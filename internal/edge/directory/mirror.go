package directory

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ebonywood/ebonywood"
)

// everything is the prefix of all keys.
const everything = ""

const (
	// purgeWait is how long a watch waits while lapsed entries are kept.
	purgeWait ebonywood.Millis = 400
	// listLimit bounds the attempts to list until an answer begins to arrive, listWhole
	// also after that: a large list takes a while over a slow link. listPause is the
	// time between the first two attempts, which doubles.
	listLimit    = 1600 * time.Millisecond
	listWhole    = 6 * time.Second
	listPause    = 300 * time.Millisecond
	listAttempts = 4
	// pacePerProxy, up to paceLimit, is the least time between two watches.
	pacePerProxy = time.Millisecond
	paceLimit    = 100 * time.Millisecond
	// watchSlack is added for the way of the answer.
	watchSlack = 600 * time.Millisecond
	// lapsedSpan is how long entries that lapsed while the directory was away are
	// kept after its return; their owners write them anew in that time.
	lapsedSpan = 2300 * time.Millisecond
)

// mirror follows all keys of the directory with one watch, since each waiting
// watch counts as a call.
type mirror struct {
	edge     *Edge
	sections []section
	items    map[string]ebonywood.Item
	// lapsed are kept entries that the directory does not hold any more.
	lapsed map[string]bool
	at     int64
	pauses int
	// followed is the address of the watcher that this process follows, cursor the
	// place in its mirror; unfollowed is until when watchers are passed over, and
	// aloneUntil until when all are.
	followed   string
	aloneUntil ebonywood.Millis
	cursor     ebonywood.Cursor
	unfollowed map[string]ebonywood.Millis
}

// section is what is told of the keys under one prefix.
type section struct {
	prefix string
	tell   func(ctx context.Context, items map[string]ebonywood.Item, at int64)
}

func newMirror(edge *Edge, sections ...section) *mirror {
	return &mirror{
		edge: edge, sections: sections, lapsed: map[string]bool{}, unfollowed: map[string]ebonywood.Millis{},
	}
}

// tell passes the items of the sections on that changed reports.
func (mirror *mirror) tell(ctx context.Context, changed func(prefix string) bool) {
	for _, each := range mirror.sections {
		if !changed(each.prefix) {
			continue
		}
		items := map[string]ebonywood.Item{}
		for key, item := range mirror.items {
			if strings.HasPrefix(key, each.prefix) {
				items[key] = item
			}
		}
		each.tell(ctx, items, mirror.at)
	}
}

func (mirror *mirror) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if peer, found := mirror.upstream(); found {
			mirror.followPeer(ctx, peer)
			continue
		}
		mirror.watch(ctx)
	}
	return nil
}

// watch follows the directory itself until its history is gone or another proxy can
// be followed. It goes on from where a followed mirror was; a list would take long over
// a slow link.
func (mirror *mirror) watch(ctx context.Context) {
	mirror.followed = ""
	if mirror.at == 0 && !mirror.begin(ctx) {
		return
	}
	for ctx.Err() == nil {
		if _, found := mirror.upstream(); found {
			return
		}
		err := mirror.follow(ctx)
		if err == nil {
			mirror.pace(ctx)
			continue
		}
		if ebonywood.FaultOf(err).Kind() == ebonywood.KindStale {
			mirror.edge.port.Log().Info("history gone", "at", mirror.at)
			mirror.at = 0
			return
		}
		// The directory may refuse this process only; another watcher may know more.
		mirror.aloneUntil = 0
		mirror.pause(ctx)
	}
}

// begin lists everything, and reports whether it succeeded.
func (mirror *mirror) begin(ctx context.Context) bool {
	err := mirror.relist(ctx)
	if err != nil {
		mirror.aloneUntil = 0
		mirror.askSeeds(ctx)
		mirror.pause(ctx)
	}
	return err == nil
}

// pace waits a little before the next watch. Many proxies that write their reports
// at one moment would otherwise wake each watch once for each of them.
func (mirror *mirror) pace(ctx context.Context) {
	span := time.Duration(mirror.edge.port.Snapshot().ReportCount()) * pacePerProxy
	select {
	case <-ctx.Done():
	case <-time.After(min(span, paceLimit)):
	}
}

// pause waits before the next call, longer each time; the directory's return ends
// the wait.
func (mirror *mirror) pause(ctx context.Context) {
	span := retryPause << min(mirror.pauses, retryDoublings)
	mirror.pauses++
	select {
	case <-ctx.Done():
	case <-mirror.edge.back:
	case <-time.After(span):
	}
}

// listing is the outcome of one attempt to list.
type listing struct {
	items []ebonywood.Item
	at    int64
	err   error
}

// list reads everything. A call that the directory received while it was away may
// never be answered, so further attempts are begun beside it until an answer begins to
// arrive, and the first success counts.
func (mirror *mirror) list(ctx context.Context) ([]ebonywood.Item, int64, error) {
	limited, cancel := context.WithTimeout(ctx, listWhole)
	defer cancel()
	results := make(chan listing, listAttempts)
	arriving := make(chan struct{}, listAttempts)
	attempt := func(context.Context) error {
		items, at, err := mirror.edge.port.Directory().List(limited, everything, func() {
			select {
			case arriving <- struct{}{}:
			default:
			}
		})
		results <- listing{items: items, at: at, err: err}
		return nil
	}
	mirror.edge.group.Go(attempt)
	begun, ended := 1, 0
	next, silence := time.NewTimer(listPause), time.NewTimer(listLimit)
	defer next.Stop()
	defer silence.Stop()
	for {
		select {
		case <-next.C:
			if begun < listAttempts {
				begun++
				mirror.edge.group.Go(attempt)
				next.Reset(listPause << (begun - 1))
			}
		case <-arriving:
			next.Stop()
			silence.Stop()
		case <-silence.C:
			cancel()
		case result := <-results:
			ended++
			if result.err == nil || ended == begun {
				return result.items, result.at, result.err
			}
		}
	}
}

// relist reads everything and compares it with what was believed.
func (mirror *mirror) relist(ctx context.Context) error {
	began := time.Now()
	listed, at, err := mirror.list(ctx)
	mirror.edge.settled(began, err)
	if err != nil {
		return err
	}
	items := make(map[string]ebonywood.Item, len(listed))
	for _, item := range listed {
		items[item.Key()] = item
		delete(mirror.lapsed, item.Key())
	}
	for key, item := range mirror.items {
		if _, found := items[key]; !found && mirror.keeps(item) {
			items[key] = item
			mirror.lapsed[key] = true
		}
	}
	mirror.items, mirror.at, mirror.pauses = items, at, 0
	mirror.edge.feed.update(items, mirror.edge.port.Clock().Now()-ebonywood.MillisOf(time.Since(began)), at)
	mirror.tell(ctx, func(string) bool { return true })
	return nil
}

// follow takes the next changes.
func (mirror *mirror) follow(ctx context.Context) error {
	// A watch may be left without an answer while changes are made, so it is well below
	// the time in which a change has to be in force.
	wait := mirror.edge.limits().Millis(ebonywood.LimitWatchWait)
	if len(mirror.lapsed) > 0 {
		wait = purgeWait
	}
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, wait.Duration()+watchSlack)
	defer cancel()
	changes, at, err := mirror.edge.port.Directory().Changes(limited, everything, mirror.at, wait)
	if ctx.Err() != nil {
		return nil
	}
	mirror.edge.settled(began, err)
	if err != nil {
		return err
	}
	mirror.at, mirror.pauses = max(mirror.at, at), 0
	for _, change := range changes {
		mirror.take(change)
	}
	purged := mirror.purge()
	mirror.edge.feed.update(mirror.items, mirror.edge.port.Clock().Now(), mirror.at)
	mirror.tell(ctx, func(prefix string) bool {
		return purged && prefix == mirror.edge.port.Directory().MemberPrefix() || mirror.touches(changes, prefix)
	})
	return nil
}

// touches reports whether a change concerns the keys under a prefix.
func (mirror *mirror) touches(changes []ebonywood.Item, prefix string) bool {
	return slices.ContainsFunc(changes, func(change ebonywood.Item) bool { return strings.HasPrefix(change.Key(), prefix) })
}

func (mirror *mirror) take(change ebonywood.Item) {
	key := change.Key()
	known, found := mirror.items[key]
	switch {
	case found && known.Revision() > change.Revision():
	case !change.IsDeleted():
		mirror.items[key] = change
		delete(mirror.lapsed, key)
	case found && mirror.keeps(known):
		mirror.lapsed[key] = true
	default:
		delete(mirror.items, key)
	}
}

// keeps reports whether an entry that is gone may only have lapsed while the
// directory was away.
func (mirror *mirror) keeps(item ebonywood.Item) bool {
	if !strings.HasPrefix(item.Key(), mirror.edge.port.Directory().MemberPrefix()) || mirror.edge.returnedFor() > lapsedSpan {
		return false
	}
	entry, err := mirror.edge.port.Directory().DecodeMember(item)
	return err == nil && !entry.Member().IsLeaving()
}

// purge drops lapsed entries that did not come back in time.
func (mirror *mirror) purge() (changed bool) {
	if len(mirror.lapsed) == 0 || mirror.edge.returnedFor() <= lapsedSpan {
		return false
	}
	for key := range mirror.lapsed {
		delete(mirror.items, key)
	}
	clear(mirror.lapsed)
	return true
}
