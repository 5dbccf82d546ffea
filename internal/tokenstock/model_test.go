package tokenstock_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/tokenbucket"
	"github.com/ebonywood/ebonywood/internal/tokenstock"
)

// This file plays random interleavings of allocators that gain and lose their keys, proxies
// that ask, spend, return and restart, and messages that are late or lost. It guards against
// any sequence in which the operations of a window exceed what the design allows.

const (
	modelProxies                  = 3
	modelLife    ebonywood.Millis = 4000
	modelTTL     ebonywood.Millis = 6000
	modelMargin  ebonywood.Millis = 200
	modelWindow  ebonywood.Millis = 5000
	modelRate                     = 10
	modelBurst                    = 12
	modelOverage                  = 0.1
	modelSlack                    = 10
	// modelExcess is 0.8 * ((rate * window + burst) * overage + slack), rounded down.
	modelExcess = 12
)

// mutation removes one mechanism from the model.
type mutation string

const (
	unchanged            mutation = ""
	noLeaseCheck         mutation = "an allocator deals after its lease may have ended"
	noPredecessor        mutation = "a new allocator starts with a full bucket and counts no predecessor"
	noSettling           mutation = "a key is taken over before its holder has settled"
	noSequence           mutation = "a request that was overtaken is answered"
	lateReplies          mutation = "the reply to an abandoned request is used"
	noTokenLife          mutation = "a proxy's tokens do not expire"
	lifeFromReply        mutation = "a token's life begins when the reply arrives"
	returnsReportedSpent mutation = "a token that was reported as spent is returned"
	concurrentRequests   mutation = "a proxy sends a request before the one before it has ended"
	noUrgentLife         mutation = "urgent tokens live as long as others"
	noHeldReport         mutation = "requests do not say what the proxy holds"
	noClaimDelay         mutation = "a key is claimed soon after the store was restored from a backup"
)

// mutations has for each mutation the seed of a walk that misses it, which is tried first.
var mutations = map[mutation]uint64{
	noLeaseCheck: 7, noPredecessor: 5655, noSettling: 29, noSequence: 2780, lateReplies: 909, noTokenLife: 0, lifeFromReply: 1330,
	noClaimDelay: 0, returnsReportedSpent: 387, noUrgentLife: 14, concurrentRequests: 180, noHeldReport: 0,
}

// model is a fleet with one workspace.
type model struct {
	choose   func(int) int
	mutation mutation
	// restores is set if the store is restored from backups.
	restores bool
	now      ebonywood.Millis
	set      *ebonywood.ObjectSet
	bounds   ebonywood.RateBounds
	// count is the number of allocators. A holder that is cut off renews no lease.
	count  int
	keys   []modelKey
	cutOff []bool
	// rush makes all proxies spend what they hold.
	rush bool
	// holders are all processes that hold a key or believe it.
	holders []*holder
	proxies []*proxy
	claims  int
	runs    int
	spends  []ebonywood.Millis
	trace   []string
	tracing bool
	// excess describes the first time at which the proxies held too many tokens.
	excess string
}

// modelKey is a key in the store.
type modelKey struct {
	holder    *holder
	expiresAt ebonywood.Millis
}

// holder is a process that got the key of an allocator.
type holder struct {
	listed       ebonywood.Allocator
	allocator    *tokenbucket.Allocator
	startedAt    ebonywood.Millis
	certainUntil ebonywood.Millis
	// skew is added to the model's time on the clock of the process.
	skew ebonywood.Millis
}

// proxy is a process that spends tokens.
type proxy struct {
	name     string
	run      string
	stock    *tokenstock.Stock
	skew     ebonywood.Millis
	sequence uint64
	messages []*message
	// spends are the indexes of the model's spends that may still be returned, settled those of
	// operations that have ended.
	spends, settled []int
	// Until pausedUntil the process does not run.
	pausedUntil ebonywood.Millis
}

// message is a request and, once it was answered, its reply.
type message struct {
	to        *holder
	request   ebonywood.TokenRequest
	sentAt    ebonywood.Millis
	tokens    int
	answered  bool
	abandoned bool
}

func newModel(count int, choose func(int) int, mutation mutation) *model {
	workspace := ebonywood.NewWorkspace("w", nil, nil, 0).WithRate(modelRate, modelBurst)
	model := &model{
		choose: choose, mutation: mutation, now: 100_000,
		set:    ebonywood.NewObjectSet(1, "", nil, nil, nil).WithWorkspaces([]*ebonywood.Workspace{workspace}),
		bounds: ebonywood.NewRateBounds(modelWindow, modelOverage, modelSlack),
		count:  count, keys: make([]modelKey, count), cutOff: make([]bool, count),
	}
	for i := range modelProxies {
		model.proxies = append(model.proxies, model.newProxy(fmt.Sprintf("p%d", i), ebonywood.Millis(i*7919)))
	}
	return model
}

func (model *model) newProxy(name string, skew ebonywood.Millis) *proxy {
	model.runs++
	return &proxy{name: name, run: fmt.Sprint(model.runs), stock: tokenstock.New(), skew: skew}
}

// log adds an action to the trace if the model keeps one.
func (model *model) log(format string, args ...any) {
	if !model.tracing {
		return
	}
	model.trace = append(model.trace, fmt.Sprintf("%6d ", model.now)+fmt.Sprintf(format, args...))
}

// step performs one random action.
func (model *model) step() {
	proxy := model.proxies[model.choose(modelProxies)]
	number := model.choose(model.count)
	switch action := model.choose(24); {
	case action < 6:
		model.pass(ebonywood.Millis(1 + model.choose(60)))
	case action < 7:
		model.pass(ebonywood.Millis(1 + model.choose(2500)))
	case action < 12:
		for _, proxy := range append(model.proxies, model.proxies...) {
			model.ask(proxy, number)
			model.answer(proxy)
			model.receive(proxy)
			if model.choose(8) == 0 {
				model.abandon(proxy)
			}
		}
	case action < 14:
		model.ask(proxy, number)
	case action < 15:
		model.answer(proxy)
	case action < 16:
		model.receive(proxy)
	case action < 17:
		model.abandon(proxy)
	case action < 18:
		model.rush = model.choose(3) == 0
	case action < 19:
		model.giveBack(proxy)
	case action < 20:
		proxy.pausedUntil = model.now + ebonywood.Millis(model.choose(4000))
	case model.choose(8) > 0:
		// The rest is rare, so that allocators mostly deal.
	case action < 21:
		model.cutOff[number] = model.choose(3) == 0
	case action < 22:
		model.release(number)
	case action < 23:
		model.restart(number)
	default:
		model.restartProxy(proxy)
	}
	if model.restores && model.choose(40) == 0 {
		model.restoreStore()
	}
	if model.rush {
		for _, proxy := range model.proxies {
			model.spend(proxy)
		}
	}
	model.checkHeld()
}

// checkHeld records that the proxies hold more than the total that the bound on windows
// relies on: burst and excess.
func (model *model) checkHeld() {
	held := 0
	for _, proxy := range model.proxies {
		held += proxy.stock.Held(model.now + proxy.skew)
	}
	if most := modelBurst + modelExcess; held > most && model.excess == "" {
		model.excess = fmt.Sprintf("%d tokens are held, at most %d:\n%s", held, most, strings.Join(model.trace, "\n"))
	}
}

// pass lets time pass. Leases are renewed, keys without a holder get one.
func (model *model) pass(time ebonywood.Millis) {
	model.now += time
	for number := range model.count {
		if !model.cutOff[number] {
			model.renew(number)
		}
		model.takeOver(number)
	}
}

// renew renews the lease of a key that still holds. A holder that is cut off does not.
func (model *model) renew(number int) {
	key := &model.keys[number]
	if model.restores && key.holder != nil && model.now >= key.holder.certainUntil {
		// The store may have lost the key, which only a holder that is certain of it writes again.
		return
	}
	if key.holder != nil && model.now < key.expiresAt {
		key.expiresAt = model.now + modelTTL
		key.holder.certainUntil = model.now + modelTTL - modelMargin
	}
}

// takeOver gives a key that has no holder any more to a new process. The former holder may
// still run.
func (model *model) takeOver(number int) {
	key := &model.keys[number]
	if key.holder != nil && model.now < key.expiresAt {
		return
	}
	model.claims++
	skew := ebonywood.Millis(model.choose(3) * 31337)
	startedAt := model.now
	if model.mutation == noPredecessor {
		startedAt -= modelLife
	}
	next := &holder{
		listed:    ebonywood.NewAllocator(number, "h", "", fmt.Sprint(model.claims)),
		allocator: tokenbucket.New(model.bounds, model.count, modelLife, startedAt+skew), startedAt: model.now,
		certainUntil: model.now + modelTTL - modelMargin, skew: skew,
	}
	model.holders = append(model.holders, next)
	*key = modelKey{holder: next, expiresAt: model.now + modelTTL}
	model.log("take over %d", number)
}

// restoreStore restores the store from a backup without the keys. Holders write them again while
// their leases would last, and other processes claim none for the life of a lease. A holder that
// is cut off deals on.
func (model *model) restoreStore() {
	for number := range model.keys {
		model.keys[number].expiresAt = model.now + modelTTL
		if model.mutation == noClaimDelay {
			model.keys[number].expiresAt = model.now
		}
	}
	model.log("the store is restored")
}

func (model *model) isSettled(holder *holder) bool {
	return model.mutation == noSettling || model.now >= holder.startedAt+modelLife
}

// release ends a holder that stops. Only a settled one gives its key back.
func (model *model) release(number int) {
	key := &model.keys[number]
	if key.holder == nil {
		return
	}
	key.holder.certainUntil = min(key.holder.certainUntil, model.now)
	if model.isSettled(key.holder) {
		key.expiresAt = min(key.expiresAt, model.now)
	}
	model.log("release %d", number)
}

// restart kills a holder; its next run replaces the key at once if the holder was settled.
func (model *model) restart(number int) {
	key := &model.keys[number]
	if key.holder == nil || !model.isSettled(key.holder) {
		return
	}
	key.holder.certainUntil = min(key.holder.certainUntil, model.now)
	key.expiresAt = model.now
	model.takeOver(number)
}

// ask sends a request to the present or to an earlier holder of a key.
func (model *model) ask(proxy *proxy, number int) {
	if model.now < proxy.pausedUntil {
		return
	}
	var known []*holder
	for _, holder := range model.holders {
		if holder.listed.Number() == number {
			known = append(known, holder)
		}
	}
	if len(known) == 0 {
		return
	}
	to := known[len(known)-1-model.choose(min(2, len(known)))]
	for _, earlier := range proxy.messages {
		if earlier.to.listed.Number() == number && !earlier.abandoned && model.mutation != concurrentRequests {
			return
		}
	}
	now := model.now + proxy.skew
	held := proxy.stock.BeginRequest(now, to.listed)
	if model.mutation == noHeldReport {
		held = 0
	}
	proxy.sequence++
	need := ebonywood.NewTokenNeed("w", held, 1+model.choose(20))
	if model.choose(3) == 0 {
		need = need.WithUrgent(1 + model.choose(need.Wanted()))
	}
	request := ebonywood.NewTokenRequest(proxy.name, number, to.listed.Nonce(), []ebonywood.TokenNeed{need})
	proxy.messages = append(proxy.messages, &message{to: to, request: request.WithSequence(proxy.run, proxy.sequence), sentAt: now})
	model.log("%s asks %d, holds %d, wants %d", proxy.name, number, held, need.Wanted())
}

// answer delivers one of the proxy's requests, not necessarily the first.
func (model *model) answer(proxy *proxy) {
	index := slices.IndexFunc(proxy.messages, func(message *message) bool { return !message.answered })
	if index < 0 {
		return
	}
	message := proxy.messages[index+model.choose(len(proxy.messages)-index)]
	if message.answered {
		return
	}
	message.answered = true
	if model.now >= message.to.certainUntil && model.mutation != noLeaseCheck {
		return
	}
	request := message.request
	if model.mutation == noSequence {
		model.runs++
		request = request.WithSequence(request.Run(), uint64(1_000_000+model.runs))
	}
	reply := message.to.allocator.Allocate(model.now+message.to.skew, model.set, request)
	for _, grant := range reply.Grants() {
		message.tokens = grant.Tokens()
	}
	model.log("%d answers %s: %d %s", message.to.listed.Number(), proxy.name, message.tokens, reply.Refusal())
}

// receive delivers the reply to one of the proxy's requests.
func (model *model) receive(proxy *proxy) {
	if model.now < proxy.pausedUntil {
		return
	}
	if model.mutation != lateReplies {
		proxy.messages = slices.DeleteFunc(proxy.messages, func(message *message) bool { return message.answered && message.abandoned })
	}
	var ready []int
	for index, message := range proxy.messages {
		if message.answered && (!message.abandoned || model.mutation == lateReplies) {
			ready = append(ready, index)
		}
	}
	if len(ready) == 0 {
		return
	}
	index := ready[model.choose(len(ready))]
	message := proxy.messages[index]
	proxy.messages = slices.Delete(proxy.messages, index, index+1)
	now, sentAt, life := model.now+proxy.skew, message.sentAt, modelLife
	if model.mutation == lifeFromReply {
		sentAt = now
	}
	urgent := message.request.Needs()[0].Urgent()
	if model.mutation == noTokenLife {
		life = 1000 * modelLife
	}
	if model.mutation == noUrgentLife {
		urgent = 0
	}
	proxy.stock.Add(now, sentAt, life, 0, message.to.listed, message.tokens, urgent, 0)
	model.log("%s receives %d", proxy.name, message.tokens)
}

// abandon makes the proxy no longer wait for its oldest request, which may be delivered later.
func (model *model) abandon(proxy *proxy) {
	if model.now < proxy.pausedUntil {
		return
	}
	for _, message := range proxy.messages {
		if !message.abandoned {
			message.abandoned = true
			model.log("%s abandons a request", proxy.name)
			return
		}
	}
}

// spend runs operations as long as the proxy has tokens.
func (model *model) spend(proxy *proxy) {
	spent := 0
	for model.now >= proxy.pausedUntil && proxy.stock.Take(model.now+proxy.skew) {
		proxy.spends = append(proxy.spends, len(model.spends))
		model.spends = append(model.spends, model.now)
		if model.choose(2) == 0 {
			model.settle(proxy)
		}
		spent++
	}
	if spent > 0 {
		model.log("%s spends %d", proxy.name, spent)
	}
}

// settle ends the proxy's operations, which have reached members.
func (model *model) settle(proxy *proxy) {
	for range proxy.spends {
		proxy.stock.Spend(model.now + proxy.skew)
	}
	proxy.settled, proxy.spends = append(proxy.settled, proxy.spends...), nil
}

// returnSettled returns the token of an operation of the last second that has ended.
func (model *model) returnSettled(proxy *proxy) {
	if len(proxy.settled) == 0 {
		return
	}
	index := proxy.settled[len(proxy.settled)-1]
	proxy.settled = proxy.settled[:len(proxy.settled)-1]
	if model.now-model.spends[index] > 1000 {
		return
	}
	model.spends[index] = -modelWindow
	now := model.now + proxy.skew
	proxy.stock.Add(now, now, modelLife, 0, ebonywood.NewAllocator(0, "", "", "returned"), 1, 0, 0)
	model.log("%s returns a token that is spent", proxy.name)
}

// giveBack returns the token of an operation of the last second, which has reached no member.
func (model *model) giveBack(proxy *proxy) {
	if model.now >= proxy.pausedUntil && model.mutation == returnsReportedSpent {
		model.returnSettled(proxy)
	}
	if len(proxy.spends) == 0 || model.now < proxy.pausedUntil {
		return
	}
	index := proxy.spends[len(proxy.spends)-1]
	proxy.spends = proxy.spends[:len(proxy.spends)-1]
	if model.now-model.spends[index] > 1000 {
		return
	}
	model.spends[index] = -modelWindow
	proxy.stock.Return(model.now + proxy.skew)
	model.log("%s returns one", proxy.name)
}

// restartProxy replaces a proxy by its next run, which holds nothing. Its requests are late.
func (model *model) restartProxy(old *proxy) {
	index := slices.Index(model.proxies, old)
	model.proxies[index] = model.newProxy(old.name, old.skew+1)
	for _, message := range old.messages {
		message.abandoned = true
	}
	model.proxies[index].messages = slices.DeleteFunc(old.messages, func(message *message) bool { return message.answered })
	model.log("%s restarts", old.name)
}

// violation returns a description of a window with too many operations, or of a time at which
// the proxies held too many tokens; empty if there is none. The bound is that on spent tokens,
// without the share for the way to the member.
func (model *model) violation() string {
	seconds := float64(modelWindow) / 1000
	most := int(modelRate*seconds) + modelBurst + modelExcess
	var spends []ebonywood.Millis
	for _, at := range model.spends {
		if at >= 0 {
			spends = append(spends, at)
		}
	}
	for first := range spends {
		if last := first + most; last < len(spends) && spends[last]-spends[first] < modelWindow {
			return fmt.Sprintf("%d operations from %d to %d, at most %d:\n%s", most+1, spends[first], spends[last], most, strings.Join(model.trace, "\n"))
		}
	}
	return model.excess
}

const modelSteps = 400

// choices are the numbers from which an action is drawn. Those of rapid.IntRange are mostly
// small, so that most actions would never be drawn.
var choices = func() (numbers []int) {
	for i := range 5000 {
		numbers = append(numbers, i)
	}
	return numbers
}()

// TestNoWindowExceedsTheBound searches for a violation with rapid, which prints the shortest
// sequence that it finds.
func TestNoWindowExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 3).Draw(t, "allocators")
		model := newModel(count, func(n int) int { return rapid.SampledFrom(choices[:n]).Draw(t, "choice") }, unchanged)
		model.tracing = true
		for range modelSteps {
			model.step()
		}
		require.Empty(t, model.violation())
	})
}

// play returns the violation of a random walk with a seed. The walk keeps no trace, which
// would take most of the time.
func play(count int, seed uint64, restores bool, mutation mutation) (violation string, spends int) {
	random := rand.New(rand.NewPCG(seed, 0))
	model := newModel(count, random.IntN, mutation)
	model.restores = restores
	for range modelSteps {
		model.step()
	}
	return model.violation(), len(model.spends)
}

// walks is how many random walks are searched. A fault in the program that removes the mechanism
// of a mutation is found by the same walks.
const walks = 10_000

// TestEachMechanismIsNeeded removes one mechanism at a time. The walks have to find a window
// that exceeds the bound.
func TestEachMechanismIsNeeded(t *testing.T) {
	for mutation, first := range mutations {
		t.Run(strings.ReplaceAll(string(mutation), " ", "_"), func(t *testing.T) {
			t.Parallel()
			for i := range uint64(walks) {
				seed := (first + i) % walks
				if violation, _ := play(1, seed, mutation == noClaimDelay, mutation); violation != "" {
					t.Logf("seed %d", seed)
					return
				}
			}
			require.Fail(t, "no walk found a violation")
		})
	}
}

// TestRandomWalks plays the same walks with all mechanisms, and others with several allocators or
// with a store that is restored from backups.
func TestRandomWalks(t *testing.T) {
	for _, test := range []struct {
		allocators int
		restores   bool
	}{{1, false}, {3, false}, {1, true}, {3, true}} {
		allocators := test.allocators
		t.Run(fmt.Sprint(allocators, test.restores), func(t *testing.T) {
			t.Parallel()
			spends := 0
			played := walks / allocators
			if testing.Short() {
				// Under the race detector, which has nothing to find here, a walk takes ten
				// times as long.
				played /= 5
			}
			for seed := range uint64(played) {
				violation, spent := play(allocators, seed, test.restores, unchanged)
				require.Empty(t, violation, "seed %d", seed)
				spends += spent
			}
			require.Greater(t, spends, 10*played, "the walks spend too few tokens to show anything")
		})
	}
}
