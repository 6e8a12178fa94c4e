package commander

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

func newWeightsCommand(s *session) *cobra.Command {
	group := newGroupCommand("weights", "Change the weight versions in force")
	group.AddCommand(newWeightsSetCommand(s))
	return group
}

func newWeightsSetCommand(s *session) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "set MODEL VERSION",
		Short: "Bring a weight version of a model into force",
		Args:  cobra.ExactArgs(2),
	}
	addEditFlags(s, cmd, func(args []string) (edit, error) {
		name := identifier.Model(args[0])
		change := func(f *specifier.Fleet) error {
			model, ok := f.Models[name]
			if !ok {
				return newError("find model", KindFailure, errors.Newf("model %q does not exist", name))
			}
			model.Version = identifier.WeightVersion(args[1])
			f.Models[name] = model
			return nil
		}
		return edit{op: fmt.Sprintf("set weights of %s to %s", name, args[1]), change: change}, nil
	})
	return cmd
}
