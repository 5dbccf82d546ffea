package ebonywood

import "time"

// Limit identifies a value that operators may change.
type Limit uint8

// The limits. LimitDefinitions describes each.
const (
	LimitServersPerInstance Limit = iota
	LimitStatementsPerSlot
	LimitWaitShare
	LimitHoldForPrimary
	LimitSampleAge
	LimitIdleConnection
	LimitDefaultTimeout
	LimitConfirmLoss
	LimitConfirmLossAlone
	LimitDutyTTL
	LimitReportTTL
	LimitWatchWait
	LimitRequestLinesPerSecond
	LimitSessionBytes
	LimitSessionMemory
	LimitRateAllocators
	LimitAllocatorTTL
	LimitTokenLife
	LimitClientMemory
	LimitConnectionMemory
	LimitMemoryWait
	LimitStartUpShare
	LimitStartTimeout
	LimitMessageTimeout
	LimitWriteTimeout
	LimitPeerShare
	LimitOperatorConnections
	numLimits
)

// LimitKind is the unit of a limit and the form in which it is written.
type LimitKind uint8

// The kinds of limit.
const (
	// LimitCount is an integer.
	LimitCount LimitKind = iota
	// LimitShare is a fraction between 0 and 1.
	LimitShare
	// LimitDuration is a duration; its values are in milliseconds.
	LimitDuration
)

// LimitDefinition is one row of the table of limits.
type LimitDefinition struct {
	limit            Limit
	name             string
	kind             LimitKind
	defaultValue     float64
	minimum, maximum float64
	description      string
}

// Limit returns the limit that is defined.
func (definition LimitDefinition) Limit() Limit { return definition.limit }

// Name returns the limit's field in the file of limits.
func (definition LimitDefinition) Name() string { return definition.name }

// Kind returns the kind of the value.
func (definition LimitDefinition) Kind() LimitKind { return definition.kind }

// Default returns the value that is used if the file does not name the limit.
func (definition LimitDefinition) Default() float64 { return definition.defaultValue }

// Range returns the minimum and the maximum value that are accepted.
func (definition LimitDefinition) Range() (minimum, maximum float64) {
	return definition.minimum, definition.maximum
}

// Description returns a line of help for operators.
func (definition LimitDefinition) Description() string { return definition.description }

// LimitDefinitions returns the table of limits, in the order of the constants.
func LimitDefinitions() []LimitDefinition {
	return []LimitDefinition{
		{LimitServersPerInstance, "serversPerInstance", LimitCount, 8, 1, 64, "proxies that serve an instance, and at least as many that watch the store; must be the same on all proxies"},
		{LimitStatementsPerSlot, "statementsPerSlot", LimitCount, 4, 1, 32, "statements that all proxies together keep in flight at a member, for each of its slots"},
		{LimitWaitShare, "waitShare", LimitShare, 0.6, 0.05, 1, "share of the route's latency objective for which a statement may wait in this proxy before it is refused"},
		{LimitHoldForPrimary, "holdForPrimary", LimitDuration, 700, 0, 10_000, "how long after the loss of a primary statements wait for a new one"},
		{LimitSampleAge, "sampleAge", LimitDuration, 250, 50, 5_000, "age of the newest sample at which the primary of an instance in use is probed for its position"},
		{LimitIdleConnection, "idleConnection", LimitDuration, 2_000, 100, 60_000, "how long a connection in excess of those kept open may stay idle"},
		{LimitDefaultTimeout, "defaultTimeout", LimitDuration, 1_000, 10, 60_000, "timeout of statements on routes that name none"},
		{LimitConfirmLoss, "confirmLoss", LimitDuration, 100, 0, 10_000, "how long a primary has to be unreachable for the duty's holder, in addition to a majority of reports"},
		{LimitConfirmLossAlone, "confirmLossAlone", LimitDuration, 1_500, 100, 60_000, "the same while the store is unavailable and there are no reports"},
		{LimitDutyTTL, "dutyTTL", LimitDuration, 1_200, 300, 60_000, "time to live of the lease of the duty to promote"},
		{LimitReportTTL, "reportTTL", LimitDuration, 3_600, 300, 60_000, "time to live of the lease of a proxy's report"},
		{LimitWatchWait, "watchWait", LimitDuration, 1_600, 100, 30_000, "how long a watch of the store waits; a change may go unnoticed for that long if the response with it is lost"},
		{LimitRequestLinesPerSecond, "requestLinesPerSecond", LimitCount, 20, 0, 10_000, "log lines about single requests, and as many about refused callers, per second"},
		{LimitSessionBytes, "sessionBytes", LimitCount, 2_097_152, 1_024, 67_108_864, "bytes of settings and prepared statements that one session may hold"},
		{LimitSessionMemory, "sessionMemory", LimitShare, 0.15, 0.01, 0.5, "share of the process's memory that the settings and prepared statements of all sessions may take"},
		{LimitRateAllocators, "rateAllocators", LimitCount, 8, 1, 16, "proxies that each create an equal part of the tokens of workspaces with a rate; must be the same on all proxies"},
		{LimitAllocatorTTL, "allocatorTTL", LimitDuration, 6_000, 1_000, 60_000, "time to live of the lease of an allocator; longer than tokenLife; must be the same on all proxies"},
		{LimitTokenLife, "tokenLife", LimitDuration, 2_000, 500, 30_000, "how long a token may be spent after the request for it; must be the same on all proxies"},
		{LimitClientMemory, "clientMemory", LimitShare, 0.25, 0.05, 0.6, "share of the process's memory that messages of clients and other proxies, before and while they run, and replies not yet taken may hold"},
		{LimitConnectionMemory, "connectionMemory", LimitCount, 67_108_864, 8_388_608, 1_073_741_824, "bytes that one connection may hold of that; at most a quarter of it in any case"},
		{LimitMemoryWait, "memoryWait", LimitDuration, 500, 10, 10_000, "how long a message waits for memory before the connection that holds most and moves least is closed"},
		{LimitStartUpShare, "startUpShare", LimitShare, 0.25, 0.01, 1, "share of the caller connections that may be in start-up; a further one closes the oldest of them"},
		{LimitStartTimeout, "startTimeout", LimitDuration, 10_000, 2_000, 60_000, "how long a caller's start-up may take"},
		{LimitMessageTimeout, "messageTimeout", LimitDuration, 30_000, 10_000, 600_000, "how long a message may take from its first byte to its last"},
		{LimitWriteTimeout, "writeTimeout", LimitDuration, 10_000, 1_000, 600_000, "how long a client may take for each 64 KiB of a reply"},
		{LimitPeerShare, "peerShare", LimitShare, 0.5, 0.05, 1, "connections from other proxies, as a share of the maximum number of caller connections"},
		{LimitOperatorConnections, "operatorConnections", LimitCount, 64, 4, 10_000, "connections to the operators' page, and as many to the readiness probe"},
	}
}

// Limits are the values in force. The zero value holds the defaults.
type Limits struct {
	changed [numLimits]bool
	values  [numLimits]float64
}

// With returns a copy with another value for one limit.
func (limits Limits) With(limit Limit, value float64) Limits {
	limits.changed[limit], limits.values[limit] = true, value
	return limits
}

// value returns the value of a limit, or its default if it was not changed.
func (limits Limits) value(limit Limit) float64 {
	if limits.changed[limit] {
		return limits.values[limit]
	}
	return defaultValues[limit]
}

// defaultValues are the default values by limit.
var defaultValues = func() (values [numLimits]float64) {
	for _, definition := range LimitDefinitions() {
		values[definition.limit] = definition.defaultValue
	}
	return values
}()

// Count returns the value of a limit of kind LimitCount.
func (limits Limits) Count(limit Limit) int { return int(limits.value(limit)) }

// Share returns the value of a limit of kind LimitShare.
func (limits Limits) Share(limit Limit) float64 { return limits.value(limit) }

// Millis returns the value of a limit of kind LimitDuration.
func (limits Limits) Millis(limit Limit) Millis { return Millis(limits.value(limit)) }

// Duration returns the value of a limit of kind LimitDuration for the standard
// library.
func (limits Limits) Duration(limit Limit) time.Duration { return limits.Millis(limit).Duration() }
