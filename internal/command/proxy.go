package command

import (
	"math"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood/internal/kernel"
	"github.com/ebonywood/ebonywood/internal/metrics"
	"github.com/ebonywood/ebonywood/internal/plugins"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/internal/settingsfile"
)

func newProxy() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "proxy --settings FILE",
		Short: "Run a proxy until it receives SIGTERM",
		Long: `Runs one proxy. On SIGTERM it reports that it is not ready, accepts no new
callers, completes the transactions in flight and exits.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := settingsfile.Read(path)
			if err != nil {
				return err
			}
			// A negative value only reads the limit, which GOMEMLIMIT sets.
			if limit := debug.SetMemoryLimit(-1); settings.MemoryMB() == 0 && limit != math.MaxInt64 {
				settings = settings.WithMemoryMB(limit / bytesPerMB)
			}
			limitHeap(settings.MemoryMB())
			meter := metrics.New()
			defer meter.Close()
			log := newLog(settings.Name())
			if settings.CallersFile() == "" {
				log.Info("callers are not authenticated: callersFile is not set")
			}
			proxy, err := kernel.New(settings, log, meter, registry.Standard(), plugins.Decisions(), plugins.Edges(settings))
			if err != nil {
				return err
			}
			log.Info("serving callers", "address", settings.CallerAddress())
			return proxy.Run(command.Context())
		},
	}
	command.Flags().StringVar(&path, "settings", "ebonywood.yaml", "the proxy's settings, YAML")
	return command
}
