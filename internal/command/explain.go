package command

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/explain"
)

func newExplain() *cobra.Command {
	var id string
	command := &cobra.Command{
		Use:   "explain --request ID FILES",
		Short: "Explain the outcome of a request from the logs of the proxies",
		Long: `Reads the log files of any number of proxies and prints each decision about the
request, with the state changes that its proxy logged around that time. A request
that succeeded at its first member is not logged.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			if id == "" {
				return ebonywood.NewFault(ebonywood.KindBadInput, "no request ID is given", "pass --request ID")
			}
			var logs explain.Logs
			for _, path := range files {
				if err := addLog(&logs, path); err != nil {
					return err
				}
			}
			_, err := logs.Print(command.OutOrStdout(), id)
			return err
		},
	}
	command.Flags().StringVar(&id, "request", "", "the ID of the request")
	return command
}

func addLog(logs *explain.Logs, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name readable log files")
	}
	defer file.Close()
	if err := logs.Add(file); err != nil {
		return ebonywood.NewFault(ebonywood.KindBadInput, path+": "+err.Error(), "name readable log files")
	}
	return nil
}
