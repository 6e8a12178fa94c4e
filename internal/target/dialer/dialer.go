// Package dialer connects to targets and ensures that a request admitted for one
// incarnation of a target can't reach another one. Every connection begins with
// a handshake that verifies the incarnation, and an established connection can't
// move to another process.
package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Defaults of Config.
const (
	DefaultHandshakeTimeout  = time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultMaxIdle           = 32 // connections to one target
	DefaultInactivityTimeout = 10 * time.Second
)

// keepAlive detects connections whose remote host has disappeared.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: 2 * time.Second,
	Count:    3,
}

// Config configures a Dialer. Clock, Dial and ExpectedIncarnation are required.
type Config struct {
	Clock clockwork.Clock
	// Dial makes an unencrypted connection.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// ExpectedIncarnation returns the incarnation that the daemon expects, and false
	// if there is none.
	ExpectedIncarnation func(target identifier.Target) (identifier.Incarnation, bool)
	// OnReport, if set, is called with the report of each handshake, even if the
	// report doesn't match the endpoint, and of each confirmation.
	OnReport func(report messenger.LoadReport)
	// HandshakeTimeout limits the time for connecting and the handshake.
	HandshakeTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxIdle limits the unused connections to one target.
	MaxIdle int
	// InactivityTimeout is how long a running request may go without a byte in either direction.
	InactivityTimeout time.Duration
}

// withDefaults returns cfg with zero values replaced by defaults, or an Error of KindInvalid.
func (cfg Config) withDefaults() (Config, error) {
	if cfg.Clock == nil || cfg.Dial == nil || cfg.ExpectedIncarnation == nil {
		return cfg, newError("new dialer", KindInvalid, errors.New("clock, dial and expected incarnation are required"))
	}
	if cfg.OnReport == nil {
		cfg.OnReport = func(messenger.LoadReport) {}
	}
	if cfg.HandshakeTimeout == 0 {
		cfg.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	if cfg.InactivityTimeout == 0 {
		cfg.InactivityTimeout = DefaultInactivityTimeout
	}
	return cfg, nil
}

// Endpoint identifies an incarnation of a target and its address.
type Endpoint struct {
	Target      identifier.Target
	Address     netip.AddrPort
	Incarnation identifier.Incarnation
}

// Dialer keeps a connection pool for each target. It is safe for concurrent use.
type Dialer struct {
	cfg Config

	mu    sync.Mutex
	pools map[identifier.Target]*pool
}

// New returns a Dialer, or an Error of KindInvalid.
func New(cfg Config) (*Dialer, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Dialer{cfg: cfg, pools: make(map[identifier.Target]*pool)}, nil
}

// RoundTripper returns the transport to one incarnation of a target. Each of
// its requests is sent at most once. It returns an Error of KindIncarnation
// when the daemon expects another incarnation. Connections to another address or
// incarnation of the target are closed once they are idle.
func (d *Dialer) RoundTripper(endpoint Endpoint) (http.RoundTripper, error) {
	if err := d.checkExpected(endpoint); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[endpoint.Target]; p != nil {
		if p.endpoint == endpoint {
			return p, nil
		}
		p.retire()
	}
	p := newPool(d, endpoint)
	d.pools[endpoint.Target] = p
	return p, nil
}

// Close closes the idle connections to a target. Running requests can finish.
func (d *Dialer) Close(target identifier.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[target]; p != nil {
		p.retire()
		delete(d.pools, target)
	}
}

// CloseAll closes the idle connections to all targets.
func (d *Dialer) CloseAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for target, p := range d.pools {
		p.retire()
		delete(d.pools, target)
	}
}

// checkExpected returns an Error if the daemon doesn't expect the endpoint's incarnation.
func (d *Dialer) checkExpected(endpoint Endpoint) error {
	expected, known := d.cfg.ExpectedIncarnation(endpoint.Target)
	if known && expected == endpoint.Incarnation {
		return nil
	}
	err := errors.Newf("target %q is believed in incarnation %d (known: %t), want %d",
		endpoint.Target, expected, known, endpoint.Incarnation)
	return newError("use target", KindIncarnation, err)
}

// DialContext connects to an endpoint. If the target runs another incarnation, it
// returns an Error of KindIncarnation with the target's report. No byte of a
// request has been sent in this case.
func (d *Dialer) DialContext(ctx context.Context, endpoint Endpoint) (*Conn, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.cfg.Clock, d.cfg.HandshakeTimeout)
	defer cancel()
	conn, err := d.cfg.Dial(ctx, endpoint.Address)
	if err != nil {
		return nil, newError("dial target", KindUnreachable, err)
	}
	setKeepAlive(conn)
	report, err := handshake(ctx, conn, endpoint.Address)
	if err != nil {
		err = errors.CombineErrors(err, conn.Close())
		return nil, newError("dial target", KindHandshake, err)
	}
	d.cfg.OnReport(*report)
	if err := checkReport(endpoint, report); err != nil {
		err.Err = errors.CombineErrors(err.Err, conn.Close())
		return nil, err
	}
	return &Conn{
		Conn:         conn,
		incarnation:  report.Incarnation,
		clock:        d.cfg.Clock,
		writeTimeout: d.cfg.InactivityTimeout,
	}, nil
}

// checkReport returns an Error if the report is from another target or incarnation.
func checkReport(endpoint Endpoint, report *messenger.LoadReport) *Error {
	if report.Target != endpoint.Target {
		err := errors.Newf("target %q answers at the address of target %q", report.Target, endpoint.Target)
		return newError("dial target", KindHandshake, err)
	}
	if report.Incarnation == endpoint.Incarnation {
		return nil
	}
	err := errors.Newf("target %q runs incarnation %d, want %d",
		endpoint.Target, report.Incarnation, endpoint.Incarnation)
	failure := newError("dial target", KindIncarnation, err)
	failure.Report = report
	return failure
}

// setKeepAlive enables TCP keep-alive probes.
func setKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without probes, the request's activity timer still detects a dead connection.
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
}
