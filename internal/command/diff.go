package command

import (
	"fmt"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/configdiff"
	"github.com/ebonywood/ebonywood/platform/store"
)

// diffOptions are the flags of 'diff'.
type diffOptions struct {
	format, output string
	against        []string
	store          string
	platform       []string
	exitCode       bool
}

func newDiff() *cobra.Command {
	var options diffOptions
	command := &cobra.Command{
		Use:   "diff FILES",
		Short: "Compare files with the version in force, and show whom the change affects",
		Long: `Compares object files with the accepted set, or a configuration of the platform with the one
in the platform's store (--store) or in another file (--against). Shows what differs and which
routes, workspaces and sessions that affects. Changed keys appear as numbers.` + exitCodesHelp,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error { return options.run(command, paths) },
	}
	formatFlag(command, &options.format)
	outputFlag(command, &options.output)
	platformFlag(command, &options.platform)
	command.Flags().StringSliceVar(&options.against, "against", nil, "files with the version to compare with")
	command.Flags().StringVar(&options.store, "store", "", "HOST:PORT of the platform's store, for a configuration of the platform")
	command.Flags().BoolVar(&options.exitCode, "exit-code", false, "end with exit code 6 if there are differences")
	return command
}

func (options *diffOptions) run(command *cobra.Command, paths []string) error {
	if err := requireOneOf("output", options.output, outputText, outputJSON); err != nil {
		return err
	}
	after, err := readDocument(paths, options.format)
	if err != nil {
		return err
	}
	if after.Set() == nil {
		findings := encodeFindings(after.Findings(0))
		if err := findings.print(command, options.output); err != nil {
			return err
		}
		return findings.fault()
	}
	before, err := options.readBefore(command, after.isPlatform)
	if err != nil {
		return err
	}
	product := configdiff.ProductPostgres
	if after.isPlatform {
		product = configdiff.ProductPlatform
	}
	difference := configdiff.Compare(before, after.Set(), product)
	report := newDiffOutput(before, after, difference)
	if options.output == outputJSON {
		err = printJSON(command, report)
	} else {
		err = report.printText(command, before, after)
	}
	if err == nil && options.exitCode && !difference.IsEmpty() {
		return findingsError{message: fmt.Sprintf("%d differences, and --exit-code is set", len(difference.Changes()))}
	}
	return err
}

// readBefore returns the set to compare with; nil if none was accepted.
func (options *diffOptions) readBefore(command *cobra.Command, isPlatform bool) (*ebonywood.ObjectSet, error) {
	switch {
	case len(options.against) > 0:
		before, err := readDocument(options.against, options.format)
		if err != nil {
			return nil, err
		}
		if before.isPlatform != isPlatform || before.Set() == nil {
			return nil, ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("%v is of another format, or has errors", options.against),
				"name files that 'ebonywood check' accepts")
		}
		return before.Set(), nil
	case !isPlatform:
		accepted, _, err := openPublication(options.platform).Head(command.Context())
		return accepted, err
	case options.store == "":
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, "the version in force is not known", "name --store or --against")
	}
	client := store.NewClient(options.store, tally.NoopScope)
	item, found, err := client.Configuration(command.Context())
	if err != nil || !found {
		return nil, err
	}
	return client.DecodeConfiguration(item)
}

// changeOutput is the JSON form of a change.
type changeOutput struct {
	Change  string   `json:"change"`
	Subject string   `json:"subject"`
	Details []string `json:"details"`
	Effects []string `json:"effects"`
}

// diffOutput is the JSON output of 'diff'. Versions are those of configurations of the platform,
// and Ignored says that proxies ignore the new one, since its version is not greater.
type diffOutput struct {
	VersionBefore uint64         `json:"versionBefore,omitempty"`
	VersionAfter  uint64         `json:"versionAfter,omitempty"`
	Ignored       bool           `json:"ignored"`
	Changes       []changeOutput `json:"changes"`
	Routes        []string       `json:"affectedRoutes"`
	Workspaces    []string       `json:"affectedWorkspaces"`
	Sessions      []string       `json:"affectedSessions"`
}

func newDiffOutput(before *ebonywood.ObjectSet, after *document, difference *configdiff.Difference) diffOutput {
	output := diffOutput{
		Changes: []changeOutput{}, Routes: orEmpty(difference.Routes()), Workspaces: orEmpty(difference.Workspaces()),
		Sessions: orEmpty(difference.Sessions()),
	}
	if after.isPlatform {
		output.VersionAfter = after.Set().Generation()
		if before != nil {
			output.VersionBefore = before.Generation()
			output.Ignored = output.VersionAfter <= output.VersionBefore
		}
	}
	for _, change := range difference.Changes() {
		output.Changes = append(output.Changes, changeOutput{
			Change: change.Kind().String(), Subject: change.Subject(), Details: orEmpty(change.Details()), Effects: orEmpty(change.Effects()),
		})
	}
	return output
}

// orEmpty returns an empty list for nil, so that JSON output has no null.
func orEmpty(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}

// printText prints the difference for people. The texts of object files, which hold no keys, are
// compared line by line before.
func (output diffOutput) printText(command *cobra.Command, before *ebonywood.ObjectSet, after *document) error {
	writer := command.OutOrStdout()
	if !after.isPlatform {
		text, err := compareLines(before, after.content)
		if err != nil {
			return err
		}
		fmt.Fprint(writer, text)
	}
	if output.Ignored {
		fmt.Fprintf(writer, "warning: version %d is not greater than version %d in force; proxies ignore it\n", output.VersionAfter, output.VersionBefore)
	}
	if len(output.Changes) == 0 {
		fmt.Fprintln(writer, "no object differs")
		return nil
	}
	for _, change := range output.Changes {
		fmt.Fprintf(writer, "%s %s\n", change.Change, change.Subject)
		for _, detail := range change.Details {
			fmt.Fprintf(writer, "    %s\n", detail)
		}
		for _, effect := range change.Effects {
			fmt.Fprintf(writer, "    effect: %s\n", effect)
		}
	}
	fmt.Fprintf(writer, "affected: %d routes %q, %d workspaces %q\n", len(output.Routes), output.Routes, len(output.Workspaces), output.Workspaces)
	return nil
}

// compareLines returns the unified diff of the object files with the accepted ones.
func compareLines(before *ebonywood.ObjectSet, content []byte) (string, error) {
	var accepted []byte
	name := "nothing accepted"
	if before != nil {
		accepted, name = before.Content(), fmt.Sprintf("generation %d", before.Generation())
	}
	if before != nil && before.Generation() == 0 {
		name = "files of --against"
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(accepted)), B: difflib.SplitLines(string(content)),
		FromFile: name, ToFile: "files", Context: 3,
	})
}
