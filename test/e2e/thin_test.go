// Package e2e drives the real binary with real PostgreSQL clients. Tests start
// processes; the product never does.
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

// host is where everything listens. No other process takes a port there between its
// choice and its use.
var host = loopback.NewHost()

func TestMain(m *testing.M) { os.Exit(binary.Run(m)) }

// given holds the addresses that freeAddress has given away.
var given sync.Map

// freeAddress finds a loopback port that is free and was not given before: until
// its process has bound it, the system may offer it again.
func freeAddress(t *testing.T) string {
	for {
		listener, err := net.Listen("tcp", host+":0")
		require.NoError(t, err)
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// start runs the binary until the test ends.
func start(t *testing.T, arguments ...string) *exec.Cmd {
	command := exec.Command(binary.Path, arguments...)
	command.Stderr = logTo(t)
	command.Env = append(os.Environ(), "EBONYWOOD_STRICT=1")
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

func logTo(t *testing.T) *os.File {
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

// site is a platform, one instance of three members, and proxies.
type site struct {
	platform string
	members  []string
	targets  []*exec.Cmd
	callers  []string
	proxies  []*exec.Cmd
	operator []string
	peers    []string
	// killed is the number of the proxy that the test killed, -1 if none.
	killed int
}

const objects = `
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

func startSite(t *testing.T, proxies int, lag time.Duration) *site {
	site := &site{platform: freeAddress(t), killed: -1}
	start(t, "standin", "platform", "--listen", site.platform)
	for range 3 {
		site.members = append(site.members, freeAddress(t))
	}
	for i, address := range site.members {
		site.targets = append(site.targets, site.startTarget(t, i, address, lag))
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "objects.yaml")
	text := fmt.Sprintf(objects, site.members[0], site.members[1], site.members[2])
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	eventually(t, func() error {
		output, err := exec.Command(binary.Path, "publish", "--platform", "http://"+site.platform, file).CombinedOutput()
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

func (site *site) startTarget(t *testing.T, number int, address string, lag time.Duration) *exec.Cmd {
	var peers []string
	for i, peer := range site.members {
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

func (site *site) startProxy(t *testing.T, dir string, number int) {
	caller, operator, peer := freeAddress(t), freeAddress(t), freeAddress(t)
	settings := fmt.Sprintf("name: p%d\nzone: z%d\ncallerAddress: %q\noperatorAddress: %q\npeerAddress: %q\n"+
		"seeds: [%q]\nplatform:\n  addresses: [\"http://%s\"]\n",
		number, number+1, caller, operator, peer, append(site.peers, peer)[0], site.platform)
	site.peers = append(site.peers, peer)
	file := filepath.Join(dir, fmt.Sprintf("p%d.yaml", number))
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	site.proxies = append(site.proxies, start(t, "proxy", "--settings", file))
	site.callers = append(site.callers, caller)
	site.operator = append(site.operator, operator)
}

func (site *site) url(proxy int) string {
	return "postgres://shop@" + site.callers[proxy] + "/shop?sslmode=disable"
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

// eventually repeats until success; the limit only ends a test that is broken.
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

// TestReadYourWriteThroughAnotherProxy is the thin path: a real client writes
// through one proxy and reads its write through another, while replicas lag.
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
