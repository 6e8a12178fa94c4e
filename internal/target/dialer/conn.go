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
	// writeTimeout limits the time of a single write.
	writeTimeout time.Duration
	// tracker belongs to the request that uses the connection.
	tracker atomic.Pointer[SentTracker]
}

// Incarnation returns the target's incarnation as found by the handshake.
func (c *Conn) Incarnation() identifier.Incarnation { return c.incarnation }

// Write writes p. It fails without writing if SentTracker.Finalise was called
// before the request's first byte, and closes the connection on a timeout.
func (c *Conn) Write(p []byte) (int, error) {
	if t := c.tracker.Load(); t != nil {
		if err := t.beforeWrite(); err != nil {
			return 0, err
		}
	}
	timer := c.clock.AfterFunc(c.writeTimeout, c.closeInactive)
	defer timer.Stop()
	return c.Conn.Write(p)
}

// closeInactive closes the connection after a write timed out.
func (c *Conn) closeInactive() {
	// The connection is discarded even if Close fails.
	_ = c.Close()
}
