package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

const (
	// maxPreparedStatements bounds the prepared statements of one session.
	maxPreparedStatements = 1024
	// maxStatementsSize bounds the prepared statements of one session, in bytes.
	maxStatementsSize = 2 << 20
	// preparedNamePrefix is the prefix of the names of prepared statements at targets.
	preparedNamePrefix = "ew_"
)

// preparedStatements holds the prepared statements of a session by the names that the
// caller gave them. The zero value is empty.
type preparedStatements struct {
	byName map[string]preparedStatement
	// size is the memory that they take, in bytes.
	size int64
}

// preparedStatement is one prepared statement of a session. Its fields after the first
// have the meaning of those of callerRequest.
type preparedStatement struct {
	shared  ebonywood.PreparedStatement
	access  ebonywood.Access
	shape   uint64
	setting string
	keyword string
}

// callerRequest holds the messages that a caller sends before it waits for a reply: one
// Query, or a batch of the extended protocol up to its Sync.
type callerRequest struct {
	body               []byte
	preparedStatements []ebonywood.PreparedStatement
	access             ebonywood.Access
	// shape combines the results of shapeOf for the statements of the request.
	shape uint64
	// keyword is the first word of the first statement, in upper case.
	keyword string
	// setting is the text of a statement that changes a session setting; empty if the
	// request changes none.
	setting string
	// inDoubt is set when a primary may have run the request.
	inDoubt bool
	// closeForParse holds, for each expected CloseComplete in order, whether it is the
	// reply to a placeholder of a Parse.
	closeForParse []bool
}

// forTarget returns the request for a target connection with the session's settings. It
// is marked if it changes a setting, so that the connection is not reused.
func (request *callerRequest) forTarget(settings string) *ebonywood.Request {
	return ebonywood.NewRequest(request.body, request.preparedStatements, settings, request.setting != "")
}

// readRequest reads messages up to a Query or Sync. It returns nil when the caller
// sends Terminate.
//
// Prepared statements belong to the session, not to a target connection. A Parse is
// replaced by the Close of a name that doesn't exist, and the CloseComplete of the
// target is translated to a ParseComplete. The statement is prepared on each target
// connection on its first use there, under a name derived from its text, so that
// sessions share it.
func (caller *callerSession) readRequest() (*callerRequest, error) {
	request := &callerRequest{access: ebonywood.AccessRead}
	for {
		if len(request.body) > 0 && caller.frames.Buffered() == 0 && caller.limits != nil {
			caller.limits.MessageBegun()
		}
		message, err := caller.frames.Next()
		if err != nil {
			return nil, err
		}
		if err := caller.limits.MessageRead(len(request.body) + len(message)); err != nil {
			return nil, err
		}
		switch message[0] {
		case frame.Terminate:
			return nil, nil
		case frame.Query:
			return request, request.addQuery(message)
		case frame.Sync:
			request.body = append(request.body, message...)
			return request, nil
		}
		if err := caller.addMessage(request, message); err != nil {
			return nil, err
		}
	}
}

// addQuery adds a message of the simple query protocol and classifies its text.
func (request *callerRequest) addQuery(message []byte) error {
	body := frame.Body(message)
	if len(body) == 0 || body[len(body)-1] != 0 {
		return malformed(errors.New("query without a terminating zero byte"))
	}
	request.body = append(request.body, message...)
	text := string(body[:len(body)-1])
	request.access = accessOf(text)
	request.shape = shapeOf(text)
	request.keyword = firstUpper(text)
	if isSetting(text) {
		request.setting, request.access = text, ebonywood.AccessRead
	}
	return nil
}

// addMessage adds one message of the extended protocol or of a COPY.
func (caller *callerSession) addMessage(request *callerRequest, message []byte) error {
	body := frame.Body(message)
	switch message[0] {
	case frame.Parse:
		return caller.addParse(request, body)
	case frame.Bind:
		return caller.addBind(request, body)
	case frame.Describe:
		return caller.addDescribe(request, message, body)
	case frame.Close:
		return caller.addClose(request, body)
	case frame.Execute, frame.CopyData, frame.CopyDone, frame.CopyFail:
		request.body = append(request.body, message...)
		return nil
	case frame.Flush:
		return ebonywood.NewFault(ebonywood.KindBadInput, "Flush without Sync is not supported",
			"end each batch with a Sync")
	default:
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("unexpected message %q", message[0]),
			"connect with a PostgreSQL v3 client")
	}
}

// addParse records a prepared statement in the session and adds a placeholder for its
// Parse. The shared name contains the first 16 bytes of the SHA-256 hash of the text and
// the parameter types.
func (caller *callerSession) addParse(request *callerRequest, body []byte) error {
	var parse pgproto3.Parse
	if err := parse.Decode(body); err != nil {
		return malformed(err)
	}
	name := parse.Name
	sum := sha256.Sum256(body[len(name)+1:])
	parse.Name = preparedNamePrefix + hex.EncodeToString(sum[:16])
	encoded, err := parse.Encode(nil)
	if err != nil {
		return malformed(err)
	}
	if caller.statements.byName == nil {
		caller.statements.byName = map[string]preparedStatement{}
	}
	if _, replaced := caller.statements.byName[name]; !replaced && len(caller.statements.byName) >= maxPreparedStatements {
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("more than %d prepared statements", maxPreparedStatements),
			"close statements that are no longer used")
	}
	statement := preparedStatement{
		shared: ebonywood.NewPreparedStatement(parse.Name, encoded),
		access: accessOf(parse.Query), shape: shapeOf(parse.Query), keyword: firstUpper(parse.Query),
	}
	if isSetting(parse.Query) {
		statement.setting, statement.access = parse.Query, ebonywood.AccessRead
	}
	if err := caller.keepStatement(name, statement.size()-caller.statements.byName[name].size()); err != nil {
		return err
	}
	caller.statements.byName[name] = statement
	request.addStatement(statement)
	return request.addPlaceholder(true)
}

// statementOverhead is added to the text of each prepared statement, in bytes.
const statementOverhead = 256

// size returns the memory that the statement takes, in bytes; 0 for the zero value.
func (statement preparedStatement) size() int64 {
	if statement.shared.Name() == "" {
		return 0
	}
	return int64(len(statement.shared.Parse()) + len(statement.setting) + statementOverhead)
}

// keepStatement accounts for the growth, in bytes, of what the session keeps for a statement.
func (caller *callerSession) keepStatement(name string, growth int64) error {
	if growth > 0 && caller.statements.size+growth > maxStatementsSize {
		return ebonywood.NewFault(ebonywood.KindTooLarge, fmt.Sprintf("the prepared statements of the session exceed %d bytes", maxStatementsSize),
			"close statements that are no longer used")
	}
	if !caller.limits.Keep(growth) {
		return ebonywood.NewFault(ebonywood.KindNoMemory, fmt.Sprintf("the prepared statement %q finds no memory", name),
			"close statements that are no longer used, or connect to another proxy")
	}
	caller.statements.size += growth
	return nil
}

// addStatement adds a prepared statement that the request uses, and combines its
// properties with those of the request.
func (request *callerRequest) addStatement(statement preparedStatement) {
	request.preparedStatements = append(request.preparedStatements, statement.shared)
	if statement.access == ebonywood.AccessWrite {
		request.access = ebonywood.AccessWrite
	}
	request.shape = request.shape*31 + statement.shape
	if request.keyword == "" {
		request.keyword = statement.keyword
	}
	if statement.setting != "" {
		request.setting = statement.setting
	}
}

// addPlaceholder adds the Close of a name that doesn't exist, to which a target replies
// in order and without effect. isParse is whether the caller sent a Parse.
func (request *callerRequest) addPlaceholder(isParse bool) error {
	request.closeForParse = append(request.closeForParse, isParse)
	placeholder := pgproto3.Close{ObjectType: 'S', Name: preparedNamePrefix + "none"}
	body, err := placeholder.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = body
	return nil
}

// addBind adds a Bind, with the shared name if it binds a statement of the session.
func (caller *callerSession) addBind(request *callerRequest, body []byte) error {
	var bind pgproto3.Bind
	if err := bind.Decode(body); err != nil {
		return malformed(err)
	}
	if statement, found := caller.statements.byName[bind.PreparedStatement]; found {
		request.addStatement(statement)
		bind.PreparedStatement = statement.shared.Name()
	}
	encoded, err := bind.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = encoded
	return nil
}

// addDescribe adds a Describe, with the shared name if it describes a statement of the
// session.
func (caller *callerSession) addDescribe(request *callerRequest, message, body []byte) error {
	var describe pgproto3.Describe
	if err := describe.Decode(body); err != nil {
		return malformed(err)
	}
	statement, found := caller.statements.byName[describe.Name]
	if describe.ObjectType != 'S' || !found {
		request.body = append(request.body, message...)
		return nil
	}
	request.addStatement(statement)
	describe.Name = statement.shared.Name()
	encoded, err := describe.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = encoded
	return nil
}

// addClose adds the Close of a portal. The Close of a statement removes it from the
// session only, since other sessions may use it on the target connections.
func (caller *callerSession) addClose(request *callerRequest, body []byte) error {
	var message pgproto3.Close
	if err := message.Decode(body); err != nil {
		return malformed(err)
	}
	if message.ObjectType == 'S' {
		if err := caller.keepStatement(message.Name, -caller.statements.byName[message.Name].size()); err != nil {
			return err
		}
		delete(caller.statements.byName, message.Name)
		return request.addPlaceholder(false)
	}
	request.closeForParse = append(request.closeForParse, false)
	encoded, err := message.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = encoded
	return nil
}

// malformed returns the fault of a message that can't be decoded.
func malformed(err error) error {
	return ebonywood.NewFault(ebonywood.KindBadInput, "malformed message: "+err.Error(),
		"connect with a PostgreSQL v3 client")
}

// shapeOf returns a hash of the statement without digits and quoted text, which is equal
// for statements that differ only in their literals.
func shapeOf(sql string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var buffer [1]byte
	quoted := false
	for i := range len(sql) {
		char := sql[i]
		if char == '\'' {
			quoted = !quoted
		}
		if quoted || char >= '0' && char <= '9' {
			continue
		}
		buffer[0] = char
		_, _ = digest.Write(buffer[:])
	}
	return digest.Sum64()
}
