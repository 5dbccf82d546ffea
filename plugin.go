package ebonywood

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

// Decision is a plug-in of pure control logic. It is called by the control
// goroutine only, so it needs no locks; it must not block, read a clock or perform
// I/O.
type Decision interface {
	// Handle processes one event and returns the actions that follow from it.
	Handle(now Millis, event Event) []Action
	// Contribute adds the decision's part to the next snapshot.
	Contribute(draft *Draft)
}

// Edge is a plug-in that communicates with other processes.
type Edge interface {
	// Run works until the context ends, and returns once all goroutines of the edge
	// have.
	Run(ctx context.Context) error
	// Perform starts an action and reports whether the action is for this edge. The
	// control goroutine calls it, so it must not block.
	Perform(action Action) bool
}

// Port is the kernel's interface for edges.
type Port interface {
	// Post queues an event for the control loop and blocks while the queue is full. It
	// returns the context's error if that ends first.
	Post(ctx context.Context, event Event) error
	// Snapshot returns the control state last published; never nil.
	Snapshot() *Snapshot
	// Await blocks until a snapshot meets the condition, and returns it. It returns
	// the context's error if that ends first.
	Await(ctx context.Context, ready func(*Snapshot) bool) (*Snapshot, error)
	// Clock returns the process's monotonic clock.
	Clock() Clock
	// Log returns the logger, which writes JSON lines.
	Log() logr.Logger
	// Metrics returns the root scope of the process's metrics.
	Metrics() tally.Scope
	// Invariants returns the checker of runtime invariants.
	Invariants() Invariants
	// ServiceLevels returns the record of the routes' service levels.
	ServiceLevels() ServiceLevels
	// Settings returns the process's checked settings.
	Settings() Settings
	// ConnPool returns the pool of target connections; nil in a process without a
	// target edge.
	ConnPool() ConnPool
	// Sessions returns what opens sessions; nil in a process without a session
	// edge.
	Sessions() Sessions
	// Dialer returns what opens connections to members; nil in a process without
	// one.
	Dialer() Dialer
	// Relay returns what opens connections to other proxies; nil in a process
	// without one.
	Relay() Relay
	// Mirror returns this process's copy of the directory; nil in a process without
	// one.
	Mirror() Mirror
	// Directory returns the external directory; nil in a process without one.
	Directory() Directory
	// RateLimiter returns what applies the limits of workspaces; nil in a process
	// without one.
	RateLimiter() RateLimiter
	// TokenAllocator returns what deals tokens to other proxies; nil in a process
	// without one.
	TokenAllocator() TokenAllocator
}

// ServiceLevels records how well the service levels of the routes are met.
type ServiceLevels interface {
	// Record counts one request. It meets the objective if it succeeded within the
	// objective's latency.
	Record(route string, objective Objective, succeeded bool, latency time.Duration, now Millis)
	// Report returns the counts of all routes in the form that the report command
	// reads, for encoding as JSON.
	Report(now Millis) any
}

// Invariants checks conditions that must always hold.
type Invariants interface {
	// Check reports a violation when holds is false.
	Check(name string, holds bool, detail string)
}

// Settings are the settings that one process reads at its start. An empty address
// disables the edge that would listen there.
type Settings interface {
	// Name returns the proxy's name, which is unique among all proxies.
	Name() string
	// Incarnation orders the runs of a process: it is greater after each restart.
	Incarnation() int64
	// Zone returns the proxy's availability zone.
	Zone() string
	// CallerAddress returns the address to which callers connect.
	CallerAddress() string
	// PeerAddress returns the address to which other proxies connect.
	PeerAddress() string
	// OperatorAddress returns the address that serves health, metrics and reports
	// over HTTP.
	OperatorAddress() string
	// PlatformAddresses returns the addresses of the platform's key-value service.
	PlatformAddresses() []string
	// Seeds returns the peer addresses of the proxies to join first.
	Seeds() []string
	// TargetUser returns the database user that runs callers' statements.
	TargetUser() string
	// TargetPassword returns the password of the database users.
	TargetPassword() string
	// CallersFile returns the file of the callers' SCRAM verifiers; empty accepts
	// callers without authentication.
	CallersFile() string
	// CallerTLS returns the TLS identity presented to callers.
	CallerTLS() TLSFiles
	// PeerTLS returns the TLS identity presented to other proxies.
	PeerTLS() TLSFiles
	// StatusPeriod returns the time between two status rounds.
	StatusPeriod() Millis
	// PrimarySilenceTimeout returns how long a primary may leave queries without a
	// reply before it is replaced.
	PrimarySilenceTimeout() Millis
	// MaxCallers returns how many callers may be connected.
	MaxCallers() int
	// DrainLimit returns the time limit of a graceful shutdown; 0 waits for every
	// caller's transaction.
	DrainLimit() Millis
	// Limits returns the values that operators may change.
	Limits() Limits
	// TickPeriod returns the time between two Tick events.
	TickPeriod() Millis
}

// DecisionFactory builds a decision for a process.
type DecisionFactory func(settings Settings) Decision

// EdgeFactory builds an edge for a process.
type EdgeFactory func(port Port) (Edge, error)

// TLSFiles names the files of one TLS identity. The zero value disables TLS.
type TLSFiles struct {
	certificate string
	key         string
	authority   string
}

// NewTLSFiles returns the names of PEM files. authority, which verifies the other
// side, may be empty.
func NewTLSFiles(certificate, key, authority string) TLSFiles {
	return TLSFiles{certificate: certificate, key: key, authority: authority}
}

// Certificate returns the file of the certificate chain.
func (files TLSFiles) Certificate() string { return files.certificate }

// Key returns the file of the private key.
func (files TLSFiles) Key() string { return files.key }

// Authority returns the file of the CA certificates that verify the other side.
func (files TLSFiles) Authority() string { return files.authority }
