package clientguard

import (
	"container/list"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/memorybudget"
)

// reason is why a connection is closed.
type reason string

const (
	// whyMemory: the budget was short, and this connection held most and moved least.
	whyMemory reason = "memory"
	// whyNoMemory: the message found no memory.
	whyNoMemory reason = "noMemory"
	// whyTooLarge: the message is larger than what one connection may hold.
	whyTooLarge reason = "tooLarge"
	// whyMessageTimeout: the message was not complete in time.
	whyMessageTimeout reason = "messageTimeout"
	// whyWriteTimeout: the client did not take its reply.
	whyWriteTimeout reason = "writeTimeout"
	// whyStartTimeout: the start-up was not complete in time.
	whyStartTimeout reason = "startTimeout"
	// whyStartUps: too many connections were in start-up.
	whyStartUps reason = "startUps"
	// whyClosed: this process closes the connection for another reason, which is not recorded.
	whyClosed reason = "closed"
	// whyConnections: too many connections were open.
	whyConnections reason = "connections"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Conn is the account of one connection. Its methods belong to the goroutine that serves
// the connection, except StopReading.
type Conn struct {
	guard   *Guard
	socket  net.Conn
	account *memorybudget.Account
	// element is the connection's place among those in start-up, nil if it has none; the
	// guard's mutex guards it.
	element *list.Element
	// started reports that the start-up has ended.
	started bool
	// partial reports that a part of a message has arrived and the rest has not.
	partial bool
	// recorded reports that the reason of the close was recorded.
	recorded atomic.Bool

	// mutex guards the fields below, which other goroutines use.
	mutex sync.Mutex
	// waiting reports that the connection waits for its client, and may be closed.
	waiting bool
	// stopped reports that the read deadline has been set to the past for good.
	stopped bool
	// closedFor is why another goroutine closes the connection, or empty.
	closedFor reason
	// closed is closed when closedFor is set.
	closed chan struct{}
}

var _ ebonywood.MessageMeter = (*Conn)(nil)

// Started ends the start-up.
func (conn *Conn) Started() {
	conn.guard.leaveStartUp(conn)
	conn.started = true
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.partial = false
	conn.setWaiting(false)
	if !conn.stopped {
		_ = conn.socket.SetDeadline(time.Time{})
	}
}

// StopReading makes the present and each later read fail. It may be called by any goroutine.
func (conn *Conn) StopReading() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stopped = true
	_ = conn.socket.SetReadDeadline(past)
}

// closeFor makes reads and writes fail.
func (conn *Conn) closeFor(why reason) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.setClosed(why)
}

// evict closes the connection unless it has stopped waiting for its client since it was
// chosen, and reports whether it did.
func (conn *Conn) evict() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.waiting {
		conn.setClosed(whyMemory)
	}
	return conn.waiting
}

// setClosed makes reads and writes fail; the mutex is held.
func (conn *Conn) setClosed(why reason) {
	if conn.closedFor != "" {
		return
	}
	conn.closedFor = why
	conn.stopped = true
	_ = conn.socket.SetDeadline(past)
	close(conn.closed)
}

// setWaiting records whether the connection waits for its client.
func (conn *Conn) setWaiting(waiting bool) {
	if waiting {
		conn.account.Wait(time.Now().UnixNano())
	} else {
		conn.account.Run()
	}
	conn.waiting = waiting
}

// MessageBegun sets the time limit of a message whose first part has arrived.
func (conn *Conn) MessageBegun() {
	if conn.partial {
		return
	}
	conn.partial = true
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.setWaiting(true)
	if conn.started && !conn.stopped {
		_ = conn.socket.SetReadDeadline(time.Now().Add(conn.guard.messageTimeout))
	}
}

// GrowMessage draws the memory for a message buffer of size bytes. It waits while the
// budget is short. A nil connection has no limits.
func (conn *Conn) GrowMessage(size int) error {
	if conn == nil || size <= freeSize {
		return nil
	}
	if size > conn.guard.maxMessage {
		conn.record(whyTooLarge)
		return tooLarge()
	}
	return conn.draw(int64(size)-conn.account.Held(memorybudget.Intake), memorybudget.Intake)
}

// MessageRead ends the reading of a message of size bytes and draws the memory for running
// it. An error means that it must not be run. A nil connection has no limits.
func (conn *Conn) MessageRead(size int) error {
	if conn == nil {
		return nil
	}
	if conn.partial {
		conn.partial = false
		if !conn.endWait() {
			conn.record(whyMemory)
			return noMemory()
		}
	}
	if size <= freeSize {
		return nil
	}
	if size > conn.guard.maxMessage {
		conn.record(whyTooLarge)
		return tooLarge()
	}
	return conn.draw(int64(size*workFactor)-conn.account.Held(memorybudget.Work), memorybudget.Work)
}

// endWait ends a wait for the client and the time limit of the message. It reports false if
// the connection was closed in the meantime.
func (conn *Conn) endWait() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.setWaiting(false)
	if conn.started && !conn.stopped {
		_ = conn.socket.SetReadDeadline(time.Time{})
	}
	return conn.closedFor == ""
}

// draw adds bytes to the account. While the budget is short it waits for memoryWait, then
// asks the heaviest connection to close, and tries again.
func (conn *Conn) draw(bytes int64, purpose memorybudget.Purpose) error {
	if bytes <= 0 || conn.account.Draw(bytes, purpose) {
		return nil
	}
	conn.guard.waits.Inc(1)
	budget := conn.guard.budget
	timer := time.NewTimer(conn.guard.memoryWait)
	defer timer.Stop()
	for attempt := 0; attempt < memoryAttempts; {
		if budget.ClaimCollection() {
			runtime.GC()
			budget.Collected()
		}
		room := budget.Room()
		if conn.account.Draw(bytes, purpose) {
			return nil
		}
		select {
		case <-room:
		case <-conn.closed:
			conn.record(whyMemory)
			return noMemory()
		case <-timer.C:
			if budget.IsShort(bytes, purpose) {
				conn.guard.evictHeaviest(purpose)
			}
			attempt++
			timer.Reset(conn.guard.memoryWait)
		}
	}
	conn.record(whyNoMemory)
	return noMemory()
}

// Keep changes what the session keeps by bytes, and reports whether there is memory for that.
// A nil connection has no limits.
func (conn *Conn) Keep(bytes int64) bool {
	if conn == nil {
		return true
	}
	if bytes <= 0 {
		conn.account.Return(-bytes, memorybudget.Kept)
		return true
	}
	return conn.account.Draw(bytes, memorybudget.Kept)
}

// Release gives the memory of the last message and its reply back.
func (conn *Conn) Release() {
	if conn.account.Held(memorybudget.Intake)+conn.account.Held(memorybudget.Work) == 0 {
		return
	}
	conn.account.Return(conn.account.Held(memorybudget.Intake), memorybudget.Intake)
	conn.account.Return(conn.account.Held(memorybudget.Work), memorybudget.Work)
}

// Write writes a reply in parts, each within the time limit for writes. A reply that is not
// taken at once counts as held, and the connection may be closed for it. socket is the
// connection or what encrypts it.
func (conn *Conn) Write(socket net.Conn, reply []byte) error {
	if len(reply) <= freeSize {
		return conn.writePart(socket, reply)
	}
	conn.ChargeReply(len(reply))
	conn.mutex.Lock()
	conn.setWaiting(true)
	conn.mutex.Unlock()
	conn.makeRoom()
	err := error(nil)
	for len(reply) > 0 && err == nil {
		part := reply[:min(len(reply), writeSize)]
		reply = reply[len(part):]
		err = conn.writePart(socket, part)
	}
	conn.mutex.Lock()
	conn.setWaiting(false)
	conn.mutex.Unlock()
	return err
}

// ChargeReply counts a reply of size bytes as held until Release.
func (conn *Conn) ChargeReply(size int) {
	if more := int64(size) - conn.account.Held(memorybudget.Work); size > freeSize && more > 0 {
		conn.account.Charge(more)
	}
}

// makeRoom closes connections that wait for their clients while replies exceed the budget.
func (conn *Conn) makeRoom() {
	for conn.guard.budget.IsExceeded() && conn.guard.evictHeaviest(memorybudget.Work) {
	}
}

// TryWrite writes as much of a reply as the client takes at once, and returns the rest. The
// time that it waits is too short for the slot of a member that the reply holds to matter.
func (conn *Conn) TryWrite(reply []byte) (rest []byte, err error) {
	conn.mutex.Lock()
	if conn.closedFor == "" {
		_ = conn.socket.SetWriteDeadline(time.Now().Add(tryWriteTimeout))
	}
	conn.mutex.Unlock()
	written, err := conn.socket.Write(reply)
	rest = reply[written:]
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn.ChargeReply(len(rest))
		return rest, nil
	}
	return rest, err
}

// writePart makes one write within the time limit.
func (conn *Conn) writePart(socket net.Conn, part []byte) error {
	conn.mutex.Lock()
	closedFor := conn.closedFor
	timeout := conn.guard.writeTimeout
	if closedFor != "" {
		timeout = finalWriteTimeout
	}
	_ = conn.socket.SetWriteDeadline(time.Now().Add(timeout))
	conn.mutex.Unlock()
	_, err := socket.Write(part)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn.record(whyWriteTimeout)
	}
	return err
}

// ReadFailed records the reason of a failed read, and returns the error to send to the
// client, or nil if there is none to send.
func (conn *Conn) ReadFailed(err error) *ebonywood.Fault {
	conn.mutex.Lock()
	closedFor := conn.closedFor
	conn.mutex.Unlock()
	switch {
	case closedFor == whyMemory:
		conn.record(closedFor)
		return noMemory()
	case closedFor != "":
		conn.record(closedFor)
		return ebonywood.NewFault(ebonywood.KindOverload, "too many connections are in start-up", "connect again")
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	case !conn.started:
		conn.record(whyStartTimeout)
	case conn.partial:
		conn.record(whyMessageTimeout)
	}
	return nil
}

// record records why the connection is closed, once.
func (conn *Conn) record(why reason) {
	conn.mutex.Lock()
	if conn.closedFor != "" {
		why = conn.closedFor
	}
	conn.mutex.Unlock()
	if why == whyClosed || conn.recorded.Swap(true) {
		return
	}
	conn.guard.record(why, conn.account.Held(memorybudget.Intake)+conn.account.Held(memorybudget.Work)+conn.account.Held(memorybudget.Kept))
}

// Close ends the account. The socket is closed by its owner.
func (conn *Conn) Close() {
	conn.guard.leaveStartUp(conn)
	conn.account.Close()
}

func tooLarge() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindTooLarge, "the message is larger than one connection may hold", "send smaller messages")
}

func noMemory() *ebonywood.Fault {
	return ebonywood.NewFault(ebonywood.KindNoMemory, "the memory for messages is used up; nothing was run", "send the request again later")
}

// peerMessageRead ends the reading of messages of another proxy, which are run from now on.
func (conn *Conn) peerMessageRead() error {
	if !conn.partial && conn.account.Held(memorybudget.Intake) == 0 {
		return nil
	}
	conn.partial = false
	if !conn.endWait() {
		conn.record(whyMemory)
		return noMemory()
	}
	return nil
}

// repliedToPeer records that a connection with large buffers waits for the other proxy. It is
// called by the goroutine that writes.
func (conn *Conn) repliedToPeer() {
	if conn.account.Held(memorybudget.Intake) == 0 {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.setWaiting(true)
}
