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

// service holds the methods that peers call.
type service struct{ x *Exchanger }

// Heartbeat takes a peer's content and replies with the own one.
func (s *service) Heartbeat(msg *describer.Heartbeat, reply *describer.HeartbeatReply) error {
	x := s.x
	p, err := x.admit(msg.From)
	if err != nil {
		return err
	}
	content, fresh := p.answer(&msg.Content, x.state.Load(), x.cfg.Clock.Now(), &x.cfg, x.session)
	reply.Content = content
	x.heard(p)
	if fresh {
		x.cfg.Handler.OnHeartbeat(msg.Content)
	}
	return nil
}

// PushConfig takes a configuration.
func (s *service) PushConfig(msg *describer.PushConfig, reply *describer.PushConfigReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnPushConfig(*msg)
	return err
}

// FetchConfig hands out the configuration.
func (s *service) FetchConfig(msg *describer.FetchConfig, reply *describer.FetchConfigReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnFetchConfig(*msg)
	return err
}

// Permit grants or refuses a slot of a cold target.
func (s *service) Permit(msg *describer.Permit, reply *describer.PermitReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnPermit(*msg)
	return err
}

// Release takes a slot back.
func (s *service) Release(msg *describer.ReleasePermit, reply *describer.ReleasePermitReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnRelease(*msg)
	return err
}

// Explain returns the decisions about a request.
func (s *service) Explain(msg *describer.Explain, reply *describer.ExplainReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnExplain(*msg)
	return err
}

// Link hands out a time on a store's link.
func (s *service) Link(msg *describer.Link, reply *describer.LinkReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnLink(*msg)
	return err
}

// ReturnLink takes back what a transfer did not use.
func (s *service) ReturnLink(msg *describer.ReturnLink, reply *describer.ReturnLinkReply) (err error) {
	*reply, err = s.x.cfg.Handler.OnReturnLink(*msg)
	return err
}

// admit returns the peer named host. Hosts that are not yet among the peers
// are admitted up to maxStrangers.
func (x *Exchanger) admit(host identifier.Host) (*peer, error) {
	if host == "" || host == x.cfg.Self {
		return nil, errors.Newf("heartbeat of host %q at host %q", host, x.cfg.Self)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[host]; p != nil {
		return p, nil
	}
	strangers := 0
	for _, p := range x.peers {
		if p.stop == nil {
			strangers++
		}
	}
	if strangers >= maxStrangers {
		return nil, errors.Newf("host %q is not a peer, and %d others are not either", host, strangers)
	}
	p := x.newPeer(host)
	x.peers[host] = p
	return p, nil
}

// serve answers inbound connections until ctx ends or the listener fails.
func (x *Exchanger) serve(ctx context.Context) error {
	server := rpc.NewServer()
	if err := server.RegisterName(describer.Service, &service{x}); err != nil {
		return newError("register methods", KindInvalid, err)
	}
	var conns sync.WaitGroup
	defer conns.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		// Close ends Accept; its own failure changes nothing.
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
			x.serveConn(ctx, server, conn)
		})
	}
}

// refuse closes a connection that was accepted too late or above the limit.
func (x *Exchanger) refuse(conn net.Conn) error {
	if conn != nil {
		// The peer learns of the end either way.
		_ = conn.Close()
	}
	return nil
}

// serveConn answers one connection until it ends, is idle or ctx ends.
func (x *Exchanger) serveConn(ctx context.Context, server *rpc.Server, conn net.Conn) {
	raw := &countingConn{Conn: conn, count: &x.counters.wire}
	conn = raw
	shut := func() { _ = raw.Close() }
	stop := context.AfterFunc(ctx, shut)
	defer stop()
	// A connection that was just made has a call's time for its first request.
	idle := x.cfg.Clock.AfterFunc(x.cfg.Timeout*2, shut)
	defer idle.Stop()
	if x.cfg.ServerTLS != nil {
		secured := tls.Server(conn, x.cfg.ServerTLS)
		if err := secured.HandshakeContext(ctx); err != nil {
			x.cfg.Logger.Debug("handshake failed", "from", raw.RemoteAddr(), "error", err)
			shut()
			return
		}
		conn = &securedConn{Conn: secured, raw: raw}
	}
	onMessage := func() { idle.Reset(idleIntervals * x.cfg.Interval) }
	server.ServeCodec(&serverCodec{newCodec(conn, x.cfg.MaxMessage, x.counters, onMessage)})
}
