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
func (caller *conversation) startUp(ctx context.Context) bool {
	for {
		body, err := readStartUp(caller.socket)
		if err != nil {
			caller.refuse(err)
			return false
		}
		switch binary.BigEndian.Uint32(body) {
		case sslRequestCode:
			if !caller.upgrade() {
				return false
			}
		case gssRequestCode:
			if _, err := caller.socket.Write([]byte{'N'}); err != nil {
				return false
			}
		case cancelRequestCode:
			var request pgproto3.CancelRequest
			if request.Decode(body) == nil {
				caller.edge.cancel(ctx, request.ProcessID, request.SecretKey)
			}
			return false
		default:
			return caller.begin(body)
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

func (caller *conversation) upgrade() bool {
	if caller.edge.tls == nil {
		_, err := caller.socket.Write([]byte{'N'})
		return err == nil
	}
	if _, err := caller.socket.Write([]byte{'S'}); err != nil {
		return false
	}
	caller.socket = tls.Server(caller.socket, caller.edge.tls)
	return true
}

func (caller *conversation) begin(body []byte) bool {
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		caller.refuse(ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "connect with a PostgreSQL v3 client"))
		return false
	}
	caller.frames = frame.NewReader(caller.socket)
	if err := caller.authenticate(message.Parameters["user"]); err != nil {
		caller.refuse(err)
		return false
	}
	if err := caller.open(message.Parameters); err != nil {
		caller.refuse(err)
		return false
	}
	secret := binary.BigEndian.AppendUint32(nil, caller.secret)
	caller.write(
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO, MDY"},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.BackendKeyData{ProcessID: caller.pid, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: byte(ebonywood.TxIdle)},
	)
	return caller.flush() == nil
}

// open finds the route and the instance of a caller and sets its first floor.
func (caller *conversation) open(parameters map[string]string) error {
	user, database := parameters["user"], parameters["database"]
	if database == "" {
		database = user
	}
	set := caller.edge.port.Snapshot().ObjectSet()
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
	caller.route = route
	caller.instance = chooseInstance(route, parameters)
	caller.state.Attach(at, caller.edge.port.Clock().Now())
	return caller.edge.add(caller)
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
func (caller *conversation) refuse(err error) {
	caller.writeFault(ebonywood.FaultOf(err), "FATAL")
	_ = caller.flush()
}
