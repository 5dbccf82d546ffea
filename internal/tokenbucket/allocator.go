package tokenbucket

import "github.com/ebonywood/ebonywood"

// forgetRequestsAfter is how long a proxy that asks no more is remembered. It is longer than
// any token lives.
const forgetRequestsAfter ebonywood.Millis = 120_000

// Allocator creates and deals the tokens of all workspaces, from the time at which it got
// its lease. The caller makes sure that the lease holds at each call. It is not safe for
// concurrent use.
type Allocator struct {
	bounds    ebonywood.RateBounds
	count     int
	life      ebonywood.Millis
	startedAt ebonywood.Millis
	buckets   map[string]*bucket
	requests  map[string]lastRequest
	sweptAt   ebonywood.Millis
}

// lastRequest is the sequence number and the time of a proxy's last request.
type lastRequest struct {
	sequence uint64
	at       ebonywood.Millis
}

// New returns an allocator that starts with empty buckets at startedAt, one of count. life
// is how long a token may be spent.
func New(bounds ebonywood.RateBounds, count int, life, startedAt ebonywood.Millis) *Allocator {
	return &Allocator{
		bounds: bounds, count: count, life: life, startedAt: startedAt,
		buckets: map[string]*bucket{}, requests: map[string]lastRequest{}, sweptAt: startedAt,
	}
}

// StartedAt returns when the allocator started.
func (allocator *Allocator) StartedAt() ebonywood.Millis { return allocator.startedAt }

// Allocate deals the tokens that a request asks for. Workspaces that set lacks or does not
// limit get none. A request that is overtaken by a later one of the same run is refused: it
// says what the proxy held before the later one was answered.
func (allocator *Allocator) Allocate(now ebonywood.Millis, set *ebonywood.ObjectSet, request ebonywood.TokenRequest) ebonywood.TokenReply {
	proxy := request.Proxy() + "/" + request.Run()
	if last, found := allocator.requests[proxy]; found && request.Sequence() <= last.sequence {
		return ebonywood.NewTokenRefusal("a later request was answered")
	}
	allocator.requests[proxy] = lastRequest{sequence: request.Sequence(), at: now}
	allocator.forgetRequests(now)
	grants := make([]ebonywood.TokenGrant, 0, len(request.Needs()))
	for _, need := range request.Needs() {
		workspace, found := set.Workspace(need.Workspace())
		if !found || !workspace.IsLimited() {
			grants = append(grants, ebonywood.NewTokenGrant(need.Workspace(), 0, maxRetry))
			continue
		}
		tokens, retryAfter := allocator.bucket(now, workspace).deal(now, proxy, need.Held(), need.Wanted(), need.Urgent())
		grants = append(grants, ebonywood.NewTokenGrant(need.Workspace(), tokens, retryAfter))
	}
	return ebonywood.NewTokenReply(grants)
}

// bucket returns the bucket of a workspace with its present limit.
func (allocator *Allocator) bucket(now ebonywood.Millis, workspace *ebonywood.Workspace) *bucket {
	limit := newAllowance(workspace.Rate(), workspace.Burst(), allocator.bounds, allocator.count)
	found, exists := allocator.buckets[workspace.Name()]
	if !exists {
		found = newBucket(limit, allocator.startedAt, allocator.life)
		allocator.buckets[workspace.Name()] = found
	}
	found.setLimit(now, limit)
	return found
}

// forgetRequests removes the proxies that have not asked for a long time.
func (allocator *Allocator) forgetRequests(now ebonywood.Millis) {
	if now-allocator.sweptAt < forgetRequestsAfter {
		return
	}
	allocator.sweptAt = now
	for proxy, last := range allocator.requests {
		if now-last.at >= forgetRequestsAfter {
			delete(allocator.requests, proxy)
		}
	}
}
