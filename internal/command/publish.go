package command

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/kvclient"
	"github.com/ebonywood/ebonywood/internal/objectfile"
	"github.com/ebonywood/ebonywood/internal/publication"
)

// readFiles joins the files into one text that still names them in faults.
func readFiles(paths []string) ([]byte, error) {
	texts := make([][]byte, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name readable YAML files")
		}
		texts = append(texts, text)
	}
	return objectfile.Join(paths, texts), nil
}

// platformFlag adds the flag that names the key-value service.
func platformFlag(command *cobra.Command, addresses *[]string) {
	command.Flags().StringSliceVar(addresses, "platform", []string{"http://127.0.0.1:2379"},
		"URLs of the platform's key-value service")
}

func openPublication(addresses []string) *publication.Publication {
	return publication.New(kvclient.New(addresses, "ebonywood-cli", tally.NoopScope))
}

func newPublish() *cobra.Command {
	var addresses []string
	var expect int64
	var wait time.Duration
	var proxies []string
	command := &cobra.Command{
		Use:   "publish FILES",
		Short: "Check an object set and publish it to all proxies",
		Long: `Checks the set and replaces the accepted one, unless another set was published in
the meantime. --expect states the generation to replace; by default it is the one
accepted now.` + exitCodesHelp,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			content, err := readFiles(paths)
			if err != nil {
				return err
			}
			sets := openPublication(addresses)
			if expect < 0 {
				if expect, err = sets.Generation(command.Context()); err != nil {
					return err
				}
			}
			generation, err := sets.Publish(command.Context(), content, uint64(expect))
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "generation %d accepted\n", generation)
			if wait == 0 {
				return nil
			}
			return awaitGeneration(command, proxies, generation, wait)
		},
	}
	platformFlag(command, &addresses)
	proxiesFlag(command, &proxies)
	command.Flags().DurationVar(&wait, "wait", 0, "how long to wait until all of --proxies have applied the set")
	command.Flags().Int64Var(&expect, "expect", -1, "the generation to replace; 0 if none was published")
	return command
}
