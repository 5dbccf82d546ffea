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
	// logBacklog is how many lines wait for a reader that stalls; what comes beyond
	// it replaces the oldest ones.
	logBacklog = 1000
	// logPoll is how often waiting lines are written.
	logPoll = 100 * time.Millisecond
)

// newLog writes JSON lines to standard error.
func newLog(name string) logr.Logger {
	return logTo(os.Stderr, name)
}

// newBoundedLog writes JSON lines to standard output and never blocks who logs.
// Lines that a stalled reader makes it lose are counted and told.
func newBoundedLog(name string, scope tally.Scope) (log logr.Logger, stop func()) {
	var told logr.Logger
	lost := scope.Counter("linesLost")
	writer := diode.NewWriter(os.Stdout, logBacklog, logPoll, func(missed int) {
		lost.Inc(int64(missed))
		told.Info("linesLost", "count", missed)
	})
	told = logTo(writer, name)
	return told, func() { _ = writer.Close() }
}

func logTo(writer io.Writer, name string) logr.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerologr.NameFieldName = "proxy"
	line := zerolog.New(writer).With().Timestamp().Logger()
	return zerologr.New(&line).WithName(name)
}

func newGroup(ctx context.Context) *rungroup.Group { return rungroup.New(ctx) }
