package ebonywood

import "time"

// Limit names a figure that operators may change.
type Limit uint8

// The limits.
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
	limitCount
)

// LimitKind says how a limit is written.
type LimitKind uint8

// The kinds of limit.
const (
	// LimitCount is a whole number.
	LimitCount LimitKind = iota
	// LimitShare is a fraction.
	LimitShare
	// LimitSpan is a span of time; its figures are in milliseconds.
	LimitDuration
)

// LimitDefinition is one line of the table of limits.
type LimitDefinition struct {
	limit           Limit
	name            string
	kind            LimitKind
	preset          float64
	least, greatest float64
	meaning         string
}

// Limit is the limit that is defined.
func (definition LimitDefinition) Limit() Limit { return definition.limit }

// Name is the limit's field in the file.
func (definition LimitDefinition) Name() string { return definition.name }

// Kind says how the limit is written.
func (definition LimitDefinition) Kind() LimitKind { return definition.kind }

// Preset is what holds if the file does not name the limit.
func (definition LimitDefinition) Default() float64 { return definition.preset }

// Range is from the least to the greatest figure that is accepted.
func (definition LimitDefinition) Range() (least, greatest float64) {
	return definition.least, definition.greatest
}

// Meaning is a line for operators.
func (definition LimitDefinition) Description() string { return definition.meaning }

// LimitDefinitions is the table of limits, in the order of the constants.
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

// Limits are the figures in force. The zero value holds the presets.
type Limits struct {
	changed [limitCount]bool
	values  [limitCount]float64
}

// With returns the limits with another figure for one of them.
func (limits Limits) With(limit Limit, value float64) Limits {
	limits.changed[limit], limits.values[limit] = true, value
	return limits
}

// value is the figure of a limit.
func (limits Limits) value(limit Limit) float64 {
	if limits.changed[limit] {
		return limits.values[limit]
	}
	return presets[limit]
}

// presets are the figures of the table, by limit.
var presets = func() (values [limitCount]float64) {
	for _, definition := range LimitDefinitions() {
		values[definition.limit] = definition.preset
	}
	return values
}()

// Count is the figure of a limit of LimitCount.
func (limits Limits) Count(limit Limit) int { return int(limits.value(limit)) }

// Share is the figure of a limit of LimitShare.
func (limits Limits) Share(limit Limit) float64 { return limits.value(limit) }

// Millis is the figure of a limit of LimitSpan.
func (limits Limits) Millis(limit Limit) Millis { return Millis(limits.value(limit)) }

// Span is the figure of a limit of LimitSpan for the standard library.
func (limits Limits) Duration(limit Limit) time.Duration { return limits.Millis(limit).Duration() }
