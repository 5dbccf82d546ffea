package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newCheck() *cobra.Command {
	var format, output string
	var slots int
	var strict bool
	command := &cobra.Command{
		Use:   "check FILES",
		Short: "Check object files or a configuration of the platform",
		Long: `Prints every error, because of which proxies refuse the set, and every warning: entries
that can never match, and limits that contradict each other. No key is shown.` + exitCodesHelp,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			if err := requireOneOf("output", output, outputText, outputJSON); err != nil {
				return err
			}
			document, err := readDocument(paths, format)
			if err != nil {
				return err
			}
			findings := encodeFindings(document.Findings(slots))
			if err := findings.print(command, output); err != nil {
				return err
			}
			if err := findings.fault(); err != nil {
				return err
			}
			if output == outputText {
				set := document.Set()
				fmt.Fprintf(command.OutOrStdout(), "%d instances, %d routes, %d workspaces: no errors, %d warnings\n",
					len(set.Instances()), len(set.Routes()), len(set.Workspaces()), findings.Warnings)
			}
			if strict && findings.Warnings > 0 {
				return findingsError{message: fmt.Sprintf("%d warnings, and --strict is set", findings.Warnings)}
			}
			return nil
		},
	}
	formatFlag(command, &format)
	outputFlag(command, &output)
	command.Flags().BoolVar(&strict, "strict", false, "end with exit code 6 if there are warnings")
	command.Flags().IntVar(&slots, "slots", 0, "slots of all members, to compare rates with; 0 uses those that the files list")
	return command
}
