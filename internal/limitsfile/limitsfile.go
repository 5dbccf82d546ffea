// Package limitsfile reads the limits of a proxy from a YAML file and prints the
// table of the limits that can be set.
package limitsfile

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/ebonywood/ebonywood"
)

// parser collects the limits and the faults of one file.
type parser struct {
	limits ebonywood.Limits
	faults []string
}

// Read reads and checks a limits file. An empty path yields the default limits. The
// error is a fault of KindBadInput whose message has one line for each fault of the
// file.
func Read(path string) (ebonywood.Limits, error) {
	if path == "" {
		return ebonywood.Limits{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return ebonywood.Limits{}, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name a readable limits file")
	}
	return Parse(path, text)
}

// Parse checks the text of a limits file; path names it in faults.
func Parse(path string, text []byte) (ebonywood.Limits, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return ebonywood.Limits{}, ebonywood.NewFault(ebonywood.KindBadInput, path+": "+err.Error(), "write lines of the form name: value")
	}
	parser := &parser{}
	if len(document.Content) > 0 {
		parser.readMapping(path, document.Content[0])
	}
	if len(parser.faults) > 0 {
		return ebonywood.Limits{}, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(parser.faults, "\n"), "fix these and start again")
	}
	return parser.limits, nil
}

// reportFault adds a fault with its place in the file.
func (parser *parser) reportFault(path string, line int, format string, values ...any) {
	parser.faults = append(parser.faults, fmt.Sprintf("%s:%d: ", path, line)+fmt.Sprintf(format, values...))
}

// readMapping reads the names and values of the file's top-level mapping.
func (parser *parser) readMapping(path string, root *yaml.Node) {
	if root.Kind != yaml.MappingNode {
		parser.reportFault(path, root.Line, "the file is not a mapping; write lines of the form name: value")
		return
	}
	names := map[string]bool{}
	for i := 0; i+1 < len(root.Content); i += 2 {
		name, value := root.Content[i], root.Content[i+1]
		definition, found := findDefinition(name.Value)
		switch {
		case !found:
			parser.reportFault(path, name.Line, "%s is not a limit; 'ebonywood limits' lists them", name.Value)
		case names[name.Value]:
			parser.reportFault(path, name.Line, "%s is set twice; remove one line", name.Value)
		default:
			parser.setLimit(path, definition, value)
		}
		names[name.Value] = true
	}
}

// findDefinition returns the definition of the limit with the given name.
func findDefinition(name string) (ebonywood.LimitDefinition, bool) {
	for _, definition := range ebonywood.LimitDefinitions() {
		if definition.Name() == name {
			return definition, true
		}
	}
	return ebonywood.LimitDefinition{}, false
}

// setLimit parses a value, checks its range and sets the limit.
func (parser *parser) setLimit(path string, definition ebonywood.LimitDefinition, node *yaml.Node) {
	value, err := parseValue(definition.Kind(), node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		parser.reportFault(path, node.Line, "%s: %q can't be read; write it as %s", definition.Name(), node.Value, Format(definition.Kind(), definition.Default()))
		return
	}
	minimum, maximum := definition.Range()
	if value < minimum || value > maximum {
		parser.reportFault(path, node.Line, "%s: %s is out of range; choose from %s to %s", definition.Name(), node.Value,
			Format(definition.Kind(), minimum), Format(definition.Kind(), maximum))
		return
	}
	parser.limits = parser.limits.With(definition.Limit(), value)
}

// parseValue parses a count such as 8, a share such as 0.6 or a duration such as
// 700ms; a duration is returned in milliseconds.
func parseValue(kind ebonywood.LimitKind, text string) (float64, error) {
	switch kind {
	case ebonywood.LimitCount:
		count, err := strconv.Atoi(text)
		return float64(count), err
	case ebonywood.LimitDuration:
		duration, err := time.ParseDuration(text)
		return float64(duration.Milliseconds()), err
	default:
		return strconv.ParseFloat(text, 64)
	}
}

// Format returns a value in the notation of the file.
func Format(kind ebonywood.LimitKind, value float64) string {
	if kind == ebonywood.LimitDuration {
		return ebonywood.Millis(value).Duration().String()
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// Table returns the table of limits in Markdown. docs/OPERATIONS.md contains it, as
// a test checks.
func Table() string {
	var table strings.Builder
	table.WriteString("| limit | default | range | what |\n| --- | --- | --- | --- |\n")
	for _, definition := range ebonywood.LimitDefinitions() {
		minimum, maximum := definition.Range()
		fmt.Fprintf(&table, "| %s | %s | %s to %s | %s |\n", definition.Name(), Format(definition.Kind(), definition.Default()),
			Format(definition.Kind(), minimum), Format(definition.Kind(), maximum), definition.Description())
	}
	return table.String()
}
