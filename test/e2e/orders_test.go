package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// told is what a caller was told of an order.
type told string

const (
	acknowledged told = "acknowledged"
	notRun       told = "not run"
	unknown      told = "unknown"
)

// tellOf reads the outcome off an error.
func tellOf(err error) told {
	var refusal *pgconn.PgError
	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &refusal) && refusal.Code != "08007":
		return notRun
	default:
		return unknown
	}
}

// ledger holds all orders of a run.
type ledger struct {
	mutex  sync.Mutex
	orders map[string]told
	last   time.Time
	gap    time.Duration
	seen   []string
}

func newLedger() *ledger { return &ledger{orders: map[string]told{}, last: time.Now()} }

func (ledger *ledger) record(order string, outcome told, err error) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.orders[order] = outcome
	if outcome == acknowledged {
		ledger.gap = max(ledger.gap, time.Since(ledger.last))
		ledger.last = time.Now()
	} else {
		ledger.seen = append(ledger.seen, err.Error())
	}
}

func (ledger *ledger) count(outcome told) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	total := 0
	for _, each := range ledger.orders {
		if each == outcome {
			total++
		}
	}
	return total
}

// writeOrders writes numbered orders and reads each one back in the same
// session, until ctx ends.
func (site *site) writeOrders(ctx context.Context, t *testing.T, ledger *ledger, writer, proxy int) {
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for number := 0; ctx.Err() == nil; number++ {
		if conn == nil || conn.IsClosed() {
			fresh, err := pgx.Connect(context.Background(), site.url(proxy))
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			conn = fresh
		}
		order := fmt.Sprintf("order-%d-%d", writer, number)
		_, err := conn.Exec(context.Background(), "insert into orders (k, v) values ($1, $2)", order, "v")
		ledger.record(order, tellOf(err), err)
		if err != nil {
			continue
		}
		rows, err := conn.Query(context.Background(), "select v from orders where k = $1", order)
		if err != nil {
			continue
		}
		found, err := pgx.CollectRows(rows, pgx.RowTo[string])
		if err == nil {
			assert.Equal(t, []string{"v"}, found, "readYourWrites of "+order)
		}
	}
}

// check compares what callers were told with what the primary holds.
func (site *site) check(t *testing.T, ledger *ledger) {
	stored := map[string]int{}
	eventually(t, func() error {
		conn, err := pgx.Connect(context.Background(), site.url(0))
		if err != nil {
			return err
		}
		defer conn.Close(context.Background())
		clear(stored)
		var text strings.Builder
		if _, err := conn.PgConn().CopyTo(context.Background(), &text, "copy orders to stdout"); err != nil {
			return err
		}
		for _, line := range strings.Split(strings.TrimSpace(text.String()), "\n") {
			key, _, _ := strings.Cut(line, "\t")
			stored[key]++
		}
		return nil
	})
	site.requireNoViolations(t)
	for order, outcome := range ledger.orders {
		switch outcome {
		case acknowledged:
			require.Equal(t, 1, stored[order], "acknowledged %s", order)
		case notRun:
			require.Zero(t, stored[order], "not run %s", order)
		default:
			require.LessOrEqual(t, stored[order], 1, "unknown %s", order)
		}
	}
	t.Logf("%d acknowledged, %d not run, %d unknown, longest gap %d ms",
		ledger.count(acknowledged), ledger.count(notRun), ledger.count(unknown), ledger.gap.Milliseconds())
	t.Logf("%.600q", ledger.seen)
}

// requireNoViolations asks every proxy that lives for its broken invariants. A
// proxy that strict checking ended does not live.
func (site *site) requireNoViolations(t *testing.T) {
	for i, address := range site.operator {
		response, err := http.Get("http://" + address + "/status")
		if err != nil {
			require.Equal(t, site.killed, i, "proxy p%d is gone: %v", i, err)
			continue
		}
		var status struct {
			Violations map[string]int `json:"violations"`
		}
		require.NoError(t, json.NewDecoder(response.Body).Decode(&status))
		require.NoError(t, response.Body.Close())
		require.Empty(t, status.Violations)
	}
}

// TestOrdersSurviveFailures writes numbered orders through two proxies while the
// primary is killed, frozen, or a proxy dies.
func TestOrdersSurviveFailures(t *testing.T) {
	cases := []struct {
		name string
		hurt func(site *site)
	}{
		{"primary killed", func(site *site) { _ = site.targets[0].Process.Kill() }},
		{"primary frozen", func(site *site) {
			_ = site.targets[0].Process.Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			_ = site.targets[0].Process.Signal(syscall.SIGCONT)
		}},
		{"proxy killed", func(site *site) {
			site.killed = 1
			_ = site.proxies[1].Process.Kill()
		}},
		{"proxy paused", func(site *site) {
			_ = site.proxies[1].Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Second)
			_ = site.proxies[1].Process.Signal(syscall.SIGCONT)
		}},
		{"primary cut from its peers", func(site *site) {
			conn, err := pgx.Connect(context.Background(), "postgres://ebonywood_control@"+site.members[0]+"/x?sslmode=disable")
			if err == nil {
				_, _ = conn.Exec(context.Background(), "select ebonywood_switch('cut', 'on')", pgx.QueryExecModeSimpleProtocol)
			}
		}},
		{"connections gone silent", func(site *site) {
			conn, err := pgx.Connect(context.Background(), "postgres://ebonywood_control@"+site.members[0]+"/x?sslmode=disable")
			if err == nil {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, _ = conn.Exec(ctx, "select ebonywood_switch('silence', 'on')", pgx.QueryExecModeSimpleProtocol)
			}
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			site := startSite(t, 2, 0)
			ledger := newLedger()
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for writer := range 4 {
				group.Go(func() { site.writeOrders(ctx, t, ledger, writer, writer%2) })
			}
			eventually(t, func() error {
				if ledger.count(acknowledged) < 50 {
					return errors.New("too few orders")
				}
				return nil
			})
			each.hurt(site)
			time.Sleep(2 * time.Second)
			before := ledger.count(acknowledged)
			eventually(t, func() error {
				if ledger.count(acknowledged) < before+50 {
					return errors.New("too few orders after the failure")
				}
				return nil
			})
			cancel()
			group.Wait()
			site.check(t, ledger)
		})
	}
}
