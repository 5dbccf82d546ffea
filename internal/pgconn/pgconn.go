// Package pgconn is a connection to a PostgreSQL server as the proxy needs it:
// dialled and authenticated here, then driven message by message. pgx's own
// connection was weighed and left, because it reads whole results and hides the
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

// Conn is one connection. It belongs to one goroutine at a time, except Cancel.
type Conn struct {
	socket net.Conn
	frames *frame.Reader
	pid    uint32
	secret []byte
}

// Dial connects and authenticates. A refusal by the server is a fault of
// KindUnavailable: nothing was run.
func Dial(ctx context.Context, address, user, password, database string) (*Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, unavailable(address, err)
	}
	conn := &Conn{socket: socket, frames: frame.NewReader(socket)}
	release := conn.Bound(ctx)
	err = conn.startUp(user, password, database)
	release()
	if err != nil {
		conn.Close()
		return nil, unavailable(address, err)
	}
	return conn, nil
}

func unavailable(address string, err error) error {
	return ebonywood.NewFault(ebonywood.KindUnavailable,
		fmt.Sprintf("no connection to %s: %v", address, err), "check that the server is up and accepts this user")
}

// Bound makes reads and writes fail when ctx ends. The returned function takes
// the bound off; it must be called before the next Bound.
func (conn *Conn) Bound(ctx context.Context) (release func()) {
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

// Write sends encoded messages and reports how many bytes left.
func (conn *Conn) Write(messages []byte) (int, error) { return conn.socket.Write(messages) }

// Next returns the next encoded message, valid until the next call.
func (conn *Conn) Next() ([]byte, error) { return conn.frames.Next() }

// Pid names the connection to the server.
func (conn *Conn) Pid() uint32 { return conn.pid }

// Buffered is how many received bytes wait to be read; none between requests.
func (conn *Conn) Buffered() int { return conn.frames.Buffered() }

// Query runs one simple query and returns its rows as text. A refusal by the
// server is a fault of KindConflict; after any other error the outcome is open
// and the connection must be closed.
func (conn *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	defer conn.Bound(ctx)()
	if err := conn.send(&pgproto3.Query{String: sql}); err != nil {
		return nil, err
	}
	var rows [][]string
	var refusal error
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
			refusal = ebonywood.NewFault(ebonywood.KindConflict, describeError(message), "read the server's message")
		case frame.ReadyForQuery:
			return rows, refusal
		}
	}
}

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

func describeError(message []byte) string {
	var decoded pgproto3.ErrorResponse
	if err := decoded.Decode(frame.Body(message)); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s (SQLSTATE %s)", decoded.Message, decoded.Code)
}

// Cancel asks the server, over a connection of its own, to cancel what runs on
// this one, and returns once the server has taken note.
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
	// The server closes the connection after it has signalled.
	_, _ = socket.Read(make([]byte, 1))
	return nil
}

// Close closes the socket.
func (conn *Conn) Close() { _ = conn.socket.Close() }
