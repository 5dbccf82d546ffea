package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ebonywood/ebonywood/internal/site"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

const (
	spreadRuns  = 12
	spreadLimit = 3 * time.Second
	slowStore   = 200 * time.Millisecond
	callsSpan   = 3 * time.Second
	// watchCount is how many watches wait when all is well: two proxies, each for
	// the sets and for the hosts.
	watchCount = 4
)

// condition is a state of the platform's store around a publish.
type condition struct {
	name   string
	before func(deployment *site.Site, proxies int)
	after  func(deployment *site.Site)
}

var conditions = []condition{
	{"up", func(*site.Site, int) {}, func(*site.Site) {}},
	{"slow, 200 ms a call", func(deployment *site.Site, _ int) { deployment.Platform().SetDelay(slowStore) }, func(*site.Site) {}},
	{"down after acceptance", func(*site.Site, int) {}, func(deployment *site.Site) { deployment.Platform().SetDown(true) }},
	{"a third cut from it", func(deployment *site.Site, proxies int) {
		for i := range proxies / 3 {
			deployment.Platform().SetClientRefused(fmt.Sprintf("p%d", i), true)
		}
	}, func(*site.Site) {}},
}

// measureSpread prints the time from an accepted publish to in force on the last
// proxy, and the calls at the store.
func measureSpread(ctx context.Context) error {
	fmt.Printf("%-8s %-24s %8s %8s %8s\n", "proxies", "store", "p50 ms", "p99 ms", "max ms")
	for _, proxies := range []int{7, 20, 60} {
		if err := spreadAt(ctx, proxies); err != nil {
			return err
		}
	}
	return nil
}

func spreadAt(ctx context.Context, proxies int) error {
	deployment, err := site.Start(ctx, proxies, "", func(*targetserver.Server) {})
	if err != nil {
		return err
	}
	defer deployment.Stop()
	calls, began := deployment.Platform().Calls(), time.Now()
	time.Sleep(callsSpan)
	rate := float64(deployment.Platform().Calls()-calls) / time.Since(began).Seconds()
	for _, each := range conditions {
		var spans []time.Duration
		each.before(deployment, proxies)
		for number := range spreadRuns {
			span, err := onePublish(deployment, proxies, number, each)
			if err != nil {
				return err
			}
			spans = append(spans, span)
		}
		deployment.Platform().SetDelay(0)
		for i := range proxies {
			deployment.Platform().SetClientRefused(fmt.Sprintf("p%d", i), false)
		}
		slices.Sort(spans)
		fmt.Printf("%-8d %-24s %8d %8d %8d\n", proxies, each.name, spans[len(spans)/2].Milliseconds(),
			spans[len(spans)*99/100].Milliseconds(), spans[len(spans)-1].Milliseconds())
	}
	fmt.Printf("%-8d store calls at rest: %.2f a second\n", proxies, rate)
	return nil
}

// awaitWatches waits until a proxy watches again after the outage of the run
// before: what is measured is an outage that comes after a quiet time.
func awaitWatches(deployment *site.Site) {
	until := time.Now().Add(spreadLimit)
	for deployment.Platform().Watches() < watchCount && time.Now().Before(until) {
		time.Sleep(time.Millisecond)
	}
}

// onePublish alternates between two sets that differ in the leaving member.
func onePublish(deployment *site.Site, proxies, number int, each condition) (time.Duration, error) {
	leaving := ""
	if number%2 == 0 {
		leaving = "m2"
	}
	awaitWatches(deployment)
	if err := deployment.Publish(leaving); err != nil {
		return 0, err
	}
	began := time.Now()
	each.after(deployment)
	for time.Since(began) < spreadLimit && !deployment.HasApplied(proxies) {
		time.Sleep(time.Millisecond)
	}
	span := time.Since(began)
	deployment.Platform().SetDown(false)
	for !deployment.HasApplied(proxies) && time.Since(began) < 2*spreadLimit {
		time.Sleep(time.Millisecond)
	}
	return span, nil
}
