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
	// heapShare is the share of the memory limit that the heap may fill before the
	// collector works harder.
	heapShare = 0.6
	// collectAt is how much the heap may grow between two collections, in percent.
	collectAt  = 200
	bytesPerMB = 1 << 20
	// graceMargin is left of the grace when the process ends itself.
	graceMargin = 300 * time.Millisecond
)

func newNode() *cobra.Command {
	var operatorsPort int
	var limits string
	command := &cobra.Command{
		Use:   "node",
		Short: "Run a proxy on the platform until it is asked to stop",
		Long: `Runs one proxy with the settings file that the platform writes; ` + settings.Variable + `
names it. On SIGTERM the proxy stops being ready, lets what is in flight end and
leaves. SIGHUP reads the settings file again and logs what it finds.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runNode(command.Context(), operatorsPort, limits)
		},
	}
	command.Flags().IntVar(&operatorsPort, "operators-port", 0,
		"the port for metrics and status; 0 takes the first of the host's internal ports")
	command.Flags().StringVar(&limits, "limits", "", "a YAML file that sets limits; 'ebonywood limits' lists them")
	return command
}

func runNode(ctx context.Context, operatorsPort int, limitsPath string) error {
	read, err := settings.Read(settings.Path())
	limits, limitsErr := limitsfile.Read(limitsPath)
	if err = errors.CombineErrors(err, limitsErr); err != nil {
		return err
	}
	read = read.WithOperatorsPort(operatorsPort).WithLimits(limits)
	limitRuntime(read)
	meter := metrics.New()
	defer meter.Close()
	log, stopLog := newBoundedLog(read.Name(), meter.Scope())
	defer stopLog()
	proxy, err := kernel.New(read, log, meter, registry.Standard(), platform.Decisions(), platform.Edges(read))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopGrace := boundGrace(ctx, read, log)
	defer stopGrace()
	stopReloads := logReloads(ctx, log)
	defer stopReloads()
	log.Info("start", "zone", read.Zone(), "address", read.CallerAddress(), "operators", read.OperatorAddress(), "incarnation", read.Incarnation())
	err = proxy.Run(ctx)
	log.Info("stop")
	return err
}

func limitRuntime(read settings.Settings) {
	runtime.GOMAXPROCS(max(1, read.Cores()))
	debug.SetGCPercent(collectAt)
	if read.MemoryMB() > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(read.MemoryMB()*bytesPerMB)))
	}
}

// boundGrace ends the process just before the platform would kill it, whatever
// still waits for an answer then.
func boundGrace(ctx context.Context, read settings.Settings, log logr.Logger) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		time.AfterFunc(read.DrainLimit().Duration()-graceMargin, func() {
			log.Info("grace over")
			time.Sleep(graceMargin / 2)
			os.Exit(exitDone)
		})
	})
}

// logReloads reads the settings file again on SIGHUP. A file with faults changes
// nothing.
func logReloads(ctx context.Context, log logr.Logger) (stop func()) {
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
