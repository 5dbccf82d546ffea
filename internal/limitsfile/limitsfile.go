// Package limitsfile reads the limits of a proxy from a YAML file and prints the
// table of what may be set there.
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

// File is a limits file. The zero value sets nothing.
type File struct {
	limits ebonywood.Limits
	faults []string
}

// Read reads and checks a file; an empty path sets nothing. The error's message has
// one line for each fault.
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

// Parse checks a text; path names it in faults.
func Parse(path string, text []byte) (ebonywood.Limits, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return ebonywood.Limits{}, ebonywood.NewFault(ebonywood.KindBadInput, path+": "+err.Error(), "write lines of the form name: value")
	}
	file := &File{}
	if len(document.Content) > 0 {
		file.take(path, document.Content[0])
	}
	if len(file.faults) > 0 {
		return ebonywood.Limits{}, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(file.faults, "\n"), "mend these and start again")
	}
	return file.limits, nil
}

func (file *File) report(path string, line int, format string, values ...any) {
	file.faults = append(file.faults, fmt.Sprintf("%s:%d: ", path, line)+fmt.Sprintf(format, values...))
}

// take reads the pairs of a mapping.
func (file *File) take(path string, root *yaml.Node) {
	if root.Kind != yaml.MappingNode {
		file.report(path, root.Line, "the file is no mapping; write lines of the form name: value")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(root.Content); i += 2 {
		name, value := root.Content[i], root.Content[i+1]
		definition, known := find(name.Value)
		switch {
		case !known:
			file.report(path, name.Line, "%s is no limit; 'ebonywood limits' lists them", name.Value)
		case seen[name.Value]:
			file.report(path, name.Line, "%s is set twice; remove one line", name.Value)
		default:
			file.set(path, definition, value)
		}
		seen[name.Value] = true
	}
}

func find(name string) (ebonywood.LimitDefinition, bool) {
	for _, definition := range ebonywood.LimitDefinitions() {
		if definition.Name() == name {
			return definition, true
		}
	}
	return ebonywood.LimitDefinition{}, false
}

func (file *File) set(path string, definition ebonywood.LimitDefinition, node *yaml.Node) {
	figure, err := parse(definition.Kind(), node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		file.report(path, node.Line, "%s: %q can't be read; write it as %s", definition.Name(), node.Value, Write(definition.Kind(), definition.Default()))
		return
	}
	least, greatest := definition.Range()
	if figure < least || figure > greatest {
		file.report(path, node.Line, "%s: %s is out of range; choose from %s to %s", definition.Name(), node.Value,
			Write(definition.Kind(), least), Write(definition.Kind(), greatest))
		return
	}
	file.limits = file.limits.With(definition.Limit(), figure)
}

// parse reads a figure: 8, 0.6 or 700ms.
func parse(kind ebonywood.LimitKind, text string) (float64, error) {
	switch kind {
	case ebonywood.LimitCount:
		count, err := strconv.Atoi(text)
		return float64(count), err
	case ebonywood.LimitDuration:
		span, err := time.ParseDuration(text)
		return float64(span.Milliseconds()), err
	default:
		return strconv.ParseFloat(text, 64)
	}
}

// Write is a figure as the file has it.
func Write(kind ebonywood.LimitKind, figure float64) string {
	if kind == ebonywood.LimitDuration {
		return ebonywood.Millis(figure).Duration().String()
	}
	return strconv.FormatFloat(figure, 'f', -1, 64)
}

// Table is the table of limits in Markdown, which the operators' page holds.
func Table() string {
	var table strings.Builder
	table.WriteString("| limit | preset | range | what |\n| --- | --- | --- | --- |\n")
	for _, definition := range ebonywood.LimitDefinitions() {
		least, greatest := definition.Range()
		fmt.Fprintf(&table, "| %s | %s | %s to %s | %s |\n", definition.Name(), Write(definition.Kind(), definition.Default()),
			Write(definition.Kind(), least), Write(definition.Kind(), greatest), definition.Description())
	}
	return table.String()
}
