// Package warmer keeps account of a stand-in's cold start: how many requests it
// bears while it is cold, when it becomes warm and when it falls over.
package warmer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports settings out of range.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Settings describes a cold start.
type Settings struct {
	// ColdLimit is the number of requests that a cold stand-in bears at once.
	ColdLimit int `json:"cold-limit"`
	// WarmTime and WarmRequests must both pass before a cold stand-in is warm.
	WarmTime     server.Duration `json:"warm-time"`
	WarmRequests int             `json:"warm-requests"`
	// StartsWarm leaves out the first cold start; a restart is cold all the same.
	StartsWarm bool `json:"starts-warm"`
}

// Config configures a Warmer.
type Config struct {
	Settings
	Clock clockwork.Clock
}

// Stats counts what happened to a Warmer.
type Stats struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	Cold        bool                   `json:"cold"`
	// FallOvers counts the crashes from load above the cold limit.
	FallOvers int `json:"fall-overs"`
	// ColdLimitExceeded counts the requests that arrived above the cold limit.
	ColdLimitExceeded int `json:"cold-limit-exceeded"`
	// MaxCold is the highest number of requests at once while cold.
	MaxCold int `json:"max-cold"`
	// Restarts counts all changes of the incarnation.
	Restarts int `json:"restarts"`
}

// Warmer counts the requests of one stand-in. It is safe for concurrent use.
type Warmer struct {
	cfg Config

	mu        sync.Mutex
	stats     Stats
	since     time.Time
	active    int
	completed int
}

// Ticket stands for one request that a Warmer counts.
type Ticket struct {
	incarnation identifier.Incarnation
}

// Incarnation returns the incarnation that counted the request in.
func (t Ticket) Incarnation() identifier.Incarnation { return t.incarnation }

// New returns a Warmer of incarnation 1, or an Error of KindInvalid.
func New(cfg Config) (*Warmer, error) {
	if cfg.Clock == nil {
		return nil, invalid("the clock is missing")
	}
	if cfg.ColdLimit < 1 {
		return nil, invalid("cold-limit is %d, want at least 1", cfg.ColdLimit)
	}
	if cfg.WarmTime.Duration < 0 || cfg.WarmRequests < 0 {
		return nil, invalid("warm-time is %v and warm-requests %d, want neither below 0", cfg.WarmTime, cfg.WarmRequests)
	}
	w := &Warmer{cfg: cfg, since: cfg.Clock.Now()}
	w.stats.Incarnation = 1
	w.stats.Cold = !cfg.StartsWarm
	return w, nil
}

// Begin counts a request in. It returns false when the request goes above the
// cold limit: the stand-in has then fallen over and has a new incarnation.
func (w *Warmer) Begin() (Ticket, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh()
	if w.stats.Cold && w.active >= w.cfg.ColdLimit {
		w.stats.ColdLimitExceeded++
		w.stats.FallOvers++
		w.stats.MaxCold = max(w.stats.MaxCold, w.active+1)
		w.restart()
		return Ticket{}, false
	}
	w.active++
	if w.stats.Cold {
		w.stats.MaxCold = max(w.stats.MaxCold, w.active)
	}
	return Ticket{incarnation: w.stats.Incarnation}, true
}

// End counts the request of t out; completed says whether it ran to its end.
// Tickets of earlier incarnations are ignored.
func (w *Warmer) End(t Ticket, completed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.incarnation != w.stats.Incarnation {
		return
	}
	w.active--
	if completed {
		w.completed++
	}
}

// Restart begins a new, cold incarnation and returns it.
func (w *Warmer) Restart() identifier.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
	return w.stats.Incarnation
}

// Cold reports whether the stand-in is cold.
func (w *Warmer) Cold() bool { return w.Stats().Cold }

// Incarnation returns the present incarnation.
func (w *Warmer) Incarnation() identifier.Incarnation { return w.Stats().Incarnation }

// Stats returns the counts.
func (w *Warmer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh()
	return w.stats
}

// refresh ends the cold start when its time and its requests have passed.
func (w *Warmer) refresh() {
	if !w.stats.Cold || w.completed < w.cfg.WarmRequests {
		return
	}
	w.stats.Cold = w.cfg.Clock.Since(w.since) < w.cfg.WarmTime.Duration
}

func (w *Warmer) restart() {
	w.stats.Incarnation++
	w.stats.Restarts++
	w.stats.Cold = true
	w.since = w.cfg.Clock.Now()
	w.active = 0
	w.completed = 0
}

func invalid(format string, args ...any) error {
	return &Error{failer.Detail[Kind]{Op: "check settings", Kind: KindInvalid, Err: errors.Newf(format, args...)}}
}
