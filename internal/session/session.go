// Package session decides what a caller's session must be shown.
//
// A session keeps nothing but its floor, so a proxy that dies takes no state with
// it: whoever serves the caller next sets a floor that covers all that any
// proxy acknowledged or showed before. Replicating sessions between proxies was
// weighed and left: it would cost a message for each write, and a proxy that is
// cut off could still not be asked.
package session

import (
	"github.com/ebonywood/ebonywood"
)

// Session is the state of one caller. The zero value has seen nothing.
type Session struct {
	floor ebonywood.Floor
}

// Attach begins a session, or goes on with one that another proxy served. token
// is what the caller presented, or zero. Whatever it was shown before now is
// covered by a status round that begins now or later.
func (session *Session) Attach(token ebonywood.Position, now ebonywood.Millis) {
	session.floor = ebonywood.NewFloor(token, now, "")
}

// Floor is the least state that the session may be shown.
func (session *Session) Floor() ebonywood.Floor { return session.floor }

// Showed raises the floor once a replica's answer is there: what it showed must
// not be taken back by a later read. The moment is that of the answer, since the
// replica may have moved on while the request was under way.
func (session *Session) Showed(member ebonywood.MemberID, now ebonywood.Millis) {
	session.floor = ebonywood.NewFloor(session.floor.Position(), now, member)
}

// Answered raises the floor to a position that covers what a primary committed
// or showed. A zero position changes nothing.
func (session *Session) Answered(at ebonywood.Position) {
	session.floor = ebonywood.NewFloor(session.floor.Position().Max(at), session.floor.Since(), session.floor.LastMember())
}

// Doubted takes the floor anew after a request whose outcome is unknown.
func (session *Session) Doubted(now ebonywood.Millis) {
	session.floor = ebonywood.NewFloor(session.floor.Position(), now, "")
}
