package fuzz

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// oracle checks the results that callers received against the guarantees of the
// proxy. It sees these results alone, no state of members or proxies, until
// checkFinal compares them with the last primary's log.
type oracle struct {
	failf func(format string, arguments ...any)
	// writes holds every write by its value, which is unique.
	writes map[string]*write
	// lastReads holds the last values read, by caller and key.
	lastReads map[[2]string][]string
	// acks and reads count the completed operations.
	acks  int
	reads int
}

// write is the write of one value, with the outcome reported to its caller.
type write struct {
	caller, key string
	// outcome is empty until the caller receives a result.
	outcome        string
	acknowledgedAt ebonywood.Millis
}

func (oracle *oracle) recordStarted(caller, key, value string) {
	if oracle.writes == nil {
		oracle.writes = map[string]*write{}
		oracle.lastReads = map[[2]string][]string{}
	}
	oracle.writes[value] = &write{caller: caller, key: key}
}

func (oracle *oracle) recordAcknowledged(_, _, value string, now ebonywood.Millis) {
	oracle.acks++
	oracle.writes[value].outcome, oracle.writes[value].acknowledgedAt = "acknowledged", now
}

func (oracle *oracle) recordNotRun(value string) { oracle.writes[value].outcome = "notRun" }

func (oracle *oracle) recordUnknown(value string) { oracle.writes[value].outcome = "unknown" }

// checkRead checks the values that a read returned. No value may occur twice or
// have been reported as not run. All values that the caller saw in its last read
// of the key must be present, all of its own writes acknowledged before the read
// started, and the writes of all callers acknowledged by asOf.
func (oracle *oracle) checkRead(caller, key string, values []string, started, asOf ebonywood.Millis) {
	oracle.reads++
	oracle.checkValues(key, values)
	for value, write := range oracle.writes {
		if write.key != key || write.outcome != "acknowledged" || slices.Contains(values, value) {
			continue
		}
		if write.caller == caller && write.acknowledgedAt <= started {
			oracle.failf("readYourWrites: %s does not see its own %s in %v", caller, value, values)
		}
		if write.acknowledgedAt <= asOf {
			oracle.failf("freshness: %s does not see %s, acknowledged at %d, in a read as of %d", caller, value, write.acknowledgedAt, asOf)
		}
	}
	for _, value := range oracle.lastReads[[2]string{caller, key}] {
		if !slices.Contains(values, value) {
			oracle.failf("monotonicReads: %s saw %s before and does not now: %v", caller, value, values)
		}
	}
	if oracle.lastReads != nil {
		oracle.lastReads[[2]string{caller, key}] = values
	}
}

// checkValues reports values that occur twice, and values reported as not run.
func (oracle *oracle) checkValues(key string, values []string) {
	count := map[string]int{}
	for _, value := range values {
		count[value]++
		if count[value] > 1 {
			oracle.failf("atMostOnce: %s is stored twice under %s", value, key)
		}
		if oracle.writes[value].outcome == "notRun" {
			oracle.failf("notRun: %s was reported as not run but is stored under %s", value, key)
		}
	}
}

// checkFinal checks the outcomes against the values stored at the end.
func (oracle *oracle) checkFinal(lookup func(key string) []string) {
	for value, write := range oracle.writes {
		values := lookup(write.key)
		oracle.checkValues(write.key, values)
		if write.outcome == "acknowledged" && !slices.Contains(values, value) {
			oracle.failf("acknowledgedLost: %s was acknowledged but is not stored", value)
		}
	}
}
