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

// timeline brings about the faults of a scenario at their times. One goroutine
// runs it, so that the assembly's configuration has one writer.
type timeline struct {
	runner   *Runner
	assembly *assembler.Assembly
	origin   time.Time
	events   []event
	// marked holds the data centres that are out and whose targets count new work.
	marked map[identifier.DataCentre]bool
	out    map[identifier.DataCentre]bool
	stops  map[identifier.Host]chan struct{}
	group  sync.WaitGroup
}

// event is one step of the timeline.
type event struct {
	at  time.Duration
	run func(ctx context.Context) error
}

func newTimeline(r *Runner, origin time.Time) *timeline {
	t := &timeline{
		runner: r, assembly: r.assembly, origin: origin,
		marked: map[identifier.DataCentre]bool{}, out: map[identifier.DataCentre]bool{},
		stops: map[identifier.Host]chan struct{}{},
	}
	t.add(0, func(context.Context) error {
		r.record.Before = r.snapshot()
		return nil
	})
	for _, f := range r.cfg.Scenario.Faults {
		t.add(f.At.Duration, func(ctx context.Context) error { return t.apply(ctx, f) })
		if f.Kind == planner.FaultDataCentreOut {
			t.add(f.At.Duration+r.cfg.Scenario.OutGrace.Duration, func(context.Context) error {
				t.mark(f.DataCentre)
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

// run runs all events; it returns the first Error of KindFault.
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

// finish waits for daemons that are stopping and takes the counts of data
// centres that are still out.
func (t *timeline) finish() {
	t.group.Wait()
	for centre := range t.marked {
		t.count(centre)
	}
}

// mark begins to count the new work of a data centre that is out.
func (t *timeline) mark(centre identifier.DataCentre) {
	if t.out[centre] {
		t.assembly.Mark(centre)
		t.marked[centre] = true
	}
}

func (t *timeline) count(centre identifier.DataCentre) {
	if t.marked[centre] {
		t.runner.record.NewWorkAfterOut += t.assembly.StartedSinceMark(centre)
		delete(t.marked, centre)
	}
}

// apply brings about one fault.
func (t *timeline) apply(ctx context.Context, f planner.Fault) error {
	var err error
	switch f.Kind {
	case planner.FaultDataCentreOut, planner.FaultDataCentreIn:
		err = t.setDataCentre(ctx, f)
	case planner.FaultTargetCold, planner.FaultDataCentreCold, planner.FaultTargetFreeze, planner.FaultTargetThaw:
		err = t.applyTargets(f)
	case planner.FaultStoreKill, planner.FaultStoreFull, planner.FaultStoreRevive, planner.FaultLinkFactor:
		err = t.applyStore(f)
	case planner.FaultPlatformDown, planner.FaultPlatformSlow, planner.FaultPlatformUp:
		t.assembly.Registrar.SetFaults(registrar.Faults{Down: f.Kind == planner.FaultPlatformDown, Delay: f.Delay})
	case planner.FaultDaemonKill, planner.FaultDaemonStop, planner.FaultDaemonStart:
		err = t.applyDaemon(f)
	case planner.FaultPartition:
		t.assembly.Network.Split(f.DataCentre, f.Platform)
	case planner.FaultHeal:
		t.assembly.Network.Heal()
	case planner.FaultSilentConnections:
		t.assembly.Network.Silence()
	default:
		err = errors.Newf("kind %q is unknown", f.Kind)
	}
	if err != nil {
		return newError("bring about "+string(f.Kind), KindFault, err)
	}
	return nil
}

func (t *timeline) setDataCentre(ctx context.Context, f planner.Fault) error {
	state := specifier.StateIn
	if f.Kind == planner.FaultDataCentreOut {
		state = specifier.StateOut
	}
	t.count(f.DataCentre)
	t.out[f.DataCentre] = state == specifier.StateOut
	return t.assembly.SetDataCentre(ctx, f.DataCentre, state)
}

// applyTargets applies a fault to one target or to all of a data centre.
func (t *timeline) applyTargets(f planner.Fault) error {
	frozen := f.Kind == planner.FaultTargetFreeze
	change := engine.Faults{Freeze: &frozen}
	if f.Kind == planner.FaultTargetCold || f.Kind == planner.FaultDataCentreCold {
		change = engine.Faults{Restart: true}
	}
	var err error
	for name, target := range t.assembly.Fleet.Targets {
		if name != f.Target && (f.Kind != planner.FaultDataCentreCold || target.DataCentre != f.DataCentre) {
			continue
		}
		if e, ok := t.assembly.Engines[name]; ok {
			err = errors.CombineErrors(err, e.Apply(change))
		}
		if p, ok := t.assembly.Responders[name]; ok {
			err = errors.CombineErrors(err, p.Apply(responder.Faults{Restart: change.Restart}))
		}
	}
	return err
}

func (t *timeline) applyStore(f planner.Fault) error {
	full := f.Kind == planner.FaultStoreFull
	change := storer.Faults{Kill: f.Kind == planner.FaultStoreKill, Revive: f.Kind == planner.FaultStoreRevive}
	switch f.Kind {
	case planner.FaultStoreFull, planner.FaultStoreRevive:
		change.Full = &full
	case planner.FaultLinkFactor:
		change.LinkFactor = &f.Factor
	}
	return t.assembly.Stores[f.Store].Apply(change)
}

// applyDaemon ends or starts a daemon. A graceful stop goes on in the background.
func (t *timeline) applyDaemon(f planner.Fault) error {
	host := t.assembly.Hosts[f.Host]
	switch f.Kind {
	case planner.FaultDaemonKill:
		host.Kill()
	case planner.FaultDaemonStop:
		ended := make(chan struct{})
		t.stops[f.Host] = ended
		t.group.Go(func() {
			defer close(ended)
			host.Stop()
		})
	case planner.FaultDaemonStart:
		if ended, ok := t.stops[f.Host]; ok {
			<-ended
		}
		return t.assembly.StartDaemon(f.Host)
	}
	return nil
}
