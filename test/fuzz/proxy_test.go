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
	// batch collects the transactions that are confirmed together.
	batch *confirmation.Batch
	// batchNumber changes when a confirmation begins or ends; a reply to an earlier
	// one is dropped.
	batchNumber int
	// batchStarted is when the confirmation in flight began, 0 if there is none.
	batchStarted ebonywood.Millis
	// primary is the member that the next confirmation queries first.
	primary *member
	// callbacks receive the result of a confirmation, by ticket, which is the number of
	// the transaction. confirmed is false if the outcome is unknown.
	callbacks  map[uint64]func(at ebonywood.Position, confirmed bool)
	lastTicket uint64
}

// pendingOrder is an order that waits for its reply. sentAt is on the clock of the
// proxy, deadline on that of the simulation.
type pendingOrder struct {
	order    ebonywood.MemberOrder
	sentAt   ebonywood.Millis
	deadline ebonywood.Millis
}

// conn is a connection that the proxy caches, as the target edge does, with the member's
// status at the time at which it was opened.
type conn struct {
	member   *member
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
	for _, member := range proxy.sim.members {
		if pending := proxy.pendingOrders[member.id]; pending != nil && proxy.sim.now > pending.deadline {
			delete(proxy.pendingOrders, member.id)
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

func (proxy *proxy) member(id ebonywood.MemberID) *member {
	for _, member := range proxy.sim.members {
		if member.id == id {
			return member
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
	member, incarnation := proxy.member(order.Member()), proxy.incarnation
	pending := &pendingOrder{order: order, sentAt: proxy.now(), deadline: proxy.sim.now + orderTimeoutMs}
	proxy.pendingOrders[order.Member()] = pending
	if order.Order() != ebonywood.OrderStatus {
		proxy.sim.tracef("%s orders %d at term %d of %s", proxy.name, order.Order(), order.Term(), order.Member())
	}
	proxy.sim.send(proxy.name, string(member.id), func() {
		if member.down {
			return
		}
		status, fault := member.execute(order, proxy.holder())
		proxy.sim.send(string(member.id), proxy.name, func() {
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
func (member *member) execute(order ebonywood.MemberOrder, holder string) (ebonywood.Status, *ebonywood.Fault) {
	var err error
	switch order.Order() {
	case ebonywood.OrderFence:
		if member.sim.hasMutation("fenceNobody") {
			return ebonywood.NewStatus(ebonywood.RoleReplica, order.Term(), member.journal.End(), member.journal.Applied(), 0), nil
		}
		err = member.journal.Fence(order.Term(), holder)
	case ebonywood.OrderPromote:
		switch {
		case member.sim.hasMutation("fenceNobody"):
			_ = member.journal.Fence(order.Term(), holder)
		case member.sim.mutation == "promoteAny":
			member = member.sim.members[member.sim.choose(memberCount)]
			_ = member.journal.Fence(order.Term(), holder)
		}
		err = member.journal.Promote(order.Term(), holder)
	}
	if err != nil {
		return ebonywood.Status{}, ebonywood.FaultOf(err)
	}
	return member.status(), nil
}

// connect returns the cached connection to the member, or opens one; nil if the member
// is unreachable.
func (proxy *proxy) connect(member *member) *conn {
	cached := proxy.conns[member.id]
	if cached != nil && cached.epoch == member.epoch && !member.down {
		return cached
	}
	reachable := !member.down && !member.frozen && !proxy.sim.isCut(proxy.name, string(member.id)) &&
		!proxy.sim.isCut(string(member.id), proxy.name)
	if !reachable {
		return nil
	}
	status := member.status()
	opened := &conn{
		member: member, epoch: member.epoch, role: status.Role(),
		term: status.FencedTerm(), applied: status.Applied(), openedAt: proxy.now(),
	}
	proxy.conns[member.id] = opened
	return opened
}

// confirm requests the confirmation by a majority of a transaction that ended on the
// primary in the given term, and passes the result to done.
func (proxy *proxy) confirm(member *member, term ebonywood.Term, done func(at ebonywood.Position, confirmed bool)) {
	proxy.lastTicket++
	proxy.callbacks[proxy.lastTicket] = done
	if proxy.sim.mutation == "anchorAnyTerm" {
		term = 0
	}
	proxy.batch.Add(proxy.lastTicket, term)
	proxy.primary = member
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
	batchNumber, member := proxy.batchNumber, proxy.primary
	proxy.query(member, batchNumber, func() (func(), bool) {
		status := member.status()
		return func() {
			if proxy.batchNumber == batchNumber {
				proxy.applyPrimaryStatus(member, batchNumber, status)
			}
		}, true
	})
}

// query calls evaluate at the member for the confirmation in flight, again every 3 ms
// until it is ready, and sends the reply back.
func (proxy *proxy) query(member *member, batchNumber int, evaluate func() (reply func(), ready bool)) {
	var deliver func()
	deliver = func() {
		if member.down || proxy.batchNumber != batchNumber {
			return
		}
		reply, ready := evaluate()
		if !ready {
			proxy.sim.inFlight = append(proxy.sim.inFlight,
				&message{from: proxy.name, to: string(member.id), due: proxy.sim.now + 3, deliver: deliver})
			return
		}
		proxy.sim.send(string(member.id), proxy.name, reply)
	}
	proxy.sim.send(proxy.name, string(member.id), deliver)
}

// applyPrimaryStatus processes the primary's status. Transactions of another term fail,
// the end of the log becomes the position to confirm, and all other members are queried
// for it.
func (proxy *proxy) applyPrimaryStatus(member *member, batchNumber int, status ebonywood.Status) {
	if proxy.sim.mutation == "anchorAnyTerm" {
		status = ebonywood.NewStatus(ebonywood.RolePrimary, 0, status.LogEnd(), status.Applied(), 0)
	}
	proxy.completeTickets(proxy.batch.ApplyPrimaryStatus(member.id, status), ebonywood.Position{}, false)
	at, round := proxy.batch.Position(), proxy.batch.Round()
	incarnation := proxy.incarnation
	if at.IsZero() {
		proxy.endBatch()
		return
	}
	for _, otherMember := range proxy.sim.members {
		if otherMember == member {
			continue
		}
		proxy.query(otherMember, batchNumber, func() (func(), bool) {
			ready, err := otherMember.journal.Confirms(at)
			if proxy.sim.mutation == "confirmTermOnly" {
				ready = err == nil
			}
			if err != nil {
				return func() {}, true
			}
			return func() {
				if proxy.incarnation == incarnation {
					proxy.recordConfirmation(otherMember, round)
				}
			}, ready
		})
	}
}

// recordConfirmation counts a member's confirmation, and ends the batch once a majority
// has confirmed.
func (proxy *proxy) recordConfirmation(member *member, round uint64) {
	if proxy.sim.mutation == "agreeAnyRound" {
		round = proxy.batch.Round()
	}
	tickets, at := proxy.batch.RecordConfirmation(member.id, round)
	if len(tickets) == 0 {
		return
	}
	proxy.completeTickets(tickets, at, true)
	proxy.endBatch()
}

// endBatch ends the confirmation in flight, and starts that of the transactions that
// have been added since.
func (proxy *proxy) endBatch() {
	proxy.batchNumber++
	proxy.batchStarted = 0
	proxy.beginBatch()
}

// completeTickets passes the result of a confirmation to the callbacks of tickets.
func (proxy *proxy) completeTickets(tickets []uint64, at ebonywood.Position, confirmed bool) {
	for _, ticket := range tickets {
		done := proxy.callbacks[ticket]
		delete(proxy.callbacks, ticket)
		done(at, confirmed)
	}
}
