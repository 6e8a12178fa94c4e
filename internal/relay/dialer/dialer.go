// Package dialer opens TCP connections that fail soon after their peer stops responding.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config configures a Dialer. Zero durations select the defaults.
type Config struct {
	// ConnectTimeout bounds the time to establish a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent data may remain unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

const (
	// DefaultConnectTimeout is many times the round trip to another data centre. It
	// leaves time to try another target within a request's latency goal.
	DefaultConnectTimeout = 150 * time.Millisecond
	// DefaultUserTimeout covers two retransmissions of a lost packet.
	DefaultUserTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive settings
	// for connections without traffic.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Dialer is a net.Dialer with short timeouts.
type Dialer struct{ net.Dialer }

// New returns a Dialer with the timeouts of cfg.
func New(cfg Config) *Dialer {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.UserTimeout == 0 {
		cfg.UserTimeout = DefaultUserTimeout
	}
	control := func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
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

// Reusable reports whether an idle connection is still open and has no unread bytes.
// Unread bytes belong to a response that no request is waiting for.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
