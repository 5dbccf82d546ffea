package sessions

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
)

// linesPerSecond bounds the log lines about single requests.
const linesPerSecond = 40

// counters are the metrics and the log of requests.
type counters struct {
	scope  tally.Scope
	log    logr.Logger
	byName *sync.Map
	second *atomic.Int64
	lines  *atomic.Int64
}

func newCounters(scope tally.Scope, log logr.Logger) counters {
	return counters{scope: scope, log: log, byName: &sync.Map{}, second: &atomic.Int64{}, lines: &atomic.Int64{}}
}

// count adds one to a counter with one label.
func (counters counters) count(name, label string) {
	key := name + "/" + label
	known, found := counters.byName.Load(key)
	if !found {
		known, _ = counters.byName.LoadOrStore(key, counters.scope.Tagged(map[string]string{"kind": label}).Counter(name))
	}
	known.(tally.Counter).Inc(1)
}

// record counts a request by route and outcome, with its time.
func (counters counters) record(route, outcome string, took time.Duration) {
	key := "request/" + route + "/" + outcome
	known, found := counters.byName.Load(key)
	if !found {
		tagged := counters.scope.Tagged(map[string]string{"route": route, "outcome": outcome})
		known, _ = counters.byName.LoadOrStore(key, tagged.Timer("request"))
	}
	known.(tally.Timer).Record(took)
}

// line writes a line about one request unless this second has had its share.
func (counters counters) line(message string, details ...any) {
	second := time.Now().Unix()
	if counters.second.Swap(second) != second {
		if dropped := counters.lines.Swap(0) - linesPerSecond; dropped > 0 {
			counters.log.Info("linesDropped", "count", dropped)
		}
	}
	if counters.lines.Add(1) <= linesPerSecond {
		counters.log.Info(message, details...)
	}
}

// decided logs how a request ended and on which grounds, when it did not simply
// succeed at the first member.
func (counters counters) decided(statement ebonywood.Statement, each *attempt, reply ebonywood.Reply) {
	if reply.Code() == ebonywood.CodeDone && each.tries <= 1 {
		return
	}
	counters.line("request", "id", statement.ID(), "route", each.route.Name(), "outcome", reply.Code().String(),
		"why", reply.Message(), "member", each.member, "tries", each.tries, "floor", each.floor.String(),
		"tookMs", time.Since(each.began).Milliseconds())
}
