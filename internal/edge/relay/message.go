package relay

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cborwire"
)

// protocolVersion grows with each change that an older proxy could misread.
const protocolVersion = 1

// The procedures.
const (
	// rpcWork is a stream that carries pieces of work one after the other.
	rpcWork = "ebonywood.work"
	// rpcFollow waits for changes of the mirror.
	rpcFollow = "ebonywood.follow"
	// rpcReach only answers.
	rpcReach = "ebonywood.reach"
)

var wire cborwire.Encoding

// workMessage is a piece of work. Spans are in milliseconds.
type workMessage struct {
	Version    int               `cbor:"1,keyasint"`
	Database   string            `cbor:"2,keyasint"`
	Generation uint64            `cbor:"3,keyasint"`
	Settings   map[string]string `cbor:"4,keyasint,omitempty"`
	FloorTerm  uint64            `cbor:"5,keyasint,omitempty"`
	Floor      uint64            `cbor:"6,keyasint,omitempty"`
	WroteAge   int64             `cbor:"7,keyasint,omitempty"`
	ID         string            `cbor:"8,keyasint"`
	Verb       uint8             `cbor:"9,keyasint"`
	Text       string            `cbor:"10,keyasint"`
	Name       string            `cbor:"11,keyasint,omitempty"`
	Value      string            `cbor:"12,keyasint,omitempty"`
	Definition string            `cbor:"13,keyasint,omitempty"`
	Begin      uint8             `cbor:"14,keyasint,omitempty"`
	BeganAge   int64             `cbor:"15,keyasint,omitempty"`
}

// doneMessage is the outcome of a piece of work.
type doneMessage struct {
	Refused   string   `cbor:"1,keyasint,omitempty"`
	Code      uint8    `cbor:"2,keyasint,omitempty"`
	Rows      []string `cbor:"3,keyasint,omitempty"`
	Signature string   `cbor:"4,keyasint,omitempty"`
	Message   string   `cbor:"5,keyasint,omitempty"`
	State     uint8    `cbor:"6,keyasint"`
	Term      uint64   `cbor:"7,keyasint,omitempty"`
	Offset    uint64   `cbor:"8,keyasint,omitempty"`
	FloorTerm uint64   `cbor:"9,keyasint,omitempty"`
	Floor     uint64   `cbor:"10,keyasint,omitempty"`
	WroteAge  int64    `cbor:"11,keyasint,omitempty"`
}

func encodeWork(work ebonywood.ForwardRequest) *workMessage {
	state, statement := work.State(), work.Statement()
	return &workMessage{
		Version: protocolVersion, Database: state.Database(), Generation: state.Generation(), Settings: state.Settings(),
		FloorTerm: uint64(state.Floor().Term()), Floor: state.Floor().Offset(), WroteAge: int64(state.CommitAge()),
		ID: statement.ID(), Verb: uint8(statement.Verb()), Text: statement.Text(), Name: statement.Name(), Value: statement.Value(),
		Definition: work.Definition(), Begin: uint8(work.Begin()), BeganAge: int64(work.TransactionAge()),
	}
}

func (message *workMessage) decode() ebonywood.ForwardRequest {
	floor := ebonywood.NewPosition(ebonywood.Term(message.FloorTerm), message.Floor)
	state := ebonywood.NewSessionState(message.Database, message.Generation, message.Settings, floor, ebonywood.Millis(message.WroteAge))
	statement := ebonywood.NewStatement(message.ID, ebonywood.Verb(message.Verb), message.Text, message.Name, message.Value)
	work := ebonywood.NewForwardRequest(state, statement, message.Definition)
	if begin := ebonywood.Verb(message.Begin); begin != ebonywood.VerbOther {
		work = work.WithBegin(begin, ebonywood.Millis(message.BeganAge))
	}
	return work
}

func encodeDone(done ebonywood.ForwardResult) *doneMessage {
	reply := done.Reply()
	return &doneMessage{
		Refused: done.Refusal(), Code: uint8(reply.Code()), Rows: reply.Rows(), Signature: reply.Signature(),
		Message: reply.Message(), State: uint8(reply.State()), Term: uint64(reply.Position().Term()),
		Offset: reply.Position().Offset(), FloorTerm: uint64(done.Floor().Term()), Floor: done.Floor().Offset(),
		WroteAge: int64(done.CommitAge()),
	}
}

func (message *doneMessage) decode() ebonywood.ForwardResult {
	if message.Refused != "" {
		return ebonywood.NewForwardRefusal(message.Refused)
	}
	at := ebonywood.NewPosition(ebonywood.Term(message.Term), message.Offset)
	state := ebonywood.TxState(message.State)
	var reply ebonywood.Reply
	if code := ebonywood.Code(message.Code); code == ebonywood.CodeDone {
		reply = ebonywood.NewReply(message.Rows, message.Signature, state, at)
	} else {
		reply = ebonywood.NewFailure(code, message.Message, state, at)
	}
	floor := ebonywood.NewPosition(ebonywood.Term(message.FloorTerm), message.Floor)
	return ebonywood.NewForwardResult(reply, floor, ebonywood.Millis(message.WroteAge))
}

// reachMessage is the question whether a proxy lives, and the answer.
type reachMessage struct {
	Version int `cbor:"1,keyasint"`
}

// followMessage asks for changes; the wait is in milliseconds.
type followMessage struct {
	Version  int    `cbor:"1,keyasint"`
	Epoch    string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Wait     int64  `cbor:"4,keyasint"`
	Revision int64  `cbor:"5,keyasint,omitempty"`
}

// pageMessage tells of changes; the age is in milliseconds.
type pageMessage struct {
	Epoch    string        `cbor:"1,keyasint"`
	Sequence uint64        `cbor:"2,keyasint"`
	Whole    bool          `cbor:"3,keyasint"`
	Age      int64         `cbor:"4,keyasint"`
	Items    []itemMessage `cbor:"5,keyasint"`
	Kept     []itemMessage `cbor:"6,keyasint,omitempty"`
	At       int64         `cbor:"7,keyasint,omitempty"`
}

// itemMessage is an item. A long value comes packed.
type itemMessage struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Packed   []byte `cbor:"5,keyasint,omitempty"`
}

func (packer *packer) encodePage(page ebonywood.MirrorPage) *pageMessage {
	message := &pageMessage{
		Epoch: page.Cursor().Epoch(), Sequence: page.Cursor().Sequence(), Whole: page.IsFull(), Age: int64(page.Age()),
		At: page.Revision(),
	}
	for _, item := range page.Items() {
		each := itemMessage{Key: item.Key(), Revision: item.Revision(), Deleted: item.IsDeleted()}
		if len(item.Value()) >= packedSize {
			each.Packed = packer.pack(item)
		} else {
			each.Value = item.Value()
		}
		message.Items = append(message.Items, each)
	}
	for _, item := range page.Unchanged() {
		message.Kept = append(message.Kept, itemMessage{Key: item.Key(), Revision: item.Revision()})
	}
	return message
}

func (message *pageMessage) decode() (ebonywood.MirrorPage, error) {
	items := make([]ebonywood.Item, 0, len(message.Items))
	for _, each := range message.Items {
		if each.Deleted {
			items = append(items, ebonywood.NewDeletedItem(each.Key, each.Revision))
			continue
		}
		value := each.Value
		if len(each.Packed) > 0 {
			unpacked, err := unpack(each.Packed)
			if err != nil {
				return ebonywood.MirrorPage{}, err
			}
			value = unpacked
		}
		items = append(items, ebonywood.NewItem(each.Key, value, each.Revision))
	}
	kept := make([]ebonywood.Item, 0, len(message.Kept))
	for _, each := range message.Kept {
		kept = append(kept, ebonywood.NewItem(each.Key, nil, each.Revision))
	}
	cursor := ebonywood.NewCursor(message.Epoch, message.Sequence)
	return ebonywood.NewMirrorPage(cursor, message.Whole, items, ebonywood.Millis(message.Age)).WithUnchanged(kept).WithRevision(message.At), nil
}
