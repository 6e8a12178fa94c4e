package runner

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/caller"
)

// leaseName is the object that says who gives orders.
const leaseName = "orders"

// runEffects runs the reducer's ticks and the effects that concern no request.
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

// dispatch carries out an effect, beside others if it is a call.
func (r *Runner) dispatch(ctx context.Context, effect decider.Effect) {
	switch e := effect.(type) {
	case decider.Tell:
		r.gossiper.SendMessage(e.To, e.Message)
		return
	case decider.TellParts:
		r.gossiper.SendParts(e.To, e.Parts)
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
		asked := r.cfg.Clock.Now()
		object, err := r.caller.Get(ctx, caller.KindLeases, leaseName)
		r.post(r.leaseEvent(object, err, asked, false))
	case decider.RenewLease:
		r.renewLease(ctx, e.Revision)
	case decider.ReadReport:
		report, err := r.caller.Report(ctx, e.Address)
		r.post(decider.ReportSeen{Target: e.Target, Report: report, Err: err})
	case decider.GiveOrder:
		r.sendOrder(ctx, e)
	case decider.Probe:
		r.probe(ctx, e)
	case decider.FreeParts:
		if err := r.caller.FreeParts(ctx, e.Store, e.Boot, e.Salt, e.Parts); err != nil {
			r.cfg.Logger.Warn("parts not freed, listing the store", "store", e.Store.String(), "error", err.Error())
			r.listParts(ctx, e.Store)
		}
	case decider.ListParts:
		r.listParts(ctx, e.Store)
	}
}

func (r *Runner) renewLease(ctx context.Context, revision int64) {
	asked := r.cfg.Clock.Now()
	spec := decider.Lease{Holder: r.cfg.Settings.Host, Boot: r.cfg.Boot, Renewal: asked.UnixNano()}
	var object caller.Object
	var err error
	if revision == 0 {
		object, err = r.caller.Create(ctx, caller.KindLeases, leaseName, spec)
	} else {
		object, err = r.caller.Replace(ctx, caller.KindLeases, leaseName, revision, spec)
	}
	r.post(r.leaseEvent(object, err, asked, true))
}

func (r *Runner) leaseEvent(object caller.Object, err error, asked time.Time, written bool) decider.LeaseSeen {
	ev := decider.LeaseSeen{Asked: asked, Written: written}
	switch {
	case err == nil:
		if err := json.Unmarshal(object.Spec, &ev.Lease); err != nil {
			r.cfg.Logger.Error("lease not understood, taken as nobody's", "error", err.Error())
		}
		ev.Lease.Revision = object.Revision
	case caller.KindOf(err) == caller.KindMissing:
		ev.Missing = true
	default:
		ev.Err = true
		r.cfg.Logger.Warn("lease call failed", "error", err.Error(), "written", written)
	}
	return ev
}

func (r *Runner) sendOrder(ctx context.Context, e decider.GiveOrder) {
	if !r.cfg.Clock.Now().Before(e.Until) {
		r.post(decider.OrderAnswered{Target: e.Target, Outcome: decider.OrderRefused, Detail: "the lease's window is over, not sent"})
		return
	}
	err := r.caller.Order(ctx, e.Address, e.Target, e.Order)
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

// probe asks a target whether it answers at all.
func (r *Runner) probe(ctx context.Context, e decider.Probe) {
	var err error
	if e.Path == "" {
		_, err = r.caller.Report(ctx, e.Address)
	} else {
		err = r.caller.Health(ctx, e.Address, e.Path, e.Target)
	}
	alive := err == nil || caller.KindOf(err) != caller.KindUnanswered
	r.post(decider.ProbeAnswered{Target: e.Target, Alive: alive})
}

func (r *Runner) listParts(ctx context.Context, store netip.AddrPort) {
	asked := r.cfg.Clock.Now()
	list, err := r.caller.PartList(ctx, store)
	if err != nil {
		r.cfg.Logger.Warn("store not listed", "store", store.String(), "error", err.Error())
		r.post(decider.StoreLost{Store: store})
		return
	}
	r.post(decider.PartsChanged{Store: store, Changes: list, Whole: true, AsOf: asked})
}
