package peer

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/cborwire"
)

// protocolVersion grows with each change that an older proxy could misread.
// Fields that are added are ignored by older proxies and need no new version. A
// proxy serves its own version and the one before, so that a fleet can be
// upgraded host by host.
const protocolVersion = 1

// The procedures.
const (
	rpcProbe  = "ebonywood.probe"
	rpcFetch  = "ebonywood.fetch"
	rpcLane   = "ebonywood.lane"
	rpcCancel = "ebonywood.cancel"
)

var wire cborwire.Encoding

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

type probeMessage struct {
	Version    int             `cbor:"1,keyasint"`
	Address    string          `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
	Target     string          `cbor:"4,keyasint,omitempty"`
	Join       bool            `cbor:"5,keyasint,omitempty"`
	Updates    []updateMessage `cbor:"6,keyasint,omitempty"`
	Hosts      int64           `cbor:"7,keyasint"`
}

type probeReply struct {
	Version    int             `cbor:"1,keyasint"`
	Generation uint64          `cbor:"2,keyasint"`
	Reached    bool            `cbor:"3,keyasint"`
	Updates    []updateMessage `cbor:"4,keyasint,omitempty"`
	Hosts      int64           `cbor:"5,keyasint"`
}

type fetchMessage struct {
	Version int `cbor:"1,keyasint"`
}

type fetchReply struct {
	Generation uint64 `cbor:"1,keyasint"`
	Content    []byte `cbor:"2,keyasint"`
	// Hosts is the revision of the list of hosts, Leaving the list.
	Hosts   int64           `cbor:"3,keyasint"`
	Leaving map[string]bool `cbor:"4,keyasint,omitempty"`
}

// laneMessage goes from the entry proxy to the owner. The first one of a lane has
// the need; each has a request or, during a copy, more of it.
type laneMessage struct {
	Version      int                  `cbor:"1,keyasint"`
	Need         *needMessage         `cbor:"2,keyasint,omitempty"`
	Body         []byte               `cbor:"3,keyasint,omitempty"`
	Preparations []preparationMessage `cbor:"4,keyasint,omitempty"`
	Setup        string               `cbor:"5,keyasint,omitempty"`
	Deadline     int64                `cbor:"6,keyasint"`
	More         []byte               `cbor:"7,keyasint,omitempty"`
	Failed       bool                 `cbor:"8,keyasint,omitempty"`
	Taints       bool                 `cbor:"9,keyasint,omitempty"`
}

type preparationMessage struct {
	Name  string `cbor:"1,keyasint"`
	Parse []byte `cbor:"2,keyasint"`
}

type needMessage struct {
	Instance string `cbor:"1,keyasint"`
	Route    string `cbor:"2,keyasint"`
	Access   uint8  `cbor:"3,keyasint"`
	Term     uint64 `cbor:"4,keyasint"`
	Offset   uint64 `cbor:"5,keyasint"`
	// SinceAge is how long ago the floor's moment was: clocks of two hosts are
	// never compared, and the way makes the age only greater than it was.
	SinceAge int64  `cbor:"6,keyasint"`
	Last     string `cbor:"7,keyasint,omitempty"`
	Deadline int64  `cbor:"8,keyasint"`
	Shape    uint64 `cbor:"9,keyasint"`
	Lane     string `cbor:"10,keyasint"`
}

// laneReply goes back. Frames are passed on as they come; the last message of an
// exchange has the answer or a fault.
type laneReply struct {
	Member  string `cbor:"1,keyasint,omitempty"`
	Primary bool   `cbor:"2,keyasint,omitempty"`
	Frames  []byte `cbor:"3,keyasint,omitempty"`
	Asks    bool   `cbor:"4,keyasint,omitempty"`
	Done    bool   `cbor:"5,keyasint,omitempty"`
	State   uint8  `cbor:"6,keyasint,omitempty"`
	Term    uint64 `cbor:"7,keyasint,omitempty"`
	Offset  uint64 `cbor:"8,keyasint,omitempty"`
	Fault   *fault `cbor:"9,keyasint,omitempty"`
}

type fault struct {
	Kind    uint8  `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	Remedy  string `cbor:"3,keyasint"`
}

func encodeFault(err error) *fault {
	found := ebonywood.FaultOf(err)
	return &fault{Kind: uint8(found.Kind()), Message: found.Message(), Remedy: found.Remedy()}
}

func (fault *fault) decode() error {
	return ebonywood.NewFault(ebonywood.FaultKind(fault.Kind), fault.Message, fault.Remedy)
}

type cancelMessage struct {
	Version int    `cbor:"1,keyasint"`
	Lane    string `cbor:"2,keyasint"`
}

type cancelReply struct{}

func checkVersion(version int) error {
	if version == protocolVersion {
		return nil
	}
	return ebonywood.NewFault(ebonywood.KindNotRun, fmt.Sprintf("peer protocol %d is not served here", version),
		"upgrade the fleet one version at a time")
}
