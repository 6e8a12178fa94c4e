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
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Unacknowledged is how long sent bytes may stay unacknowledged.
	Unacknowledged time.Duration
}

const (
	// DefaultConnect is many times the way to another data centre and back, and
	// leaves time to offer a request elsewhere within its goal.
	DefaultConnect = 150 * time.Millisecond
	// DefaultUnacknowledged covers two retransmissions of a lost packet.
	DefaultUnacknowledged = 1200 * time.Millisecond
	// probeIdle and probeEvery time the probes of connections without traffic.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
)

// Dialer opens connections.
type Dialer struct{ net.Dialer }

// New returns a Dialer.
func New(cfg Config) *Dialer {
	if cfg.Connect == 0 {
		cfg.Connect = DefaultConnect
	}
	if cfg.Unacknowledged == 0 {
		cfg.Unacknowledged = DefaultUnacknowledged
	}
	control := func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.Unacknowledged.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
	return &Dialer{net.Dialer{
		Timeout:         cfg.Connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         control,
	}}
}

// Dial opens a TCP connection.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.DialContext(ctx, network, addr)
}

// Quiet reports whether an idle connection is open and has no unread bytes: a
// peer that closed it or sent an answer nobody waits for makes it useless.
func Quiet(c net.Conn) bool {
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
