package runner

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// startRelayWithWorkers starts a relay with two workers of a service. Without other requests, it
// sends to the first one.
func startRelayWithWorkers(t *testing.T, service string) (*testRelay, [2]*imitator.Worker, [2]descriptor.Target) {
	t.Helper()
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(1, map[string]string{"key": "team"}, nil, 0))
	store.Put(caller.KindWeights, imitator.Model, imitator.WeightsSpec(1))
	var workers [2]*imitator.Worker
	var entries [2]descriptor.Target
	for i := range workers {
		workers[i], entries[i] = addWorker(t, store, fmt.Sprint("worker-", i+1), service, &runLog{})
	}
	return startRelayOn(t, store, timer.BootClock{}), workers, entries
}

// lookUpUntil sends requests until ok returns true.
func (r *testRelay) lookUpUntil(what string, ok func() bool) {
	r.t.Helper()
	n := 0
	r.waitFor(what, func() bool {
		n++
		r.sendLookup(fmt.Sprint(what, n))
		return ok()
	})
}

// lookUp sends n requests and checks that all are answered.
func (r *testRelay) lookUp(n int) {
	r.t.Helper()
	for i := range n {
		assert.Equal(r.t, r.sendLookup(fmt.Sprint("lookup-", i)), http.StatusOK)
	}
}

// TestLeavingTargetGetsNoRequests guards against requests to a target that said in an answer that
// it is leaving, while its entry in the list still says that it is ready.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	r, workers, entries := startRelayWithWorkers(t, imitator.ServicePlain)
	r.lookUpUntil("the first worker serves", func() bool { return workers[0].Requests() > 0 })
	workers[0].Leave()
	before := workers[0].Requests()
	r.lookUpUntil("the leaving worker answers", func() bool { return workers[0].Requests() > before })

	before = workers[0].Requests()
	r.lookUp(20)
	assert.Equal(t, workers[0].Requests(), before, "requests reached a leaving worker")

	heartbeat := entries[0]
	heartbeat.ColdFor = time.Millisecond
	r.store.Put(caller.KindTargets, heartbeat.ID, imitator.TargetSpec(heartbeat))
	time.Sleep(200 * time.Millisecond) // Lets the entry reach the relay.
	r.lookUp(20)
	assert.Equal(t, workers[0].Requests(), before, "a ready entry of the same process brought a leaving worker back")

	workers[0].Restart(entries[0].ID)
	restarted := entries[0]
	restarted.StartedAt = restarted.StartedAt.Add(time.Minute)
	r.store.Put(caller.KindTargets, restarted.ID, imitator.TargetSpec(restarted))
	r.lookUpUntil("the new process serves", func() bool { return workers[0].Requests() > before })
}

// TestReportOfLeavingEngineCounts guards against prompts and orders to an engine that said that
// it is leaving in a report, before it got any request.
func TestReportOfLeavingEngineCounts(t *testing.T) {
	r, workers, _ := startRelayWithWorkers(t, imitator.ServiceLLM)
	workers[0].Leave()
	for _, w := range workers {
		w.SetMaxVersion(2)
	}
	r.store.Put(caller.KindWeights, imitator.Model, imitator.WeightsSpec(2))
	r.waitFor("the other engine has new weights", func() bool { return workers[1].Weights() == 2 })
	for i := range 10 {
		r.waitFor("prompts are served", func() bool { return r.sendPrompt(fmt.Sprint("prompt-", i)) == http.StatusOK })
		time.Sleep(50 * time.Millisecond)
	}
	assert.Equal(t, workers[0].Requests(), 0, "requests reached a leaving engine")
	assert.Equal(t, workers[0].Weights(), 1, "a leaving engine was ordered to load weights")
}

// TestTargetIsLeftAloneForRetryAfter guards against requests to a target before the Retry-After of
// its refusal has passed, and against leaving it alone for longer.
func TestTargetIsLeftAloneForRetryAfter(t *testing.T) {
	const retryAfter = 1500 * time.Millisecond
	r, workers, _ := startRelayWithWorkers(t, imitator.ServicePlain)
	r.lookUpUntil("the first worker serves", func() bool { return workers[0].Requests() > 0 })
	workers[0].Refuse("1.5")
	before, refusedAt := workers[0].Requests(), time.Now()
	for i := 0; ; i++ {
		status, requests := r.sendLookup(fmt.Sprint("lookup-", i)), workers[0].Requests()
		if time.Since(refusedAt) >= retryAfter {
			break
		}
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, requests, before+1, "requests reached a worker that had refused one with Retry-After")
		time.Sleep(20 * time.Millisecond)
	}
	workers[0].Refuse("")
	before = workers[0].Requests()
	r.lookUpUntil("the first worker serves again", func() bool { return workers[0].Requests() > before })
}
