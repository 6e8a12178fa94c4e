package follower

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// heard keeps the events of a follower.
type heard struct {
	mu     sync.Mutex
	events []decider.Event
}

func (h *heard) post(ev decider.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, ev)
}

// find returns the first event that fits, waiting for it for a bounded time.
func find[E decider.Event](t *testing.T, h *heard, fits func(E) bool) E {
	t.Helper()
	for range 400 {
		h.mu.Lock()
		for _, ev := range h.events {
			if ev, ok := ev.(E); ok && fits(ev) {
				h.mu.Unlock()
				return ev
			}
		}
		h.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	var none E
	t.Fatalf("no %T within 8 s", none)
	return none
}

// follow starts a follower of a stand-in store.
func follow(t *testing.T, store *imitator.Store) *heard {
	t.Helper()
	srv := httptest.NewServer(store)
	dial := (&net.Dialer{}).DialContext
	c, err := caller.New(caller.Config{Platform: srv.Listener.Addr().(*net.TCPAddr).AddrPort(), Dial: dial, Timeout: time.Second})
	assert.NilError(t, err)
	h := &heard{}
	f := New(Config{
		Caller: c, Clock: timer.Boot{}, Logger: hclog.NewNullLogger(), Post: h.post,
		Hosts:  func() int { return 1 },
		Stores: func() []netip.AddrPort { return nil }, Follows: func(netip.AddrPort) bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		srv.CloseClientConnections()
		srv.Close()
	})
	return h
}

const entry = `{"service":"s","addr":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","born":1}`

// TestListsHaveAllPages: more entries than a page, and a foreign one among them.
func TestListsHaveAllPages(t *testing.T) {
	store := imitator.NewStore()
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		store.Put(caller.KindTargets, name, entry)
	}
	store.Put(caller.KindTargets, "foreign", `{"service":[]}`)
	h := follow(t, store)
	ev := find(t, h, func(ev decider.TargetsListed) bool { return ev.Whole })
	assert.Equal(t, len(ev.Targets), 7)
	store.Remove(caller.KindTargets, "c")
	removed := find(t, h, func(ev decider.TargetsListed) bool { return len(ev.Removed) > 0 })
	assert.Assert(t, removed.Removed[0] == "c" && !removed.Whole && !removed.Lapsing)
}

// TestRemovalsAfterAnOutageMayComeBack: entries that went in an outage are told as lapsing.
func TestRemovalsAfterAnOutageMayComeBack(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindTargets, "a", entry)
	h := follow(t, store)
	find(t, h, func(ev decider.TargetsListed) bool { return ev.Whole })
	store.SetDown(true)
	time.Sleep(300 * time.Millisecond) // The watches fail.
	store.Remove(caller.KindTargets, "a")
	store.SetDown(false)
	ev := find(t, h, func(ev decider.TargetsListed) bool { return len(ev.Removed) > 0 || ev.Whole && len(ev.Targets) == 0 })
	assert.Assert(t, ev.Lapsing || ev.Whole)
}

// TestChangeOfTheConfigurationIsConfirmedSoon: after a change the host doesn't wait
// for a whole watch to know that it is the newest.
func TestChangeOfTheConfigurationIsConfirmedSoon(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, `{"version":1}`)
	h := follow(t, store)
	find(t, h, func(ev decider.ConfigListed) bool { return ev.Config.Version == 1 })
	clock := timer.Boot{}
	time.Sleep(600 * time.Millisecond) // A long watch is under way.
	changed := clock.Now()
	store.Put(caller.KindConfig, caller.ConfigName, `{"version":2}`)
	find(t, h, func(ev decider.ConfigListed) bool { return ev.Config.Version == 2 })
	ev := find(t, h, func(ev decider.ConfigConfirmed) bool { return ev.AsOf.After(changed) })
	assert.Assert(t, ev.AsOf.Sub(changed) < configWait/2, "confirmed as of %v after the change", ev.AsOf.Sub(changed))
}
