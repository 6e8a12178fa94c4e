package follower

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// TestFleetStartsWithFewCalls guards against hosts that all watch the platform while they start
// together, as each knows too few others to leave that to them. The entries of the others and the
// targets then end the watches of all. Of thirty hosts, which start within 0.3 s of each other, two
// are to watch; the others register, list five kinds and rely on updates.
func TestFleetStartsWithFewCalls(t *testing.T) {
	const hosts, watching, kinds, targets = 30, 2, 5, 20
	store := imitator.NewStore()
	var calls atomic.Int64
	s := newTestStoreBehind(t, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		renewed := r.URL.Query().Has("watch") && strings.Contains(answer.Body.String(), `"events":[]`)
		if !renewed && !r.URL.Query().Has("after") { // The pages of the stand-in are far smaller than those of the platform.
			calls.Add(1)
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // Fails for calls that were given up.
	}))
	var mu sync.Mutex
	followers := make([]*Follower, hosts)
	g, ctx := errgroup.WithContext(t.Context())
	for n := range hosts {
		c, err := caller.New(caller.Config{Platform: s.addr, Dial: (&net.Dialer{}).DialContext, Timeout: time.Second})
		assert.NilError(t, err)
		t.Cleanup(c.CloseIdle)
		var known atomic.Int64
		f := New(Config{
			Host: fmt.Sprint("host-", n), Caller: c, Clock: timer.BootClock{}, Logger: hclog.NewNullLogger(), FirstStart: true,
			Post: func(ev decider.Event) {
				if ev, ok := ev.(decider.HostsListed); ok {
					known.Store(int64(len(ev.Hosts)))
				}
			},
			WatchesPlatform: func() bool { return known.Load() <= 8 || n < watching },
			SendUpdates: func(updates []WatchUpdate) {
				mu.Lock()
				others := slices.Clone(followers)
				mu.Unlock()
				for i, other := range others {
					if i != n && other != nil {
						other.Receive(updates)
					}
				}
			},
			Stores: func() []netip.AddrPort { return nil }, FollowsStore: func(netip.AddrPort) bool { return true },
		})
		g.Go(func() error {
			if !pause(ctx, time.Duration(n)*300*time.Millisecond/hosts) {
				return nil
			}
			mu.Lock()
			followers[n] = f
			mu.Unlock()
			go f.Register(ctx, descriptor.Host{Address: s.addr, DataCentre: "a"}, false)
			return f.Run(ctx)
		})
	}
	time.Sleep(firstStartPause + 2*firstListDelay + time.Second)
	for n := range targets {
		store.Put(caller.KindTargets, fmt.Sprint("target-", n), targetSpec)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(updateTimeout)
	// A watching host makes a call for each kind, and one for each batch of changes, 0.4 s apart, besides
	// those that renew watches without changes.
	const most = hosts*(1+kinds) + watching*(kinds+10)
	t.Logf("%d calls", calls.Load())
	assert.Assert(t, calls.Load() <= most, "%d calls, want at most %d", calls.Load(), most)
}

// TestIdleWatchEndsBeforeHistory guards against watches without changes that wait longer than the
// platform keeps history, and so fail and list their objects again.
func TestIdleWatchEndsBeforeHistory(t *testing.T) {
	const history = 20 * time.Second
	f := New(Config{Clock: timer.BootClock{}, Logger: hclog.NewNullLogger(), WatchesPlatform: always, History: history})
	for _, w := range f.watches {
		assert.Assert(t, w.watchWait() < history, "%s waits %v", w.kind, w.watchWait())
	}
}

// TestListOfSameObjectsCausesNoCalls guards against hosts that all call the platform because one that
// watches it for them had to list its objects again, although they hadn't changed.
func TestListOfSameObjectsCausesNoCalls(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", targetSpec)
	var calls atomic.Int64
	counted := newTestStoreBehind(t, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		store.ServeHTTP(w, r)
	}))
	other, events := counted.start(never, func([]WatchUpdate) {})
	waitForEvent(t, events, func(ev decider.TargetsListed) bool { return ev.Whole })
	_, watcherEvents := newTestStore(t, store).start(always, other.Receive)
	waitForEvent(t, watcherEvents, func(ev decider.TargetsListed) bool { return ev.Whole })
	time.Sleep(2 * updateTimeout) // The other host catches up once.
	before := calls.Load()
	watcherEvents.clear()
	store.Put(caller.KindLeases, "lease", `{}`)
	store.Compact()
	waitForEvent(t, watcherEvents, func(ev decider.TargetsListed) bool { return ev.Whole })
	time.Sleep(updateTimeout)
	assert.Equal(t, calls.Load(), before)
}
