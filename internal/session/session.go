// Package session decides the minimum state that the reads of a caller's session must
// observe.
//
// The only state of a session is its floor, so no state is lost when a proxy fails: the
// proxy that serves the caller next sets a floor that covers every write that any proxy
// acknowledged and all data that any proxy returned before. Replicating sessions
// between proxies was rejected: it would cost a message for each write, and a proxy
// that is cut off could still not be queried.
package session

import (
	"github.com/ebonywood/ebonywood"
)

// Session tracks the floor of one caller's session. The zero value has an empty floor.
type Session struct {
	floor ebonywood.Floor
}

// Attach starts a session, or resumes one that another proxy served. token is the
// position that the caller presented, or zero. All data returned to the caller before
// now is covered by a status round that starts now or later.
func (session *Session) Attach(token ebonywood.Position, now ebonywood.Millis) {
	session.floor = ebonywood.NewFloor(token, now, "")
}

// Floor returns the minimum state that the session's next read must observe.
func (session *Session) Floor() ebonywood.Floor { return session.floor }

// RecordReplicaRead raises the floor after a replica replied to a read, so that a later
// read doesn't return older data. now is the time of the reply, not of the request,
// since the replica may have applied records while the request was in flight.
func (session *Session) RecordReplicaRead(member ebonywood.MemberID, now ebonywood.Millis) {
	session.floor = ebonywood.NewFloor(session.floor.Position(), now, member)
}

// RecordPosition raises the floor to a position that covers what a primary committed or
// returned. A zero position changes nothing.
func (session *Session) RecordPosition(position ebonywood.Position) {
	session.floor = ebonywood.NewFloor(session.floor.Position().Max(position), session.floor.Since(), session.floor.LastMember())
}

// RecordUnknownOutcome resets the time of the floor to now, and its last member to
// none, after a request whose outcome is unknown.
func (session *Session) RecordUnknownOutcome(now ebonywood.Millis) {
	session.floor = ebonywood.NewFloor(session.floor.Position(), now, "")
}
