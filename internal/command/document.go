package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/configcheck"
	"github.com/ebonywood/ebonywood/internal/objectfile"
	"github.com/ebonywood/ebonywood/platform/store"
)

// The values of the flags format and output.
const (
	formatAuto = "auto"
	formatYAML = "yaml"
	formatJSON = "json"
	outputText = "text"
	outputJSON = "json"
)

// formatFlag adds the flag that names the format of the files.
func formatFlag(command *cobra.Command, format *string) {
	command.Flags().StringVar(format, "format", formatAuto,
		"format of the files: yaml for object files, json for the platform's configuration, auto to look at the first file")
}

// outputFlag adds the flag that selects the form of the output.
func outputFlag(command *cobra.Command, output *string) {
	command.Flags().StringVar(output, "output", outputText, "form of the output: text or json")
}

// requireOneOf returns a fault if a flag has another value than the given ones.
func requireOneOf(flag, value string, values ...string) error {
	for _, allowed := range values {
		if value == allowed {
			return nil
		}
	}
	return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("--%s is %q", flag, value), fmt.Sprintf("use one of %q", values))
}

// document is what the files hold. isPlatform reports that they are a configuration of the
// platform; content is their joined text otherwise.
type document struct {
	*configcheck.Document
	isPlatform bool
	content    []byte
}

// readDocument reads object files, or one file with a configuration of the platform.
func readDocument(paths []string, format string) (*document, error) {
	if err := requireOneOf("format", format, formatAuto, formatYAML, formatJSON); err != nil {
		return nil, err
	}
	texts := make([][]byte, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name readable files")
		}
		texts = append(texts, text)
	}
	if format == formatJSON || format == formatAuto && bytes.HasPrefix(bytes.TrimSpace(texts[0]), []byte("{")) {
		if len(paths) > 1 {
			return nil, ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("%d files with a configuration of the platform", len(paths)),
				"name one file, or use --format yaml for object files")
		}
		return &document{Document: store.ReadConfiguration(paths[0], texts[0]), isPlatform: true}, nil
	}
	content := objectfile.Join(paths, texts)
	return &document{Document: objectfile.Read(0, content), content: content}, nil
}

// findingOutput is the JSON form of a finding.
type findingOutput struct {
	Severity string `json:"severity"`
	Path     string `json:"path"`
	Message  string `json:"message"`
	Remedy   string `json:"remedy"`
}

// findingsOutput is the JSON output of 'check', and of 'diff' if the files have errors.
type findingsOutput struct {
	Findings []findingOutput `json:"findings"`
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
}

// encodeFindings returns the JSON form of findings with their numbers.
func encodeFindings(findings []configcheck.Finding) findingsOutput {
	output := findingsOutput{Findings: []findingOutput{}}
	for _, finding := range findings {
		if finding.Severity() == configcheck.SeverityError {
			output.Errors++
		} else {
			output.Warnings++
		}
		output.Findings = append(output.Findings, findingOutput{
			Severity: finding.Severity().String(), Path: finding.Path(), Message: finding.Message(), Remedy: finding.Remedy(),
		})
	}
	return output
}

// print writes the findings as text or JSON.
func (findings findingsOutput) print(command *cobra.Command, output string) error {
	if output == outputJSON {
		return printJSON(command, findings)
	}
	for _, finding := range findings.Findings {
		fmt.Fprintf(command.OutOrStdout(), "%s: %s: %s; %s\n", finding.Severity, finding.Path, finding.Message, finding.Remedy)
	}
	return nil
}

// fault returns the fault for a set with errors; nil if there are none.
func (findings findingsOutput) fault() error {
	if findings.Errors == 0 {
		return nil
	}
	return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("%d errors, %d warnings", findings.Errors, findings.Warnings),
		"fix the errors and check the set again")
}

func printJSON(command *cobra.Command, value any) error {
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
