package sessions

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// limiter is a fake that has a number of tokens.
type limiter struct {
	tokens, taken, returned, spent int
}

func (limiter *limiter) Take(context.Context, *ebonywood.Workspace, time.Time) bool {
	if limiter.tokens == 0 {
		return false
	}
	limiter.tokens--
	limiter.taken++
	return true
}

func (limiter *limiter) Return(*ebonywood.Workspace) { limiter.returned++ }
func (limiter *limiter) Spend(*ebonywood.Workspace)  { limiter.spent++ }

// limitedPort is a port whose callers belong to a workspace with a rate.
type limitedPort struct {
	*port
	limiter *limiter
}

func (port limitedPort) RateLimiter() ebonywood.RateLimiter { return port.limiter }

const limitedKey = "k"

func newLimitedPort(tokens int) limitedPort {
	port := newPort()
	workspace := ebonywood.NewWorkspace("w", []ebonywood.KeyDigest{ebonywood.NewKeyDigest(limitedKey)}, nil, 0).WithRate(10, 1)
	draft := ebonywood.NewDraft()
	draft.SetObjectSet(port.snapshot.ObjectSet().WithWorkspaces([]*ebonywood.Workspace{workspace}))
	draft.SetOwners(port.snapshot.Owners())
	view, _ := port.snapshot.View(db)
	draft.AddView(view)
	port.snapshot = draft.Publish()
	port.relay.dead.Store(true)
	return limitedPort{port: port, limiter: &limiter{tokens: tokens}}
}

// TestOperationTakesOneToken checks for each kind of operation how many tokens it takes, which
// of them it returns, and that nothing is sent without one. It guards against operations that
// are counted twice or not at all, and against tokens that are lost to refusals.
func TestOperationTakesOneToken(t *testing.T) {
	for name, test := range map[string]struct {
		tokens          int
		near, far       []behaviour
		statements      []ebonywood.Statement
		codes           []ebonywood.Code
		state           ebonywood.TxState
		taken, returned int
		ran             []string
	}{
		"single statement":       {tokens: 9, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeDone}, taken: 1, ran: []string{"near"}},
		"single without a token": {statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeBusy}},
		"refused everywhere": {
			tokens: 9, near: []behaviour{refuses}, far: []behaviour{unreachable}, statements: []ebonywood.Statement{write},
			codes: []ebonywood.Code{ebonywood.CodeBusy}, taken: 1, returned: 1, ran: []string{"near"},
		},
		"lost read": {
			tokens: 9, near: []behaviour{losesReply}, far: []behaviour{refuses}, statements: []ebonywood.Statement{read},
			codes: []ebonywood.Code{ebonywood.CodeAborted}, taken: 1, ran: []string{"near", "far"},
		},
		"lost write": {tokens: 9, near: []behaviour{losesReply}, statements: []ebonywood.Statement{write}, codes: []ebonywood.Code{ebonywood.CodeUnknown}, taken: 1, ran: []string{"near"}},
		"transaction": {
			tokens: 9, statements: []ebonywood.Statement{begin, write, read, commit},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeDone, ebonywood.CodeDone}, taken: 1, ran: []string{"near", "near", "near"},
		},
		"empty transaction": {tokens: 9, statements: []ebonywood.Statement{begin, commit}, codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone}, taken: 1, ran: []string{"near"}},
		"transaction that is rolled back at once": {
			tokens: 9, statements: []ebonywood.Statement{begin, rollBack}, codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeDone},
		},
		"transaction without a token": {
			statements: []ebonywood.Statement{begin, write, read, commit}, state: ebonywood.TxIdle,
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeBusy, ebonywood.CodeMalformed, ebonywood.CodeAborted},
		},
		"failed transaction without a token": {statements: []ebonywood.Statement{begin, write}, codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeBusy}, state: ebonywood.TxFailed},
		"empty transaction without a token":  {statements: []ebonywood.Statement{begin, commit}, codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeBusy}},
		"transaction that begins nowhere": {
			tokens: 9, near: []behaviour{unreachable}, far: []behaviour{refuses}, statements: []ebonywood.Statement{begin, write, rollBack},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeAborted, ebonywood.CodeDone}, taken: 1, returned: 1, ran: []string{"far"},
		},
		"transaction whose first reply is lost": {
			tokens: 9, near: []behaviour{losesReply}, statements: []ebonywood.Statement{begin, write, rollBack},
			codes: []ebonywood.Code{ebonywood.CodeDone, ebonywood.CodeAborted, ebonywood.CodeDone}, taken: 1, ran: []string{"near"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			port := newLimitedPort(test.tokens)
			port.relay.behaviours["near"], port.relay.behaviours["far"] = test.near, test.far
			session, code := New(port).Open("shop", ebonywood.NewKeyDigest(limitedKey))
			require.Equal(t, ebonywood.CodeDone, code)
			var reply ebonywood.Reply
			for i, statement := range test.statements {
				reply = session.Handle(statement)
				require.Equal(t, test.codes[i], reply.Code(), "%d: %s", i, reply.Message())
			}
			if test.state == 0 {
				test.state = ebonywood.TxIdle
			}
			require.Equal(t, test.state, reply.State())
			require.Equal(t, test.taken, port.limiter.taken)
			require.Equal(t, test.returned, port.limiter.returned)
			require.Equal(t, test.taken-test.returned, port.limiter.spent, "each token is spent or returned")
			require.Equal(t, test.ran, port.relay.peers)
		})
	}
}

// TestForwardedOperationTakesNoToken guards against an operation that is counted at the proxy of
// its caller and again where it runs.
func TestForwardedOperationTakesNoToken(t *testing.T) {
	port := newLimitedPort(0)
	state := ebonywood.NewSessionState("shop", 3, nil, ebonywood.Position{}, 0).WithWorkspace("w")
	session := &session{edge: New(port), database: "shop", workspaceName: "w", forwarded: true}
	// The route sets the session's workspace, as with each operation.
	_, _, _ = session.route()
	attempt := session.newAttempt(port.snapshot.ObjectSet().Routes()[0])
	require.Equal(t, "w", state.Workspace())
	require.Equal(t, "w", attempt.workspaceName())
	require.True(t, session.takeToken(attempt))
	require.Zero(t, port.limiter.taken)
}
