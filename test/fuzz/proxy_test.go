package fuzz

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/confirmation"
	"github.com/ebonywood/ebonywood/internal/decision/promoter"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
)

// proxy holds the decisions of one process and plays its edges.
type proxy struct {
	world    *world
	name     string
	offset   ebonywood.Millis
	born     int
	paused   bool
	promoter *promoter.Promoter
	snapshot *ebonywood.Snapshot
	calls    map[ebonywood.MemberID]*call
	conns    map[ebonywood.MemberID]*conn
	batch    *confirmation.Batch
	run      int
	began    ebonywood.Millis
	primary  *node
	tickets  map[uint64]func(at ebonywood.Position, safe bool)
	ticket   uint64
}

// call is an order that waits for its answer.
type call struct {
	order ebonywood.MemberOrder
	asked ebonywood.Millis
	until ebonywood.Millis
}

// conn is a cached connection as the target edge keeps it.
type conn struct {
	node    *node
	epoch   int
	role    ebonywood.Role
	term    ebonywood.Term
	applied ebonywood.Position
	opened  ebonywood.Millis
}

func newProxy(world *world, number int) *proxy {
	proxy := &proxy{world: world, name: fmt.Sprintf("p%d", number), offset: ebonywood.Millis(number * 7777)}
	proxy.restart()
	return proxy
}

// restart makes a new process: nothing is kept.
func (proxy *proxy) restart() {
	settings, err := settingsfile.Parse("fuzz", []byte(fmt.Sprintf(
		"name: %s\nzone: z\ncallerAddress: 127.0.0.1:1\nplatform: {addresses: [\"http://127.0.0.1:1\"]}\n", proxy.name)))
	must(err)
	proxy.born++
	proxy.promoter = promoter.New(settings)
	proxy.calls = map[ebonywood.MemberID]*call{}
	proxy.conns = map[ebonywood.MemberID]*conn{}
	proxy.batch = confirmation.New(memberCount)
	proxy.run++
	proxy.tickets = map[uint64]func(ebonywood.Position, bool){}
	proxy.handle(ebonywood.NewObjectSetApplied(proxy.world.set))
	for _, client := range proxy.world.clients {
		if client.proxy == proxy {
			client.lose()
		}
	}
}

func (proxy *proxy) now() ebonywood.Millis { return proxy.world.now + proxy.offset }

func (proxy *proxy) holder() string { return fmt.Sprintf("%s.%d", proxy.name, proxy.born) }

func (proxy *proxy) view() *ebonywood.InstanceView {
	view, _ := proxy.snapshot.View(instanceID)
	return view
}

// handle gives one event to the decisions, as the kernel does.
func (proxy *proxy) handle(event ebonywood.Event) {
	for _, action := range proxy.promoter.Handle(proxy.now(), event) {
		if order, ok := action.(ebonywood.MemberOrder); ok {
			proxy.perform(order)
		}
	}
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(proxy.world.set)
	proxy.promoter.Contribute(draft)
	proxy.snapshot = draft.Publish()
}

func (proxy *proxy) tick() {
	if proxy.paused {
		return
	}
	for _, node := range proxy.world.nodes {
		if call := proxy.calls[node.id]; call != nil && proxy.world.now > call.until {
			delete(proxy.calls, node.id)
			proxy.handle(ebonywood.NewMemberReply(call.order, call.asked, true, ebonywood.Status{},
				ebonywood.NewFault(ebonywood.KindUnavailable, "no answer", "")))
		}
	}
	if proxy.began > 0 && proxy.world.now-proxy.began > batchLimit {
		proxy.settle(proxy.batch.Abort(), ebonywood.Position{}, false)
		proxy.began = 0
		proxy.beginBatch()
	}
	proxy.handle(ebonywood.Tick{})
}

func (proxy *proxy) node(id ebonywood.MemberID) *node {
	for _, node := range proxy.world.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// perform sends an order to its member.
func (proxy *proxy) perform(order ebonywood.MemberOrder) {
	if _, waits := proxy.calls[order.Member()]; waits && order.Order() == ebonywood.OrderStatus {
		return
	}
	node, born := proxy.node(order.Member()), proxy.born
	asked := &call{order: order, asked: proxy.now(), until: proxy.world.now + orderLimit}
	proxy.calls[order.Member()] = asked
	if order.Order() != ebonywood.OrderStatus {
		proxy.world.note("%s orders %d at term %d of %s", proxy.name, order.Order(), order.Term(), order.Member())
	}
	proxy.world.send(proxy.name, string(node.id), func() {
		if node.down {
			return
		}
		status, fault := node.carryOut(order, proxy.holder())
		proxy.world.send(string(node.id), proxy.name, func() {
			if proxy.born != born || proxy.world.now > asked.until {
				return
			}
			if proxy.calls[order.Member()] == asked {
				delete(proxy.calls, order.Member())
			}
			proxy.handle(ebonywood.NewMemberReply(order, asked.asked, false, status, fault))
		})
	})
}

func (node *node) carryOut(order ebonywood.MemberOrder, holder string) (ebonywood.Status, *ebonywood.Fault) {
	var err error
	switch order.Order() {
	case ebonywood.OrderFence:
		if node.world.lacks("fenceNobody") {
			return ebonywood.NewStatus(ebonywood.RoleReplica, order.Term(), node.journal.End(), node.journal.Applied(), 0), nil
		}
		err = node.journal.Fence(order.Term(), holder)
	case ebonywood.OrderPromote:
		switch {
		case node.world.lacks("fenceNobody"):
			_ = node.journal.Fence(order.Term(), holder)
		case node.world.mutation == "promoteAny":
			node = node.world.nodes[node.world.choose(memberCount)]
			_ = node.journal.Fence(order.Term(), holder)
		}
		err = node.journal.Promote(order.Term(), holder)
	}
	if err != nil {
		return ebonywood.Status{}, ebonywood.FaultOf(err)
	}
	return node.status(), nil
}

// connect returns a cached connection or opens one.
func (proxy *proxy) connect(node *node) *conn {
	known := proxy.conns[node.id]
	if known != nil && known.epoch == node.epoch && !node.down {
		return known
	}
	reachable := !node.down && !node.frozen && !proxy.world.isCut(proxy.name, string(node.id)) &&
		!proxy.world.isCut(string(node.id), proxy.name)
	if !reachable {
		return nil
	}
	status := node.status()
	opened := &conn{
		node: node, epoch: node.epoch, role: status.Role(),
		term: status.FencedTerm(), applied: status.Applied(), opened: proxy.now(),
	}
	proxy.conns[node.id] = opened
	return opened
}

// confirm asks for a majority's confirmation of what ended on the primary.
func (proxy *proxy) confirm(node *node, term ebonywood.Term, done func(at ebonywood.Position, safe bool)) {
	proxy.ticket++
	proxy.tickets[proxy.ticket] = done
	if proxy.world.mutation == "anchorAnyTerm" {
		term = 0
	}
	proxy.batch.Add(proxy.ticket, term)
	proxy.primary = node
	proxy.beginBatch()
}

func (proxy *proxy) beginBatch() {
	if !proxy.batch.Begin() {
		return
	}
	proxy.run++
	proxy.began = proxy.world.now
	run, node := proxy.run, proxy.primary
	proxy.ask(node, run, func() (func(), bool) {
		status := node.status()
		return func() {
			if proxy.run == run {
				proxy.anchor(node, run, status)
			}
		}, true
	})
}

// ask sends a question of a batch; the answer is tried again until it is there.
func (proxy *proxy) ask(node *node, run int, question func() (reply func(), ready bool)) {
	var deliver func()
	deliver = func() {
		if node.down || proxy.run != run {
			return
		}
		reply, ready := question()
		if !ready {
			proxy.world.bag = append(proxy.world.bag,
				&message{from: proxy.name, to: string(node.id), due: proxy.world.now + 3, deliver: deliver})
			return
		}
		proxy.world.send(string(node.id), proxy.name, reply)
	}
	proxy.world.send(proxy.name, string(node.id), deliver)
}

func (proxy *proxy) anchor(node *node, run int, status ebonywood.Status) {
	if proxy.world.mutation == "anchorAnyTerm" {
		status = ebonywood.NewStatus(ebonywood.RolePrimary, 0, status.LogEnd(), status.Applied(), 0)
	}
	proxy.settle(proxy.batch.ApplyPrimaryStatus(node.id, status), ebonywood.Position{}, false)
	at, round := proxy.batch.Position(), proxy.batch.Round()
	born := proxy.born
	if at.IsZero() {
		proxy.endBatch()
		return
	}
	for _, other := range proxy.world.nodes {
		if other == node {
			continue
		}
		proxy.ask(other, run, func() (func(), bool) {
			ready, err := other.journal.Confirms(at)
			if proxy.world.mutation == "confirmTermOnly" {
				ready = err == nil
			}
			if err != nil {
				return func() {}, true
			}
			return func() {
				if proxy.born == born {
					proxy.agree(other, round)
				}
			}, ready
		})
	}
}

func (proxy *proxy) agree(node *node, round uint64) {
	if proxy.world.mutation == "agreeAnyRound" {
		round = proxy.batch.Round()
	}
	settled, at := proxy.batch.RecordConfirmation(node.id, round)
	if len(settled) == 0 {
		return
	}
	proxy.settle(settled, at, true)
	proxy.endBatch()
}

func (proxy *proxy) endBatch() {
	proxy.run++
	proxy.began = 0
	proxy.beginBatch()
}

func (proxy *proxy) settle(numbers []uint64, at ebonywood.Position, safe bool) {
	for _, number := range numbers {
		done := proxy.tickets[number]
		delete(proxy.tickets, number)
		done(at, safe)
	}
}
