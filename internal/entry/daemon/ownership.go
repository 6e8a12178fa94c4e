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

// ownerships tells the reducer which targets this daemon owns, and until when.
type ownerships struct {
	cfg    Config
	post   func(reducer.Event)
	leaser *leaser.Leaser

	mu     sync.Mutex
	gained map[identifier.Target]leaser.Gained
	told   map[identifier.Target]time.Time
}

func newOwnerships(cfg Config, exec *executor.Executor) *ownerships {
	return &ownerships{
		cfg: cfg, post: exec.Post,
		gained: map[identifier.Target]leaser.Gained{}, told: map[identifier.Target]time.Time{},
	}
}

// notify takes a change from the leaser. The reducer learns of a gain in the
// next round of Run, since the leaser may not be called from here.
func (o *ownerships) notify(ev leaser.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch ev := ev.(type) {
	case leaser.Gained:
		o.gained[ev.Target] = ev
	case leaser.Lost:
		delete(o.gained, ev.Target)
		delete(o.told, ev.Target)
		o.post(reducer.OwnershipChanged{Target: ev.Target})
	}
}

// renewalInterval is the time between two looks at how long ownerships last.
const renewalInterval = 100 * time.Millisecond

// Run passes on new and prolonged ownerships until ctx ends.
func (o *ownerships) Run(ctx context.Context) error {
	ticker := o.cfg.Clock.NewTicker(renewalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			o.tell()
		}
	}
}

func (o *ownerships) tell() {
	o.mu.Lock()
	names := slices.Sorted(maps.Keys(o.gained))
	o.mu.Unlock()
	for _, name := range names {
		fence, until, ok := o.leaser.Held(name)
		if ok {
			o.tellOne(name, fence, until)
		}
	}
}

func (o *ownerships) tellOne(name identifier.Target, fence uint64, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	gained, ok := o.gained[name]
	if !ok || gained.Fence != fence || o.told[name].Equal(until) {
		return
	}
	o.told[name] = until
	o.post(reducer.OwnershipChanged{Target: name, Held: true, Fence: fence, Until: until, TakenOver: !gained.Created})
}

// giveUpTargets gives up all targets and waits until that is done, so that the
// next owners find nothing left.
func (s *surroundings) giveUpTargets(ctx context.Context) {
	s.mu.Lock()
	wanted := s.wanted
	s.mu.Unlock()
	s.owners.Want(nil)
	for _, name := range wanted {
		for ctx.Err() == nil {
			if _, _, held := s.owners.Held(name); !held {
				break
			}
			s.clock.Sleep(giveUpPoll)
		}
	}
}

// giveUpPoll is the time between two looks at whether a target is given up.
const giveUpPoll = 10 * time.Millisecond
