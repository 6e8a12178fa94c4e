package main

import (
	"net"
	"sync"
)

// gateState is what a gate does with connections.
type gateState int

const (
	gateOpen gateState = iota
	// gateSilent answers nothing and does nothing.
	gateSilent
	// gateAway resets the connections.
	gateAway
)

// gate makes a server unavailable.
type gate struct {
	mu    sync.Mutex
	state gateState
	conns map[*gatedConn]struct{}
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
}

func newGate() *gate {
	return &gate{conns: map[*gatedConn]struct{}{}, changed: make(chan struct{})}
}

func (g *gate) set(state gateState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ends := g.state == gateSilent || state == gateAway
	g.state = state
	close(g.changed)
	g.changed = make(chan struct{})
	if !ends {
		return
	}
	for c := range g.conns {
		c.reset()
	}
}

func (g *gate) open()   { g.set(gateOpen) }
func (g *gate) silent() { g.set(gateSilent) }
func (g *gate) away()   { g.set(gateAway) }

// now returns the state and a channel that is closed at its next change.
func (g *gate) now() (gateState, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state, g.changed
}

// isOpen reports whether the server is available.
func (g *gate) isOpen() bool {
	state, _ := g.now()
	return state == gateOpen
}

type gatedListener struct {
	net.Listener
	gate *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &gatedConn{Conn: raw, gate: l.gate}
		l.gate.mu.Lock()
		away := l.gate.state == gateAway
		if !away {
			l.gate.conns[c] = struct{}{}
		}
		l.gate.mu.Unlock()
		if away {
			c.reset()
			continue
		}
		return c, nil
	}
}

// gatedConn is a connection to a gated server. What arrives while the gate is silent is never handled.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only if the connection is closed.
	}
	_ = c.Conn.Close() // It may be closed already.
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.waitUntilOpen() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.waitUntilOpen() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// waitUntilOpen waits while the gate is silent, and reports whether it had to.
func (c *gatedConn) waitUntilOpen() bool {
	waited := false
	for {
		state, changed := c.gate.now()
		if state != gateSilent {
			return waited
		}
		waited = true
		<-changed
	}
}

func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
