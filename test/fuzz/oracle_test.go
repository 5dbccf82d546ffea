package fuzz

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// oracle is what callers were told, and nothing else.
type oracle struct {
	fail   func(format string, arguments ...any)
	writes map[string]*write
	seen   map[[2]string][]string
	acks   int
	reads  int
}

// write is one value and what its caller was told of it.
type write struct {
	caller, key string
	told        string
	at          ebonywood.Millis
}

func (oracle *oracle) begin(caller, key, value string) {
	if oracle.writes == nil {
		oracle.writes = map[string]*write{}
		oracle.seen = map[[2]string][]string{}
	}
	oracle.writes[value] = &write{caller: caller, key: key}
}

func (oracle *oracle) acknowledge(_, _, value string, now ebonywood.Millis) {
	oracle.acks++
	oracle.writes[value].told, oracle.writes[value].at = "acknowledged", now
}

func (oracle *oracle) notRun(value string) { oracle.writes[value].told = "notRun" }

func (oracle *oracle) unknown(value string) { oracle.writes[value].told = "unknown" }

// read checks an answer: no value twice, none that was called not run, all that
// the caller wrote or saw before, and all that anybody had acknowledged at
// freshAt.
func (oracle *oracle) read(caller, key string, values []string, started, freshAt ebonywood.Millis) {
	oracle.reads++
	oracle.checkOnce(key, values)
	for value, write := range oracle.writes {
		if write.key != key || write.told != "acknowledged" || slices.Contains(values, value) {
			continue
		}
		if write.caller == caller && write.at <= started {
			oracle.fail("readYourWrites: %s does not see its own %s in %v", caller, value, values)
		}
		if write.at <= freshAt {
			oracle.fail("freshness: %s does not see %s, acknowledged at %d, needed from %d", caller, value, write.at, freshAt)
		}
	}
	for _, value := range oracle.seen[[2]string{caller, key}] {
		if !slices.Contains(values, value) {
			oracle.fail("monotonicReads: %s saw %s before and does not now: %v", caller, value, values)
		}
	}
	if oracle.seen != nil {
		oracle.seen[[2]string{caller, key}] = values
	}
}

func (oracle *oracle) checkOnce(key string, values []string) {
	count := map[string]int{}
	for _, value := range values {
		count[value]++
		if count[value] > 1 {
			oracle.fail("atMostOnce: %s stands twice under %s", value, key)
		}
		if oracle.writes[value].told == "notRun" {
			oracle.fail("notRun: %s was called not run and stands under %s", value, key)
		}
	}
}

// final checks the log that is left in the end.
func (oracle *oracle) final(lookup func(key string) []string) {
	for value, write := range oracle.writes {
		values := lookup(write.key)
		oracle.checkOnce(write.key, values)
		if write.told == "acknowledged" && !slices.Contains(values, value) {
			oracle.fail("acknowledgedLost: %s was acknowledged and is gone", value)
		}
	}
}
