package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/bench/evaluator"
	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/bench/runner"
	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
)

// output names a form in which results are printed.
type output string

// The forms of output.
const (
	outputJSON  output = "json"
	outputTable output = "table"
)

// progressInterval is the time between two lines of progress.
const progressInterval = time.Second

const defaultSamples = 5

// Bounds of the load factor.
const (
	minLoadFactor = 0.01
	maxLoadFactor = 100
)

// bench is what the flags of the command give.
type bench struct {
	cfg      Config
	scenario string
	policies []string
	seeds    []uint
	output   string
	out      string
	level    string
	strict   bool
	factor   float64
	samples  int
}

// newBench returns the command that measures scenarios.
func newBench(cfg Config) *cobra.Command {
	b := &bench{cfg: cfg}
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure a scenario on real daemons and stand-ins in one process",
		Long: "Measure a scenario on real daemons and stand-ins in one process.\n" +
			"Each policy gets the same arrivals for the same seed; runs follow one another.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return b.run(c.Context()) },
	}
	flags := c.Flags()
	flags.StringVar(&b.scenario, "scenario", "", "JSON file of the scenario")
	flags.StringSliceVar(&b.policies, "policy", nil, "policies of the model service; default: that of the scenario's profile")
	flags.UintSliceVar(&b.seeds, "seed", []uint{1}, "seeds of the arrivals")
	flags.StringVar(&b.output, "output", string(outputTable), "form of the result: json or table")
	flags.StringVar(&b.out, "out", "", "file for the result in JSON, besides what is printed")
	flags.Float64Var(&b.factor, "load-factor", 1, "what the scenario's rates are multiplied by")
	flags.IntVar(&b.samples, "samples", defaultSamples, "requests that were not completed to explain in the JSON result of each run")
	flags.StringVar(&b.level, "log-level", "error", "least level of the daemons' logs")
	flags.BoolVar(&b.strict, "strict", false, "fail when a measure that must be zero is not")
	if err := c.MarkFlagRequired("scenario"); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "flag %q is not defined", "scenario"))
	}
	return c
}

// run runs all policies for each seed and prints the result.
func (b *bench) run(ctx context.Context) error {
	scenario, err := planner.Read(b.scenario)
	if err != nil {
		return err
	}
	if err := b.check(); err != nil {
		return err
	}
	scenario.Load.Scale(b.factor)
	policies := b.policies
	if len(policies) == 0 {
		policies = []string{string(scenario.Profile.Policy)}
	}
	var results []evaluator.Result
	for _, seed := range b.seeds {
		for _, policy := range policies {
			result, err := b.measure(ctx, scenario, specifier.Policy(policy), uint64(seed))
			if err != nil {
				return err
			}
			results = append(results, result)
		}
	}
	if err := b.print(evaluator.Compare(scenario.Name, results)); err != nil {
		return err
	}
	return b.judge(results)
}

// check checks the flags.
func (b *bench) check() error {
	r := decoder.Reporter{File: "flags"}
	for _, policy := range b.policies {
		decoder.OneOf(&r, "policy", specifier.Policy(policy), specifier.Policy("").Allowed())
	}
	decoder.Within(&r, "load-factor", b.factor, minLoadFactor, maxLoadFactor)
	decoder.OneOf(&r, "output", output(b.output), []output{outputJSON, outputTable})
	if len(r.Problems) > 0 {
		return newError("check flags", KindInvalid, r.Problems)
	}
	return nil
}

// measure runs one policy with one seed.
func (b *bench) measure(ctx context.Context, scenario planner.Scenario, policy specifier.Policy, seed uint64) (evaluator.Result, error) {
	bar := progressbar.NewOptions(-1,
		progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(), progressbar.OptionThrottle(progressInterval),
		progressbar.OptionSetDescription(fmt.Sprintf("%s %s seed %d", scenario.Name, policy, seed)))
	r, err := runner.New(runner.Config{
		Scenario: scenario, Policy: policy, Seed: seed, Clock: b.cfg.Clock, Samples: b.samples,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(b.level), Output: os.Stderr}),
		Progress: func(done, all int) {
			bar.ChangeMax(all)
			_ = bar.Set(done)
		},
	})
	if err != nil {
		return evaluator.Result{}, err
	}
	record, err := r.Run(ctx)
	_ = bar.Finish()
	_, _ = fmt.Fprintln(os.Stderr)
	if err != nil {
		return evaluator.Result{}, err
	}
	return evaluator.Evaluate(record), nil
}

func (b *bench) print(report evaluator.Report) error {
	if b.out != "" {
		f, err := os.Create(b.out)
		if err != nil {
			return newError("write result", KindInvalid, err)
		}
		if err := errors.CombineErrors(encode(f, report), f.Close()); err != nil {
			return newError("write result", KindInvalid, err)
		}
	}
	if output(b.output) == outputJSON {
		return encode(b.cfg.Out, report)
	}
	report.Print(b.cfg.Out)
	return nil
}

func encode(w io.Writer, report evaluator.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// judge tells of measures that must be zero and are not.
func (b *bench) judge(results []evaluator.Result) error {
	var lines []string
	for _, r := range results {
		for _, violation := range r.Violations() {
			lines = append(lines, fmt.Sprintf("policy %s, seed %d: %s", r.Policy, r.Seed, violation))
		}
	}
	if len(lines) == 0 {
		return nil
	}
	text := strings.Join(lines, "; ")
	if b.strict {
		return newError("judge runs", KindInvalid, errors.New(text))
	}
	_, _ = fmt.Fprintln(os.Stderr, "violations:", text)
	return nil
}
