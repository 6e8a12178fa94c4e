// Package recorder keeps the steps of recent requests, so that operators can see
// why a request was routed as it was.
package recorder

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
)

// Kind classifies failures of this package.
type Kind string

// KindConfig reports an invalid Config.
const KindConfig Kind = "config"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

const (
	// DefaultRequests is the default number of requests to keep.
	DefaultRequests = 2048
	// maxSteps is the number of steps kept per request; later ones are dropped.
	maxSteps = 64
)

// Config configures a Recorder.
type Config struct {
	Clock clockwork.Clock
	// Requests is the number of requests to keep; 0 means DefaultRequests.
	Requests int
}

// Entry is one step of a request.
type Entry struct {
	At     time.Time
	Step   reducer.Step
	Target identifier.Target
	Detail string
}

// Recorder keeps the steps of the most recently used requests. It is safe for
// concurrent use.
type Recorder struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	requests *lru.Cache[identifier.Request, []Entry]
}

// New returns a Recorder, or an Error of KindConfig if Requests is negative.
func New(cfg Config) (*Recorder, error) {
	if cfg.Requests == 0 {
		cfg.Requests = DefaultRequests
	}
	requests, err := lru.New[identifier.Request, []Entry](cfg.Requests)
	if err != nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new recorder", Kind: KindConfig, Err: err}}
	}
	return &Recorder{clock: cfg.Clock, requests: requests}, nil
}

// RecordStep appends a step to its request.
func (r *Recorder) RecordStep(e reducer.RecordStep) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, _ := r.requests.Get(e.Request)
	if len(entries) >= maxSteps {
		return
	}
	entry := Entry{At: r.clock.Now(), Step: e.Step, Target: e.Target, Detail: e.Detail}
	r.requests.Add(e.Request, append(entries, entry))
}

// Explain returns the steps of a request, oldest first, or nil if it is not kept.
func (r *Recorder) Explain(id identifier.Request) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, _ := r.requests.Get(id)
	return append([]Entry(nil), entries...)
}
