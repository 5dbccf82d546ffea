package sessions

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/memberhealth"
)

// memberFault is how a faulty member handles reads while its health check is good.
type memberFault uint8

const (
	failsReads memberFault = iota
	leavesReadsUnanswered
)

// faultyMembers is a dialer to three members, of which m1 has a fault. It counts the reads that
// each receives.
type faultyMembers struct {
	fault memberFault

	mutex  sync.Mutex
	healed bool
	reads  map[ebonywood.MemberID]int
}

type faultyConn struct {
	ebonywood.MemberConn
	members *faultyMembers
	id      ebonywood.MemberID
}

func (members *faultyMembers) Dial(
	_ ebonywood.InstanceID, member ebonywood.Member, _ string, _ time.Duration,
) (ebonywood.MemberConn, ebonywood.Position, error) {
	return &faultyConn{members: members, id: member.ID()}, ebonywood.NewPosition(1, 1), nil
}

func (members *faultyMembers) readsAt(id ebonywood.MemberID) int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.reads[id]
}

func (conn *faultyConn) Exchange(statements []ebonywood.Statement, timeout time.Duration) ([]ebonywood.Reply, error) {
	last := statements[len(statements)-1]
	code := ebonywood.CodeDone
	if last.Verb() == ebonywood.VerbRead {
		conn.members.mutex.Lock()
		conn.members.reads[conn.id]++
		isFaulty := conn.id == "m1" && !conn.members.healed
		conn.members.mutex.Unlock()
		if isFaulty && conn.members.fault == leavesReadsUnanswered {
			time.Sleep(timeout)
			return nil, ebonywood.NewFault(ebonywood.KindUnavailable, "no answer", "")
		}
		if isFaulty {
			code = ebonywood.CodeFailed
		}
		time.Sleep(10 * time.Millisecond)
	}
	var replies []ebonywood.Reply
	for range statements {
		if code != ebonywood.CodeDone {
			replies = append(replies, ebonywood.NewFailure(code, "failed", ebonywood.TxIdle, ebonywood.NewPosition(1, 1)))
			continue
		}
		replies = append(replies, ebonywood.NewReply(nil, "signed", ebonywood.TxIdle, ebonywood.NewPosition(1, 1)))
	}
	return replies, nil
}

func (*faultyConn) Interrupt() {}
func (*faultyConn) Close()     {}

// faultyPort is a port of a process that serves an instance with faultyMembers, on the clock of
// the test.
type faultyPort struct {
	servingPort
	members *faultyMembers
	start   time.Time
}

func (port faultyPort) Dialer() ebonywood.Dialer { return port.members }
func (port faultyPort) Clock() ebonywood.Clock   { return port }
func (port faultyPort) Now() ebonywood.Millis    { return ebonywood.MillisOf(time.Since(port.start)) }

// faultyFleet is an edge with a session before faultyMembers.
type faultyFleet struct {
	edge    *Edge
	members *faultyMembers
	session ebonywood.Session
	primary *pool
}

func newFaultyFleet(t *testing.T, fault memberFault) *faultyFleet {
	t.Helper()
	members := &faultyMembers{fault: fault, reads: map[ebonywood.MemberID]int{}}
	serving := newServingPort()
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(serving.snapshot.ObjectSet())
	draft.SetOwners(serving.snapshot.Owners())
	var views []ebonywood.MemberView
	for _, id := range []ebonywood.MemberID{"m0", "m1", "m2"} {
		views = append(views, ebonywood.NewMemberView(ebonywood.NewMember(id, "a", string(id), 1, 4, false), ebonywood.NewPosition(1, 1), 0, 0, true))
	}
	draft.AddView(ebonywood.NewInstanceView(db, 1, "m0", false, views, nil))
	serving.snapshot = draft.Publish()
	edge := New(faultyPort{servingPort: serving, members: members, start: time.Now()})
	session, code := edge.Open("shop", ebonywood.KeyDigest{})
	require.Equal(t, ebonywood.CodeDone, code)
	return &faultyFleet{edge: edge, members: members, session: session, primary: edge.pool(db, views[0].Member())}
}

// read runs a number of reads, one every 50 ms, and returns how many were answered in time.
func (fleet *faultyFleet) read(count int) (answered int) {
	for range count {
		fleet.edge.recordPrimary(fleet.primary, fleet.edge.now(), ebonywood.NewPosition(1, 1))
		startedAt := time.Now()
		reply := fleet.session.Handle(read)
		if reply.Code() == ebonywood.CodeDone && time.Since(startedAt) < 500*time.Millisecond {
			answered++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return answered
}

func (fleet *faultyFleet) stop(t *testing.T) {
	t.Helper()
	fleet.session.Close()
	fleet.edge.group.Stop()
	require.NoError(t, fleet.edge.group.Wait())
}

// TestReadsLeaveAFaultyMember guards against reads that keep going to a member that fails them or
// leaves them unanswered although it accepts connections, and against never using it again.
func TestReadsLeaveAFaultyMember(t *testing.T) {
	for fault, minAnswered := range map[memberFault]int{failsReads: 200, leavesReadsUnanswered: 194} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFaultyFleet(t, fault)
			require.GreaterOrEqual(t, fleet.read(200), minAnswered)
			require.Less(t, fleet.members.readsAt("m1"), 20, "of 200 reads")
			fleet.members.mutex.Lock()
			fleet.members.healed = true
			fleet.members.mutex.Unlock()
			require.GreaterOrEqual(t, fleet.read(800), 799)
			require.Greater(t, fleet.members.readsAt("m1"), 200, "it is used again")
			fleet.stop(t)
		})
	}
}

// TestStatementThatFailsEverywhereIsNoEvidence guards against leaving members because a caller
// sends statements that are wrong.
func TestStatementThatFailsEverywhereIsNoEvidence(t *testing.T) {
	readers := newReaders(t)
	failed := failure(ebonywood.CodeFailed, "unknown command")
	for range 20 {
		var evidence readEvidence
		for i := range readers.members {
			evidence.add(readers.pool(i), failed, outcomeFinal)
		}
		evidence.giveUp(&attempt{awaited: t.Context(), deadline: time.Now()})
	}
	tracker := readers.edge.health.tracker(db)
	for _, member := range readers.members {
		require.Equal(t, memberhealth.Admitted, tracker.Standing(member.ID(), readers.edge.now()))
	}
}
