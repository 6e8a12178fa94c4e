package runner

import (
	"context"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// listQuarantinePause is the pause before another attempt to list the parts in quarantine.
const listQuarantinePause = 500 * time.Millisecond

// quarantineName returns the name of a part's object in the platform's store.
func quarantineName(part decider.ModelPart) string {
	return strconv.FormatUint(xxh3.HashString(part.String()), 16)
}

// keepQuarantine writes a part to the platform's store. Several hosts may do so.
func (r *Runner) keepQuarantine(ctx context.Context, part decider.ModelPart) {
	_, err := r.caller.Create(ctx, caller.KindQuarantine, quarantineName(part), decoder.EncodeQuarantined(part.Model, part.Part))
	r.follower.ObserveCall(err)
	if caller.KindOf(err) == caller.KindConflict {
		err = nil // Another host has written it.
	}
	r.post(decider.QuarantineKept{Part: part, Err: err})
}

func (r *Runner) dropQuarantine(ctx context.Context, part decider.ModelPart) {
	err := r.caller.Delete(ctx, caller.KindQuarantine, quarantineName(part))
	if err != nil && caller.KindOf(err) != caller.KindMissing {
		// Hosts that start later refuse the part until a request tries it.
		r.cfg.Logger.Warn("failed to remove a part from the kept quarantine", "part", part.String(), "error", err.Error())
	}
}

// listQuarantine posts the parts that were in quarantine before this host started. It retries until it
// succeeds or ctx ends.
func (r *Runner) listQuarantine(ctx context.Context) {
	for {
		all, err := r.caller.List(ctx, caller.KindQuarantine)
		r.follower.ObserveCall(err)
		if err == nil {
			r.post(decider.QuarantineListed{Parts: r.decodeQuarantine(all)})
			return
		}
		r.cfg.Logger.Warn("failed to list the quarantine", "error", err.Error())
		select {
		case <-time.After(listQuarantinePause):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) decodeQuarantine(all caller.Objects) []decider.ModelPart {
	var parts []decider.ModelPart
	for _, o := range all.Objects {
		model, id, err := decoder.Quarantined(o.Spec)
		if err != nil {
			r.cfg.Logger.Warn("invalid quarantined part ignored", "name", o.Name, "error", err.Error())
			continue
		}
		parts = append(parts, decider.ModelPart{Model: model, Part: id})
	}
	return parts
}
