package ebonywood

import "github.com/cockroachdb/errors"

// FaultKind classifies an error by what its receiver may conclude from it.
type FaultKind uint8

// The kinds of fault.
const (
	// KindInternal is a defect of the proxy itself.
	KindInternal FaultKind = iota
	// KindBadInput is an invalid setting, object or message.
	KindBadInput
	// KindNotRun proves that the request was not run: it was never sent, or the
	// target refused it before running it.
	KindNotRun
	// KindUnknown means that the request may or may not have been run.
	KindUnknown
	// KindStale means that no member could prove the age that the policy requires.
	// From a LeaseStore it means that the lease has expired or that the history is
	// no longer kept.
	KindStale
	// KindOverload is a refusal for lack of capacity, usually before queueing: the
	// predicted wait exceeds the deadline, or no connection, slot or primary is
	// available. The request was not run.
	KindOverload
	// KindConflict is a compare-and-swap that another writer won, or an order that
	// was refused.
	KindConflict
	// KindUnavailable is an external service that does not respond.
	KindUnavailable
	// KindDenied is a failed authentication. From a Dialer it means that another
	// member than the expected one responded.
	KindDenied
	// KindForbidden is an authenticated caller that may not use the route.
	KindForbidden
	// KindTooLarge is a message beyond what one connection may hold. It was not run.
	KindTooLarge
	// KindNoMemory is a message for which the process has no memory. It was not run.
	KindNoMemory
)

// SQLSTATE codes that the proxy itself issues.
const (
	sqlStateInternal    = "XX000"
	sqlStateBadInput    = "22023"
	sqlStateNotRun      = "08006"
	sqlStateUnknown     = "08007"
	sqlStateStale       = "72000"
	sqlStateOverload    = "53400"
	sqlStateConflict    = "40001"
	sqlStateUnavailable = "08001"
	sqlStateDenied      = "28P01"
	sqlStateForbidden   = "28000"
	sqlStateTooLarge    = "54000"
	sqlStateNoMemory    = "53200"
)

// SQLState returns the SQLSTATE code that a caller receives for the kind.
func (kind FaultKind) SQLState() string {
	switch kind {
	case KindBadInput:
		return sqlStateBadInput
	case KindNotRun:
		return sqlStateNotRun
	case KindUnknown:
		return sqlStateUnknown
	case KindStale:
		return sqlStateStale
	case KindOverload:
		return sqlStateOverload
	case KindConflict:
		return sqlStateConflict
	case KindUnavailable:
		return sqlStateUnavailable
	case KindDenied:
		return sqlStateDenied
	case KindForbidden:
		return sqlStateForbidden
	case KindTooLarge:
		return sqlStateTooLarge
	case KindNoMemory:
		return sqlStateNoMemory
	default:
		return sqlStateInternal
	}
}

// String returns the name used in logs and metrics.
func (kind FaultKind) String() string {
	switch kind {
	case KindBadInput:
		return "badInput"
	case KindNotRun:
		return "notRun"
	case KindUnknown:
		return "outcomeUnknown"
	case KindStale:
		return "stale"
	case KindOverload:
		return "overload"
	case KindConflict:
		return "conflict"
	case KindUnavailable:
		return "unavailable"
	case KindDenied:
		return "denied"
	case KindForbidden:
		return "forbidden"
	case KindTooLarge:
		return "tooLarge"
	case KindNoMemory:
		return "noMemory"
	default:
		return "internal"
	}
}

// Fault is an error with a kind. Its message states what happened, its remedy
// what the receiver can do.
type Fault struct {
	kind    FaultKind
	message string
	remedy  string
}

// NewFault returns a fault.
func NewFault(kind FaultKind, message, remedy string) *Fault {
	return &Fault{kind: kind, message: message, remedy: remedy}
}

// Kind returns the kind of the fault.
func (fault *Fault) Kind() FaultKind { return fault.kind }

// Message states what happened.
func (fault *Fault) Message() string { return fault.message }

// Remedy states what the receiver can do.
func (fault *Fault) Remedy() string { return fault.remedy }

// Error returns the message and the remedy.
func (fault *Fault) Error() string {
	return fault.message + "; " + fault.remedy
}

// FaultOf finds the fault in a chain of errors. An error without one is reported as
// KindInternal, since nothing can be concluded from it.
func FaultOf(err error) *Fault {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault
	}
	return NewFault(KindInternal, err.Error(), "report this with the log of the proxy")
}
