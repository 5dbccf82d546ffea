// Package fuzz drives the decision packages by their own clock and messages,
// through every failure that the network and the hosts can offer, and compares
// what callers are told with a simple oracle.
//
// The members are journals (the model that the target stand-in serves too), the
// network is a bag from which a step takes any message, late, twice or never.
package fuzz

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/standin/journal"
)

// chooser draws a number in [0, n).
type chooser func(n int) int

const (
	memberCount = 3
	proxyCount  = 3
	clientCount = 8
	maxAge      = 300
	instanceID  = ebonywood.InstanceID("orders/a")
	opLimit     = 1500
	orderLimit  = 150
	batchLimit  = 1000
)

// world is everything outside the decisions.
type world struct {
	choose   chooser
	mutation string
	now      ebonywood.Millis
	steps    int
	trace    []string
	set      *ebonywood.ObjectSet
	nodes    []*node
	proxies  []*proxy
	clients  []*client
	bag      []*message
	cuts     map[[2]string]bool
	oracle   oracle
	unique   int
}

// node is one member of the instance.
type node struct {
	world   *world
	id      ebonywood.MemberID
	journal journal.Journal
	down    bool
	frozen  bool
	heard   ebonywood.Millis
	// epoch changes when all connections are lost.
	epoch int
	lag   ebonywood.Millis
}

// message is something under way. It is handed over when due, if the way is
// open; a lost message is never handed over.
type message struct {
	from, to string
	due      ebonywood.Millis
	deliver  func()
}

func newWorld(choose chooser, mutation string) *world {
	world := &world{choose: choose, mutation: mutation, cuts: map[[2]string]bool{}, now: 1000}
	world.oracle.fail = world.fail
	var members []ebonywood.Member
	for i := range memberCount {
		id := ebonywood.MemberID(fmt.Sprintf("%s/m%d", instanceID, i))
		world.nodes = append(world.nodes, &node{world: world, id: id, heard: world.now})
		members = append(members, ebonywood.NewMember(id, "z", fmt.Sprintf("10.0.0.%d:5432", i+1), 3, 20, false))
	}
	must(world.nodes[0].journal.Fence(1, "platform"))
	must(world.nodes[0].journal.Promote(1, "platform"))
	instance := ebonywood.NewInstance(instanceID, members)
	policy := ebonywood.NewReadPolicy("recent", maxAge, ebonywood.StalePrimary)
	route := ebonywood.NewRoute("shop", "", "shop", []ebonywood.InstanceID{instanceID}, policy, opLimit, 1, false, false,
		ebonywood.Objective{})
	world.set = ebonywood.NewObjectSet(1, "hash", nil, []ebonywood.Instance{instance}, []*ebonywood.Route{route})
	for i := range proxyCount {
		world.proxies = append(world.proxies, newProxy(world, i))
	}
	for i := range clientCount {
		world.clients = append(world.clients, newClient(world, i))
	}
	return world
}

// lacks reports whether the run is without a mechanism; the naive baseline is
// without several.
func (world *world) lacks(mechanism string) bool {
	return world.mutation == mechanism || world.mutation == "naive"
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// fail ends the run with the last part of the trace.
func (world *world) fail(format string, arguments ...any) {
	tail := world.trace[max(0, len(world.trace)-40):]
	text := fmt.Sprintf(format, arguments...)
	for _, line := range tail {
		text += "\n  " + line
	}
	panic(violation{step: world.steps, text: text})
}

// violation is a broken promise.
type violation struct {
	step int
	text string
}

func (world *world) note(format string, arguments ...any) {
	if len(world.trace) > 4000 {
		world.trace = slices.Clone(world.trace[2000:])
	}
	world.trace = append(world.trace, fmt.Sprintf("%d @%d ", world.steps, world.now)+fmt.Sprintf(format, arguments...))
}

// send puts a message on its way with a delay that is mostly short.
func (world *world) send(from, to string, deliver func()) {
	delay := ebonywood.Millis(world.choose(4))
	if world.choose(50) == 0 {
		delay += ebonywood.Millis(world.choose(900))
	}
	world.bag = append(world.bag, &message{from: from, to: to, due: world.now + delay, deliver: deliver})
}

func (world *world) isCut(from, to string) bool { return world.cuts[[2]string{from, to}] }

// step does one thing.
func (world *world) step() {
	world.steps++
	switch roll := world.choose(1000); {
	case roll < 440:
		world.deliverOne()
	case roll < 490:
		world.advance(ebonywood.Millis(1 + world.choose(10)))
	case roll < 780:
		world.clients[world.choose(clientCount)].act()
	case roll < 993:
		world.nodes[world.choose(memberCount)].work()
	case roll < 994:
		world.hurt()
	case roll < 997:
		world.mend()
	default:
		world.clients[world.choose(clientCount)].roam()
	}
}

// advance lets time pass for all.
func (world *world) advance(span ebonywood.Millis) {
	world.now += span
	for _, proxy := range world.proxies {
		proxy.tick()
	}
	for _, client := range world.clients {
		client.expire()
	}
}

// deliverOne hands over a message that is due, or loses it when the way is cut.
func (world *world) deliverOne() {
	var due []int
	for i, message := range world.bag {
		if message.due <= world.now && !world.waits(message.to) {
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		world.advance(1)
		return
	}
	index := due[world.choose(len(due))]
	message := world.bag[index]
	world.bag = append(world.bag[:index], world.bag[index+1:]...)
	if world.isCut(message.from, message.to) || world.choose(800) == 0 {
		return
	}
	message.deliver()
}

// waits reports whether the receiver is frozen or paused.
func (world *world) waits(name string) bool {
	for _, node := range world.nodes {
		if string(node.id) == name {
			return node.frozen
		}
	}
	for _, proxy := range world.proxies {
		if proxy.name == name {
			return proxy.paused
		}
	}
	return false
}

// hurt breaks something.
func (world *world) hurt() {
	node := world.nodes[world.choose(memberCount)]
	proxy := world.proxies[world.choose(proxyCount)]
	switch world.choose(8) {
	case 0:
		world.note("kill %s", node.id)
		node.down = true
		node.epoch++
	case 1:
		world.note("freeze %s", node.id)
		node.frozen = true
	case 2:
		other := world.nodes[world.choose(memberCount)]
		world.note("cut %s -> %s", node.id, other.id)
		world.cuts[[2]string{string(node.id), string(other.id)}] = true
		world.cuts[[2]string{string(other.id), string(node.id)}] = world.choose(2) == 0
	case 3:
		world.note("cut %s -> %s", proxy.name, node.id)
		world.cuts[[2]string{proxy.name, string(node.id)}] = true
		world.cuts[[2]string{string(node.id), proxy.name}] = world.choose(2) == 0
	case 4:
		world.note("pause %s", proxy.name)
		proxy.paused = true
	case 5:
		world.note("restart %s", proxy.name)
		proxy.restart()
	case 6:
		world.note("isolate %s from its peers", node.id)
		for _, other := range world.nodes {
			if other != node {
				world.cuts[[2]string{string(node.id), string(other.id)}] = true
				world.cuts[[2]string{string(other.id), string(node.id)}] = true
			}
		}
	default:
		node.lag = ebonywood.Millis(world.choose(800))
		world.note("lag %s %d", node.id, node.lag)
	}
}

// mend makes one thing whole again.
func (world *world) mend() {
	node := world.nodes[world.choose(memberCount)]
	node.down, node.frozen = false, false
	world.proxies[world.choose(proxyCount)].paused = false
	links := slices.SortedFunc(maps.Keys(world.cuts), func(left, right [2]string) int {
		return strings.Compare(left[0]+left[1], right[0]+right[1])
	})
	if len(links) > 0 {
		delete(world.cuts, links[world.choose(len(links))])
	}
}

// healAll ends all failures and lets the instance settle.
func (world *world) healAll() {
	clear(world.cuts)
	for _, node := range world.nodes {
		node.down, node.frozen, node.lag = false, false, 0
	}
	for _, proxy := range world.proxies {
		proxy.paused = false
	}
	for range 12_000 {
		switch world.choose(3) {
		case 0:
			world.advance(2)
		case 1:
			world.nodes[world.choose(memberCount)].work()
		default:
			world.deliverOne()
		}
	}
}

// work lets a member replicate to another, or apply what it stored.
func (node *node) work() {
	if node.down || node.frozen {
		return
	}
	if node.lag == 0 || node.world.choose(int(node.lag)) < 8 {
		node.journal.Apply(node.journal.Applied().Offset() + uint64(1+node.world.choose(3)))
	}
	term := node.journal.PrimaryTerm()
	if term == 0 || node.journal.End().Term() != term {
		return
	}
	peer := node.world.nodes[node.world.choose(memberCount)]
	if peer == node {
		return
	}
	// The place to go on at is a guess, as after a reconnect; the peer refuses
	// what does not follow its log.
	start := min(node.journal.End().Offset(), peer.journal.End().Offset())
	start -= min(start, uint64(node.world.choose(3)))
	if node.world.choose(10) == 0 {
		start = uint64(node.world.choose(int(start) + 1))
	}
	prev, terms, writes := node.journal.From(start, 1000)
	terms, writes = slices.Clone(terms), slices.Clone(writes)
	node.world.send(string(node.id), string(peer.id), func() {
		if peer.down {
			return
		}
		_, rewound, err := peer.journal.Receive(term, prev, terms, writes)
		if err == nil {
			peer.heard = node.world.now
		}
		if rewound {
			peer.epoch++
		}
	})
}

func (node *node) status() ebonywood.Status {
	age := ebonywood.Millis(0)
	if !node.journal.IsPrimary() {
		age = node.world.now - node.heard
	}
	status := node.journal.Status(age)
	if node.world.mutation == "readFormer" && status.Role() == ebonywood.RoleFormerPrimary {
		return ebonywood.NewStatus(ebonywood.RoleReplica, status.FencedTerm(), status.LogEnd(), status.Applied(), age)
	}
	return status
}
