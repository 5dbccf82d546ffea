// Package yamlobject reads the fields of a YAML mapping with their lines, checks
// their form, and reports every fault and every unknown field. Settings and
// object sets both use it, so that their faults read alike.
package yamlobject

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/ebonywood/ebonywood"
)

// Object reads the fields of one mapping and remembers which ones it was asked
// for, so that the rest can be reported as unknown.
type Object struct {
	node    *yaml.Node
	subject string
	report  func(line int, subject, message, remedy string)
	asked   map[string]bool
}

// New reads a mapping. subject names it in faults, which go to report.
func New(node *yaml.Node, subject string, report func(line int, subject, message, remedy string)) Object {
	return Object{node: node, subject: subject, report: report, asked: map[string]bool{}}
}

// Subject names the mapping in faults.
func (object Object) Subject() string { return object.subject }

// Named returns the object under another subject.
func (object Object) Named(subject string) Object {
	object.subject = subject
	return object
}

// Complain reports a fault of a field. A line of 0 is that of the mapping.
func (object Object) Complain(line int, field, message, remedy string) {
	if line == 0 {
		line = object.node.Line
	}
	object.report(line, object.subject, strings.TrimSpace(field+" "+message), remedy)
}

// Child returns the value of a field, nil when it is missing.
func (object Object) Child(field string) *yaml.Node {
	object.asked[field] = true
	for i := 0; i+1 < len(object.node.Content); i += 2 {
		if object.node.Content[i].Value == field {
			return object.node.Content[i+1]
		}
	}
	return nil
}

// Line is where a field stands, or the mapping when it is missing.
func (object Object) Line(field string) int {
	if node := object.Child(field); node != nil {
		return node.Line
	}
	return object.node.Line
}

// Text reads a single value.
func (object Object) Text(field, otherwise string) string {
	node := object.Child(field)
	if node == nil {
		return otherwise
	}
	if node.Kind != yaml.ScalarNode {
		object.Complain(node.Line, field, "is not a single value", "write one value")
		return otherwise
	}
	return node.Value
}

// List reads a list of mappings.
func (object Object) List(field string) []*yaml.Node {
	node := object.Child(field)
	if node == nil {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		object.Complain(node.Line, field, "is not a list", "begin each entry with a dash")
		return nil
	}
	return slices.DeleteFunc(slices.Clone(node.Content), func(entry *yaml.Node) bool {
		if entry.Kind == yaml.MappingNode {
			return false
		}
		object.Complain(entry.Line, field, "has an entry without fields", "write name: value pairs")
		return true
	})
}

// Texts reads a list of single values.
func (object Object) Texts(field string) []string {
	node := object.Child(field)
	if node == nil {
		return nil
	}
	var values []string
	for _, entry := range node.Content {
		values = append(values, entry.Value)
	}
	if node.Kind != yaml.SequenceNode {
		object.Complain(node.Line, field, "is not a list", "begin each entry with a dash")
	}
	return values
}

// Sub reads a field that is a mapping itself.
func (object Object) Sub(field string) (Object, bool) {
	node := object.Child(field)
	if node == nil {
		return Object{}, false
	}
	if node.Kind != yaml.MappingNode {
		object.Complain(node.Line, field, "has no fields", "write name: value lines below it")
		return Object{}, false
	}
	subject := object.subject + field + ": "
	return New(node, subject, object.report), true
}

// Flag reads true or false; a missing field is false.
func (object Object) Flag(field string) bool {
	value := object.Text(field, "false")
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		object.Complain(object.Line(field), field, fmt.Sprintf("%q is neither true nor false", value), "use true or false")
	}
	return parsed
}

// Number reads a whole number of at least least.
func (object Object) Number(field string, otherwise, least int) int {
	value := object.Text(field, strconv.Itoa(otherwise))
	parsed, err := strconv.Atoi(value)
	if err != nil || parsed < least {
		object.Complain(object.Line(field), field, fmt.Sprintf("%q is not a number of at least %d", value, least),
			"write a whole number")
		return otherwise
	}
	return parsed
}

// Share reads a number between 0 and 1.
func (object Object) Share(field string) float64 {
	value := object.Text(field, "")
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || parsed <= 0 || parsed >= 1 {
		object.Complain(object.Line(field), field, fmt.Sprintf("%q is not a share between 0 and 1", value),
			"write a share such as 0.999")
		return 0
	}
	return parsed
}

// Span reads a time with its unit.
func (object Object) Span(field string, otherwise ebonywood.Millis) ebonywood.Millis {
	value := object.Text(field, "")
	if value == "" {
		return otherwise
	}
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 || parsed%time.Millisecond != 0 {
		object.Complain(object.Line(field), field, fmt.Sprintf("%q is not a span of whole milliseconds", value),
			"write a number with its unit, such as 250ms or 2s")
		return otherwise
	}
	return ebonywood.MillisOf(parsed)
}

// Address reads an IP number with a port; a fault yields an empty one.
func (object Object) Address(field string) string {
	value := object.Text(field, "")
	if _, err := netip.ParseAddrPort(value); err != nil {
		object.Complain(object.Line(field), field, fmt.Sprintf("%q is not an IP number with a port", value),
			"write it as 10.0.0.7:5432")
		return ""
	}
	return value
}

// OptionalAddress reads an address that may be missing.
func (object Object) OptionalAddress(field string) string {
	if object.Child(field) == nil {
		return ""
	}
	return object.Address(field)
}

// RejectUnknown reports the fields that were not asked for.
func (object Object) RejectUnknown() {
	for i := 0; i+1 < len(object.node.Content); i += 2 {
		key := object.node.Content[i]
		if !object.asked[key.Value] {
			object.Complain(key.Line, key.Value, "is an unknown field",
				"remove it or use one of "+strings.Join(object.known(), ", "))
		}
	}
}

func (object Object) known() []string {
	var names []string
	for name := range object.asked {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
