// Package e2e tests the real binary, run as separate processes, with real PostgreSQL
// clients. Only tests start processes; the product never does.
package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood/test/binary"
	"github.com/ebonywood/ebonywood/test/loopback"
)

// host is the loopback address on which all processes of the tests listen. No other
// process uses it, so a port that was found free stays free until it is bound.
var host = loopback.NewHost()

func TestMain(m *testing.M) { os.Exit(binary.Run(m)) }

// reservedAddresses holds the addresses that freeAddress has returned.
var reservedAddresses sync.Map

// freeAddress returns an address on host with a free port. The system may offer the
// same port again until a process has bound it, so ports are not returned twice.
func freeAddress(t *testing.T) string {
	for {
		listener, err := net.Listen("tcp", host+":0")
		require.NoError(t, err)
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		if _, reserved := reservedAddresses.LoadOrStore(address, true); !reserved {
			return address
		}
	}
}

// start runs the binary with strict checking of invariants until the test ends.
func start(t *testing.T, arguments ...string) *exec.Cmd {
	command := exec.Command(binary.Path, arguments...)
	command.Stderr = newLogPipe(t)
	command.Env = append(os.Environ(), "EBONYWOOD_STRICT=1")
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// newLogPipe returns a file whose lines are copied to stderr if the environment
// variable VERBOSE is set, and discarded otherwise.
func newLogPipe(t *testing.T) *os.File {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	go func() {
		scanner := bufio.NewScanner(reader)
		for scanner.Scan() {
			if os.Getenv("VERBOSE") != "" {
				fmt.Fprintln(os.Stderr, scanner.Text())
			}
		}
	}()
	t.Cleanup(func() { _ = writer.Close() })
	return writer
}

// site is a deployment of processes: the platform, one instance of three members, and
// proxies.
type site struct {
	platformAddress   string
	memberAddresses   []string
	targets           []*exec.Cmd
	callerAddresses   []string
	proxies           []*exec.Cmd
	operatorAddresses []string
	peerAddresses     []string
	// killedProxy is the index of the proxy that the test killed, -1 if none.
	killedProxy int
}

// objectsTemplate is the published object set, to be formatted with the addresses of
// the three members.
const objectsTemplate = `
kind: databaseGroup
name: orders
instances:
- name: a
  members:
  - {name: m0, zone: z1, address: "%s", slots: 3, connections: 20}
  - {name: m1, zone: z2, address: "%s", slots: 3, connections: 20}
  - {name: m2, zone: z3, address: "%s", slots: 3, connections: 20}
---
kind: readPolicy
name: recent
maxAge: 2s
---
kind: route
name: shop
database: shop
group: orders
readPolicy: recent
deadline: 5s
`

// startSite starts the platform, the members and the given number of proxies, and
// publishes the object set. The first member is primary; lag is that of the replicas.
func startSite(t *testing.T, proxies int, lag time.Duration) *site {
	site := &site{platformAddress: freeAddress(t), killedProxy: -1}
	start(t, "standin", "platform", "--listen", site.platformAddress)
	for range 3 {
		site.memberAddresses = append(site.memberAddresses, freeAddress(t))
	}
	for i, address := range site.memberAddresses {
		site.targets = append(site.targets, site.startTarget(t, i, address, lag))
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "objects.yaml")
	text := fmt.Sprintf(objectsTemplate, site.memberAddresses[0], site.memberAddresses[1], site.memberAddresses[2])
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	eventually(t, func() error {
		output, err := exec.Command(binary.Path, "publish", "--platform", "http://"+site.platformAddress, file).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
		return nil
	})
	for i := range proxies {
		site.startProxy(t, dir, i)
	}
	return site
}

// startTarget starts the member with the given index; the first one is primary.
func (site *site) startTarget(t *testing.T, number int, address string, lag time.Duration) *exec.Cmd {
	var peers []string
	for i, peer := range site.memberAddresses {
		if i != number {
			peers = append(peers, peer)
		}
	}
	arguments := []string{"standin", "target", "--listen", address, "--peers", strings.Join(peers, ","), "--lag", lag.String()}
	if number == 0 {
		arguments = append(arguments, "--primary")
	}
	return start(t, arguments...)
}

// startProxy starts the proxy with the given index. The first proxy is the seed of all.
func (site *site) startProxy(t *testing.T, dir string, number int) {
	caller, operator, peer := freeAddress(t), freeAddress(t), freeAddress(t)
	settings := fmt.Sprintf("name: p%d\nzone: z%d\ncallerAddress: %q\noperatorAddress: %q\npeerAddress: %q\n"+
		"seeds: [%q]\nplatform:\n  addresses: [\"http://%s\"]\n",
		number, number+1, caller, operator, peer, append(site.peerAddresses, peer)[0], site.platformAddress)
	site.peerAddresses = append(site.peerAddresses, peer)
	file := filepath.Join(dir, fmt.Sprintf("p%d.yaml", number))
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	site.proxies = append(site.proxies, start(t, "proxy", "--settings", file))
	site.callerAddresses = append(site.callerAddresses, caller)
	site.operatorAddresses = append(site.operatorAddresses, operator)
}

func (site *site) url(proxy int) string {
	return "postgres://shop@" + site.callerAddresses[proxy] + "/shop?sslmode=disable"
}

func (site *site) connect(t *testing.T, proxy int) *pgx.Conn {
	var conn *pgx.Conn
	eventually(t, func() (err error) {
		conn, err = pgx.Connect(context.Background(), site.url(proxy))
		return err
	})
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// eventually calls try every 25 ms until it succeeds. It gives up after 10 s or more,
// a limit that only a failing test reaches.
func eventually(t *testing.T, try func() error) {
	t.Helper()
	var err error
	for range 400 {
		if err = try(); err == nil {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	require.NoError(t, err)
}

// TestReadYourWriteThroughAnotherProxy writes through one proxy and reads the write
// through another while replicas lag by 300 ms. A proxy that reads from a replica
// without a proof that it is up to date would miss the write.
func TestReadYourWriteThroughAnotherProxy(t *testing.T) {
	site := startSite(t, 2, 300*time.Millisecond)
	ctx := context.Background()
	for i := range 5 {
		writer := site.connect(t, 0)
		key, value := fmt.Sprintf("patch-%d", i), fmt.Sprintf("sealed-%d", i)
		_, err := writer.Exec(ctx, "insert into orders (k, v) values ($1, $2)", key, value)
		require.NoError(t, err)
		reader := site.connect(t, 1)
		var got string
		require.NoError(t, reader.QueryRow(ctx, "select v from orders where k = $1", key).Scan(&got))
		require.Equal(t, value, got)
	}
}
