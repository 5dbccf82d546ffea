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
	demoProxies = 3
	demoCallers = 6
	demoWarm    = 2 * time.Second
	demoAfter   = 4 * time.Second
	demoLag     = 20 * time.Millisecond
	demoThink   = 2 * time.Millisecond
)

func newDemo() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run everything in one process, kill the primary, and print what held",
		Long: `Starts the platform stand-in, three members and three proxies on loopback.
Callers write orders and read them back, changing between proxies; the demo kills
the primary under them and prints a table at the end.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runDemo(command) },
	}
}

// demo counts what the callers saw.
type demo struct {
	acknowledged, unknown, notRun, reads, violations atomic.Int64

	mutex   sync.Mutex
	last    time.Time
	longest time.Duration
}

func runDemo(command *cobra.Command) error {
	out := command.OutOrStdout()
	ctx, stop := context.WithCancel(command.Context())
	defer stop()
	fmt.Fprintf(out, "starting 3 members, %d proxies and %d callers on loopback\n", demoProxies, demoCallers)
	deployment, err := site.Start(ctx, demoProxies, "", func(member *targetserver.Server) { member.SetLag(demoLag) })
	if err != nil {
		return err
	}
	defer deployment.Stop()
	seen := &demo{}
	var group sync.WaitGroup
	for caller := range demoCallers {
		group.Go(func() { seen.call(ctx, deployment, caller) })
	}
	time.Sleep(demoWarm)
	primary := deployment.Primary()
	fmt.Fprintf(out, "killing the primary, member m%d\n", primary)
	deployment.KillMember(primary)
	time.Sleep(demoAfter)
	byReplicas := deployment.Reads()
	stop()
	group.Wait()
	for i := range demoProxies {
		for _, count := range deployment.Proxy(i).Violations() {
			seen.violations.Add(int64(count))
		}
	}
	return seen.print(command, byReplicas)
}

// call writes orders and reads each back through another proxy.
func (demo *demo) call(ctx context.Context, deployment *site.Site, caller int) {
	for number := 0; ctx.Err() == nil; number++ {
		key := fmt.Sprintf("order-%d-%d", caller, number)
		if demo.write(deployment.URL((caller+number)%demoProxies), key) {
			demo.readBack(deployment.URL((caller+number+1)%demoProxies), key)
		}
		time.Sleep(demoThink)
	}
}

func (demo *demo) write(url, key string) bool {
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return false
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "insert into orders (k, v) values ($1, 'sealed')", key)
	switch {
	case err == nil:
		demo.acknowledge()
	case isOutcomeUnknown(err):
		demo.unknown.Add(1)
	default:
		demo.notRun.Add(1)
	}
	return err == nil
}

func (demo *demo) acknowledge() {
	demo.acknowledged.Add(1)
	demo.mutex.Lock()
	defer demo.mutex.Unlock()
	now := time.Now()
	if !demo.last.IsZero() {
		demo.longest = max(demo.longest, now.Sub(demo.last))
	}
	demo.last = now
}

// readBack reads the order a few times: the first time the session is new, so the
// primary answers; later a replica that is proved to be fresh enough.
func (demo *demo) readBack(url, key string) {
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
			demo.reads.Add(1)
		case errors.Is(err, pgx.ErrNoRows):
			demo.violations.Add(1)
		}
		time.Sleep(10 * demoThink)
	}
}

func (demo *demo) print(command *cobra.Command, byReplicas float64) error {
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "writes acknowledged\t%d\n", demo.acknowledged.Load())
	fmt.Fprintf(table, "writes not run\t%d\n", demo.notRun.Load())
	fmt.Fprintf(table, "writes with an unknown outcome\t%d\n", demo.unknown.Load())
	fmt.Fprintf(table, "reads answered\t%d\n", demo.reads.Load())
	fmt.Fprintf(table, "reads by replicas\t%.0f%%\n", 100*byReplicas)
	fmt.Fprintf(table, "longest gap between writes\t%d ms\n", demo.longest.Milliseconds())
	fmt.Fprintf(table, "violations found\t%d\n", demo.violations.Load())
	return table.Flush()
}
