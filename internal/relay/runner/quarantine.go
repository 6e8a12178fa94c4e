package runner

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// errTrialClaimed reports a trial that another host has claimed.
var errTrialClaimed = errors.New("another host has claimed the trial")

// quarantineName returns the name of a suspect's object in the platform's store.
func quarantineName(x descriptor.Suspect) string {
	return strconv.FormatUint(xxh3.HashString(x.String()), 16)
}

// keepQuarantine writes a suspect to the platform's store. Several hosts may do so.
func (r *Runner) keepQuarantine(ctx context.Context, kept descriptor.KeptSuspect) {
	_, err := r.caller.Create(ctx, caller.KindQuarantine, quarantineName(kept.Suspect), decoder.EncodeQuarantined(kept))
	r.follower.ObserveCall(err)
	if caller.KindOf(err) == caller.KindConflict {
		err = nil // Another host has written it.
	}
	r.post(decider.QuarantineKept{Suspect: kept.Suspect, Err: err})
}

func (r *Runner) dropQuarantine(ctx context.Context, x descriptor.Suspect) {
	err := r.caller.Delete(ctx, caller.KindQuarantine, quarantineName(x))
	if err != nil && caller.KindOf(err) != caller.KindMissing {
		// Hosts that start later refuse the suspect until a request tries it.
		r.cfg.Logger.Warn("failed to remove a suspect from the kept quarantine", "suspect", x.String(), "error", err.Error())
	}
}

// claimTrial claims the next trial of a suspect by a conditional write, so that one host at most has it. A
// write without an answer may have claimed it, but not for this host.
func (r *Runner) claimTrial(ctx context.Context, claim descriptor.KeptSuspect) {
	kept, err := r.writeClaim(ctx, claim)
	r.follower.ObserveCall(err)
	r.post(decider.TrialClaimed{KeptSuspect: descriptor.KeptSuspect{Suspect: claim.Suspect, Trials: kept.Trials}, Err: err})
}

// writeClaim returns what the platform's store has of the suspect, after the write if that succeeded.
func (r *Runner) writeClaim(ctx context.Context, claim descriptor.KeptSuspect) (descriptor.KeptSuspect, error) {
	name := quarantineName(claim.Suspect)
	object, err := r.caller.Get(ctx, caller.KindQuarantine, name)
	if err != nil {
		return descriptor.KeptSuspect{}, err
	}
	kept, err := decoder.Quarantined(object.Spec)
	if err != nil {
		return descriptor.KeptSuspect{}, err
	}
	if kept.Suspect != claim.Suspect || kept.Trials != claim.Trials {
		return kept, errTrialClaimed
	}
	claim.Trials++
	if _, err := r.caller.Replace(ctx, caller.KindQuarantine, name, object.Revision, decoder.EncodeQuarantined(claim)); err != nil {
		return kept, err
	}
	return claim, nil
}
