// Package memorybudget counts the bytes that the clients of a process make it hold, and
// chooses whom to close when they are too many. It is pure accounting: it reads no clock
// and closes nothing itself.
package memorybudget

import (
	"sync"
	"sync/atomic"
)

// connectionShare is the largest share of a budget that one account may hold.
const connectionShare = 0.25

// Purpose is what an account holds bytes for. Each purpose has a part of the budget of its
// own, so that a crowd of half messages can't keep those waiting that were read whole and
// free their memory once they have run.
type Purpose uint8

// The purposes.
const (
	// Intake is a message that is being read.
	Intake Purpose = iota
	// Work is a message that has been read whole, and a reply not yet taken.
	Work
	// Kept is what a session keeps between two messages.
	Kept
	numPurposes
)

// shares are the parts of a budget by purpose; their sum is 1.
var shares = [numPurposes]float64{Intake: 0.4, Work: 0.4, Kept: 0.2}

// Budget counts the bytes of all accounts. It is safe for concurrent use.
type Budget struct {
	limit  int64
	limits [numPurposes]int64
	held   [numPurposes]atomic.Int64
	// uncollected counts the bytes that were returned for Intake and Work, and that the garbage
	// collector may not have freed; claimed is the part that the present collection frees.
	uncollected atomic.Int64
	claimed     atomic.Int64

	mutex sync.Mutex
	// accounts holds the accounts with bytes.
	accounts map[*Account]struct{}
	// leaving counts the bytes of the accounts that Heaviest has chosen.
	leaving [numPurposes]int64
	// room is closed when bytes are returned; nil while nobody waits.
	room chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	budget := &Budget{limit: limit, accounts: map[*Account]struct{}{}}
	for purpose, share := range shares {
		budget.limits[purpose] = int64(share * float64(limit))
	}
	return budget
}

// Limit returns the size of the budget in bytes.
func (budget *Budget) Limit() int64 { return budget.limit }

// Held returns the number of bytes that all accounts hold.
func (budget *Budget) Held() int64 {
	sum := int64(0)
	for purpose := range budget.held {
		sum += budget.held[purpose].Load()
	}
	return sum
}

// IsExceeded reports whether more is held for Work than its part of the budget, without what
// the accounts that Heaviest has chosen are about to return.
func (budget *Budget) IsExceeded() bool {
	return budget.held[Work].Load() > budget.limits[Work] && budget.IsShort(0, Work)
}

// IsShort reports whether a draw will not succeed, even once the accounts that Heaviest has
// chosen have returned what they hold. Without this, each of many waiting draws would choose
// an account although one is enough for all.
func (budget *Budget) IsShort(bytes int64, purpose Purpose) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held[purpose].Load()-budget.leaving[purpose]+bytes > budget.limits[purpose]
}

// ClaimCollection reports whether the caller has to run the garbage collector, and call
// Collected afterwards, before draws can succeed: returned bytes as large as the budget may
// not be free yet. Only one caller gets this order at a time.
func (budget *Budget) ClaimCollection() bool {
	uncollected := budget.uncollected.Load()
	return uncollected > budget.limit && budget.claimed.CompareAndSwap(0, uncollected)
}

// Collected records that the garbage collector has run since ClaimCollection.
func (budget *Budget) Collected() {
	budget.uncollected.Add(-budget.claimed.Swap(0))
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.wake()
}

// Room returns a channel that is closed when bytes are returned next.
func (budget *Budget) Room() <-chan struct{} {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.room == nil {
		budget.room = make(chan struct{})
	}
	return budget.room
}

// Heaviest returns the account that holds most for a purpose and moves least: with the
// greatest product of its bytes and the time for which it has waited for its client. Accounts
// that wait for nothing, whose message is being run, are not chosen, and none is chosen
// twice. It returns nil if there is none.
func (budget *Budget) Heaviest(now int64, purpose Purpose) *Account {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	var heaviest *Account
	greatest := float64(0)
	for account := range budget.accounts {
		since := account.waitingSince.Load()
		if since == 0 || account.chosen {
			continue
		}
		// One unit of time is added, so that an account that has only just begun to wait
		// counts by its bytes.
		if weight := float64(account.held[purpose].Load()) * float64(now-since+1); weight > greatest {
			heaviest, greatest = account, weight
		}
	}
	if heaviest != nil {
		heaviest.chosen = true
		for purpose := range heaviest.leaving {
			heaviest.leaving[purpose] = heaviest.held[purpose].Load()
			budget.leaving[purpose] += heaviest.leaving[purpose]
		}
	}
	return heaviest
}

// Account is what one connection holds. Draw, Charge, Return and Close belong to one
// goroutine.
type Account struct {
	budget *Budget
	// evict closes the connection, and reports false if it no longer waits for its client.
	evict func() bool
	held  [numPurposes]atomic.Int64
	// waitingSince is when the account began to wait for its client; 0 if it does not.
	waitingSince atomic.Int64
	// registered reports that the budget's accounts contain this one.
	registered bool
	// chosen is set by Heaviest, leaving is what the budget counts as leaving of this
	// account. The budget's mutex guards both.
	chosen  bool
	leaving [numPurposes]int64
}

// NewAccount returns an account that holds nothing.
func (budget *Budget) NewAccount(evict func() bool) *Account {
	return &Account{budget: budget, evict: evict}
}

// Held returns the number of bytes that the account holds for a purpose.
func (account *Account) Held(purpose Purpose) int64 { return account.held[purpose].Load() }

func (account *Account) total() int64 {
	sum := int64(0)
	for purpose := range account.held {
		sum += account.held[purpose].Load()
	}
	return sum
}

// MaxHeld returns the number of bytes that one account may hold.
func (budget *Budget) MaxHeld() int64 { return int64(connectionShare * float64(budget.limit)) }

// Evict asks for the connection that Heaviest has chosen to be closed, and reports whether it
// will be.
func (account *Account) Evict() bool {
	if account.evict() {
		return true
	}
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	account.chosen = false
	for purpose, bytes := range account.leaving {
		budget.leaving[purpose] -= bytes
	}
	account.leaving = [numPurposes]int64{}
	return false
}

// Draw adds bytes and reports whether the budget allows that. Otherwise it changes
// nothing.
func (account *Account) Draw(bytes int64, purpose Purpose) bool {
	budget := account.budget
	if purpose != Kept && budget.uncollected.Load() > budget.limit {
		return false
	}
	if budget.held[purpose].Add(bytes) > budget.limits[purpose] {
		budget.held[purpose].Add(-bytes)
		return false
	}
	account.add(bytes, purpose)
	return true
}

// Charge adds bytes for Work that are held already, such as a reply that was received. The
// budget may be exceeded afterwards.
func (account *Account) Charge(bytes int64) {
	account.budget.held[Work].Add(bytes)
	account.add(bytes, Work)
}

// add adds bytes to the account, and registers it with its first ones.
func (account *Account) add(bytes int64, purpose Purpose) {
	account.held[purpose].Add(bytes)
	if account.registered || bytes == 0 {
		return
	}
	account.registered = true
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.budget.accounts[account] = struct{}{}
}

// Return gives bytes back.
func (account *Account) Return(bytes int64, purpose Purpose) {
	if bytes == 0 {
		return
	}
	budget := account.budget
	budget.held[purpose].Add(-bytes)
	account.held[purpose].Add(-bytes)
	if purpose != Kept {
		budget.uncollected.Add(bytes)
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	left := max(0, account.leaving[purpose]-bytes)
	budget.leaving[purpose] -= account.leaving[purpose] - left
	account.leaving[purpose] = left
	if account.total() == 0 {
		account.registered = false
		delete(budget.accounts, account)
	}
	budget.wake()
}

// wake wakes those that wait for room; the mutex is held.
func (budget *Budget) wake() {
	if budget.room != nil {
		close(budget.room)
		budget.room = nil
	}
}

// Wait records that the account waits for its client since a time, which must not be 0.
func (account *Account) Wait(since int64) { account.waitingSince.Store(since) }

// Run records that the account does not wait for its client.
func (account *Account) Run() { account.waitingSince.Store(0) }

// Close gives back all bytes.
func (account *Account) Close() {
	for purpose := range numPurposes {
		account.Return(account.Held(purpose), purpose)
	}
}
