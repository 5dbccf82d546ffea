package caller

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

// saslMechanism is the only authentication mechanism offered to callers.
const saslMechanism = "SCRAM-SHA-256"

// authenticate runs a SCRAM exchange, unless the settings name no credentials. Its
// error does not reveal to the caller why authentication failed.
func (caller *callerSession) authenticate(user string) error {
	if caller.edge.credentials == nil {
		return nil
	}
	exchange, err := caller.edge.credentials.NewConversation(user)
	if err != nil {
		return err
	}
	caller.write(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}})
	var initial pgproto3.SASLInitialResponse
	if err := caller.receivePassword(&initial); err != nil {
		return err
	}
	reply, err := exchange.Step(string(initial.Data))
	if err != nil {
		return authenticationFailed(user)
	}
	caller.write(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
	var final pgproto3.SASLResponse
	if err := caller.receivePassword(&final); err != nil {
		return err
	}
	reply, err = exchange.Step(string(final.Data))
	if err != nil || !exchange.Valid() {
		return authenticationFailed(user)
	}
	caller.write(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}

// receivePassword sends the pending output and decodes the caller's password message.
func (caller *callerSession) receivePassword(into pgproto3.FrontendMessage) error {
	if err := caller.flush(); err != nil {
		return err
	}
	message, err := caller.frames.Next()
	if err != nil {
		return err
	}
	if message[0] != frame.Password {
		return malformed(fmt.Errorf("expected a password message"))
	}
	if err := into.Decode(frame.Body(message)); err != nil {
		return malformed(err)
	}
	return nil
}

func authenticationFailed(user string) error {
	return ebonywood.NewFault(ebonywood.KindDenied, fmt.Sprintf("authentication of user %q failed", user),
		"check the password, and the verifier in the proxies' callersFile")
}
