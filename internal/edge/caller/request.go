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
	requestSize = 64 << 20
	// statementLimit bounds the prepared statements of one session.
	statementLimit = 1024
	// namePrefix begins the names of prepared statements at targets.
	namePrefix = "ew_"
)

// statements are the prepared statements of a session, by the caller's names.
// The zero value works.
type statements struct {
	byName map[string]prepared
}

// prepared is one statement of a session.
type prepared struct {
	preparation ebonywood.PreparedStatement
	access      ebonywood.Access
	shape       uint64
	setting     string
	word        string
}

// callerRequest is all that a caller sent before it waits.
type callerRequest struct {
	body         []byte
	preparations []ebonywood.PreparedStatement
	access       ebonywood.Access
	shape        uint64
	// word is the first word of the first statement, in capitals.
	word string
	// setting is the text of a statement that sets something for the session.
	setting string
	// inDoubt says that a primary may have run the request.
	inDoubt bool
	// closes tells, for each CloseComplete to come, whether it stands for the
	// caller's Parse.
	closes []bool
}

func (request *callerRequest) forTarget(setup string) *ebonywood.Request {
	return ebonywood.NewRequest(request.body, request.preparations, setup, request.setting != "")
}

// readRequest collects messages up to a Query or Sync. It returns nil when the
// caller says goodbye.
//
// Prepared statements live in the session, not at a target: a Parse is replaced
// by the Close of a name that doesn't exist, whose answer takes the place of the
// answer to the Parse, and the statement is prepared under a name that all
// sessions share wherever it is first used.
func (caller *conversation) readRequest() (*callerRequest, error) {
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
		if err := caller.add(request, message); err != nil {
			return nil, err
		}
		if len(request.body) > requestSize {
			return nil, ebonywood.NewFault(ebonywood.KindBadInput,
				fmt.Sprintf("more than %d bytes before a Sync", requestSize), "send a Sync after each statement")
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
	request.word = firstUpper(text)
	if isSetting(text) {
		request.setting, request.access = text, ebonywood.AccessRead
	}
	return nil
}

// add takes one message of the extended protocol.
func (caller *conversation) add(request *callerRequest, message []byte) error {
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

func (caller *conversation) addParse(request *callerRequest, body []byte) error {
	var parse pgproto3.Parse
	if err := parse.Decode(body); err != nil {
		return malformed(err)
	}
	name := parse.Name
	sum := sha256.Sum256(body[len(name)+1:])
	parse.Name = namePrefix + hex.EncodeToString(sum[:16])
	encoded, err := parse.Encode(nil)
	if err != nil {
		return malformed(err)
	}
	if caller.known.byName == nil {
		caller.known.byName = map[string]prepared{}
	}
	if _, replaced := caller.known.byName[name]; !replaced && len(caller.known.byName) >= statementLimit {
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("more than %d prepared statements", statementLimit),
			"close statements that are no longer used")
	}
	known := prepared{
		preparation: ebonywood.NewPreparedStatement(parse.Name, encoded),
		access:      accessOf(parse.Query), shape: shapeOf(parse.Query), word: firstUpper(parse.Query),
	}
	if isSetting(parse.Query) {
		known.setting, known.access = parse.Query, ebonywood.AccessRead
	}
	caller.known.byName[name] = known
	request.use(known)
	return request.addPlaceholder(true)
}

// use makes the request depend on a prepared statement.
func (request *callerRequest) use(known prepared) {
	request.preparations = append(request.preparations, known.preparation)
	if known.access == ebonywood.AccessWrite {
		request.access = ebonywood.AccessWrite
	}
	request.shape = request.shape*31 + known.shape
	if request.word == "" {
		request.word = known.word
	}
	if known.setting != "" {
		request.setting = known.setting
	}
}

// addPlaceholder sends the Close of a name that doesn't exist, which a target
// answers in order and without effect.
func (request *callerRequest) addPlaceholder(isParse bool) error {
	request.closes = append(request.closes, isParse)
	placeholder := pgproto3.Close{ObjectType: 'S', Name: namePrefix + "none"}
	body, err := placeholder.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = body
	return nil
}

func (caller *conversation) addBind(request *callerRequest, body []byte) error {
	var bind pgproto3.Bind
	if err := bind.Decode(body); err != nil {
		return malformed(err)
	}
	if known, found := caller.known.byName[bind.PreparedStatement]; found {
		request.use(known)
		bind.PreparedStatement = known.preparation.Name()
	}
	encoded, err := bind.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = encoded
	return nil
}

func (caller *conversation) addDescribe(request *callerRequest, message, body []byte) error {
	var describe pgproto3.Describe
	if err := describe.Decode(body); err != nil {
		return malformed(err)
	}
	known, found := caller.known.byName[describe.Name]
	if describe.ObjectType != 'S' || !found {
		request.body = append(request.body, message...)
		return nil
	}
	request.use(known)
	describe.Name = known.preparation.Name()
	encoded, err := describe.Encode(request.body)
	if err != nil {
		return malformed(err)
	}
	request.body = encoded
	return nil
}

func (caller *conversation) addClose(request *callerRequest, body []byte) error {
	var message pgproto3.Close
	if err := message.Decode(body); err != nil {
		return malformed(err)
	}
	if message.ObjectType == 'S' {
		delete(caller.known.byName, message.Name)
		return request.addPlaceholder(false)
	}
	request.closes = append(request.closes, false)
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
	var plain [1]byte
	quoted := false
	for i := range len(sql) {
		letter := sql[i]
		if letter == '\'' {
			quoted = !quoted
		}
		if quoted || letter >= '0' && letter <= '9' {
			continue
		}
		plain[0] = letter
		_, _ = digest.Write(plain[:])
	}
	return digest.Sum64()
}
