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
	numLimits
)

// LimitKind is the unit of a limit and the form in which it is written.
type LimitKind uint8

// The kinds of limit.
const (
	// LimitCount is an integer.
	LimitCount LimitKind = iota
	// LimitShare is a fraction.
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

// Default returns the value that holds if the file does not name the limit.
func (definition LimitDefinition) Default() float64 { return definition.defaultValue }

// Range returns the smallest and the greatest value that is accepted.
func (definition LimitDefinition) Range() (minimum, maximum float64) {
	return definition.minimum, definition.maximum
}

// Description returns a line of help for operators.
func (definition LimitDefinition) Description() string { return definition.description }

// LimitDefinitions returns the table of limits, in the order of the constants.
func LimitDefinitions() []LimitDefinition {
	return []LimitDefinition{
		{LimitServersPerInstance, "serversPerInstance", LimitCount, 8, 1, 64, "proxies that serve an instance, and that watch the store; the same on all proxies"},
		{LimitStatementsPerSlot, "statementsPerSlot", LimitCount, 4, 1, 32, "statements that all proxies together keep under way at a member, for each of its slots"},
		{LimitWaitShare, "waitShare", LimitShare, 0.6, 0.05, 1, "share of a route's promised time that a statement may wait here before it is refused"},
		{LimitHoldForPrimary, "holdForPrimary", LimitDuration, 700, 0, 10_000, "how long statements wait for a primary that was just lost"},
		{LimitSampleAge, "sampleAge", LimitDuration, 250, 50, 5_000, "age at which the primary of an instance in use is asked for its position"},
		{LimitIdleConnection, "idleConnection", LimitDuration, 2_000, 100, 60_000, "how long a connection beyond the kept ones may lie idle"},
		{LimitDefaultTimeout, "defaultTimeout", LimitDuration, 1_000, 10, 60_000, "timeout of statements of routes that name none"},
		{LimitConfirmLoss, "confirmLoss", LimitDuration, 100, 0, 10_000, "how long a primary has to be out of reach of the duty's holder, beside a majority of reports"},
		{LimitConfirmLossAlone, "confirmLossAlone", LimitDuration, 1_500, 100, 60_000, "the same while the store is away and there are no reports"},
		{LimitDutyTTL, "dutyTTL", LimitDuration, 1_200, 300, 60_000, "time to live of the lease of the duty to promote"},
		{LimitReportTTL, "reportTTL", LimitDuration, 2_400, 300, 60_000, "time to live of the lease of a proxy's report"},
		{LimitWatchWait, "watchWait", LimitDuration, 1_600, 100, 30_000, "how long a watch of the store waits; a change may go unseen for that long if its answer is lost"},
		{LimitRequestLinesPerSecond, "requestLinesPerSecond", LimitCount, 20, 0, 10_000, "log lines about single requests"},
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
