// Command harness runs one case of the review: it starts the proxies as processes of
// their own before stand-ins of the clients, the members and the platform, and checks
// one rule by what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (record *record) line(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f ", time.Since(record.started).Seconds())
	fmt.Fprintf(record.file, format+"\n", values...)
}

// running is the fleet to stop when the run ends in whatever way.
var running *deployment

func cannotRun(reason string) {
	fmt.Fprintln(os.Stderr, "the case can't run:", reason)
	if running != nil {
		running.fleet.stop()
	}
	os.Exit(exitCannotRun)
}

// cases are the cases by name. A case returns the violations that it found.
var cases = map[string]func(record *record, trouble bool) []string{
	"smuggle": smuggle,
	"synced":  synced,
	"drain":   drain,
	"storm":   storm,
}

func main() {
	// The processes under test end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitCannotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		cannotRun(err.Error())
	}
	record := &record{file: file, started: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cannotRun("stopped by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("the time is over") })
	trouble := os.Getenv("TROUBLE") != "0"
	violations := cases[os.Args[1]](record, trouble)
	running.fleet.stop()
	for _, violation := range violations {
		record.line("BROKEN %s", violation)
	}
	if len(violations) > 0 {
		fmt.Printf("%d violations; the first: %s\n", len(violations), violations[0])
		os.Exit(exitBroken)
	}
	record.line("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
