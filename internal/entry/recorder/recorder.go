// Package recorder keeps the recent requests' steps, so that operators can see
// why a request went where it did.
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

// KindConfig reports a faulty Config.
const KindConfig Kind = "config"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

const (
	// DefaultRequests is the number of requests that are remembered.
	DefaultRequests = 2048
	// maxSteps bounds the steps of one request.
	maxSteps = 64
)

// Config configures a Recorder.
type Config struct {
	Clock clockwork.Clock
	// Requests is the number of requests that are remembered; 0 means DefaultRequests.
	Requests int
}

// Entry is one step of a request.
type Entry struct {
	At     time.Time
	Step   reducer.Step
	Target identifier.Target
	Detail string
}

// Recorder keeps the steps of recent requests. It is safe for concurrent use.
type Recorder struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	requests *lru.Cache[identifier.Request, []Entry]
}

// New returns a Recorder.
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

// Note adds one step.
func (r *Recorder) Note(n reducer.Note) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, _ := r.requests.Get(n.Request)
	if len(entries) >= maxSteps {
		return
	}
	entry := Entry{At: r.clock.Now(), Step: n.Step, Target: n.Target, Detail: n.Detail}
	r.requests.Add(n.Request, append(entries, entry))
}

// Explain returns the steps of a request, oldest first, or nil when it is not
// remembered.
func (r *Recorder) Explain(id identifier.Request) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, _ := r.requests.Get(id)
	return append([]Entry(nil), entries...)
}
