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
	// maxStartUpSize bounds a start-up message, in bytes.
	maxStartUpSize = 10_000
	// tokenParameter is the parameter with which a caller receives its session's floor
	// and presents it to another proxy.
	tokenParameter = "ebonywood.session"
	// shardParameter is the start-up parameter whose value selects an instance of the
	// route.
	shardParameter = "ebonywood.shard"
	// Request codes of the PostgreSQL protocol, sent in place of a protocol version.
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
)

// startUp handles the messages before the first request, and reports whether a session
// was started.
func (caller *callerSession) startUp(ctx context.Context) bool {
	for {
		body, err := readStartUp(caller.socket)
		if err != nil {
			caller.rejectInput(err)
			return false
		}
		switch binary.BigEndian.Uint32(body) {
		case sslRequestCode:
			if !caller.upgradeTLS() {
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
			return caller.startSession(body)
		}
	}
}

// readStartUp reads a start-up message, which has a length but no type byte, and returns
// it without the length.
func readStartUp(source io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(source, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < 8 || size > maxStartUpSize {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("the start-up message declares a length of %d bytes", size),
			"connect with a PostgreSQL v3 client")
	}
	body := make([]byte, size-4)
	_, err := io.ReadFull(source, body)
	return body, err
}

// upgradeTLS accepts a request for TLS, or declines it if TLS is not configured. It
// reports whether its response could be written.
func (caller *callerSession) upgradeTLS() bool {
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

// startSession authenticates the caller, attaches it to a route, and sends the initial
// parameters. It reports whether the session was started.
func (caller *callerSession) startSession(body []byte) bool {
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		caller.sendFatal(ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "connect with a PostgreSQL v3 client"))
		return false
	}
	caller.frames = frame.NewReader(caller.socket)
	caller.frames.Observe(caller.limits)
	if err := caller.authenticate(message.Parameters["user"]); err != nil {
		caller.refuse(err, message.Parameters["user"])
		return false
	}
	if err := caller.attach(message.Parameters); err != nil {
		caller.refuse(err, message.Parameters["user"])
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

// attach selects the route and the instance of the caller, sets its initial floor from
// the token that it presents, and registers the session.
func (caller *callerSession) attach(parameters map[string]string) error {
	user, database := parameters["user"], parameters["database"]
	if database == "" {
		database = user
	}
	set := caller.edge.port.Snapshot().ObjectSet()
	if set == nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable, "no object set is in force yet",
			"publish one with 'ebonywood publish', or wait until this proxy has received it")
	}
	route, found := set.Route(user, database)
	if !found {
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("no route for user %q and database %q", user, database),
			"connect with a database that a published route names")
	}
	token, err := parseToken(parameters)
	if err != nil {
		return err
	}
	caller.user, caller.route = user, route
	caller.instance = chooseInstance(route, parameters)
	caller.state.Attach(token, caller.edge.port.Clock().Now())
	if err := caller.edge.addSession(caller); err != nil {
		return err
	}
	if !caller.isAllowed() {
		// Checked after the session is registered, so that closeRemoved sees each session
		// whose user is removed later.
		caller.edge.removeSession(caller)
		return caller.forbiddenFault()
	}
	return nil
}

// chooseInstance returns the route's instance "group/instance" whose last part equals the
// shard parameter, otherwise the one that the parameter's hash selects. Without the
// parameter it returns the first instance.
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

// parseToken returns the position of the token parameter, or the zero position if the
// caller presents none.
func parseToken(parameters map[string]string) (ebonywood.Position, error) {
	token := parameters[tokenParameter]
	if token == "" {
		return ebonywood.Position{}, nil
	}
	return ebonywood.ParsePosition(token)
}

// refuse counts a refused caller and sends the error.
func (caller *callerSession) refuse(err error, user string) {
	var workspace *ebonywood.Workspace
	if set := caller.edge.port.Snapshot().ObjectSet(); set != nil {
		workspace, _ = set.WorkspaceByUser(user)
	}
	caller.edge.refusals.Count(ebonywood.FaultOf(err).Kind().String(), workspace)
	caller.sendFatal(err)
}

// sendFatal sends an error of severity FATAL, after which the session ends.
func (caller *callerSession) sendFatal(err error) {
	caller.writeFault(ebonywood.FaultOf(err), "FATAL")
	_ = caller.flush()
}
