package site

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

func start(t *testing.T, proxies int) *Site {
	t.Setenv("EBONYWOOD_STRICT", "1")
	site, err := Start(context.Background(), proxies, "", func(*targetserver.Server) {})
	require.NoError(t, err)
	t.Cleanup(site.Stop)
	return site
}

func (site *Site) connect(t *testing.T, proxy int) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), site.URL(proxy))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// TestPlannedMoveFailsNoWrite publishes that the primary's host is leaving while
// callers write: every write is acknowledged, and another member takes over.
func TestPlannedMoveFailsNoWrite(t *testing.T) {
	site := start(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var done atomic.Int64
	var failures atomic.Value
	for writer := range 3 {
		conn := site.connect(t, writer)
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if _, err := conn.Exec(context.Background(), "insert into orders (k, v) values ($1, 'v')", fmt.Sprint(writer, i)); err != nil {
					failures.Store(err)
					return
				}
				done.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return done.Load() > 100 }, 10*time.Second, time.Millisecond)
	require.NoError(t, site.Publish("m0"))
	require.Eventually(t, func() bool { return site.Primary() > 0 }, 10*time.Second, time.Millisecond)
	before := done.Load()
	require.Eventually(t, func() bool { return done.Load() > before+100 }, 10*time.Second, time.Millisecond)
	cancel()
	group.Wait()
	require.Nil(t, failures.Load())
}

// TestDrainCutsNothingOff stops proxies one by one while callers are in the
// middle of transactions: each transaction ends well, then its session closes.
func TestDrainCutsNothingOff(t *testing.T) {
	site := start(t, 2)
	for proxy := range 2 {
		conn := site.connect(t, proxy)
		tx, err := conn.Begin(context.Background())
		require.NoError(t, err)
		_, err = tx.Exec(context.Background(), "insert into orders (k, v) values ($1, 'v')", fmt.Sprint("drain", proxy))
		require.NoError(t, err)
		stopped := make(chan error, 1)
		go func() { stopped <- site.StopProxy(proxy) }()
		require.Eventually(t, func() bool { return site.Proxy(proxy).Snapshot().IsDraining() }, 5*time.Second, time.Millisecond)
		_, err = tx.Exec(context.Background(), "insert into orders (k, v) values ($1, 'w')", fmt.Sprint("drain", proxy))
		require.NoError(t, err)
		require.NoError(t, tx.Commit(context.Background()))
		require.NoError(t, <-stopped)
		require.ElementsMatch(t, []string{"v", "w"}, site.Member(site.Primary()).Values(fmt.Sprint("drain", proxy)))
	}
}
