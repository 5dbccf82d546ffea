package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/ebonywood/ebonywood"
)

// runKeeper maintains the leases and this proxy's node key, and claims the duty when
// it is free, until ctx ends. Then it revokes the leases.
func (edge *Edge) runKeeper(ctx context.Context) error {
	keeper := &keeper{edge: edge, nodeLease: lease{renewals: reportRenewals}, dutyLease: lease{renewals: dutyRenewals}}
	defer keeper.releaseLeases()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-edge.keeperWake:
		case <-timer.C:
		}
		start := time.Now()
		called, err := keeper.maintain(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if called {
			edge.recordOutcome(start, err)
		}
		timer.Reset(keeper.nextDelay(err))
	}
}

// keeper is the state of the goroutine that runs runKeeper.
type keeper struct {
	edge *Edge
	// nodeLease holds this proxy's node key, dutyLease the duty key. The TTL of
	// dutyLease is shorter, since no other proxy can promote before it expires.
	nodeLease, dutyLease lease
	// dutyKeyLease is the lease with which this process last wrote the duty key.
	dutyKeyLease ebonywood.LeaseID
	failures     int
	// claimAt is when to claim the duty, which is free; zero while it is not. Before
	// isClaimDrawn is set, it is when the delay of the claim starts.
	claimAt      time.Time
	isClaimDrawn bool
}

// nextDelay returns the time until the next lease renewal, or the backoff delay if err
// is not nil.
func (keeper *keeper) nextDelay(err error) time.Duration {
	if err != nil {
		delay := 2 * retryDelay << min(keeper.failures, keeperMaxDoublings)
		keeper.failures++
		return delay
	}
	keeper.failures = 0
	delay := keeper.nodeLease.renewalInterval() - time.Since(keeper.nodeLease.renewedAt)
	if !keeper.dutyLease.id.IsZero() {
		delay = min(delay, keeper.dutyLease.renewalInterval()-time.Since(keeper.dutyLease.renewedAt))
	}
	if !keeper.claimAt.IsZero() {
		delay = min(delay, time.Until(keeper.claimAt))
	}
	return max(delay, 0)
}

// maintain renews the leases, writes the node key and claims, renews or releases the
// duty as necessary. It reports whether it called the directory.
func (keeper *keeper) maintain(ctx context.Context) (called bool, err error) {
	edge := keeper.edge
	if called, err = keeper.maintainLeases(ctx); err != nil {
		return called, err
	}
	edge.mutex.Lock()
	written, renew, held, free := edge.nodeWritten, edge.renewRequested, edge.holdsDuty, edge.isDutyFree()
	edge.mutex.Unlock()
	if !written {
		if err := keeper.writeNodeKey(ctx); err != nil {
			return true, err
		}
	}
	if !free {
		keeper.resetClaim()
	}
	switch {
	case free && keeper.isClaimDue():
		return true, keeper.claimDuty(ctx)
	case held && (renew || keeper.dutyKeyLease != keeper.dutyLease.id):
		return true, keeper.renewToken(ctx)
	case !held && !keeper.dutyLease.id.IsZero():
		return true, keeper.releaseDuty()
	default:
		return called || !written, nil
	}
}

// maintainLeases renews the leases that are due. It grants the node lease if there is
// none, which requires the node key to be written again.
func (keeper *keeper) maintainLeases(ctx context.Context) (called bool, err error) {
	edge := keeper.edge
	if keeper.nodeLease.isDue() {
		called = true
		created, err := keeper.nodeLease.renewOrGrant(ctx, edge.port.Directory(), edge.limits().Millis(ebonywood.LimitReportTTL))
		if err != nil {
			return true, err
		}
		if created {
			keeper.logLease(&keeper.nodeLease, "report")
			edge.mutex.Lock()
			edge.nodeWritten = false
			edge.mutex.Unlock()
		}
	}
	if keeper.dutyLease.id.IsZero() || !keeper.dutyLease.isDue() {
		return called, nil
	}
	return true, keeper.ensureDutyLease(ctx)
}

func (keeper *keeper) writeNodeKey(ctx context.Context) error {
	edge := keeper.edge
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	edge.mutex.Lock()
	settings := edge.port.Settings()
	value := nodeValue{
		Name: settings.Name(), Zone: settings.Zone(), Address: settings.PeerAddress(), Leaving: edge.leaving,
		RequestedStops: encodeStops(edge.writeStops.Requested()), WriteStops: encodeStops(edge.writeStops.Stopped()),
		Era: keeper.nodeLease.id.Era(),
	}
	for _, suspect := range edge.suspects {
		value.Suspects = append(value.Suspects, string(suspect))
	}
	edge.nodeWritten = true
	edge.mutex.Unlock()
	revision, err := edge.port.Directory().Put(callCtx, edge.nodeKey(), encodeJSON(value), keeper.nodeLease.id)
	edge.mutex.Lock()
	if err == nil {
		edge.nodeRevision = revision
	} else {
		edge.nodeWritten = false
	}
	edge.mutex.Unlock()
	return edge.clearEndedLease(&keeper.nodeLease, err)
}

// clearEndedLease clears the lease if err says that it has ended, so that the keeper
// requests a new one. It returns err.
func (edge *Edge) clearEndedLease(lease *lease, err error) error {
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindStale {
		lease.id = ebonywood.LeaseID{}
		edge.wakeKeeper()
	}
	return err
}

// isClaimDue reports whether this process has to claim the free duty now. The first call
// since the duty became free starts the delay, but not before unsettledFor has passed.
func (keeper *keeper) isClaimDue() bool {
	now := time.Now()
	if unsettled := keeper.edge.unsettledFor(); unsettled > 0 {
		keeper.claimAt = now.Add(unsettled)
		return false
	}
	if !keeper.isClaimDrawn {
		keeper.claimAt, keeper.isClaimDrawn = now.Add(keeper.edge.claimDelay()), true
	}
	return !now.Before(keeper.claimAt)
}

// unsettledFor returns how long this proxy still has to wait until it knows the others
// well enough to tell whether it is a watcher: for startPeriod after its start and, in a
// large fleet, after the return of a directory that let all reports expire.
func (edge *Edge) unsettledFor() time.Duration {
	unsettled := (startPeriod - edge.port.Clock().Now()).Duration()
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	if edge.mostReports >= largeFleet {
		unsettled = max(unsettled, startPeriod.Duration()-time.Since(edge.recoveredAt))
	}
	return max(0, unsettled)
}

func (keeper *keeper) resetClaim() { keeper.claimAt, keeper.isClaimDrawn = time.Time{}, false }

// claimDuty tries to claim the free duty. A success is applied immediately, since the
// directory may become unavailable before the mirror receives the change. After a
// conflict, the mirror receives the change of the actual holder.
func (keeper *keeper) claimDuty(ctx context.Context) error {
	edge := keeper.edge
	keeper.resetClaim()
	if err := keeper.ensureDutyLease(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := edge.port.Directory().Create(callCtx, dutyKey, edge.claimValue(), keeper.dutyLease.id)
	if err == nil {
		keeper.dutyKeyLease = keeper.dutyLease.id
		edge.applyDuty(ctx, ebonywood.NewItem(dutyKey, edge.claimValue(), revision), revision)
		return nil
	}
	if ebonywood.FaultOf(err).Kind() == ebonywood.KindConflict {
		// The key may be this process's own claim, which the mirror has not received yet.
		return nil
	}
	return edge.clearEndedLease(&keeper.dutyLease, err)
}

// ensureDutyLease grants the lease of the duty if there is none, and renews it if it is due.
func (keeper *keeper) ensureDutyLease(ctx context.Context) error {
	if !keeper.dutyLease.isDue() {
		return nil
	}
	created, err := keeper.dutyLease.renewOrGrant(ctx, keeper.edge.port.Directory(), keeper.edge.limits().Millis(ebonywood.LimitDutyTTL))
	if created {
		keeper.logLease(&keeper.dutyLease, "duty")
	}
	return err
}

// logLease logs a lease that was granted.
func (keeper *keeper) logLease(lease *lease, purpose string) {
	keeper.edge.port.Log().Info("lease", "lease", lease.id.Number(), "ttlMs", int64(lease.ttl), "of", purpose)
}

// releaseDuty revokes this process's duty lease after another proxy has claimed the
// duty.
func (keeper *keeper) releaseDuty() error {
	err := keeper.dutyLease.revoke(keeper.edge.port.Directory())
	keeper.dutyLease = lease{renewals: dutyRenewals}
	return err
}

// claimDelay returns the time to wait before a claim of the free duty. It is random and
// grows with the number of proxies that compete, so that few claim before they receive
// the first claim, which itself is hardly later. The proxies that watch the directory
// come before the others.
func (edge *Edge) claimDelay() time.Duration {
	snapshot := edge.port.Snapshot()
	watchers := snapshot.Owners().Watchers()
	if snapshot.Owners().IsWatcher() {
		return rand.N(claimWindow(len(watchers)))
	}
	return claimWindow(len(watchers)) + rand.N(claimWindow(snapshot.ReportCount()))
}

// claimWindow returns the time in which a number of proxies claim the duty.
func claimWindow(proxies int) time.Duration {
	return max(minClaimWindow, time.Duration(proxies)*claimWindowPerProxy)
}

// renewToken rewrites the duty key to obtain a higher revision as the fencing token, and to
// attach the key to the present lease. A
// conflict means that the key has changed, which the mirror receives. After any other error
// the request stands, since the holder may order nothing until it has the greater token.
func (keeper *keeper) renewToken(ctx context.Context) error {
	edge := keeper.edge
	if err := keeper.ensureDutyLease(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	edge.mutex.Lock()
	edge.renewRequested = false
	revision := edge.duty.Revision()
	edge.mutex.Unlock()
	renewed, err := edge.port.Directory().Replace(callCtx, dutyKey, edge.claimValue(), keeper.dutyLease.id, revision)
	if err == nil {
		keeper.dutyKeyLease = keeper.dutyLease.id
		edge.applyDuty(ctx, ebonywood.NewItem(dutyKey, edge.claimValue(), renewed), renewed)
	}
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindConflict {
		return nil
	}
	if err != nil {
		edge.mutex.Lock()
		edge.renewRequested = true
		edge.mutex.Unlock()
	}
	return edge.clearEndedLease(&keeper.dutyLease, err)
}

// releaseLeases revokes the leases, so that other proxies don't wait for them to
// expire.
func (keeper *keeper) releaseLeases() {
	for _, lease := range []*lease{&keeper.dutyLease, &keeper.nodeLease} {
		if err := lease.revoke(keeper.edge.port.Directory()); err != nil {
			keeper.edge.port.Log().Info("lease not given back", "why", err.Error())
		}
	}
}

func (edge *Edge) claimValue() []byte {
	return encodeJSON(dutyValue{Holder: edge.port.Settings().Name(), Nonce: edge.nonce})
}

// encodeJSON marshals a value whose type can always be encoded, and panics otherwise.
func encodeJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
