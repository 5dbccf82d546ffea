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

// rowsPerFlush bounds what a large result holds in memory.
const rowsPerFlush = 256

// perform runs one statement and reports whether the batch goes on.
func (each *session) perform(ctx context.Context, parsed statement) bool {
	if each.status == statusFailed && parsed.verb != verbCommit && parsed.verb != verbRollback {
		each.fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
		return false
	}
	if parsed.isControl() {
		return each.performControl(ctx, parsed)
	}
	each.server.statements.Add(1)
	if !each.takeSlot(ctx) {
		return false
	}
	defer func() { <-each.server.slot }()
	switch parsed.verb {
	case verbBegin, verbCommit, verbRollback, verbSession, verbShow, verbSet, verbReset:
		return each.performSession(parsed)
	case verbInsert:
		return each.insert(parsed)
	case verbCopyIn:
		return each.copyIn()
	case verbCopyOut:
		return each.copyOut()
	default:
		return each.read(ctx, parsed)
	}
}

// takeSlot waits for a slot and holds it for the service time.
func (each *session) takeSlot(ctx context.Context) bool {
	select {
	case each.server.slot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	sleep(ctx, each.server.serviceTime)
	return true
}

func (each *session) performSession(parsed statement) bool {
	switch parsed.verb {
	case verbBegin:
		each.status = statusOpen
	case verbCommit:
		if each.status == statusFailed {
			each.status = statusIdle
			each.complete("ROLLBACK")
			return true
		}
		each.status = statusIdle
		if !each.commit() {
			return false
		}
	case verbRollback:
		each.status = statusIdle
		each.pending = nil
	case verbSet:
		each.settings[strings.ToLower(parsed.args[0])] = parsed.args[1]
	case verbReset:
		clear(each.settings)
	case verbShow:
		each.row(each.settings[strings.ToLower(parsed.args[0])])
	}
	each.complete(parsed.tag)
	return true
}

func (each *session) insert(parsed statement) bool {
	if !each.server.IsPrimary() {
		each.fail("25006", "cannot execute INSERT in a read-only transaction")
		return false
	}
	each.pending = append(each.pending, [2]string{parsed.args[0], parsed.args[1]})
	if each.status == statusIdle && !each.implicit && !each.commit() {
		return false
	}
	each.complete("INSERT 0 1")
	return true
}

func (each *session) read(ctx context.Context, parsed statement) bool {
	switch parsed.verb {
	case verbSelectKey:
		values := each.server.Values(parsed.args[0])
		for _, value := range values {
			each.row(value)
		}
		each.complete(fmt.Sprintf("SELECT %d", len(values)))
	case verbCount:
		each.row(strconv.Itoa(each.server.count()))
		each.complete("SELECT 1")
	case verbSeries:
		return each.series(parsed)
	case verbSleep:
		return each.nap(ctx, parsed)
	default:
		each.row(parsed.args[0])
		each.complete("SELECT 1")
	}
	return true
}

func (server *Server) count() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	total := 0
	server.journal.Keys(func(_ string, values []string) { total += len(values) })
	return total
}

func (each *session) series(parsed statement) bool {
	end, err := strconv.Atoi(parsed.args[0])
	if err != nil {
		each.fail("22P02", "generate_series wants a number")
		return false
	}
	for i := 1; i <= end; i++ {
		each.row(strconv.Itoa(i))
		if i%rowsPerFlush == 0 && each.backend.Flush() != nil {
			return false
		}
	}
	each.complete(fmt.Sprintf("SELECT %d", end))
	return true
}

func (each *session) nap(ctx context.Context, parsed statement) bool {
	seconds, err := strconv.ParseFloat(parsed.args[0], 64)
	if err != nil {
		each.fail("22P02", "pg_sleep wants a number of seconds")
		return false
	}
	select {
	case <-each.canceled:
		each.fail("57014", "canceling statement due to user request")
		return false
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	}
	each.row("")
	each.complete("SELECT 1")
	return true
}

func (each *session) copyOut() bool {
	each.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	var lines []string
	each.server.mutex.Lock()
	each.server.journal.Keys(func(key string, values []string) {
		for _, value := range values {
			lines = append(lines, key+"\t"+value+"\n")
		}
	})
	each.server.mutex.Unlock()
	for _, line := range lines {
		each.backend.Send(&pgproto3.CopyData{Data: []byte(line)})
	}
	each.backend.Send(&pgproto3.CopyDone{})
	each.complete(fmt.Sprintf("COPY %d", len(lines)))
	return true
}

func (each *session) copyIn() bool {
	if !each.server.IsPrimary() {
		each.fail("25006", "cannot execute COPY FROM in a read-only transaction")
		return false
	}
	each.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if each.backend.Flush() != nil {
		return false
	}
	var text strings.Builder
	for {
		message, err := each.backend.Receive()
		if err != nil {
			return false
		}
		switch message := message.(type) {
		case *pgproto3.CopyData:
			text.Write(message.Data)
		case *pgproto3.CopyFail:
			each.fail("57014", "COPY from stdin failed: "+message.Message)
			return false
		case *pgproto3.CopyDone:
			return each.storeLines(strings.Split(strings.TrimSpace(text.String()), "\n"))
		}
	}
}

func (each *session) storeLines(lines []string) bool {
	for _, line := range lines {
		key, value, _ := strings.Cut(line, "\t")
		each.pending = append(each.pending, [2]string{key, value})
	}
	if each.status == statusIdle && !each.commit() {
		return false
	}
	each.complete(fmt.Sprintf("COPY %d", len(lines)))
	return true
}

// performControl runs a function of the platform, outside the slots.
func (each *session) performControl(ctx context.Context, parsed statement) bool {
	server := each.server
	switch parsed.verb {
	case verbReceive:
		matched, err := server.receive(parsed.args[0])
		if err != nil {
			each.fail("55000", err.Error())
			return false
		}
		answer := "apart"
		if matched {
			answer = "matched"
		}
		each.row(answer)
		each.complete("SELECT 1")
		return true
	case verbActivity:
		each.row(server.activity(parsed.args[0]))
		each.complete("SELECT 1")
		return true
	case verbSwitch:
		return each.flip(parsed.args[0], parsed.args[1])
	case verbConfirm:
		return each.confirm(ctx, parsed)
	case verbFence:
		return each.sendStatus(server.fence(parsed.args[0], parsed.args[1]))
	case verbPromote:
		return each.sendStatus(server.promote(parsed.args[0], parsed.args[1]))
	default:
		server.mutex.Lock()
		status := server.statusLocked()
		server.mutex.Unlock()
		return each.sendStatus(status, nil)
	}
}

// activity tells whether a connection runs a statement now.
func (server *Server) activity(pid string) string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for each := range server.sessions {
		if strconv.FormatUint(uint64(each.pid), 10) == pid {
			if each.busy.Load() {
				return "active"
			}
			return "idle"
		}
	}
	return "none"
}

func (each *session) confirm(ctx context.Context, parsed statement) bool {
	floor, err := ebonywood.ParsePosition(parsed.args[0] + "/" + parsed.args[1])
	if err != nil {
		each.fail("22023", err.Error())
		return false
	}
	limit, err := strconv.Atoi(parsed.args[2])
	if err != nil {
		each.fail("22023", "the third argument is a time limit in milliseconds")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(limit)*time.Millisecond)
	defer cancel()
	return each.sendStatus(each.server.confirm(ctx, floor))
}

func (server *Server) fence(term, holder string) (ebonywood.Status, error) {
	number, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return ebonywood.Status{}, err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	err = server.journal.Fence(ebonywood.Term(number), holder)
	server.announce()
	return server.statusLocked(), err
}

func (server *Server) promote(term, holder string) (ebonywood.Status, error) {
	number, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return ebonywood.Status{}, err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	err = server.journal.Promote(ebonywood.Term(number), holder)
	server.announce()
	return server.statusLocked(), err
}

// flip sets a fault switch by SQL, for tests that drive a separate process.
func (each *session) flip(name, value string) bool {
	millis, _ := strconv.Atoi(value)
	switch name {
	case "lag":
		each.server.SetLag(time.Duration(millis) * time.Millisecond)
	case "cut":
		each.server.SetPartitioned(value == "on")
	case "silence":
		each.server.Silence()
	case "crest":
		crest, refused := each.server.ConnectionCounts()
		value = fmt.Sprintf("%d/%d", crest, refused)
	default:
		each.fail("22023", fmt.Sprintf("no switch %q; use lag, cut, silence or crest", name))
		return false
	}
	each.row(value)
	each.complete("SELECT 1")
	return true
}
