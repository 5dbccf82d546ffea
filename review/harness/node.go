package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// memoryMB is the memory limit of a machine, as in the settings of a small deployment.
const memoryMB = 284

// node is one process of the deploy file's role on a machine of its own.
type node struct {
	name, zone, host, file string
	command                *exec.Cmd
	exited                 chan struct{}
	log                    *os.File
}

// fleet is the processes under test, before one platform.
type fleet struct {
	dir   string
	nodes []*node
}

// deployment is the stand-ins of one run, and the fleet.
type deployment struct {
	record   *record
	store    *store
	services []*service
	fleet    *fleet
	duty     *http.Server
	dutyAt   string
	version  int
	// extraRoutes are routes beside those of the services; extraDatabase is the database of
	// one more, if it is set.
	extraRoutes   int
	extraDatabase string
}

var zones = []string{"fukuoka", "kumamoto", "kagoshima"}

// start starts a platform with a number of services and of proxies, and waits until
// they are ready.
func start(record *record, proxies, services, syncReplicas int) *deployment {
	deployment := &deployment{record: record, store: newStore()}
	for i := range services {
		deployment.services = append(deployment.services, newService(record, deployment.store, fmt.Sprintf("mend%d", i+1), zones, syncReplicas))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", servePromote(deployment.services))
	listener := listen("127.0.0.1:0")
	deployment.dutyAt = listener.Addr().String()
	deployment.duty = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = deployment.duty.Serve(listener) }()
	deployment.publish()
	running = deployment
	deployment.startFleet(proxies)
	return deployment
}

// publish writes the next version of the configuration and returns its size.
func (deployment *deployment) publish() int {
	deployment.version += 3
	var routes, backends []map[string]any
	for _, service := range deployment.services {
		backends = append(backends, map[string]any{
			"name": service.name, "health-check-path": "/health", "max-connections": memberConnections, "protocol": "h1", "tls": false,
			"sync-replicas": service.syncReplicas,
		})
		routes = append(
			routes,
			map[string]any{
				"name": "r-log-" + service.name, "database": "patchlog-" + service.name, "prefix": "/", "type": "primary", "timeout-ms": 800,
				"target-latency-ms": 150, "priority": 1, "backend": service.name, "max-attempts": 2,
			},
			map[string]any{
				"name": "r-own-" + service.name, "database": "orderstatus-" + service.name, "prefix": "/", "type": "read_your_writes", "timeout-ms": 800,
				"target-latency-ms": 250, "priority": 2, "backend": service.name, "max-attempts": 2, "max-staleness-ms": 2500,
			},
		)
	}
	for i := range deployment.extraRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-x%dk7b2e", i), "database": fmt.Sprintf("fiti%dti23", i), "prefix": "/", "type": "primary",
			"timeout-ms": 800 + deployment.version%7, "target-latency-ms": 150, "priority": 1, "backend": deployment.services[0].name, "max-attempts": 2,
		})
	}
	if deployment.extraDatabase != "" {
		routes = append(routes, map[string]any{
			"name": "r-extra", "database": deployment.extraDatabase, "prefix": "/", "type": "primary", "timeout-ms": 800,
			"target-latency-ms": 150, "priority": 1, "backend": deployment.services[0].name, "max-attempts": 2,
		})
	}
	return deployment.store.put("op/config", map[string]any{
		"version": deployment.version, "routes": routes, "backends": backends, "limits": map[string]any{"tx-idle-ms": 3000},
	})
}

func (deployment *deployment) startFleet(count int) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun(err.Error())
	}
	fleet := &fleet{dir: dir}
	block := freeBlock(count)
	for i := range count {
		fleet.nodes = append(fleet.nodes, &node{
			name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), zone: zones[i%len(zones)],
			host: fmt.Sprintf("%s.%d", block, i+1), file: filepath.Join(dir, fmt.Sprintf("boot-%d.conf", i)),
		})
	}
	var seeds []string
	for _, node := range fleet.nodes[:min(3, count)] {
		seeds = append(seeds, node.host+":8782")
	}
	for _, node := range fleet.nodes {
		node.writeSettings(deployment, seeds)
		node.start()
	}
	deployment.fleet = fleet
	for _, node := range fleet.nodes {
		node.awaitReady()
	}
}

// writeSettings writes the settings file with the figures of a small deployment.
func (node *node) writeSettings(deployment *deployment, seeds []string) {
	lines := []string{
		"node-name=" + node.name, "role=proxy", "machine-class=edge", "serves=edge,control", "ip=" + node.host,
		"zone=" + node.zone, "region=kyushu", "zones.fukuoka=kyushu", "zones.kumamoto=kyushu", "zones.kagoshima=kyushu",
		"listen-addrs.frontend=" + node.host + ":8784", "listen-addrs.ready=" + node.host + ":8785", "listen-addrs.control=" + node.host + ":8782",
		"internal-ports=7440,7455", "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "in-tolerance=false",
		"limits.cpu-share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory-mb=%d", memoryMB), "limits.max-fds=4300",
		"limits.link-mbps=1000.0", "limits.disk-mb=0", "discovery=platform", "entry=vip", "heartbeat-ms=1200",
		"contracts=base,drain,config,cost,recover,sql,platform", "bounds.seed-lag-s=3", "bounds.reuse-after-s=2",
		"bounds.stable-ms=4000", "bounds.ack-ms=5000", "bounds.catch-up-s=4", "bounds.drain-ms=7000", "bounds.grace-s=6",
		"bounds.loss-slack-ms=200", "bounds.config-apply-ms=3000", "bounds.revert-slack-ms=250", "bounds.max-stretch-ms=12000",
		"bounds.recovery-s=12", "bounds.fencing-required=true", "bounds.thaw-slack-ms=300",
		"platform.address=" + deployment.store.address, "platform.form=kv", "platform.writes-per-s=400", "platform.reads-per-s=2000",
		"platform.history-retention-s=20", "platform.value-bytes=1048576", "platform.min-ttl-ms=1000",
		"cloud.address=" + deployment.dutyAt, "cloud.rate-per-s=50.0", "cloud.duties=promotion", "cloud.duty-per-s=50.0",
	}
	if err := os.WriteFile(node.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		cannotRun(err.Error())
	}
}

// start starts the process with the command of the deploy file.
func (node *node) start() {
	node.command = exec.Command("target/ebonywood", "node", "--operators-port", "7440")
	node.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EBONYWOOD_NODE_FILE=" + node.file}
	node.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(node.file+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		cannotRun(err.Error())
	}
	node.log = log
	node.command.Stdout, node.command.Stderr = log, log
	if err := node.command.Start(); err != nil {
		cannotRun("the program under test doesn't start: " + err.Error())
	}
	exited := make(chan struct{})
	node.exited = exited
	command := node.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// awaitReady waits until the readiness probe succeeds.
func (node *node) awaitReady() {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + node.host + ":8785/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun(node.name + " does not get ready")
}

func (node *node) kill() {
	_ = node.command.Process.Signal(syscall.SIGKILL)
	<-node.exited
}

// stop ends all processes and removes the temporary folder.
func (fleet *fleet) stop() {
	if fleet == nil {
		return
	}
	for _, node := range fleet.nodes {
		if node.command != nil && node.command.Process != nil {
			node.kill()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(fleet.dir)
	}
}

// freeBlock returns the first three octets of loopback addresses whose ports are free.
func freeBlock(count int) string {
	for try := range 500 {
		number := os.Getpid() + try*37
		block := fmt.Sprintf("127.%d.%d", 20+number%200, 1+number/200%250)
		if isFree(block, count) {
			return block
		}
	}
	cannotRun("no free loopback addresses")
	return ""
}

func isFree(block string, count int) bool {
	for i := range count {
		for _, port := range []int{7440, 8782, 8784, 8785} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", block, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}
