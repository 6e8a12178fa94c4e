package runner

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	fatalPart = "bad0"
	// contactTime is the platform's bound for how fast hosts must inform each other, crashBound the
	// crashes from which it counts, and maxFatalRequests how many more requests with fatalPart may then
	// reach engines.
	contactTime      = 3 * time.Second
	crashBound       = 5
	maxFatalRequests = 3
)

// crashingEngines are engines that crash on fatalPart. Each is replaced by a new process.
type crashingEngines struct {
	t     *testing.T
	store *imitator.Store
	runs  *runLog

	mu      sync.Mutex
	started int
	crashes []time.Time
}

// start starts an engine and lists it.
func (e *crashingEngines) start() {
	e.mu.Lock()
	e.started++
	id, unframed := fmt.Sprint("engine-", e.started), e.started%2 == 0
	e.mu.Unlock()
	var srv *httptest.Server
	var once sync.Once
	w := imitator.NewWorker(imitator.WorkerConfig{
		ID: id, Model: imitator.Model, Weights: 1, Events: 2, Pause: 10 * time.Millisecond, Observer: e.runs,
		Crash: func() { once.Do(func() { e.crash(id, srv) }) },
	})
	w.SetFatalPart(fatalPart)
	w.SetUnframed(unframed)
	srv = httptest.NewServer(w)
	e.t.Cleanup(srv.Close)
	d := descriptor.Target{
		ID: id, Service: imitator.ServiceLLM, DataCentre: "a", Slots: 8, StartedAt: time.UnixMilli(1), Weights: map[string]int{imitator.Model: 1},
		Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
	}
	e.store.Put(caller.KindTargets, id, imitator.TargetSpec(d))
}

// crash ends the process of an engine and starts another one.
func (e *crashingEngines) crash(id string, srv *httptest.Server) {
	_ = srv.Listener.Close() // The cleanup closes it again.
	srv.CloseClientConnections()
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	e.mu.Unlock()
	e.store.Remove(caller.KindTargets, id)
	e.start()
}

func (e *crashingEngines) crashTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// sendParts sends a prompt with parts and returns the status, or 0 if there was no whole answer.
func (r *testRelay) sendParts(id, path string, parts ...string) int {
	addr := netip.MustParseAddrPort(strings.TrimPrefix(r.url, "http://"))
	prompt := &descriptor.Prompt{Model: imitator.Model, Tokens: 100 * len(parts), MaxOutput: 2}
	for _, part := range parts {
		prompt.Parts = append(prompt.Parts, descriptor.Part{ID: part, Tokens: 100})
	}
	resp, err := http.DefaultClient.Do(imitator.NewRequest(addr, id, path, "key", "", 2*time.Second, prompt))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// newCrashingFleet returns engines that crash on fatalPart and a relay in front of them.
func newCrashingFleet(t *testing.T, engines int) (*crashingEngines, *testRelay) {
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(1, map[string]string{"key": "team"}, nil, 0))
	store.Put(caller.KindWeights, imitator.Model, imitator.WeightsSpec(1))
	e := &crashingEngines{t: t, store: store, runs: &runLog{}}
	for range engines {
		e.start()
	}
	r := startRelayOn(t, store, timer.BootClock{})
	r.waitFor("a prompt is answered", func() bool { return r.sendParts("before", imitator.PathShort, "a", "b", "own") == http.StatusOK })
	return e, r
}

// TestPartCrashesEnginesOfRelay guards against a relay that sends requests with a part that crashes
// engines on and on.
func TestPartCrashesEnginesOfRelay(t *testing.T) {
	e, r := newCrashingFleet(t, 6)
	var boundAt time.Time
	reached := func() int {
		n := 0
		for _, run := range e.runs.all() {
			if run.Holds(fatalPart) && run.At.After(boundAt) {
				n++
			}
		}
		return n
	}
	const pause = 50 * time.Millisecond
	deadline := time.Now().Add(2 * contactTime)
	for n := 0; time.Now().Before(deadline); n++ {
		r.sendParts(fmt.Sprint("sound-", n), imitator.PathShort, "a", "b", "own")
		r.sendParts(fmt.Sprint("fatal-", n), imitator.PathLong, "a", "b", fatalPart, "own")
		if crashes := e.crashTimes(); boundAt.IsZero() && len(crashes) >= crashBound {
			boundAt = crashes[crashBound-1].Add(contactTime)
		}
		time.Sleep(pause)
	}
	crashes := len(e.crashTimes())
	t.Logf("%d crashes", crashes)
	if crashes >= crashBound {
		assert.Assert(t, reached() <= maxFatalRequests, "%d requests reached engines after the bound, %d crashes in all", reached(), crashes)
	}
}

// TestCrashLooksLikeEmptyAnswer guards against an engine that crashes after the header of an answer with
// neither a length nor chunks, which reaches the caller as a complete, empty answer and clears the part.
func TestCrashLooksLikeEmptyAnswer(t *testing.T) {
	store, runs := imitator.NewStore(), &runLog{}
	store.Put(caller.KindConfig, caller.ConfigName, imitator.ConfigSpec(1, map[string]string{"key": "team"}, nil, 0))
	w := imitator.NewWorker(imitator.WorkerConfig{ID: "plain", Observer: runs, Crash: func() {}})
	w.SetUnframed(true)
	srv := httptest.NewServer(w)
	t.Cleanup(srv.Close)
	store.Put(caller.KindTargets, "plain", imitator.TargetSpec(descriptor.Target{
		ID: "plain", Service: imitator.ServicePlain, DataCentre: "a", Slots: 8, StartedAt: time.UnixMilli(1), Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
	}))
	r := startRelayOn(t, store, timer.BootClock{})
	r.waitFor("a prompt is answered", func() bool { return r.sendParts("before", imitator.PathLook, "a", "own") == http.StatusOK })
	w.SetFatalPart(fatalPart)
	assert.Equal(t, r.sendParts("crash", imitator.PathLook, "a", fatalPart, "own"), http.StatusBadGateway)
}
