package sessions

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// crowdedMember is a fake member with slots and a queue for the statements that wait for
// them. It replies BUSY to a statement that finds the queue full.
type crowdedMember struct {
	slots chan struct{}

	mutex    sync.Mutex
	random   *rand.Rand
	present  int
	capacity int
	received int
	busy     int
	// steady reports that each statement takes the mean time.
	steady bool
}

// workOf returns how long a statement occupies a slot: its value is the mean.
func (member *crowdedMember) workOf(mean time.Duration) time.Duration {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.steady {
		return mean
	}
	return time.Duration(member.random.ExpFloat64() * float64(mean))
}

// enter counts a statement and reports whether there is room for it.
func (member *crowdedMember) enter() bool {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.received++
	if member.present >= member.capacity {
		member.busy++
		return false
	}
	member.present++
	return true
}

func (member *crowdedMember) leave() {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.present--
}

func (member *crowdedMember) Dial(ebonywood.InstanceID, ebonywood.Member, string, time.Duration) (ebonywood.MemberConn, ebonywood.Position, error) {
	member.slots <- struct{}{}
	time.Sleep(12 * time.Millisecond)
	<-member.slots
	return &crowdedConn{member: member}, ebonywood.NewPosition(1, 1), nil
}

type crowdedConn struct {
	ebonywood.MemberConn
	member *crowdedMember
}

func (conn *crowdedConn) Exchange(statements []ebonywood.Statement, timeout time.Duration) ([]ebonywood.Reply, error) {
	var replies []ebonywood.Reply
	for _, statement := range statements {
		reply := ebonywood.NewReply(nil, "signed", ebonywood.TxIdle, ebonywood.NewPosition(1, 1))
		if mean, err := time.ParseDuration(statement.Text()); err == nil {
			if !conn.member.enter() {
				return append(replies, ebonywood.NewFailure(ebonywood.CodeBusy, "slots", ebonywood.TxIdle, ebonywood.Position{})), nil
			}
			sentAt := time.Now()
			conn.member.slots <- struct{}{}
			time.Sleep(conn.member.workOf(mean))
			<-conn.member.slots
			conn.member.leave()
			if time.Since(sentAt) > timeout {
				return replies, errors.New("i/o timeout")
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

func (*crowdedConn) Interrupt() {}
func (*crowdedConn) Close()     {}

// crowdedPort is the port of one of the processes that serve the member's instance.
type crowdedPort struct {
	servingPort
	member *crowdedMember
	start  time.Time
}

func (port crowdedPort) Dialer() ebonywood.Dialer { return port.member }
func (port crowdedPort) Clock() ebonywood.Clock   { return port }
func (port crowdedPort) Now() ebonywood.Millis    { return ebonywood.MillisOf(time.Since(port.start)) }

// traffic is a kind of statements that callers send.
type traffic struct {
	database  string
	priority  int
	verb      ebonywood.Verb
	work      time.Duration
	objective time.Duration
	timeout   time.Duration
	// usual and peak are the rates per second.
	usual, peak float64
}

func (traffic traffic) route() *ebonywood.Route {
	policy := ebonywood.NewReadPolicy("p", 1000, ebonywood.StalePrimary)
	return ebonywood.NewRoute(traffic.database, "", traffic.database, []ebonywood.InstanceID{db}, policy, ebonywood.MillisOf(traffic.timeout),
		1, traffic.priority <= 1, false, ebonywood.NewObjective(0.99, ebonywood.MillisOf(traffic.objective))).WithPriority(traffic.priority)
}

// second counts the callers that came within one second and those served in time.
type second struct{ callers, inTime int }

func (second second) share() float64 { return float64(second.inTime) / float64(max(1, second.callers)) }

// overload plays callers of several processes before one member with synthetic time.
type overload struct {
	member *crowdedMember
	edges  []*Edge
	random *rand.Rand

	mutex sync.Mutex
	// offered counts the statements of the callers, repetitions included.
	offered int
	// seconds holds, by kind of traffic, one element for each second.
	seconds [][]second
}

func newOverload(seed uint64, proxies, slots, queue int, kinds []traffic) *overload {
	overload := &overload{
		member:  &crowdedMember{slots: make(chan struct{}, slots), random: rand.New(rand.NewPCG(seed, 1)), capacity: slots + queue},
		random:  rand.New(rand.NewPCG(seed, 2)),
		seconds: make([][]second, len(kinds)),
	}
	var routes []*ebonywood.Route
	for _, kind := range kinds {
		routes = append(routes, kind.route())
	}
	for range proxies {
		port := crowdedPort{servingPort: newServingPort(), member: overload.member, start: time.Now()}
		draft := ebonywood.NewDraft()
		draft.SetObjectSet(ebonywood.NewObjectSet(3, "", nil, port.snapshot.ObjectSet().Instances(), routes))
		draft.SetOwners(port.snapshot.Owners())
		view, _ := port.snapshot.View(db)
		draft.AddView(view)
		port.servingPort.snapshot = draft.Publish()
		edge := New(port)
		member := ebonywood.NewMember("m0", "a", "m0", slots, 100, false)
		edge.pool(db, member).trim(shareConnections(50, proxies), edge.slotShare(member, proxies))
		overload.edges = append(overload.edges, edge)
	}
	return overload
}

// call sends one statement and repeats it up to twice. It counts as in time if it was served
// within the objective from when it was first sent.
func (overload *overload) call(kind int, traffic traffic, at int, edge *Edge, id string) {
	const retries = 2
	startedAt := time.Now()
	inTime, tries := false, 0
	session, _ := edge.Open(traffic.database, ebonywood.KeyDigest{})
	for ; tries <= retries; tries++ {
		reply := session.Handle(ebonywood.NewStatement(id, traffic.verb, traffic.work.String(), "", ""))
		if reply.Code() == ebonywood.CodeDone {
			inTime = time.Since(startedAt) <= traffic.objective
			tries++
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	session.Close()
	overload.mutex.Lock()
	defer overload.mutex.Unlock()
	overload.offered += tries
	overload.seconds[kind][at].callers++
	if inTime {
		overload.seconds[kind][at].inTime++
	}
}

// play sends the traffic of all kinds until duration, at the peak's rates between the given
// times.
func (overload *overload) play(kinds []traffic, peakFrom, peakUntil, duration time.Duration) {
	const step = time.Millisecond
	for kind := range kinds {
		overload.seconds[kind] = make([]second, duration/time.Second+1)
	}
	var callers sync.WaitGroup
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		for kind, traffic := range kinds {
			rate := traffic.usual
			if elapsed >= peakFrom && elapsed < peakUntil {
				rate = traffic.peak
			}
			if overload.random.Float64() < rate*step.Seconds() {
				edge := overload.edges[overload.random.IntN(len(overload.edges))]
				id := fmt.Sprint(kind, elapsed)
				callers.Go(func() { overload.call(kind, traffic, int(elapsed/time.Second), edge, id) })
			}
		}
		time.Sleep(step)
	}
	callers.Wait()
	for _, edge := range overload.edges {
		edge.group.Stop()
		_ = edge.group.Wait()
	}
}

// TestServiceRecoversFromOverload offers a member of four slots 60% of what it can run, from
// the 2nd to the 7th second 150%, then 60% again. Its callers repeat a refused statement up to
// twice, so that up to 450% arrive. The statements of priority 0 must be served in time all
// along, and all others again from two seconds after the peak.
//
// In one case the member's queue holds all that the processes send. Before statements past
// their objective gave way, a quarter of the statements of priority 0 were in time in the
// first second of the peak. In the other case the queue is full when the processes use 10 of
// their 16 slots, as when they don't agree how many they are. Without the retry budget they
// sent the member 2.4 times as many statements as the callers, repetitions included.
func TestServiceRecoversFromOverload(t *testing.T) {
	kinds := []traffic{
		{"strict", 0, ebonywood.VerbWrite, 5 * time.Millisecond, 150 * time.Millisecond, 1200 * time.Millisecond, 160, 320},
		{"own", 1, ebonywood.VerbWrite, 5 * time.Millisecond, 150 * time.Millisecond, 1200 * time.Millisecond, 120, 240},
		{"browse", 2, ebonywood.VerbRead, 24 * time.Millisecond, 500 * time.Millisecond, 2000 * time.Millisecond, 42, 133},
	}
	const proxies, slots = 8, 4
	for _, test := range []struct {
		name         string
		queue        int
		urgentInTime float64
	}{{"queue with room", 24, 0.9}, {"queue too short", 6, 0.5}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					overload := newOverload(seed, proxies, slots, test.queue, kinds)
					overload.play(kinds, 2*time.Second, 7*time.Second, 13*time.Second)
					sent, offered := overload.member.received, overload.offered
					t.Logf("%d statements sent of %d, %d BUSY, in time by second: %v", sent, offered, overload.member.busy, overload.seconds)
					require.LessOrEqual(t, float64(sent), (1+retryShare)*float64(offered)+proxies*retryReserve)
					for at, second := range overload.seconds[0][:13] {
						require.GreaterOrEqual(t, second.share(), test.urgentInTime, "priority 0, second %d", at)
					}
					for kind := range kinds {
						for at := 9; at < 13; at++ {
							require.GreaterOrEqual(t, overload.seconds[kind][at].share(), 0.95, "%s, second %d", kinds[kind].database, at)
						}
					}
				})
			})
		}
	}
}

// TestRetriesAtOtherProxiesAreBounded lets every reply of the proxies that serve the instance
// be lost. Without a budget each read is sent to all of them, which triples the load of
// proxies that reply too late.
func TestRetriesAtOtherProxiesAreBounded(t *testing.T) {
	const reads = 200
	port := newPort()
	edge := New(port)
	for _, peer := range []string{"near", "far"} {
		for range 2 * reads {
			port.relay.behaviours[peer] = append(port.relay.behaviours[peer], losesReply)
		}
	}
	session, _ := edge.Open("shop", ebonywood.KeyDigest{})
	for i := range reads {
		session.Handle(ebonywood.NewStatement(fmt.Sprint(i), ebonywood.VerbRead, "READ a", "", ""))
	}
	require.LessOrEqual(t, float64(len(port.relay.requests)), (1+retryShare)*reads+retryReserve)
	require.Greater(t, len(port.relay.requests), reads+reads/10)
	edge.group.Stop()
	require.NoError(t, edge.group.Wait())
}

// TestBusyProxyUsesIdleShares sends 72% of what a member can run to one of nine processes. Its
// share of two statements can run 50%, so with fixed shares about half of the statements were
// late or refused while the member idled.
func TestBusyProxyUsesIdleShares(t *testing.T) {
	kinds := []traffic{{"browse", 2, ebonywood.VerbRead, 24 * time.Millisecond, 500 * time.Millisecond, 2000 * time.Millisecond, 120, 120}}
	synctest.Test(t, func(t *testing.T) {
		overload := newOverload(1, 9, 4, 24, kinds)
		overload.member.steady = true
		others := overload.edges[1:]
		overload.edges = overload.edges[:1]
		overload.play(kinds, 0, 0, 6*time.Second)
		for _, edge := range others {
			edge.group.Stop()
			require.NoError(t, edge.group.Wait())
		}
		t.Logf("in time by second: %v", overload.seconds)
		for at, second := range overload.seconds[0][1:6] {
			require.Greater(t, second.share(), 0.95, "second %d", at+1)
		}
	})
}

// TestUrgentRetriesKeepAReserve guards against browsing that uses up the retries which
// statements of priority 0 need.
func TestUrgentRetriesKeepAReserve(t *testing.T) {
	retries := newRetryBudget()
	for range retryReserve - retryReserveForUrgent {
		require.True(t, retries.spend(2))
	}
	require.False(t, retries.spend(1))
	for range retryReserveForUrgent {
		require.True(t, retries.spend(0))
	}
	require.False(t, retries.spend(0))
}
