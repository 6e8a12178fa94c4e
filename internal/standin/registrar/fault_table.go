package registrar

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

// Faults lists the faults to inject; the zero value injects none.
type Faults struct {
	// Down cuts the connection of each call before it takes effect.
	Down bool `json:"down"`
	// Delay is the wait before each call takes effect.
	Delay specifier.Duration `json:"delay"`
	// Throttle refuses each call as if a rate limit were exceeded.
	Throttle bool `json:"throttle"`
	// LoseShare is the share of writes, from 0 to 1, that take effect but get no answer.
	LoseShare float64 `json:"lose-share"`
	// LoseNext is the number of subsequent writes that take effect but get no answer.
	LoseNext int `json:"lose-next"`
	// StaleFor is how long reads return the revision that was current when the faults were set.
	StaleFor specifier.Duration `json:"stale-for"`
	// CutOff lists the values of client.HeaderSource whose calls are cut before they
	// take effect.
	CutOff []string `json:"cut-off,omitempty"`
}

// Counters holds the numbers of calls by kind and result.
type Counters struct {
	Calls []Counter `json:"calls"`
}

// Counter counts the calls of one kind with one result.
type Counter struct {
	Op     rememberer.Op `json:"op"`
	Result Result        `json:"result"`
	Count  int           `json:"count"`
}

// Total returns the number of calls of kind op with any result.
func (c Counters) Total(op rememberer.Op) int {
	sum := 0
	for _, call := range c.Calls {
		if call.Op == op {
			sum += call.Count
		}
	}
	return sum
}

// Result is the outcome of a call.
type Result string

const (
	resultOK        Result = "ok"
	resultRefused   Result = "refused"
	resultThrottled Result = "throttled"
	resultCut       Result = "cut"
	resultLost      Result = "lost"
)

// callFault holds the faults that affect one call.
type callFault struct {
	cut, throttle, loseAnswer bool
	delay                     time.Duration
}

// faultTable holds the faults in force and the call counters.
type faultTable struct {
	clock clockwork.Clock

	mu         sync.Mutex
	rnd        *rand.Rand
	faults     Faults
	staleUntil time.Time
	store      *rememberer.Memory
	counters   Counters
}

func newFaultTable(clock clockwork.Clock, rnd *rand.Rand) *faultTable {
	return &faultTable{clock: clock, rnd: rnd}
}

func (t *faultTable) set(f Faults, store *rememberer.Memory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	t.store = store
	store.SetStale(0)
	if f.StaleFor.Duration > 0 {
		t.staleUntil = t.clock.Now().Add(f.StaleFor.Duration)
		store.SetStale(store.Revision())
	}
}

func (t *faultTable) get() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// faultFor returns the faults for one call and counts the call if it is cut.
func (t *faultTable) faultFor(op rememberer.Op, source string, write bool) callFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireStale()
	f := &t.faults
	if f.Down || (source != "" && slices.Contains(f.CutOff, source)) {
		t.countLocked(op, resultCut)
		return callFault{cut: true}
	}
	fault := callFault{throttle: f.Throttle, delay: f.Delay.Duration}
	if write && !f.Throttle {
		fault.loseAnswer = t.loseAnswer()
	}
	return fault
}

// loseAnswer reports whether the answer to the next write is lost, and decrements
// LoseNext. t.mu must be held.
func (t *faultTable) loseAnswer() bool {
	if t.faults.LoseNext > 0 {
		t.faults.LoseNext--
		return true
	}
	return t.faults.LoseShare > 0 && t.rnd.Float64() < t.faults.LoseShare
}

// expireStale ends stale reads after StaleFor. t.mu must be held.
func (t *faultTable) expireStale() {
	if t.faults.StaleFor.Duration > 0 && !t.clock.Now().Before(t.staleUntil) {
		t.faults.StaleFor.Duration = 0
		t.store.SetStale(0)
	}
}

func (t *faultTable) count(op rememberer.Op, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countLocked(op, result)
}

// countLocked is count for callers that hold t.mu.
func (t *faultTable) countLocked(op rememberer.Op, result Result) {
	for i := range t.counters.Calls {
		c := &t.counters.Calls[i]
		if c.Op == op && c.Result == result {
			c.Count++
			return
		}
	}
	t.counters.Calls = append(t.counters.Calls, Counter{Op: op, Result: result, Count: 1})
}

func (t *faultTable) snapshot() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counters{Calls: slices.Clone(t.counters.Calls)}
}
