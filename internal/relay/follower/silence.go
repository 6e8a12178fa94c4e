package follower

import (
	"maps"
	"sync"
	"time"
)

// giveUpReason says why a watch call was given up.
type giveUpReason string

const (
	// giveUpExpired is that of a call without an answer after its wait was over.
	giveUpExpired giveUpReason = "expired"
	// giveUpOvertaken is that of a call that lacks changes which another host has.
	giveUpOvertaken giveUpReason = "overtaken"
	// giveUpSuspected is that of a call which may be silent, as another call of this host was lost.
	giveUpSuspected giveUpReason = "suspected"
	// giveUpRegained is that of a call from an outage that has ended.
	giveUpRegained giveUpReason = "regained"
)

// givenUpCalls counts the watch calls that were given up, by kind of object. The zero givenUpCalls is ready
// to use.
type givenUpCalls struct {
	mu     sync.Mutex
	byKind map[string]int64
}

func (g *givenUpCalls) count(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byKind == nil {
		g.byKind = map[string]int64{}
	}
	g.byKind[kind]++
}

// GivenUpCalls returns how many watch calls were given up as silent, by kind of object.
func (f *Follower) GivenUpCalls() map[string]int64 {
	f.givenUp.mu.Lock()
	defer f.givenUp.mu.Unlock()
	return maps.Clone(f.givenUp.byKind)
}

// giveUp records that a call which had waited for some time of its wait was given up. Idle connections may
// be silent too, so the next call opens a new one.
func (w *watch) giveUp(reason giveUpReason, after int64, waited, wait time.Duration) {
	w.givenUp.count(w.kind)
	w.cfg.Logger.Info("watch given up, it may be silent", "kind", w.kind, "after", after, "reason", string(reason), "waited", waited, "wait", wait)
	w.setOverdue(true)
	w.expired = reason == giveUpExpired
	w.cfg.Caller.CloseIdle()
}

// observeLateness records how late an answer was. One in time after a call that has expired shows that the
// platform lost the answer to that call, rather than being slow, so other watches may have lost theirs.
func (w *watch) observeLateness(late time.Duration, changes int) {
	if w.expired && late < overduePause {
		w.platformLost(w)
	}
	w.expired = false
	if changes == 0 {
		w.lateness.Store(int64(max(0, late)))
	}
}
