package sessions

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/linebudget"
)

const (
	// maxRequestTimers bounds the combinations of route and outcome that have a timer of
	// their own.
	maxRequestTimers = 2000
)

// counters records requests in metrics and writes their log lines.
type counters struct {
	scope tally.Scope
	log   logr.Logger
	byKey *sync.Map
	// timerCount is how many timers by route and outcome have been requested.
	timerCount *atomic.Int64
	budget     *linebudget.Budget
}

func newCounters(scope tally.Scope, log logr.Logger, maxLinesPerSecond int) counters {
	return counters{
		scope: scope, log: log, byKey: &sync.Map{}, timerCount: &atomic.Int64{},
		budget: linebudget.New(maxLinesPerSecond, scope, "request"),
	}
}

// count increments the counter with this name and label.
func (counters counters) count(name, label string) {
	key := name + "/" + label
	counter, found := counters.byKey.Load(key)
	if !found {
		counter, _ = counters.byKey.LoadOrStore(key, counters.scope.Tagged(map[string]string{"kind": label}).Counter(name))
	}
	counter.(tally.Counter).Inc(1)
}

// record adds a request to the timer of its route and outcome. Beyond maxRequestTimers
// the route is recorded as "other".
func (counters counters) record(route, outcome string, elapsed time.Duration) {
	key := "request/" + route + "/" + outcome
	timer, found := counters.byKey.Load(key)
	if !found && counters.timerCount.Add(1) > maxRequestTimers {
		route, key = "other", "request/other/"+outcome
		timer, found = counters.byKey.Load(key)
	}
	if !found {
		tagged := counters.scope.Tagged(map[string]string{"route": route, "outcome": outcome})
		timer, _ = counters.byKey.LoadOrStore(key, tagged.Timer("request"))
	}
	timer.(tally.Timer).Record(elapsed)
}

// logLine writes a log line unless the line budget of the current second is used up.
func (counters counters) logLine(message string, details ...any) {
	counters.budget.Line(counters.log, message, details...)
}

// account records the outcome of a request in the metrics and the service levels. Unless
// it succeeded at the first try, it also logs the state on which the decisions were
// based. For a statement that another proxy forwarded, that proxy records the metrics
// and the service levels, and this one only logs.
func (edge *Edge) account(statement ebonywood.Statement, attempt *attempt, reply ebonywood.Reply) {
	elapsed := time.Since(attempt.startedAt)
	done := reply.Code() == ebonywood.CodeDone
	if !attempt.forwarded {
		edge.counters.record(attempt.route.Name(), reply.Code().String(), elapsed)
		edge.port.ServiceLevels().Record(attempt.route.Name(), attempt.route.Objective(), done, elapsed, edge.now())
	}
	if done && attempt.tries <= 1 {
		return
	}
	snapshot := edge.port.Snapshot()
	generation, term := uint64(0), ebonywood.Term(0)
	if set := snapshot.ObjectSet(); set != nil {
		generation = set.Generation()
	}
	instance := attempt.route.Instances()[0]
	if view, found := snapshot.View(instance); found {
		term = view.Term()
	}
	edge.counters.logLine("request", "id", statement.ID(), "route", attempt.route.Name(), "instance", instance,
		"outcome", reply.Code().String(), "why", reply.Message(), "member", attempt.member, "peer", attempt.peer, "forwarded", attempt.forwarded, "tries", attempt.tries,
		"floor", attempt.floor.String(), "sampleAgeMs", int64(edge.sampleAge(instance)), "generation", generation,
		"term", uint64(term), "tookMs", elapsed.Milliseconds())
}

// sampleAge returns the age of the newest sample of an instance, -1 without one.
func (edge *Edge) sampleAge(id ebonywood.InstanceID) ebonywood.Millis {
	state := edge.primaryState(id)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	newest, found := state.samples.NewestSentAt()
	if !found {
		return -1
	}
	return edge.now() - newest
}
