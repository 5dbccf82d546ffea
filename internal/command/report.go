package command

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood/internal/burnreport"
)

func newReport() *cobra.Command {
	var proxies []string
	var html string
	command := &cobra.Command{
		Use:   "report --proxies ADDRESSES",
		Short: "Report the error budget burn rate of each route",
		Long: `Adds up the request counts of the proxies and shows, for each route and window,
the share of good requests, the burn rate (1 uses up the error budget of 30 days
in exactly 30 days) and the time until the budget is exhausted.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var report burnreport.Report
			for _, address := range proxies {
				response := burnreport.NewResponse()
				if err := fetch(command.Context(), address, "/levels", response); err != nil {
					return err
				}
				report.Add(response)
			}
			if html != "" {
				file, err := os.Create(html)
				if err != nil {
					return err
				}
				defer file.Close()
				if err := report.WriteHTML(file); err != nil {
					return err
				}
			}
			return report.Print(command.OutOrStdout())
		},
	}
	proxiesFlag(command, &proxies)
	command.Flags().StringVar(&html, "html", "", "also write a page with plots to this file")
	return command
}
