// Package piper provides a listener in memory for tests, so that connections take no real time.
package piper

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Listener accepts the far ends of unbuffered pipes. It is safe for concurrent use.
type Listener struct {
	addr  netip.AddrPort
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// New returns a Listener that states the given address as its own.
func New(addr netip.AddrPort) *Listener {
	return &Listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial returns the near end of a new pipe once its far end has been accepted. It returns net.ErrClosed after Close.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
