// Package command is the command line. Each command checks its input, calls one
// package that does the work, and turns its faults into an exit code.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood"
)

// Exit codes that a script can rely on.
const (
	exitDone        = 0
	exitFailed      = 1
	exitBadInput    = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitUnknown     = 5
)

const exitCodesHelp = `
Exit codes: 0 done, 1 failed, 2 input that has to be mended, 3 another publisher
won, 4 an outside service does not answer, 5 the outcome is unknown.`

// Run runs the program with its arguments and returns the exit code.
func Run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(arguments)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(err)
	}
	return exitDone
}

func exitCode(err error) int {
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
		Long: `ebonywood stands between callers and the members of database groups. Operators
publish sets of objects (database groups, read policies, routes); the proxies
answer for the outcome: every caller sees its own work, no acknowledged write is
lost, stale data is never passed off as fresh.

Begin with 'ebonywood demo', which needs no set-up.
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
