// Package pgconn is a client connection to a PostgreSQL server for relaying: it
// connects and authenticates, and then reads and writes single messages. The
// connection type of pgx is not used, because it reads whole results and hides the
// messages that have to be relayed; its codec (pgproto3) is used.
package pgconn

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

// Conn is a connection to a server. Only Cancel may be called concurrently with other
// methods.
type Conn struct {
	socket net.Conn
	frames *frame.Reader
	pid    uint32
	secret []byte
}

// Dial connects and authenticates; it fails when ctx ends. Every error is a fault of
// KindUnavailable; no statement was run.
func Dial(ctx context.Context, address, user, password, database string) (*Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, unavailable(address, err)
	}
	conn := &Conn{socket: socket, frames: frame.NewReader(socket)}
	release := conn.ApplyContext(ctx)
	err = conn.startUp(user, password, database)
	release()
	if err != nil {
		conn.Close()
		return nil, unavailable(address, err)
	}
	return conn, nil
}

// unavailable is the fault of a connection that could not be established.
func unavailable(address string, err error) error {
	return ebonywood.NewFault(ebonywood.KindUnavailable,
		fmt.Sprintf("no connection to %s: %v", address, err), "check that the server is up and accepts this user")
}

// ApplyContext makes reads and writes fail when ctx ends or its deadline passes. The
// returned function removes this limit; it must be called before the next
// ApplyContext. If ctx has ended, the connection stays unusable.
func (conn *Conn) ApplyContext(ctx context.Context) (release func()) {
	if deadline, found := ctx.Deadline(); found {
		_ = conn.socket.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.socket.SetDeadline(time.Unix(1, 0)) })
	return func() {
		if stop() {
			_ = conn.socket.SetDeadline(time.Time{})
		}
	}
}

// Write sends encoded messages and returns the number of bytes written.
func (conn *Conn) Write(messages []byte) (int, error) { return conn.socket.Write(messages) }

// Next returns the next message of the server with its header. The bytes are valid
// until the next call.
func (conn *Conn) Next() ([]byte, error) { return conn.frames.Next() }

// ProcessID returns the server's process ID of this connection.
func (conn *Conn) ProcessID() uint32 { return conn.pid }

// Buffered returns the number of received bytes that were not read yet. It is 0
// between requests.
func (conn *Conn) Buffered() int { return conn.frames.Buffered() }

// Query runs one simple query and returns its rows as text. An error response of the
// server is a fault of KindConflict; after any other error the outcome is unknown and
// the connection must be closed.
func (conn *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	defer conn.ApplyContext(ctx)()
	if err := conn.send(&pgproto3.Query{String: sql}); err != nil {
		return nil, err
	}
	var rows [][]string
	var serverError error
	for {
		message, err := conn.Next()
		if err != nil {
			return nil, err
		}
		switch message[0] {
		case frame.DataRow:
			row, err := decodeRow(message)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		case frame.ErrorResponse:
			serverError = ebonywood.NewFault(ebonywood.KindConflict, describeError(message), "see the server's message")
		case frame.ReadyForQuery:
			return rows, serverError
		}
	}
}

// send encodes and writes one message.
func (conn *Conn) send(message pgproto3.FrontendMessage) error {
	encoded, err := message.Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.socket.Write(encoded)
	return err
}

func decodeRow(message []byte) ([]string, error) {
	var decoded pgproto3.DataRow
	if err := decoded.Decode(frame.Body(message)); err != nil {
		return nil, err
	}
	row := make([]string, len(decoded.Values))
	for i, value := range decoded.Values {
		row[i] = string(value)
	}
	return row, nil
}

// describeError returns the message and the SQLSTATE of an error response.
func describeError(message []byte) string {
	var decoded pgproto3.ErrorResponse
	if err := decoded.Decode(frame.Body(message)); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s (SQLSTATE %s)", decoded.Message, decoded.Code)
}

// Cancel requests, over a separate connection, that the server cancel the statement
// that runs on this one. It returns once the server has processed the request.
func (conn *Conn) Cancel(ctx context.Context) error {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", conn.socket.RemoteAddr().String())
	if err != nil {
		return err
	}
	defer socket.Close()
	if deadline, found := ctx.Deadline(); found {
		_ = socket.SetDeadline(deadline)
	}
	request, err := (&pgproto3.CancelRequest{ProcessID: conn.pid, SecretKey: conn.secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := socket.Write(request); err != nil {
		return err
	}
	// The server closes the connection after it has signalled the process.
	_, _ = socket.Read(make([]byte, 1))
	return nil
}

// Close closes the socket.
func (conn *Conn) Close() { _ = conn.socket.Close() }
