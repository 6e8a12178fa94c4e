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

// Faults says how the stand-in fails. The zero value means that it does not.
type Faults struct {
	// Down cuts the connection of each call before it takes effect.
	Down bool `json:"down"`
	// Delay is added before each call takes effect.
	Delay specifier.Duration `json:"delay"`
	// Throttle refuses each call as if the limits were spent.
	Throttle bool `json:"throttle"`
	// LoseShare is the share of writes, from 0 to 1, that take effect without an answer.
	LoseShare float64 `json:"lose-share"`
	// LoseNext is the number of next writes that take effect without an answer.
	LoseNext int `json:"lose-next"`
	// StaleFor lets reads answer from the revision of now for this long.
	StaleFor specifier.Duration `json:"stale-for"`
	// CutOff lists the sources whose calls are cut before they take effect.
	CutOff []string `json:"cut-off,omitempty"`
}

// Counters counts calls by kind and by result.
type Counters struct {
	Calls []Counter `json:"calls"`
}

// Counter counts the calls of one kind with one result.
type Counter struct {
	Op     rememberer.Op `json:"op"`
	Result Result        `json:"result"`
	Count  int           `json:"count"`
}

// Of returns the number of calls of kind op with any result.
func (c Counters) Of(op rememberer.Op) int {
	sum := 0
	for _, call := range c.Calls {
		if call.Op == op {
			sum += call.Count
		}
	}
	return sum
}

// Result says how a call ended.
type Result string

const (
	resultOK        Result = "ok"
	resultRefused   Result = "refused"
	resultThrottled Result = "throttled"
	resultCut       Result = "cut"
	resultLost      Result = "lost"
)

// verdict is what happens to one call.
type verdict struct {
	cut, throttle, loseAnswer bool
	delay                     time.Duration
}

// faultTable holds the faults in force and counts calls.
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

// judge decides on one call and counts it if it is cut.
func (t *faultTable) judge(op rememberer.Op, source string, write bool) verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endStale()
	f := &t.faults
	if f.Down || (source != "" && slices.Contains(f.CutOff, source)) {
		t.add(op, resultCut)
		return verdict{cut: true}
	}
	v := verdict{throttle: f.Throttle, delay: f.Delay.Duration}
	if write && !f.Throttle {
		v.loseAnswer = t.lose()
	}
	return v
}

func (t *faultTable) lose() bool {
	if t.faults.LoseNext > 0 {
		t.faults.LoseNext--
		return true
	}
	return t.faults.LoseShare > 0 && t.rnd.Float64() < t.faults.LoseShare
}

func (t *faultTable) endStale() {
	if t.faults.StaleFor.Duration > 0 && !t.clock.Now().Before(t.staleUntil) {
		t.faults.StaleFor.Duration = 0
		t.store.SetStale(0)
	}
}

func (t *faultTable) count(op rememberer.Op, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(op, result)
}

func (t *faultTable) add(op rememberer.Op, result Result) {
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
