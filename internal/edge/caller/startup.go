package caller

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

const (
	// startUpSize bounds the first message of a connection.
	startUpSize = 10_000
	// tokenParameter carries a session's floor between proxies.
	tokenParameter = "ebonywood.session"
	// shardParameter chooses the instance of the route's group.
	shardParameter = "ebonywood.shard"
	// Codes in place of a protocol version.
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
)

// startUp serves the messages before the first request and reports whether the
// session may go on.
func (each *conversation) startUp(ctx context.Context) bool {
	for {
		body, err := readStartUp(each.socket)
		if err != nil {
			each.refuse(err)
			return false
		}
		switch binary.BigEndian.Uint32(body) {
		case sslRequestCode:
			if !each.upgrade() {
				return false
			}
		case gssRequestCode:
			if _, err := each.socket.Write([]byte{'N'}); err != nil {
				return false
			}
		case cancelRequestCode:
			var request pgproto3.CancelRequest
			if request.Decode(body) == nil {
				each.edge.cancel(ctx, request.ProcessID, request.SecretKey)
			}
			return false
		default:
			return each.begin(body)
		}
	}
}

// readStartUp reads a message without a kind byte.
func readStartUp(source io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(source, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < 8 || size > startUpSize {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("the start-up message states %d bytes", size),
			"connect with a PostgreSQL v3 client")
	}
	body := make([]byte, size-4)
	_, err := io.ReadFull(source, body)
	return body, err
}

func (each *conversation) upgrade() bool {
	if each.edge.tls == nil {
		_, err := each.socket.Write([]byte{'N'})
		return err == nil
	}
	if _, err := each.socket.Write([]byte{'S'}); err != nil {
		return false
	}
	each.socket = tls.Server(each.socket, each.edge.tls)
	return true
}

func (each *conversation) begin(body []byte) bool {
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		each.refuse(ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "connect with a PostgreSQL v3 client"))
		return false
	}
	each.frames = frame.NewReader(each.socket)
	if err := each.authenticate(message.Parameters["user"]); err != nil {
		each.refuse(err)
		return false
	}
	if err := each.open(message.Parameters); err != nil {
		each.refuse(err)
		return false
	}
	secret := binary.BigEndian.AppendUint32(nil, each.secret)
	each.write(
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO, MDY"},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.BackendKeyData{ProcessID: each.pid, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: byte(ebonywood.TxIdle)},
	)
	return each.flush() == nil
}

// open finds the route and the instance of a caller and sets its first floor.
func (each *conversation) open(parameters map[string]string) error {
	user, database := parameters["user"], parameters["database"]
	if database == "" {
		database = user
	}
	set := each.edge.port.Snapshot().Set()
	if set == nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable, "no object set is in force yet",
			"publish one with 'ebonywood publish', or wait until this proxy has heard of it")
	}
	route, found := set.Route(user, database)
	if !found {
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("no route for user %q and database %q", user, database),
			"connect with a database that a published route names")
	}
	at, err := parseToken(parameters)
	if err != nil {
		return err
	}
	each.route = route
	each.instance = chooseInstance(route, parameters)
	each.state.Attach(at, each.edge.port.Clock().Now())
	return each.edge.add(each)
}

// chooseInstance spreads shard keys over the instances of the group.
func chooseInstance(route *ebonywood.Route, parameters map[string]string) ebonywood.InstanceID {
	instances := route.Instances()
	key, found := parameters[shardParameter]
	if !found {
		return instances[0]
	}
	for _, instance := range instances {
		if strings.HasSuffix(string(instance), "/"+key) {
			return instance
		}
	}
	return instances[xxhash.Sum64String(key)%uint64(len(instances))]
}

func parseToken(parameters map[string]string) (ebonywood.Position, error) {
	token := parameters[tokenParameter]
	if token == "" {
		return ebonywood.Position{}, nil
	}
	return ebonywood.ParsePosition(token)
}

// refuse ends a start-up with an error that the caller can show.
func (each *conversation) refuse(err error) {
	each.writeFault(ebonywood.FaultOf(err), "FATAL")
	_ = each.flush()
}
