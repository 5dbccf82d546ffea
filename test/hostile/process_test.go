// Package hostile runs the program's own processes on loopback addresses and connects
// crowds of clients that send too much, too slowly, or nothing at all. It checks that the
// process lives, that its resident memory and its open descriptors stay under a bound, and
// that an ordinary request is answered beside the crowd or after it. It checks no times
// and no share of served requests.
package hostile

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood/test/binary"
)

const (
	// memoryMB is the memory limit in the settings of the processes, and the bound of
	// their resident memory.
	memoryMB = 96
	// maxDescriptors is the limit on descriptors in the settings of `ebonywood node`, and
	// the bound of the open descriptors of all processes.
	maxDescriptors = 512
	// leftoverDescriptors is how many more descriptors than before the crowd may be open
	// once it has disconnected, for connections to members and other proxies.
	leftoverDescriptors = 64
	// patience bounds the waits for a process. Only a failing test reaches it.
	patience     = 10 * time.Second
	pollInterval = 50 * time.Millisecond
)

// processMemoryMB and processDescriptors are the limits in the settings of the processes.
// Only measurements change them.
var processMemoryMB, processDescriptors = memoryMB, maxDescriptors

func TestMain(m *testing.M) { os.Exit(binary.Run(m)) }

// process is a running proxy.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	output  *lockedBuffer
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (buffer *lockedBuffer) Write(text []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.buffer.Write(text)
}

// tail returns the last bytes that were written.
func (buffer *lockedBuffer) tail() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	text := buffer.buffer.Bytes()
	return string(text[max(0, len(text)-2000):])
}

// startProcess runs the binary until the test ends.
func startProcess(t testing.TB, environment []string, arguments ...string) *process {
	process := &process{command: exec.Command(binary.Path, arguments...), exited: make(chan struct{}), output: &lockedBuffer{}}
	process.command.Env = append(append(os.Environ(), "EBONYWOOD_STRICT=1"), environment...)
	process.command.Stdout, process.command.Stderr = process.output, process.output
	require.NoError(t, process.command.Start())
	go func() {
		_ = process.command.Wait()
		close(process.exited)
	}()
	t.Cleanup(func() {
		_ = process.command.Process.Kill()
		<-process.exited
	})
	return process
}

// isAlive reports whether the process runs.
func (process *process) isAlive() bool {
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// memory returns the resident memory and its peak since the start, in KiB; 0 if the process
// has exited.
func (process *process) memory() (resident, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) < 2:
		case fields[0] == "VmRSS:":
			resident, _ = strconv.Atoi(fields[1])
		case fields[0] == "VmHWM:":
			peak, _ = strconv.Atoi(fields[1])
		}
	}
	return resident, peak
}

// descriptors returns the number of open descriptors.
func (process *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid))
	return len(entries)
}

// eventually calls try until it succeeds, for at most patience.
func eventually(t testing.TB, what string, try func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if err = try(); err == nil {
			return
		}
	}
	require.NoError(t, err, what)
}

// reservedAddresses holds the addresses that freeAddress has returned.
var reservedAddresses sync.Map

// freeAddress returns an address on host with a free port, each only once.
func freeAddress(t testing.TB, host string) string {
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
