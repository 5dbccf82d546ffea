package site

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
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

// TestSwitchoverFailsNoWrite marks the primary as leaving while callers write:
// another member must become primary and no write may fail.
func TestSwitchoverFailsNoWrite(t *testing.T) {
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

// TestDrainCutsNothingOff stops each proxy while a caller has an open transaction:
// the transaction must commit before the proxy stops.
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

// TestSetNeverReverts restores an old copy of the store, then starts a new proxy
// while the store is down: the proxies must keep the newest set, and the new proxy
// must receive it from its peers.
func TestSetNeverReverts(t *testing.T) {
	site := start(t, 3)
	old := site.Platform().Dump()
	require.NoError(t, site.Publish("m2"))
	require.NoError(t, site.AwaitReady())
	site.Platform().Restore(old)
	time.Sleep(100 * time.Millisecond)
	require.True(t, site.HasApplied(3))
	site.Platform().SetDown(true)
	require.NoError(t, site.StopProxy(0))
	require.NoError(t, site.StartProxy())
	require.Eventually(t, func() bool {
		set := site.Proxy(3).Snapshot().ObjectSet()
		return set != nil && set.Generation() == 2
	}, 10*time.Second, 5*time.Millisecond)
}

// TestSessionSettingsStayWithTheirSession runs statements of two sessions over
// shared member connections: a SET of one must not be visible to the other.
func TestSessionSettingsStayWithTheirSession(t *testing.T) {
	site := start(t, 1)
	ctx := context.Background()
	first, second := site.connect(t, 0), site.connect(t, 0)
	simple := pgx.QueryExecModeSimpleProtocol
	_, err := first.Exec(ctx, "SET work = 'mine'", simple)
	require.NoError(t, err)
	for range 10 {
		var got string
		require.NoError(t, first.QueryRow(ctx, "SHOW work", simple).Scan(&got))
		require.Equal(t, "mine", got)
		require.NoError(t, second.QueryRow(ctx, "SHOW work", simple).Scan(&got))
		require.Empty(t, got)
	}
	_, err = first.Exec(ctx, "LISTEN news", simple)
	require.ErrorContains(t, err, "needs a connection of its own")
}

// TestCancelHitsOnlyItsOwnRequest cancels a long statement while another session
// runs one, which must complete.
func TestCancelHitsOnlyItsOwnRequest(t *testing.T) {
	site := start(t, 2)
	canceled, other := site.connect(t, 0), site.connect(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := other.Exec(context.Background(), "select pg_sleep(0.5)")
		done <- err
	}()
	time.AfterFunc(100*time.Millisecond, cancel)
	began := time.Now()
	_, err := canceled.Exec(ctx, "select pg_sleep(30)")
	require.Error(t, err)
	require.Less(t, time.Since(began), 10*time.Second)
	require.NoError(t, <-done)
}

// TestCopyAndLargeResults streams a COPY to the member and a result of 200,000 rows
// back.
func TestCopyAndLargeResults(t *testing.T) {
	site := start(t, 2)
	for proxy := range 2 {
		conn := site.connect(t, proxy)
		lines := strings.NewReader(strings.Repeat(fmt.Sprintf("copy%d\tv\n", proxy), 5000))
		tag, err := conn.PgConn().CopyFrom(context.Background(), lines, "copy orders from stdin")
		require.NoError(t, err)
		require.Equal(t, int64(5000), tag.RowsAffected())
		rows, err := conn.Query(context.Background(), "select generate_series(1, 200000)")
		require.NoError(t, err)
		values, err := pgx.CollectRows(rows, pgx.RowTo[string])
		require.NoError(t, err)
		require.Len(t, values, 200_000)
	}
}

// TestConnectionLimitIsNeverExceeded runs 60 concurrent callers against a
// member that accepts 20 connections: the proxies together must not exceed the limit.
func TestConnectionLimitIsNeverExceeded(t *testing.T) {
	site := start(t, 3)
	var group sync.WaitGroup
	for caller := range 60 {
		conn := site.connect(t, caller%3)
		group.Go(func() {
			for range 5 {
				_, err := conn.Exec(context.Background(), "insert into orders (k, v) values ('cap', 'v')")
				assert.NoError(t, err)
			}
		})
	}
	group.Wait()
	for member := range 3 {
		peak, refused := site.Member(member).ConnectionCounts()
		require.LessOrEqual(t, peak, 20)
		require.Zero(t, refused)
	}
}

// TestAbandonedTransactionIsRolledBack closes connections with an open transaction:
// its writes must be rolled back, and the next session on the same member connection
// must not be inside the transaction.
func TestAbandonedTransactionIsRolledBack(t *testing.T) {
	site := start(t, 1)
	ctx := context.Background()
	for range 3 {
		abandoned, err := pgx.Connect(ctx, site.URL(0))
		require.NoError(t, err)
		tx, err := abandoned.Begin(ctx)
		require.NoError(t, err)
		_, err = tx.Exec(ctx, "insert into orders (k, v) values ('abandoned', 'v')")
		require.NoError(t, err)
		require.NoError(t, abandoned.PgConn().Conn().Close())
	}
	time.Sleep(50 * time.Millisecond)
	next := site.connect(t, 0)
	for range 10 {
		_, err := next.Exec(ctx, "insert into orders (k, v) values ('next', 'v')")
		require.NoError(t, err)
		require.Equal(t, byte('I'), next.PgConn().TxStatus())
	}
	primary := site.Member(site.Primary())
	require.Len(t, primary.Values("next"), 10)
	require.Empty(t, primary.Values("abandoned"))
}

// TestLeavingReplicaGetsNoReads marks the replica that serves the reads as leaving:
// it must receive no further statements.
func TestLeavingReplicaGetsNoReads(t *testing.T) {
	site := start(t, 1)
	conn := site.connect(t, 0)
	read := func() {
		_, err := conn.Exec(context.Background(), "select v from orders where k = 'k'")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		read()
		return site.Member(1).Statements() > 10
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, site.Publish("m1"))
	require.NoError(t, site.AwaitReady())
	before := site.Member(1).Statements()
	for range 50 {
		read()
	}
	require.Equal(t, before, site.Member(1).Statements())
	require.Positive(t, site.Member(2).Statements())
}
