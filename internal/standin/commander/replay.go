package commander

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/relay/replayer"
)

// replayCommand holds the flags of the replay command.
type replayCommand struct {
	cfg        Config
	load       replayer.Config
	seeds      []uint
	faultsFile string
	output     string
}

// newReplay returns the replay command, which runs load against simulated engines.
func newReplay(cfg Config) *cobra.Command {
	r := &replayCommand{cfg: cfg}
	c := &cobra.Command{
		Use:   "replay",
		Short: "Replay load on the relay's reducer with simulated engines and virtual time",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return r.run() },
	}
	flags := c.Flags()
	flags.IntVar(&r.load.Hosts, "hosts", 8, "number of entry hosts")
	flags.IntVar(&r.load.Engines, "engines", 12, "number of simulated engines")
	flags.Float64Var(&r.load.LongRate, "long-rate", 70, "long prompts per second")
	flags.Float64Var(&r.load.ShortRate, "short-rate", 34, "short prompts per second")
	flags.IntVar(&r.load.Subjects, "subjects", 838, "number of distinct long parts that prompts share")
	flags.DurationVar(&r.load.Length, "length", 12*time.Second, "duration in virtual time")
	flags.DurationVar(&r.load.MessageDelay, "message-delay", time.Millisecond, "latency of messages between hosts")
	flags.StringVar(&r.faultsFile, "troubles", "", "JSON file with a list of faults")
	flags.UintSliceVar(&r.seeds, "seed", []uint{1}, "seeds of the arrivals")
	flags.StringVar(&r.output, "output", string(outputTable), "output format: json or table")
	return c
}

// seedResult is the result of the run with one seed.
type seedResult struct {
	Seed uint `json:"seed"`
	replayer.Result
	Share float64 `json:"share-in-time"`
}

func (r *replayCommand) run() error {
	if r.output != string(outputJSON) && r.output != string(outputTable) {
		return newError("replay", KindInvalid, errors.Newf("--output is %q, want json or table", r.output))
	}
	if err := r.readFaults(); err != nil {
		return err
	}
	var results []seedResult
	for _, seed := range r.seeds {
		r.load.Seed = uint64(seed)
		replay, err := replayer.New(r.load)
		if err != nil {
			return newError("replay", KindInvalid, err)
		}
		result := replay.Run()
		results = append(results, seedResult{Seed: seed, Result: result, Share: result.InTimeShare()})
	}
	return r.print(results)
}

func (r *replayCommand) readFaults() error {
	if r.faultsFile == "" {
		return nil
	}
	raw, err := os.ReadFile(r.faultsFile)
	if err != nil {
		return newError("read faults", KindInvalid, err)
	}
	if err := json.Unmarshal(raw, &r.load.Faults); err != nil {
		return newError("read faults", KindInvalid, errors.Wrapf(err, "%s", r.faultsFile))
	}
	return nil
}

func (r *replayCommand) print(results []seedResult) error {
	if r.output == string(outputJSON) {
		enc := json.NewEncoder(r.cfg.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(results)
	}
	t := table.NewWriter()
	t.SetOutputMirror(r.cfg.Out)
	t.AppendHeader(table.Row{"seed", "requests", "in time", "late", "refused", "failed", "share", "tokens read", "imported", "orders"})
	for _, s := range results {
		t.AppendRow(table.Row{s.Seed, s.Requests, s.InTime, s.Late, s.Refused, s.Failed, s.Share, s.PrefilledTokens, s.Imported, s.Orders})
	}
	t.Render()
	return nil
}
