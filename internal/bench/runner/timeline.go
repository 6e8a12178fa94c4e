package runner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
)

// timeline injects the faults of a scenario at their times. It runs on one
// goroutine, so that the assembly's configuration has a single writer.
type timeline struct {
	runner   *Runner
	assembly *assembler.Assembly
	origin   time.Time
	events   []event
	// counted holds the data centres that are out and whose new work is counted.
	counted map[identifier.DataCentre]bool
	out     map[identifier.DataCentre]bool
	// stopping holds, for each daemon that was stopped gracefully, a channel that
	// is closed when it has stopped.
	stopping map[identifier.Host]chan struct{}
	group    sync.WaitGroup
}

// event is an action of the timeline; at is relative to the start of the
// measured period.
type event struct {
	at  time.Duration
	run func(ctx context.Context) error
}

func newTimeline(r *Runner, origin time.Time) *timeline {
	t := &timeline{
		runner: r, assembly: r.assembly, origin: origin,
		counted: map[identifier.DataCentre]bool{}, out: map[identifier.DataCentre]bool{},
		stopping: map[identifier.Host]chan struct{}{},
	}
	t.add(0, func(context.Context) error {
		r.record.Before = r.snapshot()
		return nil
	})
	for _, f := range r.cfg.Scenario.Faults {
		t.add(f.At.Duration, func(ctx context.Context) error { return t.inject(ctx, f) })
		if f.Kind == planner.FaultDataCentreOut {
			t.add(f.At.Duration+r.cfg.Scenario.OutGrace.Duration, func(context.Context) error {
				t.startCounting(f.DataCentre)
				return nil
			})
		}
	}
	slices.SortStableFunc(t.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return t
}

func (t *timeline) add(at time.Duration, run func(ctx context.Context) error) {
	t.events = append(t.events, event{at: at, run: run})
}

// run runs the events in order until one fails or ctx ends, and returns the
// first error.
func (t *timeline) run(ctx context.Context) error {
	for _, e := range t.events {
		if !t.runner.waitUntil(ctx, t.origin.Add(e.at)) {
			return newError("run timeline", KindStopped, ctx.Err())
		}
		if err := e.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// finish waits for daemons that are stopping and adds the new work of data
// centres that are still out to the record.
func (t *timeline) finish() {
	t.group.Wait()
	for centre := range t.counted {
		t.finishCounting(centre)
	}
}

// startCounting starts to count the new work of a data centre if it is still out.
func (t *timeline) startCounting(centre identifier.DataCentre) {
	if t.out[centre] {
		t.assembly.Mark(centre)
		t.counted[centre] = true
	}
}

// finishCounting adds the counted new work of a data centre to the record.
func (t *timeline) finishCounting(centre identifier.DataCentre) {
	if t.counted[centre] {
		t.runner.record.NewWorkAfterOut += t.assembly.StartedSinceMark(centre)
		delete(t.counted, centre)
	}
}

// inject injects one fault.
func (t *timeline) inject(ctx context.Context, f planner.Fault) error {
	var err error
	switch f.Kind {
	case planner.FaultDataCentreOut, planner.FaultDataCentreIn:
		err = t.setDataCentre(ctx, f)
	case planner.FaultTargetCold, planner.FaultDataCentreCold, planner.FaultTargetFreeze, planner.FaultTargetThaw:
		err = t.injectTargetFault(f)
	case planner.FaultStoreKill, planner.FaultStoreFull, planner.FaultStoreRevive, planner.FaultLinkFactor:
		err = t.injectStoreFault(f)
	case planner.FaultPlatformDown, planner.FaultPlatformSlow, planner.FaultPlatformUp:
		t.assembly.Registrar.SetFaults(registrar.Faults{Down: f.Kind == planner.FaultPlatformDown, Delay: f.Delay})
	case planner.FaultDaemonKill, planner.FaultDaemonStop, planner.FaultDaemonStart:
		err = t.injectDaemonFault(f)
	case planner.FaultPartition:
		t.assembly.Network.Isolate(f.DataCentre, f.Platform)
	case planner.FaultHeal:
		t.assembly.Network.Heal()
	case planner.FaultSilentConnections:
		t.assembly.Network.Silence()
	default:
		err = errors.Newf("kind %q is unknown", f.Kind)
	}
	if err != nil {
		return newError("inject fault "+string(f.Kind), KindFault, err)
	}
	return nil
}

func (t *timeline) setDataCentre(ctx context.Context, f planner.Fault) error {
	state := specifier.StateIn
	if f.Kind == planner.FaultDataCentreOut {
		state = specifier.StateOut
	}
	t.finishCounting(f.DataCentre)
	t.out[f.DataCentre] = state == specifier.StateOut
	return t.assembly.SetDataCentreState(ctx, f.DataCentre, state)
}

// injectTargetFault injects a fault into one target or all targets of a data centre.
func (t *timeline) injectTargetFault(f planner.Fault) error {
	frozen := f.Kind == planner.FaultTargetFreeze
	faults := engine.Faults{Freeze: &frozen}
	if f.Kind == planner.FaultTargetCold || f.Kind == planner.FaultDataCentreCold {
		faults = engine.Faults{Restart: true}
	}
	var err error
	for name, target := range t.assembly.Fleet.Targets {
		if name != f.Target && (f.Kind != planner.FaultDataCentreCold || target.DataCentre != f.DataCentre) {
			continue
		}
		if e, ok := t.assembly.Engines[name]; ok {
			err = errors.CombineErrors(err, e.Apply(faults))
		}
		if p, ok := t.assembly.Responders[name]; ok {
			err = errors.CombineErrors(err, p.Apply(responder.Faults{Restart: faults.Restart}))
		}
	}
	return err
}

func (t *timeline) injectStoreFault(f planner.Fault) error {
	full := f.Kind == planner.FaultStoreFull
	faults := storer.Faults{Kill: f.Kind == planner.FaultStoreKill, Revive: f.Kind == planner.FaultStoreRevive}
	switch f.Kind {
	case planner.FaultStoreFull, planner.FaultStoreRevive:
		faults.Full = &full
	case planner.FaultLinkFactor:
		faults.LinkFactor = &f.Factor
	}
	return t.assembly.Stores[f.Store].Apply(faults)
}

// injectDaemonFault kills, stops or starts a daemon. A graceful stop runs in the
// background; a later start waits for its end.
func (t *timeline) injectDaemonFault(f planner.Fault) error {
	host := t.assembly.Hosts[f.Host]
	switch f.Kind {
	case planner.FaultDaemonKill:
		host.Kill()
	case planner.FaultDaemonStop:
		stopped := make(chan struct{})
		t.stopping[f.Host] = stopped
		t.group.Go(func() {
			defer close(stopped)
			host.Stop()
		})
	case planner.FaultDaemonStart:
		if stopped, ok := t.stopping[f.Host]; ok {
			<-stopped
		}
		return t.assembly.StartDaemon(f.Host)
	}
	return nil
}
