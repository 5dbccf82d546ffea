package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood/internal/limitsfile"
)

func newLimits() *cobra.Command {
	return &cobra.Command{
		Use:   "limits [FILE]",
		Short: "List the limits of 'ebonywood node', or check a file that sets them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			if len(paths) == 0 {
				fmt.Fprint(command.OutOrStdout(), limitsfile.Table())
				return nil
			}
			if _, err := limitsfile.Read(paths[0]); err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: no faults\n", paths[0])
			return nil
		},
	}
}
