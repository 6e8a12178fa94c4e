package commander

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/bench/soaker"
)

// soak is what the flags of the command give.
type soak struct {
	cfg   Config
	run   soaker.Config
	seeds []uint
	storm time.Duration
	level string
}

// newSoak returns the command that soaks real processes in faults.
func newSoak(cfg Config) *cobra.Command {
	s := &soak{cfg: cfg}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run the relay's processes under faults from outside, and check its promises",
		Long: "Run the relay's processes under faults from outside, and check its promises.\n" +
			"Each seed is a storm of overlapping faults and planned work, and a calm time in which all must be in order.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return s.runAll(c.Context()) },
	}
	flags := c.Flags()
	flags.UintSliceVar(&s.seeds, "seed", []uint{1}, "seeds of the faults, one run each")
	flags.DurationVar(&s.storm, "storm", time.Minute, "time with faults in each run")
	flags.IntVar(&s.run.Hosts, "hosts", 5, "hosts, each a process")
	flags.IntVar(&s.run.Engines, "engines", 4, "model engines")
	flags.IntVar(&s.run.Plains, "plains", 3, "targets of the plain service")
	flags.IntVar(&s.run.Callers, "callers", 16, "callers that ask at once")
	flags.StringVar(&s.run.Binary, "cardamomd", "target/cardamomd", "path of the daemon's program")
	flags.StringVar(&s.run.Dir, "dir", "", "directory for settings and logs; default: a new one, which stays if a promise was broken")
	flags.StringVar(&s.level, "log-level", "warn", "least level of the soak's own log; info shows each fault")
	return c
}

// runAll runs one soak a seed and fails if a promise was broken in any.
func (s *soak) runAll(ctx context.Context) error {
	s.run.Storm = s.storm
	s.run.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(s.level), Output: os.Stderr, JSONFormat: true})
	broken := 0
	enc := json.NewEncoder(s.cfg.Out)
	for _, seed := range s.seeds {
		result, dir, err := s.runSeed(ctx, uint64(seed))
		if err != nil {
			s.run.Logger.Error("the soak could not be run", "seed", seed, "logs", dir)
			return err
		}
		if err := enc.Encode(result); err != nil {
			return err
		}
		if len(result.Broken) > 0 {
			broken++
			s.run.Logger.Error("promises broken", "seed", seed, "logs", dir)
		} else if s.run.Dir == "" {
			if err := os.RemoveAll(dir); err != nil {
				return newError("remove logs", KindInvalid, err)
			}
		}
	}
	if broken > 0 {
		return newError("soak", KindBroken, errors.Newf("%d of %d seeds broke a promise", broken, len(s.seeds)))
	}
	return nil
}

func (s *soak) runSeed(ctx context.Context, seed uint64) (soaker.Result, string, error) {
	cfg := s.run
	cfg.Seed = seed
	if cfg.Dir == "" {
		dir, err := os.MkdirTemp("", "cardamom-soak-")
		if err != nil {
			return soaker.Result{}, "", newError("make directory", KindInvalid, err)
		}
		cfg.Dir = dir
	}
	run, err := soaker.New(cfg)
	if err != nil {
		return soaker.Result{}, cfg.Dir, newError("soak", KindInvalid, err)
	}
	result, err := run.Run(ctx)
	return result, cfg.Dir, err
}
