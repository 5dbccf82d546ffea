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

// port is a fake kernel port with one route to an instance that two other proxies serve.
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
	return &port{snapshot: draft.Publish(), relay: &relay{behaviours: map[string][]behaviour{}}}
}

// behaviour is how a fake proxy handles one request.
type behaviour uint8

const (
	completes behaviour = iota
	unreachable
	refuses
	losesReply
	// hangs sends no reply until the request is interrupted or its timeout has passed.
	hangs
	// overloaded replies that the statement was refused for lack of capacity.
	overloaded
)

// relay is a fake of the proxies that serve the instance. Each handles its requests by its
// scripted behaviours in order, then by completing them.
type relay struct {
	behaviours  map[string][]behaviour
	requests    []ebonywood.ForwardRequest
	peers       []string
	brokenConns int
	// dead reports that no proxy replies to pings.
	dead atomic.Bool
	// closedIdle names the proxy whose idle connections were closed last.
	closedIdle atomic.Value
}

type peerConn struct {
	relay         *relay
	peer          string
	inTransaction bool
	interrupted   chan struct{}
}

func (relay *relay) nextBehaviour(peer string) behaviour {
	pending := relay.behaviours[peer]
	if len(pending) == 0 {
		return completes
	}
	relay.behaviours[peer] = pending[1:]
	return pending[0]
}

func (relay *relay) Open(peer ebonywood.PeerView, _ time.Duration) (ebonywood.PeerConn, error) {
	if pending := relay.behaviours[peer.Name()]; len(pending) > 0 && pending[0] == unreachable {
		relay.behaviours[peer.Name()] = pending[1:]
		return nil, errors.New("connection refused")
	}
	return &peerConn{relay: relay, peer: peer.Name(), interrupted: make(chan struct{}, 1)}, nil
}

func (relay *relay) FetchChanges(context.Context, string, ebonywood.Cursor, ebonywood.Millis) (ebonywood.MirrorPage, error) {
	return ebonywood.MirrorPage{}, errors.New("FetchChanges is not supported")
}

func (relay *relay) RequestTokens(context.Context, string, ebonywood.TokenRequest) (ebonywood.TokenReply, error) {
	return ebonywood.TokenReply{}, errors.New("RequestTokens is not supported")
}

func (conn *peerConn) Exchange(request ebonywood.ForwardRequest, timeout time.Duration) (ebonywood.ForwardResult, error) {
	relay := conn.relay
	relay.requests = append(relay.requests, request)
	relay.peers = append(relay.peers, conn.peer)
	switch relay.nextBehaviour(conn.peer) {
	case losesReply:
		return ebonywood.ForwardResult{}, errors.New("connection reset")
	case hangs:
		select {
		case <-conn.interrupted:
		case <-time.After(timeout):
		}
		return ebonywood.ForwardResult{}, errors.New("i/o timeout")
	case refuses:
		return ebonywood.NewForwardRefusal("the proxy is leaving"), nil
	case overloaded:
		return ebonywood.NewForwardResult(failure(ebonywood.CodeBusy, "the predicted wait is 400 ms"), ebonywood.Position{}, 0).WithRefusedWait(400), nil
	}
	if request.Begin() != ebonywood.VerbOther {
		conn.inTransaction = true
	}
	state := ebonywood.TxIdle
	if verb := request.Statement().Verb(); verb == ebonywood.VerbCommit || verb == ebonywood.VerbRollback {
		conn.inTransaction = false
	}
	if conn.inTransaction {
		state = ebonywood.TxOpen
	}
	floor := ebonywood.NewPosition(1, uint64(len(relay.requests)))
	return ebonywood.NewForwardResult(ebonywood.NewReply(nil, "signed", state, floor), floor, 0), nil
}

func (relay *relay) Ping(context.Context, string) error {
	if relay.dead.Load() {
		return errors.New("no reply")
	}
	return nil
}

func (relay *relay) CloseIdle(peer ebonywood.PeerView) { relay.closedIdle.Store(peer.Name()) }

func (conn *peerConn) Interrupt() { conn.interrupted <- struct{}{} }

func (conn *peerConn) Release(broken bool) {
	if broken {
		conn.relay.brokenConns++
	}
}

var (
	read     = ebonywood.NewStatement("1", ebonywood.VerbRead, "READ a", "", "")
	write    = ebonywood.NewStatement("2", ebonywood.VerbWrite, "WRITE a b", "", "")
	begin    = ebonywood.NewStatement("3", ebonywood.VerbBegin, "BEGIN", "", "")
	commit   = ebonywood.NewStatement("4", ebonywood.VerbCommit, "COMMIT", "", "")
	rollBack = ebonywood.NewStatement("5", ebonywood.VerbRollback, "ROLLBACK", "", "")
)

// TestOutcomesOfForwardedStatements checks the reply to the caller for each way in which a
// forwarded statement can end. It guards against reporting an outcome that is not proven,
// and against repeating writes that may have been run.
func TestOutcomesOfForwardedStatements(t *testing.T) {
	for name, test := range map[string]struct {
		near, far  []behaviour
		statements []ebonywood.Statement
		codes      []ebonywood.Code
		state      ebonywood.TxState
		ran        []string
	}{
		"nearest first":        {statements: []ebonywood.Statement{read}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"near"}},
		"unreachable":          {near: []behaviour{unreachable}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"far"}},
		"refusing":             {near: []behaviour{refuses}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"near", "far"}},
		"none":                 {near: []behaviour{unreachable}, far: []behaviour{unreachable}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeBusy}},
		"lost read":            {near: []behaviour{losesReply}, statements: []ebonywood.Statement{read}, codes: []ebonywood.Code{ebonywood.CodeDone}, ran: []string{"near", "far"}},
		"lost read, then none": {near: []behaviour{losesReply}, far: []behaviour{refuses}, statements: []ebonywood.Statement{read}, codes: []ebonywood.Code{ebonywood.CodeAborted}, ran: []string{"near", "far"}},
		"lost write":           {near: []behaviour{losesReply}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeUnknown}, ran: []string{"near"}},
		"lost first statement": {near: []behaviour{losesReply}, statements: []ebonywood.Statement{begin, write}, codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeAborted}, state: ebonywood.TxFailed, ran: []string{"near"}},
		"lost statement": {
			near: []behaviour{completes, losesReply}, statements: []ebonywood.Statement{begin, write, read, rollBack},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeAborted, ebonywood.CodeDone}, ran: []string{"near", "near"},
		},
		"lost commit of a write": {
			near: []behaviour{completes, losesReply}, statements: []ebonywood.Statement{begin, write, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeUnknown}, ran: []string{"near", "near"},
		},
		"lost commit of a read": {
			near: []behaviour{completes, losesReply}, statements: []ebonywood.Statement{begin, read, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeAborted}, ran: []string{"near", "near"},
		},
		"transaction begins elsewhere": {
			near: []behaviour{refuses}, statements: []ebonywood.Statement{begin, write, read, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeDone}, ran: []string{"near", "far", "far", "far"},
		},
		"transaction begins nowhere": {
			near: []behaviour{unreachable}, far: []behaviour{refuses}, statements: []ebonywood.Statement{begin, write, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeAborted, ebonywood.CodeAborted}, ran: []string{"far"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			port := newPort()
			port.relay.behaviours["near"], port.relay.behaviours["far"] = test.near, test.far
			session, code := New(port).Open("shop", ebonywood.KeyDigest{})
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

// TestForwardRequestCarriesSessionState checks that the floor returned with one forwarded
// statement is sent with the next, and that both carry the session's settings.
func TestForwardRequestCarriesSessionState(t *testing.T) {
	port := newPort()
	session, _ := New(port).Open("shop", ebonywood.KeyDigest{})
	session.Handle(ebonywood.NewStatement("0", ebonywood.VerbSet, "SET zone bole", "zone", "bole"))
	session.Handle(write)
	session.Handle(read)
	first, second := port.relay.requests[0].State(), port.relay.requests[1].State()
	require.Equal(t, map[string]string{"zone": "bole"}, first.Settings())
	require.Equal(t, first.Settings(), second.Settings())
	require.Equal(t, ebonywood.NewPosition(1, 1), second.Floor())
	require.Equal(t, uint64(3), second.Generation())
	require.Equal(t, "READ a", port.relay.requests[1].Statement().Text())
}

// TestCloseRollsBackForwardedTransaction checks that closing a session rolls its transaction
// back at the proxy that runs it.
func TestCloseRollsBackForwardedTransaction(t *testing.T) {
	port := newPort()
	session, _ := New(port).Open("shop", ebonywood.KeyDigest{})
	session.Handle(begin)
	session.Handle(write)
	session.Close()
	require.Equal(t, ebonywood.VerbRollback, port.relay.requests[1].Statement().Verb())
	require.Zero(t, port.relay.brokenConns)
	require.True(t, session.IsIdle())
}

// TestFailedProxyIsAvoided checks that a proxy that lost a request gets no more until it
// replies to a ping.
func TestFailedProxyIsAvoided(t *testing.T) {
	port := newPort()
	port.relay.behaviours["near"] = []behaviour{losesReply}
	port.relay.dead.Store(true)
	edge := New(port)
	session, _ := edge.Open("shop", ebonywood.KeyDigest{})
	session.Handle(write)
	session.Handle(write)
	require.Equal(t, []string{"near", "far"}, port.relay.peers)
	port.relay.dead.Store(false)
	near := edge.peer(ebonywood.NewPeerView("near", "a", "near"))
	require.Eventually(t, func() bool { return !near.isAvoided() }, 10*time.Second, time.Millisecond)
	session.Handle(write)
	require.Equal(t, "near", port.relay.peers[2])
}

// TestReadLeavesASilentProxy checks that a read is retried at another proxy before its
// deadline if the first proxy replies neither to the read nor to a ping.
func TestReadLeavesASilentProxy(t *testing.T) { readFromHangingProxy(t, true) }

// TestReadLeavesASilentConnection checks that a read is retried at another proxy and the
// idle connections are closed if the first proxy does not reply to the read but replies to
// a ping over a new connection.
func TestReadLeavesASilentConnection(t *testing.T) {
	port := readFromHangingProxy(t, false)
	require.Equal(t, "near", port.relay.closedIdle.Load())
}

// readFromHangingProxy runs a read to which the first proxy does not reply, and checks that
// the other one serves it. dead makes pings fail too.
func readFromHangingProxy(t *testing.T, dead bool) *port {
	port := newPort()
	port.relay.behaviours["near"] = []behaviour{hangs}
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
	session, _ := edge.Open("shop", ebonywood.KeyDigest{})
	require.Equal(t, ebonywood.CodeDone, session.Handle(read).Code())
	require.Equal(t, []string{"near", "far"}, port.relay.peers)
	return port
}

// TestWriteWaitsForASilentProxy checks that a write without a reply is not sent to another
// proxy, since it may have been run.
func TestWriteWaitsForASilentProxy(t *testing.T) {
	port := newPort()
	port.relay.behaviours["near"] = []behaviour{hangs}
	port.relay.dead.Store(true)
	edge := New(port)
	session, _ := edge.Open("shop", ebonywood.KeyDigest{})
	time.AfterFunc(300*time.Millisecond, edge.watchPeers)
	require.Contains(t, []ebonywood.Code{ebonywood.CodeUnknown, ebonywood.CodeTimeout}, session.Handle(write).Code())
	require.Equal(t, []string{"near"}, port.relay.peers)
}
