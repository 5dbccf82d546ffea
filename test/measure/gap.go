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
	gapRuns           = 20
	gapWriters        = 6
	gapProxies        = 3
	gapConcurrentRuns = 5
	gapThinkTime      = time.Millisecond
	gapWarmup         = 300 * time.Millisecond
	gapTimeout        = 5 * time.Second
	shortPause        = 300 * time.Millisecond
)

// failure is a kind of failure of a primary, or the cause of a switchover.
type failure struct {
	name   string
	inject func(deployment *site.Site, primary int) error
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

// measureGaps prints, for each failure, the longest time between two acknowledged
// writes of all callers together, with the platform's store up and down. The column moved
// has the number of runs that end with another primary.
func measureGaps(ctx context.Context) error {
	fmt.Printf("%-20s %-6s %8s %8s %8s %10s %10s %8s\n", "primary", "store", "p50 ms", "p99 ms", "max ms", "not run", "unknown", "moved")
	for _, failure := range failures {
		for _, storeDown := range []bool{false, true} {
			// The publish that makes the primary leave needs the store.
			if storeDown && failure.name == "leaving" {
				continue
			}
			if err := measureGap(ctx, failure, storeDown); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureGap(ctx context.Context, failure failure, storeDown bool) error {
	var gaps []time.Duration
	var total writeStats
	primaryChanges := 0
	runs := pool.New().WithErrors().WithMaxGoroutines(gapConcurrentRuns)
	for range gapRuns {
		runs.Go(func() error {
			gap, stats, primaryChanged, err := runGap(ctx, failure, storeDown)
			if err != nil {
				return err
			}
			total.mutex.Lock()
			defer total.mutex.Unlock()
			gaps = append(gaps, gap)
			total.notRun.Add(stats.notRun.Load())
			total.unknown.Add(stats.unknown.Load())
			if primaryChanged {
				primaryChanges++
			}
			return nil
		})
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	slices.Sort(gaps)
	store := "up"
	if storeDown {
		store = "down"
	}
	fmt.Printf("%-20s %-6s %8d %8d %8d %10d %10d %5d/%d\n", failure.name, store, gaps[len(gaps)/2].Milliseconds(),
		gaps[len(gaps)*99/100].Milliseconds(), gaps[len(gaps)-1].Milliseconds(),
		total.notRun.Load(), total.unknown.Load(), primaryChanges, gapRuns)
	return nil
}

// writeStats counts the outcomes of all writers of a run, and holds the longest time
// between two acknowledged writes.
type writeStats struct {
	notRun, unknown  atomic.Int64
	mutex            sync.Mutex
	lastAcknowledged time.Time
	longestGap       time.Duration
}

func (stats *writeStats) acknowledge() {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	now := time.Now()
	if !stats.lastAcknowledged.IsZero() {
		stats.longestGap = max(stats.longestGap, now.Sub(stats.lastAcknowledged))
	}
	stats.lastAcknowledged = now
}

// runGap injects a failure of the primary while callers write. It returns the longest
// time between two acknowledged writes, the counts, and whether another member is
// primary afterwards.
func runGap(ctx context.Context, failure failure, storeDown bool) (time.Duration, *writeStats, bool, error) {
	deployment, err := site.Start(ctx, gapProxies, "", func(*targetserver.Server) {})
	if err != nil {
		return 0, nil, false, err
	}
	defer deployment.Stop()
	writeCtx, stop := context.WithCancel(ctx)
	defer stop()
	stats := &writeStats{}
	var group sync.WaitGroup
	for writer := range gapWriters {
		group.Go(func() { writeRows(writeCtx, deployment.URL(writer%gapProxies), writer, stats) })
	}
	time.Sleep(gapWarmup)
	primary := deployment.Primary()
	if storeDown {
		deployment.Platform().SetDown(true)
	}
	if err := failure.inject(deployment, primary); err != nil {
		return 0, nil, false, err
	}
	awaitWrites(stats)
	stop()
	deployment.Member(primary).SetFrozen(false)
	group.Wait()
	return stats.longestGap, stats, deployment.PrimaryInSnapshots() != primary, nil
}

// awaitWrites waits twice gapWarmup, then until a write was acknowledged less than 5 ms
// ago, and gapWarmup longer. Without such a write it returns after gapTimeout.
func awaitWrites(stats *writeStats) {
	deadline := time.Now().Add(gapTimeout)
	time.Sleep(2 * gapWarmup)
	for time.Now().Before(deadline) {
		stats.mutex.Lock()
		recent := time.Since(stats.lastAcknowledged) < 5*time.Millisecond
		stats.mutex.Unlock()
		if recent {
			time.Sleep(gapWarmup)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// writeRows writes one row after another until ctx ends, and reconnects when the
// connection is closed.
func writeRows(ctx context.Context, url string, writer int, stats *writeStats) {
	var conn *pgx.Conn
	for number := 0; ctx.Err() == nil; number++ {
		if conn == nil || conn.IsClosed() {
			newConn, err := pgx.Connect(context.WithoutCancel(ctx), url)
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			conn = newConn
		}
		time.Sleep(gapThinkTime)
		_, err := conn.Exec(context.WithoutCancel(ctx), "insert into orders (k, v) values ($1, 'v')", fmt.Sprint(writer, "-", number))
		switch {
		case err == nil:
			stats.acknowledge()
		case isNotRun(err):
			stats.notRun.Add(1)
		default:
			stats.unknown.Add(1)
		}
	}
	if conn != nil {
		_ = conn.Close(context.WithoutCancel(ctx))
	}
}
