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
	// readBuffer is the size of a connection's read buffer: most answers fit.
	readBuffer = 2 << 10
	// unstatedKeep is how long a connection is kept whose target states no
	// timeout: one below a second can't be stated.
	unstatedKeep = 500 * time.Millisecond
	// idleLimit bounds the idle time of a connection for repeatable requests,
	// freshLimit for others.
	idleLimit  = 8 * time.Second
	freshLimit = 250 * time.Millisecond
	// sweepEvery is the pause between searches for connections that were idle for
	// too long, also to targets that are gone.
	sweepEvery = 5 * time.Second
	// maxIdle bounds the idle connections to one target.
	maxIdle = 8
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
	// swept is when idle connections were last searched.
	swept time.Time
}

func newPool(now func() time.Time) pool { return pool{now: now, idle: map[netip.AddrPort][]*conn{}} }

// take returns the connection that was used last, or nil.
func (p *pool) take(addr netip.AddrPort, longest time.Duration) *conn {
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
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) < longest && dialer.Quiet(c.Conn) {
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
	if len(list) > maxIdle {
		old, list = append(old, list[0]), list[1:]
	}
	p.idle[addr] = list
	old = append(old, p.sweep(c.idleSince)...)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // It makes room, or was idle for too long.
	}
}

// sweep takes the connections out that were idle for too long, now and then.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.swept) < sweepEvery {
		return nil
	}
	p.swept = now
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
