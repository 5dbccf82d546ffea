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
	// namesCounted bounds the routes and outcomes with a timer of their own.
	namesCounted = 2000
)

// counters are the metrics and the log of requests.
type counters struct {
	scope  tally.Scope
	log    logr.Logger
	byName *sync.Map
	// names counts the routes and outcomes that have a timer of their own.
	names  *atomic.Int64
	budget *linebudget.Budget
}

func newCounters(scope tally.Scope, log logr.Logger, most int) counters {
	return counters{
		scope: scope, log: log, byName: &sync.Map{}, names: &atomic.Int64{},
		budget: linebudget.New(most, scope, "request"),
	}
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
	if !found && counters.names.Add(1) > namesCounted {
		route, key = "other", "request/other/"+outcome
		known, found = counters.byName.Load(key)
	}
	if !found {
		tagged := counters.scope.Tagged(map[string]string{"route": route, "outcome": outcome})
		known, _ = counters.byName.LoadOrStore(key, tagged.Timer("request"))
	}
	known.(tally.Timer).Record(took)
}

// line writes a line about one request unless this second has had its share.
func (counters counters) line(message string, details ...any) {
	counters.budget.Line(counters.log, message, details...)
}

// account records how a request ended, for the metrics and the service levels,
// and logs the grounds when it did not simply succeed at the first member.
func (edge *Edge) account(statement ebonywood.Statement, each *attempt, reply ebonywood.Reply) {
	took := time.Since(each.began)
	done := reply.Code() == ebonywood.CodeDone
	if !each.forwarded {
		edge.counters.record(each.route.Name(), reply.Code().String(), took)
		edge.port.ServiceLevels().Record(each.route.Name(), each.route.Objective(), done, took, edge.now())
	}
	if done && each.tries <= 1 {
		return
	}
	snapshot := edge.port.Snapshot()
	generation, term := uint64(0), ebonywood.Term(0)
	if set := snapshot.ObjectSet(); set != nil {
		generation = set.Generation()
	}
	instance := each.route.Instances()[0]
	if view, found := snapshot.View(instance); found {
		term = view.Term()
	}
	edge.counters.line("request", "id", statement.ID(), "route", each.route.Name(), "instance", instance,
		"outcome", reply.Code().String(), "why", reply.Message(), "member", each.member, "peer", each.peer, "forwarded", each.forwarded, "tries", each.tries,
		"floor", each.floor.String(), "sampleAgeMs", int64(edge.sampleAge(instance)), "generation", generation,
		"term", uint64(term), "tookMs", took.Milliseconds())
}

// sampleAge is how old the newest sample of an instance is.
func (edge *Edge) sampleAge(id ebonywood.InstanceID) ebonywood.Millis {
	known := edge.leader(id)
	known.mutex.Lock()
	defer known.mutex.Unlock()
	newest, found := known.samples.Newest()
	if !found {
		return -1
	}
	return edge.now() - newest
}
