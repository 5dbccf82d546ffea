package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood/internal/standin/kvserver"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

func newStandin() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for the platform or for a member, for tests and experiments",
	}
	command.AddCommand(newStandinPlatform(), newStandinTarget())
	return command
}

func newStandinPlatform() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run an in-memory key-value service with the etcd v3 HTTP/JSON interface",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			server := kvserver.New()
			if err := server.Listen(address); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), server.Address())
			return server.Serve(command.Context())
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:2379", "IP address and port")
	return command
}

func newStandinTarget() *cobra.Command {
	var address string
	var peers []string
	var primary bool
	var slots, connections int
	var connect, service, lag time.Duration
	command := &cobra.Command{
		Use:   "target",
		Short: "Run an in-memory database member that speaks PostgreSQL v3",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			server := targetserver.New(peers)
			server.SetLimits(slots, connections)
			server.SetDelays(connect, service)
			server.SetLag(lag)
			if err := server.Listen(address); err != nil {
				return err
			}
			if primary {
				if err := server.Bootstrap(); err != nil {
					return err
				}
			}
			fmt.Fprintln(command.OutOrStdout(), server.Address())
			return server.Serve(command.Context())
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:5432", "IP address and port")
	flags.StringSliceVar(&peers, "peers", nil, "addresses of the instance's other members")
	flags.BoolVar(&primary, "primary", false, "start as the primary of term 1")
	flags.IntVar(&slots, "slots", 3, "maximum number of statements that run concurrently")
	flags.IntVar(&connections, "connections", 20, "maximum number of connections")
	flags.DurationVar(&connect, "connect-delay", 0, "time to open a new connection")
	flags.DurationVar(&service, "service-time", 0, "time that each statement occupies its slot")
	flags.DurationVar(&lag, "lag", 0, "how far reads lag behind the stored log")
	return command
}
