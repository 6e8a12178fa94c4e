package follower

import (
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// kinds returns the kinds of objects to watch.
func (c *Config) kinds() []string {
	kinds := []string{caller.KindConfig, caller.KindTargets, caller.KindEvacuations, caller.KindWeights, caller.KindHosts, caller.KindQuarantine}
	if c.Rollouts {
		kinds = append(kinds, caller.KindRollouts)
	}
	return kinds
}

// postRollouts posts all orders. Of those that can't be decoded, it logs the changed ones.
func (w *watch) postRollouts(changed []caller.Object) {
	isNew := make(map[string]bool, len(changed))
	for _, o := range changed {
		isNew[o.Name] = true
	}
	ev := decider.RolloutsListed{Era: w.era}
	for name, o := range w.objects {
		order, err := decoder.Rollout(name, o.Revision, o.Spec, o.Status)
		if err != nil {
			ev.Unreadable = append(ev.Unreadable, name)
			if isNew[name] {
				w.skipEntry(name, err)
			}
			continue
		}
		ev.Rollouts = append(ev.Rollouts, order)
	}
	w.cfg.Post(ev)
}
