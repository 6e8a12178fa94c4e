package runner

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/caller"
)

// leaseName is the name of the lease whose holder may send orders to engines.
const leaseName = "orders"

// runEffects posts the reducer's ticks and executes the effects that belong to no request.
func (r *Runner) runEffects(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.post(decider.Tick{})
		case effect := <-r.executor.Effects():
			r.dispatch(ctx, effect)
		}
	}
}

// dispatch executes an effect. Calls run concurrently, maxConcurrentCalls at most.
func (r *Runner) dispatch(ctx context.Context, effect decider.Effect) {
	switch e := effect.(type) {
	case decider.SendMessage:
		r.gossiper.SendMessage(e.To, e.Message)
		return
	case decider.RelayParts:
		r.gossiper.RelayParts(e.To, e.Parts)
		return
	case decider.RefreshConfig:
		r.follower.Refresh(caller.KindConfig)
		return
	}
	go func() {
		select {
		case r.callSlots <- struct{}{}:
			defer func() { <-r.callSlots }()
			r.execute(ctx, effect)
		case <-ctx.Done():
		}
	}()
}

func (r *Runner) execute(ctx context.Context, effect decider.Effect) {
	switch e := effect.(type) {
	case decider.ReadLease:
		sentAt := r.cfg.Clock.Now()
		object, err := r.caller.Get(ctx, caller.KindLeases, leaseName)
		r.post(r.leaseEvent(object, err, sentAt, false))
	case decider.RenewLease:
		r.renewLease(ctx, e)
	case decider.ReadReport:
		report, err := r.readReport(ctx, e.Target, e.StartedAt, e.Address)
		r.post(decider.ReportAnswered{Target: e.Target, Report: report, Err: err})
	case decider.GiveOrder:
		r.sendOrder(ctx, e)
	case decider.Probe:
		r.probe(ctx, e)
	case decider.FreeParts:
		if err := r.caller.FreeParts(ctx, e.Store, e.Boot, e.Salt, e.Parts); err != nil {
			r.cfg.Logger.Warn("failed to free parts, listing the store", "store", e.Store.String(), "error", err.Error())
			r.listParts(ctx, e.Store)
		}
	case decider.ListParts:
		r.listParts(ctx, e.Store)
	case decider.KeepQuarantine:
		r.keepQuarantine(ctx, e.KeptSuspect)
	case decider.DropQuarantine:
		r.dropQuarantine(ctx, e.Suspect)
	case decider.ClaimTrial:
		r.claimTrial(ctx, e.KeptSuspect)
	case decider.WriteRolloutStatus:
		r.writeRolloutStatus(ctx, e)
	}
}

// readReport reads an engine's report and posts what the engine says about itself.
func (r *Runner) readReport(ctx context.Context, target string, startedAt time.Time, addr netip.AddrPort) (descriptor.Report, error) {
	report, notice, err := r.caller.ReadReport(ctx, addr)
	if !report.StartedAt.IsZero() {
		startedAt = report.StartedAt // Another process may have answered.
	}
	r.postNotice(target, startedAt, notice)
	return report, err
}

// postNotice posts what a target says about itself, if anything.
func (r *Runner) postNotice(target string, startedAt time.Time, notice descriptor.Notice) {
	if notice != (descriptor.Notice{}) {
		r.post(decider.NoticeReceived{Target: target, StartedAt: startedAt, Notice: notice})
	}
}

func (r *Runner) renewLease(ctx context.Context, e decider.RenewLease) {
	sentAt := r.cfg.Clock.Now()
	spec := decider.Lease{Holder: r.cfg.Settings.Host, Boot: r.cfg.Boot, Renewal: sentAt.UnixNano(), WriterEra: e.Era, IdleFor: e.IdleFor}
	var object caller.Object
	var err error
	if e.Revision == 0 {
		object, err = r.caller.Create(ctx, caller.KindLeases, leaseName, spec)
	} else {
		object, err = r.caller.Replace(ctx, caller.KindLeases, leaseName, e.Revision, spec)
	}
	r.post(r.leaseEvent(object, err, sentAt, true))
}

func (r *Runner) leaseEvent(object caller.Object, err error, sentAt time.Time, written bool) decider.LeaseAnswered {
	r.follower.ObserveEra(object.Era)
	r.follower.ObserveCall(err)
	ev := decider.LeaseAnswered{CalledAt: sentAt, Written: written}
	switch {
	case err == nil:
		if err := json.Unmarshal(object.Spec, &ev.Lease); err != nil {
			r.cfg.Logger.Error("failed to decode the lease, assuming no holder", "error", err.Error())
		}
		ev.Lease.Era, ev.Lease.Revision = object.Era, object.Revision
	case caller.KindOf(err) == caller.KindMissing:
		ev.Missing, ev.Lease.Era = true, object.Era
	default:
		ev.Err = true
		r.cfg.Logger.Warn("lease call failed", "error", err.Error(), "written", written)
	}
	return ev
}

func (r *Runner) sendOrder(ctx context.Context, e decider.GiveOrder) {
	if !r.cfg.Clock.Now().Before(e.Until) {
		r.post(decider.OrderAnswered{Target: e.Target, Outcome: decider.OrderRefused, Detail: "not sent: the lease has expired"})
		return
	}
	notice, err := r.caller.Order(ctx, e.Address, e.Target, e.Order)
	r.postNotice(e.Target, e.StartedAt, notice)
	ev := decider.OrderAnswered{Target: e.Target, Outcome: decider.OrderAccepted}
	switch {
	case err == nil:
	case caller.KindOf(err) == caller.KindUnanswered:
		ev.Outcome, ev.Detail = decider.OrderUnknown, err.Error()
	default:
		ev.Outcome, ev.Detail = decider.OrderRefused, err.Error()
	}
	r.post(ev)
}

// probe checks whether a target's process responds. Any response counts, also an error, unless another
// process sent it.
func (r *Runner) probe(ctx context.Context, e decider.Probe) {
	ev := decider.ProbeAnswered{Target: e.Target}
	var err error
	if e.Path == "" {
		_, err = r.readReport(ctx, e.Target, e.StartedAt, e.Address)
	} else {
		var health caller.Health
		health, err = r.caller.CheckHealth(ctx, e.Address, e.Path, e.Target)
		if !health.OtherProcess {
			r.postNotice(e.Target, e.StartedAt, health.Notice)
		}
		// The check may wait for a slot.
		ev.Inconclusive = errors.Is(err, context.DeadlineExceeded) || health.Answered
		if health.OtherProcess {
			r.post(ev)
			return
		}
	}
	ev.Alive = err == nil || caller.KindOf(err) != caller.KindUnanswered
	r.post(ev)
}

func (r *Runner) listParts(ctx context.Context, store netip.AddrPort) {
	sentAt := r.cfg.Clock.Now()
	list, err := r.caller.ListParts(ctx, store)
	if err != nil {
		r.cfg.Logger.Warn("failed to list the parts of a store", "store", store.String(), "error", err.Error())
		r.post(decider.StoreLost{Store: store})
		return
	}
	r.post(decider.PartsChanged{Store: store, Changes: list, Whole: true, AsOf: sentAt})
}
