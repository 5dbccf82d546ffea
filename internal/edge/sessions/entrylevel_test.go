package sessions

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// entryPort is a port of an entry proxy whose clock follows the time of the test.
type entryPort struct {
	*port
	start time.Time
}

func (port entryPort) Clock() ebonywood.Clock { return port }
func (port entryPort) Now() ebonywood.Millis  { return ebonywood.MillisOf(time.Since(port.start)) }

// TestOverloadIsRefusedAtTheEntry lets the proxies that serve the instance refuse all
// statements for lack of capacity. Most must then be refused without a message, in single
// statements and in first statements of transactions, and other kinds of work must still be
// sent. Two seconds after the proxies accept statements again, all are sent.
func TestOverloadIsRefusedAtTheEntry(t *testing.T) {
	const statements = 200
	synctest.Test(t, func(t *testing.T) {
		port := newPort()
		edge := New(entryPort{port: port, start: time.Now()})
		for _, peer := range []string{"near", "far"} {
			for range statements {
				port.relay.behaviours[peer] = append(port.relay.behaviours[peer], overloaded)
			}
		}
		session, _ := edge.Open("shop", ebonywood.KeyDigest{})
		for range statements {
			require.Equal(t, ebonywood.CodeBusy, session.Handle(read).Code())
			time.Sleep(5 * time.Millisecond)
		}
		sent := len(port.relay.requests)
		t.Logf("%d of %d statements sent", sent, statements)
		require.Less(t, sent, statements/2)
		require.Greater(t, sent, statements/20, "probes are sent")

		port.relay.behaviours = map[string][]behaviour{}
		require.Equal(t, ebonywood.CodeDone, session.Handle(write).Code(), "writes were not refused")
		for range 2 * statements {
			session.Handle(read)
			time.Sleep(5 * time.Millisecond)
		}
		sent = len(port.relay.requests)
		for range statements {
			require.Equal(t, ebonywood.CodeDone, session.Handle(read).Code())
		}
		require.Len(t, port.relay.requests, sent+statements)

		edge.group.Stop()
		require.NoError(t, edge.group.Wait())
	})
}

// TestTransactionRefusedAtTheEntryHasFailed guards against a caller that takes a transaction
// for open whose first statement was never sent.
func TestTransactionRefusedAtTheEntryHasFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		port := newPort()
		edge := New(entryPort{port: port, start: time.Now()})
		session, _ := edge.Open("shop", ebonywood.KeyDigest{})
		kind := entryKind{route: "r", writes: true}
		for range 10_000 {
			edge.entry.record(kind, 400, 0)
		}
		refused := 0
		for range 20 {
			session.Handle(begin)
			reply := session.Handle(write)
			if reply.Code() == ebonywood.CodeBusy {
				refused++
				require.Equal(t, ebonywood.TxFailed, reply.State())
				require.Equal(t, ebonywood.CodeAborted, session.Handle(commit).Code())
			} else {
				require.Equal(t, ebonywood.CodeDone, session.Handle(commit).Code())
			}
			require.True(t, session.IsIdle())
		}
		require.Greater(t, refused, 10)
		edge.group.Stop()
		require.NoError(t, edge.group.Wait())
	})
}

// TestRefusalForLackOfCapacityIsReported fills the slots of a member. The result of a further
// statement must say that it was refused for lack of capacity; that of one that was refused
// because there is no primary must not, since it says nothing about the load.
func TestRefusalForLackOfCapacityIsReported(t *testing.T) {
	port := newServingPort()
	port.setObjective(50)
	edge := New(port)
	edge.pool(db, ebonywood.NewMember("m0", "a", "m0", 1, 10, false)).trim(shareConnections(131, 10), minSlots)
	var group sync.WaitGroup
	for i := range minSlots {
		request := forwardedWrite(fmt.Sprint(i))
		group.Go(func() { edge.OpenForwarded(context.Background(), request).Run(request) })
		require.Eventually(t, func() bool { return len(port.member.texts()) == i+1 }, 5*time.Second, time.Millisecond)
	}
	request := forwardedWrite("refused")
	result := edge.OpenForwarded(context.Background(), request).Run(request)
	require.Equal(t, ebonywood.CodeBusy, result.Reply().Code())
	require.Positive(t, result.RefusedWait())
	close(port.member.release)
	group.Wait()

	draft := ebonywood.NewDraft()
	draft.SetObjectSet(port.snapshot.ObjectSet())
	draft.SetOwners(port.snapshot.Owners())
	draft.AddView(ebonywood.NewInstanceView(db, 1, "", false, nil, nil))
	port.snapshot = draft.Publish()
	result = edge.OpenForwarded(context.Background(), request).Run(request)
	require.Equal(t, ebonywood.CodeBusy, result.Reply().Code())
	require.Zero(t, result.RefusedWait())
	edge.group.Stop()
	require.NoError(t, edge.group.Wait())
}
