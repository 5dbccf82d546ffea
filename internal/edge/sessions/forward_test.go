package sessions

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/burn"
	"github.com/ebonywood/ebonywood/internal/clock"
)

const db ebonywood.InstanceID = "db"

// port is a kernel with one route to an instance that two other proxies serve.
type port struct {
	ebonywood.Port
	snapshot *ebonywood.Snapshot
	relay    *relay
	levels   burn.Ledger
	clock    clock.Monotonic
}

type settings struct {
	ebonywood.Settings
}

func (settings) Zone() string             { return "a" }
func (settings) Limits() ebonywood.Limits { return ebonywood.Limits{} }

func (port *port) Post(context.Context, ebonywood.Event) error { return nil }
func (port *port) Snapshot() *ebonywood.Snapshot               { return port.snapshot }
func (port *port) Relay() ebonywood.Relay                      { return port.relay }
func (port *port) ServiceLevels() ebonywood.ServiceLevels      { return &port.levels }
func (port *port) Clock() ebonywood.Clock                      { return port.clock }
func (port *port) Settings() ebonywood.Settings                { return settings{} }
func (port *port) Log() logr.Logger                            { return logr.Discard() }
func (port *port) Metrics() tally.Scope                        { return tally.NoopScope }

func newPort() *port {
	near, far := ebonywood.NewPeerView("near", "a", "near"), ebonywood.NewPeerView("far", "b", "far")
	owners := ebonywood.NewOwners("self", map[ebonywood.InstanceID][]ebonywood.PeerView{db: {far, near}}, nil)
	policy := ebonywood.NewReadPolicy("p", 1000, ebonywood.StalePrimary)
	route := ebonywood.NewRoute("r", "", "shop", []ebonywood.InstanceID{db}, policy, 1000, 1, false, false, ebonywood.Objective{})
	instance := ebonywood.NewInstance(db, nil)
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(ebonywood.NewObjectSet(3, "", nil, []ebonywood.Instance{instance}, []*ebonywood.Route{route}))
	draft.SetOwners(owners)
	draft.AddView(ebonywood.NewInstanceView(db, 1, "", false, nil, nil))
	return &port{snapshot: draft.Publish(), relay: &relay{fates: map[string][]fate{}}}
}

// fate is what becomes of one piece of work at a proxy.
type fate uint8

const (
	done fate = iota
	unreachable
	refusing
	losing
	// hanging leaves work without an answer until it is interrupted or its limit
	// has passed.
	hanging
)

// relay plays the proxies that serve: their fates in order, then done.
type relay struct {
	fates  map[string][]fate
	works  []ebonywood.ForwardRequest
	peers  []string
	broken int
	// dead says that no proxy answers whether it lives.
	dead atomic.Bool
	// forgotten is the proxy whose idle channels were closed last.
	forgotten atomic.Value
}

type channel struct {
	relay       *relay
	peer        string
	inside      bool
	interrupted chan struct{}
}

func (relay *relay) next(peer string) fate {
	fates := relay.fates[peer]
	if len(fates) == 0 {
		return done
	}
	relay.fates[peer] = fates[1:]
	return fates[0]
}

func (relay *relay) Open(peer ebonywood.PeerView, _ time.Duration) (ebonywood.PeerConn, error) {
	if fates := relay.fates[peer.Name()]; len(fates) > 0 && fates[0] == unreachable {
		relay.fates[peer.Name()] = fates[1:]
		return nil, errors.New("connection refused")
	}
	return &channel{relay: relay, peer: peer.Name(), interrupted: make(chan struct{}, 1)}, nil
}

func (relay *relay) FetchChanges(context.Context, string, ebonywood.Cursor, ebonywood.Millis) (ebonywood.MirrorPage, error) {
	return ebonywood.MirrorPage{}, errors.New("not followed here")
}

func (channel *channel) Exchange(work ebonywood.ForwardRequest, limit time.Duration) (ebonywood.ForwardResult, error) {
	relay := channel.relay
	relay.works = append(relay.works, work)
	relay.peers = append(relay.peers, channel.peer)
	switch relay.next(channel.peer) {
	case losing:
		return ebonywood.ForwardResult{}, errors.New("connection reset")
	case hanging:
		select {
		case <-channel.interrupted:
		case <-time.After(limit):
		}
		return ebonywood.ForwardResult{}, errors.New("i/o timeout")
	case refusing:
		return ebonywood.NewForwardRefusal("the proxy is leaving"), nil
	}
	if work.Begin() != ebonywood.VerbOther {
		channel.inside = true
	}
	state := ebonywood.TxIdle
	if verb := work.Statement().Verb(); verb == ebonywood.VerbCommit || verb == ebonywood.VerbRollback {
		channel.inside = false
	}
	if channel.inside {
		state = ebonywood.TxOpen
	}
	floor := ebonywood.NewPosition(1, uint64(len(relay.works)))
	return ebonywood.NewForwardResult(ebonywood.NewReply(nil, "signed", state, floor), floor, 0), nil
}

func (relay *relay) Ping(context.Context, string) error {
	if relay.dead.Load() {
		return errors.New("no answer")
	}
	return nil
}

func (relay *relay) CloseIdle(peer ebonywood.PeerView) { relay.forgotten.Store(peer.Name()) }

func (channel *channel) Interrupt() { channel.interrupted <- struct{}{} }

func (channel *channel) Release(broken bool) {
	if broken {
		channel.relay.broken++
	}
}

var (
	read     = ebonywood.NewStatement("1", ebonywood.VerbRead, "READ a", "", "")
	write    = ebonywood.NewStatement("2", ebonywood.VerbWrite, "WRITE a b", "", "")
	begin    = ebonywood.NewStatement("3", ebonywood.VerbBegin, "BEGIN", "", "")
	commit   = ebonywood.NewStatement("4", ebonywood.VerbCommit, "COMMIT", "", "")
	rollBack = ebonywood.NewStatement("5", ebonywood.VerbRollback, "ROLLBACK", "", "")
)

// TestOutcomesOfForwardedWork: what the caller is told for each way in which work
// at another proxy can end. Nothing is promised that is not proved.
func TestOutcomesOfForwardedWork(t *testing.T) {
	for name, test := range map[string]struct {
		near, far  []fate
		statements []ebonywood.Statement
		codes      []ebonywood.Code
		state      ebonywood.TxState
		ran        []string
	}{
		"nearest first":        {statements: []ebonywood.Statement{read}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"near"}},
		"unreachable":          {near: []fate{unreachable}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"far"}},
		"refusing":             {near: []fate{refusing}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"near", "far"}},
		"none":                 {near: []fate{unreachable}, far: []fate{unreachable}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeBusy}},
		"lost read":            {near: []fate{losing}, statements: []ebonywood.Statement{read}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"near", "far"}},
		"lost write":           {near: []fate{losing}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeUnknown}, ran: []string{"near"}},
		"lost first statement": {near: []fate{losing}, statements: []ebonywood.Statement{begin, write}, codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeAborted}, state: ebonywood.TxFailed, ran: []string{"near"}},
		"lost statement": {
			near: []fate{done, losing}, statements: []ebonywood.Statement{begin, write, read, rollBack},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeAborted, ebonywood.CodeDone}, ran: []string{"near", "near"},
		},
		"lost commit of a write": {
			near: []fate{done, losing}, statements: []ebonywood.Statement{begin, write, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeUnknown}, ran: []string{"near", "near"},
		},
		"lost commit of a read": {
			near: []fate{done, losing}, statements: []ebonywood.Statement{begin, read, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeAborted}, ran: []string{"near", "near"},
		},
		"transaction begins elsewhere": {
			near: []fate{refusing}, statements: []ebonywood.Statement{begin, write, read, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeDone}, ran: []string{"near", "far", "far", "far"},
		},
		"transaction begins nowhere": {
			near: []fate{unreachable}, far: []fate{refusing}, statements: []ebonywood.Statement{begin, write, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeAborted, ebonywood.CodeAborted}, ran: []string{"far"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			port := newPort()
			port.relay.fates["near"], port.relay.fates["far"] = test.near, test.far
			session, code := New(port).Open("shop")
			require.Equal(t, ebonywood.CodeDone, code)
			var reply ebonywood.Reply
			port.relay.dead.Store(true)
			for i, statement := range test.statements {
				reply = session.Handle(statement)
				require.Equal(t, test.codes[i], reply.Code(), "%d: %s", i, reply.Message())
			}
			if test.state == 0 {
				test.state = ebonywood.TxIdle
			}
			require.Equal(t, test.state, reply.State())
			require.Equal(t, test.state == ebonywood.TxIdle, session.IsIdle())
			require.Equal(t, test.ran, port.relay.peers)
		})
	}
}

// TestWorkCarriesTheSession: the floor that one piece of work leaves goes along with
// the next, and the settings with both.
func TestWorkCarriesTheSession(t *testing.T) {
	port := newPort()
	session, _ := New(port).Open("shop")
	session.Handle(ebonywood.NewStatement("0", ebonywood.VerbSet, "SET zone bole", "zone", "bole"))
	session.Handle(write)
	session.Handle(read)
	first, second := port.relay.works[0].State(), port.relay.works[1].State()
	require.Equal(t, map[string]string{"zone": "bole"}, first.Settings())
	require.Equal(t, first.Settings(), second.Settings())
	require.Equal(t, ebonywood.NewPosition(1, 1), second.Floor())
	require.Equal(t, uint64(3), second.Generation())
	require.Equal(t, "READ a", port.relay.works[1].Statement().Text())
}

// TestAbandonedWorkIsRolledBack where it runs.
func TestAbandonedWorkIsRolledBack(t *testing.T) {
	port := newPort()
	session, _ := New(port).Open("shop")
	session.Handle(begin)
	session.Handle(write)
	session.Abandon()
	require.Equal(t, ebonywood.VerbRollback, port.relay.works[1].Statement().Verb())
	require.Zero(t, port.relay.broken)
	require.True(t, session.IsIdle())
}

// TestFailedProxyIsPassedOver until it answers again.
func TestFailedProxyIsPassedOver(t *testing.T) {
	port := newPort()
	port.relay.fates["near"] = []fate{losing}
	port.relay.dead.Store(true)
	edge := New(port)
	session, _ := edge.Open("shop")
	session.Handle(write)
	session.Handle(write)
	require.Equal(t, []string{"near", "far"}, port.relay.peers)
	port.relay.dead.Store(false)
	near := edge.peer(ebonywood.NewPeerView("near", "a", "near"))
	require.Eventually(t, func() bool { return !near.isAvoided() }, 10*time.Second, time.Millisecond)
	session.Handle(write)
	require.Equal(t, "near", port.relay.peers[2])
}

// TestReadLeavesASilentProxy long before its own deadline: the proxy leaves work
// without an answer, and does not answer a fresh question either.
func TestReadLeavesASilentProxy(t *testing.T) { leaveSilence(t, true) }

// TestReadLeavesASilentConnection: the proxy answers a fresh question, so it is the
// connections that went silent. Those that lie idle are not used again.
func TestReadLeavesASilentConnection(t *testing.T) {
	port := leaveSilence(t, false)
	require.Equal(t, "near", port.relay.forgotten.Load())
}

func leaveSilence(t *testing.T, dead bool) *port {
	port := newPort()
	port.relay.fates["near"] = []fate{hanging}
	port.relay.dead.Store(dead)
	edge := New(port)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				edge.watchPeers()
			}
		}
	}()
	session, _ := edge.Open("shop")
	require.Equal(t, ebonywood.CodeDone, session.Handle(read).Code())
	require.Equal(t, []string{"near", "far"}, port.relay.peers)
	return port
}

// TestWriteWaitsForASilentProxy to its end, since it may have been run.
func TestWriteWaitsForASilentProxy(t *testing.T) {
	port := newPort()
	port.relay.fates["near"] = []fate{hanging}
	port.relay.dead.Store(true)
	edge := New(port)
	session, _ := edge.Open("shop")
	time.AfterFunc(300*time.Millisecond, edge.watchPeers)
	require.Contains(t, []ebonywood.Code{ebonywood.CodeUnknown, ebonywood.CodeTimeout}, session.Handle(write).Code())
	require.Equal(t, []string{"near"}, port.relay.peers)
}
