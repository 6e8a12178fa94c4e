package replayer

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// paceInterval is the interval between changes of the paces of machines.
	paceInterval = 50 * time.Millisecond
	// paceJitter is the greatest chance difference of a pace.
	paceJitter = 0.1
)

// Paced describes engines that state the pace of their machines, which changes many times a second.
type Paced struct {
	// TokenTime is the time to prefill a token beside running requests, in chunks of Chunk tokens, and FirstToken
	// the time from the last chunk to the first part of the answer.
	TokenTime  time.Duration `json:"token-time"`
	FirstToken time.Duration `json:"first-token"`
	Chunk      int           `json:"chunk"`
	// Slots is the number of requests that run at once, MemoryTokens the capacity of the memory.
	Slots        int `json:"slots"`
	MemoryTokens int `json:"memory-tokens"`
	// SlowShare is the share of engines on which work takes SlowFactor times as long, for SlowFor on the average.
	SlowShare  float64       `json:"slow-share"`
	SlowFactor float64       `json:"slow-factor"`
	SlowFor    time.Duration `json:"slow-for"`
	// Silent engines state three figures without the pace.
	Silent bool `json:"silent"`
	// ConstantCosts makes hosts estimate with constants.
	ConstantCosts bool `json:"constant-costs"`
}

// KindResult holds the outcomes of the requests of one kind.
type KindResult struct {
	Requests, Late, Refused int
	spans                   []time.Duration
}

// Quantile returns a quantile of the times to the first part.
func (k *KindResult) Quantile(q float64) time.Duration {
	if len(k.spans) == 0 {
		return 0
	}
	slices.Sort(k.spans)
	return k.spans[min(len(k.spans)-1, int(q*float64(len(k.spans))))]
}

// Kind returns the outcomes of the requests to a path.
func (r *Replayer) Kind(path string) KindResult { return *r.kind(path) }

func (r *Replayer) kind(path string) *KindResult {
	k := r.kinds[path]
	if k == nil {
		k = &KindResult{}
		r.kinds[path] = k
	}
	return k
}

func (c *Config) slots() int {
	if c.Paced == nil {
		return engineSlots
	}
	return c.Paced.Slots
}

func (c *Config) memoryTokens() int {
	if c.Paced == nil {
		return engineMemoryTokens
	}
	return c.Paced.MemoryTokens
}

func (c *Config) chunkTokens() int {
	if c.Paced == nil {
		return prefillChunkTokens
	}
	return c.Paced.Chunk
}

// varyPaces changes the paces of the engines, and schedules the next change.
func (r *Replayer) varyPaces() {
	p := r.cfg.Paced
	if p == nil {
		return
	}
	// The chance of an engine to become slow keeps the share of slow ones.
	chance := float64(paceInterval) / float64(p.SlowFor) * p.SlowShare / (1 - p.SlowShare)
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		e := r.engines[id]
		e.jitter = paceJitter * (2*r.rng.Float64() - 1)
		if r.now.After(e.slowUntil) && r.rng.Float64() < chance {
			e.slowUntil = r.now.Add(time.Duration((0.5 + r.rng.Float64()) * float64(p.SlowFor)))
		}
	}
	r.scheduleAfter(paceInterval, r.varyPaces)
}

// factor returns how many times longer than usual work takes.
func (e *engine) factor() float64 {
	factor := 1 + e.jitter
	if e.replayer.now.Before(e.slowUntil) {
		factor *= e.replayer.cfg.Paced.SlowFactor
	}
	return factor
}

// pace returns what the engine states in an answer.
func (e *engine) pace() descriptor.Pace {
	p := e.replayer.cfg.Paced
	if p == nil {
		return descriptor.Pace{}
	}
	stated := descriptor.Pace{Running: min(len(e.running), p.Slots), Waiting: max(0, len(e.running)-p.Slots), Slots: p.Slots}
	if !p.Silent {
		stated.Percent = int(100 * e.factor())
	}
	return stated
}

// beginAnswer begins the answer to a prompt that was read, after FirstToken.
func (e *engine) beginAnswer(req *request) {
	r := e.replayer
	if r.cfg.Paced == nil || r.cfg.Paced.FirstToken == 0 {
		e.startDecoding(req)
		return
	}
	wait := time.Duration(float64(r.cfg.Paced.FirstToken) * e.factor())
	req.importsReadyAt = r.now.Add(2 * wait) // It isn't read once more meanwhile.
	r.scheduleAfter(wait, func() {
		if slices.Contains(e.running, req) {
			e.startDecoding(req)
		}
	})
}

// pacedStep returns the duration of a step that prefills a number of tokens beside running requests.
func (e *engine) pacedStep(tokens, decoding int) time.Duration {
	p := e.replayer.cfg.Paced
	duration := stepTime + time.Duration(decoding)*stepTimePerSequence
	switch {
	case tokens > 0:
		duration = max(stepTime, time.Duration(tokens)*p.TokenTime)
	case decoding == 0:
		return time.Millisecond // All requests wait for imports or memory.
	}
	return time.Duration(float64(duration) * e.factor())
}
