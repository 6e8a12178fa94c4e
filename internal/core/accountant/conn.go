package accountant

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// phase is what a connection does.
type phase int

const (
	// phaseNew is from the accept to the first byte.
	phaseNew phase = iota
	// phaseHead is from the first byte of a request to the end of its head.
	phaseHead
	// phaseBody is while the body is read, phaseServing while the request is served.
	phaseBody
	phaseServing
	// phaseIdle is from the end of a response to the next request.
	phaseIdle
)

const (
	// readBytes is how many bytes after a head the HTTP server may read together with it.
	readBytes = 4 << 10
	// transitTime is added to the limits of times, which are those of the caller.
	transitTime = time.Second
	// writePieceBytes is written at once, for writeTime at most. A caller that reads nothing for that long is gone.
	writePieceBytes = 64 << 10
	writeTime       = 30 * time.Second
	// deadlineAge is the age from which the deadline of writes is set again.
	deadlineAge = 5 * time.Second
)

// The responses to heads that aren't read. Both promise that the request has not run.
const (
	responseTooLong  = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	responseNoMemory = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 0.5\r\n\r\n"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	account *Account

	// The account's lock guards the fields below.
	phase phase
	// evicted is true if the connection was ended for others, cut if that was during a write.
	evicted, cut bool
	// held is what the connection has taken from the account, headHeld and bodyHeld the parts for the head and the body
	// of the request.
	held, headHeld, bodyHeld int64
	// headBytes and headLines are those of the head that is being read.
	headBytes, headLines int
	// requestAt is the time of the request's first byte, progressAt that of the last progress, and received the bytes
	// since.
	requestAt, progressAt time.Time
	received              int
	// writingSince is when the write in progress last made progress; zero if there is none.
	writingSince time.Time
	// writeDeadlineAt is when the deadline of writes was set. Only the writer uses it.
	writeDeadlineAt time.Time
}

// Read reads from the connection. It ends the connection if a head exceeds its limit or the account.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal, failure := c.receive(p[:n]); failure != nil {
		_ = c.SetWriteDeadline(c.account.cfg.Clock.Now().Add(transitTime)) // Fails only if the connection is closed.
		_, _ = io.WriteString(c.Conn, refusal)                             // The connection ends anyway.
		return 0, failure
	}
	return n, err
}

// receive accounts for bytes that were read. It returns the response that ends the connection, and why, if they are too
// many.
func (c *Conn) receive(p []byte) (refusal string, failure error) {
	a := c.account
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase == phaseNew || c.phase == phaseIdle {
		c.beginHead(now)
	}
	if c.received += len(p); c.received >= progressBytes {
		c.progressAt, c.received = now, 0
	}
	if c.phase != phaseHead {
		return "", nil
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, []byte{'\n'})
	if limit := a.limitsNow(now).HeaderBytes; limit > 0 && c.headBytes > limit+readBytes {
		a.count(CauseHeadTooLong)
		return responseTooLong, readError(KindTooLong, "the head is too long")
	}
	if !c.chargeHead(c.headBytes, c.headLines) {
		a.count(CauseNoMemory)
		return responseNoMemory, readError(KindExhausted, "callers hold too much memory")
	}
	return "", nil
}

// readError returns an error that the HTTP server takes for one of the network, so that it sends nothing more.
func readError(kind Kind, text string) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: newError(kind, text)}
}

func (c *Conn) beginHead(now time.Time) {
	if limit := c.account.limitsNow(now).HeaderTime; c.phase == phaseNew && limit > 0 && !c.evicted {
		_ = c.Conn.SetReadDeadline(now.Add(limit + transitTime)) // Fails only if the connection is closed.
	}
	c.phase, c.requestAt, c.progressAt, c.received = phaseHead, now, now, 0
	c.headBytes, c.headLines = 0, 0
}

// chargeHead takes the cost of a head from the account.
func (c *Conn) chargeHead(length, lines int) bool {
	cost := int64(length+lines*lineBytes) - usualHeadBytes
	if cost <= c.headHeld {
		return true
	}
	if !c.take(cost - c.headHeld) {
		return false
	}
	c.headHeld = cost
	return true
}

// take takes n bytes from the part of the account that is for requests of the size of this one.
func (c *Conn) take(n int64) bool {
	if c.evicted {
		return false
	}
	share := largeShare
	if c.held+n <= smallBytes {
		share = smallShare
	}
	return c.account.reserve(c, n, share)
}

// Reserve takes n bytes of a body from the account. If there is no room, it returns false, and what the body has taken
// before counts as free at once: bodies that are being refused must not make others be refused too.
func (c *Conn) Reserve(n int) bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.take(int64(n)) {
		c.bodyHeld += int64(n)
		c.account.bodies += int64(n)
		return true
	}
	if !c.evicted {
		c.account.count(CauseNoMemory)
	}
	c.giveBodyBack(c.bodyHeld)
	return false
}

// Return gives back what Reserve has taken. It has no effect after Reserve has failed.
func (c *Conn) Return(n int) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.giveBodyBack(min(int64(n), c.bodyHeld))
}

func (c *Conn) giveBodyBack(n int64) {
	c.bodyHeld -= n
	c.account.bodies -= n
	c.account.giveBack(c, n)
}

// ReserveHeader takes the cost of a parsed header from the account, and says that its request is being served. The HTTP
// server reports neither for a head that it has read together with an earlier request. It returns false if there is no
// room.
func (c *Conn) ReserveHeader(h http.Header) bool {
	length, lines := 0, 0
	for name, values := range h {
		for _, value := range values {
			length += len(name) + len(value)
			lines++
		}
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.phase = phaseServing
	if c.chargeHead(length, lines) {
		return true
	}
	c.account.count(CauseNoMemory)
	return false
}

// BeginBody says that the body of the request is read from now on.
func (c *Conn) BeginBody() { c.setPhase(phaseBody) }

// EndBody says that nothing of the request is to come, and that it is going to be served. It returns false if the
// connection was evicted before, so that the request must be refused.
func (c *Conn) EndBody() bool {
	c.setPhase(phaseServing)
	return !c.Evicted()
}

func (c *Conn) setPhase(p phase) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.phase = p
}

// Evicted reports whether the connection was ended to make room for others.
func (c *Conn) Evicted() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.evicted
}

// SetReadDeadline sets the deadline of reads, but none beyond the limits in force. It has no effect on a connection
// that was evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	a := c.account
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.evicted {
		return nil
	}
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits := a.limitsNow(now)
	switch c.phase {
	case phaseNew, phaseIdle:
		t = earliest(t, now, limits.IdleTime)
	case phaseHead:
		t = earliest(t, c.requestAt, limits.HeaderTime)
	}
	return c.Conn.SetReadDeadline(t)
}

// earliest returns the earlier one of t and the end of a limit, if there is one.
func earliest(t, from time.Time, limit time.Duration) time.Time {
	if end := from.Add(limit + transitTime); limit > 0 && end.Before(t) {
		return end
	}
	return t
}

// Write writes in pieces. It fails if the caller reads none for writeTime.
func (c *Conn) Write(p []byte) (int, error) {
	defer c.setWritingSince(time.Time{})
	written := 0
	for {
		now := c.account.cfg.Clock.Now()
		if !c.setWritingSince(now) {
			return written, writeError()
		}
		if now.Sub(c.writeDeadlineAt) >= deadlineAge {
			if err := c.SetWriteDeadline(now.Add(writeTime)); err != nil {
				return written, err
			}
			c.writeDeadlineAt = now
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		if written += n; err != nil {
			c.countUnread(err)
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

// setWritingSince sets the time of the last progress of a write. It returns false if the connection was cut.
func (c *Conn) setWritingSince(t time.Time) bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.writingSince = t
	return !c.cut
}

func writeError() error {
	return &net.OpError{Op: "write", Net: "tcp", Err: newError(KindEvicted, "the response isn't read")}
}

func (c *Conn) countUnread(err error) {
	var failure net.Error
	if !errors.As(err, &failure) || !failure.Timeout() {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if !c.evicted {
		c.account.count(CauseUnreadResponse)
	}
}

// Close closes the connection and gives back all that it holds.
func (c *Conn) Close() error {
	c.account.mu.Lock()
	c.account.giveBack(c, c.held)
	c.evicted = true // Takes nothing any more.
	delete(c.account.conns, c)
	c.account.mu.Unlock()
	return c.Conn.Close()
}

// ObserveState is the ConnState hook of the server.
func ObserveState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	a := c.account
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = phaseServing
	case http.StateIdle:
		a.giveBack(c, c.headHeld)
		c.phase, c.headHeld, c.progressAt = phaseIdle, 0, now
		c.headBytes, c.headLines = 0, 0
	}
}

// Crowded reports whether the connection should end after a response, to make room for others.
func (c *Conn) Crowded() bool { return c.account.Crowded() }

func (a *Account) refuseConnection() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(CauseNoConnection)
}

// Listener accepts connections within an account.
type Listener struct {
	net.Listener
	Account *Account
}

// Accept returns the next connection for which there is room. It closes all others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, account: l.Account, progressAt: l.Account.cfg.Clock.Now()}
		if l.Account.admit(c) {
			return c, nil
		}
		l.Account.refuseConnection()
		_ = conn.Close() // Nothing was read.
	}
}
