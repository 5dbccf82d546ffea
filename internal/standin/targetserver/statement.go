package targetserver

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// verb is what a statement does.
type verb uint8

const (
	verbUnknown verb = iota
	verbBegin
	verbCommit
	verbRollback
	verbSession
	verbInsert
	verbSelectKey
	verbCount
	verbSeries
	verbSleep
	verbLiteral
	verbStatus
	verbFence
	verbPromote
	verbConfirm
	verbReceive
	verbSwitch
	verbCopyOut
	verbCopyIn
	verbShow
	verbSet
	verbReset
	verbActivity
)

// statement is one parsed statement. Arguments of the form $n are filled in by
// bind.
type statement struct {
	verb verb
	args []string
	tag  string
}

// receiveText begins the statement by which members replicate.
const receiveText = "SELECT ebonywood_receive("

const argument = `('(?:[^']|'')*'|\$\d+|\d+(?:\.\d+)?)`

type rule struct {
	verb    verb
	pattern *regexp.Regexp
}

func newRule(kind verb, pattern string) rule {
	return rule{kind, regexp.MustCompile(`(?is)^\s*` + strings.ReplaceAll(pattern, "ARG", argument) + `\s*$`)}
}

var rules = []rule{
	newRule(verbInsert, `insert\s+into\s+orders\s*\(\s*k\s*,\s*v\s*\)\s*values\s*\(\s*ARG\s*,\s*ARG\s*\)`),
	newRule(verbSelectKey, `select\s+v\s+from\s+orders\s+where\s+k\s*=\s*ARG`),
	newRule(verbCount, `select\s+count\(\*\)\s+from\s+orders`),
	newRule(verbSeries, `select\s+generate_series\(\s*1\s*,\s*ARG\s*\)`),
	newRule(verbSleep, `select\s+pg_sleep\(\s*ARG\s*\)`),
	newRule(verbLiteral, `select\s+ARG(?:::\w+)?`),
	newRule(verbStatus, `select\s+ebonywood_status\(\)`),
	newRule(verbFence, `select\s+ebonywood_fence\(ARG,\s*ARG\)`),
	newRule(verbPromote, `select\s+ebonywood_promote\(ARG,\s*ARG\)`),
	newRule(verbConfirm, `select\s+ebonywood_confirm\(ARG,\s*ARG,\s*ARG\)`),
	newRule(verbActivity, `select\s+ebonywood_activity\(ARG\)`),
	newRule(verbSwitch, `select\s+ebonywood_switch\(ARG,\s*ARG\)`),
	newRule(verbBegin, `(?:begin|start\s+transaction)\b.*`),
	newRule(verbCommit, `(?:commit|end)\b.*`),
	newRule(verbRollback, `(?:rollback|abort)\b.*`),
	newRule(verbCopyOut, `copy\s+orders\s+to\s+stdout`),
	newRule(verbCopyIn, `copy\s+orders\s+from\s+stdin`),
	newRule(verbShow, `show\s+(\w+)`),
	newRule(verbSet, `set\s+(?:session\s+)?(\w+)\s*(?:=|\bto\b)\s*ARG`),
	newRule(verbReset, `(?:reset\s+all|discard\s+all)`),
	newRule(verbSession, `(?:set|reset|discard|deallocate)\b.*`),
}

func parseStatement(sql string) (statement, error) {
	sql = strings.TrimRight(strings.TrimSpace(sql), "; \n\t")
	if parcel, found := strings.CutPrefix(sql, receiveText); found {
		// A parcel can be large; the patterns below would each read all of it.
		return statement{verb: verbReceive, args: []string{strings.TrimSuffix(parcel, ")")}, tag: "SELECT"}, nil
	}
	for _, each := range rules {
		match := each.pattern.FindStringSubmatch(sql)
		if match != nil {
			return statement{verb: each.verb, args: match[1:], tag: strings.ToUpper(strings.Fields(sql)[0])}, nil
		}
	}
	return statement{}, fmt.Errorf("the stand-in does not know the statement %q", sql)
}

// parameters counts the $n arguments.
func (parsed statement) parameters() int {
	highest := 0
	for _, arg := range parsed.args {
		if number, err := strconv.Atoi(strings.TrimPrefix(arg, "$")); err == nil && strings.HasPrefix(arg, "$") {
			highest = max(highest, number)
		}
	}
	return highest
}

// bind fills in parameters and unquotes literals.
func (parsed statement) bind(values []string) statement {
	bound := parsed
	bound.args = make([]string, len(parsed.args))
	for i, arg := range parsed.args {
		bound.args[i] = unquote(arg, values)
	}
	return bound
}

func unquote(arg string, values []string) string {
	if strings.HasPrefix(arg, "'") {
		return strings.ReplaceAll(arg[1:len(arg)-1], "''", "'")
	}
	if number, err := strconv.Atoi(strings.TrimPrefix(arg, "$")); err == nil && strings.HasPrefix(arg, "$") {
		if number >= 1 && number <= len(values) {
			return values[number-1]
		}
		return ""
	}
	return arg
}

// columns names the columns of the result; nil when there is none.
func (parsed statement) columns() []string {
	switch parsed.verb {
	case verbSelectKey:
		return []string{"v"}
	case verbCount:
		return []string{"count"}
	case verbSeries:
		return []string{"generate_series"}
	case verbSleep:
		return []string{"pg_sleep"}
	case verbLiteral, verbShow, verbReceive, verbSwitch, verbActivity:
		return []string{"value"}
	case verbStatus, verbFence, verbPromote, verbConfirm:
		return []string{"role", "fenced", "log_end", "applied", "upstream_age_ms"}
	default:
		return nil
	}
}

func (parsed statement) isControl() bool {
	switch parsed.verb {
	case verbStatus, verbFence, verbPromote, verbConfirm, verbReceive, verbSwitch, verbActivity:
		return true
	default:
		return false
	}
}

// split cuts a simple query at semicolons outside quotes.
func split(sql string) []string {
	var parts []string
	quoted, start := false, 0
	for i := range len(sql) {
		switch {
		case sql[i] == '\'':
			quoted = !quoted
		case sql[i] == ';' && !quoted:
			parts = append(parts, sql[start:i])
			start = i + 1
		}
	}
	parts = append(parts, sql[start:])
	var filled []string
	for _, part := range parts {
		if strings.TrimSpace(part) != "" {
			filled = append(filled, part)
		}
	}
	return filled
}
