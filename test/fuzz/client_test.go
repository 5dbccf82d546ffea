package fuzz

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/retry"
	"github.com/ebonywood/ebonywood/internal/router"
	"github.com/ebonywood/ebonywood/internal/session"
)

// client is a caller, with the session that its proxy holds for it.
type client struct {
	sim     *simulation
	name    string
	proxy   *proxy
	session session.Session
	op      *operation
}

// operation is a read, or the write of a value that is unique in the run.
type operation struct {
	write   bool
	key     string
	value   string
	started ebonywood.Millis
	// sent is true from the sending of an attempt until it has to be repeated.
	sent bool
	// attempt distinguishes the replies to the latest attempt from those to earlier
	// ones.
	attempt int
}

func newClient(sim *simulation, number int) *client {
	client := &client{sim: sim, name: fmt.Sprintf("c%d", number)}
	client.attach(sim.proxies[number%proxyCount], ebonywood.Position{})
	return client
}

// attach starts a session at the proxy, with the floor at the token.
func (client *client) attach(proxy *proxy, token ebonywood.Position) {
	client.proxy = proxy
	client.session.Attach(token, proxy.now())
}

// switchProxy reconnects the client to a random proxy, with or without its session
// token. The result of an operation in flight is lost.
func (client *client) switchProxy() {
	token := ebonywood.Position{}
	if client.sim.choose(2) == 0 {
		token = client.session.Floor().Position()
	}
	client.disconnect()
	next := client.sim.proxies[client.sim.choose(proxyCount)]
	client.sim.tracef("%s roams to %s with %s", client.name, next.name, token)
	client.attach(next, token)
}

// disconnect drops the connection to the proxy. A write in flight has an unknown
// outcome.
func (client *client) disconnect() {
	if client.op != nil && client.op.write {
		client.sim.oracle.recordUnknown(client.op.value)
	}
	client.op = nil
	client.session.Attach(ebonywood.Position{}, client.proxy.now())
}

// step starts an operation if none is pending, and sends it unless an attempt is in
// flight.
func (client *client) step() {
	if client.proxy.paused {
		return
	}
	if client.op == nil {
		client.startOperation()
	}
	if !client.op.sent {
		client.dispatch()
	}
}

func (client *client) startOperation() {
	sim := client.sim
	key := sim.clients[sim.choose(clientCount)].name
	client.op = &operation{key: key, started: sim.now}
	if sim.choose(3) == 0 {
		sim.valueCount++
		client.op.write = true
		client.op.value = fmt.Sprintf("v%d", sim.valueCount)
		sim.oracle.recordStarted(client.name, key, client.op.value)
	}
}

// dispatch sends a read to a replica if one may serve it, and everything else to the
// primary. Without a usable connection the operation stays unsent.
func (client *client) dispatch() {
	view := client.proxy.view()
	if !client.op.write {
		if client.tryReplica(view) {
			return
		}
	}
	client.tryPrimary(view)
}

// floor returns the session's floor, without the parts that the mutation removes.
func (client *client) floor() ebonywood.Floor {
	floor := client.session.Floor()
	if client.sim.hasMutation("noFloor") {
		floor = ebonywood.NewFloor(ebonywood.Position{}, floor.Since(), floor.LastMember())
	}
	if client.sim.hasMutation("noSince") {
		floor = ebonywood.NewFloor(floor.Position(), 0, floor.LastMember())
	}
	return floor
}

// policy returns the route's read policy, or that of the mutation assumeAge.
func (client *client) policy() *ebonywood.ReadPolicy {
	if client.sim.hasMutation("assumeAge") {
		return ebonywood.NewReadPolicy("any", 60_000, ebonywood.StalePrimary)
	}
	return client.sim.objectSet.Routes()[0].Policy()
}

// tryReplica sends a read to a random replica among those that may serve it, and
// reports whether it did.
func (client *client) tryReplica(view *ebonywood.InstanceView) bool {
	proxy, sim := client.proxy, client.sim
	rule := router.New(view, client.policy(), client.floor(), proxy.now())
	replicas := rule.Replicas()
	if len(replicas) == 0 {
		return false
	}
	member := proxy.member(replicas[sim.choose(len(replicas))].ID())
	conn := proxy.connect(member)
	if conn == nil || conn.role != ebonywood.RoleReplica || !rule.AllowsOnConn(member.id, conn.openedAt, conn.applied) {
		if conn != nil && conn.role != ebonywood.RoleReplica {
			delete(proxy.conns, member.id)
		}
		return false
	}
	if sim.mutation == "floorBeforeAnswer" {
		client.session.RecordReplicaRead(member.id, proxy.now())
	}
	client.send(conn, func() func() {
		values := append([]string(nil), member.journal.Values(client.op.key)...)
		started := client.op.started
		return func() {
			if sim.mutation != "floorBeforeAnswer" {
				client.session.RecordReplicaRead(member.id, proxy.now())
			}
			client.completeRead(values, started-maxAgeMs)
		}
	})
	return true
}

// tryPrimary sends the operation to the primary if one is known and a connection to
// it in the same term can be had. Its result needs a confirmation by a majority.
func (client *client) tryPrimary(view *ebonywood.InstanceView) {
	proxy := client.proxy
	if view.Primary() == "" || view.IsHoldingWrites() {
		return
	}
	member := proxy.member(view.Primary())
	conn := proxy.connect(member)
	if conn == nil {
		return
	}
	if conn.role != ebonywood.RolePrimary || conn.term != view.Term() {
		delete(proxy.conns, member.id)
		return
	}
	if client.op.write {
		client.sendWrite(conn)
		return
	}
	client.send(conn, func() func() {
		values := append([]string(nil), member.journal.Values(client.op.key)...)
		return func() {
			op, started := client.op, client.op.started
			client.confirm(conn, func(at ebonywood.Position, confirmed bool) {
				if client.op != op {
					return
				}
				if !confirmed {
					client.handleUnknown()
					return
				}
				client.session.RecordPosition(at)
				client.completeRead(values, started)
			})
		}
	})
}

// confirm requests the confirmation by a majority of an operation that ended on conn. The
// mutation noConfirm reports it as confirmed without a request.
func (client *client) confirm(conn *conn, done func(ebonywood.Position, bool)) {
	if client.sim.hasMutation("noConfirm") {
		done(conn.member.journal.End(), true)
		return
	}
	client.proxy.confirm(conn.member, conn.term, done)
}

// sendWrite appends the value to the primary's log, and acknowledges the write once a
// majority has confirmed it.
func (client *client) sendWrite(conn *conn) {
	member, op := conn.member, client.op
	client.send(conn, func() func() {
		if err := member.journal.Append([][2]string{{op.key, op.value}}); err != nil {
			return client.handleNotRun
		}
		return func() {
			client.confirm(conn, func(at ebonywood.Position, confirmed bool) {
				if client.op != op {
					return
				}
				if !confirmed {
					client.handleUnknown()
					return
				}
				client.session.RecordPosition(at)
				client.sim.tracef("%s acknowledged %s at %s", client.name, op.value, at)
				client.sim.oracle.recordAcknowledged(client.name, op.key, op.value, client.sim.now)
				client.op = nil
			})
		}
	})
}

// send calls execute at the member, and the function that execute returns at the
// proxy when the reply arrives. The request is lost if its connection is lost; the
// reply is dropped if the attempt has been superseded or the proxy has restarted.
func (client *client) send(conn *conn, execute func() func()) {
	op, proxy, sim := client.op, client.proxy, client.sim
	op.sent = true
	op.attempt++
	attempt, incarnation := op.attempt, proxy.incarnation
	sim.send(proxy.name, string(conn.member.id), func() {
		if conn.member.down || conn.epoch != conn.member.epoch || client.op != op || op.attempt != attempt {
			return
		}
		reply := execute()
		sim.send(string(conn.member.id), proxy.name, func() {
			if client.op == op && op.attempt == attempt && client.proxy == proxy && proxy.incarnation == incarnation {
				reply()
			}
		})
	})
}

// handleNotRun drops the connection to the primary and has the operation sent again: the
// member's error proves that it was not run.
func (client *client) handleNotRun() {
	delete(client.proxy.conns, client.proxy.view().Primary())
	client.op.sent = false
}

// handleUnknown ends a write whose outcome is unknown, and repeats a read, which
// changes nothing.
func (client *client) handleUnknown() {
	client.session.RecordUnknownOutcome(client.proxy.now())
	op := client.op
	if client.sim.hasMutation("repeatUnknown") && op.write {
		op.sent = false
		op.attempt++
		return
	}
	if !op.write && retry.MayRetry(ebonywood.KindUnknown, false, true, false) {
		op.sent = false
		op.started = client.sim.now
		op.attempt++
		return
	}
	client.op = nil
	if op.write {
		client.sim.oracle.recordUnknown(op.value)
	}
}

// expire ends an operation at its deadline. A write without an attempt in flight was
// not run; the outcome of a write in flight is unknown.
func (client *client) expire() {
	op := client.op
	if op == nil || client.proxy.paused || client.sim.now-op.started < opTimeoutMs {
		return
	}
	client.op = nil
	if !op.write {
		client.session.RecordUnknownOutcome(client.proxy.now())
		return
	}
	if !op.sent || client.sim.mutation == "denyUnknown" {
		client.sim.oracle.recordNotRun(op.value)
		return
	}
	client.session.RecordUnknownOutcome(client.proxy.now())
	client.sim.oracle.recordUnknown(op.value)
}

// completeRead returns the result of a read to the caller. The values must include
// every write that was acknowledged to any caller by asOf.
func (client *client) completeRead(values []string, asOf ebonywood.Millis) {
	op := client.op
	client.op = nil
	client.sim.oracle.checkRead(client.name, op.key, values, op.started, asOf)
}
