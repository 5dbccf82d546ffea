package sessions

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// member is a fake member. It completes each statement once the test allows it to, and
// records the texts of those that it received.
type member struct {
	release chan struct{}

	mutex    sync.Mutex
	received []string
	failing  bool
}

func (member *member) Dial(ebonywood.InstanceID, ebonywood.Member, string, time.Duration) (ebonywood.MemberConn, ebonywood.Position, error) {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.failing {
		return nil, ebonywood.Position{}, ebonywood.NewFault(ebonywood.KindUnavailable, "no reply", "")
	}
	return &memberConn{member: member}, ebonywood.NewPosition(1, 1), nil
}

func (member *member) texts() []string {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return append([]string(nil), member.received...)
}

type memberConn struct {
	ebonywood.MemberConn
	member *member
}

func (conn *memberConn) Exchange(statements []ebonywood.Statement, _ time.Duration) ([]ebonywood.Reply, error) {
	var replies []ebonywood.Reply
	for _, statement := range statements {
		conn.member.mutex.Lock()
		conn.member.received = append(conn.member.received, statement.Text())
		conn.member.mutex.Unlock()
		replies = append(replies, ebonywood.NewReply(nil, "signed", ebonywood.TxIdle, ebonywood.NewPosition(1, 1)))
	}
	<-conn.member.release
	return replies, nil
}

func (*memberConn) Interrupt() {}
func (*memberConn) Close()     {}

// servingPort is a port of a process that serves the instance, which has one member.
type servingPort struct {
	*port
	member *member
}

func (port servingPort) Dialer() ebonywood.Dialer { return port.member }
func (port servingPort) Relay() ebonywood.Relay   { return nil }

func (port servingPort) Await(context.Context, func(*ebonywood.Snapshot) bool) (*ebonywood.Snapshot, error) {
	return port.snapshot, nil
}

func newServingPort() servingPort {
	serving := servingPort{port: newPort(), member: &member{release: make(chan struct{})}}
	self := ebonywood.NewPeerView("self", "a", "self")
	primary := ebonywood.NewMember("m0", "a", "m0", 1, 10, false)
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(serving.snapshot.ObjectSet())
	draft.SetOwners(ebonywood.NewOwners("self", map[ebonywood.InstanceID][]ebonywood.PeerView{db: {self}}, nil))
	draft.AddView(ebonywood.NewInstanceView(db, 1, "m0", false,
		[]ebonywood.MemberView{ebonywood.NewMemberView(primary, ebonywood.NewPosition(1, 1), 0, 0, true)}, nil))
	serving.snapshot = draft.Publish()
	return serving
}

// setObjective gives the route a latency objective.
func (port servingPort) setObjective(latency ebonywood.Millis) {
	policy := ebonywood.NewReadPolicy("p", 1000, ebonywood.StalePrimary)
	route := ebonywood.NewRoute("r", "", "shop", []ebonywood.InstanceID{db}, policy, 1000, 1, false, false, ebonywood.NewObjective(0.99, latency))
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(ebonywood.NewObjectSet(3, "", nil, port.snapshot.ObjectSet().Instances(), []*ebonywood.Route{route}))
	draft.SetOwners(port.snapshot.Owners())
	view, _ := port.snapshot.View(db)
	draft.AddView(view)
	port.snapshot = draft.Publish()
}

func forwardedWrite(id string) ebonywood.ForwardRequest {
	state := ebonywood.NewSessionState("shop", 3, nil, ebonywood.Position{}, 0)
	return ebonywood.NewForwardRequest(state, ebonywood.NewStatement(id, ebonywood.VerbWrite, "WRITE a "+id, "", ""), "")
}

// TestAbandonedRequestIsNotRun fills the slots of a member with writes of other proxies.
// A further write waits until its proxy gives up, and must not be run after that: its
// caller has been told that the outcome is unknown, and retries.
func TestAbandonedRequestIsNotRun(t *testing.T) {
	port := newServingPort()
	edge := New(port)
	edge.pool(db, ebonywood.NewMember("m0", "a", "m0", 1, 10, false)).trim(shareConnections(131, 10), minSlots)
	var group sync.WaitGroup
	run := func(ctx context.Context, id string) {
		group.Go(func() { edge.OpenForwarded(ctx, forwardedWrite(id)).Run(forwardedWrite(id)) })
	}
	for i := range minSlots {
		run(context.Background(), string(rune('1'+i)))
		require.Eventually(t, func() bool { return len(port.member.texts()) == i+1 }, 5*time.Second, time.Millisecond)
	}
	ctx, giveUp := context.WithCancel(context.Background())
	run(ctx, "given-up")
	time.Sleep(20 * time.Millisecond)
	giveUp()
	time.Sleep(20 * time.Millisecond)
	close(port.member.release)
	group.Wait()
	require.NotContains(t, port.member.texts(), "WRITE a given-up")
	edge.group.Stop()
	require.NoError(t, edge.group.Wait())
}
