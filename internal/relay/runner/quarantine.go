package runner

import (
	"context"
	"strconv"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

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
