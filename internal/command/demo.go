package command

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood/internal/site"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

const (
	demoProxies    = 3
	demoCallers    = 6
	demoWarmUp     = 2 * time.Second
	demoAfterKill  = 4 * time.Second
	demoReplicaLag = 20 * time.Millisecond
	demoThinkTime  = 2 * time.Millisecond
)

func newDemo() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process, kill the primary, and print the results",
		Long: `Starts the platform stand-in, three members and three proxies on loopback.
Callers write orders and read them back through different proxies. The demo kills
the primary meanwhile and prints a table of the results.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runDemo(command) },
	}
}

// demoStats counts the outcomes that the callers observed.
type demoStats struct {
	acknowledged, unknown, notRun, reads, violations atomic.Int64

	mutex              sync.Mutex
	lastAcknowledgedAt time.Time
	longestGap         time.Duration
}

func runDemo(command *cobra.Command) error {
	out := command.OutOrStdout()
	ctx, stop := context.WithCancel(command.Context())
	defer stop()
	fmt.Fprintf(out, "starting 3 members, %d proxies and %d callers on loopback\n", demoProxies, demoCallers)
	deployment, err := site.Start(ctx, demoProxies, "", func(member *targetserver.Server) { member.SetLag(demoReplicaLag) })
	if err != nil {
		return err
	}
	defer deployment.Stop()
	stats := &demoStats{}
	var group sync.WaitGroup
	for caller := range demoCallers {
		group.Go(func() { stats.runCaller(ctx, deployment, caller) })
	}
	time.Sleep(demoWarmUp)
	primary := deployment.Primary()
	fmt.Fprintf(out, "killing the primary, member m%d\n", primary)
	deployment.KillMember(primary)
	time.Sleep(demoAfterKill)
	replicaShare := deployment.ReplicaReadShare()
	stop()
	group.Wait()
	for i := range demoProxies {
		for _, count := range deployment.Proxy(i).Violations() {
			stats.violations.Add(int64(count))
		}
	}
	return stats.print(command, replicaShare)
}

// runCaller writes orders and reads each back through another proxy, until the
// context ends.
func (stats *demoStats) runCaller(ctx context.Context, deployment *site.Site, caller int) {
	for number := 0; ctx.Err() == nil; number++ {
		key := fmt.Sprintf("order-%d-%d", caller, number)
		if stats.write(deployment.URL((caller+number)%demoProxies), key) {
			stats.readBack(deployment.URL((caller+number+1)%demoProxies), key)
		}
		time.Sleep(demoThinkTime)
	}
}

// write inserts one order and reports whether it was acknowledged.
func (stats *demoStats) write(url, key string) bool {
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return false
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "insert into orders (k, v) values ($1, 'sealed')", key)
	switch {
	case err == nil:
		stats.acknowledge()
	case isOutcomeUnknown(err):
		stats.unknown.Add(1)
	default:
		stats.notRun.Add(1)
	}
	return err == nil
}

// acknowledge counts a write and measures the time since the previous one.
func (stats *demoStats) acknowledge() {
	stats.acknowledged.Add(1)
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	now := time.Now()
	if !stats.lastAcknowledgedAt.IsZero() {
		stats.longestGap = max(stats.longestGap, now.Sub(stats.lastAcknowledgedAt))
	}
	stats.lastAcknowledgedAt = now
}

// readBack reads an acknowledged order several times and counts a violation if it
// is missing. The first read of a new session goes to the primary, later ones to a
// replica with proof that it is fresh enough.
func (stats *demoStats) readBack(url, key string) {
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return
	}
	defer conn.Close(ctx)
	for range 8 {
		var value string
		err := conn.QueryRow(ctx, "select v from orders where k = $1", key).Scan(&value)
		switch {
		case err == nil:
			stats.reads.Add(1)
		case errors.Is(err, pgx.ErrNoRows):
			stats.violations.Add(1)
		}
		time.Sleep(10 * demoThinkTime)
	}
}

func (stats *demoStats) print(command *cobra.Command, replicaShare float64) error {
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "writes acknowledged\t%d\n", stats.acknowledged.Load())
	fmt.Fprintf(table, "writes not run\t%d\n", stats.notRun.Load())
	fmt.Fprintf(table, "writes with an unknown outcome\t%d\n", stats.unknown.Load())
	fmt.Fprintf(table, "reads served\t%d\n", stats.reads.Load())
	fmt.Fprintf(table, "reads by replicas\t%.0f%%\n", 100*replicaShare)
	fmt.Fprintf(table, "longest gap between writes\t%d ms\n", stats.longestGap.Milliseconds())
	fmt.Fprintf(table, "violations found\t%d\n", stats.violations.Load())
	return table.Flush()
}
