// Package proxier forwards TCP connections to one address and injects network
// faults.
package proxier

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/standin/server"
)

const dialTimeout = 5 * time.Second

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports settings or faults out of range.
	KindInvalid Kind = "invalid"
	// KindListener reports a listener that stopped accepting connections.
	KindListener Kind = "listener"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Proxier.
type Config struct {
	// Target is the address to which connections are forwarded.
	Target netip.AddrPort
	Clock  clockwork.Clock
}

// Direction describes how bytes flow in one direction.
type Direction struct {
	// Delay is added to the latency of each byte.
	Delay server.Duration `json:"delay,omitempty"`
	// BytesPerSecond limits the rate of each connection; 0 means no limit.
	BytesPerSecond int64 `json:"bytes-per-second,omitempty"`
	// Silent discards all bytes and ends of streams while the connections stay
	// open; if only one direction is silent, they are half-open. A direction of a
	// connection that has discarded something stays silent after Heal.
	Silent bool `json:"silent,omitempty"`
}

// Faults changes the faults of a Proxier; absent fields change nothing.
type Faults struct {
	// Up and Down describe the bytes to and from the target.
	Up   *Direction `json:"up,omitempty"`
	Down *Direction `json:"down,omitempty"`
	// SilenceUp and SilenceDown permanently silence the connections that are open
	// now; new ones work.
	SilenceUp   bool `json:"silence-up,omitempty"`
	SilenceDown bool `json:"silence-down,omitempty"`
	// Cut closes the connections that are open now.
	Cut bool `json:"cut,omitempty"`
	// Reset resets the connections that are open now.
	Reset bool `json:"reset,omitempty"`
	// Refuse resets each new connection while it is true.
	Refuse *bool `json:"refuse,omitempty"`
}

// Stats holds the counters of a Proxier.
type Stats struct {
	// Open is the number of connections that are open now.
	Open      int   `json:"open"`
	Accepted  int   `json:"accepted"`
	Refused   int   `json:"refused"`
	BytesUp   int64 `json:"bytes-up"`
	BytesDown int64 `json:"bytes-down"`
	// Discarded counts the bytes that were discarded in silent directions.
	Discarded int64 `json:"swallowed"`
}

// Proxier is a proxy for one address. It is safe for concurrent use.
type Proxier struct {
	cfg     Config
	control *mux.Router

	mu     sync.Mutex
	up     Direction
	down   Direction
	refuse bool
	conns  map[*connection]struct{}
	stats  Stats
}

// New returns a Proxier that forwards without faults, or an Error of KindInvalid.
func New(cfg Config) (*Proxier, error) {
	if cfg.Clock == nil {
		return nil, invalid("check settings", "the clock is missing")
	}
	if !cfg.Target.IsValid() || cfg.Target.Port() == 0 {
		return nil, invalid("check settings", "target %v is not an address with a port", cfg.Target)
	}
	p := &Proxier{cfg: cfg, conns: make(map[*connection]struct{})}
	p.control = mux.NewRouter()
	p.control.Handle(server.PathFaults, server.FaultHandler(p.Apply)).Methods("POST")
	p.control.Handle(server.PathStats, server.StatsHandler(p.Stats)).Methods("GET")
	return p, nil
}

// Control returns the server for faults and statistics, which needs its own listener.
func (p *Proxier) Control() (*server.Server, error) {
	return server.New(server.Config{Handler: p.control})
}

// Serve forwards the connections of ln until ctx ends. Then it closes all
// connections, waits for its goroutines and returns nil. It returns an Error of
// KindListener if ln fails before that.
func (p *Proxier) Serve(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		client, err := ln.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			cancel()
			return &Error{failer.Detail[Kind]{Op: "accept", Kind: KindListener, Err: err}}
		}
		group.Go(func() { p.forward(ctx, client) })
	}
}

// Apply applies f; it returns an Error of KindInvalid for a value out of range.
func (p *Proxier) Apply(f Faults) error {
	for _, d := range []*Direction{f.Up, f.Down} {
		if d != nil && (d.Delay.Duration < 0 || d.BytesPerSecond < 0) {
			return invalid("apply faults", "delay is %v and bytes-per-second %d, want neither below 0", d.Delay, d.BytesPerSecond)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Up != nil {
		p.up = *f.Up
	}
	if f.Down != nil {
		p.down = *f.Down
	}
	if f.Refuse != nil {
		p.refuse = *f.Refuse
	}
	for c := range p.conns {
		c.silentUp = c.silentUp || f.SilenceUp
		c.silentDown = c.silentDown || f.SilenceDown
		switch {
		case f.Reset:
			c.reset()
		case f.Cut:
			c.close()
		}
	}
	return nil
}

// Heal removes all faults except the silence of permanently silenced connections.
func (p *Proxier) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = Direction{}
	p.down = Direction{}
	p.refuse = false
}

// Stats returns a copy of the current counters.
func (p *Proxier) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Open = len(p.conns)
	return stats
}

// forward connects client to the target and returns when both are closed.
func (p *Proxier) forward(ctx context.Context, client net.Conn) {
	if p.refuseNext() {
		resetConn(client)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.cfg.Target.String())
	if err != nil {
		resetConn(client)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &connection{client: client, target: target, cancel: cancel}
	p.add(c)
	defer p.remove(c)
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	defer c.close()
	var group sync.WaitGroup
	group.Go(func() { p.newPump(c, true).run(ctx) })
	group.Go(func() { p.newPump(c, false).run(ctx) })
	group.Wait()
}

// refuseNext reports whether the next connection is refused, and counts it if so.
func (p *Proxier) refuseNext() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse {
		p.stats.Refused++
	}
	return p.refuse
}

func (p *Proxier) add(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Accepted++
	p.conns[c] = struct{}{}
}

func (p *Proxier) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// direction returns the faults in force for one direction of c.
func (p *Proxier) direction(c *connection, up bool) Direction {
	p.mu.Lock()
	defer p.mu.Unlock()
	if up {
		d := p.up
		d.Silent = d.Silent || c.silentUp
		return d
	}
	d := p.down
	d.Silent = d.Silent || c.silentDown
	return d
}

// discard counts n discarded bytes. The direction stays silent permanently, since
// a TCP stream cannot continue after lost bytes.
func (p *Proxier) discard(c *connection, up bool, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Discarded += int64(n)
	if up {
		c.silentUp = true
	} else {
		c.silentDown = true
	}
}

// count counts n forwarded bytes.
func (p *Proxier) count(up bool, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case up:
		p.stats.BytesUp += int64(n)
	default:
		p.stats.BytesDown += int64(n)
	}
}

func invalid(op, format string, args ...any) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: errors.Newf(format, args...)}}
}
