// Package directory connects a proxy to the external directory. It mirrors the
// configuration, the members and the keys that proxies write, maintains this
// proxy's leases, and competes for the promotion duty.
//
// The mirror lists all keys once and then watches for changes. When the watch
// history has been compacted, it lists again and compares. Decisions rely on the
// mirrored state: if the response to a write is lost, the change that the watch
// delivers shows whether the write took effect. The fencing token of the duty is made of the
// revision of its key and of the store's era, since a store that is restored from a backup gives
// revisions out again.
package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the name under which the plug-in registers itself.
const Name = "directory"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

const (
	// proxyPrefix is the prefix of the keys that proxies write.
	proxyPrefix = "ebonywood/"
	// nodePrefix is the prefix of the node keys, in which the proxies publish their
	// reports.
	nodePrefix = proxyPrefix + "nodes/"
	dutyKey    = proxyPrefix + "duty"
	// callTimeout bounds a single call to the directory.
	callTimeout = time.Second
	// revokeTimeout bounds the call that revokes a lease.
	revokeTimeout = 300 * time.Millisecond
	// retryDelay is the base of the exponential backoff after a failed call. The
	// mirror starts with retryDelay and doubles it at most mirrorMaxDoublings times;
	// the keeper starts with twice retryDelay and doubles it at most
	// keeperMaxDoublings times.
	retryDelay         = 100 * time.Millisecond
	mirrorMaxDoublings = 3
	keeperMaxDoublings = 3
	// Proxies claim a free duty at random times within claimWindowPerProxy for each of
	// them, at least within minClaimWindow.
	minClaimWindow      = 100 * time.Millisecond
	claimWindowPerProxy = 40 * time.Millisecond
	// largeFleet is the number of proxies from which on those that are no watchers call the
	// directory less often while it fails.
	largeFleet = 64
)

var _ ebonywood.Mirror = (*Edge)(nil)

// Edge mirrors the directory and maintains the keys and leases of this proxy.
type Edge struct {
	port  ebonywood.Port
	nonce string
	group *rungroup.Group
	feed  *feed

	// keeperWake ends the keeper's wait for its next renewal; recovered ends the
	// mirror's backoff when the directory is available again.
	keeperWake chan struct{}
	recovered  chan struct{}

	mutex sync.Mutex
	// unavailable is set while the directory does not respond to this process;
	// recoveredAt is when it last became available again, lastResponseAt when it last
	// responded to a call.
	unavailable bool
	recoveredAt time.Time
	// restoredAt is when a restore from a backup was last seen, zero if never.
	restoredAt     time.Time
	lastResponseAt time.Time
	// recovery is called when it becomes available again; it may be nil.
	recovery   context.CancelFunc
	suspects   []ebonywood.MemberID
	writeStops ebonywood.AnnounceWriteStops
	leaving    bool
	// nodeWritten is set while the node key in the directory is up to date; nodeRevision is
	// that of its last write.
	nodeWritten  bool
	nodeRevision ebonywood.Revision
	// mostReports is the greatest number of proxies that the directory has listed.
	mostReports int
	// duty is the duty key as last applied, if dutyKnown is set; its revision is zero while
	// the duty is free.
	duty           ebonywood.Item
	dutyKnown      bool
	holdsDuty      bool
	renewRequested bool

	// allocators are the allocators last posted, reports the last values of the node keys by
	// key. Only the mirror's goroutine uses them.
	allocators []ebonywood.Allocator
	reports    map[string]nodeValue
}

// dutyValue is the JSON value of the duty key.
type dutyValue struct {
	Holder string `json:"holder"`
	Nonce  string `json:"nonce"`
}

// New returns an edge for port. It draws a random nonce that distinguishes this
// process from an earlier one of the same name.
func New(port ebonywood.Port) *Edge {
	nonce := fmt.Sprintf("%x", rand.Uint64())
	return &Edge{
		port: port, nonce: nonce, group: rungroup.New(context.Background()), feed: newFeed(nonce),
		keeperWake: make(chan struct{}, 1), recovered: make(chan struct{}, 1),
	}
}

// Changes returns the changes of the mirror after cursor for another proxy. It waits
// until there are any, ctx ends or the mirror is stale.
func (edge *Edge) Changes(ctx context.Context, cursor ebonywood.Cursor) ebonywood.MirrorPage {
	return edge.feed.changesSince(ctx, cursor, edge.port.Clock().Now)
}

// Run mirrors the directory until ctx ends. It then revokes the leases, so that other
// proxies don't wait for them to expire.
func (edge *Edge) Run(ctx context.Context) error {
	directory := edge.port.Directory()
	mirror := newMirror(edge)
	mirror.handle(
		prefixHandler{prefix: directory.ConfigurationKey(), handle: mirror.applyConfiguration},
		prefixHandler{prefix: directory.MemberPrefix(), handle: edge.applyMembers},
		prefixHandler{prefix: proxyPrefix, handle: edge.applyProxyKeys},
	)
	edge.group.Go(mirror.run)
	edge.group.Go(edge.runKeeper)
	select {
	case <-ctx.Done():
	case <-edge.group.Context().Done():
	}
	edge.group.Stop()
	return edge.group.Wait()
}

// Perform schedules a write of this proxy's node key or a new fencing token.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	switch action := action.(type) {
	case ebonywood.AnnounceSuspects:
		edge.suspects = action.Suspects()
		edge.nodeWritten = false
	case ebonywood.AnnounceWriteStops:
		edge.writeStops = action
		edge.nodeWritten = false
	case ebonywood.AnnounceLeaving:
		edge.leaving = true
		edge.nodeWritten = false
	case ebonywood.RenewToken:
		edge.renewRequested = true
	default:
		return false
	}
	edge.wakeKeeper()
	return true
}

// sleep waits for a time or until ctx ends.
func (edge *Edge) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (edge *Edge) limits() ebonywood.Limits { return edge.port.Settings().Limits() }

func (edge *Edge) wakeKeeper() {
	select {
	case edge.keeperWake <- struct{}{}:
	default:
	}
}

// recordOutcome updates the directory's availability from the result of a call that
// started at start, and posts an event when it changes. Any result but a fault of
// KindUnavailable counts as a response. A failure is ignored if the directory has
// responded to another call since start.
func (edge *Edge) recordOutcome(start time.Time, err error) {
	failed := err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindUnavailable
	edge.mutex.Lock()
	if failed && start.Before(edge.lastResponseAt) {
		edge.mutex.Unlock()
		return
	}
	if !failed {
		edge.lastResponseAt = time.Now()
	}
	changed := failed != edge.unavailable
	edge.unavailable = failed
	if changed && !failed {
		edge.recoveredAt = time.Now()
		select {
		case edge.recovered <- struct{}{}:
		default:
		}
		if edge.recovery != nil {
			edge.recovery()
		}
		edge.wakeKeeper()
	}
	edge.mutex.Unlock()
	if !changed {
		return
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	edge.port.Log().Info("directory", "reachable", !failed, "why", reason)
	_ = edge.port.Post(edge.group.Context(), ebonywood.NewDirectoryReachabilityChanged(!failed))
}

// onRecovery sets the function that is called when the directory becomes available again; nil
// sets none.
func (edge *Edge) onRecovery(recovery context.CancelFunc) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.recovery = recovery
}

// isUnavailable reports whether the directory does not respond to this process.
func (edge *Edge) isUnavailable() bool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return edge.unavailable
}

// noteRestore records that the directory was restored from a backup. Its recovery counts from now on,
// although it may have been away for so short that no call failed.
func (edge *Edge) noteRestore() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	edge.restoredAt = time.Now()
	edge.recoveredAt = edge.restoredAt
}

// wasJustRestored reports whether the directory was restored from a backup so shortly before that
// others may still have to write again what it has lost.
func (edge *Edge) wasJustRestored() bool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return time.Since(edge.restoredAt) <= expiredRetention
}

// timeSinceRecovery returns the time since the directory became available again.
func (edge *Edge) timeSinceRecovery() time.Duration {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return time.Since(edge.recoveredAt)
}

// decodeItem decodes an item that another program wrote. A panic is returned as an error:
// every proxy reads the same items, so one that can't be handled would end all of them,
// again after each restart. A decoder holds no state that a panic could leave broken.
func decodeItem[T any](decode func(ebonywood.Item) (T, error), item ebonywood.Item) (value T, err error) {
	caught := panics.Try(func() { value, err = decode(item) })
	if caught != nil {
		return value, caught.AsError()
	}
	return value, err
}

// applyMembers posts the listed members to the control loop. Entries that can't be
// decoded are logged and skipped.
func (edge *Edge) applyMembers(ctx context.Context, items map[string]ebonywood.Item, _ ebonywood.Revision) {
	members := make([]ebonywood.ListedMember, 0, len(items))
	for key, item := range items {
		entry, err := decodeItem(edge.port.Directory().DecodeMember, item)
		if err != nil {
			edge.port.Log().Info("member ignored", "key", key, "revision", item.Revision().String(), "why", err.Error())
			continue
		}
		members = append(members, entry)
	}
	_ = edge.port.Post(ctx, ebonywood.NewMembersListed(members))
}

// applyProxyKeys posts the reports of the live proxies and the state of the duty to
// the control loop.
func (edge *Edge) applyProxyKeys(ctx context.Context, items map[string]ebonywood.Item, revision ebonywood.Revision) {
	reports := edge.listReports(items, revision.Era())
	edge.mutex.Lock()
	edge.mostReports = max(edge.mostReports, len(reports))
	edge.mutex.Unlock()
	edge.applyAllocators(ctx, items)
	_ = edge.port.Post(ctx, ebonywood.NewProxyReportsListed(reports))
	edge.applyDuty(ctx, items[dutyKey], revision)
	edge.checkNodeKey(items, revision)
}

// applyDuty updates whether this process holds the duty from the duty key as of a
// directory revision. It ignores revisions before that of the last known claim: the
// mirror may not have received the claim's own change yet.
func (edge *Edge) applyDuty(ctx context.Context, item ebonywood.Item, revision ebonywood.Revision) {
	edge.mutex.Lock()
	outdated := revision.Less(edge.duty.Revision())
	edge.mutex.Unlock()
	if outdated {
		return
	}
	var value dutyValue
	held := !item.Revision().IsZero() && json.Unmarshal(item.Value(), &value) == nil && value.Nonce == edge.nonce
	edge.mutex.Lock()
	changed := held != edge.holdsDuty || held && item.Revision() != edge.duty.Revision()
	edge.holdsDuty, edge.duty, edge.dutyKnown = held, item, true
	edge.mutex.Unlock()
	edge.wakeKeeper()
	if changed {
		_ = edge.port.Post(ctx, ebonywood.NewDutyChanged(held, item.Revision().FencingToken()))
	}
}

// isDutyFree reports whether no proxy holds the duty. The mutex is held.
func (edge *Edge) isDutyFree() bool { return edge.dutyKnown && edge.duty.Revision().IsZero() }

// checkNodeKey schedules a rewrite of this proxy's node key if it has been deleted by a
// directory revision, or was last written in an earlier era. A mirror of before the last write
// does not hold the key yet.
func (edge *Edge) checkNodeKey(items map[string]ebonywood.Item, revision ebonywood.Revision) {
	_, found := items[edge.nodeKey()]
	edge.mutex.Lock()
	written := edge.nodeWritten && !edge.nodeRevision.IsZero()
	deleted := !found && !revision.Less(edge.nodeRevision)
	lost := written && (deleted || revision.Era() > edge.nodeRevision.Era())
	if lost {
		edge.nodeWritten = false
	}
	edge.mutex.Unlock()
	if lost {
		edge.wakeKeeper()
	}
}

func (edge *Edge) nodeKey() string { return nodePrefix + edge.port.Settings().Name() }
