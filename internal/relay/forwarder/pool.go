package forwarder

import (
	"bufio"
	"net"
	"net/netip"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/dialer"
)

const (
	// readBufferSize is the size of a connection's read buffer: most answers fit.
	readBufferSize = 2 << 10
	// defaultKeepAlive is how long a connection is kept whose target states no
	// timeout: one below a second can't be stated.
	defaultKeepAlive = 500 * time.Millisecond
	// maxIdleTimeRepeatable bounds the idle time of a connection for repeatable requests,
	// maxIdleTimeNonRepeatable for others.
	maxIdleTimeRepeatable    = 8 * time.Second
	maxIdleTimeNonRepeatable = 250 * time.Millisecond
	// sweepInterval is the pause between searches for connections that were idle for
	// too long, also to targets that are gone.
	sweepInterval = 5 * time.Second
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 8
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	r *bufio.Reader
	// idleSince and idleUntil say when it may be used again.
	idleSince, idleUntil time.Time
}

// pool keeps idle connections.
type pool struct {
	now  func() time.Time
	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// lastSweep is when idle connections were last searched.
	lastSweep time.Time
}

func newPool(now func() time.Time) pool { return pool{now: now, idle: map[netip.AddrPort][]*conn{}} }

// get returns the connection that was used last, or nil.
func (p *pool) get(addr netip.AddrPort, longest time.Duration) *conn {
	now := p.now()
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) < longest && dialer.Reusable(c.Conn) {
			return c
		}
		_ = c.Close() // It was idle for too long or is of no use.
	}
}

func (p *pool) put(addr netip.AddrPort, c *conn, limit time.Duration) {
	c.idleSince = p.now()
	c.idleUntil = c.idleSince.Add(limit)
	p.mu.Lock()
	var old []*conn
	list := append(p.idle[addr], c)
	if len(list) > maxIdlePerTarget {
		old, list = append(old, list[0]), list[1:]
	}
	p.idle[addr] = list
	old = append(old, p.removeExpired(c.idleSince)...)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // It makes room, or was idle for too long.
	}
}

// removeExpired takes the connections out that were idle for too long, now and then.
func (p *pool) removeExpired(now time.Time) []*conn {
	if now.Sub(p.lastSweep) < sweepInterval {
		return nil
	}
	p.lastSweep = now
	var old []*conn
	for addr, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if now.After(c.idleUntil) {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	return old
}

// CloseIdle closes all idle connections.
func (p *pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close() // It is idle.
		}
		delete(p.idle, addr)
	}
}
