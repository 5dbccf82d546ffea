package targetserver

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
)

const textOID = 25

// Transaction states of the protocol.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session serves one connection.
type session struct {
	server   *Server
	socket   net.Conn
	backend  *pgproto3.Backend
	user     string
	pid      uint32
	counted  bool
	silent   atomic.Bool
	busy     atomic.Bool
	canceled chan struct{}

	status     byte
	pending    [][2]string
	statements map[string]statement
	portals    map[string]statement
	skipping   bool
	implicit   bool
	settings   map[string]string
}

func newSession(server *Server, socket net.Conn) *session {
	return &session{
		server: server, socket: socket, backend: pgproto3.NewBackend(socket, socket), status: statusIdle,
		pid: server.pids.Add(1), canceled: make(chan struct{}, 1),
		statements: map[string]statement{}, portals: map[string]statement{}, settings: map[string]string{},
	}
}

func (each *session) isControl() bool { return each.user == ControlUser }

func (each *session) run(ctx context.Context) {
	defer each.socket.Close()
	if !each.startUp(ctx) {
		return
	}
	defer each.server.leave(each)
	for {
		message, err := each.backend.Receive()
		if err != nil || ctx.Err() != nil {
			return
		}
		each.server.awaitThaw(ctx)
		if each.silent.Load() {
			continue
		}
		each.busy.Store(true)
		goesOn := each.handle(ctx, message)
		each.busy.Store(false)
		if !goesOn {
			return
		}
	}
}

func (each *session) startUp(ctx context.Context) bool {
	for {
		message, err := each.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		each.server.awaitThaw(ctx)
		switch message := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := each.socket.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			each.server.cancel(binary.BigEndian.Uint32(message.SecretKey), message.ProcessID)
			return false
		case *pgproto3.StartupMessage:
			each.user = message.Parameters["user"]
			return each.welcome(ctx)
		}
	}
}

func (each *session) welcome(ctx context.Context) bool {
	if !each.isControl() {
		sleep(ctx, each.server.connectDelay)
	}
	if !each.server.admit(each) {
		each.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "sorry, too many clients already"})
		_ = each.backend.Flush()
		each.server.leave(each)
		return false
	}
	if each.server.password != "" && !each.checkPassword() {
		each.server.leave(each)
		return false
	}
	secret := binary.BigEndian.AppendUint32(nil, each.pid*2654435761)
	each.backend.Send(&pgproto3.AuthenticationOk{})
	each.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	each.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	each.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	each.backend.Send(&pgproto3.BackendKeyData{ProcessID: each.pid, SecretKey: secret})
	each.ready()
	return each.backend.Flush() == nil
}

func (each *session) checkPassword() bool {
	each.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if each.backend.Flush() != nil {
		return false
	}
	_ = each.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	message, err := each.backend.Receive()
	if err != nil {
		return false
	}
	answer, ok := message.(*pgproto3.PasswordMessage)
	if ok && answer.Password == each.server.password {
		return true
	}
	each.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
	_ = each.backend.Flush()
	return false
}

func (server *Server) cancel(secret, pid uint32) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for each := range server.sessions {
		if each.pid == pid && each.pid*2654435761 == secret {
			select {
			case each.canceled <- struct{}{}:
			default:
			}
		}
	}
}

func sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (each *session) ready() {
	each.backend.Send(&pgproto3.ReadyForQuery{TxStatus: each.status})
}

// handle serves one message and reports whether the connection goes on.
func (each *session) handle(ctx context.Context, message pgproto3.FrontendMessage) bool {
	if each.skipping {
		if _, isSync := message.(*pgproto3.Sync); !isSync {
			return true
		}
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		each.simple(ctx, message.String)
		return each.backend.Flush() == nil
	case *pgproto3.Parse:
		each.parse(message)
	case *pgproto3.Bind:
		each.bind(message)
	case *pgproto3.Describe:
		each.describe(message)
	case *pgproto3.Execute:
		each.execute(ctx, message)
	case *pgproto3.Close:
		delete(each.statements, message.Name)
		each.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		each.sync()
		return each.backend.Flush() == nil
	case *pgproto3.Flush:
		return each.backend.Flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (each *session) simple(ctx context.Context, sql string) {
	parts := split(sql)
	if len(parts) == 0 {
		each.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	each.implicit = len(parts) > 1 && each.status == statusIdle
	for _, part := range parts {
		parsed, err := parseStatement(part)
		if err != nil {
			each.fail("42601", err.Error())
			break
		}
		parsed = parsed.bind(nil)
		if columns := parsed.columns(); columns != nil {
			each.backend.Send(rowDescription(columns))
		}
		if !each.perform(ctx, parsed) {
			break
		}
	}
	each.endImplicit()
	each.skipping = false
	each.ready()
}

// endImplicit commits what a batch wrote outside an explicit transaction.
func (each *session) endImplicit() {
	if each.implicit && each.status == statusIdle && len(each.pending) > 0 {
		each.commit()
	}
	each.implicit = false
}

func (each *session) sync() {
	if each.skipping && each.status == statusIdle {
		each.pending = nil
	}
	each.endImplicit()
	each.skipping = false
	each.ready()
}

func (each *session) parse(message *pgproto3.Parse) {
	parsed, err := parseStatement(message.Query)
	if err != nil {
		each.fail("42601", err.Error())
		return
	}
	each.statements[message.Name] = parsed
	each.backend.Send(&pgproto3.ParseComplete{})
}

func (each *session) bind(message *pgproto3.Bind) {
	parsed, found := each.statements[message.PreparedStatement]
	if !found {
		each.fail("26000", fmt.Sprintf("prepared statement %q does not exist", message.PreparedStatement))
		return
	}
	values := make([]string, len(message.Parameters))
	for i, value := range message.Parameters {
		values[i] = string(value)
	}
	each.portals[message.DestinationPortal] = parsed.bind(values)
	each.backend.Send(&pgproto3.BindComplete{})
}

func (each *session) describe(message *pgproto3.Describe) {
	parsed, found := each.portals[message.Name], true
	if message.ObjectType == 'S' {
		parsed, found = each.statements[message.Name]
		if found {
			oids := make([]uint32, parsed.parameters())
			for i := range oids {
				oids[i] = textOID
			}
			each.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
	}
	if !found {
		each.fail("26000", fmt.Sprintf("prepared statement %q does not exist", message.Name))
		return
	}
	if columns := parsed.columns(); columns != nil {
		each.backend.Send(rowDescription(columns))
		return
	}
	each.backend.Send(&pgproto3.NoData{})
}

func (each *session) execute(ctx context.Context, message *pgproto3.Execute) {
	each.implicit = each.status == statusIdle
	parsed, found := each.portals[message.Portal]
	if !found {
		each.fail("34000", fmt.Sprintf("portal %q does not exist", message.Portal))
		return
	}
	each.perform(ctx, parsed)
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func (each *session) fail(code, message string) {
	each.skipping = true
	if each.status == statusOpen {
		each.status = statusFailed
	}
	each.pending = nil
	each.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

func (each *session) complete(tag string) {
	each.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (each *session) row(values ...string) {
	cells := make([][]byte, len(values))
	for i, value := range values {
		cells[i] = []byte(value)
	}
	each.backend.Send(&pgproto3.DataRow{Values: cells})
}

// commit makes the pending writes one record, or fails when the member is no
// longer primary.
func (each *session) commit() bool {
	if len(each.pending) == 0 {
		return true
	}
	server := each.server
	server.mutex.Lock()
	err := server.journal.Append(each.pending)
	if err == nil {
		server.announce()
	}
	server.mutex.Unlock()
	each.pending = nil
	if err != nil {
		each.status = statusIdle
		each.fail("25006", "cannot execute a write in a read-only transaction")
		return false
	}
	return true
}

// sendStatus answers a control function.
func (each *session) sendStatus(status ebonywood.Status, err error) bool {
	if err != nil {
		each.fail("55000", err.Error())
		return false
	}
	each.row(status.Role().String(), strconv.FormatUint(uint64(status.FencedTerm()), 10), status.LogEnd().String(),
		status.Applied().String(), strconv.FormatInt(int64(status.UpstreamAge()), 10))
	each.complete("SELECT 1")
	return true
}
