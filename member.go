package ebonywood

import "context"

// InstanceID identifies one primary with its replicas: "group/instance".
type InstanceID string

// MemberID identifies one member of an instance: "group/instance/member".
type MemberID string

// Role is the role that a member reports.
type Role uint8

// The roles of a member.
const (
	// RoleReplica applies the log of a primary and refuses writes.
	RoleReplica Role = iota
	// RolePrimary accepts writes in the term that it was promoted at.
	RolePrimary
	// RoleFormerPrimary is a primary that was fenced and has not followed another
	// since: its reads may return records that no majority holds.
	RoleFormerPrimary
)

// String returns the name that the platform's status function uses.
func (role Role) String() string {
	switch role {
	case RolePrimary:
		return "primary"
	case RoleFormerPrimary:
		return "former"
	default:
		return "replica"
	}
}

// Status is a member's report of its own state at one moment.
type Status struct {
	role        Role
	fencedTerm  Term
	logEnd      Position
	applied     Position
	upstreamAge Millis
}

// NewStatus returns a status. fencedTerm is the highest term that the member obeys,
// logEnd the end of its stored log, applied the end of what its reads see, and
// upstreamAge the time since it last received anything from a primary.
func NewStatus(role Role, fencedTerm Term, logEnd, applied Position, upstreamAge Millis) Status {
	return Status{role: role, fencedTerm: fencedTerm, logEnd: logEnd, applied: applied, upstreamAge: upstreamAge}
}

// Role returns the member's role.
func (status Status) Role() Role { return status.role }

// FencedTerm returns the highest term that the member obeys.
func (status Status) FencedTerm() Term { return status.fencedTerm }

// LogEnd returns the end of the stored log.
func (status Status) LogEnd() Position { return status.logEnd }

// Applied returns the end of what reads on the member see.
func (status Status) Applied() Position { return status.applied }

// UpstreamAge returns the time since the member last received anything from a
// primary.
func (status Status) UpstreamAge() Millis { return status.upstreamAge }

// Majority returns how many of n members make a majority.
func Majority(n int) int { return n/2 + 1 }

// Control calls the platform's SQL functions on one member. Every call may fail
// with a fault of KindUnavailable, after which it may or may not have taken effect;
// each is idempotent.
type Control interface {
	// Status reads the member's status.
	Status(ctx context.Context) (Status, error)
	// Fence makes the member refuse writes, replication and confirmations of terms
	// below term. A refusal is a fault of KindConflict.
	Fence(ctx context.Context, term Term) (Status, error)
	// Promote makes a member that was fenced at term the primary of term.
	Promote(ctx context.Context, term Term) (Status, error)
	// Confirm waits until the member has stored the log up to floor while it obeys
	// no higher term than floor's.
	Confirm(ctx context.Context, floor Position) (Status, error)
	// Close closes the connection.
	Close()
}
