package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/ebonywood/ebonywood"
)

// keep holds the leases, the own key and, if it is free, the duty.
func (edge *Edge) keep(ctx context.Context) error {
	keeper := &keeper{edge: edge}
	defer keeper.giveBack()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-edge.wake:
		case <-timer.C:
		}
		began := time.Now()
		called, err := keeper.maintain(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if called {
			edge.settled(began, err)
		}
		timer.Reset(keeper.pause(err))
	}
}

// keeper is what the keeping goroutine knows.
type keeper struct {
	edge *Edge
	// own keeps this proxy's report, duty the duty's key. The latter is shorter, as
	// nobody can promote until it has lapsed.
	own, duty lease
	failures  int
}

// pause is the time until something is due, or until the next attempt.
func (keeper *keeper) pause(err error) time.Duration {
	if err != nil {
		span := 2 * retryPause << min(keeper.failures, keeperDoublings)
		keeper.failures++
		return span
	}
	keeper.failures = 0
	pause := keeper.own.period() - time.Since(keeper.own.renewed)
	if keeper.duty.id != 0 {
		pause = min(pause, keeper.duty.period()-time.Since(keeper.duty.renewed))
	}
	return max(pause, 0)
}

// maintain does what is due, and reports whether that took a call.
func (keeper *keeper) maintain(ctx context.Context) (called bool, err error) {
	edge := keeper.edge
	if called, err = keeper.holdLeases(ctx); err != nil {
		return called, err
	}
	edge.mutex.Lock()
	written, renew, held, free := edge.written, edge.renew, edge.held, edge.duty.Revision() == 0
	edge.mutex.Unlock()
	if !written {
		if err := keeper.writeOwnKey(ctx); err != nil {
			return true, err
		}
	}
	switch {
	case free:
		return true, keeper.takeFreeDuty(ctx)
	case held && renew:
		return true, keeper.renewToken(ctx)
	case !held && keeper.duty.id != 0:
		return true, keeper.giveUpDuty()
	default:
		return called || !written, nil
	}
}

// holdLeases renews the leases that are due.
func (keeper *keeper) holdLeases(ctx context.Context) (called bool, err error) {
	edge := keeper.edge
	if keeper.own.isDue() {
		called = true
		made, err := keeper.own.hold(ctx, edge.port.Directory(), edge.limits().Millis(ebonywood.LimitReportTTL))
		if err != nil {
			return true, err
		}
		if made {
			edge.port.Log().Info("lease", "lease", int64(keeper.own.id), "ttlMs", int64(keeper.own.ttl), "of", "report")
			edge.mutex.Lock()
			edge.written = false
			edge.mutex.Unlock()
		}
	}
	if keeper.duty.id == 0 || !keeper.duty.isDue() {
		return called, nil
	}
	made, err := keeper.duty.hold(ctx, edge.port.Directory(), edge.limits().Millis(ebonywood.LimitDutyTTL))
	if made {
		edge.port.Log().Info("lease", "lease", int64(keeper.duty.id), "ttlMs", int64(keeper.duty.ttl), "of", "duty")
	}
	return true, err
}

func (keeper *keeper) writeOwnKey(ctx context.Context) error {
	edge := keeper.edge
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	edge.mutex.Lock()
	settings := edge.port.Settings()
	value := nodeValue{Name: settings.Name(), Zone: settings.Zone(), Address: settings.PeerAddress(), Leaving: edge.leaving}
	for _, each := range edge.suspects {
		value.Suspects = append(value.Suspects, string(each))
	}
	edge.written = true
	edge.mutex.Unlock()
	err := edge.port.Directory().Put(limited, edge.ownKey(), encode(value), keeper.own.id)
	if err != nil {
		edge.mutex.Lock()
		edge.written = false
		edge.mutex.Unlock()
	}
	return edge.afterLeaseFault(&keeper.own, err)
}

// afterLeaseFault forgets a lease that the directory does not know any more.
func (edge *Edge) afterLeaseFault(lease *lease, err error) error {
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindStale {
		lease.id = 0
		edge.rouse()
	}
	return err
}

// takeFreeDuty competes for the duty. A success counts at once, since the directory
// may be gone before the mirror tells of it; otherwise the mirror tells who won.
func (keeper *keeper) takeFreeDuty(ctx context.Context) error {
	edge := keeper.edge
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(rand.N(edge.dutySpread())):
	}
	edge.mutex.Lock()
	free := edge.duty.Revision() == 0
	edge.mutex.Unlock()
	if !free {
		return nil
	}
	if keeper.duty.isDue() {
		if _, err := keeper.duty.hold(ctx, edge.port.Directory(), edge.limits().Millis(ebonywood.LimitDutyTTL)); err != nil {
			return err
		}
	}
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	revision, err := edge.port.Directory().Create(limited, dutyKey, edge.claim(), keeper.duty.id)
	if err == nil {
		edge.takeDuty(ctx, ebonywood.NewItem(dutyKey, edge.claim(), revision), revision)
		return nil
	}
	if ebonywood.FaultOf(err).Kind() == ebonywood.KindConflict {
		// The key may be this process's own, of which the mirror has not told yet.
		return nil
	}
	return edge.afterLeaseFault(&keeper.duty, err)
}

// giveUpDuty ends the lease of a duty that another proxy has.
func (keeper *keeper) giveUpDuty() error {
	err := keeper.duty.end(keeper.edge.port.Directory())
	keeper.duty = lease{}
	return err
}

// dutySpread is the greatest random pause before a free duty is taken, in which most
// proxies see that another one has it.
func (edge *Edge) dutySpread() time.Duration {
	return max(dutySpread, min(dutySpreadLimit, time.Duration(edge.port.Snapshot().ReportCount())*dutySpreadPerProxy))
}

// renewToken writes the duty's key again, which gives it a greater revision.
func (keeper *keeper) renewToken(ctx context.Context) error {
	edge := keeper.edge
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	edge.mutex.Lock()
	edge.renew = false
	revision := edge.duty.Revision()
	edge.mutex.Unlock()
	renewed, err := edge.port.Directory().Replace(limited, dutyKey, edge.claim(), keeper.duty.id, revision)
	if err == nil {
		edge.takeDuty(ctx, ebonywood.NewItem(dutyKey, edge.claim(), renewed), renewed)
	}
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindConflict {
		return nil
	}
	return edge.afterLeaseFault(&keeper.duty, err)
}

// giveBack ends the leases, so that nobody has to wait for them to lapse.
func (keeper *keeper) giveBack() {
	for _, each := range []*lease{&keeper.duty, &keeper.own} {
		if err := each.end(keeper.edge.port.Directory()); err != nil {
			keeper.edge.port.Log().Info("lease not given back", "why", err.Error())
		}
	}
}

func (edge *Edge) claim() []byte {
	return encode(dutyValue{Holder: edge.port.Settings().Name(), Nonce: edge.nonce})
}

// encode writes a value that JSON can hold in any case.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
