package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/ebonywood/ebonywood"
)

// keep holds the lease, the own key and, if it is free, the duty.
func (edge *Edge) keep(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var renewed time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-edge.wake:
		case <-timer.C:
		}
		began := time.Now()
		called, err := edge.maintain(ctx, &renewed)
		if ctx.Err() != nil {
			return nil
		}
		if called {
			edge.settled(began, err)
		}
		pause := renewPeriod - time.Since(renewed)
		if err != nil {
			pause = 2 * retryPause
		}
		timer.Reset(max(pause, 0))
	}
}

// maintain does what is due, and reports whether that took a call.
func (edge *Edge) maintain(ctx context.Context, renewed *time.Time) (called bool, err error) {
	called, err = edge.holdLease(ctx, renewed)
	if err != nil {
		return called, err
	}
	edge.mutex.Lock()
	written, renew, held, free := edge.written, edge.renew, edge.held, edge.duty.Revision() == 0
	edge.mutex.Unlock()
	if !written {
		if err := edge.writeOwnKey(ctx); err != nil {
			return true, err
		}
	}
	switch {
	case free:
		return true, edge.takeFreeDuty(ctx)
	case held && renew:
		return true, edge.renewToken(ctx)
	default:
		return called || !written, nil
	}
}

// holdLease renews the lease when it is due, or makes a new one.
func (edge *Edge) holdLease(ctx context.Context, renewed *time.Time) (called bool, err error) {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	directory := edge.port.Directory()
	edge.mutex.Lock()
	lease := edge.lease
	edge.mutex.Unlock()
	if lease != 0 && time.Since(*renewed) < renewPeriod {
		return false, nil
	}
	if lease != 0 {
		err = directory.Renew(limited, lease)
		if err == nil {
			*renewed = time.Now()
			return true, nil
		}
		if ebonywood.FaultOf(err).Kind() != ebonywood.KindStale {
			return true, err
		}
		edge.port.Log().Info("lease lost", "lease", int64(lease))
	}
	lease, err = directory.Grant(limited, leaseTTL)
	if err != nil {
		return true, err
	}
	*renewed = time.Now()
	edge.mutex.Lock()
	edge.lease, edge.written = lease, false
	edge.mutex.Unlock()
	return true, nil
}

func (edge *Edge) writeOwnKey(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	edge.mutex.Lock()
	settings := edge.port.Settings()
	value := nodeValue{Name: settings.Name(), Zone: settings.Zone(), Address: settings.PeerAddress(), Leaving: edge.leaving}
	for _, each := range edge.suspects {
		value.Suspects = append(value.Suspects, string(each))
	}
	lease := edge.lease
	edge.written = true
	edge.mutex.Unlock()
	err := edge.port.Directory().Put(limited, edge.ownKey(), encode(value), lease)
	if err != nil {
		edge.mutex.Lock()
		edge.written = false
		edge.mutex.Unlock()
		return edge.afterLeaseFault(err)
	}
	return nil
}

// afterLeaseFault forgets a lease that the directory does not know any more.
func (edge *Edge) afterLeaseFault(err error) error {
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindStale {
		edge.mutex.Lock()
		edge.lease = 0
		edge.mutex.Unlock()
		edge.rouse()
	}
	return err
}

// takeFreeDuty competes for the duty. A success counts at once, since the directory
// may be gone before the mirror tells of it; otherwise the mirror tells who won.
func (edge *Edge) takeFreeDuty(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(rand.N(dutySpread)):
	}
	edge.mutex.Lock()
	free, lease := edge.duty.Revision() == 0, edge.lease
	edge.mutex.Unlock()
	if !free {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	revision, err := edge.port.Directory().Create(limited, dutyKey, edge.claim(), lease)
	if err == nil {
		edge.takeDuty(ctx, ebonywood.NewItem(dutyKey, edge.claim(), revision))
	}
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindConflict {
		return nil
	}
	return edge.afterLeaseFault(err)
}

// renewToken writes the duty's key again, which gives it a greater revision.
func (edge *Edge) renewToken(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	edge.mutex.Lock()
	edge.renew = false
	revision, lease := edge.duty.Revision(), edge.lease
	edge.mutex.Unlock()
	renewed, err := edge.port.Directory().Replace(limited, dutyKey, edge.claim(), lease, revision)
	if err == nil {
		edge.takeDuty(ctx, ebonywood.NewItem(dutyKey, edge.claim(), renewed))
	}
	if err != nil && ebonywood.FaultOf(err).Kind() == ebonywood.KindConflict {
		return nil
	}
	return edge.afterLeaseFault(err)
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

// giveBack ends the lease, which frees the duty at once.
func (edge *Edge) giveBack() {
	edge.mutex.Lock()
	lease := edge.lease
	edge.mutex.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endLimit)
	defer cancel()
	if err := edge.port.Directory().End(ctx, lease); err != nil {
		edge.port.Log().Info("lease not given back", "why", err.Error())
	}
}
