package sessions

import "github.com/ebonywood/ebonywood"

// This file applies the rates of workspaces: an operation, which is a single statement or a
// transaction, takes one token before it takes a connection, a slot or a hop. The proxy to
// which the caller is connected takes it; one that runs a forwarded session does not.

const rateLimitMessage = "the workspace is over its rate, and nothing was run"

// takeToken takes the token of an operation, and reports whether it may run.
func (session *session) takeToken(attempt *attempt) bool {
	workspace := attempt.workspace
	if session.forwarded || workspace == nil || !workspace.IsLimited() {
		return true
	}
	limiter := session.edge.port.RateLimiter()
	if limiter == nil {
		return true
	}
	attempt.hasToken = limiter.Take(attempt.awaited, workspace, attempt.deadline)
	return attempt.hasToken
}

// returnToken gives back the token that the attempt has taken, since no member has run anything
// of its operation.
func (session *session) returnToken(attempt *attempt) {
	if attempt.hasToken {
		attempt.hasToken = false
		session.edge.port.RateLimiter().Return(attempt.workspace)
	}
}

// settleToken returns the token of a single statement, or of a transaction that did not begin
// at a member, if the reply proves that nothing was run. Otherwise the token is spent.
func (session *session) settleToken(attempt *attempt, reply ebonywood.Reply) {
	if !attempt.hasToken {
		return
	}
	switch reply.Code() {
	case ebonywood.CodeBusy, ebonywood.CodeLagging, ebonywood.CodeReadOnly, ebonywood.CodeNoStatement:
		if reply.State() != ebonywood.TxOpen && !attempt.mayHaveRun {
			session.returnToken(attempt)
			return
		}
	}
	session.spendToken(attempt)
}

// spendToken records that the attempt's operation has reached a member.
func (session *session) spendToken(attempt *attempt) {
	if attempt.hasToken {
		attempt.hasToken = false
		session.edge.port.RateLimiter().Spend(attempt.workspace)
	}
}

// admitTransaction takes the token of the open transaction with its first statement that needs
// a member. The reply refuses the statement if there is none.
func (session *session) admitTransaction(attempt *attempt) (refusal ebonywood.Reply, admitted bool) {
	tx := session.tx
	if tx.admitted {
		return ebonywood.Reply{}, true
	}
	tx.admitted = session.takeToken(attempt)
	return ebonywood.NewFailure(ebonywood.CodeBusy, rateLimitMessage, ebonywood.TxFailed, ebonywood.Position{}), tx.admitted
}
