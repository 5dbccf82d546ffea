package succession

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

var modelRestores = flag.Int("restoreSeeds", 60, "random walks of the model in which the store is restored from backups")

const (
	// restorePercent is the chance of a restore in a step.
	restorePercent = 2
	// noticeSteps bounds the steps until a proxy learns of a restore, rewriteSteps those until a
	// lost report is written again.
	noticeSteps, rewriteSteps = 40, 20
)

// storeRestores are the restores of the store from a backup. They have their own random source, so
// that the walks without them stay as they are.
type storeRestores struct {
	random *rand.Rand
	// notices are the changes of the duty that proxies learn later.
	notices []dutyNotice
	// reportLostUntil is when the lost report of each proxy is written again.
	reportLostUntil [2]ebonywood.Millis
}

// dutyNotice tells a proxy at a time whether it holds the duty. It is void if the duty has
// changed since.
type dutyNotice struct {
	at    ebonywood.Millis
	proxy int
	token int64
}

// restoreStore restores the store from a backup in which either proxy holds the duty. Both learn
// of it later. Of a report that is lost, the others keep all but the stops that it has confirmed.
func (world *world) restoreStore() {
	restores := world.restores
	if restores.random.IntN(100) >= restorePercent {
		return
	}
	delay := func(steps int) ebonywood.Millis {
		return world.now + modelStep*ebonywood.Millis(restores.random.IntN(steps))
	}
	world.holder = restores.random.IntN(len(world.proxies))
	world.token++
	world.note("the store is restored; p%d holds the duty with token %d", world.holder, world.token)
	for index := range world.proxies {
		restores.notices = append(restores.notices, dutyNotice{at: delay(noticeSteps), proxy: index, token: world.token})
		if restores.random.IntN(2) == 0 {
			restores.reportLostUntil[index] = delay(rewriteSteps)
		}
	}
}

// deliverNotices tells the proxies who holds the duty.
func (world *world) deliverNotices() {
	due := world.restores.notices
	world.restores.notices = nil
	for _, notice := range due {
		switch {
		case notice.at > world.now:
			world.restores.notices = append(world.restores.notices, notice)
		case notice.token == world.token:
			held := notice.proxy == world.holder
			proxy := world.proxies[notice.proxy]
			proxy.events = append(proxy.events, ebonywood.NewDutyChanged(held, world.token))
		}
	}
}

// isReportLost reports whether the store lacks the last report of a proxy.
func (world *world) isReportLost(proxy int) bool {
	return world.restores != nil && world.now < world.restores.reportLostUntil[proxy]
}

// TestModelWithRestores plays walks in which the store is restored from backups. It guards against
// LOST, STALE and DRAIN while two proxies act as holders of the duty, and against a service that
// does not recover.
func TestModelWithRestores(t *testing.T) {
	promotions := 0
	for i := range *modelRestores {
		seed := *modelFirst + uint64(i)
		world := newWorld(seed)
		world.restores = &storeRestores{random: rand.New(rand.NewPCG(seed, 11))}
		world.run()
		promotions += int(world.term) - 1
		require.Empty(t, world.violation, "seed %d, %d synchronous replicas, %d members:\n%v", seed, world.sync, len(world.members), joinLines(world.trace))
	}
	require.Positive(t, promotions)
	t.Logf("%d walks, %d promotions", *modelRestores, promotions)
}
