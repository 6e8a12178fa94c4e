package follower

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

var errUnanswered = &caller.Error{Detail: failer.Detail[caller.Kind]{Kind: caller.KindUnanswered}}

// TestWatchesMissEndOfOutage guards against watches that go on waiting, or pausing after failed
// calls, when another call of the host shows that the platform answers again.
func TestWatchesMissEndOfOutage(t *testing.T) {
	for round := range 3 {
		store := imitator.NewStore()
		store.Put(caller.KindConfig, caller.ConfigName, `{"version":1}`)
		store.Put(caller.KindTargets, "a", targetSpec)
		store.Put(caller.KindWeights, "m", `{"model":"m","version":1}`)
		var silent atomic.Bool
		f, events := newTestStoreBehind(t, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if silent.Load() {
				<-r.Context().Done() // The call isn't answered later either.
				return
			}
			store.ServeHTTP(w, r)
		})).start(always, func([]WatchUpdate) {})
		waitForEvent(t, events, func(decider.ConfigListed) bool { return true })
		waitForEvent(t, events, func(decider.HostsListed) bool { return true })
		waitForEvent(t, events, func(decider.DesiredWeightsChanged) bool { return true })
		waitForEvent(t, events, func(ev decider.TargetsListed) bool { return ev.Whole })
		time.Sleep(time.Second) // Lets long watches begin.
		silent.Store(true)
		store.Put("kind", "any", `{}`)
		time.Sleep(time.Second)
		f.ObserveCall(errUnanswered) // As after a call for the lease.
		time.Sleep(time.Second + time.Duration(round)*370*time.Millisecond)
		store.Put(caller.KindConfig, caller.ConfigName, `{"version":2}`)
		store.Put(caller.KindTargets, "b", targetSpec)
		store.Put(caller.KindWeights, "m", `{"model":"m","version":2}`)
		store.Put(caller.KindEvacuations, "a", `{}`)
		store.Put(caller.KindHosts, "host-2", `{"address":"10.0.0.2:7000","data-centre":"a"}`)
		events.clear()
		silent.Store(false)
		began := time.Now()
		f.ObserveCall(nil)
		waitForEvent(t, events, func(ev decider.ConfigListed) bool { return ev.Config.Version == 2 })
		waitForEvent(t, events, func(ev decider.TargetsListed) bool { return len(ev.Targets) > 0 })
		waitForEvent(t, events, func(ev decider.DesiredWeightsChanged) bool { return ev.Version == 2 })
		waitForEvent(t, events, func(decider.EvacuationsListed) bool { return true })
		waitForEvent(t, events, func(ev decider.HostsListed) bool { return len(ev.Hosts) == 1 })
		assert.Check(t, time.Since(began) < time.Second, fmt.Sprintf("round %d: after %v", round, time.Since(began)))
	}
}
