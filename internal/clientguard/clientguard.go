// Package clientguard keeps the clients of a listener within the limits of the process:
// the memory that their messages and replies hold, the connections in start-up, and the
// time for a message and for a reply. Both callers' fronts and the listeners for other
// proxies use it.
//
// A connection whose message fits into its read buffer costs nothing here. A longer one
// draws from the memory budget as it grows. Where the budget is short, the connection is
// not read for a while; after that, the connection that holds most and moves least is
// closed.
package clientguard

import (
	"container/list"
	"crypto/tls"
	"math"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/linebudget"
	"github.com/ebonywood/ebonywood/internal/memorybudget"
)

const (
	// freeSize is the size in bytes of messages and replies that are not counted. The read
	// buffer of a connection holds no more, and a reply of that size fits into the buffers of
	// the system.
	freeSize = 4 << 10
	// workFactor is how many copies of a message exist while it is run, beside the buffer
	// that it was read into: its text, the request to the member and the reply.
	workFactor = 3
	// writeSize is the size in bytes of one write of a reply, to which writeTimeout applies.
	writeSize = 64 << 10
	// systemBufferSize is the size in bytes of the receive and of the send buffer of a
	// connection; 128 KiB carry 40 MB/s over a round trip of 3 ms.
	systemBufferSize = 128 << 10
	// finalWriteTimeout bounds the error that a connection receives before it is closed.
	finalWriteTimeout = 200 * time.Millisecond
	// tryWriteTimeout bounds a write that holds a slot of a member.
	tryWriteTimeout = 5 * time.Millisecond
	// memoryAttempts is how often a connection waits for memory before it gives up.
	memoryAttempts = 20
	// assumedMemory is the memory of a process without a limit, in bytes.
	assumedMemory = 1 << 30
	// minBudget is the least size of a budget in bytes: with less, a message of 1 MiB could
	// never be run.
	minBudget  = 20 << 20
	bytesPerMB = 1 << 20
)

// memorySettings is implemented by settings that hold the memory limit of the process in
// MB, 0 for none.
type memorySettings interface {
	MemoryMB() int64
}

// budgetSource is implemented by a port with a budget that all its edges share.
type budgetSource interface {
	MemoryBudget() *memorybudget.Budget
}

// NewBudget returns the budget that follows from the memory limit of the settings, or else
// from that of the Go runtime.
func NewBudget(settings ebonywood.Settings) *memorybudget.Budget {
	memory := int64(0)
	if source, ok := settings.(memorySettings); ok {
		memory = source.MemoryMB() * bytesPerMB
	}
	if memory <= 0 {
		// A negative value only reads the limit, which GOMEMLIMIT sets.
		memory = debug.SetMemoryLimit(-1)
	}
	if memory == math.MaxInt64 {
		memory = assumedMemory
	}
	share := settings.Limits().Share(ebonywood.LimitClientMemory)
	return memorybudget.New(max(minBudget, int64(share*float64(memory))))
}

// Guard holds the limits for the connections of one listener.
type Guard struct {
	listener string
	budget   *memorybudget.Budget
	log      logr.Logger
	metrics  tally.Scope
	lines    *linebudget.Budget
	// waits counts messages that waited for memory.
	waits tally.Counter
	// maxMessage is the size in bytes of the largest message.
	maxMessage     int
	memoryWait     time.Duration
	startTimeout   time.Duration
	messageTimeout time.Duration
	writeTimeout   time.Duration
	maxStarting    int

	mutex sync.Mutex
	// starting holds the connections in start-up, the oldest first.
	starting *list.List
}

// New returns the guard of a listener, which metrics and log lines name, for at most
// maxConnections connections.
func New(port ebonywood.Port, listener string, maxConnections int) *Guard {
	settings := port.Settings()
	limits := settings.Limits()
	budget := (*memorybudget.Budget)(nil)
	if source, ok := port.(budgetSource); ok {
		budget = source.MemoryBudget()
	}
	if budget == nil {
		budget = NewBudget(settings)
	}
	maxHeld := min(budget.MaxHeld(), int64(limits.Count(ebonywood.LimitConnectionMemory)))
	return &Guard{
		listener: listener, budget: budget, log: port.Log(), metrics: port.Metrics(),
		lines:          linebudget.New(limits.Count(ebonywood.LimitRequestLinesPerSecond), port.Metrics(), "client closed"),
		waits:          port.Metrics().Tagged(map[string]string{"listener": listener}).Counter("memoryWaits"),
		maxMessage:     int(maxHeld / (workFactor + 1)),
		memoryWait:     limits.Duration(ebonywood.LimitMemoryWait),
		startTimeout:   limits.Duration(ebonywood.LimitStartTimeout),
		messageTimeout: limits.Duration(ebonywood.LimitMessageTimeout),
		writeTimeout:   limits.Duration(ebonywood.LimitWriteTimeout),
		maxStarting:    max(1, int(limits.Share(ebonywood.LimitStartUpShare)*float64(maxConnections))),
		starting:       list.New(),
	}
}

// Accept returns the account of a connection that was accepted. It is in start-up until
// Started. If too many are, the oldest one is closed.
func (guard *Guard) Accept(socket net.Conn) *Conn {
	boundSystemBuffers(socket)
	conn := &Conn{guard: guard, socket: socket, closed: make(chan struct{})}
	conn.account = guard.budget.NewAccount(conn.evict)
	_ = socket.SetDeadline(time.Now().Add(guard.startTimeout))
	guard.mutex.Lock()
	conn.element = guard.starting.PushBack(conn)
	oldest := (*Conn)(nil)
	if guard.starting.Len() > guard.maxStarting {
		oldest = guard.starting.Remove(guard.starting.Front()).(*Conn)
		oldest.element = nil
	}
	guard.mutex.Unlock()
	if oldest != nil {
		oldest.closeFor(whyStartUps)
	}
	return conn
}

// bufferedSocket is implemented by sockets with buffers in the system.
type bufferedSocket interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// boundSystemBuffers bounds what the system holds for a connection. Its own bounds are several
// megabytes, which a crowd that sends more than is read, or reads no replies, would fill.
func boundSystemBuffers(socket net.Conn) {
	if counted, ok := socket.(*countedConn); ok {
		socket = counted.Conn
	}
	if encrypted, ok := socket.(*tls.Conn); ok {
		socket = encrypted.NetConn()
	}
	if buffered, ok := socket.(bufferedSocket); ok {
		_ = buffered.SetReadBuffer(systemBufferSize)
		_ = buffered.SetWriteBuffer(systemBufferSize)
	}
}

// leaveStartUp removes a connection from those in start-up.
func (guard *Guard) leaveStartUp(conn *Conn) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if conn.element != nil {
		guard.starting.Remove(conn.element)
		conn.element = nil
	}
}

// evictHeaviest asks the connection that holds most for a purpose and moves least to close,
// and reports whether there is one.
func (guard *Guard) evictHeaviest(purpose memorybudget.Purpose) bool {
	heaviest := guard.budget.Heaviest(time.Now().UnixNano(), purpose)
	return heaviest != nil && heaviest.Evict()
}

// record counts and logs a closed connection.
func (guard *Guard) record(why reason, held int64) {
	guard.metrics.Tagged(map[string]string{"listener": guard.listener, "why": string(why)}).Counter("clientsClosed").Inc(1)
	guard.lines.Line(guard.log, "client closed", "listener", guard.listener, "why", string(why),
		"heldBytes", held, "allHeldBytes", guard.budget.Held(), "budgetBytes", guard.budget.Limit())
}
