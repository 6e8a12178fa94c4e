package assembler

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Network makes the daemons' connections and fails on demand. It is safe for
// concurrent use.
type Network struct {
	mu sync.Mutex
	// centres holds where each address is; addresses of the platform are in none.
	centres map[netip.AddrPort]identifier.DataCentre
	split   map[identifier.DataCentre]partition
	conns   map[*connection]struct{}
}

// partition says what a data centre is cut off from besides the others.
type partition struct{ platform bool }

func newNetwork() *Network {
	return &Network{
		centres: map[netip.AddrPort]identifier.DataCentre{},
		split:   map[identifier.DataCentre]partition{},
		conns:   map[*connection]struct{}{},
	}
}

func (n *Network) place(address netip.AddrPort, centre identifier.DataCentre) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.centres[address] = centre
}

// Split cuts a data centre off from the others, and from the platform too if
// asked for. Connections go silent and new ones get no answer.
func (n *Network) Split(centre identifier.DataCentre, platform bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.split[centre] = partition{platform: platform}
	for c := range n.conns {
		if n.isSplit(c.from, c.to) {
			c.silent.Store(true)
		}
	}
}

// Heal joins all data centres again. Connections that were silent are reset.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.split)
	for c := range n.conns {
		if c.silent.Load() {
			_ = c.Conn.Close()
		}
	}
}

// Silence makes all open connections silent for good; new ones work.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.silent.Store(true)
	}
}

// isSplit reports whether a partition lies between two places; an empty place
// is the platform's. It runs under mu.
func (n *Network) isSplit(from, to identifier.DataCentre) bool {
	if from == to {
		return false
	}
	for _, centre := range []identifier.DataCentre{from, to} {
		if p, ok := n.split[centre]; ok && (to != "" || p.platform) {
			return true
		}
	}
	return false
}

// dialer returns the function by which a daemon of a data centre connects.
func (n *Network) dialer(from identifier.DataCentre) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		to := n.centres[address]
		split := n.isSplit(from, to)
		n.mu.Unlock()
		if split {
			<-ctx.Done()
			return nil, newError("dial "+address.String(), KindStart, ctx.Err())
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return nil, err
		}
		return n.add(conn, from, to), nil
	}
}

func (n *Network) add(conn net.Conn, from, to identifier.DataCentre) *connection {
	c := &connection{Conn: conn, network: n, from: from, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	c.silent.Store(n.isSplit(from, to))
	return c
}

// connection is a connection that can go silent: what is written is lost, and
// nothing arrives.
type connection struct {
	net.Conn
	network  *Network
	from, to identifier.DataCentre
	silent   atomic.Bool
}

// Read reads; a silent connection drops what it reads.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes; a silent connection drops p.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
