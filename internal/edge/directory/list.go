package directory

import (
	"context"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// listFirstByteTimeout bounds the time until a response to any of the list attempts
	// starts to arrive. listTimeout bounds the whole list; it is longer, since a large
	// list takes a while over a slow link. listRetryDelay is the time between the first
	// two attempts; it doubles after each further one.
	listFirstByteTimeout = 1600 * time.Millisecond
	listTimeout          = 6 * time.Second
	listRetryDelay       = 300 * time.Millisecond
	maxListAttempts      = 4
)

// listResult is the result of one attempt to list.
type listResult struct {
	items    []ebonywood.Item
	revision ebonywood.Revision
	err      error
}

// list reads all keys. The directory may never respond to a call that it received
// while it was unavailable, so list starts further attempts in parallel until a
// response starts to arrive. The first success is returned.
func (mirror *mirror) list(ctx context.Context) ([]ebonywood.Item, ebonywood.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	results := make(chan listResult, maxListAttempts)
	responseStarted := make(chan struct{}, maxListAttempts)
	attempt := func(context.Context) error {
		items, revision, err := mirror.edge.port.Directory().List(callCtx, allKeys, func() {
			select {
			case responseStarted <- struct{}{}:
			default:
			}
		})
		results <- listResult{items: items, revision: revision, err: err}
		return nil
	}
	mirror.edge.group.Go(attempt)
	started, finished := 1, 0
	retry, firstByte := time.NewTimer(listRetryDelay), time.NewTimer(listFirstByteTimeout)
	defer retry.Stop()
	defer firstByte.Stop()
	for {
		select {
		case <-retry.C:
			if started < maxListAttempts {
				started++
				mirror.edge.group.Go(attempt)
				retry.Reset(listRetryDelay << (started - 1))
			}
		case <-responseStarted:
			retry.Stop()
			firstByte.Stop()
		case <-firstByte.C:
			cancel()
		case result := <-results:
			finished++
			if result.err == nil || finished == started {
				return result.items, result.revision, result.err
			}
		}
	}
}
