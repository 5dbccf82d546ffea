// Package explain finds in the logs of several proxies what was decided about one
// request, and what the deciding proxy believed at that time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// lineLimit bounds one line of a log, in bytes.
	lineLimit = 1 << 20
	// before and after bound the beliefs that are shown beside a decision, in ms.
	before int64 = 5000
	after  int64 = 500
)

// beliefs are the messages that tell what a proxy believes, by the events that
// docs/OPERATIONS.md lists.
var beliefs = map[string]bool{
	"primary": true, "term": true, "primaryLost": true, "reach": true, "suspects": true, "changeBegins": true,
	"promote": true, "promoteEnded": true, "duty": true, "directory": true, "isolated": true,
	"object set in force": true, "configuration refused": true, "member ignored": true, "history gone": true,
	"lease lost": true, "start": true, "stop": true, "leaving": true, "left": true, "reload": true,
}

// entry is one line of a log; the fields that are not named here stay in raw.
type entry struct {
	Time     int64  `json:"time"`
	Proxy    string `json:"proxy"`
	Message  string `json:"message"`
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Member   string `json:"member"`
	raw      string
}

// Logs are the lines of several files. The zero value is empty.
type Logs struct {
	entries []entry
	skipped int
}

// Add reads a log. What stands before a line's JSON, such as a collector's own
// time, is passed over; lines without JSON are counted.
func (logs *Logs) Add(source io.Reader) error {
	lines := bufio.NewScanner(source)
	lines.Buffer(nil, lineLimit)
	for lines.Scan() {
		text := lines.Bytes()
		start := bytes.IndexByte(text, '{')
		var each entry
		if start < 0 || json.Unmarshal(text[start:], &each) != nil || each.Message == "" {
			logs.skipped++
			continue
		}
		each.raw = string(text[start:])
		logs.entries = append(logs.entries, each)
	}
	return lines.Err()
}

// Print writes the decisions about the request in order of time, each with what
// its proxy had come to believe shortly before. It reports whether there are any.
func (logs *Logs) Print(target io.Writer, id string) (found bool, err error) {
	slices.SortStableFunc(logs.entries, func(left, right entry) int { return int(left.Time - right.Time) })
	for _, decision := range logs.entries {
		if decision.ID != id {
			continue
		}
		found = true
		if err := logs.printOne(target, decision); err != nil {
			return found, err
		}
	}
	if !found {
		_, err = fmt.Fprintf(target, "no line names request %s; it succeeded at its first member, or its line was dropped (linesDropped); %d lines read, %d passed over\n",
			id, len(logs.entries), logs.skipped)
	}
	return found, err
}

func (logs *Logs) printOne(target io.Writer, decision entry) error {
	if _, err := fmt.Fprintf(target, "%s %s decided:\n  %s\nwhat it had come to believe:\n", stamp(decision.Time), decision.Proxy, decision.raw); err != nil {
		return err
	}
	for _, belief := range logs.entries {
		near := belief.Time >= decision.Time-before && belief.Time <= decision.Time+after
		if !near || belief.Proxy != decision.Proxy || !beliefs[belief.Message] || !concerns(belief, decision) {
			continue
		}
		if _, err := fmt.Fprintf(target, "  %s %s\n", stamp(belief.Time), belief.raw); err != nil {
			return err
		}
	}
	return nil
}

// concerns reports whether a belief is about the decision's instance, or about
// none in particular.
func concerns(belief, decision entry) bool {
	return belief.Instance == "" || decision.Instance == "" || belief.Instance == decision.Instance
}

func stamp(millis int64) string { return time.UnixMilli(millis).UTC().Format("15:04:05.000") }
