package exchanger

import (
	"context"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// manage runs a heartbeat loop for each of Config.Peers until ctx ends.
func (x *Exchanger) manage(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	ticker := x.cfg.Clock.NewTicker(x.cfg.Interval)
	defer ticker.Stop()
	for {
		x.updatePeers(ctx, &loops)
		x.reportSuspects()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// updatePeers starts and stops heartbeat loops to match Config.Peers.
func (x *Exchanger) updatePeers(ctx context.Context, loops *sync.WaitGroup) {
	wanted := make(map[identifier.Host]Peer)
	for _, p := range x.cfg.Peers() {
		if p.Host != x.cfg.Self {
			wanted[p.Host] = p
		}
	}
	for _, p := range wanted {
		x.startPeer(ctx, p, loops)
	}
	for _, host := range x.stopRemoved(wanted) {
		x.cfg.Handler.OnPeerChange(PeerChange{
			Host:   host,
			Health: HealthGone,
			At:     x.cfg.Clock.Now(),
		})
	}
}

// startPeer starts the heartbeat loop of a peer unless it is already running.
func (x *Exchanger) startPeer(ctx context.Context, wanted Peer, loops *sync.WaitGroup) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[wanted.Host]
	if p == nil {
		p = x.newPeer(wanted.Host)
		x.peers[wanted.Host] = p
	}
	p.conn.setAddr(wanted.Address)
	if p.stop != nil {
		return
	}
	ctx, p.stop = context.WithCancel(ctx)
	loops.Go(func() { x.heartbeatLoop(ctx, p) })
}

// stopRemoved stops the peers that are not in wanted, and deletes unlisted peers
// without recent contact. It returns the stopped peers.
func (x *Exchanger) stopRemoved(wanted map[identifier.Host]Peer) []identifier.Host {
	var gone []identifier.Host
	x.mu.Lock()
	defer x.mu.Unlock()
	for host, p := range x.peers {
		if _, ok := wanted[host]; ok {
			continue
		}
		if p.stop == nil && !p.silentFor(x.cfg.Clock.Now(), x.suspectTimeout()) {
			continue
		}
		if p.stop != nil {
			p.stop()
			gone = append(gone, host)
		}
		p.conn.close()
		delete(x.peers, host)
	}
	return gone
}

func (x *Exchanger) newPeer(host identifier.Host) *peer {
	return &peer{
		host: host,
		conn: &lazyConn{
			clock:      x.cfg.Clock,
			dial:       x.cfg.Dial,
			tls:        x.cfg.ClientTLS,
			host:       host,
			hostOf:     x.cfg.HostOf,
			maxMessage: x.cfg.MaxMessage,
			counters:   x.counters,
			closed:     x.closed,
		},
		urgent:      make(chan struct{}, 1),
		lastContact: x.cfg.Clock.Now(),
		trackers:    newDeltaTrackers(&x.cfg),
	}
}

func (x *Exchanger) suspectTimeout() time.Duration {
	return time.Duration(x.cfg.SuspectAfter) * x.cfg.Interval
}

// reportSuspects reports the peers that became suspect since the last call.
func (x *Exchanger) reportSuspects() {
	now := x.cfg.Clock.Now()
	var suspects []identifier.Host
	x.mu.Lock()
	for host, p := range x.peers {
		if p.stop != nil && p.markSuspect(now, x.suspectTimeout()) {
			suspects = append(suspects, host)
		}
	}
	x.mu.Unlock()
	for _, host := range suspects {
		x.cfg.Logger.Warn("peer is suspect", "host", host)
		x.cfg.Handler.OnPeerChange(PeerChange{Host: host, Health: HealthSuspect, At: now})
	}
}

// heartbeatLoop sends heartbeats to p until ctx ends. A heartbeat from the peer
// replaces one to it, since its reply carries the same content.
func (x *Exchanger) heartbeatLoop(ctx context.Context, p *peer) {
	failures := 0
	timer := x.cfg.Clock.NewTimer(x.firstDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.urgent:
		case <-timer.Chan():
			if wait := x.postponement(p); wait > 0 {
				timer.Reset(wait)
				continue
			}
		}
		failures = x.sendHeartbeat(ctx, p, failures)
		timer.Reset(x.nextDelay(failures))
	}
}

// firstDelay returns a random delay, which spreads the first heartbeats over an interval.
func (x *Exchanger) firstDelay() time.Duration {
	return x.jitter.Spread(x.cfg.Interval/2, 1)
}

// postponement returns how much longer to wait if the peer itself sent a
// heartbeat recently, or 0. The wait is longer than the peer's interval, so that
// one side keeps sending for both.
func (x *Exchanger) postponement(p *peer) time.Duration {
	since := x.cfg.Clock.Since(p.lastHeartbeatTime())
	if since >= x.cfg.Interval*3/4 {
		return 0
	}
	return x.jitter.Spread(x.cfg.Interval*5/4, intervalJitter) - since
}

// nextDelay returns the delay until the next heartbeat. The first failure is
// retried almost immediately on a new connection, later ones with back-off.
func (x *Exchanger) nextDelay(failures int) time.Duration {
	switch failures {
	case 0:
		return x.jitter.Spread(x.cfg.Interval, intervalJitter)
	case 1:
		return x.jitter.Spread(x.cfg.Interval/10, 1)
	default:
		return x.jitter.Backoff(x.cfg.Interval, maxBackoffIntervals*x.cfg.Interval, failures-1)
	}
}

// sendHeartbeat sends one heartbeat. It takes the number of consecutive failures
// and returns the new one.
func (x *Exchanger) sendHeartbeat(ctx context.Context, p *peer, failures int) int {
	sent := p.buildContent(x.state.Load(), x.cfg.Clock.Now(), &x.cfg, x.session)
	msg := describer.Heartbeat{Content: sent.content}
	var reply describer.HeartbeatReply
	err := p.conn.call(ctx, describer.MethodHeartbeat, x.cfg.Timeout, &msg, &reply)
	if err != nil {
		x.cfg.Logger.Debug("heartbeat failed", "host", p.host, "error", err)
		return failures + 1
	}
	if reply.From != p.host {
		x.cfg.Logger.Warn("heartbeat answered by another host", "want", p.host, "got", reply.From)
		return failures + 1
	}
	fresh := p.handleReply(sent, &reply.Content, &x.cfg)
	x.recordContact(p)
	if fresh {
		x.cfg.Handler.OnHeartbeat(reply.Content)
	}
	return 0
}
