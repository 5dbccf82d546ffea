package ebonywood

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

// Decision is a plug-in of pure control logic. The control goroutine is the only
// one to call it, so it needs no locks; it must not block, read a clock or do
// input and output.
type Decision interface {
	// Handle takes one event and returns what is to be done about it.
	Handle(now Millis, event Event) []Action
	// Contribute adds the decision's part to the next snapshot.
	Contribute(draft *Draft)
}

// Edge is a plug-in that talks to the outside.
type Edge interface {
	// Run works until the context ends and returns once all its goroutines have.
	Run(ctx context.Context) error
	// Perform starts an action and reports whether the action was meant for this
	// edge. The control goroutine calls it, so it must not block.
	Perform(action Action) bool
}

// Port is the kernel as an edge sees it.
type Port interface {
	// Post hands an event to the control loop and waits while its channel is
	// full.
	Post(ctx context.Context, event Event) error
	// Snapshot is the control state last published; never nil.
	Snapshot() *Snapshot
	// Await blocks until a snapshot meets the condition, and returns it.
	Await(ctx context.Context, ready func(*Snapshot) bool) (*Snapshot, error)
	// Clock is the process's monotonic clock.
	Clock() Clock
	// Log writes JSON lines.
	Log() logr.Logger
	// Metrics is the root scope of the process's metrics.
	Metrics() tally.Scope
	// Invariants checks what must always hold.
	Invariants() Invariants
	// Levels keeps the account of the routes' service levels.
	ServiceLevels() ServiceLevels
	// Settings are the process's checked settings.
	Settings() Settings
	// Lanes is the target side; nil in a process without a target edge.
	ConnPool() ConnPool
	// Sessions opens sessions; nil in a process without a session edge.
	Sessions() Sessions
	// Dialer opens connections to members; nil in a process without one.
	Dialer() Dialer
	// Relay opens channels to other proxies; nil in a process without one.
	Relay() Relay
	// Mirror is this process's copy of the directory; nil in a process without one.
	Mirror() Mirror
	// Directory is the outside directory; nil in a process without one.
	Directory() Directory
}

// Levels keeps the account of the service levels that routes promise.
type ServiceLevels interface {
	// Record counts one request.
	Record(route string, objective Objective, answered bool, took time.Duration, now Millis)
	// Lines returns the accounts in the form that the report reads, for JSON.
	Report(now Millis) any
}

// Invariants takes note of what must always hold.
type Invariants interface {
	// Check reports a violation when holds is false.
	Check(name string, holds bool, detail string)
}

// Settings are what one process is told at its start. An empty address leaves
// the edge out.
type Settings interface {
	Name() string
	// Incarnation orders the lives of a process: greater in each restart.
	Incarnation() int64
	Zone() string
	CallerAddress() string
	PeerAddress() string
	OperatorAddress() string
	PlatformAddresses() []string
	Seeds() []string
	TargetUser() string
	TargetPassword() string
	CallersFile() string
	CallerTLS() TLSFiles
	PeerTLS() TLSFiles
	StatusPeriod() Millis
	PrimarySilence() Millis
	MaxCallers() int
	DrainLimit() Millis
	// Limits are the figures that operators may change.
	Limits() Limits
	// TickPeriod is how often decisions look at the time.
	TickPeriod() Millis
}

// DecisionFactory builds a decision for a process.
type DecisionFactory func(settings Settings) Decision

// EdgeFactory builds an edge for a process.
type EdgeFactory func(port Port) (Edge, error)

// TLSFiles names the files of one TLS identity. The zero value means no TLS.
type TLSFiles struct {
	certificate string
	key         string
	authority   string
}

// NewTLSFiles names PEM files; authority checks the other side and may be empty.
func NewTLSFiles(certificate, key, authority string) TLSFiles {
	return TLSFiles{certificate: certificate, key: key, authority: authority}
}

// Certificate is the file of the certificate chain.
func (files TLSFiles) Certificate() string { return files.certificate }

// Key is the file of the private key.
func (files TLSFiles) Key() string { return files.key }

// Authority is the file of the certificates that the other side must show.
func (files TLSFiles) Authority() string { return files.authority }
