// Package warmer simulates the cold start of a target: how many simultaneous
// requests it can handle while it is cold, when it becomes warm and when it
// crashes from overload.
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

// Kind classifies the errors of this package.
type Kind string

// KindInvalid reports settings out of range.
const KindInvalid Kind = "invalid"

// Error is returned by the functions of this package.
type Error struct{ failer.Detail[Kind] }

// Settings configures a cold start.
type Settings struct {
	// ColdLimit is the highest number of simultaneous requests that a cold target
	// can handle. One more crashes it.
	ColdLimit int `json:"cold-limit"`
	// A cold target becomes warm after WarmTime and WarmRequests completed requests.
	WarmTime     server.Duration `json:"warm-time"`
	WarmRequests int             `json:"warm-requests"`
	// StartsWarm skips the first cold start. The target is cold after a restart.
	StartsWarm bool `json:"starts-warm"`
}

// Config configures a Warmer.
type Config struct {
	Settings
	Clock clockwork.Clock
}

// Stats holds the counters of a Warmer and its current state.
type Stats struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	Cold        bool                   `json:"cold"`
	// Crashes counts the crashes from requests above the cold limit.
	Crashes int `json:"fall-overs"`
	// ColdLimitExceeded counts the requests that arrived above the cold limit.
	ColdLimitExceeded int `json:"cold-limit-exceeded"`
	// MaxCold is the highest number of simultaneous requests while cold.
	MaxCold int `json:"max-cold"`
	// Restarts counts all changes of the incarnation, including crashes.
	Restarts int `json:"restarts"`
}

// Warmer tracks the requests and the cold start of one target. It is safe for
// concurrent use.
type Warmer struct {
	cfg Config

	mu    sync.Mutex
	stats Stats
	// coldSince is when the current incarnation started.
	coldSince time.Time
	active    int
	completed int
}

// Ticket identifies a request that a Warmer counts as active.
type Ticket struct {
	incarnation identifier.Incarnation
}

// Incarnation returns the incarnation that was current when the request began.
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
	w := &Warmer{cfg: cfg, coldSince: cfg.Clock.Now()}
	w.stats.Incarnation = 1
	w.stats.Cold = !cfg.StartsWarm
	return w, nil
}

// Begin adds an active request. It returns false if the request exceeds the cold
// limit: the target has then crashed and has a new, cold incarnation.
func (w *Warmer) Begin() (Ticket, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateCold()
	if w.stats.Cold && w.active >= w.cfg.ColdLimit {
		w.stats.ColdLimitExceeded++
		w.stats.Crashes++
		w.stats.MaxCold = max(w.stats.MaxCold, w.active+1)
		w.restartLocked()
		return Ticket{}, false
	}
	w.active++
	if w.stats.Cold {
		w.stats.MaxCold = max(w.stats.MaxCold, w.active)
	}
	return Ticket{incarnation: w.stats.Incarnation}, true
}

// End removes an active request. Only completed requests warm the target up.
// Tickets of earlier incarnations are ignored, because a restart has already
// removed their requests.
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

// Restart starts a new, cold incarnation and returns it.
func (w *Warmer) Restart() identifier.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restartLocked()
	return w.stats.Incarnation
}

// Cold reports whether the target is cold.
func (w *Warmer) Cold() bool { return w.Stats().Cold }

// Incarnation returns the current incarnation.
func (w *Warmer) Incarnation() identifier.Incarnation { return w.Stats().Incarnation }

// Stats returns a copy of the current counters.
func (w *Warmer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateCold()
	return w.stats
}

// updateCold ends the cold start once WarmTime has passed and WarmRequests have
// completed. The caller holds mu.
func (w *Warmer) updateCold() {
	if !w.stats.Cold || w.completed < w.cfg.WarmRequests {
		return
	}
	w.stats.Cold = w.cfg.Clock.Since(w.coldSince) < w.cfg.WarmTime.Duration
}

func (w *Warmer) restartLocked() {
	w.stats.Incarnation++
	w.stats.Restarts++
	w.stats.Cold = true
	w.coldSince = w.cfg.Clock.Now()
	w.active = 0
	w.completed = 0
}

func invalid(format string, args ...any) error {
	return &Error{failer.Detail[Kind]{Op: "check settings", Kind: KindInvalid, Err: errors.Newf(format, args...)}}
}
