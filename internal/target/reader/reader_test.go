package reader

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestEachTargetHasOneReader guards against targets that are read by no daemon or
// by several when all daemons know the same hosts and targets.
func TestEachTargetHasOneReader(t *testing.T) {
	hosts := []identifier.Host{"h1", "h2", "h3"}
	var targets []Assignment
	for _, name := range []identifier.Target{"a", "b", "c", "d", "e", "f", "g"} {
		targets = append(targets, Assignment{Target: name})
	}
	read := make(map[identifier.Target]int)
	for _, self := range hosts {
		r, err := New(Config{
			Self:          self,
			Clock:         clockwork.NewFakeClock(),
			Dial:          func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, net.ErrClosed },
			OnObservation: func(Observation) {},
		})
		assert.NilError(t, err)
		r.SetTargets(targets)
		r.SetReaders(hosts)
		for _, a := range r.AssignedTargets() {
			read[a.Target]++
		}
	}
	for _, a := range targets {
		assert.Equal(t, read[a.Target], 1, "target %q", a.Target)
	}
}

func TestAdvance(t *testing.T) {
	events := func(sequences ...uint64) []messenger.CacheEvent {
		var list []messenger.CacheEvent
		for _, n := range sequences {
			list = append(list, messenger.CacheEvent{Sequence: n})
		}
		return list
	}
	known := eventState{incarnation: 1, lastSequence: 5, initialised: true}
	tests := []struct {
		name      string
		state     eventState
		batch     messenger.CacheEvents
		wantGap   bool
		wantFresh int
		wantLast  uint64
	}{
		{"first from the beginning", eventState{}, messenger.CacheEvents{Incarnation: 1, Events: events(1, 2)}, false, 2, 2},
		{"first after missed ones", eventState{}, messenger.CacheEvents{Incarnation: 1, Events: events(8)}, true, 1, 8},
		{"next", known, messenger.CacheEvents{Incarnation: 1, Events: events(6, 7)}, false, 2, 7},
		{"repeated", known, messenger.CacheEvents{Incarnation: 1, Events: events(4, 5, 6)}, false, 1, 6},
		{"gap before", known, messenger.CacheEvents{Incarnation: 1, Events: events(7)}, true, 1, 7},
		{"gap within", known, messenger.CacheEvents{Incarnation: 1, Events: events(6, 9)}, true, 2, 9},
		{"restart", known, messenger.CacheEvents{Incarnation: 2, Events: events(6)}, true, 0, 0},
		{"nothing new", known, messenger.CacheEvents{Incarnation: 1}, false, 0, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gap, fresh := test.state.advance(&test.batch)
			assert.Equal(t, gap, test.wantGap)
			assert.Equal(t, len(fresh), test.wantFresh)
			assert.Equal(t, test.state.lastSequence, test.wantLast)
		})
	}
}

func TestReportsFailuresAndResumesReading(t *testing.T) {
	var failing atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == messenger.PathEvents {
			json.NewEncoder(w).Encode(messenger.CacheEvents{Incarnation: 1, Events: []messenger.CacheEvent{{Sequence: 1}}})
			return
		}
		json.NewEncoder(w).Encode(messenger.LoadReport{Target: "t1", Incarnation: 1, Running: 3})
	}))
	defer server.Close()
	clock := clockwork.NewFakeClock()
	var mu sync.Mutex
	var observed, unreachable, changed int
	r, err := New(Config{
		Self:  "h1",
		Clock: clock,
		Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
		OnObservation: func(observation Observation) {
			mu.Lock()
			defer mu.Unlock()
			switch o := observation.(type) {
			case LoadObserved:
				if o.Report.Running == 3 {
					observed++
				}
			case TargetUnreachable:
				unreachable++
			case CacheChanged:
				changed++
			}
		},
	})
	assert.NilError(t, err)
	r.SetTargets([]Assignment{{Target: "t1", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Events: true}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	await := func(what string, condition func() bool) {
		check := func(poll.LogT) poll.Result {
			mu.Lock()
			ok := condition()
			mu.Unlock()
			if ok {
				return poll.Success()
			}
			clock.Advance(20 * time.Millisecond)
			return poll.Continue("%s", what)
		}
		poll.WaitOn(t, check, poll.WithDelay(time.Millisecond))
	}
	await("loads and events", func() bool { return observed >= 3 && changed >= 1 })
	failing.Store(true)
	await("failures", func() bool { return unreachable >= 2 })
	failing.Store(false)
	before := observed
	await("loads again", func() bool { return observed > before })
	mu.Lock()
	assert.Equal(t, changed, 1, "a repeated event is reported once")
	mu.Unlock()
	cancel()
	assert.NilError(t, <-done)
}
