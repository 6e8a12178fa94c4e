package proxier

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// chunkBytes is the size of one read.
	chunkBytes = 16 << 10
	// maxQueuedChunks bounds the chunks in transit in one direction.
	maxQueuedChunks = 64
)

// connection is one forwarded connection. Proxier.mu guards the silent fields.
type connection struct {
	client     net.Conn
	target     net.Conn
	cancel     context.CancelFunc
	silentUp   bool
	silentDown bool
}

func (c *connection) close() {
	c.cancel()
	_ = c.client.Close()
	_ = c.target.Close()
}

// reset closes both ends with a TCP reset. The end of the context closes them without one.
func (c *connection) reset() {
	resetConn(c.client)
	resetConn(c.target)
	c.cancel()
}

// pump forwards the bytes of one connection in one direction.
type pump struct {
	proxier *Proxier
	clock   clockwork.Clock
	conn    *connection
	up      bool
	from    net.Conn
	to      net.Conn
	chunks  chan chunk
	// nextSend is when the rate limit admits the next byte.
	nextSend time.Time
}

// chunk is a piece of the stream that is written at due. The last one has end
// set, and in err the read error that ended the stream.
type chunk struct {
	data []byte
	due  time.Time
	end  bool
	err  error
}

func (p *Proxier) newPump(c *connection, up bool) *pump {
	m := &pump{proxier: p, clock: p.cfg.Clock, conn: c, up: up, chunks: make(chan chunk, maxQueuedChunks)}
	m.from, m.to = c.target, c.client
	if up {
		m.from, m.to = c.client, c.target
	}
	return m
}

// run forwards until the stream or ctx ends.
func (m *pump) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.write(ctx)
	}()
	m.read(ctx)
	<-done
}

// read queues the received bytes until the end of the stream.
func (m *pump) read(ctx context.Context) {
	defer close(m.chunks)
	for {
		data := make([]byte, chunkBytes)
		n, err := m.from.Read(data)
		next := chunk{data: data[:n], due: m.due(n), end: err != nil, err: err}
		select {
		case m.chunks <- next:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// due returns when n bytes that are received now must be written, and counts them
// against the rate limit.
func (m *pump) due(n int) time.Time {
	d := m.proxier.direction(m.conn, m.up)
	at := m.clock.Now()
	if d.BytesPerSecond > 0 {
		if m.nextSend.After(at) {
			at = m.nextSend
		}
		at = at.Add(time.Duration(float64(n) / float64(d.BytesPerSecond) * float64(time.Second)))
		m.nextSend = at
	}
	return at.Add(d.Delay.Duration)
}

// write writes the queued chunks when they are due.
func (m *pump) write(ctx context.Context) {
	for next := range m.chunks {
		if !m.sleepUntil(ctx, next.due) {
			return
		}
		if m.proxier.direction(m.conn, m.up).Silent {
			m.proxier.discard(m.conn, m.up, len(next.data))
			if next.end {
				<-ctx.Done()
			}
			continue
		}
		m.proxier.count(m.up, len(next.data))
		if _, err := m.to.Write(next.data); err != nil && !next.end {
			m.conn.reset()
			return
		}
		if next.end {
			m.finish(next.err)
		}
	}
}

// finish forwards the end of the stream: a half-close after EOF, otherwise a reset.
func (m *pump) finish(err error) {
	if !isEOF(err) {
		m.conn.reset()
		return
	}
	if tcp, ok := m.to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// sleepUntil waits until t. It returns false if ctx ends first.
func (m *pump) sleepUntil(ctx context.Context, t time.Time) bool {
	wait := t.Sub(m.clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// resetConn closes c with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
