package runner

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// quietTime is how long a closing listener waits for another connection, and maxCloseTime how
	// long it accepts any.
	quietTime    = 10 * time.Millisecond
	maxCloseTime = 250 * time.Millisecond
)

// gracefulListener accepts the connections that are established before it closes. The system
// resets those that nobody accepted.
type gracefulListener struct {
	*net.TCPListener
	// closeBy is when it closes at the latest, or nil while it stays open.
	closeBy atomic.Pointer[time.Time]
}

// closeGracefully makes Accept close the listener once no connection has come for quietTime.
func (l *gracefulListener) closeGracefully() error {
	closeBy := time.Now().Add(maxCloseTime)
	l.closeBy.Store(&closeBy)
	return l.SetDeadline(time.Now())
}

// Accept returns the next connection, or net.ErrClosed once the listener is closed.
func (l *gracefulListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	closeBy := l.closeBy.Load()
	if closeBy == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	if now := time.Now(); now.Before(*closeBy) {
		// Connections may have been waiting when the deadline passed.
		if err := l.SetDeadline(now.Add(quietTime)); err != nil {
			return nil, err
		}
		if conn, err := l.TCPListener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, errors.CombineErrors(err, l.SetDeadline(now))
		}
	}
	return nil, errors.CombineErrors(net.ErrClosed, l.Close())
}
