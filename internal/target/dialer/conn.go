package dialer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Conn is a connection to one incarnation of a target.
type Conn struct {
	net.Conn
	incarnation identifier.Incarnation
	clock       clockwork.Clock
	// silence bounds the time of one write.
	silence time.Duration
	// tracker belongs to the request that uses the connection.
	tracker atomic.Pointer[SentTracker]
}

// Incarnation returns the incarnation that the handshake found.
func (c *Conn) Incarnation() identifier.Incarnation { return c.incarnation }

// Write writes p. It fails without writing when the request has been settled,
// and closes the connection when the bytes don't leave in time.
func (c *Conn) Write(p []byte) (int, error) {
	if t := c.tracker.Load(); t != nil {
		if err := t.beforeWrite(); err != nil {
			return 0, err
		}
	}
	timer := c.clock.AfterFunc(c.silence, c.expire)
	defer timer.Stop()
	return c.Conn.Write(p)
}

// expire closes the connection for its silence.
func (c *Conn) expire() {
	// The connection is given up whatever Close says.
	_ = c.Close()
}
