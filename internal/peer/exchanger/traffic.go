package exchanger

import (
	"net"
	"strings"
	"sync/atomic"

	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// Traffic holds the byte counts of one method since the start, before encryption.
type Traffic struct {
	Method describer.Method
	In     uint64
	Out    uint64
}

type byteCount struct{ in, out atomic.Uint64 }

// counters holds a byte count for each method and one for all connections.
type counters struct {
	methods map[describer.Method]*byteCount
	wire    byteCount
}

func newCounters() *counters {
	c := &counters{methods: make(map[describer.Method]*byteCount)}
	for _, method := range describer.Methods() {
		c.methods[method] = new(byteCount)
	}
	return c
}

// received adds n inbound bytes to the method that net/rpc calls serviceMethod.
func (c *counters) received(serviceMethod string, n uint64) {
	if count := c.find(serviceMethod); count != nil {
		count.in.Add(n)
	}
}

// sent adds n outbound bytes to the method that net/rpc calls serviceMethod.
func (c *counters) sent(serviceMethod string, n uint64) {
	if count := c.find(serviceMethod); count != nil {
		count.out.Add(n)
	}
}

func (c *counters) find(serviceMethod string) *byteCount {
	name := strings.TrimPrefix(serviceMethod, describer.Service+".")
	return c.methods[describer.Method(name)]
}

func (c *counters) list() []Traffic {
	list := make([]Traffic, 0, len(c.methods))
	for _, method := range describer.Methods() {
		count := c.methods[method]
		list = append(list, Traffic{Method: method, In: count.in.Load(), Out: count.out.Load()})
	}
	return list
}

// countingConn counts the bytes on the wire, including TLS overhead.
type countingConn struct {
	net.Conn
	count *byteCount
}

// Read reads into p and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.in.Add(uint64(n))
	return n, err
}

// Write writes p and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.out.Add(uint64(n))
	return n, err
}
