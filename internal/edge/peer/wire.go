package peer

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cborwire"
)

// protocolVersion is incremented with each change that an older proxy could
// misinterpret. Added fields are ignored by older proxies and need no new version. From
// version 2 on, checkVersion must also accept the previous version, so that a fleet can
// be upgraded host by host.
const protocolVersion = 1

// The remote procedures.
const (
	// rpcProbe checks whether a proxy responds, and exchanges gossip.
	rpcProbe = "ebonywood.probe"
	// rpcFetch returns the object set and the list of hosts in force.
	rpcFetch = "ebonywood.fetch"
	// rpcConn is a stream of exchanges on one connection of the owner's pool.
	rpcConn = "ebonywood.lane"
	// rpcCancel cancels the exchange in flight on a connection.
	rpcCancel = "ebonywood.cancel"
)

var wire cborwire.Encoding

// updateMessage is gossip about one proxy. State is a value of ebonywood.PeerState.
type updateMessage struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	State       uint8  `cbor:"5,keyasint"`
}

func encodeUpdates(updates []ebonywood.PeerUpdate) []updateMessage {
	messages := make([]updateMessage, 0, len(updates))
	for _, update := range updates {
		messages = append(messages, updateMessage{
			Name: update.Peer().Name(), Zone: update.Peer().Zone(), Address: update.Peer().Address(),
			Incarnation: update.Incarnation(), State: uint8(update.State()),
		})
	}
	return messages
}

// decodeUpdates leaves out updates without a name or with an unknown state.
func decodeUpdates(messages []updateMessage) []ebonywood.PeerUpdate {
	updates := make([]ebonywood.PeerUpdate, 0, len(messages))
	for _, message := range messages {
		if message.State > uint8(ebonywood.PeerLeft) || message.Name == "" {
			continue
		}
		peer := ebonywood.NewPeerView(message.Name, message.Zone, message.Address)
		updates = append(updates, ebonywood.NewPeerUpdate(peer, message.Incarnation, ebonywood.PeerState(message.State)))
	}
	return updates
}

// probeMessage is a probe with the state of its sender. If Target is not empty, the
// receiver probes the proxy at that address on behalf of the sender. Join requests
// updates about all proxies that the receiver has in its snapshot.
type probeMessage struct {
	Version       int             `cbor:"1,keyasint"`
	Address       string          `cbor:"2,keyasint"`
	Generation    uint64          `cbor:"3,keyasint"`
	Target        string          `cbor:"4,keyasint,omitempty"`
	Join          bool            `cbor:"5,keyasint,omitempty"`
	Updates       []updateMessage `cbor:"6,keyasint,omitempty"`
	HostsRevision int64           `cbor:"7,keyasint"`
}

// probeReply is the reply to a probe. Reached reports whether Target replied, or is true
// if there was none.
type probeReply struct {
	Version       int             `cbor:"1,keyasint"`
	Generation    uint64          `cbor:"2,keyasint"`
	Reached       bool            `cbor:"3,keyasint"`
	Updates       []updateMessage `cbor:"4,keyasint,omitempty"`
	HostsRevision int64           `cbor:"5,keyasint"`
}

type fetchMessage struct {
	Version int `cbor:"1,keyasint"`
}

type fetchReply struct {
	Generation uint64 `cbor:"1,keyasint"`
	Content    []byte `cbor:"2,keyasint"`
	// HostsRevision is the revision of the list of hosts. Leaving is the list: whether
	// the host at an address is leaving.
	HostsRevision int64           `cbor:"3,keyasint"`
	Leaving       map[string]bool `cbor:"4,keyasint,omitempty"`
}

// exchangeMessage is sent by the entry proxy, which the caller is connected to, to the
// owner of the instance. The first one of a stream contains the requirements. Each
// contains a request or, during a COPY, its next input; InputFailed aborts the COPY.
// Settings contains the statements that set the session's changed settings on the
// connection. Timeout is in milliseconds.
type exchangeMessage struct {
	Version            int                        `cbor:"1,keyasint"`
	Requirements       *requirementsMessage       `cbor:"2,keyasint,omitempty"`
	Body               []byte                     `cbor:"3,keyasint,omitempty"`
	PreparedStatements []preparedStatementMessage `cbor:"4,keyasint,omitempty"`
	Settings           string                     `cbor:"5,keyasint,omitempty"`
	Timeout            int64                      `cbor:"6,keyasint"`
	Input              []byte                     `cbor:"7,keyasint,omitempty"`
	InputFailed        bool                       `cbor:"8,keyasint,omitempty"`
	ChangesSettings    bool                       `cbor:"9,keyasint,omitempty"`
}

// preparedStatementMessage is a statement that must be prepared on the connection first.
// Parse is the encoded message that prepares it.
type preparedStatementMessage struct {
	Name  string `cbor:"1,keyasint"`
	Parse []byte `cbor:"2,keyasint"`
}

// requirementsMessage contains the requirements of the connection to acquire. Term,
// Offset, SinceAge and LastMember are the floor. Access is a value of ebonywood.Access.
// Timeout is in milliseconds. ConnName names the connection in a cancelMessage.
type requirementsMessage struct {
	Instance string `cbor:"1,keyasint"`
	Route    string `cbor:"2,keyasint"`
	Access   uint8  `cbor:"3,keyasint"`
	Term     uint64 `cbor:"4,keyasint"`
	Offset   uint64 `cbor:"5,keyasint"`
	// SinceAge is the age of the floor's Since, in milliseconds. An age is sent because
	// clocks of two hosts are never compared. It does not include the transfer time, so
	// the owner uses a later Since, which is a stricter requirement.
	SinceAge   int64  `cbor:"6,keyasint"`
	LastMember string `cbor:"7,keyasint,omitempty"`
	Timeout    int64  `cbor:"8,keyasint"`
	Shape      uint64 `cbor:"9,keyasint"`
	ConnName   string `cbor:"10,keyasint"`
}

// exchangeReply is sent back by the owner. Frames are forwarded as they arrive. The last
// message of an exchange, with Done, contains the result (State, a value of
// ebonywood.TxState, and the position) or a fault. WantsInput requests the next input of
// a COPY.
type exchangeReply struct {
	Member     string        `cbor:"1,keyasint,omitempty"`
	Primary    bool          `cbor:"2,keyasint,omitempty"`
	Frames     []byte        `cbor:"3,keyasint,omitempty"`
	WantsInput bool          `cbor:"4,keyasint,omitempty"`
	Done       bool          `cbor:"5,keyasint,omitempty"`
	State      uint8         `cbor:"6,keyasint,omitempty"`
	Term       uint64        `cbor:"7,keyasint,omitempty"`
	Offset     uint64        `cbor:"8,keyasint,omitempty"`
	Fault      *faultMessage `cbor:"9,keyasint,omitempty"`
}

// faultMessage is an ebonywood.Fault. Kind is a value of ebonywood.FaultKind.
type faultMessage struct {
	Kind    uint8  `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	Remedy  string `cbor:"3,keyasint"`
}

func encodeFault(err error) *faultMessage {
	fault := ebonywood.FaultOf(err)
	return &faultMessage{Kind: uint8(fault.Kind()), Message: fault.Message(), Remedy: fault.Remedy()}
}

func (fault *faultMessage) decode() error {
	return ebonywood.NewFault(ebonywood.FaultKind(fault.Kind), fault.Message, fault.Remedy)
}

type cancelMessage struct {
	Version  int    `cbor:"1,keyasint"`
	ConnName string `cbor:"2,keyasint"`
}

type cancelReply struct{}

// checkVersion returns a fault of KindNotRun if the version is not supported.
func checkVersion(version int) error {
	if version == protocolVersion {
		return nil
	}
	return ebonywood.NewFault(ebonywood.KindNotRun, fmt.Sprintf("peer protocol version %d is not supported here", version),
		"upgrade the fleet one version at a time")
}
