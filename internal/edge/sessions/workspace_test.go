package sessions

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonywood/ebonywood"
)

// workspaceDialer is a fake member that records the connections opened for each workspace.
type workspaceDialer struct {
	mutex      sync.Mutex
	open       int
	mostOpen   int
	workspaces []string
}

func (dialer *workspaceDialer) Dial(
	_ ebonywood.InstanceID, _ ebonywood.Member, workspace string, _ time.Duration,
) (ebonywood.MemberConn, ebonywood.Position, error) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.open++
	dialer.mostOpen = max(dialer.mostOpen, dialer.open)
	dialer.workspaces = append(dialer.workspaces, workspace)
	return &workspaceConn{dialer: dialer, workspace: workspace}, ebonywood.NewPosition(1, 1), nil
}

func (dialer *workspaceDialer) openCount() int {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return dialer.open
}

func (dialer *workspaceDialer) dials() []string {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return append([]string(nil), dialer.workspaces...)
}

// workspaceConn is a connection that its member knows to belong to a workspace.
type workspaceConn struct {
	ebonywood.MemberConn
	dialer    *workspaceDialer
	workspace string
}

func (*workspaceConn) Interrupt() {}

func (conn *workspaceConn) Close() {
	conn.dialer.mutex.Lock()
	defer conn.dialer.mutex.Unlock()
	conn.dialer.open--
}

// Exchange completes each statement with the workspace as its row.
func (conn *workspaceConn) Exchange(statements []ebonywood.Statement, _ time.Duration) (replies []ebonywood.Reply, err error) {
	for range statements {
		replies = append(replies, ebonywood.NewReply([]string{conn.workspace}, "signed", ebonywood.TxIdle, ebonywood.NewPosition(1, 1)))
	}
	return replies, nil
}

// workspacePort is a port of a process that serves the instance, whose one member is a
// workspaceDialer.
type workspacePort struct {
	servingPort
	dialer *workspaceDialer
}

func (port workspacePort) Dialer() ebonywood.Dialer { return port.dialer }

// newWorkspacePool returns a pool of the member that may open a number of connections.
func newWorkspacePool(maxOpen int) (*pool, *workspaceDialer) {
	port := workspacePort{servingPort: newServingPort(), dialer: &workspaceDialer{}}
	pool := New(port).pool(db, ebonywood.NewMember("m0", "a", "m0", 4, 100, false))
	pool.trim(connectionShare{keepOpen: 1, maxOpen: maxOpen, openAtOnce: maxOpen}, 4)
	return pool, port.dialer
}

// leaseFor leases a connection for a workspace.
func leaseFor(pool *pool, workspace string) (*lease, *ebonywood.Fault) {
	session := &session{edge: pool.edge, database: "shop"}
	if workspace != "" {
		session.workspace = ebonywood.NewWorkspace(workspace, nil, nil, 0)
	}
	route, _ := pool.edge.port.Snapshot().ObjectSet().Route("", "shop")
	return pool.lease(session.newAttempt(route), 1)
}

// TestPoolBelongsToWorkspaces leases and releases connections for random workspaces. A lease
// must be for its workspace, use an idle connection of it if there is one, and otherwise
// replace the idle connection that was used longest ago, but only if no further one may be
// opened. The pool must never have more open than it may, and must know how many it has.
func TestPoolBelongsToWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxOpen := rapid.IntRange(1, 6).Draw(t, "maxOpen")
		pool, dialer := newWorkspacePool(maxOpen)
		var leased []*lease
		var idle []string // workspaces of the idle connections, least recently used first
		t.Repeat(map[string]func(*rapid.T){
			"lease": func(t *rapid.T) {
				if len(leased) == maxOpen {
					t.Skip("no connection is free")
				}
				workspace := rapid.SampledFrom([]string{"", "red", "blue", "green"}).Draw(t, "workspace")
				dialsBefore := len(dialer.dials())
				lease, fault := leaseFor(pool, workspace)
				if fault != nil {
					t.Fatalf("refused: %v", fault)
				}
				if got := lease.memberConn.(*workspaceConn).workspace; got != workspace || lease.workspace != workspace {
					t.Fatalf("a connection of %q is used for %q", got, workspace)
				}
				reused := -1
				for i, owner := range idle {
					if owner == workspace {
						reused = i
					}
				}
				switch dialed := len(dialer.dials()) > dialsBefore; {
				case dialed != (reused < 0):
					t.Fatalf("dialed: %v, with idle connections of %q", dialed, idle)
				case reused >= 0:
					idle = append(idle[:reused:reused], idle[reused+1:]...)
				case len(leased)+len(idle) == maxOpen:
					idle = idle[1:]
				}
				leased = append(leased, lease)
			},
			"release": func(t *rapid.T) {
				if len(leased) == 0 {
					t.Skip("nothing is leased")
				}
				i := rapid.IntRange(0, len(leased)-1).Draw(t, "index")
				broken := rapid.IntRange(0, 9).Draw(t, "broken") == 0
				lease := leased[i]
				leased = append(leased[:i:i], leased[i+1:]...)
				pool.returnConn(lease.pooledConn, broken)
				pool.admission.Release(lease.ticket, 0)
				if !broken {
					idle = append(idle, lease.workspace)
				}
			},
			"": func(t *rapid.T) {
				if dialer.mostOpen > maxOpen {
					t.Fatalf("%d connections open, of %d", dialer.mostOpen, maxOpen)
				}
				if pool.open != dialer.openCount() || pool.open != len(leased)+len(idle) {
					t.Fatalf("the pool counts %d, the member %d, the model %d", pool.open, dialer.openCount(), len(leased)+len(idle))
				}
				for i, conn := range pool.idle {
					if conn.workspace != idle[i] {
						t.Fatalf("idle %q at %d, expected %q", conn.workspace, i, idle)
					}
				}
			},
		})
	})
}

// TestPoolBelongsToWorkspacesConcurrently checks the same bound and assignment for concurrent
// leases.
func TestPoolBelongsToWorkspacesConcurrently(t *testing.T) {
	const maxOpen = 5
	pool, dialer := newWorkspacePool(maxOpen)
	var group sync.WaitGroup
	var wrong, served atomic.Int64
	for caller := range 16 {
		workspace := []string{"", "red", "blue", "green", "grey", "black", "white", "pink"}[caller%8]
		group.Go(func() {
			for range 200 {
				lease, fault := leaseFor(pool, workspace)
				if fault != nil {
					continue
				}
				served.Add(1)
				if lease.memberConn.(*workspaceConn).workspace != workspace {
					wrong.Add(1)
				}
				pool.release(lease, false)
			}
		})
	}
	group.Wait()
	require.Zero(t, wrong.Load())
	require.Positive(t, served.Load())
	require.LessOrEqual(t, dialer.mostOpen, maxOpen)
	require.Equal(t, dialer.openCount(), pool.open)
}

// TestLowerShareIsReached guards against a pool that stays above its share while different
// workspaces need connections: each new one replaced only one idle connection.
func TestLowerShareIsReached(t *testing.T) {
	pool, dialer := newWorkspacePool(6)
	var leased []*lease
	for _, workspace := range []string{"a", "b", "c", "d", "e", "f"} {
		lease, fault := leaseFor(pool, workspace)
		require.Nil(t, fault)
		leased = append(leased, lease)
	}
	for _, lease := range leased {
		pool.release(lease, false)
	}
	pool.trim(connectionShare{keepOpen: 1, maxOpen: 2, openAtOnce: 2}, 4)
	lease, fault := leaseFor(pool, "g")
	require.Nil(t, fault)
	require.Equal(t, 2, dialer.openCount())
	pool.release(lease, false)
}

// withdrawingPort shows another object set from the nth time on that the snapshot is read.
type withdrawingPort struct {
	workspacePort
	later *ebonywood.Snapshot
	reads *atomic.Int64
}

func (port withdrawingPort) Snapshot() *ebonywood.Snapshot {
	if port.reads.Add(-1) < 0 {
		return port.later
	}
	return port.snapshot
}

// withWorkspaces returns the snapshot of a serving port with workspaces in the object set.
func withWorkspaces(serving *ebonywood.Snapshot, workspaces ...*ebonywood.Workspace) *ebonywood.Snapshot {
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(serving.ObjectSet().WithWorkspaces(workspaces))
	draft.SetOwners(serving.Owners())
	view, _ := serving.View(db)
	draft.AddView(view)
	return draft.Publish()
}

// TestOperationRunsForOneWorkspace guards against a statement on a connection of no workspace:
// a configuration without the caller's key took effect between the check of the key and the
// choice of the connection.
func TestOperationRunsForOneWorkspace(t *testing.T) {
	key := ebonywood.NewKeyDigest("k")
	for reads := range int64(12) {
		port := withdrawingPort{workspacePort: workspacePort{servingPort: newServingPort(), dialer: &workspaceDialer{}}, reads: &atomic.Int64{}}
		port.later = withWorkspaces(port.snapshot)
		port.snapshot = withWorkspaces(port.snapshot, ebonywood.NewWorkspace("red", []ebonywood.KeyDigest{key}, nil, 0))
		edge := New(port)
		port.reads.Store(1)
		session, code := edge.Open("shop", key)
		require.Equal(t, ebonywood.CodeDone, code)
		port.reads.Store(reads)
		reply := session.Handle(ebonywood.NewStatement("1", ebonywood.VerbWrite, "WRITE a 1", "", ""))
		if reads == 0 {
			require.Equal(t, ebonywood.CodeDenied, reply.Code())
		} else {
			require.Equal(t, []string{"red"}, reply.Rows(), "after %d reads: %s", reads, reply.Message())
		}
		for _, workspace := range port.dialer.dials() {
			require.Equal(t, "red", workspace)
		}
	}
}

// TestNextStatementOfWithdrawnKeyIsAborted guards against a statement that reaches a member
// between the withdrawal of its key and the next sweep of open transactions. No sweep runs here.
func TestNextStatementOfWithdrawnKeyIsAborted(t *testing.T) {
	key := ebonywood.NewKeyDigest("k")
	for _, verb := range []ebonywood.Verb{ebonywood.VerbWrite, ebonywood.VerbRead, ebonywood.VerbCommit} {
		port := withdrawingPort{workspacePort: workspacePort{servingPort: newServingPort(), dialer: &workspaceDialer{}}, reads: &atomic.Int64{}}
		port.later = withWorkspaces(port.snapshot)
		port.snapshot = withWorkspaces(port.snapshot, ebonywood.NewWorkspace("red", []ebonywood.KeyDigest{key}, nil, 0))
		edge := New(port)
		port.reads.Store(1000)
		session, code := edge.Open("shop", key)
		require.Equal(t, ebonywood.CodeDone, code)
		require.Equal(t, ebonywood.CodeDone, session.Handle(ebonywood.NewStatement("1", ebonywood.VerbBegin, "BEGIN", "", "")).Code())
		port.reads.Store(0)
		reply := session.Handle(ebonywood.NewStatement("2", verb, "READ a", "", ""))
		require.Equal(t, ebonywood.CodeAborted, reply.Code())
		require.Empty(t, port.dialer.dials())
	}
}
