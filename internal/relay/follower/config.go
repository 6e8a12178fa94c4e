package follower

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// unreadablePause is the mean pause before a configuration that can't be decoded is read again. A watch would not
// deliver it before its next change, although only the answer may have been damaged.
const unreadablePause = 1500 * time.Millisecond

// postConfig posts a changed configuration and confirms the one in force. While the platform has one that can't be
// decoded, nothing is confirmed, as it may have taken keys away.
func (w *watch) postConfig(objects []caller.Object, fresh freshness) {
	for _, o := range objects {
		if o.Name != caller.ConfigName || o.Removed {
			continue
		}
		cfg, skipped, err := decoder.Config(o.Spec)
		w.unreadable = err != nil
		if err != nil {
			w.cfg.Logger.Error("invalid configuration ignored, the one in force is not confirmed", "revision", o.Revision, "error", err.Error())
			w.skipped.count(w.kind, 1)
			continue
		}
		w.skipEntries(skipped)
		w.cfg.Post(decider.ConfigListed{Config: cfg})
	}
	if !w.unreadable {
		w.cfg.Post(decider.ConfigConfirmed{Era: w.era, AsOf: fresh.asOf, FromPeer: fresh.fromPeer, ReceivedAt: fresh.receivedAt})
	}
}
