package fuzz

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/confirmation"
	"github.com/ebonywood/ebonywood/internal/decision/promoter"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
)

// proxy holds the decisions of one process and simulates its edges.
type proxy struct {
	sim  *simulation
	name string
	// clockOffset is the difference between the clock of the proxy and that of the
	// simulation, as clocks of two processes can't be compared.
	clockOffset ebonywood.Millis
	// incarnation counts the restarts; a reply to an earlier incarnation is dropped.
	incarnation   int
	paused        bool
	promoter      *promoter.Promoter
	snapshot      *ebonywood.Snapshot
	pendingOrders map[ebonywood.MemberID]*pendingOrder
	conns         map[ebonywood.MemberID]*conn
	batch         *confirmation.Batch
	// batchNumber changes when a confirmation begins or ends; a reply to an earlier
	// one is dropped.
	batchNumber int
	// batchStarted is when the confirmation in flight began, 0 if there is none.
	batchStarted ebonywood.Millis
	// primary is the node that the next confirmation queries first.
	primary *node
	// callbacks receive the result of a confirmation, by ticket.
	callbacks  map[uint64]func(at ebonywood.Position, safe bool)
	lastTicket uint64
}

// pendingOrder is an order that waits for its reply. sentAt is on the clock of the
// proxy, deadline on that of the simulation.
type pendingOrder struct {
	order    ebonywood.MemberOrder
	sentAt   ebonywood.Millis
	deadline ebonywood.Millis
}

// conn is a connection in the cache of the proxy, with the member's status at the
// time at which it was opened.
type conn struct {
	node     *node
	epoch    int
	role     ebonywood.Role
	term     ebonywood.Term
	applied  ebonywood.Position
	openedAt ebonywood.Millis
}

func newProxy(sim *simulation, number int) *proxy {
	proxy := &proxy{sim: sim, name: fmt.Sprintf("p%d", number), clockOffset: ebonywood.Millis(number * 7777)}
	proxy.restart()
	return proxy
}

// restart starts a new process, which has no state of the former one, and
// disconnects its clients.
func (proxy *proxy) restart() {
	settings, err := settingsfile.Parse("fuzz", []byte(fmt.Sprintf(
		"name: %s\nzone: z\ncallerAddress: 127.0.0.1:1\nplatform: {addresses: [\"http://127.0.0.1:1\"]}\n", proxy.name)))
	must(err)
	proxy.incarnation++
	proxy.promoter = promoter.New(settings)
	proxy.pendingOrders = map[ebonywood.MemberID]*pendingOrder{}
	proxy.conns = map[ebonywood.MemberID]*conn{}
	proxy.batch = confirmation.New(memberCount)
	proxy.batchNumber++
	proxy.callbacks = map[uint64]func(ebonywood.Position, bool){}
	proxy.handle(ebonywood.NewObjectSetApplied(proxy.sim.objectSet))
	for _, client := range proxy.sim.clients {
		if client.proxy == proxy {
			client.disconnect()
		}
	}
}

func (proxy *proxy) now() ebonywood.Millis { return proxy.sim.now + proxy.clockOffset }

func (proxy *proxy) holder() string { return fmt.Sprintf("%s.%d", proxy.name, proxy.incarnation) }

func (proxy *proxy) view() *ebonywood.InstanceView {
	view, _ := proxy.snapshot.View(instanceID)
	return view
}

// handle passes one event to the decisions, performs the actions that follow and
// publishes a snapshot, as the kernel does.
func (proxy *proxy) handle(event ebonywood.Event) {
	for _, action := range proxy.promoter.Handle(proxy.now(), event) {
		if order, ok := action.(ebonywood.MemberOrder); ok {
			proxy.perform(order)
		}
	}
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(proxy.sim.objectSet)
	proxy.promoter.Contribute(draft)
	proxy.snapshot = draft.Publish()
}

// tick ends the orders and the confirmation that have timed out, and passes a Tick
// to the decisions.
func (proxy *proxy) tick() {
	if proxy.paused {
		return
	}
	for _, node := range proxy.sim.nodes {
		if pending := proxy.pendingOrders[node.id]; pending != nil && proxy.sim.now > pending.deadline {
			delete(proxy.pendingOrders, node.id)
			proxy.handle(ebonywood.NewMemberReply(pending.order, pending.sentAt, true, ebonywood.Status{},
				ebonywood.NewFault(ebonywood.KindUnavailable, "no reply", "")))
		}
	}
	if proxy.batchStarted > 0 && proxy.sim.now-proxy.batchStarted > batchTimeoutMs {
		proxy.completeTickets(proxy.batch.Abort(), ebonywood.Position{}, false)
		proxy.batchStarted = 0
		proxy.beginBatch()
	}
	proxy.handle(ebonywood.Tick{})
}

func (proxy *proxy) node(id ebonywood.MemberID) *node {
	for _, node := range proxy.sim.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// perform sends an order to its member. A status order is dropped while another
// order to the member is pending.
func (proxy *proxy) perform(order ebonywood.MemberOrder) {
	if _, isPending := proxy.pendingOrders[order.Member()]; isPending && order.Order() == ebonywood.OrderStatus {
		return
	}
	node, incarnation := proxy.node(order.Member()), proxy.incarnation
	pending := &pendingOrder{order: order, sentAt: proxy.now(), deadline: proxy.sim.now + orderTimeoutMs}
	proxy.pendingOrders[order.Member()] = pending
	if order.Order() != ebonywood.OrderStatus {
		proxy.sim.tracef("%s orders %d at term %d of %s", proxy.name, order.Order(), order.Term(), order.Member())
	}
	proxy.sim.send(proxy.name, string(node.id), func() {
		if node.down {
			return
		}
		status, fault := node.execute(order, proxy.holder())
		proxy.sim.send(string(node.id), proxy.name, func() {
			if proxy.incarnation != incarnation || proxy.sim.now > pending.deadline {
				return
			}
			if proxy.pendingOrders[order.Member()] == pending {
				delete(proxy.pendingOrders, order.Member())
			}
			proxy.handle(ebonywood.NewMemberReply(order, pending.sentAt, false, status, fault))
		})
	})
}

// execute runs an order on the member and returns its status.
func (node *node) execute(order ebonywood.MemberOrder, holder string) (ebonywood.Status, *ebonywood.Fault) {
	var err error
	switch order.Order() {
	case ebonywood.OrderFence:
		if node.sim.hasMutation("fenceNobody") {
			return ebonywood.NewStatus(ebonywood.RoleReplica, order.Term(), node.journal.End(), node.journal.Applied(), 0), nil
		}
		err = node.journal.Fence(order.Term(), holder)
	case ebonywood.OrderPromote:
		switch {
		case node.sim.hasMutation("fenceNobody"):
			_ = node.journal.Fence(order.Term(), holder)
		case node.sim.mutation == "promoteAny":
			node = node.sim.nodes[node.sim.choose(memberCount)]
			_ = node.journal.Fence(order.Term(), holder)
		}
		err = node.journal.Promote(order.Term(), holder)
	}
	if err != nil {
		return ebonywood.Status{}, ebonywood.FaultOf(err)
	}
	return node.status(), nil
}

// connect returns the cached connection to the node, or opens one; nil if the node
// is unreachable.
func (proxy *proxy) connect(node *node) *conn {
	cached := proxy.conns[node.id]
	if cached != nil && cached.epoch == node.epoch && !node.down {
		return cached
	}
	reachable := !node.down && !node.frozen && !proxy.sim.isCut(proxy.name, string(node.id)) &&
		!proxy.sim.isCut(string(node.id), proxy.name)
	if !reachable {
		return nil
	}
	status := node.status()
	opened := &conn{
		node: node, epoch: node.epoch, role: status.Role(),
		term: status.FencedTerm(), applied: status.Applied(), openedAt: proxy.now(),
	}
	proxy.conns[node.id] = opened
	return opened
}

// confirm requests the confirmation by a majority of a transaction that ended on the
// primary in the given term, and passes the result to done.
func (proxy *proxy) confirm(node *node, term ebonywood.Term, done func(at ebonywood.Position, safe bool)) {
	proxy.lastTicket++
	proxy.callbacks[proxy.lastTicket] = done
	if proxy.sim.mutation == "anchorAnyTerm" {
		term = 0
	}
	proxy.batch.Add(proxy.lastTicket, term)
	proxy.primary = node
	proxy.beginBatch()
}

// beginBatch starts a confirmation of all waiting transactions by querying the
// primary's status, unless one is in flight.
func (proxy *proxy) beginBatch() {
	if !proxy.batch.Begin() {
		return
	}
	proxy.batchNumber++
	proxy.batchStarted = proxy.sim.now
	batchNumber, node := proxy.batchNumber, proxy.primary
	proxy.query(node, batchNumber, func() (func(), bool) {
		status := node.status()
		return func() {
			if proxy.batchNumber == batchNumber {
				proxy.anchor(node, batchNumber, status)
			}
		}, true
	})
}

// query calls evaluate at the node for the confirmation in flight, again every 3 ms
// until it is ready, and sends the reply back.
func (proxy *proxy) query(node *node, batchNumber int, evaluate func() (reply func(), ready bool)) {
	var deliver func()
	deliver = func() {
		if node.down || proxy.batchNumber != batchNumber {
			return
		}
		reply, ready := evaluate()
		if !ready {
			proxy.sim.inFlight = append(proxy.sim.inFlight,
				&message{from: proxy.name, to: string(node.id), due: proxy.sim.now + 3, deliver: deliver})
			return
		}
		proxy.sim.send(string(node.id), proxy.name, reply)
	}
	proxy.sim.send(proxy.name, string(node.id), deliver)
}

// anchor processes the primary's status. Transactions of another term fail, the end of
// the log becomes the position to confirm, and all other members are queried for it.
func (proxy *proxy) anchor(node *node, batchNumber int, status ebonywood.Status) {
	if proxy.sim.mutation == "anchorAnyTerm" {
		status = ebonywood.NewStatus(ebonywood.RolePrimary, 0, status.LogEnd(), status.Applied(), 0)
	}
	proxy.completeTickets(proxy.batch.ApplyPrimaryStatus(node.id, status), ebonywood.Position{}, false)
	at, round := proxy.batch.Position(), proxy.batch.Round()
	incarnation := proxy.incarnation
	if at.IsZero() {
		proxy.endBatch()
		return
	}
	for _, peer := range proxy.sim.nodes {
		if peer == node {
			continue
		}
		proxy.query(peer, batchNumber, func() (func(), bool) {
			ready, err := peer.journal.Confirms(at)
			if proxy.sim.mutation == "confirmTermOnly" {
				ready = err == nil
			}
			if err != nil {
				return func() {}, true
			}
			return func() {
				if proxy.incarnation == incarnation {
					proxy.recordAgreement(peer, round)
				}
			}, ready
		})
	}
}

// recordAgreement counts a member's confirmation, and ends the batch once a majority
// has confirmed.
func (proxy *proxy) recordAgreement(node *node, round uint64) {
	if proxy.sim.mutation == "agreeAnyRound" {
		round = proxy.batch.Round()
	}
	settled, at := proxy.batch.RecordConfirmation(node.id, round)
	if len(settled) == 0 {
		return
	}
	proxy.completeTickets(settled, at, true)
	proxy.endBatch()
}

func (proxy *proxy) endBatch() {
	proxy.batchNumber++
	proxy.batchStarted = 0
	proxy.beginBatch()
}

// completeTickets passes the result of a confirmation to the callbacks of tickets.
func (proxy *proxy) completeTickets(tickets []uint64, at ebonywood.Position, safe bool) {
	for _, ticket := range tickets {
		done := proxy.callbacks[ticket]
		delete(proxy.callbacks, ticket)
		done(at, safe)
	}
}
