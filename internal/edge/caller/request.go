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
	// requestSize bounds the messages before a Sync.
	maxRequestSize = 64 << 20
	// statementLimit bounds the prepared statements of one session.
	maxPreparedStatements = 1024
	// namePrefix begins the names of prepared statements at targets.
	preparedNamePrefix = "ew_"
)

// statements are the prepared statements of a session, by the caller's names.
// The zero value works.
type preparedStatements struct {
	byName map[string]preparedStatement
}

// prepared is one statement of a session.
type preparedStatement struct {
	preparation ebonywood.Preparation
	access      ebonywood.Access
	shape       uint64
	setting     string
	keyword     string
}

// callerRequest is all that a caller sent before it waits.
type callerRequest struct {
	body         []byte
	preparations []ebonywood.Preparation
	access       ebonywood.Access
	shape        uint64
	// word is the first word of the first statement, in capitals.
	keyword string
	// setting is the text of a statement that sets something for the session.
	setting string
	// inDoubt says that a primary may have run the request.
	inDoubt bool
	// closes tells, for each CloseComplete to come, whether it stands for the
	// caller's Parse.
	closeForParse []bool
}

func (request *callerRequest) forTarget(settings string) *ebonywood.Request {
	return ebonywood.NewRequest(request.body, request.preparations, settings, request.setting != "")
}

// readRequest collects messages up to a Query or Sync. It returns nil when the
// caller says goodbye.
//
// Prepared statements live in the session, not at a target: a Parse is replaced
// by the Close of a name that doesn't exist, whose answer takes the place of the
// answer to the Parse, and the statement is prepared under a name that all
// sessions share wherever it is first used.
func (caller *callerSession) readRequest() (*callerRequest, error) {
	request := &callerRequest{access: ebonywood.AccessRead}
	for {
		message, err := caller.frames.Next()
		if err != nil {
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
		if len(request.body) > maxRequestSize {
			return nil, ebonywood.NewFault(ebonywood.KindBadInput,
				fmt.Sprintf("more than %d bytes before a Sync", maxRequestSize), "send a Sync after each statement")
		}
	}
}

func (request *callerRequest) addQuery(message []byte) error {
	body := frame.Body(message)
	if len(body) == 0 || body[len(body)-1] != 0 {
		return malformed(errors.New("a query without its closing zero byte"))
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

// add takes one message of the extended protocol.
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
		preparation: ebonywood.NewPreparation(parse.Name, encoded),
		access:      accessOf(parse.Query), shape: shapeOf(parse.Query), keyword: firstUpper(parse.Query),
	}
	if isSetting(parse.Query) {
		statement.setting, statement.access = parse.Query, ebonywood.AccessRead
	}
	caller.statements.byName[name] = statement
	request.addStatement(statement)
	return request.addPlaceholder(true)
}

// use makes the request depend on a prepared statement.
func (request *callerRequest) addStatement(statement preparedStatement) {
	request.preparations = append(request.preparations, statement.preparation)
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

// addPlaceholder sends the Close of a name that doesn't exist, which a target
// answers in order and without effect.
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

func (caller *callerSession) addBind(request *callerRequest, body []byte) error {
	var bind pgproto3.Bind
	if err := bind.Decode(body); err != nil {
		return malformed(err)
	}
	if statement, found := caller.statements.byName[bind.PreparedStatement]; found {
		request.addStatement(statement)
		bind.PreparedStatement = statement.preparation.Name()
	}
	encoded, err := bind.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = encoded
	return nil
}

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
	describe.Name = statement.preparation.Name()
	encoded, err := describe.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = encoded
	return nil
}

func (caller *callerSession) addClose(request *callerRequest, body []byte) error {
	var message pgproto3.Close
	if err := message.Decode(body); err != nil {
		return malformed(err)
	}
	if message.ObjectType == 'S' {
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

func malformed(err error) error {
	return ebonywood.NewFault(ebonywood.KindBadInput, "malformed message: "+err.Error(),
		"connect with a PostgreSQL v3 client")
}

// shapeOf groups statements that differ in their literals only.
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
