package follower

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/testing/shifter"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// TestQueuedUpdateDoesNotHideSuspension guards against an update that waited in the receive buffer
// during a suspension and then in the queue of a watch until ages are relied on again. New
// weights may have been named at any time since the suspension began.
func TestQueuedUpdateDoesNotHideSuspension(t *testing.T) {
	const suspension = 4 * time.Second
	clock := &shifter.Clock{}
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
	clock.Shift(suspension)
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

// TestLostUpdateEndsSilentCall guards against a host whose call gets no answer and that misses an
// update of another host: the next heartbeat shows the gap, which only a new call can close.
func TestLostUpdateEndsSilentCall(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	waiting := make(chan struct{}, 1)
	var silenced atomic.Bool
	receiver, events := newTestStoreBehind(t, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") && strings.HasSuffix(r.URL.Path, "/"+caller.KindTargets) && silenced.CompareAndSwap(false, true) {
			waiting <- struct{}{}
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	})).start(always, func([]WatchUpdate) {})
	<-waiting
	store.Remove(caller.KindTargets, "a")
	receiver.Receive([]WatchUpdate{{Kind: caller.KindTargets, After: 3, UpTo: 3, Heartbeat: true}})
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return len(ev.Removed) > 0 })
}

// TestOverdueWatchSendsNoHeartbeat guards against a host that keeps others from calling the platform
// with heartbeats of a watch that gets no answers.
func TestOverdueWatchSendsNoHeartbeat(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	calls := make(chan struct{}, 10)
	receiver, _ := newTestStoreBehind(t, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") && strings.HasSuffix(r.URL.Path, "/"+caller.KindTargets) {
			calls <- struct{}{}
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	})).start(always, func([]WatchUpdate) {})
	targets := receiver.watches[1]
	assert.Equal(t, targets.kind, caller.KindTargets)
	<-calls
	_, sent := targets.heartbeat()
	assert.Assert(t, sent, "a watch that waits for changes sends no heartbeat")
	removal := caller.Object{Kind: caller.KindTargets, Name: "a", Revision: 3, Removed: true}
	receiver.Receive([]WatchUpdate{{Kind: caller.KindTargets, After: 2, UpTo: 3, Objects: []caller.Object{removal}}})
	<-calls // The first call has been given up.
	_, sent = targets.heartbeat()
	assert.Assert(t, !sent, "a watch whose call was given up sends a heartbeat")
}

// TestLateAnswerDoesNotUndoUpdate guards against an answer that arrives after an update with later
// changes: it must neither bring a removed target back nor hide the changes after it.
func TestLateAnswerDoesNotUndoUpdate(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	taken, deliver := make(chan struct{}, 1), make(chan struct{})
	receiver, events := newTestStoreBehind(t, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") != "2" || !strings.HasSuffix(r.URL.Path, "/"+caller.KindTargets) {
			store.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		taken <- struct{}{}
		select {
		case <-deliver:
			_, err := w.Write(answer.Body.Bytes())
			assert.Check(t, err)
		case <-r.Context().Done():
		}
	})).start(always, func([]WatchUpdate) {})
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return ev.Whole })
	store.Put(caller.KindTargets, "b", targetSpec)
	<-taken
	store.Remove(caller.KindTargets, "b")
	receiver.Receive([]WatchUpdate{{Kind: caller.KindTargets, After: 2, UpTo: 4, Objects: []caller.Object{
		{Kind: caller.KindTargets, Name: "b", Revision: 3, Spec: []byte(targetSpec)},
		{Kind: caller.KindTargets, Name: "b", Revision: 4, Removed: true},
	}}})
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return len(ev.Removed) > 0 })
	close(deliver)
	store.Put(caller.KindTargets, "c", targetSpec)
	waitForEvent(t, events, func(ev decider.TargetsListed) bool {
		for _, target := range ev.Targets {
			assert.Assert(t, target.ID != "b", "a late answer brings a removed target back")
		}
		return len(ev.Targets) > 0 && ev.Targets[len(ev.Targets)-1].ID == "c"
	})
}

// TestHealthyWatchesAreNotGivenUp guards against a call for each update of another host, although
// the own answer arrives at about the same time.
func TestHealthyWatchesAreNotGivenUp(t *testing.T) {
	const changes, delay = 5, 50 * time.Millisecond
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	delayed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		time.Sleep(delay)
		_, _ = w.Write(answer.Body.Bytes()) // Fails for calls that were given up.
	})
	var toFirst, toSecond peerLink
	first, firstEvents := newTestStore(t, store).start(always, toSecond.send)
	second, secondEvents := newTestStoreBehind(t, store, delayed).start(always, toFirst.send)
	toFirst.set(false, first)
	toSecond.set(false, second)
	for _, events := range []*eventLog{firstEvents, secondEvents} {
		waitForEvent(t, events, func(ev decider.TargetsListed) bool { return ev.Whole })
	}
	time.Sleep(2 * overduePause)
	before, began := store.Calls(), time.Now()
	for i := range changes {
		name := "b" + strconv.Itoa(i)
		store.Put(caller.KindTargets, name, targetSpec)
		for _, events := range []*eventLog{firstEvents, secondEvents} {
			waitForEvent(t, events, func(ev decider.TargetsListed) bool { return len(ev.Targets) == 1 && ev.Targets[0].ID == name })
		}
		time.Sleep(2 * batchPause) // Both hosts wait for the next change.
	}
	renewed := 0 // Watches without changes end after a third of their longest wait at the soonest.
	for _, w := range slices.Concat(first.watches, second.watches) {
		renewed += int(3*time.Since(began)/w.maxWait()) + 1
	}
	assert.Assert(t, store.Calls()-before <= 2*changes+renewed, "%d calls of two hosts for %d changes", store.Calls()-before, changes)
	assert.Equal(t, len(first.GivenUpCalls())+len(second.GivenUpCalls()), 0)
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

// silentHandler serves a store. Once silenced, the calls that wait at that moment get no answer.
type silentHandler struct {
	store http.Handler
	mu    sync.Mutex
	// silenced is closed to silence the calls that wait; later calls use a new one.
	silenced chan struct{}
}

func newSilentHandler(store http.Handler) *silentHandler {
	return &silentHandler{store: store, silenced: make(chan struct{})}
}

func (h *silentHandler) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.silenced)
	h.silenced = make(chan struct{})
}

func (h *silentHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	silenced := h.silenced
	h.mu.Unlock()
	answer, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		defer close(done)
		h.store.ServeHTTP(answer, r)
	}()
	select {
	case <-silenced:
		<-r.Context().Done()
		<-done
	case <-done:
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // Fails for calls that were given up.
	}
}

// TestSilentWatchEndsOtherWatches guards against watches that wait for 25 s on connections which
// the platform has forgotten, although the watch of the configuration has found that out.
func TestSilentWatchEndsOtherWatches(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(1, nil, nil, 0))
	handler := newSilentHandler(store)
	_, events := newTestStoreBehind(t, store, handler).start(always, func([]WatchUpdate) {})
	waitForEvent(t, events, func(ev decider.ConfigConfirmed) bool { return true })
	time.Sleep(2 * batchPause) // All watches wait.
	handler.silence()
	store.Put(caller.KindEvacuations, "b", "{}")
	waitForEvent(t, events, func(ev decider.EvacuationsListed) bool { return len(ev.DataCentres) == 1 })
}

// TestHeartbeatsHideSilentWatches guards against hosts that keep each other from calling the
// platform: each one's watch is silent, and its heartbeats tell the others that nothing changes.
func TestHeartbeatsHideSilentWatches(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(1, nil, nil, 0))
	handler := newSilentHandler(store)
	receiver, events := newTestStoreBehind(t, store, handler).start(always, func([]WatchUpdate) {})
	waitForEvent(t, events, func(ev decider.ConfigConfirmed) bool { return true })
	time.Sleep(2 * batchPause) // All watches wait.
	handler.silence()
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(2, nil, nil, 0))
	config := receiver.watches[0]
	assert.Equal(t, config.kind, caller.KindConfig)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			receiver.Receive([]WatchUpdate{{Kind: caller.KindConfig, After: 2, UpTo: 2, Heartbeat: true}})
			time.Sleep(50 * time.Millisecond)
		}
	}()
	for range 500 {
		config.mu.Lock()
		failing := config.failing
		config.mu.Unlock()
		if failing {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	failedAt := time.Now()
	waitForEvent(t, events, func(ev decider.ConfigListed) bool { return ev.Config.Version == 2 })
	assert.Assert(t, time.Since(failedAt) < platformRetryInterval/2, "the platform was called again %v after a failed call", time.Since(failedAt))
}

// TestRefreshEndsSilentWatch guards against a configuration that a host learns late although its
// peers have it.
func TestRefreshEndsSilentWatch(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	handler := newSilentHandler(store)
	f, events := newTestStoreBehind(t, store, handler).start(always, func([]WatchUpdate) {})
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return ev.Whole })
	time.Sleep(2 * batchPause) // All watches wait.
	handler.silence()
	store.Remove(caller.KindTargets, "a")
	f.Refresh(caller.KindTargets)
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return len(ev.Removed) == 1 })
}
