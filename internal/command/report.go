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
		Short: "Report how fast each route uses up its service level",
		Long: `Adds up the accounts of the proxies and shows, for each route and window, the
share of good requests, the burn (1 uses the allowance of 30 days up exactly) and
the time until it is gone.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var report burnreport.Report
			for _, address := range proxies {
				lines := burnreport.Lines()
				if err := fetch(command.Context(), address, "/levels", lines); err != nil {
					return err
				}
				report.Add(lines)
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
