package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
	"cardamomscale.example/cardamomscale/internal/standin/supplier"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	testModel   = identifier.Model("m")
	testVersion = identifier.WeightVersion("v1")
	waitTimeout = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// warmFastSettings returns settings without a cold start and with short delays.
func warmFastSettings() Settings {
	s := DefaultSettings()
	s.Settings = warmer.Settings{ColdLimit: 1}
	s.PrefillTokensPerSecond = 1e6
	s.DecodeTokensPerSecond = 2000
	s.EventLag = server.Duration{}
	s.EventDropShare = 0
	s.LoadLag = server.Duration{}
	s.WeightLoadTime = server.Duration{Duration: time.Millisecond}
	s.Weights = []messenger.LoadedWeights{{Model: testModel, Version: testVersion}}
	return s
}

// tcpServer is a simulated target or store.
type tcpServer interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// serve runs s on loopback until the test ends and returns its address.
func serve(t *testing.T, s tcpServer) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// fixture is an engine that serves on loopback, with a client.
type fixture struct {
	*Engine
	client *http.Client
	url    string
}

func newFixture(t *testing.T, s Settings) *fixture {
	t.Helper()
	e, err := New(Config{Settings: s, Name: "e", Clock: clockwork.NewRealClock(), Seed: 1})
	assert.NilError(t, err)
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	f := &fixture{Engine: e, client: &http.Client{Transport: transport}}
	f.url = "http://" + serve(t, e).String()
	t.Cleanup(transport.CloseIdleConnections)
	return f
}

func (f *fixture) post(path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return f.client.Post(f.url+path, "application/json", bytes.NewReader(encoded))
}

// generateResult is the response to a generate request: the frames, or the refusal.
type generateResult struct {
	status  int
	refusal messenger.Refusal
	frames  []messenger.GenerateFrame
	err     error
}

func (r generateResult) text() string {
	var b bytes.Buffer
	for _, f := range r.frames {
		b.WriteString(f.Token)
	}
	return b.String()
}

func (r generateResult) done() bool { return len(r.frames) > 0 && r.frames[len(r.frames)-1].Done }

func (f *fixture) generate(req messenger.GenerateRequest) generateResult {
	resp, err := f.post(messenger.PathGenerate, req)
	if err != nil {
		return generateResult{err: err}
	}
	defer resp.Body.Close()
	r := generateResult{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		r.err = json.NewDecoder(resp.Body).Decode(&r.refusal)
		return r
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var frame messenger.GenerateFrame
		if r.err = json.Unmarshal(lines.Bytes(), &frame); r.err != nil {
			return r
		}
		r.frames = append(r.frames, frame)
	}
	r.err = lines.Err()
	return r
}

// newRequest returns a request whose prompt fills the given number of blocks.
func newRequest(id string, blocks, tokens int) messenger.GenerateRequest {
	return messenger.GenerateRequest{
		RequestID:     identifier.Request(id),
		Attempt:       1,
		Model:         testModel,
		WeightVersion: testVersion,
		Prompt:        "prompt of " + id,
		PromptTokens:  blocks*1024 + 10,
		Blocks:        blockKeys(0, blocks),
		MaxTokens:     tokens,
	}
}

// blockKeys returns n keys with consecutive numbers, starting at first.
func blockKeys(first, n int) []identifier.BlockKey {
	list := make([]identifier.BlockKey, n)
	for i := range list {
		list[i][0] = byte(first + i + 1)
	}
	return list
}

func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
}

// A request that is resumed at any offset must continue with the tokens that the
// interrupted answer would have had; otherwise callers receive a mixed answer.
func TestResumedAnswerEqualsUninterruptedAnswer(t *testing.T) {
	f := newFixture(t, warmFastSettings())
	const tokens = 12
	whole := f.generate(newRequest("a", 1, tokens))
	assert.NilError(t, whole.err)
	assert.Assert(t, whole.done())
	want := AnswerText("prompt of a", testModel, testVersion, tokens)
	assert.Equal(t, whole.text(), want)
	for offset := range tokens + 1 {
		req := newRequest("a", 1, tokens)
		req.Attempt = offset + 2
		req.ResumeOffset = offset
		req.Generated = NewAnswer(req.Prompt, req.Model, req.WeightVersion).Text(offset)
		rest := f.generate(req)
		assert.NilError(t, rest.err)
		assert.Assert(t, rest.done())
		assert.Equal(t, rest.frames[len(rest.frames)-1].Offset, tokens)
		assert.Equal(t, req.Generated+rest.text(), want)
	}
	assert.Equal(t, f.Stats().MismatchedResumes, 0)
	assert.Equal(t, f.Runs("a"), tokens+2)
}

func TestAnswerDependsOnPromptModelAndVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		other := rapid.String().Filter(func(s string) bool { return s != prompt }).Draw(t, "other")
		want := AnswerText(prompt, "m", "v1", 8)
		assert.Equal(t, AnswerText(prompt, "m", "v1", 8), want)
		for _, text := range []string{AnswerText(other, "m", "v1", 8), AnswerText(prompt, "n", "v1", 8), AnswerText(prompt, "m", "v2", 8)} {
			assert.Assert(t, text != want)
		}
	})
}

// A request above the cold limit must crash the engine: all streams break, and
// the engine comes back cold with a new incarnation.
func TestColdEngineCrashesAboveColdLimit(t *testing.T) {
	s := warmFastSettings()
	s.Settings = warmer.Settings{ColdLimit: 2, WarmRequests: 2}
	s.DecodeTokensPerSecond = 100
	f := newFixture(t, s)
	const long = 1 << 20
	results := make(chan generateResult, 2)
	for i := range 2 {
		go func() { results <- f.generate(newRequest(fmt.Sprint("long", i), 0, long)) }()
	}
	waitFor(t, "two runs decode", func() bool { return f.Stats().GeneratedTokens >= 4 && f.Stats().Running == 2 })
	assert.Equal(t, f.Stats().Crashes, 0)
	assert.Assert(t, f.generate(newRequest("third", 0, 1)).err != nil)
	for range 2 {
		r := <-results
		assert.Assert(t, r.err != nil && !r.done(), "the stream survived the crash")
	}
	stats := f.Stats()
	assert.Equal(t, stats.Crashes, 1)
	assert.Equal(t, stats.ColdLimitExceeded, 1)
	assert.Equal(t, stats.Incarnation, identifier.Incarnation(2))
	assert.Equal(t, stats.MaxCold, 3)
	for i := range 2 {
		assert.NilError(t, f.generate(newRequest(fmt.Sprint("short", i), 0, 1)).err)
	}
	assert.Assert(t, !f.Stats().Cold)
}

// A restart must reset idle connections too, so that clients notice it.
func TestRestartResetsIdleConnections(t *testing.T) {
	f := newFixture(t, warmFastSettings())
	c, err := net.Dial("tcp", f.url[len("http://"):])
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /stats HTTP/1.1\r\nHost: e\r\n\r\n")
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	f.Restart()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = r.ReadByte()
	assert.ErrorContains(t, err, "reset")
}

func TestQueueOrdersByPriorityThenArrival(t *testing.T) {
	var q queue
	order := []struct{ priority, arrival int }{{0, 0}, {2, 1}, {1, 2}, {2, 3}, {0, 4}}
	for _, o := range order {
		q.push(&run{req: messenger.GenerateRequest{Priority: o.priority}, arrival: uint64(o.arrival)})
	}
	var got []uint64
	for q.len() > 0 {
		got = append(got, q.pop().arrival)
	}
	assert.DeepEqual(t, got, []uint64{1, 3, 2, 0, 4})
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	f := newFixture(t, warmFastSettings())
	assert.NilError(t, f.generate(newRequest("a", 3, 2)).err)
	r := f.generate(newRequest("b", 3, 2))
	assert.NilError(t, r.err)
	assert.Equal(t, r.frames[0].CachedTokens, 3*1024)
	stats := f.Stats()
	assert.Equal(t, stats.CachedTokens, int64(3*1024))
	assert.Equal(t, stats.PrefilledTokens, int64(3*1024+10+10))
}

func TestCacheEvictsLeastRecentlyUsedUnpinnedBlock(t *testing.T) {
	var evicted []identifier.BlockKey
	c := newCache(2, func(key identifier.BlockKey, wasEvicted bool) {
		if wasEvicted {
			evicted = append(evicted, key)
		}
	})
	k := blockKeys(0, 4)
	v1, v2 := weightsKey{testModel, "v1"}, weightsKey{testModel, "v2"}
	assert.Equal(t, c.insertUntilFull(k[:2], v1), 2)
	assert.Assert(t, !c.insert(k[2], v1), "a pinned block was evicted")
	c.unpin(k[:2])
	assert.Assert(t, c.pin(k[0]))
	c.unpin(k[:1])
	assert.Assert(t, c.insert(k[2], v1))
	assert.DeepEqual(t, evicted, k[1:2])
	assert.Equal(t, c.pinPrefix(k, v1), 1)
	assert.Equal(t, c.mixedUses, 0)
	assert.Equal(t, c.pinPrefix(k, v2), 1)
	assert.Equal(t, c.mixedUses, 1)
}

// Blocks that enter the cache before their prefill has ended would be reused by
// other requests although they aren't computed yet.
func TestBlocksAreCachedOnlyAfterPrefill(t *testing.T) {
	s := warmFastSettings()
	s.PrefillTokensPerSecond = 1024
	clock := clockwork.NewFakeClock()
	e, err := New(Config{Settings: s, Name: "e", Clock: clock})
	assert.NilError(t, err)
	defer e.Close()
	_, err, ok := e.admit(newRequest("a", 2, 1))
	assert.NilError(t, err)
	assert.Assert(t, ok)
	clock.Advance(time.Second)
	assert.Equal(t, e.Stats().CachedBlocks, 0)
	clock.Advance(2 * time.Second)
	waitFor(t, "the run ends", func() bool { return e.Stats().Running == 0 })
	assert.Equal(t, e.Stats().CachedBlocks, 2)
}

// Callers may repeat a refused request only if the refusal says that it has not
// run. A run that was cancelled after its start must not say so.
func TestRefusalsReportRunState(t *testing.T) {
	s := warmFastSettings()
	s.PrefillTokensPerSecond = 0.001
	s.QueueLimit = 1
	f := newFixture(t, s)
	wrong := newRequest("wrong", 0, 1)
	wrong.WeightVersion = "v9"
	r := f.generate(wrong)
	assert.Equal(t, r.refusal.Kind, string(KindWrongVersion))
	assert.Equal(t, r.refusal.Run, messenger.RunStateNotRun)
	stale := newRequest("stale", 0, 1)
	stale.ExpectIncarnation = f.warmer.Incarnation() + 1
	r = f.generate(stale)
	assert.Equal(t, r.status, http.StatusMisdirectedRequest)
	assert.Equal(t, r.refusal.Kind, string(KindWrongIncarnation))
	assert.Equal(t, r.refusal.Run, messenger.RunStateNotRun)

	results := make(chan generateResult, 2)
	go func() { results <- f.generate(newRequest("running", 0, 1)) }()
	waitFor(t, "one run", func() bool { return f.Stats().Running == 1 })
	queued := newRequest("queued", 0, 1)
	go func() { results <- f.generate(queued) }()
	waitFor(t, "one queued run", func() bool { return f.Stats().Queued == 1 })
	r = f.generate(newRequest("over", 0, 1))
	assert.Equal(t, r.refusal.Kind, string(KindOverloaded))
	assert.Equal(t, r.refusal.Run, messenger.RunStateNotRun)

	assert.Assert(t, f.Cancel(messenger.CancelRequest{RequestID: "queued", Attempt: 1}))
	r = <-results
	assert.Equal(t, r.refusal.Run, messenger.RunStateNotRun)
	assert.Assert(t, f.Cancel(messenger.CancelRequest{RequestID: "running", Attempt: 1}))
	r = <-results
	assert.Equal(t, r.refusal.Run, messenger.RunStateUnknown)
	assert.Equal(t, f.Stats().Started, 1)
}

func TestDeadlineStopsRun(t *testing.T) {
	s := warmFastSettings()
	s.DecodeTokensPerSecond = 20
	f := newFixture(t, s)
	req := newRequest("a", 0, 1<<20)
	req.DeadlineMilliseconds = 100
	r := f.generate(req)
	assert.NilError(t, r.err)
	assert.Assert(t, !r.done())
	assert.Equal(t, f.Stats().Running, 0)
}

func TestStreamFaults(t *testing.T) {
	one := 1
	const tokens = 8
	tests := []struct {
		name   string
		faults Faults
		check  func(t *testing.T, r generateResult)
	}{
		{"crossed", Faults{CrossNext: &one}, func(t *testing.T, r generateResult) {
			assert.Assert(t, r.done())
			assert.Equal(t, len(r.frames), tokens+2)
			assert.Equal(t, r.frames[tokens/2].RequestID, foreignRequestID)
		}},
		{"truncated", Faults{TruncateNext: &one}, func(t *testing.T, r generateResult) {
			assert.NilError(t, r.err)
			assert.Assert(t, !r.done())
		}},
		{"duplicated", Faults{DuplicateNext: &one}, func(t *testing.T, r generateResult) {
			assert.Assert(t, r.done())
			assert.Equal(t, len(r.frames), 2*tokens+1)
		}},
		{"reset", Faults{ResetNext: &one}, func(t *testing.T, r generateResult) { assert.Assert(t, r.err != nil && !r.done()) }},
	}
	f := newFixture(t, warmFastSettings())
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.NilError(t, f.Apply(test.faults))
			test.check(t, f.generate(newRequest(test.name, 0, tokens)))
			assert.Assert(t, f.generate(newRequest("whole", 0, tokens)).done())
		})
	}
}

func TestFreezeStallsAnswers(t *testing.T) {
	f := newFixture(t, warmFastSettings())
	on, off := true, false
	assert.NilError(t, f.Apply(Faults{Freeze: &on}))
	result := make(chan generateResult, 1)
	go func() { result <- f.generate(newRequest("a", 1, 5)) }()
	waitFor(t, "a queued run", func() bool { return f.Stats().Queued == 1 })
	assert.NilError(t, f.Apply(Faults{Freeze: &off}))
	assert.Assert(t, (<-result).done())
}

func TestUnknownFaultIsRejected(t *testing.T) {
	f := newFixture(t, warmFastSettings())
	resp, err := f.post(server.PathFaults, map[string]any{"no-such-fault": true})
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

// An engine that checks fencing tokens must refuse the order of a former owner;
// one that doesn't must accept it.
func TestOrderWithStaleFencingToken(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks fence ", checks), func(t *testing.T) {
			s := warmFastSettings()
			s.ChecksFence = checks
			f := newFixture(t, s)
			v2 := []messenger.LoadedWeights{{Model: testModel, Version: "v2"}}
			assert.Assert(t, f.Order(messenger.Order{Fence: 7, Weights: v2}).Accepted)
			waitFor(t, "the new weights replace the old ones", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.weights.loaded) == 1 && f.weights.loaded[0].Version == "v2"
			})
			old := f.Order(messenger.Order{Fence: 6, Weights: s.Weights})
			assert.Equal(t, old.Accepted, !checks)
		})
	}
}

func TestWeightsAreLoadedFromWeightStore(t *testing.T) {
	settings := supplier.DefaultSettings()
	settings.LoadTime.Duration = time.Millisecond
	store, err := supplier.New(supplier.Config{Settings: settings, Clock: clockwork.NewRealClock()})
	assert.NilError(t, err)
	s := warmFastSettings()
	s.WeightStore = serve(t, store)
	f := newFixture(t, s)
	order := messenger.Order{Weights: []messenger.LoadedWeights{{Model: testModel, Version: "v2", Adapters: []identifier.Adapter{"a"}}}}
	f.Order(order)
	f.Order(order)
	waitFor(t, "the weights are loaded", func() bool { return f.Stats().WeightLoads == 1 })
	assert.Equal(t, store.Stats().Loads, 1)
	req := newRequest("a", 0, 1)
	req.WeightVersion, req.Adapter = "v2", "a"
	assert.Assert(t, f.generate(req).done())
}

// A run must finish with the weights with which it started, even if an order
// replaces them meanwhile.
func TestRunKeepsWeightsDuringUpdate(t *testing.T) {
	s := warmFastSettings()
	s.DecodeTokensPerSecond = 100
	f := newFixture(t, s)
	result := make(chan generateResult, 1)
	go func() { result <- f.generate(newRequest("a", 0, 20)) }()
	waitFor(t, "the run decodes", func() bool { return f.Stats().GeneratedTokens > 0 })
	f.Order(messenger.Order{Fence: 1, Weights: []messenger.LoadedWeights{{Model: testModel, Version: "v2"}}})
	waitFor(t, "old weights are refused", func() bool { return f.generate(newRequest("b", 0, 1)).status == http.StatusConflict })
	r := <-result
	assert.NilError(t, r.err)
	assert.Equal(t, r.text(), AnswerText("prompt of a", testModel, testVersion, 20))
}

// An import must stop at a corrupt block and at a block that has another
// generation than expected.
func TestExportAndImportThroughStore(t *testing.T) {
	settings := storer.DefaultSettings()
	settings.BlockBytes = 1 << 10
	store, err := storer.New(storer.Config{Settings: settings, Clock: clockwork.NewRealClock()})
	assert.NilError(t, err)
	address := serve(t, store)
	first, second := newFixture(t, warmFastSettings()), newFixture(t, warmFastSettings())
	assert.NilError(t, first.generate(newRequest("a", 3, 1)).err)
	exported := first.Export(t.Context(), messenger.ExportRequest{Store: address, Blocks: blockKeys(0, 4)})
	assert.Equal(t, exported.Blocks, 3)
	assert.Assert(t, exported.Reason != "")

	refs := lookup(t, first, address, blockKeys(0, 4))
	assert.Equal(t, len(refs), 3)
	req := messenger.ImportRequest{Store: address, Model: testModel, WeightVersion: testVersion, Blocks: refs}
	one := 1
	assert.NilError(t, store.Apply(storer.Faults{CorruptNext: &one}))
	assert.Equal(t, second.Import(t.Context(), req).Blocks, 0)
	assert.Equal(t, second.Stats().ChecksumFailures, 1)
	assert.Equal(t, second.Import(t.Context(), req).Blocks, 3)
	r := second.generate(newRequest("b", 3, 1))
	assert.Equal(t, r.frames[0].CachedTokens, 3*1024)
	assert.Equal(t, second.Stats().ForeignPayloads, 0)
	assert.Equal(t, second.Stats().MixedBlocks, 0)

	req.Blocks[1].Generation += 100
	third := newFixture(t, warmFastSettings())
	assert.Equal(t, third.Import(t.Context(), req).Blocks, 1)
}

func lookup(t *testing.T, f *fixture, store netip.AddrPort, keys []identifier.BlockKey) []messenger.BlockRef {
	t.Helper()
	body, err := json.Marshal(messenger.LookupRequest{Keys: keys})
	assert.NilError(t, err)
	resp, err := f.client.Post("http://"+store.String()+messenger.PathLookup, "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	defer resp.Body.Close()
	var result messenger.LookupResult
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&result))
	var refs []messenger.BlockRef
	for _, b := range result.Blocks {
		refs = append(refs, b.BlockRef)
	}
	return refs
}

func TestCacheEventsAndLoadReportsAreDelayed(t *testing.T) {
	s := warmFastSettings()
	s.EventLag = server.Duration{Duration: time.Second}
	s.LoadLag = server.Duration{Duration: time.Second}
	clock := clockwork.NewFakeClock()
	e, err := New(Config{Settings: s, Name: "e", Clock: clock})
	assert.NilError(t, err)
	defer e.Close()
	_, _, ok := e.admit(newRequest("a", 2, 1<<20))
	assert.Assert(t, ok)
	clock.Advance(500 * time.Millisecond)
	waitFor(t, "the run decodes", func() bool { return e.Stats().CachedBlocks == 2 })
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	assert.Equal(t, len(e.events.publishedAfter(now, 0)), 0)
	assert.Equal(t, e.reports.Published(now).Running, 0)
	later := now.Add(time.Second)
	assert.Equal(t, len(e.events.publishedAfter(later, 0)), 2)
	assert.Equal(t, len(e.events.publishedAfter(later, 1)), 1)
	assert.Equal(t, e.reports.Published(later).Running, 1)
}

// An engine without requests becomes warm by time alone. Its load reports must
// show it, although nothing else records the load.
func TestIdleEngineReportsWarm(t *testing.T) {
	s := warmFastSettings()
	s.WarmTime = server.Duration{Duration: time.Second}
	s.LoadLag = server.Duration{Duration: time.Second}
	clock := clockwork.NewFakeClock()
	e, err := New(Config{Settings: s, Name: "e", Clock: clock})
	assert.NilError(t, err)
	defer e.Close()
	cold := func() bool {
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, messenger.PathLoad, nil))
		var report messenger.LoadReport
		assert.NilError(t, json.NewDecoder(w.Body).Decode(&report))
		return report.Cold
	}
	clock.Advance(2 * time.Second)
	assert.Assert(t, cold(), "the report does not lag")
	clock.Advance(time.Second)
	assert.Assert(t, !cold())
}
