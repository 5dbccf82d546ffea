// Package site runs a complete small deployment in one process on loopback: the
// platform stand-in, one instance of three members, and proxies. The demo and the
// measurements use it. The proxies are real and all traffic goes over sockets; only
// the separate hosts are missing.
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
	// loopback is the address that members and proxies listen on. Outgoing connections
	// use ports of 127.0.0.1, so they can't occupy a port here between its selection
	// and its use. The platform stand-in listens on 127.0.0.1, on a port that the system
	// selects as it starts to listen.
	loopback          = "127.0.0.2"
	memberCount       = 3
	zoneCount         = 3
	readyTimeout      = 15 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// Site is a running deployment. Its methods are not safe for concurrent use with
// Publish and StartProxy.
type Site struct {
	ctx           context.Context
	platform      *kvserver.Server
	platformGroup *rungroup.Group
	members       []*targetserver.Server
	memberGroups  []*rungroup.Group
	proxies       []*kernel.Kernel
	proxyGroups   []*rungroup.Group
	settings      []settingsfile.Settings
	seeds         []string
	extraSettings string
	generation    uint64
}

// Start starts the platform, the members and the given number of proxies,
// publishes the first object set, and waits until the proxies are ready.
// extraSettings is appended to the YAML settings of each proxy. prepare sets the
// options of each member before it starts.
func Start(ctx context.Context, proxies int, extraSettings string, prepare func(*targetserver.Server)) (*Site, error) {
	site := &Site{ctx: ctx, platform: kvserver.New(), platformGroup: rungroup.New(ctx), extraSettings: extraSettings}
	if err := site.platform.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	site.platformGroup.Go(site.platform.Serve)
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

// startMembers starts the members of the instance, m0 as its primary.
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
		for j, peer := range addresses {
			if j != i {
				peers = append(peers, peer)
			}
		}
		member := targetserver.New(peers)
		prepare(member)
		if err := member.Listen(address); err != nil {
			return err
		}
		site.members = append(site.members, member)
	}
	if err := site.members[0].Bootstrap(); err != nil {
		return err
	}
	for _, member := range site.members {
		group := rungroup.New(site.ctx)
		group.Go(member.Serve)
		site.memberGroups = append(site.memberGroups, group)
	}
	return nil
}

const (
	firstPort = 20_000
	lastPort  = 60_000
)

// lastPortUsed is the last port that was assigned. A process assigns no port twice
// before the range is used up, and starts at an offset that depends on its process ID,
// so that deployments that start concurrently do not collide.
var lastPortUsed atomic.Int64

func init() { lastPortUsed.Store(firstPort + int64(os.Getpid()*97%(lastPort-firstPort))) }

// freeAddress returns an address on loopback with a port that is not in use.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := lastPortUsed.Add(1)
		if port > lastPort {
			lastPortUsed.Store(firstPort)
			continue
		}
		address := fmt.Sprintf("%s:%d", loopback, port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", ebonywood.NewFault(ebonywood.KindUnavailable, "no free port", "stop other processes on this host")
}

// Objects returns the YAML of the object set. leaving names the member that is
// marked as leaving, such as m0; it may be empty.
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

// Publish publishes the object set with the given member marked as leaving. It
// does not wait for the proxies; see AwaitReady and HasApplied.
func (site *Site) Publish(leaving string) error { return site.PublishWith(leaving, "") }

// PublishWith is Publish with further objects, as YAML documents.
func (site *Site) PublishWith(leaving, objects string) error {
	sets := publication.New(kvclient.New([]string{site.platform.Address()}, "site", tally.NoopScope))
	content := objectfile.Join([]string{"site.yaml"}, [][]byte{[]byte(site.Objects(leaving) + objects)})
	generation, err := sets.Publish(site.ctx, content, site.generation)
	if err != nil {
		return err
	}
	site.generation = generation
	return nil
}

// StartProxy starts another proxy, with the peer addresses of all proxies as
// seeds. It does not wait until the proxy is ready.
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
		number, number%zoneCount+1, addresses[0], addresses[1], strings.Join(quoteAll(site.seeds), ", "), site.platform.Address(), site.extraSettings)
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
	site.proxyGroups = append(site.proxyGroups, group)
	site.settings = append(site.settings, settings)
	return nil
}

// quoteAll returns the texts as quoted strings for YAML.
func quoteAll(texts []string) []string {
	literals := make([]string, 0, len(texts))
	for _, text := range texts {
		literals = append(literals, strconv.Quote(text))
	}
	return literals
}

// AwaitReady waits until each running proxy has applied the latest object set, has
// received its peers, and holds the primary and a freshness proof of each instance
// that it owns.
func (site *Site) AwaitReady() error {
	ctx, cancel := context.WithTimeout(site.ctx, readyTimeout)
	defer cancel()
	for i := range site.proxies {
		for !site.isReady(i) {
			if ctx.Err() != nil {
				return ebonywood.NewFault(ebonywood.KindUnavailable, fmt.Sprintf("proxy p%d is not ready", i), "try again")
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// isReady reports whether a proxy is ready or has stopped.
func (site *Site) isReady(number int) bool {
	if site.proxyGroups[number].Context().Err() != nil {
		return true
	}
	snapshot := site.proxies[number].Snapshot()
	set := snapshot.ObjectSet()
	if set == nil || set.Generation() < site.generation || len(snapshot.Peers()) < site.runningProxies() {
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

// runningProxies counts the proxies that have not stopped.
func (site *Site) runningProxies() int {
	count := 0
	for _, group := range site.proxyGroups {
		if group.Context().Err() == nil {
			count++
		}
	}
	return count
}

// URL returns the connection URL of a proxy for callers.
func (site *Site) URL(proxy int) string {
	return fmt.Sprintf("postgres://shop@%s/shop?sslmode=disable", site.settings[proxy].CallerAddress())
}

// DirectURL returns the connection URL of a member, which bypasses the proxies.
func (site *Site) DirectURL(member int) string {
	return fmt.Sprintf("postgres://shop@%s/shop?sslmode=disable", site.members[member].Address())
}

// Platform returns the stand-in for the platform's key-value service.
func (site *Site) Platform() *kvserver.Server { return site.platform }

// Member returns a member by its number.
func (site *Site) Member(number int) *targetserver.Server { return site.members[number] }

// Proxy returns a proxy by its number.
func (site *Site) Proxy(number int) *kernel.Kernel { return site.proxies[number] }

// Primary returns the number of the running member that is primary, -1 if there is
// none.
func (site *Site) Primary() int {
	for i, member := range site.members {
		if site.memberGroups[i].Context().Err() == nil && member.IsPrimary() {
			return i
		}
	}
	return -1
}

// PrimaryInSnapshots returns the number of the member that is primary in the
// snapshots of the proxies, by the highest term among them; -1 if none has a
// primary.
func (site *Site) PrimaryInSnapshots() int {
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

// KillMember stops a member without draining and waits until it has stopped.
func (site *Site) KillMember(number int) {
	site.memberGroups[number].Stop()
	_ = site.memberGroups[number].Wait()
}

// StopProxy drains a proxy and waits until it has stopped.
func (site *Site) StopProxy(number int) error {
	site.proxyGroups[number].Stop()
	return site.proxyGroups[number].Wait()
}

// Stop stops the proxies, the members and the platform.
func (site *Site) Stop() {
	for i := range site.proxyGroups {
		_ = site.StopProxy(i)
	}
	for i := range site.memberGroups {
		site.KillMember(i)
	}
	site.platformGroup.Stop()
	_ = site.platformGroup.Wait()
}

// ReplicaReadShare returns the share of reads that replicas served, from 0 to 1; 0
// if there were no reads.
func (site *Site) ReplicaReadShare() float64 {
	replicas, all := int64(0), int64(0)
	for _, proxy := range site.proxies {
		replicaReads, primaryReads := proxy.Reads()
		replicas += replicaReads
		all += replicaReads + primaryReads
	}
	if all == 0 {
		return 0
	}
	return float64(replicas) / float64(all)
}

// HasApplied reports whether each of the first proxies, up to the given number, has
// applied the latest published set.
func (site *Site) HasApplied(proxies int) bool {
	for _, proxy := range site.proxies[:proxies] {
		set := proxy.Snapshot().ObjectSet()
		if set == nil || set.Generation() < site.generation {
			return false
		}
	}
	return true
}
