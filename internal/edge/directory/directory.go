// Package directory is the edge towards the outside directory: it mirrors the
// configuration, the members and the proxies' own keys, keeps this proxy's lease,
// and competes for the duty to promote.
//
// Each mirror lists once and then follows the changes; whenever the history is
// gone it lists anew and compares. What the mirrors show is the only truth: an
// answer that was lost after its effect is settled by the change that follows. The
// duty's fencing token is the revision of the duty's key, which only grows and is
// never given twice.
package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/rungroup"
)

// Name is the plug-in's name.
const Name = "directory"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port), nil })
}

const (
	// ownPrefix holds the keys that proxies write.
	ownPrefix  = "ebonywood/"
	nodePrefix = ownPrefix + "nodes/"
	dutyKey    = ownPrefix + "duty"
	// callLimit bounds one call.
	callLimit = time.Second
	// endLimit bounds the giving back of the lease at the end.
	endLimit = 300 * time.Millisecond
	// retryPause follows a call that failed, doubled so many times at most by the
	// mirror and by the keeper.
	retryPause      = 100 * time.Millisecond
	retryDoublings  = 3
	keeperDoublings = 2
	// dutySpread is the least random pause before a free duty is taken;
	// dutySpreadPerProxy, up to dutySpreadLimit, is that of a large fleet.
	dutySpread         = 100 * time.Millisecond
	dutySpreadPerProxy = 4 * time.Millisecond
	dutySpreadLimit    = 400 * time.Millisecond
)

var _ ebonywood.Mirror = (*Edge)(nil)

// Edge mirrors the directory.
type Edge struct {
	port  ebonywood.Port
	nonce string
	group *rungroup.Group
	feed  *feed

	// wake interrupts the wait of the keeper, back that of the mirror.
	wake chan struct{}
	back chan struct{}

	mutex    sync.Mutex
	away     bool
	returned time.Time
	answered time.Time
	suspects []ebonywood.MemberID
	leaving  bool
	written  bool
	duty     ebonywood.Item
	held     bool
	renew    bool
}

// nodeValue is the form of a proxy's own key.
type nodeValue struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Address  string   `json:"address"`
	Suspects []string `json:"suspects,omitempty"`
	Leaving  bool     `json:"leaving,omitempty"`
}

// dutyValue is the form of the duty's key.
type dutyValue struct {
	Holder string `json:"holder"`
	Nonce  string `json:"nonce"`
}

// New makes the edge. The nonce tells this process from an earlier one of the
// same name.
func New(port ebonywood.Port) *Edge {
	nonce := fmt.Sprintf("%x", rand.Uint64())
	return &Edge{
		port: port, nonce: nonce, group: rungroup.New(context.Background()), feed: newFeed(nonce),
		wake: make(chan struct{}, 1), back: make(chan struct{}, 1),
	}
}

// Since tells another proxy what has changed in the mirror.
func (edge *Edge) Changes(ctx context.Context, cursor ebonywood.Cursor) ebonywood.MirrorPage {
	return edge.feed.since(ctx, cursor, edge.port.Clock().Now)
}

// Run mirrors until ctx ends, then gives the lease back so that nobody has to
// wait for it to lapse.
func (edge *Edge) Run(ctx context.Context) error {
	directory := edge.port.Directory()
	mirror := newMirror(edge,
		section{prefix: directory.ConfigurationKey(), tell: edge.configure},
		section{prefix: directory.MemberPrefix(), tell: edge.list},
		section{prefix: ownPrefix, tell: edge.takeOwn},
	)
	edge.group.Go(mirror.run)
	edge.group.Go(edge.keep)
	select {
	case <-ctx.Done():
	case <-edge.group.Context().Done():
	}
	edge.group.Stop()
	return edge.group.Wait()
}

// Perform writes what the control loop wants others to know.
func (edge *Edge) Perform(action ebonywood.Action) bool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	switch action := action.(type) {
	case ebonywood.AnnounceSuspects:
		edge.suspects = action.Suspects()
		edge.written = false
	case ebonywood.AnnounceLeaving:
		edge.leaving = true
		edge.written = false
	case ebonywood.RenewToken:
		edge.renew = true
	default:
		return false
	}
	edge.rouse()
	return true
}

func (edge *Edge) limits() ebonywood.Limits { return edge.port.Settings().Limits() }

func (edge *Edge) rouse() {
	select {
	case edge.wake <- struct{}{}:
	default:
	}
}

// settled takes note of how a call that was begun at a time has ended. A failure
// says nothing if a later call has succeeded since.
func (edge *Edge) settled(began time.Time, err error) {
	failed := err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindUnavailable
	edge.mutex.Lock()
	if failed && began.Before(edge.answered) {
		edge.mutex.Unlock()
		return
	}
	if !failed {
		edge.answered = time.Now()
	}
	changed := failed != edge.away
	edge.away = failed
	if changed && !failed {
		edge.returned = time.Now()
		select {
		case edge.back <- struct{}{}:
		default:
		}
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

// isAway reports whether the directory does not answer this process.
func (edge *Edge) isAway() bool {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return edge.away
}

// returnedFor is how long the directory has answered again.
func (edge *Edge) returnedFor() time.Duration {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	return time.Since(edge.returned)
}

// configure passes a configuration on. One that can't be decoded leaves the last
// one in force.
func (edge *Edge) configure(ctx context.Context, items map[string]ebonywood.Item, _ int64) {
	item, found := items[edge.port.Directory().ConfigurationKey()]
	if !found {
		return
	}
	set, err := edge.port.Directory().DecodeConfiguration(item)
	if err != nil {
		edge.port.Log().Error(err, "configuration refused", "revision", item.Revision())
		return
	}
	_ = edge.port.Post(ctx, ebonywood.NewObjectSetReceived(set))
}

// list passes the members on. An entry that can't be decoded names no member.
func (edge *Edge) list(ctx context.Context, items map[string]ebonywood.Item, _ int64) {
	listed := make([]ebonywood.ListedMember, 0, len(items))
	for key, item := range items {
		entry, err := edge.port.Directory().DecodeMember(item)
		if err != nil {
			edge.port.Log().Info("member ignored", "key", key, "revision", item.Revision(), "why", err.Error())
			continue
		}
		listed = append(listed, entry)
	}
	_ = edge.port.Post(ctx, ebonywood.NewMembersListed(listed))
}

// takeOwn passes on who lives and who holds the duty.
func (edge *Edge) takeOwn(ctx context.Context, items map[string]ebonywood.Item, at int64) {
	var reports []ebonywood.NodeReport
	for key, item := range items {
		var value nodeValue
		if !strings.HasPrefix(key, nodePrefix) || json.Unmarshal(item.Value(), &value) != nil {
			continue
		}
		suspects := make([]ebonywood.MemberID, 0, len(value.Suspects))
		for _, each := range value.Suspects {
			suspects = append(suspects, ebonywood.MemberID(each))
		}
		peer := ebonywood.NewPeerView(value.Name, value.Zone, value.Address)
		reports = append(reports, ebonywood.NewNodeReport(peer, suspects, value.Leaving))
	}
	slices.SortFunc(reports, func(left, right ebonywood.NodeReport) int {
		return strings.Compare(left.Name(), right.Name())
	})
	_ = edge.port.Post(ctx, ebonywood.NewNodesListed(reports))
	edge.takeDuty(ctx, items[dutyKey], at)
	edge.checkOwnKey(items)
}

// takeDuty compares the duty's key, as of a revision of the directory, with this
// process's claim. A mirror that is behind the answer to a claim tells of what was
// before it.
func (edge *Edge) takeDuty(ctx context.Context, item ebonywood.Item, at int64) {
	edge.mutex.Lock()
	behind := at < edge.duty.Revision()
	edge.mutex.Unlock()
	if behind {
		return
	}
	var value dutyValue
	held := item.Revision() > 0 && json.Unmarshal(item.Value(), &value) == nil && value.Nonce == edge.nonce
	edge.mutex.Lock()
	changed := held != edge.held || held && item.Revision() != edge.duty.Revision()
	edge.held, edge.duty = held, item
	edge.mutex.Unlock()
	edge.rouse()
	if changed {
		_ = edge.port.Post(ctx, ebonywood.NewDutyChanged(held, item.Revision()))
	}
}

// checkOwnKey has the own key written anew if somebody took it away.
func (edge *Edge) checkOwnKey(items map[string]ebonywood.Item) {
	if _, found := items[edge.ownKey()]; found {
		return
	}
	edge.mutex.Lock()
	edge.written = false
	edge.mutex.Unlock()
	edge.rouse()
}

func (edge *Edge) ownKey() string { return nodePrefix + edge.port.Settings().Name() }
