package follower

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// confirmedAsOf reports whether events confirm the configuration as of a time after began.
func confirmedAsOf(events *eventLog, began time.Time) bool {
	events.mu.Lock()
	defer events.mu.Unlock()
	for _, ev := range events.events {
		if ev, ok := ev.(decider.ConfigConfirmed); ok && ev.AsOf.After(began) {
			return true
		}
	}
	return false
}

// TestUnreadableConfigurationConfirmsKeys guards against the use of keys that a configuration took away which can't be
// decoded: the calls that follow it have no changes, and seemed to confirm the configuration before.
func TestUnreadableConfigurationConfirmsKeys(t *testing.T) {
	for _, spec := range []string{`{"version":0}`, `{"version":2,"tenants":7}`, `{"version":"2"}`, `[]`, `null`} {
		store := imitator.NewStore()
		store.Put(caller.KindConfig, caller.ConfigName, `{"version":1}`)
		events := startFollower(t, store)
		waitForEvent(t, events, func(ev decider.ConfigListed) bool { return ev.Config.Version == 1 })
		clock := timer.BootClock{}
		store.Put(caller.KindConfig, caller.ConfigName, spec)
		time.Sleep(300 * time.Millisecond) // Lets a call that was answered before the change end.
		began := clock.Now()
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, !confirmedAsOf(events, began), "%s confirms the configuration before", spec)
		corrected := clock.Now()
		store.Put(caller.KindConfig, caller.ConfigName, `{"version":3}`)
		waitForEvent(t, events, func(ev decider.ConfigListed) bool { return ev.Config.Version == 3 })
		waitForEvent(t, events, func(ev decider.ConfigConfirmed) bool { return ev.AsOf.After(corrected) })
	}
}

// TestDamagedAnswerHidesConfiguration guards against a configuration that a host never reads, since the one answer that
// had it was damaged on its way.
func TestDamagedAnswerHidesConfiguration(t *testing.T) {
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, `{"version":1}`)
	var damaged atomic.Bool
	_, events := newTestStoreBehind(t, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		store.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		if bytes.Contains(body, []byte(`"version":2`)) && damaged.CompareAndSwap(false, true) {
			body = bytes.Replace(body, []byte(`"version":2`), []byte(`"version":x`), 1)
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body)
	})).start(always, func([]WatchUpdate) {})
	waitForEvent(t, events, func(ev decider.ConfigListed) bool { return ev.Config.Version == 1 })
	store.Put(caller.KindConfig, caller.ConfigName, `{"version":2}`)
	waitForEvent(t, events, func(ev decider.ConfigListed) bool { return ev.Config.Version == 2 })
	assert.Assert(t, damaged.Load())
}
