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

// textOID is the type of all parameters and columns.
const textOID = 25

// Transaction states of the protocol, as ReadyForQuery carries them.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session is the state of one connection.
type session struct {
	server            *Server
	socket            net.Conn
	backend           *pgproto3.Backend
	user              string
	pid               uint32
	countsTowardLimit bool
	silent            atomic.Bool
	busy              atomic.Bool
	cancelRequested   chan struct{}

	transactionStatus   byte
	pending             [][2]string
	statements          map[string]statement
	portals             map[string]statement
	skippingToSync      bool
	implicitTransaction bool
	settings            map[string]string
}

func newSession(server *Server, socket net.Conn) *session {
	return &session{
		server: server, socket: socket, backend: pgproto3.NewBackend(socket, socket), transactionStatus: statusIdle,
		pid: server.lastPID.Add(1), cancelRequested: make(chan struct{}, 1),
		statements: map[string]statement{}, portals: map[string]statement{}, settings: map[string]string{},
	}
}

func (session *session) isControl() bool { return session.user == ControlUser }

func (session *session) run(ctx context.Context) {
	defer session.socket.Close()
	if !session.startUp(ctx) {
		return
	}
	defer session.server.removeSession(session)
	for {
		message, err := session.backend.Receive()
		if err != nil || ctx.Err() != nil {
			return
		}
		session.server.awaitThaw(ctx)
		if session.silent.Load() {
			continue
		}
		session.busy.Store(true)
		continues := session.handle(ctx, message)
		session.busy.Store(false)
		if !continues {
			return
		}
	}
}

// startUp handles messages before and including the start-up message. It reports
// whether the connection may run statements.
func (session *session) startUp(ctx context.Context) bool {
	for {
		message, err := session.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		session.server.awaitThaw(ctx)
		switch message := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := session.socket.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			session.server.cancel(binary.BigEndian.Uint32(message.SecretKey), message.ProcessID)
			return false
		case *pgproto3.StartupMessage:
			session.user = message.Parameters["user"]
			return session.completeStartup(ctx)
		}
	}
}

// completeStartup applies the connection limit, checks the password, and sends the
// parameters of the session and its cancellation key. It reports whether the connection
// may run statements.
func (session *session) completeStartup(ctx context.Context) bool {
	if !session.isControl() {
		sleep(ctx, session.server.connectDelay)
	}
	if !session.server.admit(session) {
		session.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "sorry, too many clients already"})
		_ = session.backend.Flush()
		session.server.removeSession(session)
		return false
	}
	if session.server.password != "" && !session.checkPassword() {
		session.server.removeSession(session)
		return false
	}
	// cancel derives the secret from the process id in the same way.
	secret := binary.BigEndian.AppendUint32(nil, session.pid*2654435761)
	session.backend.Send(&pgproto3.AuthenticationOk{})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	session.backend.Send(&pgproto3.BackendKeyData{ProcessID: session.pid, SecretKey: secret})
	session.sendReady()
	return session.backend.Flush() == nil
}

func (session *session) checkPassword() bool {
	session.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if session.backend.Flush() != nil {
		return false
	}
	_ = session.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	message, err := session.backend.Receive()
	if err != nil {
		return false
	}
	reply, ok := message.(*pgproto3.PasswordMessage)
	if ok && reply.Password == session.server.password {
		return true
	}
	session.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
	_ = session.backend.Flush()
	return false
}

// cancel interrupts the statement of the connection with the process id and secret.
func (server *Server) cancel(secret, pid uint32) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for session := range server.sessions {
		if session.pid == pid && session.pid*2654435761 == secret {
			select {
			case session.cancelRequested <- struct{}{}:
			default:
			}
		}
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (session *session) sendReady() {
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: session.transactionStatus})
}

// handle processes one message and reports whether the connection stays open. After
// an error it ignores messages up to the next Sync.
func (session *session) handle(ctx context.Context, message pgproto3.FrontendMessage) bool {
	if session.skippingToSync {
		if _, isSync := message.(*pgproto3.Sync); !isSync {
			return true
		}
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		session.simpleQuery(ctx, message.String)
		return session.backend.Flush() == nil
	case *pgproto3.Parse:
		session.parse(message)
	case *pgproto3.Bind:
		session.bind(message)
	case *pgproto3.Describe:
		session.describe(message)
	case *pgproto3.Execute:
		session.execute(ctx, message)
	case *pgproto3.Close:
		delete(session.statements, message.Name)
		session.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		session.sync()
		return session.backend.Flush() == nil
	case *pgproto3.Flush:
		return session.backend.Flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	return true
}

// simpleQuery runs the statements of a simple query. Several statements outside a
// transaction form an implicit one.
func (session *session) simpleQuery(ctx context.Context, sql string) {
	parts := splitStatements(sql)
	if len(parts) == 0 {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	session.implicitTransaction = len(parts) > 1 && session.transactionStatus == statusIdle
	for _, part := range parts {
		parsed, err := parseStatement(part)
		if err != nil {
			session.fail("42601", err.Error())
			break
		}
		parsed = parsed.bind(nil)
		if columns := parsed.columns(); columns != nil {
			session.backend.Send(rowDescription(columns))
		}
		if !session.perform(ctx, parsed) {
			break
		}
	}
	session.endImplicitTransaction()
	session.skippingToSync = false
	session.sendReady()
}

// endImplicitTransaction commits the writes of a batch that ran outside an explicit
// transaction.
func (session *session) endImplicitTransaction() {
	if session.implicitTransaction && session.transactionStatus == statusIdle && len(session.pending) > 0 {
		session.commit()
	}
	session.implicitTransaction = false
}

// sync ends a batch of the extended protocol.
func (session *session) sync() {
	if session.skippingToSync && session.transactionStatus == statusIdle {
		session.pending = nil
	}
	session.endImplicitTransaction()
	session.skippingToSync = false
	session.sendReady()
}

func (session *session) parse(message *pgproto3.Parse) {
	parsed, err := parseStatement(message.Query)
	if err != nil {
		session.fail("42601", err.Error())
		return
	}
	session.statements[message.Name] = parsed
	session.backend.Send(&pgproto3.ParseComplete{})
}

func (session *session) bind(message *pgproto3.Bind) {
	parsed, found := session.statements[message.PreparedStatement]
	if !found {
		session.fail("26000", fmt.Sprintf("prepared statement %q does not exist", message.PreparedStatement))
		return
	}
	values := make([]string, len(message.Parameters))
	for i, value := range message.Parameters {
		values[i] = string(value)
	}
	session.portals[message.DestinationPortal] = parsed.bind(values)
	session.backend.Send(&pgproto3.BindComplete{})
}

func (session *session) describe(message *pgproto3.Describe) {
	parsed, found := session.portals[message.Name], true
	if message.ObjectType == 'S' {
		parsed, found = session.statements[message.Name]
		if found {
			oids := make([]uint32, parsed.parameterCount())
			for i := range oids {
				oids[i] = textOID
			}
			session.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
	}
	if !found {
		session.fail("26000", fmt.Sprintf("prepared statement %q does not exist", message.Name))
		return
	}
	if columns := parsed.columns(); columns != nil {
		session.backend.Send(rowDescription(columns))
		return
	}
	session.backend.Send(&pgproto3.NoData{})
}

func (session *session) execute(ctx context.Context, message *pgproto3.Execute) {
	session.implicitTransaction = session.transactionStatus == statusIdle
	parsed, found := session.portals[message.Portal]
	if !found {
		session.fail("34000", fmt.Sprintf("portal %q does not exist", message.Portal))
		return
	}
	session.perform(ctx, parsed)
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// fail sends an error, aborts the open transaction and skips to the next Sync.
func (session *session) fail(code, message string) {
	session.skippingToSync = true
	if session.transactionStatus == statusOpen {
		session.transactionStatus = statusFailed
	}
	session.pending = nil
	session.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

func (session *session) sendComplete(tag string) {
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (session *session) sendRow(values ...string) {
	cells := make([][]byte, len(values))
	for i, value := range values {
		cells[i] = []byte(value)
	}
	session.backend.Send(&pgproto3.DataRow{Values: cells})
}

// commit appends the pending writes to the log as one record. It sends an error
// and returns false when the member is no longer primary.
func (session *session) commit() bool {
	if len(session.pending) == 0 {
		return true
	}
	server := session.server
	server.mutex.Lock()
	err := server.journal.Append(session.pending)
	if err == nil {
		server.wakeWaiters()
	}
	server.mutex.Unlock()
	session.pending = nil
	if err != nil {
		session.transactionStatus = statusIdle
		session.fail("25006", "cannot execute a write in a read-only transaction")
		return false
	}
	return true
}

// sendStatus sends the result of a control function: the status as one row, or err.
func (session *session) sendStatus(status ebonywood.Status, err error) bool {
	if err != nil {
		session.fail("55000", err.Error())
		return false
	}
	session.sendRow(status.Role().String(), strconv.FormatUint(uint64(status.FencedTerm()), 10), status.LogEnd().String(),
		status.Applied().String(), strconv.FormatInt(int64(status.UpstreamAge()), 10))
	session.sendComplete("SELECT 1")
	return true
}
