package commander

import (
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/bench/demonstrator"
)

// newDemo returns the demo command, which runs the whole system on stand-ins.
func newDemo(cfg Config) *cobra.Command {
	var seed uint64
	var keep bool
	var level string
	c := &cobra.Command{
		Use:   "demo",
		Short: "Demonstrate the whole system on embedded stand-ins and check its guarantees",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := demonstrator.New(demonstrator.Config{
				Clock: cfg.Clock, Out: cfg.Out, Progress: os.Stderr, Seed: seed, Keep: keep,
				Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(level), Output: os.Stderr}),
			})
			if err != nil {
				return err
			}
			return d.Run(c.Context())
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals")
	c.Flags().BoolVar(&keep, "keep", false, "keep the system running and print its addresses and keys")
	c.Flags().StringVar(&level, "log-level", "warn", "minimum level of the daemons' logs")
	return c
}
