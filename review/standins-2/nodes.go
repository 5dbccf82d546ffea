package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Node is one proxy, a process of its own.
type Node struct {
	name, zone, ip string
	settings       string
	log            string
	command        *exec.Cmd
	exited         chan struct{}
}

const operatorsPort = 7440

// freeHost returns a loopback address of which the ports of a proxy are free.
func freeHost() string {
	for range 1000 {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{8782, 8784, 8785, operatorsPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return ip
		}
	}
	fail("no free loopback address")
	return ""
}

// StartNodes starts proxies, one for each of the zones given, and waits until all are ready.
func StartNodes(program, folder, platform, cloud string, zones []string) []*Node {
	var nodes []*Node
	var seeds []string
	for i, zone := range zones {
		node := &Node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: freeHost()}
		nodes = append(nodes, node)
		if i < 3 {
			seeds = append(seeds, node.ip+":8782")
		}
	}
	for _, node := range nodes {
		node.settings = filepath.Join(folder, node.name+".conf")
		node.log = filepath.Join(folder, node.name+".log")
		text := []string{
			"node-name=" + node.name, "role=proxy", "machine-class=edge", "serves=edge,control", "ip=" + node.ip,
			"zone=" + node.zone, "region=kyushu", "zones.fukuoka=kyushu", "zones.kumamoto=kyushu", "zones.kagoshima=kyushu",
			"listen-addrs.frontend=" + node.ip + ":8784", "listen-addrs.ready=" + node.ip + ":8785",
			"listen-addrs.control=" + node.ip + ":8782", "internal-ports=7440,7455", "seeds=" + strings.Join(seeds, ","),
			"bootstrap=true", "limits.cpu-share=0.4", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4300",
			"limits.link-mbps=1000.0", "limits.disk-mb=0", "discovery=platform", "entry=vip", "heartbeat-ms=1200",
			"contracts=base,drain,config,cost,recover,sql,platform", "bounds.seed-lag-s=3", "bounds.reuse-after-s=2",
			"bounds.stable-ms=4000", "bounds.ack-ms=5000", "bounds.catch-up-s=4", "bounds.drain-ms=7000", "bounds.grace-s=6",
			"bounds.loss-slack-ms=200", "bounds.config-apply-ms=3000", "bounds.revert-slack-ms=250", "bounds.max-stretch-ms=12000",
			"bounds.recovery-s=12", "bounds.fencing-required=true", "bounds.thaw-slack-ms=300", "platform.address=" + platform,
			"platform.form=kv", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-retention-s=20",
			"platform.value-bytes=1048576", "platform.min-ttl-ms=1000", "cloud.address=" + cloud, "cloud.rate-per-s=50.0",
			"cloud.duties=promotion", "cloud.duty-per-s=50.0", "",
		}
		if err := os.WriteFile(node.settings, []byte(strings.Join(text, "\n")), 0o600); err != nil {
			fail("%v", err)
		}
		node.Start(program)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, node := range nodes {
		for !node.IsReady() {
			if time.Now().After(deadline) {
				stopNodes(nodes)
				fail("proxy %s is not ready", node.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nodes
}

// Start starts the process as the deploy file says.
func (node *Node) Start(program string) {
	command := exec.Command(program, "node", "--operators-port", fmt.Sprint(operatorsPort))
	command.Env = append(os.Environ(), "EBONYWOOD_NODE_FILE="+node.settings)
	output, err := os.OpenFile(node.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		fail("%v", err)
	}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fail("%v", err)
	}
	exited := make(chan struct{})
	node.command, node.exited = command, exited
	go func() {
		_ = command.Wait()
		output.Close()
		close(exited)
	}()
}

var probe = http.Client{Timeout: time.Second}

// IsReady asks the proxy whether it is ready.
func (node *Node) IsReady() bool {
	response, err := probe.Get("http://" + node.ip + ":8785/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Front is the address for clients.
func (node *Node) Front() string { return node.ip + ":8784" }

// Log returns the lines of the proxy's log that contain one of the words.
func (node *Node) Log(words ...string) (lines []string) {
	content, _ := os.ReadFile(node.log)
	for line := range bytes.SplitSeq(content, []byte("\n")) {
		for _, word := range words {
			if bytes.Contains(line, []byte(word)) {
				lines = append(lines, string(line))
				break
			}
		}
	}
	return lines
}

// stopNodes ends all proxies.
func stopNodes(nodes []*Node) {
	for _, node := range nodes {
		if node.command != nil {
			_ = node.command.Process.Kill()
		}
	}
	for _, node := range nodes {
		if node.command != nil {
			<-node.exited
		}
	}
}
