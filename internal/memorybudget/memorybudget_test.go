package memorybudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWorkIsNotBlockedByIntake guards against a deadlock: messages that were read whole
// must get memory although half messages take all that is meant for them.
func TestWorkIsNotBlockedByIntake(t *testing.T) {
	budget := New(100)
	half, whole := budget.NewAccount(nil), budget.NewAccount(nil)
	require.True(t, half.Draw(40, Intake))
	require.False(t, half.Draw(1, Intake))
	require.True(t, whole.Draw(40, Work))
	require.False(t, whole.Draw(1, Work))
	require.True(t, half.Draw(20, Kept))
	require.False(t, half.Draw(1, Kept))
	require.False(t, budget.IsExceeded())
	whole.Charge(1)
	require.True(t, budget.IsExceeded())
}

// TestHeaviestHoldsMostAndMovesLeast guards against closing those whose message is run, or
// the same one twice.
func TestHeaviestHoldsMostAndMovesLeast(t *testing.T) {
	budget := New(2500)
	account := func(bytes, since int64) *Account {
		account := budget.NewAccount(nil)
		account.Charge(bytes)
		account.Wait(since)
		return account
	}
	running := account(500, 1)
	running.Run()
	slow, recent := account(100, 1), account(200, 900)
	require.Same(t, slow, budget.Heaviest(1000, Work))
	require.Same(t, recent, budget.Heaviest(1000, Work))
	require.Nil(t, budget.Heaviest(1000, Work))
	running.Charge(500)
	require.False(t, budget.IsExceeded(), "300 of the 1300 bytes are leaving")
	require.True(t, budget.IsShort(1, Work))
	running.Charge(100)
	require.True(t, budget.IsExceeded())
	slow.Close()
	recent.Close()
	running.Close()
	require.Zero(t, budget.Held())
	require.Equal(t, [numPurposes]int64{}, budget.leaving)
	require.Empty(t, budget.accounts)
}

// TestReturnWakesWaiters guards against waiting for memory that is there.
func TestReturnWakesWaiters(t *testing.T) {
	budget := New(100)
	account := budget.NewAccount(nil)
	require.True(t, account.Draw(5, Intake))
	room := budget.Room()
	account.Return(5, Intake)
	<-room
}

// TestSumOfAccounts guards the bound by construction: whatever is drawn and returned in
// whatever order, the budget holds the sum of its accounts, and draws never exceed it.
func TestSumOfAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(1000)
		accounts := make([]*Account, 5)
		for i := range accounts {
			accounts[i] = budget.NewAccount(nil)
		}
		for now := int64(1); now < 50; now++ {
			account := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			purpose := Purpose(rapid.IntRange(0, int(numPurposes)-1).Draw(t, "purpose"))
			bytes := rapid.Int64Range(0, 400).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				account.Draw(bytes, purpose)
			case 1:
				account.Return(min(bytes, account.Held(purpose)), purpose)
			case 2:
				account.Wait(now)
			case 3:
				if heaviest := budget.Heaviest(now, purpose); heaviest != nil {
					heaviest.evict = func() bool { return now%2 == 0 }
					heaviest.Evict()
				}
			}
			sum := int64(0)
			for _, account := range accounts {
				sum += account.total()
				require.Equal(t, account.total() > 0, account.registered)
			}
			require.Equal(t, sum, budget.Held())
			require.LessOrEqual(t, sum, budget.Limit())
			require.False(t, budget.IsExceeded())
		}
		for _, account := range accounts {
			account.Close()
		}
		require.Zero(t, budget.Held())
		require.Equal(t, [numPurposes]int64{}, budget.leaving)
		require.Empty(t, budget.accounts)
	})
}

// TestReturnedBytesAreCollected guards against counting memory as free that the garbage
// collector has not freed: with one processor, clients that come and go outran it.
func TestReturnedBytesAreCollected(t *testing.T) {
	budget := New(100)
	account := budget.NewAccount(nil)
	for range 3 {
		require.True(t, account.Draw(40, Intake))
		account.Return(40, Intake)
	}
	require.False(t, account.Draw(1, Intake))
	require.True(t, account.Draw(1, Kept), "what sessions keep does not wait")
	require.False(t, budget.IsShort(1, Intake), "there is nobody to close")
	room := budget.Room()
	require.True(t, budget.ClaimCollection())
	require.False(t, budget.ClaimCollection(), "one collection at a time")
	budget.Collected()
	<-room
	require.True(t, account.Draw(1, Intake))
	require.False(t, budget.ClaimCollection())
}
