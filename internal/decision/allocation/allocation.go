// Package allocation decides which proxies are allocators: each creates a part of the tokens
// of the workspaces that have a rate. A proxy is the allocator with a number while it holds
// the leased key of that number.
//
// All proxies order themselves for each number by rendezvous hashing. The first claims a key
// without a holder at once and the next ones later, so that few compete. Without a workspace
// that has a rate, nothing is claimed.
package allocation

import (
	"slices"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rendezvous"
)

// Name is the plug-in's name.
const Name = "allocation"

func init() {
	registry.AddDecision(Name, func(settings ebonywood.Settings) ebonywood.Decision {
		return New(settings.Name(), settings.PeerAddress(), settings.Limits().Count(ebonywood.LimitRateAllocators), settings.Limits().AllocatorLeaseTTL())
	})
}

const (
	// claimStep is how much later than the proxy before it in the order a proxy claims a key:
	// longer than a claim takes to be known everywhere.
	claimStep ebonywood.Millis = 400
	// claimRetry is the time after which a claim without effect is repeated.
	claimRetry ebonywood.Millis = 1500
	// settleTime is how long after the start the list of proxies may be incomplete. Until then
	// too many proxies would be first in their order; a proxy claims only its own earlier key.
	settleTime ebonywood.Millis = 800
)

// Allocation is the decision that claims the keys of allocators.
type Allocation struct {
	self    string
	address string
	count   int
	// leaseTTL is the time to live of an allocator's lease.
	leaseTTL ebonywood.Millis
	// claimsFrom is when keys may be claimed after the directory was restored from a backup.
	claimsFrom ebonywood.Millis
	// limited reports that a workspace has a rate.
	limited  bool
	draining bool
	// unreachable reports that the directory does not respond to this process.
	unreachable bool
	// listed is set once the keys of the directory are known.
	listed     bool
	allocators []ebonywood.Allocator
	proxies    map[string]bool
	// keys has the state of each key, by the allocator's number.
	keys []keyState
}

// keyState is the state of the key of one allocator.
type keyState struct {
	// free reports that the key has no holder; claimAt is when this proxy claims it.
	free    bool
	claimAt ebonywood.Millis
}

// New returns the decision of the proxy self, which listens for peers at address, for a
// number of allocators whose leases have a time to live.
func New(self, address string, count int, leaseTTL ebonywood.Millis) *Allocation {
	return &Allocation{self: self, address: address, count: count, leaseTTL: leaseTTL, keys: make([]keyState, count), proxies: map[string]bool{self: true}}
}

// Handle processes the list of allocators, the list of live proxies, a new object set, changes
// of the directory's reachability, its restore from a backup and the request to drain. It
// returns ClaimAllocator for keys that this proxy has to claim.
func (allocation *Allocation) Handle(now ebonywood.Millis, event ebonywood.Event) []ebonywood.Action {
	switch event := event.(type) {
	case ebonywood.ObjectSetApplied:
		allocation.limited = slices.ContainsFunc(event.ObjectSet().Workspaces(), (*ebonywood.Workspace).IsLimited)
	case ebonywood.AllocatorsListed:
		allocation.allocators = event.Allocators()
	case ebonywood.ProxyReportsListed:
		allocation.listed = true
		allocation.setProxies(event.Reports())
	case ebonywood.DirectoryRestored:
		// A holder that the directory has lost may deal until its lease would have ended.
		allocation.claimsFrom = now + allocation.leaseTTL
	case ebonywood.DirectoryReachabilityChanged:
		allocation.setReachable(event.IsReachable())
	case ebonywood.DrainRequested:
		allocation.draining = true
	case ebonywood.Tick:
		return allocation.claim(now)
	}
	return nil
}

// setProxies replaces the live proxies that other proxies can reach. This one is included.
func (allocation *Allocation) setProxies(reports []ebonywood.ProxyReport) {
	proxies := map[string]bool{allocation.self: true}
	for _, report := range reports {
		if report.Peer().Address() != "" && !report.IsLeaving() {
			proxies[report.Name()] = true
		}
	}
	allocation.proxies = proxies
}

// setReachable starts the delays of all claims anew when the directory responds again. In an
// outage in which all keys end, every proxy would call it again and again otherwise.
func (allocation *Allocation) setReachable(reachable bool) {
	allocation.unreachable = !reachable
	clear(allocation.keys)
}

// claim returns the claims that are due.
func (allocation *Allocation) claim(now ebonywood.Millis) []ebonywood.Action {
	if now < allocation.claimsFrom || !allocation.limited || allocation.draining || allocation.unreachable || !allocation.listed || !allocation.canBeAsked() {
		return nil
	}
	var actions []ebonywood.Action
	for number := range allocation.keys {
		if allocation.isClaimDue(now, number) {
			actions = append(actions, ebonywood.NewClaimAllocator(number))
		}
	}
	return actions
}

// canBeAsked reports whether other proxies can ask this one, or there is no other.
func (allocation *Allocation) canBeAsked() bool {
	return allocation.address != "" || len(allocation.proxies) == 1
}

// isClaimDue reports whether this proxy claims the key of a number now, and starts the delay
// of the next claim. The key of an earlier run of this proxy is claimed at once if its holder
// was settled; the edge ignores the claim of a key that it holds itself.
func (allocation *Allocation) isClaimDue(now ebonywood.Millis, number int) bool {
	state := &allocation.keys[number]
	holder, held := allocation.holder(number)
	if held && (holder.Holder() != allocation.self || !holder.IsSettled()) {
		state.free = false
		return false
	}
	if !state.free {
		state.free, state.claimAt = true, now
		if !held {
			state.claimAt = max(now, settleTime) + allocation.delay(number)
		}
	}
	if now < state.claimAt {
		return false
	}
	state.claimAt = now + claimRetry
	return true
}

// holder returns the allocator with a number.
func (allocation *Allocation) holder(number int) (ebonywood.Allocator, bool) {
	for _, allocator := range allocation.allocators {
		if allocator.Number() == number {
			return allocator, true
		}
	}
	return ebonywood.Allocator{}, false
}

// delay returns how long this proxy leaves a free key to those before it in the order. Proxies
// that hold the key of another number come last, as long as there are enough others.
func (allocation *Allocation) delay(number int) ebonywood.Millis {
	candidates := make(map[string]bool, len(allocation.proxies))
	for name := range allocation.proxies {
		candidates[name] = true
	}
	busy := 0
	for _, allocator := range allocation.allocators {
		if len(candidates) > 1 && allocator.Holder() != allocation.self && candidates[allocator.Holder()] {
			delete(candidates, allocator.Holder())
		} else if allocator.Holder() == allocation.self {
			busy++
		}
	}
	key := ebonywood.AllocatorKey(number)
	table := rendezvous.New(len(candidates))
	table.SetKeys([]string{key})
	table.SetNames(candidates)
	rank := slices.Index(table.Top(key), allocation.self)
	return ebonywood.Millis(rank)*claimStep + ebonywood.Millis(busy*len(candidates))*claimStep/4
}

// Contribute adds the allocators to the snapshot while a workspace has a rate.
func (allocation *Allocation) Contribute(draft *ebonywood.Draft) {
	if allocation.limited {
		draft.SetAllocators(allocation.allocators)
	}
}
