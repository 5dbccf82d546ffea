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
	members   []*member
	proxies   []*proxy
	clients   []*client
	inFlight  []*message
	// cuts is true for a link, from sender to receiver, that loses all messages.
	cuts   map[[2]string]bool
	oracle oracle
	// valueCount numbers the values, so that each write has its own.
	valueCount int
}

// member is one database server of the instance.
type member struct {
	sim     *simulation
	id      ebonywood.MemberID
	journal journal.Journal
	down    bool
	frozen  bool
	// lastReceived is when the member last accepted records of a primary.
	lastReceived ebonywood.Millis
	// epoch changes when all connections to the member are lost.
	epoch int
	// lag is not a delay: the member applies records in one of its steps with the
	// probability 8/lag, always if lag is 8 or less.
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
		sim.members = append(sim.members, &member{sim: sim, id: id, lastReceived: sim.now})
		members = append(members, ebonywood.NewMember(id, "z", fmt.Sprintf("10.0.0.%d:5432", i+1), 3, 20, false))
	}
	must(sim.members[0].journal.Fence(1, "platform"))
	must(sim.members[0].journal.Promote(1, "platform"))
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

// hasMutation reports whether the run has a mutation. The naive baseline combines all
// mutations that are checked here; the others compare sim.mutation directly.
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

// tracef adds a line to the trace, which keeps at least the latest 2000 lines.
func (sim *simulation) tracef(format string, arguments ...any) {
	if len(sim.trace) > 4000 {
		sim.trace = slices.Clone(sim.trace[2000:])
	}
	sim.trace = append(sim.trace, fmt.Sprintf("%d @%d ", sim.steps, sim.now)+fmt.Sprintf(format, arguments...))
}

// send queues a message. Its delay is 0 to 3 ms, and up to 899 ms longer for 1 message
// in 50.
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
		sim.members[sim.choose(memberCount)].replicate()
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

// isSuspended reports whether a member is frozen or a proxy paused, so that its
// messages wait.
func (sim *simulation) isSuspended(name string) bool {
	for _, member := range sim.members {
		if string(member.id) == name {
			return member.frozen
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
	member := sim.members[sim.choose(memberCount)]
	proxy := sim.proxies[sim.choose(proxyCount)]
	switch sim.choose(8) {
	case 0:
		sim.tracef("kill %s", member.id)
		member.down = true
		member.epoch++
	case 1:
		sim.tracef("freeze %s", member.id)
		member.frozen = true
	case 2:
		otherMember := sim.members[sim.choose(memberCount)]
		sim.tracef("cut %s -> %s", member.id, otherMember.id)
		sim.cuts[[2]string{string(member.id), string(otherMember.id)}] = true
		sim.cuts[[2]string{string(otherMember.id), string(member.id)}] = sim.choose(2) == 0
	case 3:
		sim.tracef("cut %s -> %s", proxy.name, member.id)
		sim.cuts[[2]string{proxy.name, string(member.id)}] = true
		sim.cuts[[2]string{string(member.id), proxy.name}] = sim.choose(2) == 0
	case 4:
		sim.tracef("pause %s", proxy.name)
		proxy.paused = true
	case 5:
		sim.tracef("restart %s", proxy.name)
		proxy.restart()
	case 6:
		sim.tracef("isolate %s from its peers", member.id)
		for _, otherMember := range sim.members {
			if otherMember != member {
				sim.cuts[[2]string{string(member.id), string(otherMember.id)}] = true
				sim.cuts[[2]string{string(otherMember.id), string(member.id)}] = true
			}
		}
	default:
		member.lag = ebonywood.Millis(sim.choose(800))
		sim.tracef("lag %s %d", member.id, member.lag)
	}
}

// heal restarts or resumes a random member, resumes a random proxy and restores a
// random link. A member's lag stays.
func (sim *simulation) heal() {
	member := sim.members[sim.choose(memberCount)]
	member.down, member.frozen = false, false
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
	for _, member := range sim.members {
		member.down, member.frozen, member.lag = false, false, 0
	}
	for _, proxy := range sim.proxies {
		proxy.paused = false
	}
	for range 12_000 {
		switch sim.choose(3) {
		case 0:
			sim.advance(2)
		case 1:
			sim.members[sim.choose(memberCount)].replicate()
		default:
			sim.deliverOne()
		}
	}
}

// replicate applies stored records. If the log ends in the term in which the member
// last was primary, it also sends records to another random member, even when it has
// been replaced since.
func (member *member) replicate() {
	if member.down || member.frozen {
		return
	}
	if member.lag == 0 || member.sim.choose(int(member.lag)) < 8 {
		member.journal.Apply(member.journal.Applied().Offset() + uint64(1+member.sim.choose(3)))
	}
	term := member.journal.PrimaryTerm()
	if term == 0 || member.journal.End().Term() != term {
		return
	}
	receiver := member.sim.members[member.sim.choose(memberCount)]
	if receiver == member {
		return
	}
	// The start offset is a guess, as after a reconnect; the receiver rejects
	// records that don't follow its log.
	start := min(member.journal.End().Offset(), receiver.journal.End().Offset())
	start -= min(start, uint64(member.sim.choose(3)))
	if member.sim.choose(10) == 0 {
		start = uint64(member.sim.choose(int(start) + 1))
	}
	prev, terms, writes := member.journal.From(start, 1000)
	terms, writes = slices.Clone(terms), slices.Clone(writes)
	member.sim.send(string(member.id), string(receiver.id), func() {
		if receiver.down {
			return
		}
		_, rewound, err := receiver.journal.Receive(term, prev, terms, writes)
		if err == nil {
			receiver.lastReceived = member.sim.now
		}
		if rewound {
			receiver.epoch++
		}
	})
}

// status returns the member's status. Its age is the time since the member last received
// records, 0 on a primary. With the mutation readFormer a former primary reports itself
// as a replica.
func (member *member) status() ebonywood.Status {
	age := ebonywood.Millis(0)
	if !member.journal.IsPrimary() {
		age = member.sim.now - member.lastReceived
	}
	status := member.journal.Status(age)
	if member.sim.mutation == "readFormer" && status.Role() == ebonywood.RoleFormerPrimary {
		return ebonywood.NewStatus(ebonywood.RoleReplica, status.FencedTerm(), status.LogEnd(), status.Applied(), age)
	}
	return status
}
