// Command measure prints the figures of docs/MEASURES.md. Each section compares
// in one run, so that a figure never stands alone.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// section is one part of the measurements.
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
	for _, each := range sections {
		root.Long += fmt.Sprintf("  %-8s %s\n", each.name, each.help)
	}
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

func runSections(ctx context.Context, names []string) error {
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	for _, each := range sections {
		if len(names) > 0 && !wanted[each.name] {
			continue
		}
		fmt.Printf("\n%s: %s\n", each.name, each.help)
		if err := each.run(ctx); err != nil {
			return err
		}
	}
	return nil
}
