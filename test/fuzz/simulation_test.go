// Package fuzz runs the decision packages in a simulation with virtual time, injects
// failures of hosts and of the network, and checks the results that callers receive
// with a simple oracle.
//
// The members are journals, the model that the target stand-in uses too. The
// network delivers messages late, in any order or never.
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
	memberCount    = 3
	proxyCount     = 3
	clientCount    = 8
	maxAgeMs       = 300 // of the route's read policy
	instanceID     = ebonywood.InstanceID("orders/a")
	opTimeoutMs    = 1500
	orderTimeoutMs = 150
	batchTimeoutMs = 1000
)

// simulation holds the environment of the decisions: clock, network, members and
// callers.
type simulation struct {
	choose    chooser
	mutation  string
	now       ebonywood.Millis
	steps     int
	trace     []string
	objectSet *ebonywood.ObjectSet
	nodes     []*node
	proxies   []*proxy
	clients   []*client
	inFlight  []*message
	// cuts is true for a link, from sender to receiver, that loses all messages.
	cuts   map[[2]string]bool
	oracle oracle
	// valueCount numbers the values, so that each write has its own.
	valueCount int
}

// node is one member of the instance.
type node struct {
	sim     *simulation
	id      ebonywood.MemberID
	journal journal.Journal
	down    bool
	frozen  bool
	// lastReceived is when the node last accepted records of a primary.
	lastReceived ebonywood.Millis
	// epoch changes when all connections to the node are lost.
	epoch int
	// lag is not a fixed delay: the greater it is, the rarer the steps in which the
	// node applies records.
	lag ebonywood.Millis
}

// message is a message in flight. It is delivered at due or later, and lost if its
// link is cut at that time.
type message struct {
	from, to string
	due      ebonywood.Millis
	deliver  func()
}

// newSimulation returns a simulation in which the first member is primary of term 1
// and no failure is active. An empty mutation disables nothing.
func newSimulation(choose chooser, mutation string) *simulation {
	sim := &simulation{choose: choose, mutation: mutation, cuts: map[[2]string]bool{}, now: 1000}
	sim.oracle.failf = sim.failf
	var members []ebonywood.Member
	for i := range memberCount {
		id := ebonywood.MemberID(fmt.Sprintf("%s/m%d", instanceID, i))
		sim.nodes = append(sim.nodes, &node{sim: sim, id: id, lastReceived: sim.now})
		members = append(members, ebonywood.NewMember(id, "z", fmt.Sprintf("10.0.0.%d:5432", i+1), 3, 20, false))
	}
	must(sim.nodes[0].journal.Fence(1, "platform"))
	must(sim.nodes[0].journal.Promote(1, "platform"))
	instance := ebonywood.NewInstance(instanceID, members)
	policy := ebonywood.NewReadPolicy("recent", maxAgeMs, ebonywood.StalePrimary)
	route := ebonywood.NewRoute("shop", "", "shop", []ebonywood.InstanceID{instanceID}, policy, opTimeoutMs, 1, false, false,
		ebonywood.Objective{})
	sim.objectSet = ebonywood.NewObjectSet(1, "hash", nil, []ebonywood.Instance{instance}, []*ebonywood.Route{route})
	for i := range proxyCount {
		sim.proxies = append(sim.proxies, newProxy(sim, i))
	}
	for i := range clientCount {
		sim.clients = append(sim.clients, newClient(sim, i))
	}
	return sim
}

// hasMutation reports whether the run has a mutation. The naive baseline has all that
// are checked with it.
func (sim *simulation) hasMutation(name string) bool {
	return sim.mutation == name || sim.mutation == "naive"
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// failf ends the run with a violation whose text includes the end of the trace.
func (sim *simulation) failf(format string, arguments ...any) {
	tail := sim.trace[max(0, len(sim.trace)-40):]
	text := fmt.Sprintf(format, arguments...)
	for _, line := range tail {
		text += "\n  " + line
	}
	panic(violation{step: sim.steps, text: text})
}

// violation is the value of the panic with which failf ends a run.
type violation struct {
	step int
	text string
}

// tracef adds a line to the trace, of which the latest 2000 lines at least are kept.
func (sim *simulation) tracef(format string, arguments ...any) {
	if len(sim.trace) > 4000 {
		sim.trace = slices.Clone(sim.trace[2000:])
	}
	sim.trace = append(sim.trace, fmt.Sprintf("%d @%d ", sim.steps, sim.now)+fmt.Sprintf(format, arguments...))
}

// send queues a message. Its delay is 0 to 3 ms, and up to 900 ms longer for one
// message in fifty.
func (sim *simulation) send(from, to string, deliver func()) {
	delay := ebonywood.Millis(sim.choose(4))
	if sim.choose(50) == 0 {
		delay += ebonywood.Millis(sim.choose(900))
	}
	sim.inFlight = append(sim.inFlight, &message{from: from, to: to, due: sim.now + delay, deliver: deliver})
}

func (sim *simulation) isCut(from, to string) bool { return sim.cuts[[2]string{from, to}] }

// step performs one random action: it delivers a message, advances the clock, lets a
// client or a member act, or injects or heals a failure.
func (sim *simulation) step() {
	sim.steps++
	switch roll := sim.choose(1000); {
	case roll < 440:
		sim.deliverOne()
	case roll < 490:
		sim.advance(ebonywood.Millis(1 + sim.choose(10)))
	case roll < 780:
		sim.clients[sim.choose(clientCount)].step()
	case roll < 993:
		sim.nodes[sim.choose(memberCount)].replicate()
	case roll < 994:
		sim.injectFault()
	case roll < 997:
		sim.heal()
	default:
		sim.clients[sim.choose(clientCount)].switchProxy()
	}
}

// advance moves the clock, and triggers the timers of proxies and clients.
func (sim *simulation) advance(elapsed ebonywood.Millis) {
	sim.now += elapsed
	for _, proxy := range sim.proxies {
		proxy.tick()
	}
	for _, client := range sim.clients {
		client.expire()
	}
}

// deliverOne takes a random message that is due, and delivers it unless its link is
// cut; 1 message in 800 is lost regardless.
func (sim *simulation) deliverOne() {
	var due []int
	for i, message := range sim.inFlight {
		if message.due <= sim.now && !sim.isSuspended(message.to) {
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		sim.advance(1)
		return
	}
	index := due[sim.choose(len(due))]
	message := sim.inFlight[index]
	sim.inFlight = append(sim.inFlight[:index], sim.inFlight[index+1:]...)
	if sim.isCut(message.from, message.to) || sim.choose(800) == 0 {
		return
	}
	message.deliver()
}

// isSuspended reports whether a node is frozen or a proxy paused, so that its
// messages wait.
func (sim *simulation) isSuspended(name string) bool {
	for _, node := range sim.nodes {
		if string(node.id) == name {
			return node.frozen
		}
	}
	for _, proxy := range sim.proxies {
		if proxy.name == name {
			return proxy.paused
		}
	}
	return false
}

// injectFault starts a random failure of a member, a proxy or a link.
func (sim *simulation) injectFault() {
	node := sim.nodes[sim.choose(memberCount)]
	proxy := sim.proxies[sim.choose(proxyCount)]
	switch sim.choose(8) {
	case 0:
		sim.tracef("kill %s", node.id)
		node.down = true
		node.epoch++
	case 1:
		sim.tracef("freeze %s", node.id)
		node.frozen = true
	case 2:
		peer := sim.nodes[sim.choose(memberCount)]
		sim.tracef("cut %s -> %s", node.id, peer.id)
		sim.cuts[[2]string{string(node.id), string(peer.id)}] = true
		sim.cuts[[2]string{string(peer.id), string(node.id)}] = sim.choose(2) == 0
	case 3:
		sim.tracef("cut %s -> %s", proxy.name, node.id)
		sim.cuts[[2]string{proxy.name, string(node.id)}] = true
		sim.cuts[[2]string{string(node.id), proxy.name}] = sim.choose(2) == 0
	case 4:
		sim.tracef("pause %s", proxy.name)
		proxy.paused = true
	case 5:
		sim.tracef("restart %s", proxy.name)
		proxy.restart()
	case 6:
		sim.tracef("isolate %s from its peers", node.id)
		for _, peer := range sim.nodes {
			if peer != node {
				sim.cuts[[2]string{string(node.id), string(peer.id)}] = true
				sim.cuts[[2]string{string(peer.id), string(node.id)}] = true
			}
		}
	default:
		node.lag = ebonywood.Millis(sim.choose(800))
		sim.tracef("lag %s %d", node.id, node.lag)
	}
}

// heal restarts or resumes a random member, resumes a random proxy and restores a
// random link. A member's lag stays.
func (sim *simulation) heal() {
	node := sim.nodes[sim.choose(memberCount)]
	node.down, node.frozen = false, false
	sim.proxies[sim.choose(proxyCount)].paused = false
	links := slices.SortedFunc(maps.Keys(sim.cuts), func(left, right [2]string) int {
		return strings.Compare(left[0]+left[1], right[0]+right[1])
	})
	if len(links) > 0 {
		delete(sim.cuts, links[sim.choose(len(links))])
	}
}

// healAll ends all failures, then runs long enough for a primary to be elected and
// for pending operations to end.
func (sim *simulation) healAll() {
	clear(sim.cuts)
	for _, node := range sim.nodes {
		node.down, node.frozen, node.lag = false, false, 0
	}
	for _, proxy := range sim.proxies {
		proxy.paused = false
	}
	for range 12_000 {
		switch sim.choose(3) {
		case 0:
			sim.advance(2)
		case 1:
			sim.nodes[sim.choose(memberCount)].replicate()
		default:
			sim.deliverOne()
		}
	}
}

// replicate applies stored records. If the log ends in the term in which the node last
// was primary, it also sends records to a random peer, even when the node has been
// replaced since.
func (node *node) replicate() {
	if node.down || node.frozen {
		return
	}
	if node.lag == 0 || node.sim.choose(int(node.lag)) < 8 {
		node.journal.Apply(node.journal.Applied().Offset() + uint64(1+node.sim.choose(3)))
	}
	term := node.journal.PrimaryTerm()
	if term == 0 || node.journal.End().Term() != term {
		return
	}
	peer := node.sim.nodes[node.sim.choose(memberCount)]
	if peer == node {
		return
	}
	// The start offset is a guess, as after a reconnect; the peer rejects records
	// that don't follow its log.
	start := min(node.journal.End().Offset(), peer.journal.End().Offset())
	start -= min(start, uint64(node.sim.choose(3)))
	if node.sim.choose(10) == 0 {
		start = uint64(node.sim.choose(int(start) + 1))
	}
	prev, terms, writes := node.journal.From(start, 1000)
	terms, writes = slices.Clone(terms), slices.Clone(writes)
	node.sim.send(string(node.id), string(peer.id), func() {
		if peer.down {
			return
		}
		_, rewound, err := peer.journal.Receive(term, prev, terms, writes)
		if err == nil {
			peer.lastReceived = node.sim.now
		}
		if rewound {
			peer.epoch++
		}
	})
}

func (node *node) status() ebonywood.Status {
	age := ebonywood.Millis(0)
	if !node.journal.IsPrimary() {
		age = node.sim.now - node.lastReceived
	}
	status := node.journal.Status(age)
	if node.sim.mutation == "readFormer" && status.Role() == ebonywood.RoleFormerPrimary {
		return ebonywood.NewStatus(ebonywood.RoleReplica, status.FencedTerm(), status.LogEnd(), status.Applied(), age)
	}
	return status
}
