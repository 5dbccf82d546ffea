package hostile

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood/platform/standin"
	"github.com/ebonywood/ebonywood/test/binary"
	"github.com/ebonywood/ebonywood/test/loopback"
)

const (
	// largeItem is the name of an item whose value has largeValueSize bytes. Both are
	// stored before the crowd connects.
	largeItem      = "large"
	largeValueSize = mebibyte - 1000
	// requestTimeout bounds one ordinary request.
	requestTimeout = 10 * time.Second
)

// target is a process that a crowd connects to.
type target struct {
	process                 *process
	front, peers, operators string
	// ask sends one ordinary request on a connection of its own.
	ask func() error
}

// askUntil sends ordinary requests until one is answered, the process exits or the deadline
// has passed. It returns the error of the last one.
func (target *target) askUntil(deadline time.Time) error {
	for {
		err := target.ask()
		if err == nil || !target.process.isAlive() || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// startNode starts `ebonywood node` before the stand-in of the platform.
func startNode(t testing.TB) *target {
	platform, err := standin.New([]string{"a", "b", "c"}, 3, "alpha")
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	config, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "strict", "database": "strict", "type": "primary", "timeout-ms": 5000, "priority": 1, "backend": "alpha"}},
		"backends": []map[string]any{{"name": "alpha", "max-connections": 20, "sync-replicas": 0}},
		"limits":   map[string]any{"tx-idle-ms": 1000},
	})
	require.NoError(t, err)
	platform.Put("op/config", config)
	host := loopback.NewHost()
	settings := filepath.Join(t.TempDir(), "node.conf")
	require.NoError(t, os.WriteFile(settings, []byte(strings.Join([]string{
		"node-name=edge-0", "zone=a", "ip=" + host, "internal-ports=7440,7455",
		"listen-addrs.frontend=" + host + ":7001", "listen-addrs.ready=" + host + ":7002", "listen-addrs.control=" + host + ":7003",
		"platform.address=" + platform.Address(), "cloud.address=" + platform.Address(),
		"bounds.grace-s=4", "platform.min-ttl-ms=500",
		fmt.Sprintf("limits.memory-mb=%d", processMemoryMB), fmt.Sprintf("limits.max-fds=%d", processDescriptors),
	}, "\n")), 0o600))
	node := &target{
		process: startProcess(t, []string{"EBONYWOOD_NODE_FILE=" + settings}, "node"),
		front:   host + ":7001", peers: host + ":7003", operators: host + ":7440",
	}
	node.ask = func() error { return askLine(node.front, "READ item") }
	eventually(t, "the first request", func() error {
		return askLine(node.front, "WRITE "+largeItem+" "+strings.Repeat("v", largeValueSize))
	})
	return node
}

// askLine opens a session of the line protocol and runs one statement in it.
func askLine(address, statement string) error {
	socket, err := net.DialTimeout("tcp", address, requestTimeout)
	if err != nil {
		return err
	}
	defer socket.Close()
	if err := socket.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	reader := bufio.NewReader(socket)
	if _, err := fmt.Fprintf(socket, "START strict\r\n"); err != nil {
		return err
	}
	if err := expectPrefix(reader, "READY I"); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(socket, "QUERY ask %s\r\n", statement); err != nil {
		return err
	}
	for {
		text, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.HasPrefix(text, "ERR ") {
			return fmt.Errorf("the reply is %q", text)
		}
		if strings.HasPrefix(text, "DONE ") {
			return expectPrefix(reader, "READY I")
		}
	}
}

func expectPrefix(reader *bufio.Reader, prefix string) error {
	text, err := reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(text, prefix) {
		return fmt.Errorf("%q instead of %s", text, prefix)
	}
	return err
}

// objectsTemplate is the published object set, to be formatted with the member's address.
const objectsTemplate = `
kind: databaseGroup
name: orders
instances:
- name: a
  members:
  - {name: m0, zone: z1, address: "%s", slots: 3, connections: 20}
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

// startProxy starts `ebonywood proxy` before the stand-ins of its platform and of a member.
// The limit of its memory is that of the Go runtime.
func startProxy(t testing.TB) *target {
	host := loopback.NewHost()
	platform, member := freeAddress(t, host), freeAddress(t, host)
	startProcess(t, nil, "standin", "platform", "--listen", platform)
	startProcess(t, nil, "standin", "target", "--listen", member, "--primary")
	objects := filepath.Join(t.TempDir(), "objects.yaml")
	require.NoError(t, os.WriteFile(objects, fmt.Appendf(nil, objectsTemplate, member), 0o600))
	eventually(t, "publishing", func() error {
		output, err := exec.Command(binary.Path, "publish", "--platform", "http://"+platform, objects).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
		return nil
	})
	proxy := &target{front: freeAddress(t, host), peers: freeAddress(t, host), operators: freeAddress(t, host)}
	settings := filepath.Join(t.TempDir(), "proxy.yaml")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, "name: p0\nzone: z1\ncallerAddress: %q\noperatorAddress: %q\npeerAddress: %q\n"+
		"maxCallers: %d\nplatform:\n  addresses: [\"http://%s\"]\n",
		proxy.front, proxy.operators, proxy.peers, processDescriptors/2, platform), 0o600))
	proxy.process = startProcess(t, []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", processMemoryMB)}, "proxy", "--settings", settings)
	proxy.ask = func() error { return askPostgres(proxy.front, "select v from orders where k = $1", "item") }
	eventually(t, "the first request", func() error {
		return askPostgres(proxy.front, "insert into orders (k, v) values ($1, $2)", largeItem, strings.Repeat("v", largeValueSize))
	})
	return proxy
}

// askPostgres opens a PostgreSQL session and runs one statement in it.
func askPostgres(address, statement string, parameters ...any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://shop@"+address+"/shop?sslmode=disable")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, statement, parameters...)
	return err
}
