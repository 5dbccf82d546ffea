package targetserver

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
)

// rowsPerFlush bounds the rows of a large result that are buffered in memory.
const rowsPerFlush = 256

// perform runs one statement and reports whether the rest of the batch may run.
func (session *session) perform(ctx context.Context, parsed statement) bool {
	if session.transactionStatus == statusFailed && parsed.verb != verbCommit && parsed.verb != verbRollback {
		session.fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
		return false
	}
	if parsed.isControl() {
		return session.performControl(ctx, parsed)
	}
	session.server.statementCount.Add(1)
	if !session.acquireSlot(ctx) {
		return false
	}
	defer func() { <-session.server.slotSemaphore }()
	switch parsed.verb {
	case verbBegin, verbCommit, verbRollback, verbSession, verbShow, verbSet, verbReset:
		return session.performSession(parsed)
	case verbInsert:
		return session.insert(parsed)
	case verbCopyIn:
		return session.copyIn()
	case verbCopyOut:
		return session.copyOut()
	default:
		return session.read(ctx, parsed)
	}
}

// acquireSlot waits for a slot, then for the service time. It reports whether it
// acquired the slot, which perform releases after the statement.
func (session *session) acquireSlot(ctx context.Context) bool {
	select {
	case session.server.slotSemaphore <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	sleep(ctx, session.server.serviceTime)
	return true
}

// performSession runs a statement that controls the transaction or the settings.
func (session *session) performSession(parsed statement) bool {
	switch parsed.verb {
	case verbBegin:
		session.transactionStatus = statusOpen
	case verbCommit:
		if session.transactionStatus == statusFailed {
			session.transactionStatus = statusIdle
			session.sendComplete("ROLLBACK")
			return true
		}
		session.transactionStatus = statusIdle
		if !session.commit() {
			return false
		}
	case verbRollback:
		session.transactionStatus = statusIdle
		session.pending = nil
	case verbSet:
		session.settings[strings.ToLower(parsed.args[0])] = parsed.args[1]
	case verbReset:
		clear(session.settings)
	case verbShow:
		session.sendRow(session.settings[strings.ToLower(parsed.args[0])])
	}
	session.sendComplete(parsed.tag)
	return true
}

func (session *session) insert(parsed statement) bool {
	if !session.server.IsPrimary() {
		session.fail("25006", "cannot execute INSERT in a read-only transaction")
		return false
	}
	session.pending = append(session.pending, [2]string{parsed.args[0], parsed.args[1]})
	if session.transactionStatus == statusIdle && !session.implicitTransaction && !session.commit() {
		return false
	}
	session.sendComplete("INSERT 0 1")
	return true
}

func (session *session) read(ctx context.Context, parsed statement) bool {
	switch parsed.verb {
	case verbSelectKey:
		values := session.server.Values(parsed.args[0])
		for _, value := range values {
			session.sendRow(value)
		}
		session.sendComplete(fmt.Sprintf("SELECT %d", len(values)))
	case verbCount:
		session.sendRow(strconv.Itoa(session.server.count()))
		session.sendComplete("SELECT 1")
	case verbSeries:
		return session.generateSeries(parsed)
	case verbSleep:
		return session.pgSleep(ctx, parsed)
	default:
		session.sendRow(parsed.args[0])
		session.sendComplete("SELECT 1")
	}
	return true
}

// count returns the number of visible rows.
func (server *Server) count() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	total := 0
	server.journal.Keys(func(_ string, values []string) { total += len(values) })
	return total
}

// generateSeries sends the numbers from 1 to the argument.
func (session *session) generateSeries(parsed statement) bool {
	end, err := strconv.Atoi(parsed.args[0])
	if err != nil {
		session.fail("22P02", "the argument of generate_series must be an integer")
		return false
	}
	for i := 1; i <= end; i++ {
		session.sendRow(strconv.Itoa(i))
		if i%rowsPerFlush == 0 && session.backend.Flush() != nil {
			return false
		}
	}
	session.sendComplete(fmt.Sprintf("SELECT %d", end))
	return true
}

// pgSleep waits for the given seconds or until the statement is canceled.
func (session *session) pgSleep(ctx context.Context, parsed statement) bool {
	seconds, err := strconv.ParseFloat(parsed.args[0], 64)
	if err != nil {
		session.fail("22P02", "the argument of pg_sleep must be a number of seconds")
		return false
	}
	select {
	case <-session.cancelRequested:
		session.fail("57014", "canceling statement due to user request")
		return false
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	}
	session.sendRow("")
	session.sendComplete("SELECT 1")
	return true
}

// copyOut sends all visible rows as tab-separated lines.
func (session *session) copyOut() bool {
	session.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	var lines []string
	session.server.mutex.Lock()
	session.server.journal.Keys(func(key string, values []string) {
		for _, value := range values {
			lines = append(lines, key+"\t"+value+"\n")
		}
	})
	session.server.mutex.Unlock()
	for _, line := range lines {
		session.backend.Send(&pgproto3.CopyData{Data: []byte(line)})
	}
	session.backend.Send(&pgproto3.CopyDone{})
	session.sendComplete(fmt.Sprintf("COPY %d", len(lines)))
	return true
}

// copyIn receives tab-separated lines and stores them as rows.
func (session *session) copyIn() bool {
	if !session.server.IsPrimary() {
		session.fail("25006", "cannot execute COPY FROM in a read-only transaction")
		return false
	}
	session.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if session.backend.Flush() != nil {
		return false
	}
	var text strings.Builder
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return false
		}
		switch message := message.(type) {
		case *pgproto3.CopyData:
			text.Write(message.Data)
		case *pgproto3.CopyFail:
			session.fail("57014", "COPY from stdin failed: "+message.Message)
			return false
		case *pgproto3.CopyDone:
			return session.storeLines(strings.Split(strings.TrimSpace(text.String()), "\n"))
		}
	}
}

func (session *session) storeLines(lines []string) bool {
	for _, line := range lines {
		key, value, _ := strings.Cut(line, "\t")
		session.pending = append(session.pending, [2]string{key, value})
	}
	if session.transactionStatus == statusIdle && !session.commit() {
		return false
	}
	session.sendComplete(fmt.Sprintf("COPY %d", len(lines)))
	return true
}

// performControl runs a control function of the platform. Control functions need
// no slot.
func (session *session) performControl(ctx context.Context, parsed statement) bool {
	server := session.server
	switch parsed.verb {
	case verbReceive:
		matched, err := server.receive(parsed.args[0])
		if err != nil {
			session.fail("55000", err.Error())
			return false
		}
		result := "apart"
		if matched {
			result = "matched"
		}
		session.sendRow(result)
		session.sendComplete("SELECT 1")
		return true
	case verbActivity:
		session.sendRow(server.activity(parsed.args[0]))
		session.sendComplete("SELECT 1")
		return true
	case verbSwitch:
		return session.setSwitch(parsed.args[0], parsed.args[1])
	case verbConfirm:
		return session.confirm(ctx, parsed)
	case verbFence:
		return session.sendStatus(server.fence(parsed.args[0], parsed.args[1]))
	case verbPromote:
		return session.sendStatus(server.promote(parsed.args[0], parsed.args[1]))
	default:
		server.mutex.Lock()
		status := server.statusLocked()
		server.mutex.Unlock()
		return session.sendStatus(status, nil)
	}
}

// activity returns "active" if the connection with the process id is running a
// statement, "idle" if it is not, and "none" if there is no such connection.
func (server *Server) activity(pid string) string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for session := range server.sessions {
		if strconv.FormatUint(uint64(session.pid), 10) == pid {
			if session.busy.Load() {
				return "active"
			}
			return "idle"
		}
	}
	return "none"
}

// confirm waits until the log is stored up to the given position, for at most the
// given milliseconds, and sends the member's status.
func (session *session) confirm(ctx context.Context, parsed statement) bool {
	floor, err := ebonywood.ParsePosition(parsed.args[0] + "/" + parsed.args[1])
	if err != nil {
		session.fail("22023", err.Error())
		return false
	}
	timeoutMillis, err := strconv.Atoi(parsed.args[2])
	if err != nil {
		session.fail("22023", "the third argument must be a timeout in milliseconds")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeoutMillis)*time.Millisecond)
	defer cancel()
	return session.sendStatus(session.server.confirm(ctx, floor))
}

func (server *Server) fence(term, holder string) (ebonywood.Status, error) {
	parsedTerm, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return ebonywood.Status{}, err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	err = server.journal.Fence(ebonywood.Term(parsedTerm), holder)
	server.wakeWaiters()
	return server.statusLocked(), err
}

func (server *Server) promote(term, holder string) (ebonywood.Status, error) {
	parsedTerm, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return ebonywood.Status{}, err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	err = server.journal.Promote(ebonywood.Term(parsedTerm), holder)
	server.wakeWaiters()
	return server.statusLocked(), err
}

// setSwitch injects a fault by SQL, for tests that run the stand-in as a separate
// process. The value of "lag" is in milliseconds, that of "cut" is "on" or "off".
// "silence" ignores its value. "crest" changes nothing and returns the peak number of
// connections and the number of refused ones, as "peak/refused".
func (session *session) setSwitch(name, value string) bool {
	millis, _ := strconv.Atoi(value)
	switch name {
	case "lag":
		session.server.SetLag(time.Duration(millis) * time.Millisecond)
	case "cut":
		session.server.SetPartitioned(value == "on")
	case "silence":
		session.server.Silence()
	case "crest":
		peak, refused := session.server.ConnectionCounts()
		value = fmt.Sprintf("%d/%d", peak, refused)
	default:
		session.fail("22023", fmt.Sprintf("no switch %q; use lag, cut, silence or crest", name))
		return false
	}
	session.sendRow(value)
	session.sendComplete("SELECT 1")
	return true
}
