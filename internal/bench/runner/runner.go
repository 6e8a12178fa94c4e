// Package runner runs one scenario of the load tool against daemons and stand-ins
// in the same process and records the results of callers and stand-ins.
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
	// KindStart reports stand-ins or daemons that could not be started.
	KindStart Kind = "start"
	// KindFault reports a fault that could not be injected.
	KindFault Kind = "fault"
	// KindStopped reports a run that was cancelled.
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
	// Policy overrides the policy of the model service's profile, unless empty.
	Policy specifier.Policy
	Seed   uint64
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Progress is called with the number of requests that have ended.
	Progress func(done int)
	// Samples is the maximum number of requests that were not completed whose
	// explanations are fetched from the daemons at the end.
	Samples int
}

// Runner runs one scenario once.
type Runner struct {
	cfg       Config
	generator *generator.Generator
	arrivals  []generator.Arrival
	// prefixes holds the shared prompt prefix of each family.
	prefixes []string
	assembly *assembler.Assembly
	loader   *loader.Loader

	mu     sync.Mutex
	done   int
	record evaluator.Record
}

// New generates the arrivals and returns a Runner, or an Error of KindInvalid.
func New(cfg Config) (*Runner, error) {
	if cfg.Clock == nil {
		return nil, newError("new runner", KindInvalid, errors.New("the clock is missing"))
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Progress == nil {
		cfg.Progress = func(int) {}
	}
	if cfg.Policy == "" {
		cfg.Policy = cfg.Scenario.Profile.Policy
	}
	g, err := generator.New(generator.Config{Load: cfg.Scenario.Load, Seed: cfg.Seed})
	if err != nil {
		return nil, newError("new runner", KindInvalid, err)
	}
	r := &Runner{cfg: cfg, generator: g, arrivals: g.Arrivals()}
	r.prefixes = make([]string, g.FamilyCount())
	for i := range r.prefixes {
		r.prefixes[i] = g.SharedPrefix(i)
	}
	return r, nil
}

// Requests returns the number of requests that Run sends.
func (r *Runner) Requests() int { return len(r.arrivals) }

// Run runs the scenario and returns its record.
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
	r.seedFamilies(ctx)
	err := r.sendAll(ctx)
	return r.record, err
}

// start starts the stand-ins, applies the configuration and starts the daemons.
func (r *Runner) start(ctx context.Context) error {
	a, err := assembler.New(assembler.Config{
		Plan: r.cfg.Scenario.Plan(r.cfg.Policy), Clock: r.cfg.Clock, Logger: r.cfg.Logger, Seed: r.cfg.Seed,
	})
	if err != nil {
		return newError("build stand-ins", KindStart, err)
	}
	r.assembly = a
	r.loader, err = loader.New(loader.Config{Clock: r.cfg.Clock, Daemons: a.ReadyAddresses})
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

// sendAll sends the arrivals while the timeline injects the faults, and waits
// until all requests have ended.
func (r *Runner) sendAll(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	origin := r.cfg.Clock.Now().Add(r.cfg.Scenario.Load.WarmUp.Duration)
	peakHeap := r.trackPeakHeap(ctx)
	faults := newTimeline(r, origin)
	faultErr := make(chan error, 1)
	go func() { faultErr <- faults.run(ctx) }()
	var requests sync.WaitGroup
	for i, a := range r.arrivals {
		if !r.waitUntil(ctx, origin.Add(a.At)) {
			break
		}
		r.record.SendLag = max(r.record.SendLag, r.cfg.Clock.Since(origin.Add(a.At)))
		requests.Go(func() { r.sendArrival(ctx, i, origin.Add(a.At)) })
	}
	requests.Wait()
	stopped := ctx.Err() != nil
	err := <-faultErr
	faults.finish()
	r.record.After = r.snapshot()
	r.record.DuplicateRuns = r.countDuplicateRuns()
	r.collectExplanations(ctx)
	cancel()
	r.record.PeakHeapBytes = <-peakHeap
	if stopped {
		return newError("run scenario", KindStopped, context.Canceled)
	}
	return err
}

// waitUntil waits until a time and returns false if ctx ends first.
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
