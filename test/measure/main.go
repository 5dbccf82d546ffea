// Command measure prints the figures of docs/MEASURES.md. Each section measures all
// alternatives that it compares in the same run, under the same conditions.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// section is a group of measurements that can be selected by name.
type section struct {
	name string
	help string
	run  func(ctx context.Context) error
}

var sections = []section{
	{"path", "through the proxy against direct to the stand-in", measurePath},
	{"gap", "the gap in writes for each kind of failure", measureGaps},
	{"load", "a crest and stragglers, against the obvious ways", measureLoad},
	{"spread", "publish to in force everywhere", measureSpread},
	{"fleet", "control cost against the size of the fleet", measureFleet},
}

func main() {
	root := &cobra.Command{
		Use: "measure [SECTION...]", Short: "Print the project's measurements", SilenceUsage: true,
		RunE: func(command *cobra.Command, names []string) error { return runSections(command.Context(), names) },
	}
	for _, section := range sections {
		root.Long += fmt.Sprintf("  %-8s %s\n", section.name, section.help)
	}
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// runSections runs the named sections in their fixed order, or all without names.
func runSections(ctx context.Context, names []string) error {
	selected := map[string]bool{}
	for _, name := range names {
		selected[name] = true
	}
	for _, section := range sections {
		if len(names) > 0 && !selected[section.name] {
			continue
		}
		fmt.Printf("\n%s: %s\n", section.name, section.help)
		if err := section.run(ctx); err != nil {
			return err
		}
	}
	return nil
}
