// Package site runs a whole small deployment in one process on loopback: the
// platform stand-in, one instance of three members, and proxies. The demo and
// the measurements use it; nothing here is simulated but the hosts.
package site

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/kernel"
	"github.com/ebonywood/ebonywood/internal/kvclient"
	"github.com/ebonywood/ebonywood/internal/metrics"
	"github.com/ebonywood/ebonywood/internal/objectfile"
	"github.com/ebonywood/ebonywood/internal/plugins"
	"github.com/ebonywood/ebonywood/internal/publication"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
	"github.com/ebonywood/ebonywood/internal/standin/kvserver"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

const (
	// loopback is where everything listens. Outgoing connections come from
	// 127.0.0.1, so they can't take a port here between its choice and its use.
	loopback    = "127.0.0.2"
	memberCount = 3
	zoneCount   = 3
	readyLimit  = 15 * time.Second
	readyPoll   = 5 * time.Millisecond
)

// Site is a running deployment.
type Site struct {
	ctx       context.Context
	platform  *kvserver.Server
	group     *rungroup.Group
	members   []*targetserver.Server
	running   []*rungroup.Group
	proxies   []*kernel.Kernel
	stops     []*rungroup.Group
	settings  []settingsfile.Settings
	seeds     []string
	extra     string
	published uint64
}

// Start runs the platform, the members and so many proxies, and publishes the
// first object set. extra is added to the settings of each proxy. prepare sets
// the options of each member before it runs.
func Start(ctx context.Context, proxies int, extra string, prepare func(*targetserver.Server)) (*Site, error) {
	site := &Site{ctx: ctx, platform: kvserver.New(), group: rungroup.New(ctx), extra: extra}
	if err := site.platform.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	site.group.Go(site.platform.Serve)
	if err := site.startMembers(prepare); err != nil {
		return nil, err
	}
	if err := site.Publish(""); err != nil {
		return nil, err
	}
	for range proxies {
		if err := site.StartProxy(); err != nil {
			return nil, err
		}
	}
	return site, site.AwaitReady()
}

func (site *Site) startMembers(prepare func(*targetserver.Server)) error {
	addresses := make([]string, memberCount)
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	for i, address := range addresses {
		var peers []string
		for j, other := range addresses {
			if j != i {
				peers = append(peers, other)
			}
		}
		member := targetserver.New(peers)
		prepare(member)
		if err := member.Listen(address); err != nil {
			return err
		}
		site.members = append(site.members, member)
	}
	if err := site.members[0].Seed(); err != nil {
		return err
	}
	for _, member := range site.members {
		group := rungroup.New(site.ctx)
		group.Go(member.Serve)
		site.running = append(site.running, group)
	}
	return nil
}

const (
	firstPort = 20_000
	lastPort  = 60_000
)

// ports is the last port that was handed out: no port is handed out twice by one
// process, so deployments that start side by side don't collide.
var ports atomic.Int64

func init() { ports.Store(firstPort + int64(os.Getpid()*97%(lastPort-firstPort))) }

func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := ports.Add(1)
		if port > lastPort {
			ports.Store(firstPort)
			continue
		}
		address := fmt.Sprintf("%s:%d", loopback, port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", ebonywood.NewFault(ebonywood.KindUnavailable, "no free port", "end other processes on this host")
}

// Objects is the text of the object set. leaving names a member that is on its
// way out, such as m0.
func (site *Site) Objects(leaving string) string {
	var text strings.Builder
	text.WriteString("kind: databaseGroup\nname: orders\ninstances:\n- name: a\n  members:\n")
	for i, member := range site.members {
		name := fmt.Sprintf("m%d", i)
		fmt.Fprintf(&text, "  - {name: %s, zone: z%d, address: %q, slots: 3, connections: 20, leaving: %t}\n",
			name, i+1, member.Address(), name == leaving)
	}
	text.WriteString(`---
kind: readPolicy
name: recent
maxAge: 2s
---
kind: route
name: shop
database: shop
group: orders
readPolicy: recent
deadline: 5s
paid: true
objective: {share: 0.99, latency: 500ms}
`)
	return text.String()
}

// Publish puts an object set in force.
func (site *Site) Publish(leaving string) error {
	sets := publication.New(kvclient.New([]string{site.platform.Address()}, "site", tally.NoopScope))
	content := objectfile.Join([]string{"site.yaml"}, [][]byte{[]byte(site.Objects(leaving))})
	generation, err := sets.Publish(site.ctx, content, site.published)
	if err != nil {
		return err
	}
	site.published = generation
	return nil
}

// StartProxy runs one more proxy.
func (site *Site) StartProxy() error {
	number := len(site.proxies)
	addresses := make([]string, 2)
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	site.seeds = append(site.seeds, addresses[1])
	text := fmt.Sprintf("name: p%d\nzone: z%d\ncallerAddress: %q\npeerAddress: %q\nseeds: [%s]\nplatform: {addresses: [%q]}\n%s",
		number, number%zoneCount+1, addresses[0], addresses[1], strings.Join(quoted(site.seeds), ", "), site.platform.Address(), site.extra)
	settings, err := settingsfile.Parse("site", []byte(text))
	if err != nil {
		return err
	}
	meter := metrics.New()
	proxy, err := kernel.New(settings, logr.Discard(), meter, registry.Standard(), plugins.Decisions(), plugins.Edges(settings))
	if err != nil {
		return err
	}
	group := rungroup.New(site.ctx)
	group.Go(func(ctx context.Context) error {
		defer meter.Close()
		return proxy.Run(ctx)
	})
	site.proxies = append(site.proxies, proxy)
	site.stops = append(site.stops, group)
	site.settings = append(site.settings, settings)
	return nil
}

func quoted(texts []string) []string {
	made := make([]string, 0, len(texts))
	for _, text := range texts {
		made = append(made, strconv.Quote(text))
	}
	return made
}

// AwaitReady waits until each proxy knows the set, its peers and, where it owns
// the instance, the primary with a proof.
func (site *Site) AwaitReady() error {
	ctx, cancel := context.WithTimeout(site.ctx, readyLimit)
	defer cancel()
	for i := range site.proxies {
		for !site.isReady(i) {
			if ctx.Err() != nil {
				return ebonywood.NewFault(ebonywood.KindUnavailable, fmt.Sprintf("proxy p%d is not ready", i), "try again")
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (site *Site) isReady(number int) bool {
	if site.stops[number].Context().Err() != nil {
		return true
	}
	snapshot := site.proxies[number].Snapshot()
	set := snapshot.ObjectSet()
	if set == nil || set.Generation() < site.published || len(snapshot.Peers()) < site.live() {
		return false
	}
	for _, instance := range set.Instances() {
		view, owned := snapshot.View(instance.ID())
		if owned && (view.Primary() == "" || len(view.Proofs()) == 0) {
			return false
		}
	}
	return true
}

func (site *Site) live() int {
	count := 0
	for _, group := range site.stops {
		if group.Context().Err() == nil {
			count++
		}
	}
	return count
}

// URL is where a caller connects to a proxy.
func (site *Site) URL(proxy int) string {
	return fmt.Sprintf("postgres://shop@%s/shop?sslmode=disable", site.settings[proxy].CallerAddress())
}

// DirectURL is where a caller would connect to a member without a proxy.
func (site *Site) DirectURL(member int) string {
	return fmt.Sprintf("postgres://shop@%s/shop?sslmode=disable", site.members[member].Address())
}

// Platform is the key-value stand-in.
func (site *Site) Platform() *kvserver.Server { return site.platform }

// Member is one member.
func (site *Site) Member(number int) *targetserver.Server { return site.members[number] }

// Proxy is one proxy.
func (site *Site) Proxy(number int) *kernel.Kernel { return site.proxies[number] }

// Primary is the number of the member that accepts writes, -1 if none does.
func (site *Site) Primary() int {
	for i, member := range site.members {
		if site.running[i].Context().Err() == nil && member.IsPrimary() {
			return i
		}
	}
	return -1
}

// Believed is the number of the member that the proxies believe to be primary, -1
// if there is none.
func (site *Site) Believed() int {
	best, term := -1, ebonywood.Term(0)
	for _, proxy := range site.proxies {
		view, found := proxy.Snapshot().View("orders/a")
		if !found || view.Term() < term {
			continue
		}
		for i := range site.members {
			if view.Primary() == ebonywood.MemberID(fmt.Sprintf("orders/a/m%d", i)) {
				best, term = i, view.Term()
			}
		}
	}
	return best
}

// KillMember ends a member at once.
func (site *Site) KillMember(number int) {
	site.running[number].Stop()
	_ = site.running[number].Wait()
}

// StopProxy asks a proxy to leave and waits until it has.
func (site *Site) StopProxy(number int) error {
	site.stops[number].Stop()
	return site.stops[number].Wait()
}

// Stop ends everything.
func (site *Site) Stop() {
	for i := range site.stops {
		_ = site.StopProxy(i)
	}
	for i := range site.running {
		site.KillMember(i)
	}
	site.group.Stop()
	_ = site.group.Wait()
}

// Reads is the share of all statements that replicas ran, writes left out.
func (site *Site) Reads() float64 {
	replicas, all := int64(0), int64(0)
	for _, proxy := range site.proxies {
		byReplica, byPrimary := proxy.Reads()
		replicas += byReplica
		all += byReplica + byPrimary
	}
	if all == 0 {
		return 0
	}
	return float64(replicas) / float64(all)
}

// InForce reports whether the first so many proxies have the set published last.
func (site *Site) InForce(proxies int) bool {
	for _, proxy := range site.proxies[:proxies] {
		set := proxy.Snapshot().ObjectSet()
		if set == nil || set.Generation() < site.published {
			return false
		}
	}
	return true
}
