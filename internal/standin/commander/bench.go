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

// output is an output format of results.
type output string

// The output formats.
const (
	outputJSON  output = "json"
	outputTable output = "table"
)

// progressInterval is the time between two updates of the progress bar.
const progressInterval = time.Second

const defaultSamples = 5

// Bounds of --load-factor.
const (
	minLoadFactor = 0.01
	maxLoadFactor = 100
)

// benchCommand holds the flags of the bench command.
type benchCommand struct {
	cfg        Config
	scenario   string
	policies   []string
	seeds      []uint
	output     string
	outFile    string
	logLevel   string
	strict     bool
	loadFactor float64
	samples    int
}

// newBench returns the bench command, which measures a scenario.
func newBench(cfg Config) *cobra.Command {
	b := &benchCommand{cfg: cfg}
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure a scenario on real daemons and stand-ins in one process",
		Long: "Measure a scenario on real daemons and stand-ins in one process.\n" +
			"All policies get the same arrivals for the same seed; runs are sequential.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return b.run(c.Context()) },
	}
	flags := c.Flags()
	flags.StringVar(&b.scenario, "scenario", "", "JSON file with the scenario")
	flags.StringSliceVar(&b.policies, "policy", nil, "policies of the model service; default: the policy of the scenario's profile")
	flags.UintSliceVar(&b.seeds, "seed", []uint{1}, "seeds of the arrivals")
	flags.StringVar(&b.output, "output", string(outputTable), "output format: json or table")
	flags.StringVar(&b.outFile, "out", "", "file to which the result is also written as JSON")
	flags.Float64Var(&b.loadFactor, "load-factor", 1, "multiplier of the scenario's rates")
	flags.IntVar(&b.samples, "samples", defaultSamples, "number of incomplete requests to explain in the JSON result of each run")
	flags.StringVar(&b.logLevel, "log-level", "error", "minimum level of the daemons' logs")
	flags.BoolVar(&b.strict, "strict", false, "fail if a measure that must be zero is not")
	if err := c.MarkFlagRequired("scenario"); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "flag %q is not defined", "scenario"))
	}
	return c
}

// run runs each policy with each seed and prints the results.
func (b *benchCommand) run(ctx context.Context) error {
	scenario, err := planner.Read(b.scenario)
	if err != nil {
		return err
	}
	if err := b.validate(); err != nil {
		return err
	}
	scenario.Load.Scale(b.loadFactor)
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
	return b.reportViolations(results)
}

// validate checks the flags.
func (b *benchCommand) validate() error {
	r := decoder.Reporter{File: "flags"}
	for _, policy := range b.policies {
		decoder.CheckOneOf(&r, "policy", specifier.Policy(policy), specifier.Policy("").Allowed())
	}
	decoder.CheckRange(&r, "load-factor", b.loadFactor, minLoadFactor, maxLoadFactor)
	decoder.CheckOneOf(&r, "output", output(b.output), []output{outputJSON, outputTable})
	if len(r.Problems) > 0 {
		return newError("check flags", KindInvalid, r.Problems)
	}
	return nil
}

// measure runs the scenario for one policy and seed.
func (b *benchCommand) measure(ctx context.Context, scenario planner.Scenario, policy specifier.Policy, seed uint64) (evaluator.Result, error) {
	var bar *progressbar.ProgressBar
	r, err := runner.New(runner.Config{
		Scenario: scenario, Policy: policy, Seed: seed, Clock: b.cfg.Clock, Samples: b.samples,
		Logger:   hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(b.logLevel), Output: os.Stderr}),
		Progress: func(done int) { _ = bar.Set(done) },
	})
	if err != nil {
		return evaluator.Result{}, err
	}
	bar = progressbar.NewOptions(r.Requests(),
		progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(), progressbar.OptionThrottle(progressInterval),
		progressbar.OptionSetDescription(fmt.Sprintf("%s %s seed %d", scenario.Name, policy, seed)))
	record, err := r.Run(ctx)
	_ = bar.Finish()
	_, _ = fmt.Fprintln(os.Stderr)
	if err != nil {
		return evaluator.Result{}, err
	}
	return evaluator.Evaluate(record), nil
}

// print writes report to the output and, if --out is set, to that file as JSON.
func (b *benchCommand) print(report evaluator.Report) error {
	if b.outFile != "" {
		f, err := os.Create(b.outFile)
		if err != nil {
			return newError("write result", KindInvalid, err)
		}
		if err := errors.CombineErrors(writeJSON(f, report), f.Close()); err != nil {
			return newError("write result", KindInvalid, err)
		}
	}
	if output(b.output) == outputJSON {
		return writeJSON(b.cfg.Out, report)
	}
	report.Print(b.cfg.Out)
	return nil
}

func writeJSON(w io.Writer, report evaluator.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// reportViolations lists the measures that must be zero and are not: as an error if
// --strict is set, otherwise on standard error.
func (b *benchCommand) reportViolations(results []evaluator.Result) error {
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
		return newError("check results", KindInvalid, errors.New(text))
	}
	_, _ = fmt.Fprintln(os.Stderr, "violations:", text)
	return nil
}
