package command

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood/internal/kernel"
	"github.com/ebonywood/ebonywood/internal/limitsfile"
	"github.com/ebonywood/ebonywood/internal/metrics"
	"github.com/ebonywood/ebonywood/internal/registry"
	"github.com/ebonywood/ebonywood/platform"
	"github.com/ebonywood/ebonywood/platform/settings"
)

const (
	// heapLimitShare is the share of the process's memory limit that is set as the
	// Go runtime's soft memory limit; near it the garbage collector runs more often.
	heapLimitShare = 0.6
	// gcPercent is the heap growth between two collections, in percent (GOGC).
	gcPercent  = 200
	bytesPerMB = 1 << 20
	// graceMargin is how long before the end of the platform's grace period the
	// process logs that it ends itself. It exits after half of the margin.
	graceMargin = 300 * time.Millisecond
)

func newNode() *cobra.Command {
	var operatorsPort int
	var limits string
	command := &cobra.Command{
		Use:   "node",
		Short: "Run a proxy on the platform until it receives SIGTERM",
		Long: `Runs one proxy with the settings file that the platform writes; ` + settings.PathVariable + `
names it. On SIGTERM the proxy reports that it is not ready, completes requests in
flight and exits. On SIGHUP it checks the settings file and logs the result.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runNode(command.Context(), operatorsPort, limits)
		},
	}
	command.Flags().IntVar(&operatorsPort, "operators-port", 0,
		"port for metrics and status; 0 uses the first of the host's internal ports")
	command.Flags().StringVar(&limits, "limits", "", "a YAML file that sets limits; 'ebonywood limits' lists them")
	return command
}

func runNode(ctx context.Context, operatorsPort int, limitsPath string) error {
	config, err := settings.Read(settings.Path())
	limits, limitsErr := limitsfile.Read(limitsPath)
	if err = errors.CombineErrors(err, limitsErr); err != nil {
		return err
	}
	config = config.WithOperatorPort(operatorsPort).WithLimits(limits)
	configureRuntime(config)
	meter := metrics.New()
	defer meter.Close()
	log, stopLog := newBoundedLog(config.Name(), meter.Scope())
	defer stopLog()
	proxy, err := kernel.New(config, log, meter, registry.Standard(), platform.Decisions(), platform.Edges(config))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopGrace := exitBeforeGraceEnds(ctx, config, log)
	defer stopGrace()
	stopHangups := checkSettingsOnHangup(ctx, log)
	defer stopHangups()
	log.Info("start", "zone", config.Zone(), "address", config.CallerAddress(), "operators", config.OperatorAddress(), "incarnation", config.Incarnation())
	err = proxy.Run(ctx)
	log.Info("stop")
	return err
}

// configureRuntime sets GOMAXPROCS, the GC percentage and the memory limit from
// the cores and the memory that the platform allots.
func configureRuntime(config settings.Settings) {
	runtime.GOMAXPROCS(max(1, config.Cores()))
	debug.SetGCPercent(gcPercent)
	limitHeap(config.MemoryMB())
}

// limitHeap sets the memory limit of the Go runtime from that of the process in MB; 0 leaves
// it as it is. The rest is for what the runtime does not count, such as the program itself.
func limitHeap(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitShare * float64(memoryMB*bytesPerMB)))
	}
}

// exitBeforeGraceEnds ends the process shortly before the platform would kill it,
// even if requests are still in flight.
func exitBeforeGraceEnds(ctx context.Context, config settings.Settings, log logr.Logger) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		time.AfterFunc(config.DrainLimit().Duration()-graceMargin, func() {
			log.Info("grace over")
			time.Sleep(graceMargin / 2)
			os.Exit(exitOK)
		})
	})
}

// checkSettingsOnHangup reads and checks the settings file on each SIGHUP and logs
// the result. The running settings do not change.
func checkSettingsOnHangup(ctx context.Context, log logr.Logger) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	stopped := make(chan struct{})
	group := newGroup(ctx)
	group.Go(func(ctx context.Context) error {
		defer close(stopped)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				_, err := settings.Read(settings.Path())
				if err != nil {
					log.Error(err, "reload refused")
					continue
				}
				log.Info("reload")
			}
		}
	})
	return func() {
		signal.Stop(signals)
		group.Stop()
		<-stopped
	}
}
