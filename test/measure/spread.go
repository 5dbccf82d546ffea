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
	publishesPerCondition = 12
	spreadTimeout         = 3 * time.Second
	storeDelay            = 200 * time.Millisecond
	callRateInterval      = 3 * time.Second
	// idleWatchCount is the number of open watches while nothing fails: two proxies
	// watch the object sets and the hosts.
	idleWatchCount = 4
)

// condition is a state of the platform's store during a publish. beforePublish is called
// once, before all publishes, and afterPublish after each one has been accepted.
type condition struct {
	name          string
	beforePublish func(deployment *site.Site, proxies int)
	afterPublish  func(deployment *site.Site)
}

var conditions = []condition{
	{"up", func(*site.Site, int) {}, func(*site.Site) {}},
	{"slow, 200 ms a call", func(deployment *site.Site, _ int) { deployment.Platform().SetDelay(storeDelay) }, func(*site.Site) {}},
	{"down after acceptance", func(*site.Site, int) {}, func(deployment *site.Site) { deployment.Platform().SetDown(true) }},
	{"a third cut from it", func(deployment *site.Site, proxies int) {
		for i := range proxies / 3 {
			deployment.Platform().SetClientRefused(fmt.Sprintf("p%d", i), true)
		}
	}, func(*site.Site) {}},
}

// measureSpread prints the time from the acceptance of a publish until the object set
// is in force on all proxies, and the rate of calls to the store without publishes.
func measureSpread(ctx context.Context) error {
	fmt.Printf("%-8s %-24s %8s %8s %8s\n", "proxies", "store", "p50 ms", "p99 ms", "max ms")
	for _, proxies := range []int{7, 20, 60} {
		if err := measureSpreadAt(ctx, proxies); err != nil {
			return err
		}
	}
	return nil
}

func measureSpreadAt(ctx context.Context, proxies int) error {
	deployment, err := site.Start(ctx, proxies, "", func(*targetserver.Server) {})
	if err != nil {
		return err
	}
	defer deployment.Stop()
	calls, began := deployment.Platform().Calls(), time.Now()
	time.Sleep(callRateInterval)
	rate := float64(deployment.Platform().Calls()-calls) / time.Since(began).Seconds()
	for _, condition := range conditions {
		var delays []time.Duration
		condition.beforePublish(deployment, proxies)
		for number := range publishesPerCondition {
			delay, err := measurePublish(deployment, proxies, number, condition)
			if err != nil {
				return err
			}
			delays = append(delays, delay)
		}
		deployment.Platform().SetDelay(0)
		for i := range proxies {
			deployment.Platform().SetClientRefused(fmt.Sprintf("p%d", i), false)
		}
		slices.Sort(delays)
		fmt.Printf("%-8d %-24s %8d %8d %8d\n", proxies, condition.name, delays[len(delays)/2].Milliseconds(),
			delays[len(delays)*99/100].Milliseconds(), delays[len(delays)-1].Milliseconds())
	}
	fmt.Printf("%-8d store calls at rest: %.2f a second\n", proxies, rate)
	return nil
}

// awaitWatches waits, spreadTimeout at most, until the watches are open again after the
// outage of the previous publish: the outage to measure must follow normal operation.
func awaitWatches(deployment *site.Site) {
	deadline := time.Now().Add(spreadTimeout)
	for deployment.Platform().Watches() < idleWatchCount && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// measurePublish publishes one of two object sets, in turn, that differ in the leaving
// member, and returns the time until the set is in force on all proxies, at most
// spreadTimeout. Before it returns, it ends the outage of the store and waits for the
// proxies that don't have the set yet, up to twice spreadTimeout after the publish.
func measurePublish(deployment *site.Site, proxies, number int, condition condition) (time.Duration, error) {
	leaving := ""
	if number%2 == 0 {
		leaving = "m2"
	}
	awaitWatches(deployment)
	if err := deployment.Publish(leaving); err != nil {
		return 0, err
	}
	began := time.Now()
	condition.afterPublish(deployment)
	for time.Since(began) < spreadTimeout && !deployment.HasApplied(proxies) {
		time.Sleep(time.Millisecond)
	}
	delay := time.Since(began)
	deployment.Platform().SetDown(false)
	for !deployment.HasApplied(proxies) && time.Since(began) < 2*spreadTimeout {
		time.Sleep(time.Millisecond)
	}
	return delay, nil
}
