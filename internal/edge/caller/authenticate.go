package caller

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

const mechanism = "SCRAM-SHA-256"

// authenticate runs a SCRAM exchange. What went wrong is not told to the caller
// beyond that it failed.
func (caller *conversation) authenticate(user string) error {
	if caller.edge.credentials == nil {
		return nil
	}
	exchange, err := caller.edge.credentials.Begin(user)
	if err != nil {
		return err
	}
	caller.write(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	var first pgproto3.SASLInitialResponse
	if err := caller.receivePassword(&first); err != nil {
		return err
	}
	answer, err := exchange.Step(string(first.Data))
	if err != nil {
		return refused(user)
	}
	caller.write(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	var second pgproto3.SASLResponse
	if err := caller.receivePassword(&second); err != nil {
		return err
	}
	answer, err = exchange.Step(string(second.Data))
	if err != nil || !exchange.Valid() {
		return refused(user)
	}
	caller.write(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func (caller *conversation) receivePassword(into pgproto3.FrontendMessage) error {
	if err := caller.flush(); err != nil {
		return err
	}
	message, err := caller.frames.Next()
	if err != nil {
		return err
	}
	if message[0] != frame.Password {
		return malformed(fmt.Errorf("a password message was expected"))
	}
	if err := into.Decode(frame.Body(message)); err != nil {
		return malformed(err)
	}
	return nil
}

func refused(user string) error {
	return ebonywood.NewFault(ebonywood.KindDenied, fmt.Sprintf("authentication of user %q failed", user),
		"check the password, and the verifier in the proxies' callersFile")
}
