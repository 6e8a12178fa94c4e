package assembler

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Network dials the daemons' connections and injects network partitions. It is
// safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// locations holds the data centre of each address; the platform's are absent.
	locations  map[netip.AddrPort]identifier.DataCentre
	partitions map[identifier.DataCentre]partition
	conns      map[*connection]struct{}
}

// partition isolates a data centre from the others and, if platform is set, from
// the platform.
type partition struct{ platform bool }

func newNetwork() *Network {
	return &Network{
		locations:  map[netip.AddrPort]identifier.DataCentre{},
		partitions: map[identifier.DataCentre]partition{},
		conns:      map[*connection]struct{}{},
	}
}

func (n *Network) setLocation(address netip.AddrPort, centre identifier.DataCentre) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = centre
}

// Isolate isolates a data centre from the others, and also from the platform if
// platform is true. Open connections fall silent, and dials block until their
// context ends.
func (n *Network) Isolate(centre identifier.DataCentre, platform bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[centre] = partition{platform: platform}
	for c := range n.conns {
		if n.isPartitioned(c.from, c.to) {
			c.silent.Store(true)
		}
	}
}

// Heal ends all partitions and closes the silent connections.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitions)
	for c := range n.conns {
		if c.silent.Load() {
			_ = c.Conn.Close()
		}
	}
}

// Silence permanently silences all open connections; new ones work.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.silent.Store(true)
	}
}

// isPartitioned reports whether a partition separates from and to; an empty data
// centre stands for the platform. n.mu must be held.
func (n *Network) isPartitioned(from, to identifier.DataCentre) bool {
	if from == to {
		return false
	}
	for _, centre := range []identifier.DataCentre{from, to} {
		if p, ok := n.partitions[centre]; ok && (to != "" || p.platform) {
			return true
		}
	}
	return false
}

// dialer returns the dial function for daemons in a data centre.
func (n *Network) dialer(from identifier.DataCentre) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		to := n.locations[address]
		partitioned := n.isPartitioned(from, to)
		n.mu.Unlock()
		if partitioned {
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
	c.silent.Store(n.isPartitioned(from, to))
	return c
}

// connection is a connection that can be silenced: all bytes in both directions are
// then discarded without an error.
type connection struct {
	net.Conn
	network  *Network
	from, to identifier.DataCentre
	silent   atomic.Bool
}

// Read implements net.Conn. It discards what it reads while c is silent.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. It discards p while c is silent.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close removes the connection from the network and closes it.
func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
