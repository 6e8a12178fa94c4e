// Package exchanger carries messages between daemons over net/rpc: heartbeats with
// deltas, configurations, permits, time slots on links and explanations. Every call
// has a timeout, and connections that stop responding are replaced.
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
	DefaultInterval        = time.Second
	DefaultTimeout         = 500 * time.Millisecond
	DefaultSuspectAfter    = 3
	DefaultMaxConnections  = 256
	DefaultMaxMessage      = 4 << 20 // bytes
	DefaultMaxEntries      = 256
	DefaultMinLoadChange   = 1   // requests
	DefaultMinTokenChange  = 512 // tokens
	DefaultMaxUnchangedAge = 10 * time.Second
)

const (
	// intervalJitter is the fraction by which intervals vary.
	intervalJitter = 0.1
	// maxBackoffIntervals limits the back-off of heartbeats to a failing peer, in intervals.
	maxBackoffIntervals = 10
	// idleIntervals is how long an inbound connection may be idle. It must exceed
	// the longest back-off of the peer's heartbeats.
	idleIntervals = 3 * maxBackoffIntervals
	// messageOverhead bounds the size of a message in bytes, excluding PushConfig.Raw.
	messageOverhead = 4 << 10
	// maxUnlistedPeers limits the hosts that send heartbeats but are not among
	// Config.Peers.
	maxUnlistedPeers = 256
)

// Handler processes messages from peers. Its methods are called concurrently
// and must return quickly, since the caller is waiting.
type Handler interface {
	// OnHeartbeat handles the content of a heartbeat or of a reply to one. The
	// contents of one peer arrive in order of their sequence, except for entries
	// of TargetLoad, which the receiver orders by their own sequence.
	OnHeartbeat(content describer.Content)
	// OnPeerChange is called when a peer becomes live, suspect or gone.
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
	// HostOf returns the host named by the peer's certificate. If set, a connection
	// accepts messages from this host only. It requires ClientTLS and ServerTLS.
	HostOf func(tls.ConnectionState) identifier.Host
	// Peers returns the other daemons to exchange heartbeats with. It is called each interval.
	Peers   func() []Peer
	Handler Handler
	Logger  hclog.Logger
	// Seed seeds the jitter and the session.
	Seed uint64
	// Interval is the time between heartbeats to one peer.
	Interval time.Duration
	// Timeout bounds each call and each handshake.
	Timeout time.Duration
	// SuspectAfter is the number of intervals without contact after which a peer is suspect.
	SuspectAfter int
	// MaxConnections limits the number of inbound connections.
	MaxConnections int
	// MaxMessage limits the size of a message in bytes.
	MaxMessage uint64
	// MaxEntries limits the entries of each kind in one message.
	MaxEntries int
	// MinLoadChange and MinTokenChange are the smallest changes in requests and
	// in queued tokens that are sent.
	MinLoadChange  int32
	MinTokenChange int32
	// MaxUnchangedAge is how old the last sent report of a load may be before a
	// newer one is sent even if the load is unchanged.
	MaxUnchangedAge time.Duration
}

// withDefaults returns cfg with zero values replaced by defaults, or an Error of KindInvalid.
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
	if cfg.HostOf != nil && cfg.ServerTLS == nil {
		err := errors.New("HostOf requires client and server TLS")
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
	setDefault(&cfg.MinLoadChange, DefaultMinLoadChange)
	setDefault(&cfg.MinTokenChange, DefaultMinTokenChange)
	setDefault(&cfg.MaxUnchangedAge, DefaultMaxUnchangedAge)
	return cfg, nil
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
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

// Run exchanges heartbeats and serves peers until ctx ends or the listener
// fails. It closes the listener and all connections before it returns.
func (x *Exchanger) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return x.serve(ctx) })
	group.Go(func() error { return x.manage(ctx) })
	err := group.Wait()
	x.closeConns()
	return err
}

// Publish sets the state that is sent to peers. An urgent change triggers a
// heartbeat, others are sent with the next one. The caller must not modify
// state afterwards.
func (x *Exchanger) Publish(state State) {
	old := x.state.Swap(&state)
	if !state.urgent(*old) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.triggerHeartbeat()
	}
}

// Traffic returns the byte counts of each method, before encryption.
func (x *Exchanger) Traffic() []Traffic { return x.counters.list() }

// WireBytes returns the byte counts of all connections, after encryption.
func (x *Exchanger) WireBytes() (in, out uint64) {
	return x.counters.wire.in.Load(), x.counters.wire.out.Load()
}

// PushConfig sends a configuration to a peer. If it exceeds Config.MaxMessage,
// it is not sent and an Error of KindTooLarge is returned.
func (x *Exchanger) PushConfig(ctx context.Context, host identifier.Host, msg describer.PushConfig) (describer.PushConfigReply, error) {
	if uint64(len(msg.Raw))+messageOverhead > x.cfg.MaxMessage {
		err := errors.Newf("configuration %d has %d bytes, limit is %d", msg.Version, len(msg.Raw), x.cfg.MaxMessage)
		return describer.PushConfigReply{}, newError("push configuration", KindTooLarge, err)
	}
	return call[describer.PushConfigReply](ctx, x, host, describer.MethodPushConfig, &msg)
}

// FetchConfig requests a configuration of a higher version from a peer.
func (x *Exchanger) FetchConfig(ctx context.Context, host identifier.Host, msg describer.FetchConfig) (describer.FetchConfigReply, error) {
	return call[describer.FetchConfigReply](ctx, x, host, describer.MethodFetchConfig, &msg)
}

// Permit requests a slot from a target's owner. The slot may have been granted
// after any Error except KindUnreachable, KindUnknownPeer and KindRefused.
func (x *Exchanger) Permit(ctx context.Context, host identifier.Host, msg describer.Permit) (describer.PermitReply, error) {
	return call[describer.PermitReply](ctx, x, host, describer.MethodPermit, &msg)
}

// Release returns a slot to a target's owner.
func (x *Exchanger) Release(ctx context.Context, host identifier.Host, msg describer.ReleasePermit) (describer.ReleasePermitReply, error) {
	return call[describer.ReleasePermitReply](ctx, x, host, describer.MethodRelease, &msg)
}

// Explain requests a peer's recorded decisions about a request.
func (x *Exchanger) Explain(ctx context.Context, host identifier.Host, msg describer.Explain) (describer.ExplainReply, error) {
	return call[describer.ExplainReply](ctx, x, host, describer.MethodExplain, &msg)
}

// Link requests a time slot from the coordinator of a store's link.
func (x *Exchanger) Link(ctx context.Context, host identifier.Host, msg describer.Link) (describer.LinkReply, error) {
	return call[describer.LinkReply](ctx, x, host, describer.MethodLink, &msg)
}

// ReturnLink returns the unused part of a time slot on a store's link.
func (x *Exchanger) ReturnLink(ctx context.Context, host identifier.Host, msg describer.ReturnLink) (describer.ReturnLinkReply, error) {
	return call[describer.ReturnLinkReply](ctx, x, host, describer.MethodReturnLink, &msg)
}

// call runs a method of a peer with Config.Timeout.
func call[R any](ctx context.Context, x *Exchanger, host identifier.Host, method describer.Method, msg any) (R, error) {
	reply := new(R)
	var none R
	p := x.findPeer(host)
	if p == nil {
		err := errors.Newf("host %q is not a peer", host)
		return none, newError("call "+string(method), KindUnknownPeer, err)
	}
	if err := p.conn.call(ctx, method, x.cfg.Timeout, msg, reply); err != nil {
		return none, err
	}
	x.recordContact(p)
	return *reply, nil
}

// findPeer returns the peer named host, or nil if it is not among Config.Peers.
func (x *Exchanger) findPeer(host identifier.Host) *peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[host]
	if p == nil || p.stop == nil {
		return nil
	}
	return p
}

// recordContact marks a peer live and reports the change, if any, to the handler.
func (x *Exchanger) recordContact(p *peer) {
	now := x.cfg.Clock.Now()
	if p.markLive(now) {
		x.cfg.Handler.OnPeerChange(PeerChange{Host: p.host, Health: HealthLive, At: now})
	}
}

// closeConns closes the connections to all peers and prevents new ones.
func (x *Exchanger) closeConns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, p := range x.peers {
		p.conn.close()
	}
}
