package follower

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// shiftedClock is a boot clock that can be put forward, as it appears after a suspension.
type shiftedClock struct {
	timer.BootClock
	offset atomic.Int64
}

func (c *shiftedClock) Now() time.Time {
	return c.BootClock.Now().Add(time.Duration(c.offset.Load()))
}

// TestQueuedUpdateDoesNotHideSuspension guards against an update that waited in the receive buffer
// during a suspension and then in the queue of a watch until ages are relied on again. New
// weights may have been named at any time since the suspension began.
func TestQueuedUpdateDoesNotHideSuspension(t *testing.T) {
	const suspension = 4 * time.Second
	clock := &shiftedClock{}
	state := decider.New(decider.Config{Host: "a", WeightsWithin: 8 * time.Second})
	var mu sync.Mutex
	reduce := func(ev decider.Event) []decider.Effect {
		mu.Lock()
		defer mu.Unlock()
		return state.Reduce(ev, clock.Now())
	}
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	events := &eventLog{}
	server := newTestStore(t, store)
	c, err := caller.New(caller.Config{Platform: server.addr, Dial: (&net.Dialer{}).DialContext, Timeout: time.Second})
	assert.NilError(t, err)
	f := New(Config{
		Caller: c, Clock: clock, Logger: hclog.NewNullLogger(), WatchesPlatform: always, SendUpdates: func([]WatchUpdate) {},
		Stores: func() []netip.AddrPort { return nil }, FollowsStore: func(netip.AddrPort) bool { return true },
		Post: func(ev decider.Event) {
			events.post(ev)
			if ev, ok := ev.(decider.RevisionConfirmed); ok && ev.FromPeer { // Only updates of peers count here.
				reduce(ev)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return ev.Whole })
	tick := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			reduce(decider.Tick{})
		}
	}
	tick(100 * time.Millisecond)
	clock.offset.Add(int64(suspension))
	reduce(decider.Tick{})
	f.Receive([]WatchUpdate{{Kind: caller.KindTargets, After: 2, UpTo: 2, Age: 10 * time.Millisecond}})
	tick(1200 * time.Millisecond)
	store.Put(caller.KindTargets, "a", targetSpec) // Ends the call, so that the queue is read.
	tick(time.Second)
	for _, effect := range reduce(decider.DesiredWeightsChanged{Model: imitator.Model, Version: 2, Revision: 3}) {
		entry, ok := effect.(decider.LogEntry)
		for i := 0; ok && i+1 < len(entry.Fields); i += 2 {
			if entry.Fields[i] == "within" {
				assert.Assert(t, entry.Fields[i+1].(time.Duration) >= suspension, "an update from the suspension counts as %v old", entry.Fields[i+1])
			}
		}
	}
}

// TestUpdatesAreAppliedDuringSilentCall guards against requests to a target that is draining, from
// a host whose call gets no answer, although other hosts report the change.
func TestUpdatesAreAppliedDuringSilentCall(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	silent := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	})
	receiver, events := newTestStoreBehind(t, store, silent).start(always, func([]WatchUpdate) {})
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return ev.Whole })
	newTestStore(t, store).start(always, receiver.Receive)
	time.Sleep(300 * time.Millisecond) // Lets the other host list the targets.
	store.Remove(caller.KindTargets, "a")
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return len(ev.Removed) > 0 })
}

// TestUpdatesAfterRestoreAreApplied guards against a host that takes the changes of a store that
// returned from an older copy for known ones, as their revisions are lower.
func TestUpdatesAfterRestoreAreApplied(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(1, nil, nil, 0))
	earlier := store.Copy()
	for range 20 {
		store.Put(caller.KindLeases, "l", "{}")
	}
	server := newTestStore(t, store)
	receiver, received := server.start(never, func([]WatchUpdate) {})
	_, events := server.start(always, receiver.Receive)
	waitForEvent(t, received, func(ev decider.ConfigConfirmed) bool { return ev.FromPeer })
	waitForEvent(t, events, func(ev decider.ConfigListed) bool { return true })
	store.GoBack(earlier)
	time.Sleep(500 * time.Millisecond)
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(2, nil, nil, 0))
	waitForEvent(t, events, func(ev decider.ConfigListed) bool { return ev.Config.Version == 2 })
	waitForEvent(t, received, func(ev decider.ConfigListed) bool { return ev.Config.Version == 2 })
}
