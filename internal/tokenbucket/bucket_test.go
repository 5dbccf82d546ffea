package tokenbucket

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

const life ebonywood.Millis = 4000

// request returns a request of a proxy for tokens of the workspace w.
func request(proxy string, sequence uint64, held, wanted, urgent int) ebonywood.TokenRequest {
	need := ebonywood.NewTokenNeed("w", held, wanted).WithUrgent(urgent)
	return ebonywood.NewTokenRequest(proxy, 0, "n", []ebonywood.TokenNeed{need}).WithSequence("r", sequence)
}

func setOf(rate, burst float64) *ebonywood.ObjectSet {
	workspace := ebonywood.NewWorkspace("w", nil, nil, 0).WithRate(rate, burst)
	return ebonywood.NewObjectSet(1, "", nil, nil, nil).WithWorkspaces([]*ebonywood.Workspace{workspace})
}

// TestPartsAddUpToTheBound guards against limits of allocators that together exceed the bound on
// a window.
func TestPartsAddUpToTheBound(t *testing.T) {
	bounds := ebonywood.NewRateBounds(5000, 0.1, 20)
	for _, rate := range []float64{0.5, 5, 300} {
		for _, burst := range []float64{0, 5, 600} {
			limit := newAllowance(rate, burst, bounds, 4)
			require.LessOrEqual(t, 4*(limit.bucket+limit.dealt+limit.rate*5), bounds.Max(rate, burst))
			require.GreaterOrEqual(t, limit.bucket, 1.0, "a bucket has to hold a whole token")
			require.GreaterOrEqual(t, limit.dealt, 1.0, "a whole token must be dealt")
		}
	}
}

// TestUnspentTokensAreBounded guards against an allocator that deals on while proxies hold what
// they got, and against one that never deals again after tokens have expired.
func TestUnspentTokensAreBounded(t *testing.T) {
	bounds := ebonywood.NewRateBounds(5000, 0.1, 20)
	limit := newAllowance(100, 50, bounds, 4)
	allocator := New(bounds, 4, life, 0)
	dealt, sequence := 0, uint64(0)
	for now := ebonywood.Millis(10_000); now < 13_900; now += 20 {
		sequence++
		dealt += allocator.Allocate(now, setOf(100, 50), request("p", sequence, dealt, 50, 0)).Grants()[0].Tokens()
	}
	require.Equal(t, int(limit.dealt), dealt)
	grant := allocator.Allocate(18_000, setOf(100, 50), request("p", sequence+1, 0, 50, 0)).Grants()[0]
	require.Positive(t, grant.Tokens())
}

// TestNewAllocatorLeavesRoomForItsPredecessor guards against a new allocator that fills its whole
// total while the tokens that its predecessor dealt may still be spent. Only a window that begins
// in just that moment shows it.
func TestNewAllocatorLeavesRoomForItsPredecessor(t *testing.T) {
	const startedAt ebonywood.Millis = 10_000
	limit := newAllowance(100, 50, ebonywood.NewRateBounds(5000, 0.1, 20), 4)
	bucket := newBucket(limit, startedAt, life)
	dealt := 0
	for now := startedAt; now < startedAt+life; now += 50 {
		tokens, _ := bucket.deal(now, "p", dealt, 100, 0)
		dealt += tokens
		require.LessOrEqual(t, bucket.tokens+float64(bucket.outstanding), limit.bucket)
	}
	require.Equal(t, int(limit.bucket), dealt, "what it creates meanwhile is dealt")
	empty := newBucket(limit, startedAt, life)
	tokens, _ := empty.deal(startedAt, "p", 0, 100, 0)
	require.Zero(t, tokens, "a new bucket is empty")
}

// TestLoweredLimitBindsAtOnce guards against tokens of a former limit that are dealt after an
// allocator has learned of a lower one.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	bounds := ebonywood.NewRateBounds(5000, 0.1, 20)
	allocator := New(bounds, 4, life, 0)
	allocator.Allocate(10_000, setOf(1000, 1000), request("p", 1, 0, 1, 0))
	dealt, low := 0, newAllowance(10, 5, bounds, 4)
	for i := range uint64(250) {
		dealt += allocator.Allocate(10_000+ebonywood.Millis(i*20), setOf(10, 5), request("p", 2+i, 0, 50, 0)).Grants()[0].Tokens()
	}
	require.LessOrEqual(t, float64(dealt), low.bucket+low.dealt+5*low.rate)
}

// TestOvertakenRequestIsRefused guards against a late request that makes the allocator forget
// tokens which a later request was dealt.
func TestOvertakenRequestIsRefused(t *testing.T) {
	allocator := New(ebonywood.NewRateBounds(5000, 0.1, 20), 4, life, 0)
	require.Empty(t, allocator.Allocate(10_000, setOf(100, 50), request("p", 2, 0, 5, 0)).Refusal())
	require.NotEmpty(t, allocator.Allocate(10_001, setOf(100, 50), request("p", 1, 0, 5, 0)).Refusal())
	require.Empty(t, allocator.Allocate(10_001, setOf(100, 50), request("q", 1, 0, 5, 0)).Refusal(), "another proxy")
}

// TestUnlimitedWorkspacesGetNoTokens guards against tokens for a workspace that this process's
// configuration lacks or does not limit.
func TestUnlimitedWorkspacesGetNoTokens(t *testing.T) {
	allocator := New(ebonywood.NewRateBounds(5000, 0.1, 20), 4, life, 0)
	for i, set := range []*ebonywood.ObjectSet{setOf(0, 5), ebonywood.NewObjectSet(1, "", nil, nil, nil)} {
		reply := allocator.Allocate(10_000, set, request("p", uint64(i+1), 0, 5, 0))
		require.Len(t, reply.Grants(), 1)
		require.Zero(t, reply.Grants()[0].Tokens())
	}
}

// TestUrgentTokensAreSoonForgotten guards against a workspace with many proxies that have few
// callers each, in which tokens that were spent at once and not reported stop the dealing.
func TestUrgentTokensAreSoonForgotten(t *testing.T) {
	bounds := ebonywood.NewRateBounds(5000, 0.1, 20)
	allocator := New(bounds, 4, life, 0)
	for i := range 60 {
		name := string(rune('A' + i))
		grant := allocator.Allocate(10_000+ebonywood.Millis(i*300), setOf(20, 10), request(name, 1, 0, 1, 1)).Grants()[0]
		require.Positive(t, grant.Tokens(), "request %d", i)
	}
}

// TestSpareTokensLeaveEnoughForOthers guards against a workspace far below its limit whose
// operations all wait, and against spare tokens that use up what other proxies need.
func TestSpareTokensLeaveEnoughForOthers(t *testing.T) {
	bounds := ebonywood.NewRateBounds(5000, 0.1, 20)
	allocator, limit := New(bounds, 4, life, 0), newAllowance(100, 50, bounds, 4)
	first := allocator.Allocate(10_000, setOf(100, 50), request("first", 1, 0, 1, 1)).Grants()[0]
	require.Equal(t, 1+maxSpare, first.Tokens())
	for i := range 40 {
		allocator.Allocate(10_000, setOf(100, 50), request(string(rune('A'+i)), 1, 0, 1, 1))
		bucket := allocator.buckets["w"]
		if spare := bucket.outstanding - i - 2; spare > 0 {
			require.LessOrEqual(t, float64(spare), limit.dealt/2)
		}
	}
	ahead := New(bounds, 4, life, 0).Allocate(10_000, setOf(100, 50), request("p", 1, 0, 3, 1)).Grants()[0]
	require.Equal(t, 3, ahead.Tokens(), "a proxy that asks ahead gets what it asks for")
}

// FuzzDeal guards against numbers of another proxy that break the accounting.
func FuzzDeal(f *testing.F) {
	f.Add(5, 3, 1, int64(100))
	f.Fuzz(func(t *testing.T, held, wanted, urgent int, elapsed int64) {
		bounds := ebonywood.NewRateBounds(5000, 0.1, 20)
		allocator := New(bounds, 4, life, 0)
		allocator.Allocate(10_000, setOf(100, 50), request("p", 1, 0, 5, 0))
		grant := allocator.Allocate(10_000+ebonywood.Millis(elapsed), setOf(100, 50), request("p", 2, held, wanted, urgent)).Grants()[0]
		require.GreaterOrEqual(t, grant.Tokens(), 0)
		require.GreaterOrEqual(t, allocator.buckets["w"].outstanding, 0)
		require.LessOrEqual(t, float64(allocator.buckets["w"].outstanding), allocator.buckets["w"].limit.dealt)
	})
}
