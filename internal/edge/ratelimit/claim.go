package ratelimit

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/tokenbucket"
)

const (
	// renewalsPerTTL is the number of renewals in the time to live of an allocator's lease.
	renewalsPerTTL = 6
	// retryDelay is the time between a failed renewal and the next: an outage of the store that
	// is shorter than the lease must not cost the lease.
	retryDelay = 250 * time.Millisecond
	// renewTimeout bounds a renewal, so that another one can succeed before the lease ends.
	// revokeTimeout bounds the call that revokes a lease.
	renewTimeout  = 500 * time.Millisecond
	revokeTimeout = 300 * time.Millisecond
)

// keyValue is the JSON value of an allocator's key. Settled is written once all tokens of
// earlier holders have expired. A key that is released or taken over early belongs to a
// settled holder, so that at most one predecessor has unspent tokens.
type keyValue struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Nonce   string `json:"nonce"`
	Settled bool   `json:"settled,omitempty"`
	// Era is that of the directory when the key was written.
	Era ebonywood.Era `json:"era,omitempty"`
}

// claim is the key of an allocator that this process holds or tries to get.
type claim struct {
	edge   *Edge
	number int
	nonce  string
	// lease, revision and settled belong to the goroutine that runs the claim. revision is zero
	// if it is not known.
	lease    ebonywood.LeaseID
	revision ebonywood.Revision
	settled  bool

	mutex sync.Mutex
	// allocator is nil until the key is held and after it was lost. Until certainUntil no
	// other process can hold it.
	allocator    *tokenbucket.Allocator
	certainUntil ebonywood.Millis
}

// startClaim starts to claim the key of an allocator unless this process holds it or already
// tries to.
func (edge *Edge) startClaim(number int) {
	edge.claimMutex.Lock()
	defer edge.claimMutex.Unlock()
	if _, found := edge.claims[number]; found {
		return
	}
	claim := &claim{edge: edge, number: number, nonce: newNonce()}
	if edge.group.Go(claim.run) {
		edge.claims[number] = claim
	}
}

// Allocate deals tokens if this process holds the key of the allocator that the request names
// and its lease is certain to hold.
func (edge *Edge) Allocate(request ebonywood.TokenRequest) ebonywood.TokenReply {
	edge.claimMutex.Lock()
	claim, found := edge.claims[request.Allocator()]
	edge.claimMutex.Unlock()
	refusal := ebonywood.NewTokenRefusal("this process is not the allocator")
	switch {
	case !found:
		return refusal
	case claim.nonce == request.Nonce():
		return claim.allocate(request)
	case claim.isHeld():
		return refusal.WithNonce(claim.nonce)
	default:
		return refusal
	}
}

// isHeld reports whether the key is certain to be held.
func (claim *claim) isHeld() bool {
	claim.mutex.Lock()
	defer claim.mutex.Unlock()
	return claim.allocator != nil && claim.edge.now() < claim.certainUntil
}

func (claim *claim) allocate(request ebonywood.TokenRequest) ebonywood.TokenReply {
	set := claim.edge.port.Snapshot().ObjectSet()
	claim.mutex.Lock()
	defer claim.mutex.Unlock()
	now := claim.edge.now()
	if claim.allocator == nil || now >= claim.certainUntil || set == nil {
		return ebonywood.NewTokenRefusal("the allocator's lease may have ended")
	}
	reply := claim.allocator.Allocate(now, set, request)
	dealt := 0
	for _, grant := range reply.Grants() {
		dealt += grant.Tokens()
	}
	claim.edge.metrics.dealt.Inc(int64(dealt))
	return reply
}

// run claims the key and renews its lease until ctx ends, the lease is lost or no workspace
// has a rate any more.
func (claim *claim) run(ctx context.Context) error {
	defer claim.end()
	sentAt := claim.edge.now()
	if err := claim.attach(ctx, claim.formerRun); err != nil {
		claim.log("not held", err)
		return nil
	}
	claim.start(sentAt)
	claim.log("held", nil)
	delay := claim.edge.ttl.Duration() / renewalsPerTTL
	for {
		select {
		case <-ctx.Done():
			claim.release("the process ends")
			return nil
		case <-time.After(delay):
		}
		if !claim.edge.isNeeded() {
			claim.release("no workspace has a rate")
			return nil
		}
		renewed, err := claim.maintain(ctx)
		if err != nil {
			claim.log("lost", err)
			return nil
		}
		delay = claim.edge.ttl.Duration() / renewalsPerTTL
		if !renewed {
			delay = retryDelay
		}
	}
}

// maintain renews the lease and settles the key. It returns an error if the key is lost, and
// otherwise whether the lease was renewed.
func (claim *claim) maintain(ctx context.Context) (renewed bool, err error) {
	err = claim.renew(ctx)
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindStale && claim.isHeld() {
		// No other process may claim the key before the lease may end, so the store has lost it.
		err = claim.reattach(ctx)
	}
	renewed = err == nil
	if renewed {
		err = claim.settle(ctx)
	}
	if err == nil {
		return renewed, nil
	}
	switch ebonywood.FaultOf(err).Kind() {
	case ebonywood.KindStale, ebonywood.KindConflict:
		return false, err
	}
	return renewed, nil
}

// log writes the outcome of a claim.
func (claim *claim) log(outcome string, err error) {
	why := ""
	if err != nil {
		why = err.Error()
	}
	claim.edge.port.Log().Info("allocator", "number", claim.number, "outcome", outcome, "why", why)
}

// isNeeded reports whether a workspace has a rate.
func (edge *Edge) isNeeded() bool {
	set := edge.port.Snapshot().ObjectSet()
	if set == nil {
		return false
	}
	for _, workspace := range set.Workspaces() {
		if workspace.IsLimited() {
			return true
		}
	}
	return false
}

// attach requests a lease and writes the key with it, in the place of the one with the revision
// that find returns. If that is zero, there must be no key.
func (claim *claim) attach(ctx context.Context, find func(context.Context) (ebonywood.Revision, error)) error {
	callCtx, cancel := context.WithTimeout(ctx, ebonywood.AllocatorKeyTimeout.Duration())
	defer cancel()
	lease, err := claim.edge.port.Directory().Grant(callCtx, claim.edge.ttl)
	if err != nil {
		return err
	}
	replaced, err := find(callCtx)
	if err != nil {
		claim.revoke(lease)
		return err
	}
	revision, err := claim.write(callCtx, lease, replaced)
	if err != nil {
		claim.revoke(lease)
		return err
	}
	claim.lease, claim.revision = lease, revision
	return nil
}

// write writes the key with a lease in the place of the one with a revision; if that is zero,
// there must be no key.
func (claim *claim) write(ctx context.Context, lease ebonywood.LeaseID, replaced ebonywood.Revision) (ebonywood.Revision, error) {
	directory := claim.edge.port.Directory()
	if replaced.IsZero() {
		return directory.Create(ctx, claim.key(), claim.value(lease), lease)
	}
	return directory.Replace(ctx, claim.key(), claim.value(lease), lease, replaced)
}

// reattach writes the key, which this process holds, into a store that was restored from a backup.
// The backup may lack the key, or name an earlier holder. A conflict is a fault of KindUnavailable:
// what the backup had may have expired meanwhile.
func (claim *claim) reattach(ctx context.Context) error {
	sentAt := claim.edge.now()
	err := claim.attach(ctx, claim.present)
	if err != nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable, err.Error(), "it is tried again until the lease may have ended")
	}
	claim.extend(sentAt)
	claim.log("reattached", nil)
	return nil
}

// read returns the key as the directory holds it, the zero item if there is none.
func (claim *claim) read(ctx context.Context) (ebonywood.Item, error) {
	items, _, err := claim.edge.port.Directory().List(ctx, claim.key(), func() {})
	for _, item := range items {
		if item.Key() == claim.key() {
			return item, err
		}
	}
	return ebonywood.Item{}, err
}

// present returns the revision of the key, zero if there is none.
func (claim *claim) present(ctx context.Context) (ebonywood.Revision, error) {
	item, err := claim.read(ctx)
	return item.Revision(), err
}

// formerRun returns the revision of the key if the directory lists it as that of a settled
// holder with the name of this process. Otherwise it has to expire before it is claimed, and so
// does one of an earlier era, since another process may have held it before the directory
// was restored from a backup.
func (claim *claim) formerRun(ctx context.Context) (none ebonywood.Revision, err error) {
	name := claim.edge.port.Settings().Name()
	listed := slices.ContainsFunc(claim.edge.port.Snapshot().Allocators(), func(allocator ebonywood.Allocator) bool {
		return allocator.Number() == claim.number && allocator.Holder() == name && allocator.IsSettled()
	})
	if !listed {
		return none, nil
	}
	item, err := claim.read(ctx)
	if err != nil {
		return none, err
	}
	var value keyValue
	isValue := json.Unmarshal(item.Value(), &value) == nil
	if isValue && value.Holder == name && value.Settled && value.Era == item.Revision().Era() {
		return item.Revision(), nil
	}
	return none, nil
}

func (claim *claim) key() string { return ebonywood.AllocatorKey(claim.number) }

// value returns the value of the key, which is written with a lease, for the present state of the
// claim.
func (claim *claim) value(lease ebonywood.LeaseID) []byte {
	settings := claim.edge.port.Settings()
	data, err := json.Marshal(keyValue{
		Holder: settings.Name(), Address: settings.PeerAddress(), Nonce: claim.nonce, Settled: claim.settled, Era: lease.Era(),
	})
	if err != nil {
		panic(err)
	}
	return data
}

// start lets the claim deal tokens. The lease was requested at sentAt. The allocator starts
// now, when the key is known to be held: its predecessor has stopped before.
func (claim *claim) start(sentAt ebonywood.Millis) {
	claim.mutex.Lock()
	defer claim.mutex.Unlock()
	edge := claim.edge
	claim.allocator = tokenbucket.New(edge.bounds, edge.allocators, edge.life, edge.now())
	claim.certainUntil = sentAt + edge.ttl - ebonywood.AllocatorClockMargin
	edge.metrics.held.Update(float64(edge.heldCount()))
}

// renew extends the lease. If it can't tell whether it has, the allocator deals on until the
// lease may have ended, and again after a renewal shows that it has not.
func (claim *claim) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := claim.edge.now()
	if err := claim.edge.port.Directory().Renew(callCtx, claim.lease); err != nil {
		return err
	}
	claim.extend(sentAt)
	return nil
}

// extend makes the key certain to be held for the life of a lease that was renewed, or granted,
// by a request sent at sentAt.
func (claim *claim) extend(sentAt ebonywood.Millis) {
	claim.mutex.Lock()
	defer claim.mutex.Unlock()
	claim.certainUntil = sentAt + claim.edge.ttl - ebonywood.AllocatorClockMargin
}

// settle writes into the key that all tokens of earlier holders have expired. It is tried
// once; if its outcome is unknown, the key counts as not settled.
func (claim *claim) settle(ctx context.Context) error {
	if claim.settled || claim.revision.IsZero() || claim.edge.now() < claim.allocator.StartedAt()+claim.edge.life {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, ebonywood.AllocatorKeyTimeout.Duration())
	defer cancel()
	claim.settled = true
	_, err := claim.edge.port.Directory().Replace(callCtx, claim.key(), claim.value(claim.lease), claim.lease, claim.revision)
	claim.settled, claim.revision = err == nil, ebonywood.Revision{}
	return err
}

// release stops the allocator and revokes the lease, so that others don't wait for its end.
// The lease of a holder that is not settled has to expire instead.
func (claim *claim) release(why string) {
	claim.stop()
	claim.edge.port.Log().Info("allocator", "number", claim.number, "outcome", "released", "why", why)
	if claim.settled {
		claim.revoke(claim.lease)
	}
}

// stop makes the claim deal no more tokens.
func (claim *claim) stop() {
	claim.mutex.Lock()
	defer claim.mutex.Unlock()
	claim.allocator = nil
}

// end removes the claim.
func (claim *claim) end() {
	claim.stop()
	edge := claim.edge
	edge.claimMutex.Lock()
	delete(edge.claims, claim.number)
	held := len(edge.claims)
	edge.claimMutex.Unlock()
	edge.metrics.held.Update(float64(held))
}

func (edge *Edge) heldCount() int {
	edge.claimMutex.Lock()
	defer edge.claimMutex.Unlock()
	return len(edge.claims)
}

// revoke ends a lease.
func (claim *claim) revoke(lease ebonywood.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := claim.edge.port.Directory().Revoke(ctx, lease); err != nil {
		claim.edge.port.Log().Info("lease not given back", "why", err.Error())
	}
}
