// Package command implements the command line. Each command checks its arguments,
// calls the package that does the work, and maps the kind of a fault to an exit
// code.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood"
)

// Exit codes. Scripts rely on them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadInput    = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitUnknown     = 5
	exitFindings    = 6
)

// findingsError makes the program end with exitFindings.
type findingsError struct {
	message string
}

func (err findingsError) Error() string { return err.message }

const exitCodesHelp = `
Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict with another publish,
4 an external service is unavailable, 5 the outcome is unknown,
6 'check --strict' has warnings or 'diff --exit-code' differences.`

// Run executes the command line and returns the exit code. SIGINT and SIGTERM
// cancel the command's context.
func Run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(arguments)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode maps the kind of the error's fault to an exit code.
func exitCode(err error) int {
	if errors.As(err, new(findingsError)) {
		return exitFindings
	}
	switch ebonywood.FaultOf(err).Kind() {
	case ebonywood.KindBadInput:
		return exitBadInput
	case ebonywood.KindConflict:
		return exitConflict
	case ebonywood.KindUnavailable:
		return exitUnavailable
	case ebonywood.KindUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "ebonywood",
		Short: "A database proxy with session consistency",
		Long: `ebonywood proxies requests from callers to the members of database groups.
Operators publish sets of objects (database groups, read policies, routes). The
proxies guarantee that every caller reads its own writes, that no acknowledged
write is lost, and that no read returns data older than its policy allows.

Start with 'ebonywood demo', which needs no set-up.
` + exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newProxy(), newNode(), newLimits(), newCheck(), newPublish(), newDiff(), newStatus(), newReport(),
		newExplain(), newDemo(), newStandin(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			version := "unknown"
			if info, found := debug.ReadBuildInfo(); found {
				version = info.Main.Version
			}
			fmt.Fprintln(command.OutOrStdout(), "ebonywood", version)
		},
	}
}
