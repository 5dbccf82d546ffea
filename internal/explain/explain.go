// Package explain finds the decisions about one request in the logs of several
// proxies, together with the state changes that the deciding proxy logged around that
// time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// State events from windowBeforeMs before a decision to windowAfterMs after it
	// are shown with the decision.
	windowBeforeMs int64 = 5000
	windowAfterMs  int64 = 500
)

// stateEvents are the log messages that report changes of a proxy's state.
// docs/OPERATIONS.md describes them.
var stateEvents = map[string]bool{
	"primary": true, "term": true, "primaryLost": true, "reach": true, "suspects": true, "changeBegins": true,
	"promote": true, "promoteEnded": true, "duty": true, "directory": true, "isolated": true,
	"object set in force": true, "configuration refused": true, "member ignored": true, "history gone": true,
	"lease lost": true, "start": true, "stop": true, "leaving": true, "left": true, "reload": true,
}

// entry is one log line. raw is its whole JSON, with the fields that are not
// decoded here.
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

// Add reads a log. Text before a line's JSON object, such as the timestamp of a log
// collector, is ignored. Lines without a JSON object that has a message, and lines of
// more than maxLineBytes, are skipped and counted. The error is that of the source.
func (logs *Logs) Add(source io.Reader) error {
	reader := bufio.NewReaderSize(source, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			logs.skipped++
			err = skipLine(reader)
		} else if len(text) > 0 {
			logs.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// skipLine reads the rest of a line.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (logs *Logs) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	var parsed entry
	if start < 0 || json.Unmarshal(text[start:], &parsed) != nil || parsed.Message == "" {
		logs.skipped++
		return
	}
	parsed.raw = string(bytes.TrimSpace(text[start:]))
	logs.entries = append(logs.entries, parsed)
}

// Print writes the decisions about the request in order of time, each with the
// state events of its proxy around that time. It reports whether there are any.
func (logs *Logs) Print(out io.Writer, id string) (found bool, err error) {
	slices.SortStableFunc(logs.entries, func(left, right entry) int { return int(left.Time - right.Time) })
	for _, decision := range logs.entries {
		if decision.ID != id {
			continue
		}
		found = true
		if err := logs.printDecision(out, decision); err != nil {
			return found, err
		}
	}
	if !found {
		_, err = fmt.Fprintf(out, "no line has request ID %s; the request succeeded at its first member, or its line was dropped (linesDropped); %d lines read, %d skipped\n",
			id, len(logs.entries), logs.skipped)
	}
	return found, err
}

// printDecision writes one decision and the state events around it.
func (logs *Logs) printDecision(out io.Writer, decision entry) error {
	if _, err := fmt.Fprintf(out, "%s %s decided:\n  %s\nstate changes around that time:\n", formatTime(decision.Time), decision.Proxy, decision.raw); err != nil {
		return err
	}
	for _, event := range logs.entries {
		near := event.Time >= decision.Time-windowBeforeMs && event.Time <= decision.Time+windowAfterMs
		if !near || event.Proxy != decision.Proxy || !stateEvents[event.Message] || !sameInstance(event, decision) {
			continue
		}
		if _, err := fmt.Fprintf(out, "  %s %s\n", formatTime(event.Time), event.raw); err != nil {
			return err
		}
	}
	return nil
}

// sameInstance reports whether the event and the decision concern the same instance,
// or one of them names none.
func sameInstance(event, decision entry) bool {
	return event.Instance == "" || decision.Instance == "" || event.Instance == decision.Instance
}

// formatTime formats a time in milliseconds since the epoch, in UTC.
func formatTime(millis int64) string { return time.UnixMilli(millis).UTC().Format("15:04:05.000") }
