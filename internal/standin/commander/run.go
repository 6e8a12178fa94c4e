package commander

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/standin/server"
)

// newRun returns the run command, which runs the stand-ins listed in a file.
func newRun(cfg Config) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the stand-ins listed in a JSON file until a signal stops them",
		Long: "Run the stand-ins listed in a JSON file until a signal stops them.\n" +
			"Prints the kind, name and address of each stand-in as JSON, one line each.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := readFile(path)
			if err != nil {
				return err
			}
			g := &serviceGroup{cfg: cfg}
			defer g.close()
			if err := g.listenAll(file); err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			for _, endpoint := range g.endpoints {
				if err := encoder.Encode(endpoint); err != nil {
					return newError("print addresses", KindInvalid, err)
				}
			}
			return g.serve(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "JSON file with the list of stand-ins")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "flag %q is not defined", "file"))
	}
	return cmd
}

// readFile reads the list of stand-ins from the file at path.
func readFile(path string) (File, error) {
	var file File
	text, err := os.ReadFile(path)
	if err != nil {
		return file, newError("read file", KindInvalid, err)
	}
	if err := server.DecodeStrict(bytes.NewReader(text), &file); err != nil {
		return file, newError("read file", KindInvalid, errors.Wrapf(err, "file %q", path))
	}
	return file, nil
}
