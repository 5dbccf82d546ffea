package ebonywood

// LoadCandidate is a member that can run a statement, as one process knows it: its own
// statements in flight and the times of its own statements are current, what other processes
// have in flight is an old report or unknown.
type LoadCandidate struct {
	ownInFlight int
	fixedMs     float64
	avoidedMs   float64
	delayMs     float64
	delayAge    Millis
	timeMs      float64
	timeAge     Millis
	reported    int
	reportAge   Millis
	slots       int
}

// NewLoadCandidate returns a candidate with the number of this process's statements in flight
// there. fixedMs is the part of its cost that does not depend on load, in ms.
func NewLoadCandidate(ownInFlight int, fixedMs float64) LoadCandidate {
	return LoadCandidate{ownInFlight: ownInFlight, fixedMs: fixedMs, reportAge: -1}
}

// WithFixedCost returns a copy with a further cost, in ms, that does not depend on load.
func (candidate LoadCandidate) WithFixedCost(costMs float64) LoadCandidate {
	candidate.fixedMs += costMs
	return candidate
}

// WithAvoidedCost returns a copy with a further cost, in ms, that other candidates may not have:
// that of a connection that has to be opened, or of a member that reads have left. The candidate
// is taken only if it is expected to be faster than all candidates without such a cost.
func (candidate LoadCandidate) WithAvoidedCost(costMs float64) LoadCandidate {
	candidate.avoidedMs += costMs
	return candidate
}

// WithDelay returns a copy with the moving average of how much longer than expected this
// process's statements took there, in ms, and the age of its last update.
func (candidate LoadCandidate) WithDelay(delayMs float64, age Millis) LoadCandidate {
	candidate.delayMs, candidate.delayAge = delayMs, age
	return candidate
}

// WithTime returns a copy with the moving average of the time that this process's statements
// took there, in ms, and the age of its last update. Zero means that there were none.
func (candidate LoadCandidate) WithTime(timeMs float64, age Millis) LoadCandidate {
	candidate.timeMs, candidate.timeAge = timeMs, age
	return candidate
}

// WithReport returns a copy with the number of all processes' statements in flight there, as
// reported when the report had the given age, and the number of slots.
func (candidate LoadCandidate) WithReport(inFlight int, age Millis, slots int) LoadCandidate {
	candidate.reported, candidate.reportAge, candidate.slots = inFlight, age, slots
	return candidate
}

// OwnInFlight returns the number of this process's statements in flight.
func (candidate LoadCandidate) OwnInFlight() int { return candidate.ownInFlight }

// FixedMs returns the part of the cost that does not depend on load, in ms.
func (candidate LoadCandidate) FixedMs() float64 { return candidate.fixedMs }

// AvoidedMs returns the sum of the costs of WithAvoidedCost, in ms.
func (candidate LoadCandidate) AvoidedMs() float64 { return candidate.avoidedMs }

// DelayMs returns the average excess time of this process's statements, in ms.
func (candidate LoadCandidate) DelayMs() float64 { return candidate.delayMs }

// DelayAge returns the age of DelayMs.
func (candidate LoadCandidate) DelayAge() Millis { return candidate.delayAge }

// TimeMs returns the average time of this process's statements, in ms, 0 if unknown.
func (candidate LoadCandidate) TimeMs() float64 { return candidate.timeMs }

// TimeAge returns the age of TimeMs.
func (candidate LoadCandidate) TimeAge() Millis { return candidate.timeAge }

// Reported returns the reported number of statements in flight of all processes.
func (candidate LoadCandidate) Reported() int { return candidate.reported }

// ReportAge returns the age of Reported, -1 without a report.
func (candidate LoadCandidate) ReportAge() Millis { return candidate.reportAge }

// Slots returns how many statements the candidate runs at a time.
func (candidate LoadCandidate) Slots() int { return candidate.slots }

// LoadBalancer chooses among candidates that can run the same statement.
type LoadBalancer interface {
	// Name returns the name of the method.
	Name() string
	// Choose returns the index of a candidate. There is at least one. random is uniformly
	// distributed.
	Choose(candidates []LoadCandidate, random uint64) int
}
