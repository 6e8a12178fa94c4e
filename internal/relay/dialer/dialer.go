// Package dialer opens TCP connections that notice a peer which has gone silent.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config configures a Dialer. Zero times take the defaults.
type Config struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
}

const (
	// DefaultConnectTimeout is many times the way to another data centre and back, and
	// leaves time to offer a request elsewhere within its goal.
	DefaultConnectTimeout = 150 * time.Millisecond
	// DefaultUserTimeout covers two retransmissions of a lost packet.
	DefaultUserTimeout = 1200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval time the probes of connections without traffic.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Dialer opens connections.
type Dialer struct{ net.Dialer }

// New returns a Dialer.
func New(cfg Config) *Dialer {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.UserTimeout == 0 {
		cfg.UserTimeout = DefaultUserTimeout
	}
	control := func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
	return &Dialer{net.Dialer{
		Timeout:         cfg.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         control,
	}}
}

// Dial opens a TCP connection.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.DialContext(ctx, network, addr)
}

// Reusable reports whether an idle connection is open and has no unread bytes: a
// peer that closed it or sent an answer nobody waits for makes it useless.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
