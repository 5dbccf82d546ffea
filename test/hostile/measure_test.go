package hostile

import (
	"flag"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/ebonywood/ebonywood/test/binary"
)

var (
	measuredBinary  = flag.String("binary", "", "program to measure instead of the one that is built")
	measuredClients = flag.Int("clients", 1000, "clients of each measured crowd")
	measuredMemory  = flag.Int("memory", 184, "memory limit in the settings of measured processes, in MB")
	measuredFiles   = flag.Int("files", 4300, "limit on descriptors in the settings of measured processes")
)

// BenchmarkCrowds measures the resident memory with a crowd of each kind at the callers'
// fronts, and whether an ordinary request is answered beside it. It checks nothing:
//
//	go test -run xxx -bench Crowds -benchtime 1x ./test/hostile -args -clients 1000
func BenchmarkCrowds(b *testing.B) {
	if *measuredBinary != "" {
		binary.Path = *measuredBinary
	}
	processMemoryMB, processDescriptors = *measuredMemory, *measuredFiles
	b.Cleanup(func() { processMemoryMB, processDescriptors = memoryMB, maxDescriptors })
	for program, crowds := range map[string][]crowd{"node": nodeCrowds(), "proxy": proxyCrowds()} {
		start := startNode
		if program == "proxy" {
			start = startProxy
		}
		for _, crowd := range crowds {
			b.Run(program+"/"+crowd.name, func(b *testing.B) {
				for range b.N {
					target := start(b)
					crowd.address, crowd.clients = target.front, *measuredClients
					crowd.measure(b, target)
				}
			})
		}
	}
}

// measure connects the crowd and reports the memory of the target.
func (crowd crowd) measure(b *testing.B, target *target) {
	idle, _ := target.process.memory()
	var group sync.WaitGroup
	var sockets []net.Conn
	for range crowd.clients {
		socket, err := net.DialTimeout("tcp", crowd.address, requestTimeout)
		if err != nil {
			break
		}
		_ = socket.(*net.TCPConn).SetReadBuffer(receiveBufferSize)
		sockets = append(sockets, socket)
		group.Go(func() { crowd.behave(socket) })
	}
	time.Sleep(crowdHold)
	answered := 0.0
	if target.askUntil(time.Now().Add(besideWindow)) == nil {
		answered = 1
	}
	resident, _ := target.process.memory()
	descriptors := target.process.descriptors()
	for _, socket := range sockets {
		_ = socket.Close()
	}
	group.Wait()
	_, peak := target.process.memory()
	alive := 0.0
	if target.process.isAlive() {
		alive = 1
	}
	b.ReportMetric(float64(idle>>10), "idle-MiB")
	b.ReportMetric(float64(resident>>10), "with-MiB")
	b.ReportMetric(float64(peak>>10), "peak-MiB")
	b.ReportMetric(float64(descriptors), "files")
	b.ReportMetric(float64(len(sockets)), "clients")
	b.ReportMetric(answered, "answered")
	b.ReportMetric(alive, "alive")
	b.ReportMetric(0, "ns/op")
}
