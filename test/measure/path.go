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
	pathSpan    = 2 * time.Second
	pathSlots   = 64
	idleCallers = 2000
	// mostCallers is bounded by the files that one process may open here, two for
	// each caller, since both ends are in it.
	mostCallers = 9000
	// comeBack is how long a refused caller waits before it tries again.
	comeBack   = 50 * time.Millisecond
	maxLatency = int64(10 * time.Second / time.Microsecond)
)

// load is what a set of callers did in a span.
type load struct {
	latency *hdrhistogram.Histogram
	rate    float64
	refused int64
}

// drive lets callers run one statement after another.
func drive(ctx context.Context, url string, callers int, span time.Duration, sql string, arguments ...any) (load, error) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	total := hdrhistogram.New(1, maxLatency, 3)
	var failure error
	var refused int64
	began := time.Now()
	for range callers {
		group.Go(func() {
			own, denied, err := driveOne(ctx, url, began.Add(span), sql, arguments...)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failure = err
				return
			}
			total.Merge(own)
			refused += denied
		})
	}
	group.Wait()
	return load{latency: total, rate: float64(total.TotalCount()) / time.Since(began).Seconds(), refused: refused}, failure
}

// driveOne counts early refusals apart: they are answers, and quick ones.
func driveOne(
	ctx context.Context, url string, until time.Time, sql string, arguments ...any,
) (own *hdrhistogram.Histogram, refused int64, err error) {
	own = hdrhistogram.New(1, maxLatency, 3)
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, 0, err
	}
	defer conn.Close(ctx)
	for time.Now().Before(until) {
		began := time.Now()
		_, err := conn.Exec(ctx, sql, arguments...)
		var refusal *pgconn.PgError
		if errors.As(err, &refusal) && refusal.Code == "53400" {
			refused++
			time.Sleep(comeBack)
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		if err := own.RecordValue(max(1, time.Since(began).Microseconds())); err != nil {
			return nil, 0, err
		}
	}
	return own, refused, nil
}

// measurePath compares the same statements, direct and through a proxy that owns
// the instance.
func measurePath(ctx context.Context) error {
	deployment, err := site.Start(ctx, 1, "", func(member *targetserver.Server) { member.SetLimits(pathSlots, 2*pathSlots) })
	if err != nil {
		return err
	}
	defer deployment.Stop()
	if err := measureIdle(deployment); err != nil {
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
	return measureShare(ctx)
}

// measureShare shows the share of reads that replicas serve when each caller
// writes once and reads nine times, for several lags of the replicas.
func measureShare(ctx context.Context) error {
	fmt.Printf("%-22s %8s %10s %10s %9s %9s\n", "reads by replicas", "lag", "share", "reads/s", "p50 us", "p99 us")
	for _, lag := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, time.Second} {
		deployment, err := site.Start(ctx, 2, "", func(member *targetserver.Server) {
			member.SetLimits(pathSlots, 2*pathSlots)
			member.SetLag(lag)
		})
		if err != nil {
			return err
		}
		latency, err := mix(ctx, deployment)
		share := deployment.ReplicaReadShare()
		deployment.Stop()
		if err != nil {
			return err
		}
		fmt.Printf("%-22s %8s %9.1f%% %10.0f %9d %9d\n", "", lag, 100*share, float64(latency.TotalCount())/pathSpan.Seconds(),
			latency.ValueAtQuantile(50), latency.ValueAtQuantile(99))
	}
	return nil
}

const (
	mixCallers = 8
	mixReads   = 9
	mixThink   = 5 * time.Millisecond
)

// mix lets callers write and read with some thinking between, and returns the
// latency of the reads.
func mix(ctx context.Context, deployment *site.Site) (*hdrhistogram.Histogram, error) {
	total := hdrhistogram.New(1, maxLatency, 3)
	var mutex sync.Mutex
	group := pool.New().WithErrors()
	until := time.Now().Add(pathSpan)
	for caller := range mixCallers {
		group.Go(func() error {
			conn, err := pgx.Connect(ctx, deployment.URL(caller%2))
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			for number := 0; time.Now().Before(until); number++ {
				time.Sleep(mixThink)
				if number%(mixReads+1) == 0 {
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

func comparePath(
	ctx context.Context, deployment *site.Site, name string, callers int, direct, sql string, arguments ...any,
) error {
	if _, err := drive(ctx, deployment.URL(0), callers, pathSpan/8, sql, arguments...); err != nil {
		return err
	}
	plain, err := drive(ctx, direct, callers, pathSpan, sql, arguments...)
	if err != nil {
		return err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	proxied, err := drive(ctx, deployment.URL(0), callers, pathSpan, sql, arguments...)
	if err != nil {
		return err
	}
	runtime.ReadMemStats(&after)
	fmt.Printf("%-22s %8d %10.0f %10.0f %7.0f%% %9d %9d   (%.0f allocations a statement, client and stand-in included)\n",
		name, callers, plain.rate, proxied.rate, 100*proxied.rate/plain.rate,
		proxied.latency.ValueAtQuantile(50)-plain.latency.ValueAtQuantile(50),
		proxied.latency.ValueAtQuantile(99)-plain.latency.ValueAtQuantile(99),
		float64(after.Mallocs-before.Mallocs)/float64(proxied.latency.TotalCount()))
	return nil
}

// measureCallers shows the cost of a statement as callers grow.
func measureCallers(ctx context.Context, deployment *site.Site, sql string) error {
	fmt.Printf("%-22s %8s %10s %9s %9s\n", "callers grow", "callers", "proxied/s", "p50 us", "p99 us")
	for _, callers := range []int{10, 100, 1000, mostCallers} {
		got, err := drive(ctx, deployment.URL(0), callers, pathSpan, sql, "k")
		if err != nil {
			fmt.Printf("%-22s %8d failed: %v\n", "", callers, err)
			continue
		}
		fmt.Printf("%-22s %8d %10.0f %9d %9d   (%d refused early)\n", "", callers, got.rate,
			got.latency.ValueAtQuantile(50), got.latency.ValueAtQuantile(99), got.refused)
	}
	return nil
}

// measureIdle shows what an idle caller holds, by raw sockets so that the client
// side stays small.
func measureIdle(deployment *site.Site) error {
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

func liveMemory() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
