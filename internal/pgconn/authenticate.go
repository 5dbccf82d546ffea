package pgconn

import (
	"crypto/md5"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/ebonywood/ebonywood/internal/frame"
)

// startUp sends the start-up message, authenticates, and returns once the server is
// ready for queries.
func (conn *Conn) startUp(user, password, database string) error {
	err := conn.send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": database, "application_name": "ebonywood"},
	})
	if err != nil {
		return err
	}
	for {
		message, err := conn.Next()
		if err != nil {
			return err
		}
		switch message[0] {
		case frame.Authentication:
			err = conn.authenticate(message, user, password)
		case frame.BackendKeyData:
			err = conn.storeCancelKey(message)
		case frame.ErrorResponse:
			err = errors.New(describeError(message))
		case frame.ReadyForQuery:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// storeCancelKey stores the process ID and the secret that a cancel request needs.
func (conn *Conn) storeCancelKey(message []byte) error {
	var key pgproto3.BackendKeyData
	if err := key.Decode(frame.Body(message)); err != nil {
		return err
	}
	conn.pid = key.ProcessID
	conn.secret = append([]byte(nil), key.SecretKey...)
	return nil
}

// authenticate responds to one authentication request of the server.
func (conn *Conn) authenticate(message []byte, user, password string) error {
	body := frame.Body(message)
	if len(body) < 4 {
		return errors.New("the server's authentication request is truncated")
	}
	switch binary.BigEndian.Uint32(body) {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeCleartextPassword:
		return conn.send(&pgproto3.PasswordMessage{Password: password})
	case pgproto3.AuthTypeMD5Password:
		var request pgproto3.AuthenticationMD5Password
		if err := request.Decode(body); err != nil {
			return err
		}
		return conn.send(&pgproto3.PasswordMessage{Password: md5Password(user, password, request.Salt)})
	case pgproto3.AuthTypeSASL:
		return conn.scram(user, password)
	default:
		return errors.New("the server requires an authentication method other than password, md5 or SCRAM-SHA-256")
	}
}

// md5Password computes the response to an MD5 password request.
func md5Password(user, password string, salt [4]byte) string {
	inner := md5.Sum([]byte(password + user))
	outer := md5.Sum(append([]byte(hex.EncodeToString(inner[:])), salt[:]...))
	return "md5" + hex.EncodeToString(outer[:])
}

// scram runs the client side of a SCRAM-SHA-256 exchange.
func (conn *Conn) scram(user, password string) error {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return err
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return err
	}
	if err := conn.send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)}); err != nil {
		return err
	}
	for !conversation.Done() {
		message, err := conn.Next()
		if err != nil {
			return err
		}
		if message[0] != frame.Authentication || len(message) < frame.HeaderSize+4 {
			return errors.New("the server aborted the SCRAM exchange: " + describeError(message))
		}
		step, err := conversation.Step(string(frame.Body(message)[4:]))
		if err != nil {
			return err
		}
		if conversation.Done() {
			return nil
		}
		if err := conn.send(&pgproto3.SASLResponse{Data: []byte(step)}); err != nil {
			return err
		}
	}
	return nil
}
