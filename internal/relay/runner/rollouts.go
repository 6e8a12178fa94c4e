package runner

import (
	"context"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// writeRolloutStatus writes the status of an order unless its object has changed. A write without an answer may
// have taken effect, which the watch shows.
func (r *Runner) writeRolloutStatus(ctx context.Context, e decider.WriteRolloutStatus) {
	object, err := r.caller.WriteStatus(ctx, caller.KindRollouts, e.Name, e.Revision, decoder.EncodeRolloutStatus(e.Status))
	r.follower.ObserveCall(err)
	r.post(decider.RolloutStatusWritten{Service: e.Service, Status: e.Status, Era: object.Era, Revision: object.Revision, Err: err})
}
