package ebonywood

import (
	"context"
	"strconv"
	"time"
)

// AllocatorPrefix is the prefix of the directory's keys that name the allocators.
const AllocatorPrefix = "ebonywood/allocators/"

// AllocatorKey returns the key that names the allocator with a number.
func AllocatorKey(number int) string { return AllocatorPrefix + strconv.Itoa(number) }

// UrgentTokenLife is how long a token may be spent, after the request for it, that was dealt
// for an operation that waits. It is longer than an operation waits. Its allocator need not be
// told that it is spent, because it soon counts it no longer anyway.
const UrgentTokenLife Millis = 250

const (
	// AllocatorClockMargin is how long before its lease may end an allocator stops: for the
	// difference between the speeds of the clocks of its host and of the directory.
	AllocatorClockMargin Millis = 200
	// AllocatorKeyTimeout bounds the time from the request for an allocator's lease to the write
	// of its key.
	AllocatorKeyTimeout Millis = 1000
)

// AllocatorLeaseTTL returns the time to live of an allocator's lease. A key that expires unsettled
// must outlive the tokens of the holder before it, and its lease was granted up to
// AllocatorKeyTimeout before the key was written.
func (limits Limits) AllocatorLeaseTTL() Millis {
	life := limits.Millis(LimitTokenLife)
	return max(limits.Millis(LimitAllocatorTTL), life+AllocatorKeyTimeout+2*AllocatorClockMargin)
}

// RateLimiter applies the limits of workspaces for the whole fleet. It is safe for
// concurrent use.
type RateLimiter interface {
	// Take spends a token for one operation of the workspace, and waits for one until the
	// time given or until ctx ends. It returns false, and has spent nothing, if there is
	// none: the operation must be refused. A workspace without a limit always gets one.
	Take(ctx context.Context, workspace *Workspace, until time.Time) bool
	// Spend records that an operation with a token has reached a member, or may have.
	Spend(workspace *Workspace)
	// Return gives back the token of an operation that has reached no member.
	Return(workspace *Workspace)
}

// TokenAllocator serves the requests of other proxies for tokens.
type TokenAllocator interface {
	// Allocate deals tokens. The reply has a refusal if this process is not the allocator
	// that the request names.
	Allocate(request TokenRequest) TokenReply
}

// RateBounds is the rule for the operations of a workspace in any window: at most
// (rate * window + burst) * (1 + overage) + slack.
type RateBounds struct {
	window  Millis
	overage float64
	slack   float64
}

// NewRateBounds returns the rule.
func NewRateBounds(window Millis, overage, slack float64) RateBounds {
	return RateBounds{window: window, overage: overage, slack: slack}
}

// Window returns the length of the window.
func (bounds RateBounds) Window() Millis { return bounds.window }

// Max returns how many operations a window may have.
func (bounds RateBounds) Max(rate, burst float64) float64 {
	return (rate*bounds.Seconds()+burst)*(1+bounds.overage) + bounds.slack
}

// Seconds returns the length of the window in seconds.
func (bounds RateBounds) Seconds() float64 { return bounds.window.Duration().Seconds() }

// Overage returns the share by which a window may exceed the limit.
func (bounds RateBounds) Overage() float64 { return bounds.overage }

// Slack returns how many operations a window may have in addition.
func (bounds RateBounds) Slack() float64 { return bounds.slack }

// TokenNeed says what a proxy holds and needs of the tokens of one workspace.
type TokenNeed struct {
	workspace string
	held      int
	wanted    int
	urgent    int
}

// NewTokenNeed returns a need. held is how many tokens of the same allocator the proxy has
// not spent, wanted how many it asks for.
func NewTokenNeed(workspace string, held, wanted int) TokenNeed {
	return TokenNeed{workspace: workspace, held: held, wanted: wanted}
}

// WithUrgent returns the need with the number of the wanted tokens that operations wait for.
func (need TokenNeed) WithUrgent(urgent int) TokenNeed {
	need.urgent = urgent
	return need
}

// Urgent returns how many of the wanted tokens operations wait for. They live for
// UrgentTokenLife only.
func (need TokenNeed) Urgent() int { return need.urgent }

// Workspace returns the workspace's name.
func (need TokenNeed) Workspace() string { return need.workspace }

// Held returns how many tokens of the allocator the proxy has not spent.
func (need TokenNeed) Held() int { return need.held }

// Wanted returns how many tokens the proxy asks for.
func (need TokenNeed) Wanted() int { return need.wanted }

// TokenRequest asks an allocator for tokens.
type TokenRequest struct {
	proxy     string
	allocator int
	nonce     string
	needs     []TokenNeed
	run       string
	sequence  uint64
}

// NewTokenRequest returns a request of the named proxy to the allocator with a number.
// nonce identifies the allocator's claim of its key.
func NewTokenRequest(proxy string, allocator int, nonce string, needs []TokenNeed) TokenRequest {
	return TokenRequest{proxy: proxy, allocator: allocator, nonce: nonce, needs: needs}
}

// WithSequence returns the request with its number among those of one run of the proxy, so
// that the allocator can recognize a request that was overtaken by a later one.
func (request TokenRequest) WithSequence(run string, sequence uint64) TokenRequest {
	request.run, request.sequence = run, sequence
	return request
}

// Run identifies the run of the proxy that asks.
func (request TokenRequest) Run() string { return request.run }

// Sequence orders the requests of one run.
func (request TokenRequest) Sequence() uint64 { return request.sequence }

// Proxy returns the name of the proxy that asks.
func (request TokenRequest) Proxy() string { return request.proxy }

// Allocator returns the number of the allocator.
func (request TokenRequest) Allocator() int { return request.allocator }

// Nonce identifies the allocator's claim of its key.
func (request TokenRequest) Nonce() string { return request.nonce }

// Needs returns what the proxy needs, one entry for each workspace.
func (request TokenRequest) Needs() []TokenNeed { return request.needs }

// TokenGrant is the number of tokens that an allocator deals to a proxy for one workspace.
type TokenGrant struct {
	workspace  string
	tokens     int
	retryAfter Millis
}

// NewTokenGrant returns a grant, which may have more tokens than were wanted. retryAfter is
// how long the proxy should wait before it asks for more; 0 if it may ask at once. If it is
// not 0, the workspace is near its limit, and the proxy reports soon which of the tokens it
// has spent.
func NewTokenGrant(workspace string, tokens int, retryAfter Millis) TokenGrant {
	return TokenGrant{workspace: workspace, tokens: tokens, retryAfter: retryAfter}
}

// Workspace returns the workspace's name.
func (grant TokenGrant) Workspace() string { return grant.workspace }

// Tokens returns how many tokens the proxy may spend.
func (grant TokenGrant) Tokens() int { return grant.tokens }

// RetryAfter returns how long the proxy should wait before it asks for more.
func (grant TokenGrant) RetryAfter() Millis { return grant.retryAfter }

// TokenReply is the reply to a TokenRequest.
type TokenReply struct {
	refusal string
	nonce   string
	grants  []TokenGrant
}

// NewTokenReply returns a reply with one grant for each need.
func NewTokenReply(grants []TokenGrant) TokenReply { return TokenReply{grants: grants} }

// NewTokenRefusal returns the reply of a process that is not the allocator.
func NewTokenRefusal(reason string) TokenReply { return TokenReply{refusal: reason} }

// WithNonce returns the refusal of a process that is the allocator, but in another run than the
// request names.
func (reply TokenReply) WithNonce(nonce string) TokenReply {
	reply.nonce = nonce
	return reply
}

// Nonce identifies the run of the allocator's process that refused a request for another run;
// empty if the process is not the allocator.
func (reply TokenReply) Nonce() string { return reply.nonce }

// Refusal returns why the process deals no tokens; empty if it does.
func (reply TokenReply) Refusal() string { return reply.refusal }

// Grants returns the grants.
func (reply TokenReply) Grants() []TokenGrant { return reply.grants }

// Allocator is a proxy that creates a part of the tokens of every workspace.
type Allocator struct {
	number  int
	holder  string
	address string
	nonce   string
	settled bool
}

// NewAllocator returns the allocator with a number, from 0. holder is the name of the proxy
// that is the allocator, address its peer address, and nonce identifies its claim
// of the key.
func NewAllocator(number int, holder, address, nonce string) Allocator {
	return Allocator{number: number, holder: holder, address: address, nonce: nonce}
}

// Number returns the allocator's number.
func (allocator Allocator) Number() int { return allocator.number }

// Holder returns the name of the proxy that is the allocator.
func (allocator Allocator) Holder() string { return allocator.holder }

// Address returns the holder's peer address.
func (allocator Allocator) Address() string { return allocator.address }

// WithNonce returns the allocator as another run of its holder's process.
func (allocator Allocator) WithNonce(nonce string) Allocator {
	allocator.nonce = nonce
	return allocator
}

// WithSettled returns the allocator as one that has held its key for longer than a token
// lives.
func (allocator Allocator) WithSettled(settled bool) Allocator {
	allocator.settled = settled
	return allocator
}

// IsSettled reports whether the allocator has held its key for longer than a token lives, so
// that all unspent tokens of its number are its own.
func (allocator Allocator) IsSettled() bool { return allocator.settled }

// Nonce identifies the claim of the key.
func (allocator Allocator) Nonce() string { return allocator.nonce }

// AllocatorsListed reports the allocators whose keys the directory holds, in the order of
// their numbers.
type AllocatorsListed struct {
	allocators []Allocator
}

// NewAllocatorsListed returns the event; allocators must not be modified afterwards.
func NewAllocatorsListed(allocators []Allocator) AllocatorsListed {
	return AllocatorsListed{allocators: allocators}
}

// Allocators returns the allocators.
func (event AllocatorsListed) Allocators() []Allocator { return event.allocators }

func (AllocatorsListed) isEvent() {}

// ClaimAllocator makes the rate limit edge claim the key of an allocator that has none, or
// whose holder is an earlier run of this process.
type ClaimAllocator struct {
	number int
}

// NewClaimAllocator returns the action.
func NewClaimAllocator(number int) ClaimAllocator { return ClaimAllocator{number: number} }

// Number returns the allocator's number.
func (action ClaimAllocator) Number() int { return action.number }

func (ClaimAllocator) isAction() {}
