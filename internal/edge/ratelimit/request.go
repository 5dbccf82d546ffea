package ratelimit

import (
	"context"
	"slices"
	"time"

	"github.com/ebonywood/ebonywood"
)

const (
	// requestTimeout bounds a request to an allocator.
	requestTimeout = 400 * time.Millisecond
	// maxAsking bounds the allocators that are asked at the same time for a workspace.
	maxAsking = 3
	// An allocator is slow if it has not answered the present request for slowAge, or if its
	// answers take that long on average. Others are asked first, since operations wait meanwhile.
	slowAge ebonywood.Millis = 15
	// answerWeight is the weight of a new answer in the average of their times.
	answerWeight = 0.2
	// refusalPeriod is how long a process that answered that it is not the allocator is not
	// asked. It is the same for an allocator that did not answer once, since a host that is
	// short of processor time may be late for one request. It doubles with each further request
	// without an answer, up to silencePeriod.
	refusalPeriod ebonywood.Millis = 100
	silencePeriod ebonywood.Millis = 1600
	maxDoublings                   = 4
	// reportDelay is how long after tokens of a workspace near its limit were dealt the proxy
	// reports at the latest that they are spent, so that others can have them.
	reportDelay ebonywood.Millis = 200
)

// link is the state of the requests to the allocator with one number. The edge's mutex
// protects it.
type link struct {
	number int
	// busy is set while a goroutine sends the link's requests.
	busy bool
	// pending are the workspaces to ask for, reports those whose spent tokens have to be
	// reported.
	pending []*stock
	reports map[*stock]struct{}
	// sequence is the number of the last request.
	sequence uint64
	// Until downUntil the allocator with the nonce down is not asked.
	down      string
	downUntil ebonywood.Millis
	// sentAt is when the request in flight was sent, 0 without one; answerMs is the moving
	// average of the times until answers, in ms, as of answeredAt.
	sentAt     ebonywood.Millis
	answerMs   float64
	answeredAt ebonywood.Millis
	// silences counts the requests since the last answer. It belongs to the goroutine that sends
	// the requests.
	silences int
}

// link returns the link to an allocator and creates it if needed. The mutex is held.
func (edge *Edge) link(number int) *link {
	found, exists := edge.links[number]
	if !exists {
		found = &link{number: number, reports: map[*stock]struct{}{}}
		edge.links[number] = found
	}
	return found
}

// isSlow reports whether the allocator answers slowly now. An average that is old does not
// count, so that the allocator is asked again. The mutex is held.
func (edge *Edge) isSlow(now ebonywood.Millis, allocator ebonywood.Allocator) bool {
	link, found := edge.links[allocator.Number()]
	if !found {
		return false
	}
	return link.sentAt > 0 && now-link.sentAt > slowAge ||
		link.answerMs > float64(slowAge) && now-link.answeredAt < silencePeriod
}

// recordAnswer records the time until the answer to a request. The mutex is held.
func (link *link) recordAnswer(now, sentAt ebonywood.Millis) {
	link.sentAt, link.answeredAt = 0, now
	link.answerMs += answerWeight * (float64(now-sentAt) - link.answerMs)
}

// isDown reports whether an allocator did not answer shortly before. The mutex is held.
func (edge *Edge) isDown(now ebonywood.Millis, allocator ebonywood.Allocator) bool {
	link, found := edge.links[allocator.Number()]
	return found && link.down == allocator.Nonce() && now < link.downUntil
}

// request queues a request for tokens of a workspace to the first allocator that may be asked.
// It does nothing if there is none, or if a request is under way that is not slow yet. The mutex
// is held.
func (edge *Edge) request(now ebonywood.Millis, stock *stock) {
	if stock.asking >= maxAsking || stock.asking > 0 && now-stock.askedAt < slowAge {
		return
	}
	allocator, found := stock.tokens.Next(now, edge.candidates(now, stock))
	if !found {
		return
	}
	link := edge.link(allocator.Number())
	if slices.Contains(link.pending, stock) {
		return
	}
	if !edge.startLink(link) {
		return
	}
	stock.asking, stock.askedAt = stock.asking+1, now
	link.pending = append(link.pending, stock)
}

// startLink starts the goroutine that sends the link's requests unless it runs, and reports
// whether one runs. The mutex is held.
func (edge *Edge) startLink(link *link) bool {
	if link.busy {
		return true
	}
	link.busy = edge.group.Context().Err() == nil && edge.group.Go(func(ctx context.Context) error {
		for edge.sendNext(ctx, link) {
		}
		return nil
	})
	return link.busy
}

// exchange is one request with what is needed to apply its reply.
type exchange struct {
	allocator ebonywood.Allocator
	request   ebonywood.TokenRequest
	// stocks has the stock of each need of the request, asked those among them that are
	// asking.
	stocks, asked []*stock
	sentAt        ebonywood.Millis
}

// sendNext sends one request with all that is queued for the link's allocator and applies the
// reply. It returns false, and the link is idle, if nothing is queued.
func (edge *Edge) sendNext(ctx context.Context, link *link) bool {
	next, found := edge.beginExchange(link)
	if !found {
		return false
	}
	if len(next.stocks) == 0 {
		return true
	}
	reply, err := edge.ask(ctx, next)
	switch {
	case err != nil:
		edge.metrics.failed.Inc(1)
		edge.applyFailure(link, next, link.silence())
	case reply.Nonce() != "":
		edge.metrics.refused.Inc(1)
		edge.applySuccessor(link, next, reply.Nonce())
	case reply.Refusal() != "":
		edge.metrics.refused.Inc(1)
		edge.applyFailure(link, next, refusalPeriod)
	default:
		link.silences = 0
		edge.metrics.answered.Inc(1)
		edge.applyReply(link, next, reply)
	}
	return true
}

// silence returns how long the allocator is not asked after another request without an answer.
// Only the goroutine that sends the link's requests calls it.
func (link *link) silence() ebonywood.Millis {
	period := min(refusalPeriod<<min(link.silences, maxDoublings), silencePeriod)
	link.silences++
	return period
}

// ask sends a request to the allocator, or serves it here if this process is the allocator.
func (edge *Edge) ask(ctx context.Context, next exchange) (ebonywood.TokenReply, error) {
	if next.allocator.Holder() == edge.port.Settings().Name() {
		return edge.Allocate(next.request), nil
	}
	if edge.port.Relay() == nil {
		return ebonywood.NewTokenRefusal("other proxies can't be reached from here"), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return edge.port.Relay().RequestTokens(callCtx, next.allocator.Address(), next.request)
}

// beginExchange builds the request for all that is queued, without any stock if there is no
// allocator to ask. It returns false if nothing is queued.
func (edge *Edge) beginExchange(link *link) (next exchange, found bool) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	now := edge.now()
	next.sentAt, next.asked = now, link.pending
	link.pending = nil
	allocators := edge.allocatorTable()
	index := slices.IndexFunc(allocators, func(allocator ebonywood.Allocator) bool { return allocator.Number() == link.number })
	if index < 0 {
		// The allocator has lost its key since the request was queued.
		clear(link.reports)
		edge.endAsking(now, next)
		link.busy = len(link.pending) > 0
		return exchange{}, link.busy
	}
	next.allocator = allocators[index]
	var needs []ebonywood.TokenNeed
	for _, stock := range next.asked {
		urgent := len(stock.waiters)
		if link.answerMs > float64(ebonywood.UrgentTokenLife)/4 {
			// Urgent tokens would expire on the way.
			urgent = 0
		}
		need := ebonywood.NewTokenNeed(stock.name, stock.tokens.BeginRequest(now, next.allocator), stock.tokens.Wanted(now, len(stock.waiters)))
		needs = append(needs, need.WithUrgent(urgent))
	}
	next.stocks = append(next.stocks, next.asked...)
	for stock := range link.reports {
		due, later := stock.tokens.IsReportDue(now, next.allocator)
		if due {
			needs = append(needs, ebonywood.NewTokenNeed(stock.name, stock.tokens.BeginRequest(now, next.allocator), 0))
			next.stocks = append(next.stocks, stock)
		}
		if !later {
			delete(link.reports, stock)
		}
	}
	if len(needs) == 0 {
		link.busy = false
		return exchange{}, false
	}
	link.sentAt = now
	link.sequence++
	next.request = ebonywood.NewTokenRequest(edge.port.Settings().Name(), link.number, next.allocator.Nonce(), needs).
		WithSequence(edge.run, link.sequence)
	return next, true
}

// applyReply adds the tokens of a reply to the stocks and serves the operations that wait.
func (edge *Edge) applyReply(link *link, next exchange, reply ebonywood.TokenReply) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	now := edge.now()
	link.recordAnswer(now, next.sentAt)
	grants := reply.Grants()
	for index, stock := range next.stocks {
		if index >= len(grants) || grants[index].Workspace() != stock.name {
			break
		}
		grant, urgent := grants[index], next.request.Needs()[index].Urgent()
		stock.tokens.Add(now, next.sentAt, edge.life, reportDelay, next.allocator, grant.Tokens(), urgent, grant.RetryAfter())
		if grant.Tokens() > urgent && grant.RetryAfter() > 0 {
			link.reports[stock] = struct{}{}
			edge.startReporting()
		}
	}
	edge.endAsking(now, next)
}

// applyFailure makes an allocator that gave no tokens not be asked for a time, and asks the
// next one for what is still needed.
func (edge *Edge) applyFailure(link *link, next exchange, period ebonywood.Millis) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	now := edge.now()
	link.recordAnswer(now, next.sentAt)
	link.down, link.downUntil = next.allocator.Nonce(), now+period
	for _, stock := range next.asked {
		stock.tokens.Block(now+period, next.allocator)
	}
	edge.endAsking(now, next)
}

// successor is an allocator that answered in another run than the one listed then.
type successor struct {
	listed, present ebonywood.Allocator
}

// allocatorTable returns the listed allocators, with the runs that their processes named where the
// directory's change has not arrived yet: after a restart of all proxies that takes some hundred
// milliseconds. The mutex is held.
func (edge *Edge) allocatorTable() []ebonywood.Allocator {
	listed := edge.port.Snapshot().Allocators()
	if len(edge.successors) == 0 {
		return listed
	}
	table := slices.Clone(listed)
	for index, allocator := range table {
		if successor, found := edge.successors[allocator.Number()]; found && successor.listed == allocator {
			table[index] = successor.present
		} else {
			delete(edge.successors, allocator.Number())
		}
	}
	return table
}

// applySuccessor makes the present run of the allocator's process be asked.
func (edge *Edge) applySuccessor(link *link, next exchange, nonce string) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	now := edge.now()
	link.recordAnswer(now, next.sentAt)
	for _, allocator := range edge.port.Snapshot().Allocators() {
		if allocator.Number() == link.number && allocator.Holder() == next.allocator.Holder() {
			edge.successors[link.number] = successor{listed: allocator, present: allocator.WithNonce(nonce).WithSettled(false)}
		}
	}
	edge.endAsking(now, next)
}

// endAsking lets the workspaces of a request be asked for again and serves the operations that
// wait. The mutex is held.
func (edge *Edge) endAsking(now ebonywood.Millis, next exchange) {
	for _, stock := range next.asked {
		stock.asking--
	}
	for _, stock := range next.asked {
		edge.serve(now, stock)
	}
}

// startReporting starts the goroutine that sends due reports, unless it runs. The mutex is
// held.
func (edge *Edge) startReporting() {
	if !edge.reporting {
		edge.reporting = edge.group.Go(edge.sendReports)
	}
}

// sendReports starts the links that have to report spent tokens until no report is left.
func (edge *Edge) sendReports(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reportDelay.Duration()):
		}
		if !edge.startDueLinks() {
			return nil
		}
	}
}

// startDueLinks starts the links with reports, and reports whether there are any.
func (edge *Edge) startDueLinks() (found bool) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	for _, link := range edge.links {
		if len(link.reports) > 0 {
			found = true
			edge.startLink(link)
		}
	}
	edge.reporting = found
	return found
}
