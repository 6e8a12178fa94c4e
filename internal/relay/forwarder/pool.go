package forwarder

import (
	"bufio"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/relay/dialer"
)

const (
	// readBufferSize is the size of a connection's read buffer. Most responses fit.
	readBufferSize = 2 << 10
	// defaultKeepAlive is how long an idle connection is kept if its target sends no
	// Keep-Alive timeout, which can't express less than a second.
	defaultKeepAlive = 500 * time.Millisecond
	// maxIdleTimeRepeatable bounds the idle time of a connection that is reused for a
	// repeatable request, maxIdleTimeNonRepeatable for any other request.
	maxIdleTimeRepeatable    = 8 * time.Second
	maxIdleTimeNonRepeatable = 250 * time.Millisecond
	// sweepInterval is the time between sweeps for expired idle connections, which
	// also finds those to targets that no longer get requests.
	sweepInterval = 5 * time.Second
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 8
)

// conn is a connection to a target. Reading it is bounded between beginHead and endHead.
type conn struct {
	net.Conn
	r *bufio.Reader
	// idleSince is when it became idle, idleUntil when it expires.
	idleSince, idleUntil time.Time
	// reused is true once it has carried a request.
	reused bool
	// omitsIDs is true if the target sent a response without the ID of its request.
	omitsIDs bool
	// rejected holds the IDs of requests that the target rejected here. Such a request may be sent again, and
	// another copy of the rejection would look like the answer to it.
	rejected []string

	// inHead is true while headers are read, headBytes the number of bytes that they may still
	// have, and headDeadlineSet true once their time is limited.
	inHead          bool
	headBytes       int
	headDeadlineSet bool
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.r = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// maxRejected bounds the rejected requests on a connection that is reused.
const maxRejected = 32

// mayReuse reports whether the answer to a further request can be told from those before.
func (c *conn) mayReuse() bool { return !c.omitsIDs && len(c.rejected) <= maxRejected }

// maxHeadTime bounds the time from the first bytes of a response to the end of its headers.
const maxHeadTime = 2 * time.Second

// errHeadTooLong reports the headers of a response, including informational ones before it, that
// exceed bounder.MaxHeaderBytes.
var errHeadTooLong = errors.New("the headers of the response are too long")

func (c *conn) beginHead() { c.inHead, c.headBytes = true, bounder.MaxHeaderBytes }

func (c *conn) endHead() error {
	c.inHead = false
	if !c.headDeadlineSet {
		return nil
	}
	c.headDeadlineSet = false
	return c.SetReadDeadline(time.Time{})
}

// Read reads from the connection, within the bounds of the headers while they are read.
func (c *conn) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.headBytes <= 0 {
		return 0, errHeadTooLong
	}
	if c.headBytes < bounder.MaxHeaderBytes && !c.headDeadlineSet {
		c.headDeadlineSet = true
		// Deadlines of connections refer to the system's clock.
		if err := c.SetReadDeadline(time.Now().Add(maxHeadTime)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytes)])
	c.headBytes -= n
	return n, err
}

// pool holds the idle connections of each target.
type pool struct {
	now  func() time.Time
	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// lastSweep is when expired connections were last removed.
	lastSweep time.Time
}

func newPool(now func() time.Time) pool { return pool{now: now, idle: map[netip.AddrPort][]*conn{}} }

// get returns the most recently used connection to addr that is still open and has
// been idle for less than maxIdleTime, or nil. The target must not have rejected the request
// with the given ID on it.
func (p *pool) get(addr netip.AddrPort, maxIdleTime time.Duration, id string) *conn {
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
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) < maxIdleTime && !slices.Contains(c.rejected, id) && dialer.Reusable(c.Conn) {
			return c
		}
		_ = c.Close() // It has expired or can't be reused.
	}
}

// put adds an idle connection that expires after keepAlive.
func (p *pool) put(addr netip.AddrPort, c *conn, keepAlive time.Duration) {
	c.idleSince = p.now()
	c.idleUntil = c.idleSince.Add(keepAlive)
	p.mu.Lock()
	var expired []*conn
	list := append(p.idle[addr], c)
	if len(list) > maxIdlePerTarget {
		expired, list = append(expired, list[0]), list[1:]
	}
	p.idle[addr] = list
	expired = append(expired, p.removeExpired(c.idleSince)...)
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close() // It has expired or exceeds the limit of its target.
	}
}

// removeExpired removes expired connections and returns them for closing. It does
// so once per sweepInterval at most.
func (p *pool) removeExpired(now time.Time) []*conn {
	if now.Sub(p.lastSweep) < sweepInterval {
		return nil
	}
	p.lastSweep = now
	var expired []*conn
	for addr, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
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
	return expired
}

// CloseIdle closes all idle connections.
func (p *pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close() // No request uses it.
		}
		delete(p.idle, addr)
	}
}
