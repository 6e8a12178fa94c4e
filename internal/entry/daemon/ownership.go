package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/executor"
	"cardamomscale.example/cardamomscale/internal/platform/leaser"
)

// ownershipNotifier posts to the reducer which targets this daemon owns and when
// each ownership ends.
type ownershipNotifier struct {
	cfg    Config
	post   func(reducer.Event)
	leaser *leaser.Leaser

	mu     sync.Mutex
	gained map[identifier.Target]leaser.Gained
	// postedUntil is the end of each ownership as last posted to the reducer.
	postedUntil map[identifier.Target]time.Time
}

func newOwnershipNotifier(cfg Config, exec *executor.Executor) *ownershipNotifier {
	return &ownershipNotifier{
		cfg: cfg, post: exec.Post,
		gained: map[identifier.Target]leaser.Gained{}, postedUntil: map[identifier.Target]time.Time{},
	}
}

// notify handles an event of the leaser. A loss is posted at once. A gain is
// posted by Run, since its end has to be read from the leaser, which must not be
// called from its own callback.
func (n *ownershipNotifier) notify(ev leaser.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch ev := ev.(type) {
	case leaser.Gained:
		n.gained[ev.Target] = ev
	case leaser.Lost:
		delete(n.gained, ev.Target)
		delete(n.postedUntil, ev.Target)
		n.post(reducer.OwnershipChanged{Target: ev.Target})
	}
}

// ownershipPollInterval is the interval at which the ends of ownerships are read
// from the leaser.
const ownershipPollInterval = 100 * time.Millisecond

// Run posts new and renewed ownerships to the reducer until ctx ends.
func (n *ownershipNotifier) Run(ctx context.Context) error {
	ticker := n.cfg.Clock.NewTicker(ownershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			n.postChanges()
		}
	}
}

func (n *ownershipNotifier) postChanges() {
	n.mu.Lock()
	names := slices.Sorted(maps.Keys(n.gained))
	n.mu.Unlock()
	for _, name := range names {
		fence, until, ok := n.leaser.Held(name)
		if ok {
			n.postIfChanged(name, fence, until)
		}
	}
}

func (n *ownershipNotifier) postIfChanged(name identifier.Target, fence uint64, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	gained, ok := n.gained[name]
	if !ok || gained.Fence != fence || n.postedUntil[name].Equal(until) {
		return
	}
	n.postedUntil[name] = until
	n.post(reducer.OwnershipChanged{Target: name, Held: true, Fence: fence, Until: until, TakenOver: !gained.Created})
}

// releaseTargets releases all targets and waits until none is held, so that the
// next owners find no ownership of this daemon.
func (h *effectHandler) releaseTargets(ctx context.Context) {
	h.mu.Lock()
	wanted := h.wantedTargets
	h.mu.Unlock()
	h.leaser.SetWanted(nil)
	for _, name := range wanted {
		for ctx.Err() == nil {
			if _, _, held := h.leaser.Held(name); !held {
				break
			}
			h.clock.Sleep(releasePollInterval)
		}
	}
}

// releasePollInterval is the interval at which the release of a target is checked.
const releasePollInterval = 10 * time.Millisecond
