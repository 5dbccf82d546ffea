package relay

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cborwire"
)

// protocolVersion is incremented with each change that an older proxy could
// misinterpret.
const protocolVersion = 1

// The remote procedures.
const (
	// rpcForward is a stream of forwarded requests, one at a time.
	rpcForward = "ebonywood.work"
	// rpcFetchChanges waits for changes of the mirror.
	rpcFetchChanges = "ebonywood.follow"
	// rpcPing checks whether a proxy responds.
	rpcPing = "ebonywood.reach"
	// rpcRequestTokens asks an allocator for tokens.
	rpcRequestTokens = "ebonywood.tokens"
)

var wire cborwire.Encoding

// forwardMessage is a forwarded request. Verb and Begin are values of ebonywood.Verb;
// Begin and TransactionAge are set in the first request of a transaction. Ages are in
// milliseconds.
type forwardMessage struct {
	Version        int               `cbor:"1,keyasint"`
	Database       string            `cbor:"2,keyasint"`
	Generation     uint64            `cbor:"3,keyasint"`
	Settings       map[string]string `cbor:"4,keyasint,omitempty"`
	FloorTerm      uint64            `cbor:"5,keyasint,omitempty"`
	Floor          uint64            `cbor:"6,keyasint,omitempty"`
	CommitAge      int64             `cbor:"7,keyasint,omitempty"`
	ID             string            `cbor:"8,keyasint"`
	Verb           uint8             `cbor:"9,keyasint"`
	Text           string            `cbor:"10,keyasint"`
	Name           string            `cbor:"11,keyasint,omitempty"`
	Value          string            `cbor:"12,keyasint,omitempty"`
	Definition     string            `cbor:"13,keyasint,omitempty"`
	Begin          uint8             `cbor:"14,keyasint,omitempty"`
	TransactionAge int64             `cbor:"15,keyasint,omitempty"`
	Workspace      string            `cbor:"16,keyasint,omitempty"`
}

// resultMessage is the result of a forwarded request. If Refusal is not empty, the
// request was not started and the other fields are not used. Code and State are values
// of ebonywood.Code and ebonywood.TxState. CommitAge is in milliseconds.
type resultMessage struct {
	Refusal   string   `cbor:"1,keyasint,omitempty"`
	Code      uint8    `cbor:"2,keyasint,omitempty"`
	Rows      []string `cbor:"3,keyasint,omitempty"`
	Signature string   `cbor:"4,keyasint,omitempty"`
	Message   string   `cbor:"5,keyasint,omitempty"`
	State     uint8    `cbor:"6,keyasint"`
	Term      uint64   `cbor:"7,keyasint,omitempty"`
	Offset    uint64   `cbor:"8,keyasint,omitempty"`
	FloorTerm uint64   `cbor:"9,keyasint,omitempty"`
	Floor     uint64   `cbor:"10,keyasint,omitempty"`
	CommitAge int64    `cbor:"11,keyasint,omitempty"`
	// RefusedWait is in milliseconds. Proxies that don't know it ignore it.
	RefusedWait int64 `cbor:"12,keyasint,omitempty"`
}

func encodeRequest(request ebonywood.ForwardRequest) *forwardMessage {
	state, statement := request.State(), request.Statement()
	return &forwardMessage{
		Version: protocolVersion, Database: state.Database(), Generation: state.Generation(), Settings: state.Settings(),
		FloorTerm: uint64(state.Floor().Term()), Floor: state.Floor().Offset(), CommitAge: int64(state.CommitAge()),
		ID: statement.ID(), Verb: uint8(statement.Verb()), Text: statement.Text(), Name: statement.Name(), Value: statement.Value(),
		Definition: request.Definition(), Begin: uint8(request.Begin()), TransactionAge: int64(request.TransactionAge()),
		Workspace: state.Workspace(),
	}
}

func (message *forwardMessage) decode() ebonywood.ForwardRequest {
	floor := ebonywood.NewPosition(ebonywood.Term(message.FloorTerm), message.Floor)
	state := ebonywood.NewSessionState(message.Database, message.Generation, message.Settings, floor, ebonywood.Millis(message.CommitAge)).
		WithWorkspace(message.Workspace)
	statement := ebonywood.NewStatement(message.ID, ebonywood.Verb(message.Verb), message.Text, message.Name, message.Value)
	request := ebonywood.NewForwardRequest(state, statement, message.Definition)
	if begin := ebonywood.Verb(message.Begin); begin != ebonywood.VerbOther {
		request = request.WithBegin(begin, ebonywood.Millis(message.TransactionAge))
	}
	return request
}

// tokensMessage is a request for tokens of an allocator.
type tokensMessage struct {
	Version   int           `cbor:"1,keyasint"`
	Proxy     string        `cbor:"2,keyasint"`
	Allocator int           `cbor:"3,keyasint"`
	Nonce     string        `cbor:"4,keyasint"`
	Needs     []needMessage `cbor:"5,keyasint"`
	Run       string        `cbor:"6,keyasint"`
	Sequence  uint64        `cbor:"7,keyasint"`
}

// needMessage is what a proxy holds and needs of the tokens of one workspace.
type needMessage struct {
	Workspace string `cbor:"1,keyasint"`
	Held      int    `cbor:"2,keyasint,omitempty"`
	Wanted    int    `cbor:"3,keyasint,omitempty"`
	Urgent    int    `cbor:"4,keyasint,omitempty"`
}

// grantsMessage is the reply to a request for tokens. If Refusal is not empty, there are no
// grants.
type grantsMessage struct {
	Refusal string         `cbor:"1,keyasint,omitempty"`
	Grants  []grantMessage `cbor:"2,keyasint,omitempty"`
	Nonce   string         `cbor:"3,keyasint,omitempty"`
}

// grantMessage is the number of tokens dealt for one workspace; RetryAfter is in milliseconds.
type grantMessage struct {
	Workspace  string `cbor:"1,keyasint"`
	Tokens     int    `cbor:"2,keyasint,omitempty"`
	RetryAfter int64  `cbor:"3,keyasint,omitempty"`
}

func encodeTokenRequest(request ebonywood.TokenRequest) *tokensMessage {
	message := &tokensMessage{
		Version: protocolVersion, Proxy: request.Proxy(), Allocator: request.Allocator(), Nonce: request.Nonce(),
		Run: request.Run(), Sequence: request.Sequence(),
	}
	for _, need := range request.Needs() {
		message.Needs = append(message.Needs, needMessage{Workspace: need.Workspace(), Held: need.Held(), Wanted: need.Wanted(), Urgent: need.Urgent()})
	}
	return message
}

func (message *tokensMessage) decode() ebonywood.TokenRequest {
	needs := make([]ebonywood.TokenNeed, 0, len(message.Needs))
	for _, need := range message.Needs {
		needs = append(needs, ebonywood.NewTokenNeed(need.Workspace, need.Held, need.Wanted).WithUrgent(need.Urgent))
	}
	return ebonywood.NewTokenRequest(message.Proxy, message.Allocator, message.Nonce, needs).WithSequence(message.Run, message.Sequence)
}

func encodeTokenReply(reply ebonywood.TokenReply) *grantsMessage {
	message := &grantsMessage{Refusal: reply.Refusal(), Nonce: reply.Nonce()}
	for _, grant := range reply.Grants() {
		message.Grants = append(message.Grants, grantMessage{Workspace: grant.Workspace(), Tokens: grant.Tokens(), RetryAfter: int64(grant.RetryAfter())})
	}
	return message
}

func (message *grantsMessage) decode() ebonywood.TokenReply {
	if message.Refusal != "" {
		return ebonywood.NewTokenRefusal(message.Refusal).WithNonce(message.Nonce)
	}
	grants := make([]ebonywood.TokenGrant, 0, len(message.Grants))
	for _, grant := range message.Grants {
		grants = append(grants, ebonywood.NewTokenGrant(grant.Workspace, grant.Tokens, ebonywood.Millis(grant.RetryAfter)))
	}
	return ebonywood.NewTokenReply(grants)
}

func encodeResult(result ebonywood.ForwardResult) *resultMessage {
	reply := result.Reply()
	return &resultMessage{
		Refusal: result.Refusal(), Code: uint8(reply.Code()), Rows: reply.Rows(), Signature: reply.Signature(),
		Message: reply.Message(), State: uint8(reply.State()), Term: uint64(reply.Position().Term()),
		Offset: reply.Position().Offset(), FloorTerm: uint64(result.Floor().Term()), Floor: result.Floor().Offset(),
		CommitAge: int64(result.CommitAge()), RefusedWait: int64(result.RefusedWait()),
	}
}

func (message *resultMessage) decode() ebonywood.ForwardResult {
	if message.Refusal != "" {
		return ebonywood.NewForwardRefusal(message.Refusal)
	}
	position := ebonywood.NewPosition(ebonywood.Term(message.Term), message.Offset)
	state := ebonywood.TxState(message.State)
	var reply ebonywood.Reply
	if code := ebonywood.Code(message.Code); code == ebonywood.CodeDone {
		reply = ebonywood.NewReply(message.Rows, message.Signature, state, position)
	} else {
		reply = ebonywood.NewFailure(code, message.Message, state, position)
	}
	floor := ebonywood.NewPosition(ebonywood.Term(message.FloorTerm), message.Floor)
	return ebonywood.NewForwardResult(reply, floor, ebonywood.Millis(message.CommitAge)).
		WithRefusedWait(ebonywood.Millis(message.RefusedWait))
}

// pingMessage is the request and the reply of rpcPing.
type pingMessage struct {
	Version int `cbor:"1,keyasint"`
}

// fetchChangesMessage requests changes after a cursor; Wait is in milliseconds.
type fetchChangesMessage struct {
	Version  int    `cbor:"1,keyasint"`
	Epoch    string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Wait     int64  `cbor:"4,keyasint"`
	Revision int64  `cbor:"5,keyasint,omitempty"`
	Era      int64  `cbor:"6,keyasint,omitempty"`
}

// pageMessage is a page of changes; Age is in milliseconds. Unchanged items have no
// values.
type pageMessage struct {
	Epoch     string        `cbor:"1,keyasint"`
	Sequence  uint64        `cbor:"2,keyasint"`
	Full      bool          `cbor:"3,keyasint"`
	Age       int64         `cbor:"4,keyasint"`
	Items     []itemMessage `cbor:"5,keyasint"`
	Unchanged []itemMessage `cbor:"6,keyasint,omitempty"`
	Revision  int64         `cbor:"7,keyasint,omitempty"`
	Era       int64         `cbor:"8,keyasint,omitempty"`
}

// itemMessage is an item. Its value is in Value, or in Compressed if it has at least
// minCompressedSize bytes.
type itemMessage struct {
	Key        string `cbor:"1,keyasint"`
	Value      []byte `cbor:"2,keyasint,omitempty"`
	Revision   int64  `cbor:"3,keyasint"`
	Deleted    bool   `cbor:"4,keyasint,omitempty"`
	Compressed []byte `cbor:"5,keyasint,omitempty"`
	Era        int64  `cbor:"6,keyasint,omitempty"`
}

// revision returns the revision of the item.
func (message itemMessage) revision() ebonywood.Revision {
	return ebonywood.NewRevision(ebonywood.Era(message.Era), message.Revision)
}

// encodeItem returns the message of an item without its value.
func encodeItem(item ebonywood.Item) itemMessage {
	revision := item.Revision()
	return itemMessage{Key: item.Key(), Revision: revision.Number(), Era: int64(revision.Era()), Deleted: item.IsDeleted()}
}

func (compressor *compressor) encodePage(page ebonywood.MirrorPage) *pageMessage {
	message := &pageMessage{
		Epoch: page.Cursor().Epoch(), Sequence: page.Cursor().Sequence(), Full: page.IsFull(), Age: int64(page.Age()),
		Revision: page.Revision().Number(), Era: int64(page.Revision().Era()),
	}
	for _, item := range page.Items() {
		encoded := encodeItem(item)
		if len(item.Value()) >= minCompressedSize {
			encoded.Compressed = compressor.compress(item)
		} else {
			encoded.Value = item.Value()
		}
		message.Items = append(message.Items, encoded)
	}
	for _, item := range page.Unchanged() {
		message.Unchanged = append(message.Unchanged, encodeItem(item))
	}
	return message
}

func (message *pageMessage) decode() (ebonywood.MirrorPage, error) {
	items := make([]ebonywood.Item, 0, len(message.Items))
	for _, encoded := range message.Items {
		if encoded.Deleted {
			items = append(items, ebonywood.NewDeletedItem(encoded.Key, encoded.revision()))
			continue
		}
		value := encoded.Value
		if len(encoded.Compressed) > 0 {
			decompressed, err := decompress(encoded.Compressed)
			if err != nil {
				return ebonywood.MirrorPage{}, err
			}
			value = decompressed
		}
		items = append(items, ebonywood.NewItem(encoded.Key, value, encoded.revision()))
	}
	unchanged := make([]ebonywood.Item, 0, len(message.Unchanged))
	for _, encoded := range message.Unchanged {
		unchanged = append(unchanged, ebonywood.NewItem(encoded.Key, nil, encoded.revision()))
	}
	cursor := ebonywood.NewCursor(message.Epoch, message.Sequence)
	revision := ebonywood.NewRevision(ebonywood.Era(message.Era), message.Revision)
	return ebonywood.NewMirrorPage(cursor, message.Full, items, ebonywood.Millis(message.Age)).WithUnchanged(unchanged).WithRevision(revision), nil
}
