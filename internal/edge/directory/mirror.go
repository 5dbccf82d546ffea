package directory

import (
	"context"
	"maps"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// The waits of a watch for a change. A watch may be left without an answer while
	// changes are made, so each is well below the time in which a change has to be
	// in force.
	configurationWait ebonywood.Millis = 1500
	memberWait        ebonywood.Millis = 2000
	ownWait           ebonywood.Millis = 3000
	// purgeWait is the same while lapsed entries are kept.
	purgeWait ebonywood.Millis = 400
	// listLimit bounds the attempts to list, listPause is the time between two of
	// them.
	listLimit    = 1600 * time.Millisecond
	listPause    = 300 * time.Millisecond
	listAttempts = 5
	// watchSlack is added for the way of the answer.
	watchSlack = 600 * time.Millisecond
	// lapsedSpan is how long entries that lapsed while the directory was away are
	// kept after its return; their owners write them anew in that time.
	lapsedSpan = 2300 * time.Millisecond
)

// mirror follows the keys under one prefix.
type mirror struct {
	edge        *Edge
	prefix      string
	tell        func(context.Context, map[string]ebonywood.Item)
	wait        ebonywood.Millis
	keepsLapsed bool
	items       map[string]ebonywood.Item
	// lapsed are kept entries that the directory does not hold any more.
	lapsed map[string]bool
	at     int64
}

func newMirror(
	edge *Edge, prefix string, wait ebonywood.Millis, tell func(context.Context, map[string]ebonywood.Item),
) *mirror {
	return &mirror{edge: edge, prefix: prefix, wait: wait, tell: tell, lapsed: map[string]bool{}}
}

func (mirror *mirror) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := mirror.relist(ctx); err != nil {
			mirror.pause(ctx)
			continue
		}
		for ctx.Err() == nil {
			err := mirror.follow(ctx)
			if err == nil {
				continue
			}
			if ebonywood.FaultOf(err).Kind() == ebonywood.KindStale {
				mirror.edge.port.Log().Info("history gone", "prefix", mirror.prefix, "at", mirror.at)
				break
			}
			mirror.pause(ctx)
		}
	}
	return nil
}

func (mirror *mirror) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}

// listing is the outcome of one attempt to list.
type listing struct {
	items []ebonywood.Item
	at    int64
	err   error
}

// list reads everything under the prefix. A call that the directory received while
// it was away may never be answered, so further attempts are begun beside it and
// the first success counts.
func (mirror *mirror) list(ctx context.Context) ([]ebonywood.Item, int64, error) {
	limited, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	results := make(chan listing, listAttempts)
	attempt := func(context.Context) error {
		items, at, err := mirror.edge.port.Directory().List(limited, mirror.prefix)
		results <- listing{items: items, at: at, err: err}
		return nil
	}
	mirror.edge.group.Go(attempt)
	begun, ended := 1, 0
	next := time.NewTimer(listPause)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			if begun < listAttempts {
				begun++
				mirror.edge.group.Go(attempt)
				next.Reset(listPause)
			}
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
	mirror.items, mirror.at = items, at
	mirror.tell(ctx, maps.Clone(items))
	return nil
}

// follow takes the next changes.
func (mirror *mirror) follow(ctx context.Context) error {
	wait := mirror.wait
	if len(mirror.lapsed) > 0 {
		wait = purgeWait
	}
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, wait.Duration()+watchSlack)
	defer cancel()
	changes, at, err := mirror.edge.port.Directory().Changes(limited, mirror.prefix, mirror.at, wait)
	if ctx.Err() != nil {
		return nil
	}
	mirror.edge.settled(began, err)
	if err != nil {
		return err
	}
	mirror.at = max(mirror.at, at)
	for _, change := range changes {
		mirror.take(change)
	}
	purged := mirror.purge()
	if len(changes) > 0 || purged {
		mirror.tell(ctx, maps.Clone(mirror.items))
	}
	return nil
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
	if !mirror.keepsLapsed || mirror.edge.returnedFor() > lapsedSpan {
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
