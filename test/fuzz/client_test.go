package fuzz

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/retry"
	"github.com/ebonywood/ebonywood/internal/router"
	"github.com/ebonywood/ebonywood/internal/session"
)

// client is a caller with the session that its proxy keeps for it.
type client struct {
	world *world
	name  string
	proxy *proxy
	state session.Session
	op    *operation
}

// operation is one request of a client.
type operation struct {
	write   bool
	key     string
	value   string
	started ebonywood.Millis
	sent    bool
	// attempt tells the answers of one attempt from those of an earlier one.
	attempt int
}

func newClient(world *world, number int) *client {
	client := &client{world: world, name: fmt.Sprintf("c%d", number)}
	client.attach(world.proxies[number%proxyCount], ebonywood.Position{})
	return client
}

func (client *client) attach(proxy *proxy, token ebonywood.Position) {
	client.proxy = proxy
	client.state.Attach(token, proxy.now())
}

// roam moves the client to another proxy, with or without its token. A request
// under way is lost to it.
func (client *client) roam() {
	token := ebonywood.Position{}
	if client.world.choose(2) == 0 {
		token = client.state.Floor().Position()
	}
	client.lose()
	next := client.world.proxies[client.world.choose(proxyCount)]
	client.world.note("%s roams to %s with %s", client.name, next.name, token)
	client.attach(next, token)
}

// lose ends the connection to the proxy.
func (client *client) lose() {
	if client.op != nil && client.op.write {
		client.world.oracle.unknown(client.op.value)
	}
	client.op = nil
	client.state.Attach(ebonywood.Position{}, client.proxy.now())
}

// act begins an operation, or tries the one that waits.
func (client *client) act() {
	if client.proxy.paused {
		return
	}
	if client.op == nil {
		client.begin()
	}
	if !client.op.sent {
		client.try()
	}
}

func (client *client) begin() {
	world := client.world
	key := world.clients[world.choose(clientCount)].name
	client.op = &operation{key: key, started: world.now}
	if world.choose(3) == 0 {
		world.unique++
		client.op.write = true
		client.op.value = fmt.Sprintf("v%d", world.unique)
		world.oracle.begin(client.name, key, client.op.value)
	}
}

func (client *client) try() {
	view := client.proxy.view()
	if !client.op.write {
		if client.tryReplica(view) {
			return
		}
	}
	client.tryPrimary(view)
}

// floor is what the need states; mutations take parts of it away.
func (client *client) floor() ebonywood.Floor {
	floor := client.state.Floor()
	if client.world.lacks("noFloor") {
		floor = ebonywood.NewFloor(ebonywood.Position{}, floor.Since(), floor.LastMember())
	}
	if client.world.lacks("noSince") {
		floor = ebonywood.NewFloor(floor.Position(), 0, floor.LastMember())
	}
	return floor
}

func (client *client) policy() *ebonywood.ReadPolicy {
	if client.world.lacks("assumeAge") {
		return ebonywood.NewReadPolicy("any", 60_000, ebonywood.StalePrimary)
	}
	return client.world.set.Routes()[0].Policy()
}

func (client *client) tryReplica(view *ebonywood.InstanceView) bool {
	proxy, world := client.proxy, client.world
	rule := router.New(view, client.policy(), client.floor(), proxy.now())
	replicas := rule.Replicas()
	if len(replicas) == 0 {
		return false
	}
	node := proxy.node(replicas[world.choose(len(replicas))].ID())
	conn := proxy.connect(node)
	if conn == nil || conn.role != ebonywood.RoleReplica || !rule.AllowsOnConn(node.id, conn.opened, conn.applied) {
		if conn != nil && conn.role != ebonywood.RoleReplica {
			delete(proxy.conns, node.id)
		}
		return false
	}
	if world.mutation == "floorBeforeAnswer" {
		client.state.RecordReplicaRead(node.id, proxy.now())
	}
	client.send(conn, func() func() {
		values := append([]string(nil), node.journal.Values(client.op.key)...)
		decided := client.op.started
		return func() {
			if world.mutation != "floorBeforeAnswer" {
				client.state.RecordReplicaRead(node.id, proxy.now())
			}
			client.show(values, decided-maxAge)
		}
	})
	return true
}

func (client *client) tryPrimary(view *ebonywood.InstanceView) {
	proxy := client.proxy
	if view.Primary() == "" || view.IsHoldingWrites() {
		return
	}
	node := proxy.node(view.Primary())
	conn := proxy.connect(node)
	if conn == nil {
		return
	}
	if conn.role != ebonywood.RolePrimary || conn.term != view.Term() {
		delete(proxy.conns, node.id)
		return
	}
	if client.op.write {
		client.sendWrite(conn)
		return
	}
	client.send(conn, func() func() {
		values := append([]string(nil), node.journal.Values(client.op.key)...)
		return func() {
			op, started := client.op, client.op.started
			client.confirm(conn, func(at ebonywood.Position, safe bool) {
				if client.op != op {
					return
				}
				if !safe {
					client.doubt()
					return
				}
				client.state.RecordPosition(at)
				client.show(values, started)
			})
		}
	})
}

func (client *client) confirm(conn *conn, done func(ebonywood.Position, bool)) {
	if client.world.lacks("noConfirm") {
		done(conn.node.journal.End(), true)
		return
	}
	client.proxy.confirm(conn.node, conn.term, done)
}

func (client *client) sendWrite(conn *conn) {
	node, op := conn.node, client.op
	client.send(conn, func() func() {
		if err := node.journal.Append([][2]string{{op.key, op.value}}); err != nil {
			return client.refused
		}
		return func() {
			client.confirm(conn, func(at ebonywood.Position, safe bool) {
				if client.op != op {
					return
				}
				if !safe {
					client.doubt()
					return
				}
				client.state.RecordPosition(at)
				client.world.note("%s acknowledged %s at %s", client.name, op.value, at)
				client.world.oracle.acknowledge(client.name, op.key, op.value, client.world.now)
				client.op = nil
			})
		}
	})
}

// send runs work at the member and hands its result back, over one connection.
func (client *client) send(conn *conn, work func() func()) {
	op, proxy, world := client.op, client.proxy, client.world
	op.sent = true
	op.attempt++
	attempt, born := op.attempt, proxy.born
	world.send(proxy.name, string(conn.node.id), func() {
		if conn.node.down || conn.epoch != conn.node.epoch || client.op != op || op.attempt != attempt {
			return
		}
		reply := work()
		world.send(string(conn.node.id), proxy.name, func() {
			if client.op == op && op.attempt == attempt && client.proxy == proxy && proxy.born == born {
				reply()
			}
		})
	})
}

// refused sends the operation again: the member proved that it was not run.
func (client *client) refused() {
	delete(client.proxy.conns, client.proxy.view().Primary())
	client.op.sent = false
}

// doubt ends an operation whose outcome is unknown.
func (client *client) doubt() {
	client.state.RecordUnknownOutcome(client.proxy.now())
	op := client.op
	if client.world.lacks("repeatUnknown") && op.write {
		op.sent = false
		op.attempt++
		return
	}
	if !op.write && retry.MayRetry(ebonywood.KindUnknown, false, true, false) {
		op.sent = false
		op.started = client.world.now
		op.attempt++
		return
	}
	client.op = nil
	if op.write {
		client.world.oracle.unknown(op.value)
	}
}

// expire ends an operation at its deadline: without a byte sent it was not run.
func (client *client) expire() {
	op := client.op
	if op == nil || client.proxy.paused || client.world.now-op.started < opLimit {
		return
	}
	client.op = nil
	if !op.write {
		client.state.RecordUnknownOutcome(client.proxy.now())
		return
	}
	if !op.sent || client.world.mutation == "denyUnknown" {
		client.world.oracle.notRun(op.value)
		return
	}
	client.state.RecordUnknownOutcome(client.proxy.now())
	client.world.oracle.unknown(op.value)
}

// show gives the caller the answer to a read: everything that was acknowledged
// to anybody up to freshAt must be in it.
func (client *client) show(values []string, freshAt ebonywood.Millis) {
	op := client.op
	client.op = nil
	client.world.oracle.read(client.name, op.key, values, op.started, freshAt)
}
