package ebonywood

import "github.com/cockroachdb/errors"

// Kind classifies an error by what its receiver may conclude from it.
type FaultKind uint8

// The kinds of fault.
const (
	// KindInternal is a defect of the proxy itself.
	KindInternal FaultKind = iota
	// KindBadInput is a setting, object or message that can't be accepted.
	KindBadInput
	// KindNotRun proves that the request was not run: it was never sent, or the
	// target refused it before running it.
	KindNotRun
	// KindUnknown means that the request may or may not have been run.
	KindUnknown
	// KindStale means that no member could prove the age that the policy states.
	KindStale
	// KindOverload is a refusal before queueing: the predicted wait passes the
	// deadline. The request was not run.
	KindOverload
	// KindConflict is a compare-and-swap that another publisher won.
	KindConflict
	// KindUnavailable is an outside service that does not answer.
	KindUnavailable
	// KindDenied is a caller that could not prove who it is.
	KindDenied
)

// SQLSTATE codes that the proxy itself issues.
const (
	stateInternal    = "XX000"
	stateBadInput    = "22023"
	stateNotRun      = "08006"
	stateUnknown     = "08007"
	stateStale       = "72000"
	stateOverload    = "53400"
	stateConflict    = "40001"
	stateUnavailable = "08001"
	stateDenied      = "28P01"
)

// SQLState is the code that a caller receives for the kind.
func (kind FaultKind) SQLState() string {
	switch kind {
	case KindBadInput:
		return stateBadInput
	case KindNotRun:
		return stateNotRun
	case KindUnknown:
		return stateUnknown
	case KindStale:
		return stateStale
	case KindOverload:
		return stateOverload
	case KindConflict:
		return stateConflict
	case KindUnavailable:
		return stateUnavailable
	case KindDenied:
		return stateDenied
	default:
		return stateInternal
	}
}

// String names the kind as logs and metrics do.
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
	default:
		return "internal"
	}
}

// Fault is an error of a known kind. Its message states the fact, its remedy
// what the receiver can do.
type Fault struct {
	kind    FaultKind
	message string
	remedy  string
}

// NewFault makes a fault.
func NewFault(kind FaultKind, message, remedy string) *Fault {
	return &Fault{kind: kind, message: message, remedy: remedy}
}

// Kind classifies the fault.
func (fault *Fault) Kind() FaultKind { return fault.kind }

// Message states the fact.
func (fault *Fault) Message() string { return fault.message }

// Remedy says what the receiver can do.
func (fault *Fault) Remedy() string { return fault.remedy }

// Error joins the message and the remedy.
func (fault *Fault) Error() string {
	return fault.message + "; " + fault.remedy
}

// FaultOf finds the fault in a chain of errors. An error without one is
// reported as internal, since nobody vouched for what it means.
func FaultOf(err error) *Fault {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault
	}
	return NewFault(KindInternal, err.Error(), "report this with the log of the proxy")
}
