package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood"
)

const (
	fetchTimeout       = 2 * time.Second
	statusPollInterval = 50 * time.Millisecond
)

// proxyStatus is the response of a proxy's operator edge to /status.
type proxyStatus struct {
	Name       string   `json:"name"`
	Zone       string   `json:"zone"`
	Generation uint64   `json:"generation"`
	Hash       string   `json:"hash"`
	Draining   bool     `json:"draining"`
	Peers      []string `json:"peers"`
	Instances  []struct {
		ID      string `json:"id"`
		Term    uint64 `json:"term"`
		Primary string `json:"primary"`
	} `json:"instances"`
	Workspaces []workspaceStatus `json:"workspaces"`
	Violations map[string]int    `json:"violations"`
}

// workspaceStatus is a workspace in a proxyStatus. Proxies report no keys.
type workspaceStatus struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Keys     int     `json:"keys"`
	Users    int     `json:"users"`
}

// fetch gets one page of a proxy's operator address and decodes its JSON into
// result. The error is a fault of KindUnavailable if the proxy does not respond.
func fetch(ctx context.Context, address, page string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+page, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable, err.Error(), "check the proxy and its operatorAddress")
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

func proxiesFlag(command *cobra.Command, addresses *[]string) {
	command.Flags().StringSliceVar(addresses, "proxies", nil, "operator addresses of the proxies, IP address and port")
}

func newStatus() *cobra.Command {
	var proxies, platform []string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the accepted generation and the state of each proxy",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			generation, err := openPublication(platform).Generation(command.Context())
			if err != nil {
				fmt.Fprintln(command.OutOrStdout(), "store:", err)
			} else {
				fmt.Fprintln(command.OutOrStdout(), "accepted generation:", generation)
			}
			return printStatus(command, proxies)
		},
	}
	platformFlag(command, &platform)
	proxiesFlag(command, &proxies)
	return command
}

// printStatus prints one table row for each proxy and instance, and the workspaces. It returns the last
// error of a proxy that could not be queried.
func printStatus(command *cobra.Command, proxies []string) error {
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	var newest proxyStatus
	fmt.Fprintln(table, "proxy\tzone\tgeneration\tpeers\tinstance\tterm\tprimary\tviolations")
	var lastErr error
	for _, address := range proxies {
		var status proxyStatus
		if err := fetch(command.Context(), address, "/status", &status); err != nil {
			fmt.Fprintf(table, "%s\t\t%v\n", address, err)
			lastErr = err
			continue
		}
		if status.Generation >= newest.Generation {
			newest = status
		}
		violations := 0
		for _, count := range status.Violations {
			violations += count
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t\t\t\t%d\n", status.Name, status.Zone, status.Generation, len(status.Peers), violations)
		for _, instance := range status.Instances {
			fmt.Fprintf(table, "\t\t\t\t%s\t%d\t%s\n", instance.ID, instance.Term, instance.Primary)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := printWorkspaces(command, newest); err != nil {
		return err
	}
	return lastErr
}

// printWorkspaces prints one table row for each workspace of the newest generation.
func printWorkspaces(command *cobra.Command, status proxyStatus) error {
	if len(status.Workspaces) == 0 {
		return nil
	}
	fmt.Fprintf(command.OutOrStdout(), "\nworkspaces of generation %d\n", status.Generation)
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "workspace\tpriority\trate\tburst\tkeys\tusers")
	for _, workspace := range status.Workspaces {
		rate := "no limit"
		if workspace.Rate > 0 {
			rate = fmt.Sprintf("%g/s", workspace.Rate)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%g\t%d\t%d\n", workspace.Name, workspace.Priority, rate, workspace.Burst, workspace.Keys, workspace.Users)
	}
	return table.Flush()
}

// awaitGeneration polls the proxies until each has applied the generation or a
// later one. After the timeout it returns a fault that names those that have not.
func awaitGeneration(command *cobra.Command, proxies []string, generation uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		var missing []string
		for _, address := range proxies {
			var status proxyStatus
			if err := fetch(command.Context(), address, "/status", &status); err != nil || status.Generation < generation {
				missing = append(missing, address)
			}
		}
		if len(missing) == 0 {
			fmt.Fprintf(command.OutOrStdout(), "generation %d is in force on %d proxies\n", generation, len(proxies))
			return nil
		}
		if time.Now().After(deadline) || command.Context().Err() != nil {
			return ebonywood.NewFault(ebonywood.KindUnavailable,
				fmt.Sprintf("generation %d is accepted but not in force on %v", generation, missing),
				"check these proxies with 'ebonywood status'; the set need not be published again")
		}
		time.Sleep(statusPollInterval)
	}
}
