// Command standins plays the cases of the second review that are scripts: it starts the
// project's proxies as processes of their own before stand-ins of the platform, of the
// members and of the clients, causes the disruption, and checks the rule.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Recorder writes what happened to the record.
type Recorder struct {
	mutex   sync.Mutex
	started time.Time
	writer  *bufio.Writer
	file    *os.File
}

// NewRecorder creates the file.
func NewRecorder(path string) *Recorder {
	file, err := os.Create(path)
	if err != nil {
		fail("%v", err)
	}
	return &Recorder{started: time.Now(), file: file, writer: bufio.NewWriter(file)}
}

// Add adds a line.
func (record *Recorder) Add(format string, details ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.writer, "%9.3f s  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, details...))
}

// Say adds a line and prints it.
func (record *Recorder) Say(format string, details ...any) {
	record.Add(format, details...)
	fmt.Printf(format+"\n", details...)
}

// Close writes what is buffered.
func (record *Recorder) Close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cleanUp ends what was started; set once there is something.
var cleanUp = func() {}

// fail ends the program because the case could not run.
func fail(format string, details ...any) {
	fmt.Fprintf(os.Stderr, "not run: "+format+"\n", details...)
	cleanUp()
	os.Exit(exitNotRun)
}

// Play is one play of a case.
type Play struct {
	record  *Recorder
	store   *Store
	world   *World
	nodes   []*Node
	trouble bool
	program string
	folder  string
	// address is that of the store, cloud the one for promotions.
	address string
	cloud   string
	// broken holds what broke the rule.
	broken []string
}

// Break records that the rule was broken.
func (play *Play) Break(format string, details ...any) {
	text := fmt.Sprintf(format, details...)
	play.broken = append(play.broken, text)
	play.record.Add("BROKEN: %s", text)
}

// zones are those of the machines, as in a small deployment.
var zones = []string{"fukuoka", "fukuoka", "fukuoka", "kumamoto", "kumamoto", "kagoshima", "kagoshima"}

var memberZones = []string{"fukuoka", "kumamoto", "kagoshima"}

// Setup starts the services, writes the configuration and starts the proxies.
func (play *Play) Setup(services ...string) {
	for _, name := range services {
		play.world.AddService(name, memberZones)
	}
	play.Configure(1, services)
	play.nodes = StartNodes(play.program, play.folder, play.address, play.cloud, zones)
	cleanUp = func() { stopNodes(play.nodes) }
}

// servePromotions serves the platform's promotions.
func (play *Play) servePromotions(host string) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		fail("%v", err)
	}
	play.cloud = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", play.world.Promote)
	go func() { _ = http.Serve(listener, mux) }()
}

// Configure writes a version of the configuration with three routes for each service.
func (play *Play) Configure(version int, services []string) {
	var routes, backends []map[string]any
	for _, name := range services {
		backends = append(backends, map[string]any{"name": name, "max-connections": maxConnections, "sync-replicas": 0})
		for _, kind := range []struct {
			name, word               string
			timeout, target, age, pr int
		}{
			{"patch", "primary", 800, 150, 0, 1},
			{"browse", "bounded_staleness", 2000, 500, 1500, 2},
			{"status", "read_your_writes", 800, 250, 2500, 2},
		} {
			routes = append(routes, map[string]any{
				"name": name + "-" + kind.name, "database": name + kind.name, "type": kind.word, "backend": name,
				"timeout-ms": kind.timeout, "target-latency-ms": kind.target, "priority": kind.pr, "max-staleness-ms": kind.age,
			})
		}
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "backends": backends, "limits": map[string]any{"tx-idle-ms": 5000}})
	play.store.Put("op/config", value)
}

var cases = map[int]func(*Play){6: caseRollback, 7: caseForeignMember, 8: caseLateOrders, 9: caseForeignService, 10: caseSettings}

func main() {
	// The proxies end with the thread that started them.
	runtime.LockOSThread()
	number := flag.Int("case", 0, "the case")
	program := flag.String("program", "target/ebonywood", "the project's program")
	path := flag.String("record", "record.txt", "the record")
	trouble := flag.Bool("trouble", true, "whether there is the disruption")
	flag.Parse()
	play := cases[*number]
	if play == nil {
		fail("no case %d", *number)
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("%v", err)
	}
	os.Exit(run1(*number, play, *program, *path, folder, *trouble))
}

func run1(number int, play func(*Play), program, path, folder string, trouble bool) int {
	defer os.RemoveAll(folder)
	record := NewRecorder(path)
	defer record.Close()
	host := freeHost()
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		fail("%v", err)
	}
	store := NewStore()
	current := &Play{
		record: record, store: store, world: NewWorld(store, host, record), trouble: trouble, program: program,
		folder: folder, address: listener.Addr().String(),
	}
	store.Serve(listener)
	current.servePromotions(host)
	time.AfterFunc(110*time.Second, func() { fail("the case takes too long") })
	play(current)
	for _, node := range current.nodes {
		for _, line := range node.Log("primary", "promote", "duty", "changeBegins", "isolated", "panic") {
			record.Add("log of %s: %s", node.name, strings.TrimSpace(line))
		}
	}
	stopNodes(current.nodes)
	if len(current.broken) == 0 {
		record.Say("case %d: the rule held", number)
		return exitHeld
	}
	record.Say("case %d: the rule was broken %d times; the first: %s", number, len(current.broken), current.broken[0])
	return exitBroken
}
