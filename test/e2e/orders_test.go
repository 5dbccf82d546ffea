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

// outcome is the result that a caller received for the write of an order.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	notRun       outcome = "not run"
	unknown      outcome = "unknown"
)

// outcomeOf derives the outcome from the error of a statement. SQLSTATE 08007 reports
// an unknown outcome; every other error from the server proves that the statement was
// not run. After any other error, such as a lost connection, the outcome is unknown.
func outcomeOf(err error) outcome {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &pgErr) && pgErr.Code != "08007":
		return notRun
	default:
		return unknown
	}
}

// ledger records the outcomes of all orders of a run. longestGap is the longest time
// between two acknowledged writes of all writers together.
type ledger struct {
	mutex            sync.Mutex
	outcomes         map[string]outcome
	lastAcknowledged time.Time
	longestGap       time.Duration
	errorTexts       []string
}

func newLedger() *ledger {
	return &ledger{outcomes: map[string]outcome{}, lastAcknowledged: time.Now()}
}

func (ledger *ledger) record(order string, outcome outcome, err error) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.outcomes[order] = outcome
	if outcome == acknowledged {
		ledger.longestGap = max(ledger.longestGap, time.Since(ledger.lastAcknowledged))
		ledger.lastAcknowledged = time.Now()
	} else {
		ledger.errorTexts = append(ledger.errorTexts, err.Error())
	}
}

func (ledger *ledger) count(outcome outcome) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	total := 0
	for _, recorded := range ledger.outcomes {
		if recorded == outcome {
			total++
		}
	}
	return total
}

// writeOrders writes numbered orders until ctx ends, and reads each acknowledged one
// back in the same session. It reconnects when the connection is closed.
func (site *site) writeOrders(ctx context.Context, t *testing.T, ledger *ledger, writer, proxy int) {
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for number := 0; ctx.Err() == nil; number++ {
		if conn == nil || conn.IsClosed() {
			newConn, err := pgx.Connect(context.Background(), site.url(proxy))
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			conn = newConn
		}
		order := fmt.Sprintf("order-%d-%d", writer, number)
		_, err := conn.Exec(context.Background(), "insert into orders (k, v) values ($1, $2)", order, "v")
		ledger.record(order, outcomeOf(err), err)
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

// checkOutcomes compares the recorded outcomes with the rows that the primary holds.
func (site *site) checkOutcomes(t *testing.T, ledger *ledger) {
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
	for order, outcome := range ledger.outcomes {
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
		ledger.count(acknowledged), ledger.count(notRun), ledger.count(unknown), ledger.longestGap.Milliseconds())
	t.Logf("%.600q", ledger.errorTexts)
}

// requireNoViolations requires that no proxy reports a violated invariant, and that
// all respond but the one that the test killed: strict checking ends a proxy on a
// violation.
func (site *site) requireNoViolations(t *testing.T) {
	for i, address := range site.operatorAddresses {
		response, err := http.Get("http://" + address + "/status")
		if err != nil {
			require.Equal(t, site.killedProxy, i, "proxy p%d does not respond: %v", i, err)
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
// primary or a proxy fails. No acknowledged order may be lost or stored twice, no order
// reported as not run may be stored, and writes must continue after the failure.
func TestOrdersSurviveFailures(t *testing.T) {
	cases := []struct {
		name   string
		inject func(site *site)
	}{
		{"primary killed", func(site *site) { _ = site.targets[0].Process.Kill() }},
		{"primary frozen", func(site *site) {
			_ = site.targets[0].Process.Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			_ = site.targets[0].Process.Signal(syscall.SIGCONT)
		}},
		{"proxy killed", func(site *site) {
			site.killedProxy = 1
			_ = site.proxies[1].Process.Kill()
		}},
		{"proxy paused", func(site *site) {
			_ = site.proxies[1].Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Second)
			_ = site.proxies[1].Process.Signal(syscall.SIGCONT)
		}},
		{"primary cut from its peers", func(site *site) {
			conn, err := pgx.Connect(context.Background(), "postgres://ebonywood_control@"+site.memberAddresses[0]+"/x?sslmode=disable")
			if err == nil {
				_, _ = conn.Exec(context.Background(), "select ebonywood_switch('cut', 'on')", pgx.QueryExecModeSimpleProtocol)
			}
		}},
		{"connections gone silent", func(site *site) {
			conn, err := pgx.Connect(context.Background(), "postgres://ebonywood_control@"+site.memberAddresses[0]+"/x?sslmode=disable")
			if err == nil {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, _ = conn.Exec(ctx, "select ebonywood_switch('silence', 'on')", pgx.QueryExecModeSimpleProtocol)
			}
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			site := startSite(t, 2, 0)
			ledger := newLedger()
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for writer := range 4 {
				group.Go(func() { site.writeOrders(ctx, t, ledger, writer, writer%2) })
			}
			eventually(t, func() error {
				if ledger.count(acknowledged) < 50 {
					return errors.New("fewer than 50 orders acknowledged")
				}
				return nil
			})
			testCase.inject(site)
			time.Sleep(2 * time.Second)
			before := ledger.count(acknowledged)
			eventually(t, func() error {
				if ledger.count(acknowledged) < before+50 {
					return errors.New("fewer than 50 orders acknowledged after the failure")
				}
				return nil
			})
			cancel()
			group.Wait()
			site.checkOutcomes(t, ledger)
		})
	}
}
