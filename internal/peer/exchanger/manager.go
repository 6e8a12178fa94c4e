package exchanger

import (
	"context"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// manage keeps one heartbeat loop for each peer until ctx ends.
func (x *Exchanger) manage(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	ticker := x.cfg.Clock.NewTicker(x.cfg.Interval)
	defer ticker.Stop()
	for {
		x.refresh(ctx, &loops)
		x.findSuspects()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// refresh starts and stops loops after Config.Peers.
func (x *Exchanger) refresh(ctx context.Context, loops *sync.WaitGroup) {
	wanted := make(map[identifier.Host]Peer)
	for _, p := range x.cfg.Peers() {
		if p.Host != x.cfg.Self {
			wanted[p.Host] = p
		}
	}
	for _, p := range wanted {
		x.start(ctx, p, loops)
	}
	for _, host := range x.stopUnwanted(wanted) {
		x.cfg.Handler.OnPeerChange(PeerChange{
			Host:   host,
			Health: HealthGone,
			At:     x.cfg.Clock.Now(),
		})
	}
}

// start runs the loop of a peer unless it runs already.
func (x *Exchanger) start(ctx context.Context, wanted Peer, loops *sync.WaitGroup) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[wanted.Host]
	if p == nil {
		p = x.newPeer(wanted.Host)
		x.peers[wanted.Host] = p
	}
	p.link.setAddr(wanted.Address)
	if p.stop != nil {
		return
	}
	ctx, p.stop = context.WithCancel(ctx)
	loops.Go(func() { x.beat(ctx, p) })
}

// stopUnwanted ends the peers that are not wanted, and forgets the strangers
// that are unheard. It returns the ended peers.
func (x *Exchanger) stopUnwanted(wanted map[identifier.Host]Peer) []identifier.Host {
	var gone []identifier.Host
	x.mu.Lock()
	defer x.mu.Unlock()
	for host, p := range x.peers {
		if _, ok := wanted[host]; ok {
			continue
		}
		if p.stop == nil && !p.unheard(x.cfg.Clock.Now(), x.suspectTime()) {
			continue
		}
		if p.stop != nil {
			p.stop()
			gone = append(gone, host)
		}
		p.link.close()
		delete(x.peers, host)
	}
	return gone
}

func (x *Exchanger) newPeer(host identifier.Host) *peer {
	return &peer{
		host: host,
		link: &link{
			clock:    x.cfg.Clock,
			dial:     x.cfg.Dial,
			tls:      x.cfg.ClientTLS,
			host:     host,
			hostOf:   x.cfg.HostOf,
			limit:    x.cfg.MaxMessage,
			counters: x.counters,
			closed:   x.closed,
		},
		urgent:  make(chan struct{}, 1),
		heardAt: x.cfg.Clock.Now(),
		ledgers: newLedgers(&x.cfg),
	}
}

func (x *Exchanger) suspectTime() time.Duration {
	return time.Duration(x.cfg.SuspectAfter) * x.cfg.Interval
}

// findSuspects reports the peers that have just become suspect.
func (x *Exchanger) findSuspects() {
	now := x.cfg.Clock.Now()
	var suspects []identifier.Host
	x.mu.Lock()
	for host, p := range x.peers {
		if p.stop != nil && p.suspect(now, x.suspectTime()) {
			suspects = append(suspects, host)
		}
	}
	x.mu.Unlock()
	for _, host := range suspects {
		x.cfg.Logger.Warn("peer is suspect", "host", host)
		x.cfg.Handler.OnPeerChange(PeerChange{Host: host, Health: HealthSuspect, At: now})
	}
}

// beat sends heartbeats to p until ctx ends. A heartbeat of the peer, whose
// reply carries the same content, takes the place of an own one.
func (x *Exchanger) beat(ctx context.Context, p *peer) {
	failures := 0
	timer := x.cfg.Clock.NewTimer(x.firstDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.urgent:
		case <-timer.Chan():
			if wait := x.postponed(p); wait > 0 {
				timer.Reset(wait)
				continue
			}
		}
		failures = x.beatOnce(ctx, p, failures)
		timer.Reset(x.delay(failures))
	}
}

// firstDelay spreads the first heartbeats over an interval.
func (x *Exchanger) firstDelay() time.Duration {
	return x.jitter.Spread(x.cfg.Interval/2, 1)
}

// postponed returns the wait after a heartbeat of the peer itself, or 0.
func (x *Exchanger) postponed(p *peer) time.Duration {
	since := x.cfg.Clock.Since(p.inbound())
	if since >= x.cfg.Interval*3/4 {
		return 0
	}
	return x.jitter.Spread(x.cfg.Interval*5/4, intervalJitter) - since
}

// delay returns the wait until the next heartbeat. The first failure is
// followed at once by a try on a new connection.
func (x *Exchanger) delay(failures int) time.Duration {
	switch failures {
	case 0:
		return x.jitter.Spread(x.cfg.Interval, intervalJitter)
	case 1:
		return x.jitter.Spread(x.cfg.Interval/10, 1)
	default:
		return x.jitter.Backoff(x.cfg.Interval, maxBackoffIntervals*x.cfg.Interval, failures-1)
	}
}

// beatOnce sends one heartbeat and returns the new number of failures in a row.
func (x *Exchanger) beatOnce(ctx context.Context, p *peer, failures int) int {
	sent := p.pack(x.state.Load(), x.cfg.Clock.Now(), &x.cfg, x.session)
	msg := describer.Heartbeat{Content: sent.content}
	var reply describer.HeartbeatReply
	err := p.link.call(ctx, describer.MethodHeartbeat, x.cfg.Timeout, &msg, &reply)
	if err != nil {
		x.cfg.Logger.Debug("heartbeat failed", "host", p.host, "error", err)
		return failures + 1
	}
	if reply.From != p.host {
		x.cfg.Logger.Warn("another host answered", "want", p.host, "got", reply.From)
		return failures + 1
	}
	fresh := p.settle(sent, &reply.Content, &x.cfg)
	x.heard(p)
	if fresh {
		x.cfg.Handler.OnHeartbeat(reply.Content)
	}
	return 0
}
