// Package engine simulates a model engine with continuous batching, a prefix
// cache, cold starts and weight versions.
package engine

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/reporter"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// eventRandStream selects the PCG stream for dropped events, so that they are
	// independent of other random numbers from the same seed.
	eventRandStream      = 0x6361636865
	maxIdleConnsPerStore = 4
	idleConnTimeout      = 30 * time.Second
)

// Stats holds the counters of an Engine and its current load.
type Stats struct {
	warmer.Stats
	Role    string `json:"role,omitempty"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	// PrefilledTokens counts the prompt tokens that were computed, and CachedTokens
	// those that were found in the cache.
	PrefilledTokens int64 `json:"prefilled-tokens"`
	CachedTokens    int64 `json:"cached-tokens"`
	GeneratedTokens int64 `json:"generated-tokens"`
	CachedBlocks    int   `json:"cached-blocks"`
	ImportedBlocks  int   `json:"imported-blocks"`
	ImportedBytes   int64 `json:"imported-bytes"`
	ExportedBlocks  int   `json:"exported-blocks"`
	ExportedBytes   int64 `json:"exported-bytes"`
	// ChecksumFailures counts imports of corrupt blocks, and ForeignPayloads
	// imports that matched the checksum but contained another block's payload.
	ChecksumFailures int `json:"checksum-failures"`
	ForeignPayloads  int `json:"foreign-payloads"`
	// MixedBlocks counts uses of cached blocks that were computed with another
	// model or weight version.
	MixedBlocks int `json:"mixed-blocks"`
	// Runs counts the runs that started their prefill, by request.
	Runs map[identifier.Request]int `json:"runs"`
	// Admissions counts the attempts that were queued, by request.
	Admissions map[identifier.Request]int `json:"admissions"`
	// Started counts all runs, and StartedSinceMark those since the last mark.
	Started          int `json:"started"`
	StartedSinceMark int `json:"started-since-mark"`
	// Completed counts the answers that were sent completely.
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	// MismatchedResumes counts resumed requests whose already generated tokens
	// differ from those of this engine's answer.
	MismatchedResumes int `json:"mismatched-resumes"`
	Orders            int `json:"orders"`
	StaleOrders       int `json:"stale-orders"`
	WeightLoads       int `json:"weight-loads"`
	WeightFailures    int `json:"weight-failures"`
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	*server.Server
	cfg    Config
	warmer *warmer.Warmer
	loader WeightLoader
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	// weightLoads tracks the goroutines that load weights.
	weightLoads sync.WaitGroup

	mu            sync.Mutex
	arrivals      uint64
	runs          map[identifier.Attempt]*run
	queue         queue
	prefilling    *run
	decoding      map[*run]struct{}
	stepScheduled bool
	cache         *cache
	events        eventLog
	reports       reporter.Reporter
	weights       weights
	// fencingToken is the highest fencing token of all accepted orders.
	fencingToken uint64
	role         string
	faultState
	stats Stats
}

// New returns a cold Engine for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Engine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	w, err := warmer.New(warmer.Config{Settings: cfg.Settings.Settings, Clock: cfg.Clock})
	if err != nil {
		return nil, newError("check settings", KindInvalid, err)
	}
	e := &Engine{
		cfg:        cfg,
		warmer:     w,
		client:     newHTTPClient(cfg),
		runs:       make(map[identifier.Attempt]*run),
		decoding:   make(map[*run]struct{}),
		events:     eventLog{lag: cfg.EventLag.Duration, dropShare: cfg.EventDropShare},
		weights:    weights{loaded: cfg.Weights, wanted: cfg.Weights, loading: make(map[weightsKey]bool)},
		faultState: faultState{slowFactor: 1},
	}
	e.events.rng = rand.New(rand.NewPCG(cfg.Seed, eventRandStream))
	e.cache = newCache(cfg.CacheBlocks, e.onCacheChange)
	e.stats.Runs = make(map[identifier.Request]int)
	e.stats.Admissions = make(map[identifier.Request]int)
	e.loader = e.newLoader()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.reports.Lag = cfg.LoadLag.Duration
	e.reports.Reset(cfg.Clock.Now(), e.loadReport())
	srv, err := server.New(server.Config{Handler: e.router(), OnStop: e.Close})
	e.Server = srv
	return e, err
}

// Close cancels the running loads of weights, waits for them and closes the idle
// connections to stores. Serve calls it when it ends.
func (e *Engine) Close() {
	e.cancel()
	e.weightLoads.Wait()
	e.client.CloseIdleConnections()
}

// Restart simulates a crash: it discards all runs and the cache, resets all
// connections and starts a new, cold incarnation.
func (e *Engine) Restart() {
	e.RestartSilently()
	e.dropConnections()
}

// RestartSilently does the same as Restart, but leaves idle connections open, so
// that clients notice the restart only from the new incarnation.
func (e *Engine) RestartSilently() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmer.Restart()
	e.resetLocked()
}

// dropConnections resets all connections, and new ones during RestartTime.
func (e *Engine) dropConnections() {
	if e.cfg.RestartTime.Duration > 0 {
		e.SetRefuseConnections(true)
		e.cfg.Clock.AfterFunc(e.cfg.RestartTime.Duration, func() { e.SetRefuseConnections(false) })
	}
	e.ResetConnections()
}

// Stats returns a copy of the current counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Stats = e.warmer.Stats()
	stats.Role = e.role
	stats.Running = e.runningCount()
	stats.Queued = e.queue.len()
	stats.CachedBlocks = e.cache.len()
	stats.MixedBlocks = e.cache.mixedUses
	stats.Runs = maps.Clone(e.stats.Runs)
	stats.Admissions = maps.Clone(e.stats.Admissions)
	return stats
}

// Runs returns how many runs of the request have started their prefill.
func (e *Engine) Runs(id identifier.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats.Runs[id]
}

func (e *Engine) updateStats(change func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

// recordLoad records the current load for delayed load reports. The caller holds mu.
func (e *Engine) recordLoad() { e.reports.Record(e.cfg.Clock.Now(), e.loadReport()) }

// runningCount counts the runs in prefill or decode. The caller holds mu.
func (e *Engine) runningCount() int {
	n := len(e.decoding)
	if e.prefilling != nil {
		n++
	}
	return n
}

// loadReport returns the current load. The caller holds mu.
func (e *Engine) loadReport() messenger.LoadReport {
	state := e.warmer.Stats()
	return messenger.LoadReport{
		Target:                 e.cfg.Name,
		Incarnation:            state.Incarnation,
		Cold:                   state.Cold,
		Running:                e.runningCount(),
		Queued:                 e.queue.len(),
		QueuedTokens:           e.queue.tokens(),
		PrefillTokensPerSecond: e.cfg.PrefillTokensPerSecond / e.slowFactor,
		CachedBlocks:           e.cache.len(),
		CacheBlocks:            e.cfg.CacheBlocks,
		Weights:                e.weights.loaded,
		Fence:                  e.reportedFencingToken(),
	}
}

// reportedFencingToken returns 0 for an engine that ignores fencing tokens. The
// caller holds mu.
func (e *Engine) reportedFencingToken() uint64 {
	if !e.cfg.ChecksFence {
		return 0
	}
	return e.fencingToken
}

func (e *Engine) onCacheChange(key identifier.BlockKey, evicted bool) {
	e.events.add(e.cfg.Clock.Now(), key, evicted)
}

func (e *Engine) newLoader() WeightLoader {
	switch {
	case e.cfg.Loader != nil:
		return e.cfg.Loader
	case e.cfg.WeightStore.IsValid():
		return storeLoader{client: e.client, store: e.cfg.WeightStore.String()}
	default:
		return timedLoader{clock: e.cfg.Clock, duration: e.cfg.WeightLoadTime.Duration}
	}
}

func newHTTPClient(cfg Config) *http.Client {
	if cfg.Transport != nil {
		return &http.Client{Transport: cfg.Transport}
	}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerStore, IdleConnTimeout: idleConnTimeout}}
}

// admit queues a request. It returns an error if the request is refused, or
// false if the request exceeded the cold limit and the engine has restarted.
func (e *Engine) admit(req messenger.GenerateRequest) (*run, error, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAdmission(req); err != nil {
		e.stats.Refused++
		return nil, err, true
	}
	ticket, ok := e.warmer.Begin()
	if !ok {
		e.resetLocked()
		return nil, nil, false
	}
	r := &run{
		req:         req,
		answer:      NewAnswer(req.Prompt, req.Model, req.WeightVersion),
		arrival:     e.arrivals,
		incarnation: ticket.Incarnation(),
		ticket:      ticket,
		produced:    req.ResumeOffset,
		fault:       e.takeStreamFault(),
		wake:        make(chan struct{}, 1),
	}
	e.arrivals++
	e.stats.Admissions[req.RequestID]++
	e.runs[r.attemptID()] = r
	e.queue.push(r)
	if req.DeadlineMilliseconds > 0 {
		timeout := time.Duration(req.DeadlineMilliseconds) * time.Millisecond
		r.deadlineTimer = e.cfg.Clock.AfterFunc(timeout, func() { e.endRun(r, endDeadline) })
	}
	e.schedule()
	e.recordLoad()
	return r, nil, true
}

// checkAdmission returns an error if the request must be refused. The caller
// holds mu.
func (e *Engine) checkAdmission(req messenger.GenerateRequest) error {
	const op = "admit request"
	switch {
	case e.refusing:
		return newError(op, KindRefusing, errors.Newf("engine %q refuses all requests", e.cfg.Name))
	case req.RequestID == "" || req.MaxTokens < 1 || req.PromptTokens < 0:
		return newError(op, KindInvalid, errors.New("request-id, max-tokens or prompt-tokens is missing"))
	case req.ResumeOffset < 0 || req.ResumeOffset > req.MaxTokens:
		return newError(op, KindInvalid, errors.Newf("resume-offset is %d, want from 0 to %d", req.ResumeOffset, req.MaxTokens))
	case req.ExpectIncarnation != 0 && req.ExpectIncarnation != e.warmer.Incarnation():
		return newError(op, KindWrongIncarnation, errors.Newf("incarnation %d is expected, this one is %d", req.ExpectIncarnation, e.warmer.Incarnation()))
	case !e.weights.has(req.Model, req.Adapter, req.WeightVersion):
		return newError(op, KindWrongVersion, errors.Newf("model %q version %q with adapter %q is not loaded", req.Model, req.WeightVersion, req.Adapter))
	case e.queue.len() >= e.cfg.QueueLimit && (e.prefilling != nil || e.runningCount() >= e.cfg.RunningLimit):
		return newError(op, KindOverloaded, errors.Newf("the queue of engine %q is full", e.cfg.Name))
	default:
		return nil
	}
}
