package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sourcegraph/conc/pool"

	"github.com/ebonywood/ebonywood/internal/site"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

const (
	pathDuration = 2 * time.Second
	pathSlots    = 64
	idleCallers  = 2000
	// maxCallers is bounded by the limit on open files: both ends of a connection
	// are in this process, so each caller needs two.
	maxCallers = 9000
	// refusedRetryDelay is the time after which a refused caller retries.
	refusedRetryDelay = 50 * time.Millisecond
	maxLatencyMicros  = int64(10 * time.Second / time.Microsecond)
)

// loadResult holds the latency in microseconds and the rate per second of the
// statements that were run, and the number of those refused.
type loadResult struct {
	latency *hdrhistogram.Histogram
	rate    float64
	refused int64
}

// runCallers runs the statement in a loop on one connection for each caller.
func runCallers(ctx context.Context, url string, callers int, duration time.Duration, sql string, arguments ...any) (loadResult, error) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	total := hdrhistogram.New(1, maxLatencyMicros, 3)
	var failure error
	var refused int64
	began := time.Now()
	for range callers {
		group.Go(func() {
			latency, callerRefused, err := runCaller(ctx, url, began.Add(duration), sql, arguments...)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failure = err
				return
			}
			total.Merge(latency)
			refused += callerRefused
		})
	}
	group.Wait()
	return loadResult{latency: total, rate: float64(total.TotalCount()) / time.Since(began).Seconds(), refused: refused}, failure
}

// runCaller runs the statement in a loop until the deadline. Early refusals, SQLSTATE
// 53400, are counted separately: their short latency would distort that of the
// statements that were run.
func runCaller(
	ctx context.Context, url string, deadline time.Time, sql string, arguments ...any,
) (latency *hdrhistogram.Histogram, refused int64, err error) {
	latency = hdrhistogram.New(1, maxLatencyMicros, 3)
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, 0, err
	}
	defer conn.Close(ctx)
	for time.Now().Before(deadline) {
		began := time.Now()
		_, err := conn.Exec(ctx, sql, arguments...)
		var pgErr *pgconn.PgError
		if errors.As(err, &pgErr) && pgErr.Code == "53400" {
			refused++
			time.Sleep(refusedRetryDelay)
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		if err := latency.RecordValue(max(1, time.Since(began).Microseconds())); err != nil {
			return nil, 0, err
		}
	}
	return latency, refused, nil
}

// measurePath compares statements sent directly to a member with the same statements
// sent through a proxy that owns the instance. It also measures the memory of idle
// callers, the latency as the number of callers grows, and the share of reads that
// replicas serve.
func measurePath(ctx context.Context) error {
	deployment, err := site.Start(ctx, 1, "", func(member *targetserver.Server) { member.SetLimits(pathSlots, 2*pathSlots) })
	if err != nil {
		return err
	}
	defer deployment.Stop()
	if err := measureIdleMemory(deployment); err != nil {
		return err
	}
	read := "select v from orders where k = $1"
	write := "insert into orders (k, v) values ($1, 'v')"
	fmt.Printf("%-22s %8s %10s %10s %8s %9s %9s\n", "statement", "callers", "direct/s", "proxied/s", "share", "+p50 us", "+p99 us")
	for _, callers := range []int{1, 8, 32} {
		if err := comparePath(ctx, deployment, "read on a replica", callers, deployment.DirectURL(1), read, "k"); err != nil {
			return err
		}
	}
	if err := comparePath(ctx, deployment, "write, confirmed", 8, deployment.DirectURL(0), write, "written"); err != nil {
		return err
	}
	if err := measureCallers(ctx, deployment, read); err != nil {
		return err
	}
	return measureReplicaShare(ctx)
}

// measureReplicaShare prints the share of reads that replicas serve for several lags of
// the replicas, when each caller reads nine times after each write.
func measureReplicaShare(ctx context.Context) error {
	fmt.Printf("%-22s %8s %10s %10s %9s %9s\n", "reads by replicas", "lag", "share", "reads/s", "p50 us", "p99 us")
	for _, lag := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, time.Second} {
		deployment, err := site.Start(ctx, 2, "", func(member *targetserver.Server) {
			member.SetLimits(pathSlots, 2*pathSlots)
			member.SetLag(lag)
		})
		if err != nil {
			return err
		}
		latency, err := runMix(ctx, deployment)
		share := deployment.ReplicaReadShare()
		deployment.Stop()
		if err != nil {
			return err
		}
		fmt.Printf("%-22s %8s %9.1f%% %10.0f %9d %9d\n", "", lag, 100*share, float64(latency.TotalCount())/pathDuration.Seconds(),
			latency.ValueAtQuantile(50), latency.ValueAtQuantile(99))
	}
	return nil
}

const (
	mixCallers       = 8
	mixReadsPerWrite = 9
	mixThinkTime     = 5 * time.Millisecond
)

// runMix runs callers that write and read, with a think time before each statement, and
// returns the latency of the reads in microseconds.
func runMix(ctx context.Context, deployment *site.Site) (*hdrhistogram.Histogram, error) {
	total := hdrhistogram.New(1, maxLatencyMicros, 3)
	var mutex sync.Mutex
	group := pool.New().WithErrors()
	deadline := time.Now().Add(pathDuration)
	for caller := range mixCallers {
		group.Go(func() error {
			conn, err := pgx.Connect(ctx, deployment.URL(caller%2))
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			for number := 0; time.Now().Before(deadline); number++ {
				time.Sleep(mixThinkTime)
				if number%(mixReadsPerWrite+1) == 0 {
					if _, err := conn.Exec(ctx, "insert into orders (k, v) values ($1, 'v')", fmt.Sprint(caller, "-", number)); err != nil {
						return err
					}
					continue
				}
				began := time.Now()
				if _, err := conn.Exec(ctx, "select v from orders where k = $1", "k"); err != nil {
					return err
				}
				mutex.Lock()
				err := total.RecordValue(max(1, time.Since(began).Microseconds()))
				mutex.Unlock()
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	return total, group.Wait()
}

// comparePath prints the rate of a statement sent to directURL and through the proxy,
// the latency that the proxy adds and the allocations of a proxied statement, after a
// warm-up through the proxy.
func comparePath(
	ctx context.Context, deployment *site.Site, name string, callers int, directURL, sql string, arguments ...any,
) error {
	if _, err := runCallers(ctx, deployment.URL(0), callers, pathDuration/8, sql, arguments...); err != nil {
		return err
	}
	unproxied, err := runCallers(ctx, directURL, callers, pathDuration, sql, arguments...)
	if err != nil {
		return err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	proxied, err := runCallers(ctx, deployment.URL(0), callers, pathDuration, sql, arguments...)
	if err != nil {
		return err
	}
	runtime.ReadMemStats(&after)
	fmt.Printf("%-22s %8d %10.0f %10.0f %7.0f%% %9d %9d   (%.0f allocations a statement, client and stand-in included)\n",
		name, callers, unproxied.rate, proxied.rate, 100*proxied.rate/unproxied.rate,
		proxied.latency.ValueAtQuantile(50)-unproxied.latency.ValueAtQuantile(50),
		proxied.latency.ValueAtQuantile(99)-unproxied.latency.ValueAtQuantile(99),
		float64(after.Mallocs-before.Mallocs)/float64(proxied.latency.TotalCount()))
	return nil
}

// measureCallers prints rate and latency of a statement as the number of callers grows.
func measureCallers(ctx context.Context, deployment *site.Site, sql string) error {
	fmt.Printf("%-22s %8s %10s %9s %9s\n", "callers grow", "callers", "proxied/s", "p50 us", "p99 us")
	for _, callers := range []int{10, 100, 1000, maxCallers} {
		result, err := runCallers(ctx, deployment.URL(0), callers, pathDuration, sql, "k")
		if err != nil {
			fmt.Printf("%-22s %8d failed: %v\n", "", callers, err)
			continue
		}
		fmt.Printf("%-22s %8d %10.0f %9d %9d   (%d refused early)\n", "", callers, result.rate,
			result.latency.ValueAtQuantile(50), result.latency.ValueAtQuantile(99), result.refused)
	}
	return nil
}

// measureIdleMemory prints the memory that the proxy holds for an idle caller. The
// callers are raw sockets, to keep the memory of the client side small.
func measureIdleMemory(deployment *site.Site) error {
	address := strings.Split(strings.TrimPrefix(deployment.URL(0), "postgres://shop@"), "/")[0]
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop", "database": "shop"},
	}).Encode(nil)
	if err != nil {
		return err
	}
	before := liveMemory()
	sockets := make([]net.Conn, 0, idleCallers)
	for range idleCallers {
		socket, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		sockets = append(sockets, socket)
		if _, err := socket.Write(startup); err != nil {
			return err
		}
		if _, err := socket.Read(make([]byte, 1024)); err != nil {
			return err
		}
	}
	after := liveMemory()
	fmt.Printf("memory of an idle caller: %.1f KB (heap and stacks, over %d callers; the measuring side's socket included)\n",
		float64(after-before)/1024/idleCallers, idleCallers)
	for _, socket := range sockets {
		_ = socket.Close()
	}
	return nil
}

// liveMemory returns the bytes in use by heap and stacks after garbage collection.
func liveMemory() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
