package directory

import (
	"context"
	"time"

	"github.com/ebonywood/ebonywood"
)

// renewalsPerTTL is how often a lease is renewed in its time to live.
const renewalsPerTTL = 3

// lease is one lease of this process. The zero value holds none. It belongs to the
// keeper's goroutine.
type lease struct {
	id      ebonywood.LeaseID
	ttl     ebonywood.Millis
	renewed time.Time
}

// period is the time between two renewals.
func (lease *lease) period() time.Duration { return lease.ttl.Duration() / renewalsPerTTL }

// isDue reports whether the lease has to be made or renewed.
func (lease *lease) isDue() bool { return lease.id == 0 || time.Since(lease.renewed) >= lease.period() }

// hold makes the lease, or renews it. made says that it is a new one, to which no
// key belongs yet.
func (lease *lease) hold(ctx context.Context, store ebonywood.LeaseStore, ttl ebonywood.Millis) (made bool, err error) {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if lease.id != 0 {
		err = store.Renew(limited, lease.id)
		if err == nil {
			lease.renewed = time.Now()
			return false, nil
		}
		if ebonywood.FaultOf(err).Kind() != ebonywood.KindStale {
			return false, err
		}
		lease.id = 0
	}
	granted, err := store.Grant(limited, ttl)
	if err != nil {
		return false, err
	}
	lease.id, lease.ttl, lease.renewed = granted, ttl, time.Now()
	return true, nil
}

// end gives the lease back.
func (lease *lease) end(store ebonywood.LeaseStore) error {
	if lease.id == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endLimit)
	defer cancel()
	return store.Revoke(ctx, lease.id)
}
