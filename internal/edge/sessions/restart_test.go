package sessions

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// slowMember is a fake member with slots, each of which a connection that is opened or a
// statement occupies for a while.
type slowMember struct {
	slots     chan struct{}
	handshake time.Duration
	work      time.Duration
}

func (member *slowMember) occupy(duration time.Duration) {
	member.slots <- struct{}{}
	time.Sleep(duration)
	<-member.slots
}

func (member *slowMember) Dial(ebonywood.InstanceID, ebonywood.Member, string, time.Duration) (ebonywood.MemberConn, ebonywood.Position, error) {
	member.occupy(member.handshake)
	return &slowConn{member: member}, ebonywood.NewPosition(1, 1), nil
}

type slowConn struct {
	ebonywood.MemberConn
	member *slowMember
}

func (conn *slowConn) Exchange(statements []ebonywood.Statement, _ time.Duration) ([]ebonywood.Reply, error) {
	conn.member.occupy(conn.member.work)
	var replies []ebonywood.Reply
	for range statements {
		replies = append(replies, ebonywood.NewReply(nil, "signed", ebonywood.TxIdle, ebonywood.NewPosition(1, 1)))
	}
	return replies, nil
}

func (*slowConn) Interrupt() {}
func (*slowConn) Close()     {}

// slowPort is a port of a process that serves the instance, which has a slow member.
type slowPort struct {
	servingPort
	member *slowMember
}

func (port slowPort) Dialer() ebonywood.Dialer { return port.member }

// TestCallersReturnAtOnceAfterRestart plays the moment after a restart of all proxies: a
// pool has no connection, and more callers come at once than the member can serve. Those
// whose turn comes within the route's share of waiting must be served, as if the
// connections stood; refusing them would send them all back at the same moment.
func TestCallersReturnAtOnceAfterRestart(t *testing.T) {
	const (
		callers   = 60
		slots     = 4
		work      = 15 * time.Millisecond
		handshake = 12 * time.Millisecond
		objective = 250 * time.Millisecond
		// handshakes is how many of 131 connections one of ten proxies opens at once.
		handshakes = 6
	)
	synctest.Test(t, func(t *testing.T) {
		port := slowPort{servingPort: newServingPort(), member: &slowMember{slots: make(chan struct{}, slots), handshake: handshake, work: work}}
		port.setObjective(ebonywood.MillisOf(objective))
		edge := New(port)
		edge.pool(db, ebonywood.NewMember("m0", "a", "m0", slots, 100, false)).trim(shareConnections(131, 10), slots)
		var group sync.WaitGroup
		var done atomic.Int64
		for i := range callers {
			group.Go(func() {
				session, _ := edge.Open("shop", ebonywood.KeyDigest{})
				statement := ebonywood.NewStatement(fmt.Sprint(i), ebonywood.VerbWrite, "WRITE a b", "", "")
				if session.Handle(statement).Code() == ebonywood.CodeDone {
					done.Add(1)
				}
			})
		}
		group.Wait()
		edge.group.Stop()
		require.NoError(t, edge.group.Wait())
		waiting := time.Duration(0.6 * float64(objective))
		capacity := int64(slots * ((waiting - handshakes*handshake/slots) / work))
		t.Logf("served %d, capacity %d", done.Load(), capacity)
		require.GreaterOrEqual(t, done.Load(), capacity*8/10)
	})
}
