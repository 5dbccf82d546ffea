package ebonywood

import "context"

// InstanceID names one primary with its replicas: "group/instance".
type InstanceID string

// MemberID names one member of an instance: "group/instance/member".
type MemberID string

// Role is what a member says it is.
type Role uint8

// The roles of a member.
const (
	// RoleReplica applies the log of a primary and refuses writes.
	RoleReplica Role = iota
	// RolePrimary accepts writes in the term that it was promoted at.
	RolePrimary
	// RoleFormer is a primary that was fenced and has not followed another since:
	// its reads may show records that no majority holds.
	RoleFormerPrimary
)

// String is the form of the platform's status function.
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

// Status is a member's own account of itself at one moment.
type Status struct {
	role        Role
	fenced      Term
	logEnd      Position
	applied     Position
	upstreamAge Millis
}

// NewStatus makes a status. fenced is the highest term that the member obeys,
// logEnd the end of what it has stored, applied the end of what its reads see,
// and upstreamAge the time since it last heard from a primary.
func NewStatus(role Role, fenced Term, logEnd, applied Position, upstreamAge Millis) Status {
	return Status{role: role, fenced: fenced, logEnd: logEnd, applied: applied, upstreamAge: upstreamAge}
}

// Role is the member's role.
func (status Status) Role() Role { return status.role }

// Fenced is the highest term that the member obeys.
func (status Status) FencedTerm() Term { return status.fenced }

// LogEnd is the end of the stored log.
func (status Status) LogEnd() Position { return status.logEnd }

// Applied is the end of what reads on the member see.
func (status Status) Applied() Position { return status.applied }

// UpstreamAge is the time since the member last heard from a primary.
func (status Status) UpstreamAge() Millis { return status.upstreamAge }

// Majority is how many of n members make a majority.
func Majority(n int) int { return n/2 + 1 }

// Control asks one member for what the platform's SQL functions offer. Every
// call may fail with a fault of KindUnavailable, after which the call may or may
// not have taken effect; each is idempotent.
type Control interface {
	// Status reads the member's account of itself.
	Status(ctx context.Context) (Status, error)
	// Fence makes the member refuse writes, replication and confirmations of
	// terms below term. A refusal is a fault of KindConflict.
	Fence(ctx context.Context, term Term) (Status, error)
	// Promote makes a member that was fenced at term the primary of term.
	Promote(ctx context.Context, term Term) (Status, error)
	// Confirm waits until the member has stored the log up to floor while it
	// obeys no higher term than floor's.
	Confirm(ctx context.Context, floor Position) (Status, error)
	// Close frees the connection.
	Close()
}
