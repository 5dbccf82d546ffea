package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sourcegraph/conc/pool"

	"github.com/ebonywood/ebonywood/internal/site"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

const (
	gapRuns    = 20
	gapWriters = 6
	gapProxies = 3
	gapAtOnce  = 5
	gapThink   = time.Millisecond
	gapWarm    = 300 * time.Millisecond
	gapLimit   = 5 * time.Second
	shortPause = 300 * time.Millisecond
)

// failure is one way in which a primary goes.
type failure struct {
	name string
	hurt func(deployment *site.Site, primary int) error
}

var failures = []failure{
	{"killed", func(deployment *site.Site, primary int) error {
		deployment.KillMember(primary)
		return nil
	}},
	{"frozen", func(deployment *site.Site, primary int) error {
		deployment.Member(primary).SetFrozen(true)
		return nil
	}},
	{"cut from its peers", func(deployment *site.Site, primary int) error {
		deployment.Member(primary).SetPartitioned(true)
		return nil
	}},
	{"leaving", func(deployment *site.Site, primary int) error {
		return deployment.Publish(fmt.Sprintf("m%d", primary))
	}},
	{"paused 300 ms", func(deployment *site.Site, primary int) error {
		deployment.Member(primary).SetFrozen(true)
		time.Sleep(shortPause)
		deployment.Member(primary).SetFrozen(false)
		return nil
	}},
}

// measureGaps prints the longest time between two acknowledged writes of all
// callers together, for each failure, with the platform's store up and down.
func measureGaps(ctx context.Context) error {
	fmt.Printf("%-20s %-6s %8s %8s %8s %10s %10s %8s\n", "primary", "store", "p50 ms", "p99 ms", "max ms", "not run", "unknown", "moved")
	for _, each := range failures {
		for _, down := range []bool{false, true} {
			if down && each.name == "leaving" {
				continue
			}
			if err := measureGap(ctx, each, down); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureGap(ctx context.Context, each failure, down bool) error {
	var gaps []time.Duration
	var total tally
	moved := 0
	runs := pool.New().WithErrors().WithMaxGoroutines(gapAtOnce)
	for range gapRuns {
		runs.Go(func() error {
			gap, counts, changed, err := oneGap(ctx, each, down)
			if err != nil {
				return err
			}
			total.mutex.Lock()
			defer total.mutex.Unlock()
			gaps = append(gaps, gap)
			total.notRun.Add(counts.notRun.Load())
			total.unknown.Add(counts.unknown.Load())
			if changed {
				moved++
			}
			return nil
		})
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	slices.Sort(gaps)
	store := "up"
	if down {
		store = "down"
	}
	fmt.Printf("%-20s %-6s %8d %8d %8d %10d %10d %5d/%d\n", each.name, store, gaps[len(gaps)/2].Milliseconds(),
		gaps[len(gaps)*99/100].Milliseconds(), gaps[len(gaps)-1].Milliseconds(),
		total.notRun.Load(), total.unknown.Load(), moved, gapRuns)
	return nil
}

// tally counts what writers were told and keeps their longest gap.
type tally struct {
	notRun, unknown atomic.Int64
	mutex           sync.Mutex
	last            time.Time
	longest         time.Duration
}

func (tally *tally) acknowledge() {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := time.Now()
	if !tally.last.IsZero() {
		tally.longest = max(tally.longest, now.Sub(tally.last))
	}
	tally.last = now
}

func oneGap(ctx context.Context, each failure, down bool) (time.Duration, *tally, bool, error) {
	deployment, err := site.Start(ctx, gapProxies, "", func(*targetserver.Server) {})
	if err != nil {
		return 0, nil, false, err
	}
	defer deployment.Stop()
	writing, stop := context.WithCancel(ctx)
	defer stop()
	counts := &tally{}
	var group sync.WaitGroup
	for writer := range gapWriters {
		group.Go(func() { writeOn(writing, deployment.URL(writer%gapProxies), writer, counts) })
	}
	time.Sleep(gapWarm)
	primary := deployment.Primary()
	if down {
		deployment.Platform().SetDown(true)
	}
	if err := each.hurt(deployment, primary); err != nil {
		return 0, nil, false, err
	}
	awaitWrites(counts)
	stop()
	deployment.Member(primary).SetFrozen(false)
	group.Wait()
	return counts.longest, counts, deployment.PrimaryInSnapshots() != primary, nil
}

// awaitWrites returns once writes flow again after the failure.
func awaitWrites(counts *tally) {
	until := time.Now().Add(gapLimit)
	time.Sleep(2 * gapWarm)
	for time.Now().Before(until) {
		counts.mutex.Lock()
		recent := time.Since(counts.last) < 5*time.Millisecond
		counts.mutex.Unlock()
		if recent {
			time.Sleep(gapWarm)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func writeOn(ctx context.Context, url string, writer int, counts *tally) {
	var conn *pgx.Conn
	for number := 0; ctx.Err() == nil; number++ {
		if conn == nil || conn.IsClosed() {
			fresh, err := pgx.Connect(context.WithoutCancel(ctx), url)
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			conn = fresh
		}
		time.Sleep(gapThink)
		_, err := conn.Exec(context.WithoutCancel(ctx), "insert into orders (k, v) values ($1, 'v')", fmt.Sprint(writer, "-", number))
		switch {
		case err == nil:
			counts.acknowledge()
		case isNotRun(err):
			counts.notRun.Add(1)
		default:
			counts.unknown.Add(1)
		}
	}
	if conn != nil {
		_ = conn.Close(context.WithoutCancel(ctx))
	}
}
