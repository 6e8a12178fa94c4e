// Package exchanger carries hints between daemons over net/rpc: heartbeats
// with deltas, configurations, permits and explanations. Every call has a
// deadline, and a connection that went silent is replaced.
package exchanger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/core/jitterer"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// Defaults of Config.
const (
	DefaultInterval       = time.Second
	DefaultTimeout        = 500 * time.Millisecond
	DefaultSuspectAfter   = 3
	DefaultMaxConnections = 256
	DefaultMaxMessage     = 4 << 20 // bytes
	DefaultMaxEntries     = 256
	DefaultLoadChange     = 1   // requests
	DefaultTokenChange    = 512 // tokens
	DefaultRefresh        = 10 * time.Second
)

const (
	// intervalJitter is the share by which intervals vary.
	intervalJitter = 0.1
	// maxBackoffIntervals bounds the wait between heartbeats to a failing peer.
	maxBackoffIntervals = 10
	// idleIntervals is how long an inbound connection may be without a
	// request; it exceeds the longest back-off.
	idleIntervals = 3 * maxBackoffIntervals
	// messageOverhead bounds what a message takes besides its raw bytes.
	messageOverhead = 4 << 10
	// maxStrangers bounds the peers that call without being among Config.Peers.
	maxStrangers = 256
)

// Handler receives what peers send. Its methods are called from many
// goroutines and must return soon, since the caller waits.
type Handler interface {
	// OnHeartbeat takes the content of a heartbeat or of a reply to one. The
	// contents of one peer arrive in order of their sequence but for entries
	// of TargetLoad, which the receiver orders by their own sequence.
	OnHeartbeat(content describer.Content)
	// OnPeerChange learns that a peer is live, suspect or gone.
	OnPeerChange(change PeerChange)
	OnPushConfig(msg describer.PushConfig) (describer.PushConfigReply, error)
	OnFetchConfig(msg describer.FetchConfig) (describer.FetchConfigReply, error)
	OnPermit(msg describer.Permit) (describer.PermitReply, error)
	OnRelease(msg describer.ReleasePermit) (describer.ReleasePermitReply, error)
	OnExplain(msg describer.Explain) (describer.ExplainReply, error)
	OnLink(msg describer.Link) (describer.LinkReply, error)
	OnReturnLink(msg describer.ReturnLink) (describer.ReturnLinkReply, error)
}

// Config configures an Exchanger. Self, Clock, Listener, Dial, Peers and
// Handler are required.
type Config struct {
	Self       identifier.Host
	DataCentre identifier.DataCentre
	Clock      clockwork.Clock
	Listener   net.Listener
	Dial       func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// ClientTLS and ServerTLS encrypt the connections when they are set.
	ClientTLS *tls.Config
	ServerTLS *tls.Config
	// Peers returns the other daemons to exchange heartbeats with. It is asked each interval.
	Peers   func() []Peer
	Handler Handler
	Logger  hclog.Logger
	// Seed seeds the jitter and the session.
	Seed uint64
	// Interval is the time between heartbeats to one peer.
	Interval time.Duration
	// Timeout bounds each call and each handshake.
	Timeout time.Duration
	// SuspectAfter is the number of intervals after which an unheard peer is suspect.
	SuspectAfter int
	// MaxConnections bounds the inbound connections.
	MaxConnections int
	// MaxMessage bounds one message in bytes.
	MaxMessage uint64
	// MaxEntries bounds the entries of one sort in one message.
	MaxEntries int
	// LoadChange and TokenChange are the least changes in requests and in
	// queued tokens that are sent.
	LoadChange  int32
	TokenChange int32
	// Refresh is the age after which an unchanged load is sent again.
	Refresh time.Duration
}

// withDefaults returns cfg with defaults in place of zeros, or an Error of KindInvalid.
func (cfg Config) withDefaults() (Config, error) {
	required := cfg.Self != "" && cfg.Clock != nil && cfg.Listener != nil &&
		cfg.Dial != nil && cfg.Peers != nil && cfg.Handler != nil
	if !required {
		err := errors.New("self, clock, listener, dial, peers and handler are required")
		return cfg, newError("new exchanger", KindInvalid, err)
	}
	if (cfg.ClientTLS == nil) != (cfg.ServerTLS == nil) {
		err := errors.New("client and server TLS must be set together")
		return cfg, newError("new exchanger", KindInvalid, err)
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	setDefault(&cfg.Interval, DefaultInterval)
	setDefault(&cfg.Timeout, DefaultTimeout)
	setDefault(&cfg.SuspectAfter, DefaultSuspectAfter)
	setDefault(&cfg.MaxConnections, DefaultMaxConnections)
	setDefault(&cfg.MaxMessage, DefaultMaxMessage)
	setDefault(&cfg.MaxEntries, DefaultMaxEntries)
	setDefault(&cfg.LoadChange, DefaultLoadChange)
	setDefault(&cfg.TokenChange, DefaultTokenChange)
	setDefault(&cfg.Refresh, DefaultRefresh)
	return cfg, nil
}

func setDefault[T comparable](value *T, preset T) {
	var zero T
	if *value == zero {
		*value = preset
	}
}

// Exchanger exchanges messages with the daemons of Config.Peers.
type Exchanger struct {
	cfg      Config
	jitter   *jitterer.Jitterer
	session  uint64
	counters *counters
	state    atomic.Pointer[State]

	mu     sync.Mutex
	peers  map[identifier.Host]*peer
	closed bool
}

// New returns an Exchanger, or an Error of KindInvalid.
func New(cfg Config) (*Exchanger, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	jitter := jitterer.New(cfg.Seed)
	x := &Exchanger{
		cfg:      cfg,
		jitter:   jitter,
		session:  jitter.Uint64() | 1,
		counters: newCounters(),
		peers:    make(map[identifier.Host]*peer),
	}
	x.state.Store(new(State))
	return x, nil
}

// Run exchanges heartbeats and answers peers until ctx ends or the listener
// fails. It closes the listener and all connections.
func (x *Exchanger) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return x.serve(ctx) })
	group.Go(func() error { return x.manage(ctx) })
	err := group.Wait()
	x.closeLinks()
	return err
}

// Publish sets what peers are told. A change that they must know at once is
// sent at once, others with the next heartbeat. The caller leaves state alone afterwards.
func (x *Exchanger) Publish(state State) {
	old := x.state.Swap(&state)
	if !state.urgent(*old) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.nudge()
	}
}

// Traffic returns the bytes of each method, without encryption.
func (x *Exchanger) Traffic() []Traffic { return x.counters.list() }

// WireBytes returns the bytes of all connections, with encryption.
func (x *Exchanger) WireBytes() (in, out uint64) {
	return x.counters.wire.in.Load(), x.counters.wire.out.Load()
}

// PushConfig hands a configuration to a peer. A configuration above
// Config.MaxMessage is an Error of KindTooLarge and is not sent.
func (x *Exchanger) PushConfig(ctx context.Context, host identifier.Host, msg describer.PushConfig) (describer.PushConfigReply, error) {
	if uint64(len(msg.Raw))+messageOverhead > x.cfg.MaxMessage {
		err := errors.Newf("configuration %d has %d bytes, limit is %d", msg.Version, len(msg.Raw), x.cfg.MaxMessage)
		return describer.PushConfigReply{}, newError("push configuration", KindTooLarge, err)
	}
	return call[describer.PushConfigReply](ctx, x, host, describer.MethodPushConfig, &msg)
}

// FetchConfig asks a peer for a higher configuration.
func (x *Exchanger) FetchConfig(ctx context.Context, host identifier.Host, msg describer.FetchConfig) (describer.FetchConfigReply, error) {
	return call[describer.FetchConfigReply](ctx, x, host, describer.MethodFetchConfig, &msg)
}

// Permit asks a target's owner for a slot. After any Error but KindUnreachable,
// KindUnknownPeer or KindRefused the slot may have been granted.
func (x *Exchanger) Permit(ctx context.Context, host identifier.Host, msg describer.Permit) (describer.PermitReply, error) {
	return call[describer.PermitReply](ctx, x, host, describer.MethodPermit, &msg)
}

// Release gives a slot back to a target's owner.
func (x *Exchanger) Release(ctx context.Context, host identifier.Host, msg describer.ReleasePermit) (describer.ReleasePermitReply, error) {
	return call[describer.ReleasePermitReply](ctx, x, host, describer.MethodRelease, &msg)
}

// Explain asks a peer for the decisions about a request.
func (x *Exchanger) Explain(ctx context.Context, host identifier.Host, msg describer.Explain) (describer.ExplainReply, error) {
	return call[describer.ExplainReply](ctx, x, host, describer.MethodExplain, &msg)
}

// Link asks a store's link keeper for a time on the link.
func (x *Exchanger) Link(ctx context.Context, host identifier.Host, msg describer.Link) (describer.LinkReply, error) {
	return call[describer.LinkReply](ctx, x, host, describer.MethodLink, &msg)
}

// ReturnLink tells a link keeper what a transfer did not use.
func (x *Exchanger) ReturnLink(ctx context.Context, host identifier.Host, msg describer.ReturnLink) (describer.ReturnLinkReply, error) {
	return call[describer.ReturnLinkReply](ctx, x, host, describer.MethodReturnLink, &msg)
}

// call runs a method of a peer within Config.Timeout.
func call[R any](ctx context.Context, x *Exchanger, host identifier.Host, method describer.Method, msg any) (R, error) {
	reply := new(R)
	var none R
	p := x.find(host)
	if p == nil {
		err := errors.Newf("host %q is not a peer", host)
		return none, newError("call "+string(method), KindUnknownPeer, err)
	}
	if err := p.link.call(ctx, method, x.cfg.Timeout, msg, reply); err != nil {
		return none, err
	}
	x.heard(p)
	return *reply, nil
}

// find returns the peer with the name host, or nil.
func (x *Exchanger) find(host identifier.Host) *peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[host]
	if p == nil || p.stop == nil {
		return nil
	}
	return p
}

// heard records a peer's sign of life.
func (x *Exchanger) heard(p *peer) {
	now := x.cfg.Clock.Now()
	if p.hear(now) {
		x.cfg.Handler.OnPeerChange(PeerChange{Host: p.host, Health: HealthLive, At: now})
	}
}

// closeLinks closes the connections to all peers and permits no further ones.
func (x *Exchanger) closeLinks() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, p := range x.peers {
		p.link.close()
	}
}
