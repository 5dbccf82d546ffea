// Package yamlobject reads the fields of a YAML mapping, checks their format, and
// reports every fault and unknown field with its line. Settings and object sets both
// use it, so that their faults have the same wording.
package yamlobject

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/ebonywood/ebonywood"
)

// Object reads the fields of one mapping. It records the names of the fields that
// were read, so that RejectUnknown can report the others. A field with a fault is
// reported and reads as its fallback or zero value.
type Object struct {
	node      *yaml.Node
	subject   string
	report    func(line int, subject, message, remedy string)
	requested map[string]bool
}

// New returns an object for a mapping node. subject names the mapping in faults,
// which are passed to report.
func New(node *yaml.Node, subject string, report func(line int, subject, message, remedy string)) Object {
	return Object{node: node, subject: subject, report: report, requested: map[string]bool{}}
}

// Subject returns the name of the mapping in faults.
func (object Object) Subject() string { return object.subject }

// WithSubject returns the object with another subject. Both record the fields that
// are read from either.
func (object Object) WithSubject(subject string) Object {
	object.subject = subject
	return object
}

// ReportFault reports a fault of a field. A line of 0 is replaced by that of the mapping.
func (object Object) ReportFault(line int, field, message, remedy string) {
	if line == 0 {
		line = object.node.Line
	}
	object.report(line, object.subject, strings.TrimSpace(field+" "+message), remedy)
}

// Child returns the value node of a field, nil if the field is missing.
func (object Object) Child(field string) *yaml.Node {
	object.requested[field] = true
	for i := 0; i+1 < len(object.node.Content); i += 2 {
		if object.node.Content[i].Value == field {
			return object.node.Content[i+1]
		}
	}
	return nil
}

// Line returns the line of a field's value, or of the mapping if the field is
// missing.
func (object Object) Line(field string) int {
	if node := object.Child(field); node != nil {
		return node.Line
	}
	return object.node.Line
}

// Text reads a scalar value as a string.
func (object Object) Text(field, fallback string) string {
	node := object.Child(field)
	if node == nil {
		return fallback
	}
	if node.Kind != yaml.ScalarNode {
		object.ReportFault(node.Line, field, "is not a single value", "write one value")
		return fallback
	}
	return node.Value
}

// List reads a list of mappings. Other entries are reported and left out.
func (object Object) List(field string) []*yaml.Node {
	node := object.Child(field)
	if node == nil {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		object.ReportFault(node.Line, field, "is not a list", "start each entry with a dash")
		return nil
	}
	return slices.DeleteFunc(slices.Clone(node.Content), func(entry *yaml.Node) bool {
		if entry.Kind == yaml.MappingNode {
			return false
		}
		object.ReportFault(entry.Line, field, "has an entry without fields", "write name: value pairs")
		return true
	})
}

// Texts reads a list of scalar values as strings.
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
		object.ReportFault(node.Line, field, "is not a list", "start each entry with a dash")
	}
	return values
}

// Mapping reads a field whose value is a mapping, and reports whether there is one.
func (object Object) Mapping(field string) (Object, bool) {
	node := object.Child(field)
	if node == nil {
		return Object{}, false
	}
	if node.Kind != yaml.MappingNode {
		object.ReportFault(node.Line, field, "has no fields", "write name: value lines below it")
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
		object.ReportFault(object.Line(field), field, fmt.Sprintf("%q is neither true nor false", value), "use true or false")
	}
	return parsed
}

// Number reads an integer that is at least minimum.
func (object Object) Number(field string, fallback, minimum int) int {
	value := object.Text(field, strconv.Itoa(fallback))
	parsed, err := strconv.Atoi(value)
	if err != nil || parsed < minimum {
		object.ReportFault(object.Line(field), field, fmt.Sprintf("%q is not a number of at least %d", value, minimum),
			"write a whole number")
		return fallback
	}
	return parsed
}

// Integer reads a whole number, which may be negative.
func (object Object) Integer(field string, fallback int) int {
	value := object.Text(field, strconv.Itoa(fallback))
	parsed, err := strconv.Atoi(value)
	if err != nil {
		object.ReportFault(object.Line(field), field, fmt.Sprintf("%q is not a whole number", value), "write a whole number")
		return fallback
	}
	return parsed
}

// Quantity reads a finite decimal number; a missing field is 0.
func (object Object) Quantity(field string) float64 {
	value := object.Text(field, "0")
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
		object.ReportFault(object.Line(field), field, fmt.Sprintf("%q is not a number", value), "write a number such as 20 or 0.5")
		return 0
	}
	return parsed
}

// Share reads a required number between 0 and 1, both excluded.
func (object Object) Share(field string) float64 {
	value := object.Text(field, "")
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || parsed <= 0 || parsed >= 1 {
		object.ReportFault(object.Line(field), field, fmt.Sprintf("%q is not a share between 0 and 1", value),
			"write a share such as 0.999")
		return 0
	}
	return parsed
}

// Duration reads a duration of whole milliseconds, written with its unit.
func (object Object) Duration(field string, fallback ebonywood.Millis) ebonywood.Millis {
	value := object.Text(field, "")
	if value == "" {
		return fallback
	}
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 || parsed%time.Millisecond != 0 {
		object.ReportFault(object.Line(field), field, fmt.Sprintf("%q is not a duration of whole milliseconds", value),
			"write a number with its unit, such as 250ms or 2s")
		return fallback
	}
	return ebonywood.MillisOf(parsed)
}

// Address reads a required IP address with a port.
func (object Object) Address(field string) string {
	value := object.Text(field, "")
	if _, err := netip.ParseAddrPort(value); err != nil {
		object.ReportFault(object.Line(field), field, fmt.Sprintf("%q is not an IP address with a port", value),
			"write it as 10.0.0.7:5432")
		return ""
	}
	return value
}

// OptionalAddress reads an IP address with a port; it is empty if the field is
// missing.
func (object Object) OptionalAddress(field string) string {
	if object.Child(field) == nil {
		return ""
	}
	return object.Address(field)
}

// RejectUnknown reports each field of the mapping that was not read before.
func (object Object) RejectUnknown() {
	for i := 0; i+1 < len(object.node.Content); i += 2 {
		key := object.node.Content[i]
		if !object.requested[key.Value] {
			object.ReportFault(key.Line, key.Value, "is an unknown field",
				"remove it or use one of "+strings.Join(object.requestedNames(), ", "))
		}
	}
}

// requestedNames returns the names of the fields that were read, sorted.
func (object Object) requestedNames() []string {
	var names []string
	for name := range object.requested {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
