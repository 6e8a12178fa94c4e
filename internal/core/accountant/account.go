// Package accountant bounds the memory and the connections that callers make a process hold. All connections share one
// account. When it is used up, those that hold most without progress are ended first, so that others still get in.
package accountant

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies errors of this package.
type Kind string

const (
	// KindTooLong reports a head above the limit.
	KindTooLong Kind = "too-long"
	// KindExhausted reports that the account is used up.
	KindExhausted Kind = "exhausted"
	// KindEvicted reports a connection that was ended to make room for others.
	KindEvicted Kind = "evicted"
)

// Error describes why a connection was ended.
type Error struct{ failer.Detail[Kind] }

func newError(kind Kind, text string) error {
	return &Error{failer.Detail[Kind]{Op: "read", Kind: kind, Err: errors.New(text)}}
}

const (
	// connectionBytes is what a connection takes from the account: the buffers and stacks of the HTTP server, a usual
	// head, and the first 16 KiB of a body, which bounder doesn't count.
	connectionBytes = 40 << 10
	// usualHeadBytes is the part of a head's cost that connectionBytes covers.
	usualHeadBytes = 4 << 10
	// lineBytes is the memory of a header line in addition to its text: its entries in two maps and its slice.
	lineBytes = 256
	// smallBytes is what a connection may hold in the part of the account that is kept for small requests.
	smallBytes = connectionBytes + 128<<10
	// largeShare and smallShare are the shares of the account that large and small requests may fill. The rest is for new
	// connections.
	largeShare = 0.7
	smallShare = 0.95
	// stallTime is the time in which a caller must send progressBytes to count as making progress.
	stallTime     = time.Second
	progressBytes = 16 << 10
	// maxReceiveTime is the time after which a request that isn't complete may be ended for others although its caller
	// makes progress.
	maxReceiveTime = 15 * time.Second
	// scanInterval is the least time between two searches that find nothing to end.
	scanInterval = 10 * time.Millisecond
	// admitWait is how long a connection waits for room.
	admitWait = 1500 * time.Millisecond
	// crowdedShare is the share of all connections from which answered ones are closed.
	crowdedShare = 0.9
	// limitsAge is the time after which the limits in force are asked for again.
	limitsAge = time.Second
)

// Clock tells the time of day, which deadlines of connections need, with a steady reading.
type Clock interface{ Now() time.Time }

// Limits are what one caller may use. Zero values mean no limit.
type Limits struct {
	// HeaderBytes bounds the head of a request, HeaderTime the time from its first byte to its end.
	HeaderBytes int
	HeaderTime  time.Duration
	// IdleTime bounds the time without a request.
	IdleTime time.Duration
}

// Config configures an Account.
type Config struct {
	// Bytes bounds what all callers hold together, MaxConnections their connections.
	Bytes          int64
	MaxConnections int
	// Limits returns the limits in force.
	Limits func() Limits
	Clock  Clock
}

// Cause is why a connection or a request was ended.
type Cause string

// The causes.
const (
	CauseHeadTooLong    Cause = "head-too-long"
	CauseNoMemory       Cause = "no-memory"
	CauseStalled        Cause = "stalled"
	CauseSlow           Cause = "slow"
	CauseIdle           Cause = "idle"
	CauseNoConnection   Cause = "no-connection"
	CauseUnreadResponse Cause = "unread-response"
)

// Account is the account of all callers. It is safe for concurrent use.
type Account struct {
	cfg Config

	mu sync.Mutex
	// used is what all connections hold, bodies the part of it for bodies.
	used, bodies int64
	conns        map[*Conn]struct{}
	ended        map[string]int64
	// lastFailure is the time of the last search that found nothing to evict.
	lastFailure time.Time
	// vainWaitAt is when a connection last waited for room in vain. Only the listener uses it.
	vainWaitAt time.Time
	// limits are those in force at limitsAt.
	limits   Limits
	limitsAt time.Time
}

// New returns an Account that nobody uses.
func New(cfg Config) *Account {
	return &Account{cfg: cfg, conns: map[*Conn]struct{}{}, ended: map[string]int64{}}
}

// Used returns the bytes in use.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Bodies returns the bytes in use by bodies, without the first 16 KiB of each.
func (a *Account) Bodies() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bodies
}

// Connections returns the number of open connections.
func (a *Account) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// Ended returns how many connections and requests were ended, by cause.
func (a *Account) Ended() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	ended := make(map[string]int64, len(a.ended))
	for cause, n := range a.ended {
		ended[cause] = n
	}
	return ended
}

// limitsNow returns the limits in force, which may be limitsAge old.
func (a *Account) limitsNow(now time.Time) Limits {
	if now.Sub(a.limitsAt) >= limitsAge {
		a.limits, a.limitsAt = a.cfg.Limits(), now
	}
	return a.limits
}

func (a *Account) count(cause Cause) { a.ended[string(cause)]++ }

// reserve takes n bytes for c within the given share of the account, and makes room for them if it can.
func (a *Account) reserve(c *Conn, n int64, share float64) bool {
	bound := int64(share * float64(a.cfg.Bytes))
	if a.used+n > bound && !a.makeRoom(c, a.used+n-bound) {
		return false
	}
	a.used += n
	c.held += n
	return true
}

// giveBack returns n bytes of c.
func (a *Account) giveBack(c *Conn, n int64) {
	n = min(n, c.held) // Nothing is left of a connection that was evicted.
	c.held -= n
	a.used -= n
}

// makeRoom evicts connections other than c until they have freed needed bytes. What they hold counts as free at once,
// though the memory is freed a moment later. It returns false if not enough can be freed.
func (a *Account) makeRoom(c *Conn, needed int64) bool {
	now := a.cfg.Clock.Now()
	if now.Sub(a.lastFailure) < scanInterval {
		return false
	}
	for needed > 0 {
		victim, cause := a.worst(c, now, rankByBytes)
		if victim == nil {
			a.lastFailure = now
			return false
		}
		needed -= victim.held
		a.evict(victim, cause)
	}
	return true
}

// ranking is the resource by which connections are evicted.
type ranking int

const (
	rankByBytes ranking = iota
	rankByAge
)

// worst returns the connection to evict first, and why; nil if there is none.
func (a *Account) worst(except *Conn, now time.Time, by ranking) (*Conn, Cause) {
	var worst *Conn
	var worstCause Cause
	worstGrade := 0
	for c := range a.conns {
		grade, cause := c.grade(now, by)
		if c == except || grade == 0 || grade < worstGrade {
			continue
		}
		if worst != nil && grade == worstGrade && !c.isWorse(worst, by) {
			continue
		}
		worst, worstCause, worstGrade = c, cause, grade
	}
	return worst, worstCause
}

func (c *Conn) isWorse(than *Conn, by ranking) bool {
	if by == rankByBytes && c.held != than.held {
		return c.held > than.held
	}
	return c.progressAt.Before(than.progressAt)
}

// grade returns how soon c is to be evicted, from 0, never, and why. A connection without a request is evicted at once
// for another connection, but not for a body.
func (c *Conn) grade(now time.Time, by ranking) (int, Cause) {
	silent := now.Sub(c.progressAt)
	switch {
	case c.evicted:
		return 0, ""
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) >= stallTime:
		return 4, CauseUnreadResponse
	case c.phase == phaseServing:
		return 0, ""
	case (c.phase == phaseHead || c.phase == phaseBody) && silent >= stallTime:
		return 4, CauseStalled
	case c.phase == phaseNew && (by == rankByAge || silent >= stallTime):
		return 3, CauseIdle
	case c.phase == phaseIdle && silent >= stallTime:
		return 2, CauseIdle
	case (c.phase == phaseHead || c.phase == phaseBody) && now.Sub(c.requestAt) >= maxReceiveTime:
		return 1, CauseSlow
	}
	return 0, ""
}

func (a *Account) evict(c *Conn, cause Cause) {
	a.count(cause)
	a.giveBack(c, c.held)
	c.evicted = true
	c.cut = !c.writingSince.IsZero()
	if !c.cut {
		_ = c.Conn.SetReadDeadline(past) // Fails only if the connection is closed.
		return
	}
	_ = c.SetDeadline(past)
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// admit adds a connection. If there is no room, it waits a while unless an earlier wait was in vain, so that others wait in
// the system's queue. It returns false if there is still none.
func (a *Account) admit(c *Conn) bool {
	began := a.cfg.Clock.Now()
	for !a.tryAdmit(c) {
		now := a.cfg.Clock.Now()
		if began.Sub(a.vainWaitAt) < admitWait {
			return false
		}
		if now.Sub(began) >= admitWait {
			a.vainWaitAt = now
			return false
		}
		time.Sleep(scanInterval)
	}
	return true
}

// Crowded reports whether nearly all connections are in use, so that those that have been answered should end.
func (a *Account) Crowded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(len(a.conns)) >= crowdedShare*float64(a.cfg.MaxConnections)
}

// tryAdmit adds a connection, and evicts another one if there are too many. It returns false if there is no room.
func (a *Account) tryAdmit(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.conns) >= a.cfg.MaxConnections {
		victim, cause := a.worst(nil, a.cfg.Clock.Now(), rankByAge)
		if victim == nil {
			return false
		}
		a.evict(victim, cause)
		delete(a.conns, victim)
	}
	if !a.reserve(c, connectionBytes, 1) {
		return false
	}
	a.conns[c] = struct{}{}
	return true
}
