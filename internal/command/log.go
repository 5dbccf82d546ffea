package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood/internal/rungroup"
)

const (
	// logQueueLines is how many lines are queued while the reader of standard
	// output stalls; further lines overwrite the oldest.
	logQueueLines = 1000
	// logPollInterval is how often queued lines are written.
	logPollInterval = 100 * time.Millisecond
)

// newLog writes JSON lines to standard error.
func newLog(name string) logr.Logger {
	return logTo(os.Stderr, name)
}

// newBoundedLog writes JSON lines to standard output through a bounded queue, so
// that logging never blocks. Lines lost because the reader stalls are counted and
// logged.
func newBoundedLog(name string, scope tally.Scope) (log logr.Logger, stop func()) {
	var logger logr.Logger
	lost := scope.Counter("linesLost")
	writer := diode.NewWriter(os.Stdout, logQueueLines, logPollInterval, func(count int) {
		lost.Inc(int64(count))
		logger.Info("linesLost", "count", count)
	})
	logger = logTo(writer, name)
	return logger, func() { _ = writer.Close() }
}

// logTo builds a logger of JSON lines with millisecond timestamps.
func logTo(writer io.Writer, name string) logr.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerologr.NameFieldName = "proxy"
	line := zerolog.New(writer).With().Timestamp().Logger()
	return zerologr.New(&line).WithName(name)
}

func newGroup(ctx context.Context) *rungroup.Group { return rungroup.New(ctx) }
