package main

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/decision/membership"
	"github.com/ebonywood/ebonywood/internal/decision/promoter"
	"github.com/ebonywood/ebonywood/internal/objectfile"
	"github.com/ebonywood/ebonywood/internal/rendezvous"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
)

// The fleet section runs the control decisions of many proxies in one process, on a
// simulated network in virtual time, and measures the cost of each.
const (
	// fleetSettleMs is the time for all nodes to join before the measurement begins.
	fleetSettleMs  = 240_000
	fleetMeasureMs = 20_000
	fleetTickMs    = 10
	// fleetDelayMs is the one-way delay of a message.
	fleetDelayMs = 2
	fleetZones   = 8
	// The costs are extrapolated to the target size, or measured at it.
	targetProxyCount    = 7400
	targetInstanceCount = 25_500
	// frameBytes is the size of a message without its updates.
	frameBytes     = 60
	statusPeriodMs = 50
)

// fleet holds the nodes and the network of one run. cuts holds the links, from sender to
// receiver, that lose all messages; lossRate is the share that all other links lose.
type fleet struct {
	now          ebonywood.Millis
	nodes        []*fleetNode
	byAddress    map[string]*fleetNode
	random       *rand.Rand
	deliveries   []delivery
	cuts         map[[2]string]bool
	messages     int
	bytes        int
	decisionTime time.Duration
	lossRate     float64
}

// fleetNode is one proxy with its membership decision.
type fleetNode struct {
	name     string
	address  string
	decision *membership.Membership
	snapshot *ebonywood.Snapshot
	dead     bool
}

// delivery is a function to call at a time of the simulation.
type delivery struct {
	at      ebonywood.Millis
	deliver func()
}

func newFleet(size int, lossRate float64) (*fleet, error) {
	fleet := &fleet{lossRate: lossRate, byAddress: map[string]*fleetNode{}, random: rand.New(rand.NewPCG(7, uint64(size))), cuts: map[[2]string]bool{}}
	for i := range size {
		text := fmt.Sprintf("name: n%d\nzone: z%d\ncallerAddress: 10.0.0.1:1\npeerAddress: 10.%d.%d.1:7\nseeds: [\"10.0.0.1:7\"]\n"+
			"platform: {addresses: [\"http://10.0.0.1:1\"]}\n", i, i%fleetZones, i/250, i%250)
		settings, err := settingsfile.Parse("fleet", []byte(text))
		if err != nil {
			return nil, err
		}
		node := &fleetNode{name: settings.Name(), address: settings.PeerAddress(), decision: membership.New(settings)}
		fleet.nodes = append(fleet.nodes, node)
		fleet.byAddress[node.address] = node
		node.publish()
	}
	return fleet, nil
}

func (node *fleetNode) publish() {
	draft := ebonywood.NewDraft()
	node.decision.Contribute(draft)
	node.snapshot = draft.Publish()
}

// handle passes an event to a node and performs the probes that it requests.
// decisionTime includes the time of the decision only.
func (fleet *fleet) handle(node *fleetNode, event ebonywood.Event) {
	if node.dead {
		return
	}
	began := time.Now()
	actions := node.decision.Handle(fleet.now, event)
	node.publish()
	fleet.decisionTime += time.Since(began)
	for _, action := range actions {
		if probe, ok := action.(ebonywood.ProbePeer); ok {
			fleet.probe(node, probe)
		}
	}
}

func (fleet *fleet) schedule(delay ebonywood.Millis, deliver func()) {
	fleet.deliveries = append(fleet.deliveries, delivery{at: fleet.now + delay, deliver: deliver})
}

// isDelivered draws whether a message from one node to another arrives.
func (fleet *fleet) isDelivered(from, to *fleetNode) bool {
	return to != nil && !to.dead && !fleet.cuts[[2]string{from.name, to.name}] && fleet.random.Float64() >= fleet.lossRate
}

// countMessage counts a message, with an estimate of its size in the encoding of the
// peer edge.
func (fleet *fleet) countMessage(updates []ebonywood.PeerUpdate) {
	fleet.messages++
	fleet.bytes += frameBytes
	for _, update := range updates {
		text, err := cbor.Marshal([]any{update.Peer().Name(), update.Peer().Zone(), update.Peer().Address(), update.Incarnation(), update.State()})
		if err == nil {
			fleet.bytes += len(text) + 5
		}
	}
}

// probe performs a probe, direct or through another node. A direct probe without a reply
// fails after 300 ms.
func (fleet *fleet) probe(from *fleetNode, probe ebonywood.ProbePeer) {
	via := from
	if probe.Via() != "" {
		via = fleet.byAddress[probe.Via()]
		fleet.countMessage(nil)
		if !fleet.isDelivered(from, via) {
			return
		}
	}
	target := fleet.byAddress[probe.Address()]
	fleet.countMessage(probe.Updates())
	reached := target != nil && fleet.isDelivered(via, target) && fleet.isDelivered(target, via)
	if !reached {
		if probe.Number() != 0 && probe.Via() == "" {
			fleet.schedule(300, func() { fleet.handle(from, ebonywood.NewProbeEnded(probe.Number(), false)) })
		}
		return
	}
	fleet.schedule(fleetDelayMs, func() {
		if probe.Via() == "" {
			fleet.handle(target, ebonywood.NewGossipReceived(probe.Updates(), 0, 0, from.address))
		}
		updates := target.snapshot.PeerUpdates()
		if probe.RequestsFullState() {
			updates = append(append([]ebonywood.PeerUpdate(nil), updates...), joinUpdates(target)...)
		}
		fleet.countMessage(updates)
		fleet.schedule(fleetDelayMs, func() {
			if probe.Via() == "" {
				fleet.handle(from, ebonywood.NewGossipReceived(updates, 0, 0, target.address))
			}
			if probe.Number() != 0 {
				fleet.handle(from, ebonywood.NewProbeEnded(probe.Number(), true))
			}
		})
	})
}

// joinUpdates returns the updates that a node sends to one that joins: all peers that it
// lists, as alive.
func joinUpdates(node *fleetNode) []ebonywood.PeerUpdate {
	updates := make([]ebonywood.PeerUpdate, 0, len(node.snapshot.Peers()))
	for _, peer := range node.snapshot.Peers() {
		if peer.Name() != node.name {
			updates = append(updates, ebonywood.NewPeerUpdate(peer, 0, ebonywood.PeerAlive))
		}
	}
	return updates
}

// run simulates the fleet for a duration.
func (fleet *fleet) run(duration ebonywood.Millis) {
	for end := fleet.now + duration; fleet.now < end; fleet.now++ {
		due := fleet.deliveries
		fleet.deliveries = nil
		for _, next := range due {
			if next.at <= fleet.now {
				next.deliver()
			} else {
				fleet.deliveries = append(fleet.deliveries, next)
			}
		}
		if fleet.now%fleetTickMs == 0 {
			for _, node := range fleet.nodes {
				fleet.handle(node, ebonywood.Tick{})
			}
		}
	}
}

// countFalseEvictions returns the number of pairs of live nodes of which the first does
// not list the second as a peer.
func (fleet *fleet) countFalseEvictions() int {
	missing := 0
	for _, node := range fleet.nodes {
		if node.dead {
			continue
		}
		listed := map[string]bool{}
		for _, peer := range node.snapshot.Peers() {
			listed[peer.Name()] = true
		}
		for _, peer := range fleet.nodes {
			if !peer.dead && !listed[peer.name] {
				missing++
			}
		}
	}
	return missing
}

// countListing returns the number of live nodes that still list a dead one as a peer.
func (fleet *fleet) countListing(dead *fleetNode) int {
	count := 0
	for _, node := range fleet.nodes {
		if node.dead {
			continue
		}
		for _, peer := range node.snapshot.Peers() {
			if peer.Name() == dead.name {
				count++
			}
		}
	}
	return count
}

// fleetRow holds the costs of each node in a fleet of a given size: messages, bytes and
// CPU time per second, and memory in bytes. firstNoticed and lastNoticed are the times
// until the first and the last node removed a dead one. evicted is the greatest number
// of false evictions, counted once a second.
type fleetRow struct {
	size                                  float64
	messages, bytes, cpuMicros, heldBytes float64
	firstNoticed, lastNoticed             ebonywood.Millis
	evicted                               int
}

// measureFleet prints the costs of membership, owners, object sets and status rounds.
func measureFleet(context.Context) error {
	for _, lossRate := range []float64{0, 0.02} {
		if err := measureMembership(lossRate, lossRate/2); err != nil {
			return err
		}
	}
	measureOwners()
	if err := measureMembershipChanges(); err != nil {
		return err
	}
	if err := measureObjectSets(); err != nil {
		return err
	}
	return measureStatusRounds()
}

// measureMembershipChanges prints the time that the membership decision takes at the
// target size: when a proxy joins and receives all others, when the first object set is
// applied, when one proxy is dead, and when half of them are, as after the loss of a
// region.
func measureMembershipChanges() error {
	settings, err := settingsfile.Parse("fleet", []byte(
		"name: self\nzone: z\ncallerAddress: 10.0.0.1:1\npeerAddress: 10.0.0.1:7\nplatform: {addresses: [\"http://10.0.0.1:1\"]}\n"))
	if err != nil {
		return err
	}
	before := liveMemory()
	decision := membership.New(settings)
	updates := make([]ebonywood.PeerUpdate, targetProxyCount)
	for i := range updates {
		peer := ebonywood.NewPeerView(fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%fleetZones), fmt.Sprintf("10.%d.%d.1:7", i/250, i%250))
		updates[i] = ebonywood.NewPeerUpdate(peer, 1, ebonywood.PeerAlive)
	}
	instances := make([]ebonywood.Instance, targetInstanceCount)
	for i := range instances {
		instances[i] = ebonywood.NewInstance(ebonywood.InstanceID(fmt.Sprintf("db%d/%d", i/3, i%3)), nil)
	}
	steps := []struct {
		name  string
		event ebonywood.Event
	}{
		{"hearing of all proxies", ebonywood.NewGossipReceived(updates, 0, 0, "")},
		{"the first set", ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(1, "h", nil, instances, nil))},
		{"one proxy dead", ebonywood.NewGossipReceived(deadUpdates(updates[:1]), 0, 0, "")},
		{"half of them dead", ebonywood.NewGossipReceived(deadUpdates(updates[1:targetProxyCount/2]), 0, 0, "")},
	}
	fmt.Printf("membership of %d proxies and %d instances, milliseconds of the control thread:", targetProxyCount, targetInstanceCount)
	for _, step := range steps {
		began := time.Now()
		decision.Handle(0, step.event)
		fmt.Printf(" %s %.1f;", step.name, float64(time.Since(began).Microseconds())/1000)
	}
	fmt.Printf(" %.1f MB held\n", float64(liveMemory()-before)/(1<<20))
	runtime.KeepAlive(decision)
	return nil
}

// deadUpdates returns the updates with the state of each peer set to dead.
func deadUpdates(updates []ebonywood.PeerUpdate) []ebonywood.PeerUpdate {
	marked := make([]ebonywood.PeerUpdate, 0, len(updates))
	for _, update := range updates {
		marked = append(marked, ebonywood.NewPeerUpdate(update.Peer(), update.Incarnation(), ebonywood.PeerDead))
	}
	return marked
}

// measureObjectSets prints the size and the parse time of object sets.
func measureObjectSets() error {
	fmt.Printf("%-10s %12s %14s %12s\n", "databases", "KB of YAML", "KB compressed", "parse ms")
	for _, count := range []int{85, 850, 8500} {
		var text strings.Builder
		text.WriteString("kind: readPolicy\nname: recent\nmaxAge: 2s\n")
		for i := range count {
			fmt.Fprintf(&text, "---\nkind: databaseGroup\nname: db%d\ninstances:\n", i)
			for j := range 3 {
				fmt.Fprintf(&text, "- name: i%d\n  members:\n", j)
				for k := range 3 {
					fmt.Fprintf(&text, "  - {name: m%d, zone: z%d, address: \"10.%d.%d.%d:5432\"}\n", k, k, i/250, i%250, j*3+k)
				}
			}
			fmt.Fprintf(&text, "---\nkind: route\nname: r%d\ndatabase: db%d\ngroup: db%d\nreadPolicy: recent\n", i, i, i)
		}
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		if _, err := writer.Write([]byte(text.String())); err != nil {
			return err
		}
		if err := writer.Close(); err != nil {
			return err
		}
		began := time.Now()
		if _, err := objectfile.Parse(1, []byte(text.String())); err != nil {
			return err
		}
		fmt.Printf("%-10d %12d %14d %12d\n", count, text.Len()/1024, compressed.Len()/1024, time.Since(began).Milliseconds())
	}
	return nil
}

// measureMembership prints the costs of membership for several fleet sizes, and
// extrapolates them to the target size.
func measureMembership(lossRate, cutRate float64) error {
	fmt.Printf("membership, probe every 250 ms, %.0f%% of the messages lost, %.0f%% of the paths cut one way\n", 100*lossRate, 100*cutRate)
	fmt.Printf("%-8s %12s %12s %12s %12s %12s %12s %10s\n", "nodes", "messages/s", "bytes/s", "cpu us/s", "bytes held", "noticed ms", "by all ms", "evicted")
	var rows []fleetRow
	for _, size := range []int{5, 20, 80, 320} {
		row, err := measureFleetAt(size, lossRate, cutRate)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		fmt.Printf("%-8d %12.1f %12.0f %12.0f %12.0f %12d %12d %10d\n", size, row.messages, row.bytes,
			row.cpuMicros, row.heldBytes, row.firstNoticed, row.lastNoticed, row.evicted)
	}
	printFit("messages/s", rows, func(row fleetRow) float64 { return row.messages })
	printFit("bytes/s", rows, func(row fleetRow) float64 { return row.bytes })
	printFit("cpu us/s", rows, func(row fleetRow) float64 { return row.cpuMicros })
	printFit("bytes held", rows, func(row fleetRow) float64 { return row.heldBytes })
	return nil
}

// measureFleetAt measures a fleet of one size. The links that are cut one way, of which
// cutRate is the share, are cut once the fleet has settled.
func measureFleetAt(size int, lossRate, cutRate float64) (fleetRow, error) {
	before := liveMemory()
	fleet, err := newFleet(size, lossRate)
	if err != nil {
		return fleetRow{}, err
	}
	fleet.run(fleetSettleMs)
	held := float64(liveMemory()-before) / float64(size)
	for _, from := range fleet.nodes {
		for _, to := range fleet.nodes {
			if from != to && fleet.random.Float64() < cutRate {
				fleet.cuts[[2]string{from.name, to.name}] = true
			}
		}
	}
	fleet.messages, fleet.bytes, fleet.decisionTime = 0, 0, 0
	evicted := 0
	for range fleetMeasureMs / 1000 {
		fleet.run(1000)
		evicted = max(evicted, fleet.countFalseEvictions())
	}
	perNode := float64(size) * fleetMeasureMs / 1000
	row := fleetRow{
		size: float64(size), messages: float64(fleet.messages) / perNode, bytes: float64(fleet.bytes) / perNode,
		cpuMicros: float64(fleet.decisionTime.Microseconds()) / perNode, heldBytes: held, evicted: evicted,
	}
	row.firstNoticed, row.lastNoticed = fleet.killOne()
	runtime.KeepAlive(fleet)
	return row, nil
}

// killOne ends one node. It returns the times until the first and until the last node
// removed it from its peers; last is -1 if some still list it after 60 s.
func (fleet *fleet) killOne() (first, last ebonywood.Millis) {
	dead := fleet.nodes[len(fleet.nodes)/2]
	dead.dead = true
	began := fleet.now
	initial := fleet.countListing(dead)
	for fleet.now-began < 60_000 {
		fleet.run(50)
		remaining := fleet.countListing(dead)
		if remaining < initial && first == 0 {
			first = fleet.now - began
		}
		if remaining == 0 {
			return first, fleet.now - began
		}
	}
	return first, -1
}

// printFit prints a linear fit of the rows by least squares, its greatest deviation, and
// the value that it predicts at the target size.
func printFit(name string, rows []fleetRow, value func(fleetRow) float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, row := range rows {
		sumX += row.size
		sumY += value(row)
		sumXX += row.size * row.size
		sumXY += row.size * value(row)
	}
	count := float64(len(rows))
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	intercept := (sumY - slope*sumX) / count
	maxDeviation := 0.0
	for _, row := range rows {
		maxDeviation = math.Max(maxDeviation, math.Abs(value(row)-intercept-slope*row.size))
	}
	fmt.Printf("  fit of %-11s %10.3f + %8.4f a node (greatest deviation %.1f), at %d nodes %.0f\n",
		name, intercept, slope, maxDeviation, targetProxyCount, intercept+slope*targetProxyCount)
}

// measureOwners prints the time to compute the owners of all instances at the target
// size, and to update them when a proxy joins or leaves.
func measureOwners() {
	table := rendezvous.New(ebonywood.OwnerCount)
	keys := make([]string, targetInstanceCount)
	for i := range keys {
		keys[i] = fmt.Sprintf("db%d/%d", i/3, i%3)
	}
	for i := range targetProxyCount {
		table.Add(fmt.Sprintf("n%d", i))
	}
	before := liveMemory()
	began := time.Now()
	table.SetKeys(keys)
	filled := time.Since(began)
	began = time.Now()
	table.Add("another")
	joined := time.Since(began)
	began = time.Now()
	table.Remove("another")
	left := time.Since(began)
	fmt.Printf("owners of %d instances among %d proxies: first table %d ms, a join %.1f ms, a leave %.1f ms, %.1f MB\n",
		targetInstanceCount, targetProxyCount, filled.Milliseconds(), float64(joined.Microseconds())/1000,
		float64(left.Microseconds())/1000, float64(liveMemory()-before)/(1<<20))
	runtime.KeepAlive(table)
}

// measureStatusRounds prints the costs of the status rounds of the instances that a node
// watches.
func measureStatusRounds() error {
	fmt.Printf("status rounds of 3 members every %d ms\n%-10s %14s %14s %14s\n", statusPeriodMs, "instances", "messages/s", "cpu us/s", "KB held")
	for _, instances := range []int{1, 4, 16, 64} {
		if err := measureStatusRoundsAt(instances); err != nil {
			return err
		}
	}
	return nil
}

func measureStatusRoundsAt(count int) error {
	settings, err := settingsfile.Parse("fleet", []byte(
		"name: n0\nzone: z\ncallerAddress: 10.0.0.1:1\nplatform: {addresses: [\"http://10.0.0.1:1\"]}\n"))
	if err != nil {
		return err
	}
	before := liveMemory()
	decision := promoter.New(settings)
	instances := make([]ebonywood.Instance, 0, count)
	for i := range count {
		id := ebonywood.InstanceID(fmt.Sprintf("db/%d", i))
		var members []ebonywood.Member
		for j := range 3 {
			members = append(members, ebonywood.NewMember(ebonywood.MemberID(fmt.Sprintf("%s/m%d", id, j)), "z", "10.0.0.1:1", 3, 20, false))
		}
		instances = append(instances, ebonywood.NewInstance(id, members))
	}
	decision.Handle(0, ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(1, "h", nil, instances, nil)))
	const durationMs = 60_000
	messages, decisionTime := 0, time.Duration(0)
	for now := ebonywood.Millis(0); now < durationMs; now += fleetTickMs {
		began := time.Now()
		actions := decision.Handle(now, ebonywood.Tick{})
		for _, action := range actions {
			if order, ok := action.(ebonywood.MemberOrder); ok {
				messages++
				decision.Handle(now, ebonywood.NewMemberReply(order, now, false, healthyStatus(order, now), nil))
				decision.Contribute(ebonywood.NewDraft())
			}
		}
		decisionTime += time.Since(began)
	}
	fmt.Printf("%-10d %14.0f %14.0f %14.0f\n", count, float64(messages)/(durationMs/1000),
		float64(decisionTime.Microseconds())/(durationMs/1000), float64(liveMemory()-before)/1024)
	runtime.KeepAlive(decision)
	return nil
}

// healthyStatus returns the status of an up-to-date member; the first one is primary.
func healthyStatus(order ebonywood.MemberOrder, now ebonywood.Millis) ebonywood.Status {
	role := ebonywood.RoleReplica
	if order.Member()[len(order.Member())-1] == '0' {
		role = ebonywood.RolePrimary
	}
	at := ebonywood.NewPosition(1, uint64(now))
	return ebonywood.NewStatus(role, 1, at, at, 0)
}
