package targetserver

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// verb is the kind of a statement.
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

// statement is one parsed statement. Its arguments are literals or parameters of
// the form $n, which bind replaces by their values.
type statement struct {
	verb verb
	args []string
	tag  string
}

// receivePrefix is the start of the statement that carries a replication batch.
const receivePrefix = "SELECT ebonywood_receive("

// argumentPattern replaces ARG in the patterns below.
const argumentPattern = `('(?:[^']|'')*'|\$\d+|\d+(?:\.\d+)?)`

type statementPattern struct {
	verb    verb
	pattern *regexp.Regexp
}

func newPattern(kind verb, pattern string) statementPattern {
	return statementPattern{kind, regexp.MustCompile(`(?is)^\s*` + strings.ReplaceAll(pattern, "ARG", argumentPattern) + `\s*$`)}
}

// statementPatterns is tried in order; the first match determines the verb.
var statementPatterns = []statementPattern{
	newPattern(verbInsert, `insert\s+into\s+orders\s*\(\s*k\s*,\s*v\s*\)\s*values\s*\(\s*ARG\s*,\s*ARG\s*\)`),
	newPattern(verbSelectKey, `select\s+v\s+from\s+orders\s+where\s+k\s*=\s*ARG`),
	newPattern(verbCount, `select\s+count\(\*\)\s+from\s+orders`),
	newPattern(verbSeries, `select\s+generate_series\(\s*1\s*,\s*ARG\s*\)`),
	newPattern(verbSleep, `select\s+pg_sleep\(\s*ARG\s*\)`),
	newPattern(verbLiteral, `select\s+ARG(?:::\w+)?`),
	newPattern(verbStatus, `select\s+ebonywood_status\(\)`),
	newPattern(verbFence, `select\s+ebonywood_fence\(ARG,\s*ARG\)`),
	newPattern(verbPromote, `select\s+ebonywood_promote\(ARG,\s*ARG\)`),
	newPattern(verbConfirm, `select\s+ebonywood_confirm\(ARG,\s*ARG,\s*ARG\)`),
	newPattern(verbActivity, `select\s+ebonywood_activity\(ARG\)`),
	newPattern(verbSwitch, `select\s+ebonywood_switch\(ARG,\s*ARG\)`),
	newPattern(verbBegin, `(?:begin|start\s+transaction)\b.*`),
	newPattern(verbCommit, `(?:commit|end)\b.*`),
	newPattern(verbRollback, `(?:rollback|abort)\b.*`),
	newPattern(verbCopyOut, `copy\s+orders\s+to\s+stdout`),
	newPattern(verbCopyIn, `copy\s+orders\s+from\s+stdin`),
	newPattern(verbShow, `show\s+(\w+)`),
	newPattern(verbSet, `set\s+(?:session\s+)?(\w+)\s*(?:=|\bto\b)\s*ARG`),
	newPattern(verbReset, `(?:reset\s+all|discard\s+all)`),
	newPattern(verbSession, `(?:set|reset|discard|deallocate)\b.*`),
}

func parseStatement(sql string) (statement, error) {
	sql = strings.TrimRight(strings.TrimSpace(sql), "; \n\t")
	if batch, found := strings.CutPrefix(sql, receivePrefix); found {
		// A batch can be large, and each of the patterns would scan all of it.
		return statement{verb: verbReceive, args: []string{strings.TrimSuffix(batch, ")")}, tag: "SELECT"}, nil
	}
	for _, candidate := range statementPatterns {
		match := candidate.pattern.FindStringSubmatch(sql)
		if match != nil {
			return statement{verb: candidate.verb, args: match[1:], tag: strings.ToUpper(strings.Fields(sql)[0])}, nil
		}
	}
	return statement{}, fmt.Errorf("the stand-in does not support the statement %q", sql)
}

// parameterCount returns the highest n of the $n arguments, 0 if there are none.
func (parsed statement) parameterCount() int {
	highest := 0
	for _, arg := range parsed.args {
		if number, err := strconv.Atoi(strings.TrimPrefix(arg, "$")); err == nil && strings.HasPrefix(arg, "$") {
			highest = max(highest, number)
		}
	}
	return highest
}

// bind returns a copy with parameters replaced by their values and literals
// unquoted.
func (parsed statement) bind(values []string) statement {
	bound := parsed
	bound.args = make([]string, len(parsed.args))
	for i, arg := range parsed.args {
		bound.args[i] = argumentValue(arg, values)
	}
	return bound
}

func argumentValue(arg string, values []string) string {
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

// columns returns the names of the result's columns, nil for a statement without
// rows.
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

// isControl reports whether the statement calls a control function of the platform.
func (parsed statement) isControl() bool {
	switch parsed.verb {
	case verbStatus, verbFence, verbPromote, verbConfirm, verbReceive, verbSwitch, verbActivity:
		return true
	default:
		return false
	}
}

// splitStatements splits a simple query at semicolons outside quotes and drops empty
// parts.
func splitStatements(sql string) []string {
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
	var nonEmpty []string
	for _, part := range parts {
		if strings.TrimSpace(part) != "" {
			nonEmpty = append(nonEmpty, part)
		}
	}
	return nonEmpty
}
