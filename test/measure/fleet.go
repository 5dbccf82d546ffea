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

// The fleet section runs the control decisions of many proxies in one process on
// a fake network in virtual time, with 2% loss, and counts what each costs.
const (
	fleetSettle  = 240_000
	fleetSpan    = 20_000
	fleetTick    = 10
	fleetDelay   = 2
	fleetZones   = 8
	targetFleet  = 7400
	targetSets   = 25_500
	frameSize    = 60
	statusPeriod = 50
)

// fleet is all nodes of one run.
type fleet struct {
	now     ebonywood.Millis
	nodes   []*fleetNode
	byPeer  map[string]*fleetNode
	random  *rand.Rand
	pending []delivery
	cuts    map[[2]string]bool
	sent    int
	bytes   int
	spent   time.Duration
	loss    float64
}

type fleetNode struct {
	name     string
	address  string
	decision *membership.Membership
	snapshot *ebonywood.Snapshot
	dead     bool
}

type delivery struct {
	at  ebonywood.Millis
	act func()
}

func newFleet(size int, loss float64) (*fleet, error) {
	made := &fleet{loss: loss, byPeer: map[string]*fleetNode{}, random: rand.New(rand.NewPCG(7, uint64(size))), cuts: map[[2]string]bool{}}
	for i := range size {
		text := fmt.Sprintf("name: n%d\nzone: z%d\ncallerAddress: 10.0.0.1:1\npeerAddress: 10.%d.%d.1:7\nseeds: [\"10.0.0.1:7\"]\n"+
			"platform: {addresses: [\"http://10.0.0.1:1\"]}\n", i, i%fleetZones, i/250, i%250)
		settings, err := settingsfile.Parse("fleet", []byte(text))
		if err != nil {
			return nil, err
		}
		node := &fleetNode{name: settings.Name(), address: settings.PeerAddress(), decision: membership.New(settings)}
		made.nodes = append(made.nodes, node)
		made.byPeer[node.address] = node
		node.publish()
	}
	return made, nil
}

func (node *fleetNode) publish() {
	draft := ebonywood.NewDraft()
	node.decision.Contribute(draft)
	node.snapshot = draft.Publish()
}

// handle gives an event to a node and carries out what it asks for. Only the
// decision's own time counts.
func (fleet *fleet) handle(node *fleetNode, event ebonywood.Event) {
	if node.dead {
		return
	}
	began := time.Now()
	actions := node.decision.Handle(fleet.now, event)
	node.publish()
	fleet.spent += time.Since(began)
	for _, action := range actions {
		if probe, ok := action.(ebonywood.ProbePeer); ok {
			fleet.probe(node, probe)
		}
	}
}

func (fleet *fleet) later(span ebonywood.Millis, act func()) {
	fleet.pending = append(fleet.pending, delivery{at: fleet.now + span, act: act})
}

func (fleet *fleet) passes(from, to *fleetNode) bool {
	return to != nil && !to.dead && !fleet.cuts[[2]string{from.name, to.name}] && fleet.random.Float64() >= fleet.loss
}

// count adds the size of a message as the peer edge would encode it.
func (fleet *fleet) count(updates []ebonywood.PeerUpdate) {
	fleet.sent++
	fleet.bytes += frameSize
	for _, update := range updates {
		text, err := cbor.Marshal([]any{update.Peer().Name(), update.Peer().Zone(), update.Peer().Address(), update.Incarnation(), update.State()})
		if err == nil {
			fleet.bytes += len(text) + 5
		}
	}
}

func (fleet *fleet) probe(from *fleetNode, probe ebonywood.ProbePeer) {
	via := from
	if probe.Via() != "" {
		via = fleet.byPeer[probe.Via()]
		fleet.count(nil)
		if !fleet.passes(from, via) {
			return
		}
	}
	target := fleet.byPeer[probe.Address()]
	fleet.count(probe.Updates())
	reached := target != nil && fleet.passes(via, target) && fleet.passes(target, via)
	if !reached {
		if probe.Number() != 0 && probe.Via() == "" {
			fleet.later(300, func() { fleet.handle(from, ebonywood.NewProbeEnded(probe.Number(), false)) })
		}
		return
	}
	fleet.later(fleetDelay, func() {
		if probe.Via() == "" {
			fleet.handle(target, ebonywood.NewGossipReceived(probe.Updates(), 0, 0, from.address))
		}
		news := target.snapshot.PeerUpdates()
		if probe.RequestsFullState() {
			news = append(append([]ebonywood.PeerUpdate(nil), news...), all(target)...)
		}
		fleet.count(news)
		fleet.later(fleetDelay, func() {
			if probe.Via() == "" {
				fleet.handle(from, ebonywood.NewGossipReceived(news, 0, 0, target.address))
			}
			if probe.Number() != 0 {
				fleet.handle(from, ebonywood.NewProbeEnded(probe.Number(), true))
			}
		})
	})
}

func all(node *fleetNode) []ebonywood.PeerUpdate {
	updates := make([]ebonywood.PeerUpdate, 0, len(node.snapshot.Peers()))
	for _, peer := range node.snapshot.Peers() {
		if peer.Name() != node.name {
			updates = append(updates, ebonywood.NewPeerUpdate(peer, 0, ebonywood.PeerAlive))
		}
	}
	return updates
}

func (fleet *fleet) run(span ebonywood.Millis) {
	for until := fleet.now + span; fleet.now < until; fleet.now++ {
		due := fleet.pending
		fleet.pending = nil
		for _, each := range due {
			if each.at <= fleet.now {
				each.act()
			} else {
				fleet.pending = append(fleet.pending, each)
			}
		}
		if fleet.now%fleetTick == 0 {
			for _, node := range fleet.nodes {
				fleet.handle(node, ebonywood.Tick{})
			}
		}
	}
}

// evictions counts beliefs that a live node is gone.
func (fleet *fleet) evictions() int {
	missing := 0
	for _, node := range fleet.nodes {
		if node.dead {
			continue
		}
		live := map[string]bool{}
		for _, peer := range node.snapshot.Peers() {
			live[peer.Name()] = true
		}
		for _, other := range fleet.nodes {
			if !other.dead && !live[other.name] {
				missing++
			}
		}
	}
	return missing
}

// believers counts the nodes that still believe in a dead one.
func (fleet *fleet) believers(dead *fleetNode) int {
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

// row is what one size cost a node.
type row struct {
	size                      float64
	messages, bytes, cpu, ram float64
	noticed, everywhere       ebonywood.Millis
	evicted                   int
}

func measureFleet(context.Context) error {
	for _, hurt := range []float64{0, 0.02} {
		if err := measureMembership(hurt, hurt/2); err != nil {
			return err
		}
	}
	measureOwners()
	if err := measureChanges(); err != nil {
		return err
	}
	if err := measureSets(); err != nil {
		return err
	}
	return measureRounds()
}

// measureChanges times the whole decision at the target size: a proxy that joins
// and hears of all others, then of one change, then of the loss of a region.
func measureChanges() error {
	settings, err := settingsfile.Parse("fleet", []byte(
		"name: self\nzone: z\ncallerAddress: 10.0.0.1:1\npeerAddress: 10.0.0.1:7\nplatform: {addresses: [\"http://10.0.0.1:1\"]}\n"))
	if err != nil {
		return err
	}
	before := liveMemory()
	decision := membership.New(settings)
	updates := make([]ebonywood.PeerUpdate, targetFleet)
	for i := range updates {
		peer := ebonywood.NewPeerView(fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%fleetZones), fmt.Sprintf("10.%d.%d.1:7", i/250, i%250))
		updates[i] = ebonywood.NewPeerUpdate(peer, 1, ebonywood.PeerAlive)
	}
	instances := make([]ebonywood.Instance, targetSets)
	for i := range instances {
		instances[i] = ebonywood.NewInstance(ebonywood.InstanceID(fmt.Sprintf("db%d/%d", i/3, i%3)), nil)
	}
	steps := []struct {
		name  string
		event ebonywood.Event
	}{
		{"hearing of all proxies", ebonywood.NewGossipReceived(updates, 0, 0, "")},
		{"the first set", ebonywood.NewObjectSetApplied(ebonywood.NewObjectSet(1, "h", nil, instances, nil))},
		{"one proxy dead", ebonywood.NewGossipReceived(dead(updates[:1]), 0, 0, "")},
		{"half of them dead", ebonywood.NewGossipReceived(dead(updates[1:targetFleet/2]), 0, 0, "")},
	}
	fmt.Printf("membership of %d proxies and %d instances, milliseconds of the control thread:", targetFleet, targetSets)
	for _, step := range steps {
		began := time.Now()
		decision.Handle(0, step.event)
		fmt.Printf(" %s %.1f;", step.name, float64(time.Since(began).Microseconds())/1000)
	}
	fmt.Printf(" %.1f MB held\n", float64(liveMemory()-before)/(1<<20))
	runtime.KeepAlive(decision)
	return nil
}

func dead(updates []ebonywood.PeerUpdate) []ebonywood.PeerUpdate {
	made := make([]ebonywood.PeerUpdate, 0, len(updates))
	for _, update := range updates {
		made = append(made, ebonywood.NewPeerUpdate(update.Peer(), update.Incarnation(), ebonywood.PeerDead))
	}
	return made
}

// measureSets shows what a whole object set weighs.
func measureSets() error {
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
		var packed bytes.Buffer
		writer := gzip.NewWriter(&packed)
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
		fmt.Printf("%-10d %12d %14d %12d\n", count, text.Len()/1024, packed.Len()/1024, time.Since(began).Milliseconds())
	}
	return nil
}

func measureMembership(loss, cuts float64) error {
	fmt.Printf("membership, probe every 250 ms, %.0f%% of the messages lost, %.0f%% of the paths cut one way\n", 100*loss, 100*cuts)
	fmt.Printf("%-8s %12s %12s %12s %12s %12s %12s %10s\n", "nodes", "messages/s", "bytes/s", "cpu us/s", "bytes held", "noticed ms", "by all ms", "evicted")
	var rows []row
	for _, size := range []int{5, 20, 80, 320} {
		measured, err := measureFleetAt(size, loss, cuts)
		if err != nil {
			return err
		}
		rows = append(rows, measured)
		fmt.Printf("%-8d %12.1f %12.0f %12.0f %12.0f %12d %12d %10d\n", size, measured.messages, measured.bytes,
			measured.cpu, measured.ram, measured.noticed, measured.everywhere, measured.evicted)
	}
	fit("messages/s", rows, func(each row) float64 { return each.messages })
	fit("bytes/s", rows, func(each row) float64 { return each.bytes })
	fit("cpu us/s", rows, func(each row) float64 { return each.cpu })
	fit("bytes held", rows, func(each row) float64 { return each.ram })
	return nil
}

func measureFleetAt(size int, loss, cuts float64) (row, error) {
	before := liveMemory()
	fleet, err := newFleet(size, loss)
	if err != nil {
		return row{}, err
	}
	fleet.run(fleetSettle)
	held := float64(liveMemory()-before) / float64(size)
	for _, from := range fleet.nodes {
		for _, to := range fleet.nodes {
			if from != to && fleet.random.Float64() < cuts {
				fleet.cuts[[2]string{from.name, to.name}] = true
			}
		}
	}
	fleet.sent, fleet.bytes, fleet.spent = 0, 0, 0
	evicted := 0
	for range fleetSpan / 1000 {
		fleet.run(1000)
		evicted = max(evicted, fleet.evictions())
	}
	perNode := float64(size) * fleetSpan / 1000
	measured := row{
		size: float64(size), messages: float64(fleet.sent) / perNode, bytes: float64(fleet.bytes) / perNode,
		cpu: float64(fleet.spent.Microseconds()) / perNode, ram: held, evicted: evicted,
	}
	measured.noticed, measured.everywhere = fleet.kill()
	runtime.KeepAlive(fleet)
	return measured, nil
}

// kill ends one node and returns when the first and when the last other knew.
func (fleet *fleet) kill() (first, last ebonywood.Millis) {
	dead := fleet.nodes[len(fleet.nodes)/2]
	dead.dead = true
	began := fleet.now
	believers := fleet.believers(dead)
	for fleet.now-began < 60_000 {
		fleet.run(50)
		left := fleet.believers(dead)
		if left < believers && first == 0 {
			first = fleet.now - began
		}
		if left == 0 {
			return first, fleet.now - began
		}
	}
	return first, -1
}

// fit prints a straight line through the rows, its greatest deviation, and what
// it gives at the target size.
func fit(name string, rows []row, of func(row) float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, each := range rows {
		sumX += each.size
		sumY += of(each)
		sumXX += each.size * each.size
		sumXY += each.size * of(each)
	}
	count := float64(len(rows))
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	start := (sumY - slope*sumX) / count
	worst := 0.0
	for _, each := range rows {
		worst = math.Max(worst, math.Abs(of(each)-start-slope*each.size))
	}
	fmt.Printf("  fit of %-11s %10.3f + %8.4f a node (greatest deviation %.1f), at %d nodes %.0f\n",
		name, start, slope, worst, targetFleet, start+slope*targetFleet)
}

// measureOwners times the table of owners at the target size itself.
func measureOwners() {
	table := rendezvous.New(ebonywood.OwnerCount)
	keys := make([]string, targetSets)
	for i := range keys {
		keys[i] = fmt.Sprintf("db%d/%d", i/3, i%3)
	}
	for i := range targetFleet {
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
		targetSets, targetFleet, filled.Milliseconds(), float64(joined.Microseconds())/1000,
		float64(left.Microseconds())/1000, float64(liveMemory()-before)/(1<<20))
	runtime.KeepAlive(table)
}

// measureRounds times the status rounds of the instances that a node watches.
func measureRounds() error {
	fmt.Printf("status rounds of 3 members every %d ms\n%-10s %14s %14s %14s\n", statusPeriod, "instances", "messages/s", "cpu us/s", "KB held")
	for _, instances := range []int{1, 4, 16, 64} {
		if err := measureRoundsAt(instances); err != nil {
			return err
		}
	}
	return nil
}

func measureRoundsAt(count int) error {
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
	const span = 60_000
	messages, spent := 0, time.Duration(0)
	for now := ebonywood.Millis(0); now < span; now += fleetTick {
		began := time.Now()
		actions := decision.Handle(now, ebonywood.Tick{})
		for _, action := range actions {
			if order, ok := action.(ebonywood.MemberOrder); ok {
				messages++
				decision.Handle(now, ebonywood.NewMemberReply(order, now, false, healthy(order, now), nil))
				decision.Contribute(ebonywood.NewDraft())
			}
		}
		spent += time.Since(began)
	}
	fmt.Printf("%-10d %14.0f %14.0f %14.0f\n", count, float64(messages)/(span/1000),
		float64(spent.Microseconds())/(span/1000), float64(liveMemory()-before)/1024)
	runtime.KeepAlive(decision)
	return nil
}

func healthy(order ebonywood.MemberOrder, now ebonywood.Millis) ebonywood.Status {
	role := ebonywood.RoleReplica
	if order.Member()[len(order.Member())-1] == '0' {
		role = ebonywood.RolePrimary
	}
	at := ebonywood.NewPosition(1, uint64(now))
	return ebonywood.NewStatus(role, 1, at, at, 0)
}
