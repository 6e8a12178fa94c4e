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

// soakCommand holds the flags of the soak command.
type soakCommand struct {
	cfg           Config
	soak          soaker.Config
	seeds         []uint
	faultDuration time.Duration
	logLevel      string
}

// newSoak returns the soak command, which runs real processes under faults.
func newSoak(cfg Config) *cobra.Command {
	s := &soakCommand{cfg: cfg}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run the relay's processes under external faults and check its guarantees",
		Long: "Run the relay's processes under external faults and check its guarantees.\n" +
			"Each seed runs a phase of overlapping faults and planned work, then a phase without faults in which service must be back to normal.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return s.runAll(c.Context()) },
	}
	flags := c.Flags()
	flags.UintSliceVar(&s.seeds, "seed", []uint{1}, "seeds of the faults, one run each")
	flags.DurationVar(&s.faultDuration, "storm", time.Minute, "duration of the faults in each run")
	flags.IntVar(&s.soak.Hosts, "hosts", 5, "number of hosts, one process each")
	flags.IntVar(&s.soak.Engines, "engines", 4, "number of model engines")
	flags.IntVar(&s.soak.PlainTargets, "plains", 3, "number of targets of the plain service")
	flags.IntVar(&s.soak.Callers, "callers", 16, "number of concurrent callers")
	flags.StringVar(&s.soak.Binary, "cardamomd", "target/cardamomd", "path of the daemon's binary")
	flags.StringVar(&s.soak.Dir, "dir", "", "directory for settings and logs; default: a new one, which is kept if a guarantee was violated")
	flags.StringVar(&s.logLevel, "log-level", "warn", "minimum level of the soak's own log; info shows each fault")
	return c
}

// runAll runs one soak per seed and fails if any of them violated a guarantee.
func (s *soakCommand) runAll(ctx context.Context) error {
	s.soak.FaultDuration = s.faultDuration
	s.soak.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(s.logLevel), Output: os.Stderr, JSONFormat: true})
	violated := 0
	enc := json.NewEncoder(s.cfg.Out)
	for _, seed := range s.seeds {
		result, dir, err := s.runSeed(ctx, uint64(seed))
		if err != nil {
			s.soak.Logger.Error("soak could not be run", "seed", seed, "logs", dir)
			return err
		}
		if err := enc.Encode(result); err != nil {
			return err
		}
		if len(result.Violations) > 0 {
			violated++
			s.soak.Logger.Error("guarantees violated", "seed", seed, "logs", dir)
		} else if s.soak.Dir == "" {
			if err := os.RemoveAll(dir); err != nil {
				return newError("remove logs", KindInvalid, err)
			}
		}
	}
	if violated > 0 {
		return newError("soak", KindViolation, errors.Newf("guarantees violated with %d of %d seeds", violated, len(s.seeds)))
	}
	return nil
}

// runSeed runs one soak and returns its result and the directory of its logs.
func (s *soakCommand) runSeed(ctx context.Context, seed uint64) (soaker.Result, string, error) {
	cfg := s.soak
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
