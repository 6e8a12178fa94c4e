// Package runner runs one scenario of the load tool on real daemons and
// stand-ins within one process and records what callers and stand-ins saw.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/bench/evaluator"
	"cardamomscale.example/cardamomscale/internal/bench/generator"
	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindInvalid reports an incomplete Config.
	KindInvalid Kind = "invalid"
	// KindStart reports parts that could not be started.
	KindStart Kind = "start"
	// KindFault reports a fault that could not be brought about.
	KindFault Kind = "fault"
	// KindStopped reports a run that was stopped.
	KindStopped Kind = "stopped"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Config configures a Runner.
type Config struct {
	Scenario planner.Scenario
	// Policy replaces the policy of the model service's profile, unless it is empty.
	Policy specifier.Policy
	Seed   uint64
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Progress is called with the number of requests that have ended and of all.
	Progress func(done, all int)
	// Samples is the number of requests that were not completed whose decisions
	// are asked from the daemons at the end.
	Samples int
}

// Runner runs one scenario once.
type Runner struct {
	cfg       Config
	generator *generator.Generator
	arrivals  []generator.Arrival
	texts     []string
	assembly  *assembler.Assembly
	loader    *loader.Loader

	mu     sync.Mutex
	done   int
	record evaluator.Record
}

// New draws the arrivals and returns a Runner, or an Error of KindInvalid.
func New(cfg Config) (*Runner, error) {
	if cfg.Clock == nil {
		return nil, newError("new runner", KindInvalid, errors.New("the clock is missing"))
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Progress == nil {
		cfg.Progress = func(int, int) {}
	}
	if cfg.Policy == "" {
		cfg.Policy = cfg.Scenario.Profile.Policy
	}
	g, err := generator.New(generator.Config{Load: cfg.Scenario.Load, Seed: cfg.Seed})
	if err != nil {
		return nil, newError("new runner", KindInvalid, err)
	}
	r := &Runner{cfg: cfg, generator: g, arrivals: g.Arrivals()}
	r.texts = make([]string, g.Families())
	for i := range r.texts {
		r.texts[i] = g.Beginning(i)
	}
	return r, nil
}

// Run runs the scenario and returns what was seen.
func (r *Runner) Run(ctx context.Context) (evaluator.Record, error) {
	r.record = evaluator.Record{
		Scenario: r.cfg.Scenario.Name, Policy: string(r.cfg.Policy), Seed: r.cfg.Seed,
		Duration: r.cfg.Scenario.Load.Duration.Duration, SeededFamilies: r.cfg.Scenario.Load.SeedFamilies,
		LastChange: r.cfg.Scenario.LastChange(),
		Requests:   make([]evaluator.Request, len(r.arrivals)),
	}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return r.record, err
	}
	r.seed(ctx)
	err := r.measure(ctx)
	return r.record, err
}

// start builds the system and applies the configuration.
func (r *Runner) start(ctx context.Context) error {
	a, err := assembler.New(assembler.Config{
		Plan: r.cfg.Scenario.Plan(r.cfg.Policy), Clock: r.cfg.Clock, Logger: r.cfg.Logger, Seed: r.cfg.Seed,
	})
	if err != nil {
		return newError("build stand-ins", KindStart, err)
	}
	r.assembly = a
	r.loader, err = loader.New(loader.Config{Clock: r.cfg.Clock, Balance: a.Balance})
	if err != nil {
		return newError("build loader", KindStart, err)
	}
	if err := a.Apply(ctx, a.Fleet); err != nil {
		return newError("apply configuration", KindStart, err)
	}
	if err := a.StartDaemons(ctx); err != nil {
		return newError("start daemons", KindStart, err)
	}
	return nil
}

func (r *Runner) stop() {
	if r.loader != nil {
		r.loader.Close()
	}
	if r.assembly != nil {
		r.assembly.Close()
	}
}

// measure sends the arrivals while the timeline of faults runs, and waits until
// all requests have ended.
func (r *Runner) measure(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	origin := r.cfg.Clock.Now().Add(r.cfg.Scenario.Load.WarmUp.Duration)
	heap := r.watchHeap(ctx)
	line := newTimeline(r, origin)
	failed := make(chan error, 1)
	go func() { failed <- line.run(ctx) }()
	var requests sync.WaitGroup
	for i, a := range r.arrivals {
		if !r.waitUntil(ctx, origin.Add(a.At)) {
			break
		}
		r.record.SendLag = max(r.record.SendLag, r.cfg.Clock.Since(origin.Add(a.At)))
		requests.Go(func() { r.send(ctx, i, origin.Add(a.At)) })
	}
	requests.Wait()
	stopped := ctx.Err() != nil
	err := <-failed
	line.finish()
	r.record.After = r.snapshot()
	r.record.DuplicateRuns = r.duplicatePayments()
	r.explain(ctx)
	cancel()
	r.record.PeakHeapBytes = <-heap
	if stopped {
		return newError("run scenario", KindStopped, context.Canceled)
	}
	return err
}

// waitUntil waits until a time and returns false when ctx ends before.
func (r *Runner) waitUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(r.cfg.Clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := r.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
