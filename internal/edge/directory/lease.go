package directory

import (
	"context"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// reportRenewals and dutyRenewals are the numbers of renewals in the time to live of the
	// lease of a report and of the duty.
	reportRenewals = 2
	dutyRenewals   = 3
	// renewTimeout bounds a renewal. It is short, so that another one can succeed before
	// the lease ends.
	renewTimeout = 500 * time.Millisecond
)

// lease is a lease of this process in the directory. The zero value has not been
// granted. Only the keeper's goroutine may use it.
type lease struct {
	id        ebonywood.LeaseID
	ttl       ebonywood.Millis
	renewedAt time.Time
	// renewals is the number of renewals in the time to live.
	renewals int
}

// renewalInterval returns the time between two renewals.
func (lease *lease) renewalInterval() time.Duration {
	return lease.ttl.Duration() / time.Duration(max(1, lease.renewals))
}

// isDue reports whether the lease has to be granted or renewed.
func (lease *lease) isDue() bool {
	return lease.id.IsZero() || time.Since(lease.renewedAt) >= lease.renewalInterval()
}

// renewOrGrant renews the lease, or requests a new one if it has ended or was never
// granted. created reports a new lease, to which no key is attached yet.
func (lease *lease) renewOrGrant(ctx context.Context, store ebonywood.LeaseStore, ttl ebonywood.Millis) (created bool, err error) {
	if !lease.id.IsZero() {
		err = lease.renew(ctx, store)
		if err == nil || ebonywood.FaultOf(err).Kind() != ebonywood.KindStale {
			return false, err
		}
		lease.id = ebonywood.LeaseID{}
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, err := store.Grant(callCtx, ttl)
	if err != nil {
		return false, err
	}
	lease.id, lease.ttl, lease.renewedAt = granted, ttl, time.Now()
	return true, nil
}

// renew extends the lease by its time to live. A fault of KindStale means that it has
// ended.
func (lease *lease) renew(ctx context.Context, store ebonywood.LeaseStore) error {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := store.Renew(callCtx, lease.id)
	if err == nil {
		lease.renewedAt = time.Now()
	}
	return err
}

// revoke revokes the lease if it was granted.
func (lease *lease) revoke(store ebonywood.LeaseStore) error {
	if lease.id.IsZero() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	return store.Revoke(ctx, lease.id)
}
