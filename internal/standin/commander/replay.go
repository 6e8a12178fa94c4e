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

// replay is what the flags of the command give.
type replay struct {
	cfg      Config
	load     replayer.Config
	seeds    []uint
	troubles string
	output   string
}

// newReplay returns the command that replays load against a model of the engines.
func newReplay(cfg Config) *cobra.Command {
	r := &replay{cfg: cfg}
	c := &cobra.Command{
		Use:   "replay",
		Short: "Replay load on the relay's reducer against a model of the engines, on virtual time",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return r.run() },
	}
	flags := c.Flags()
	flags.IntVar(&r.load.Hosts, "hosts", 8, "entry hosts")
	flags.IntVar(&r.load.Engines, "engines", 12, "model engines")
	flags.Float64Var(&r.load.LongRate, "long-rate", 70, "long prompts a second")
	flags.Float64Var(&r.load.ShortRate, "short-rate", 34, "short prompts a second")
	flags.IntVar(&r.load.Subjects, "subjects", 838, "long parts that prompts share")
	flags.DurationVar(&r.load.Length, "length", 12*time.Second, "virtual time")
	flags.DurationVar(&r.load.MessageDelay, "message-delay", time.Millisecond, "how long messages between hosts take")
	flags.StringVar(&r.troubles, "troubles", "", "JSON file with a list of troubles")
	flags.UintSliceVar(&r.seeds, "seed", []uint{1}, "seeds of the arrivals")
	flags.StringVar(&r.output, "output", string(outputTable), "form of the result: json or table")
	return c
}

// seeded is the result of one seed.
type seeded struct {
	Seed uint `json:"seed"`
	replayer.Result
	Share float64 `json:"share-in-time"`
}

func (r *replay) run() error {
	if r.output != string(outputJSON) && r.output != string(outputTable) {
		return newError("replay", KindInvalid, errors.Newf("--output is %q, want json or table", r.output))
	}
	if err := r.readTroubles(); err != nil {
		return err
	}
	var results []seeded
	for _, seed := range r.seeds {
		r.load.Seed = uint64(seed)
		replay, err := replayer.New(r.load)
		if err != nil {
			return newError("replay", KindInvalid, err)
		}
		result := replay.Run()
		results = append(results, seeded{Seed: seed, Result: result, Share: result.Share()})
	}
	return r.print(results)
}

func (r *replay) readTroubles() error {
	if r.troubles == "" {
		return nil
	}
	raw, err := os.ReadFile(r.troubles)
	if err != nil {
		return newError("read troubles", KindInvalid, err)
	}
	if err := json.Unmarshal(raw, &r.load.Troubles); err != nil {
		return newError("read troubles", KindInvalid, errors.Wrapf(err, "%s", r.troubles))
	}
	return nil
}

func (r *replay) print(results []seeded) error {
	if r.output == string(outputJSON) {
		enc := json.NewEncoder(r.cfg.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(results)
	}
	t := table.NewWriter()
	t.SetOutputMirror(r.cfg.Out)
	t.AppendHeader(table.Row{"seed", "requests", "in time", "late", "refused", "failed", "share", "tokens read", "imported", "orders"})
	for _, s := range results {
		t.AppendRow(table.Row{s.Seed, s.Requests, s.InTime, s.Late, s.Refused, s.Failed, s.Share, s.Read, s.Imported, s.Orders})
	}
	t.Render()
	return nil
}
