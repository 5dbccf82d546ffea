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
func (each *conversation) authenticate(user string) error {
	if each.edge.credentials == nil {
		return nil
	}
	exchange, err := each.edge.credentials.Begin(user)
	if err != nil {
		return err
	}
	each.write(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	var first pgproto3.SASLInitialResponse
	if err := each.receivePassword(&first); err != nil {
		return err
	}
	answer, err := exchange.Step(string(first.Data))
	if err != nil {
		return refused(user)
	}
	each.write(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	var second pgproto3.SASLResponse
	if err := each.receivePassword(&second); err != nil {
		return err
	}
	answer, err = exchange.Step(string(second.Data))
	if err != nil || !exchange.Valid() {
		return refused(user)
	}
	each.write(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func (each *conversation) receivePassword(into pgproto3.FrontendMessage) error {
	if err := each.flush(); err != nil {
		return err
	}
	message, err := each.frames.Next()
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
