package commander

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/standin/server"
)

// newRun returns the command that runs the stand-ins of a file.
func newRun(cfg Config) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the stand-ins of a JSON file until a signal stops them",
		Long: "Run the stand-ins of a JSON file until a signal stops them.\n" +
			"Each one's kind, name and address are printed in JSON on one line.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := readFile(path)
			if err != nil {
				return err
			}
			g := &group{cfg: cfg}
			defer g.close()
			if err := g.open(file); err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			for _, started := range g.started {
				if err := encoder.Encode(started); err != nil {
					return newError("print addresses", KindInvalid, err)
				}
			}
			return g.serve(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "the JSON file with the list of stand-ins")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "flag %q is not defined", "file"))
	}
	return cmd
}

// readFile decodes the file at path.
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
