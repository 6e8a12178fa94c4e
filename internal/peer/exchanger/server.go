package exchanger

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// service implements the remote methods for one inbound connection.
type service struct {
	x *Exchanger
	// host is the host named by the peer's certificate; empty accepts any sender.
	host identifier.Host
}

// checkSender returns an error if from is not the host named by the peer's
// certificate.
func (s *service) checkSender(from identifier.Host) error {
	if s.host == "" || s.host == from {
		return nil
	}
	return errors.Newf("a message of host %q came over a connection of host %q", from, s.host)
}

// bindHost sets s.host from the peer's certificate. It returns false if the
// certificate names no host.
func (s *service) bindHost(state tls.ConnectionState) bool {
	if s.x.cfg.HostOf == nil {
		return true
	}
	s.host = s.x.cfg.HostOf(state)
	return s.host != ""
}

// Heartbeat processes a peer's content and replies with this daemon's content.
func (s *service) Heartbeat(msg *describer.Heartbeat, reply *describer.HeartbeatReply) error {
	x := s.x
	if err := s.checkSender(msg.From); err != nil {
		return err
	}
	p, err := x.admitPeer(msg.From)
	if err != nil {
		return err
	}
	content, fresh := p.handleHeartbeat(&msg.Content, x.state.Load(), x.cfg.Clock.Now(), &x.cfg, x.session)
	reply.Content = content
	x.recordContact(p)
	if fresh {
		x.cfg.Handler.OnHeartbeat(msg.Content)
	}
	return nil
}

// PushConfig receives a configuration.
func (s *service) PushConfig(msg *describer.PushConfig, reply *describer.PushConfigReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnPushConfig(*msg)
	return err
}

// FetchConfig returns this daemon's configuration if its version is higher.
func (s *service) FetchConfig(msg *describer.FetchConfig, reply *describer.FetchConfigReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnFetchConfig(*msg)
	return err
}

// Permit grants or refuses a slot of a cold target that this daemon owns.
func (s *service) Permit(msg *describer.Permit, reply *describer.PermitReply) (err error) {
	if err := s.checkSender(msg.From); err != nil {
		return err
	}
	*reply, err = s.x.cfg.Handler.OnPermit(*msg)
	return err
}

// Release frees a slot.
func (s *service) Release(msg *describer.ReleasePermit, reply *describer.ReleasePermitReply) (err error) {
	if err := s.checkSender(msg.From); err != nil {
		return err
	}
	*reply, err = s.x.cfg.Handler.OnRelease(*msg)
	return err
}

// Explain returns the recorded decisions about a request.
func (s *service) Explain(msg *describer.Explain, reply *describer.ExplainReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnExplain(*msg)
	return err
}

// Link grants or refuses a time slot on a store's link.
func (s *service) Link(msg *describer.Link, reply *describer.LinkReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnLink(*msg)
	return err
}

// ReturnLink frees the unused part of a time slot.
func (s *service) ReturnLink(msg *describer.ReturnLink, reply *describer.ReturnLinkReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnReturnLink(*msg)
	return err
}

// admitPeer returns the peer named host, and adds up to maxUnlistedPeers hosts
// that are not among Config.Peers.
func (x *Exchanger) admitPeer(host identifier.Host) (*peer, error) {
	if host == "" || host == x.cfg.Self {
		return nil, errors.Newf("heartbeat of host %q at host %q", host, x.cfg.Self)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[host]; p != nil {
		return p, nil
	}
	unlisted := 0
	for _, p := range x.peers {
		if p.stop == nil {
			unlisted++
		}
	}
	if unlisted >= maxUnlistedPeers {
		return nil, errors.Newf("host %q is not a peer, and %d others are not either", host, unlisted)
	}
	p := x.newPeer(host)
	x.peers[host] = p
	return p, nil
}

// serve accepts and serves connections until ctx ends or the listener fails.
func (x *Exchanger) serve(ctx context.Context) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		// Close makes Accept return; its own error doesn't matter.
		_ = x.cfg.Listener.Close()
	})
	defer stop()
	slots := make(chan struct{}, x.cfg.MaxConnections)
	for {
		conn, err := x.cfg.Listener.Accept()
		if ctx.Err() != nil {
			return x.refuse(conn)
		}
		if err != nil {
			return newError("accept", KindBroken, err)
		}
		select {
		case slots <- struct{}{}:
		default:
			x.cfg.Logger.Warn("too many inbound connections", "limit", x.cfg.MaxConnections)
			_ = x.refuse(conn)
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			x.serveConn(ctx, conn)
		})
	}
}

// refuse closes a connection that was accepted after shutdown or above the limit.
func (x *Exchanger) refuse(conn net.Conn) error {
	if conn != nil {
		// The connection is unusable even if Close fails.
		_ = conn.Close()
	}
	return nil
}

// serveConn serves one connection until it ends, is idle too long, or ctx ends.
func (x *Exchanger) serveConn(ctx context.Context, conn net.Conn) {
	methods := &service{x: x}
	raw := &countingConn{Conn: conn, count: &x.counters.wire}
	conn = raw
	closeConn := func() { _ = raw.Close() }
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	// The first request must arrive within two call timeouts.
	idle := x.cfg.Clock.AfterFunc(x.cfg.Timeout*2, closeConn)
	defer idle.Stop()
	if x.cfg.ServerTLS != nil {
		secured := tls.Server(conn, x.cfg.ServerTLS)
		if err := secured.HandshakeContext(ctx); err != nil {
			x.cfg.Logger.Debug("handshake failed", "from", raw.RemoteAddr(), "error", err)
			closeConn()
			return
		}
		if !methods.bindHost(secured.ConnectionState()) {
			x.cfg.Logger.Warn("certificate names no host", "from", raw.RemoteAddr())
			closeConn()
			return
		}
		conn = &tlsConn{Conn: secured, raw: raw}
	}
	server := rpc.NewServer()
	if err := server.RegisterName(describer.Service, methods); err != nil {
		x.cfg.Logger.Error("failed to register RPC methods", "error", err)
		closeConn()
		return
	}
	onMessage := func() { idle.Reset(idleIntervals * x.cfg.Interval) }
	server.ServeCodec(&serverCodec{newCodec(conn, x.cfg.MaxMessage, x.counters, onMessage)})
}
