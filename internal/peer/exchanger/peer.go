package exchanger

import (
	"net/netip"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// Peer identifies another daemon and its address.
type Peer struct {
	Host identifier.Host
	// Address is the address of the peer's Listener.
	Address netip.AddrPort
}

// Health is the liveness of a peer.
type Health string

// The values of Health.
const (
	// HealthLive means that the peer was in contact recently.
	HealthLive Health = "live"
	// HealthSuspect means that there was no contact for Config.SuspectAfter intervals.
	HealthSuspect Health = "suspect"
	// HealthGone means that the peer was removed from Config.Peers.
	HealthGone Health = "gone"
)

// PeerChange reports a change of a peer's health.
type PeerChange struct {
	Host   identifier.Host
	Health Health
	At     time.Time
}

// peer is the exchanger's state for one other daemon.
type peer struct {
	host identifier.Host
	conn *lazyConn
	// urgent makes heartbeatLoop send a heartbeat immediately.
	urgent chan struct{}
	// stop ends heartbeatLoop; nil for a peer that is not among Config.Peers.
	stop func()

	mu          sync.Mutex
	health      Health
	lastContact time.Time
	// lastHeartbeat is when the peer's last own heartbeat arrived.
	lastHeartbeat time.Time
	// session is the peer's session and acceptedSequence the sequence of the last
	// content accepted from it.
	session          uint64
	acceptedSequence uint64
	// sequence is that of the last content built for the peer.
	sequence uint64
	trackers *deltaTrackers
	// lastReply is the last reply to the peer, which its next heartbeat may acknowledge.
	lastReply outgoing
}

// triggerHeartbeat makes heartbeatLoop send a heartbeat immediately.
func (p *peer) triggerHeartbeat() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// buildContent builds the next content for the peer.
func (p *peer) buildContent(state *State, now time.Time, cfg *Config, session uint64) outgoing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buildContentLocked(state, now, cfg, session)
}

func (p *peer) buildContentLocked(state *State, now time.Time, cfg *Config, session uint64) outgoing {
	p.sequence++
	out := p.trackers.buildContent(state, now, cfg, p.sequence)
	out.content.Session = session
	out.content.Ack = p.acceptedSequence
	out.content.AckSession = p.session
	return out
}

// markLive records contact with the peer and reports whether it was not live before.
func (p *peer) markLive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact = now
	if p.health == HealthLive {
		return false
	}
	p.health = HealthLive
	return true
}

// markSuspect marks the peer suspect if there was no contact for at least after,
// and reports whether that changed its health.
func (p *peer) markSuspect(now time.Time, after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health == HealthSuspect || now.Sub(p.lastContact) < after {
		return false
	}
	p.health = HealthSuspect
	return true
}

// acceptLocked reports whether content is newer than all accepted before. A new
// session resets the state, since the restarted peer has lost all it received.
func (p *peer) acceptLocked(content *describer.Content, cfg *Config) bool {
	if content.Session != p.session {
		p.session = content.Session
		p.acceptedSequence = 0
		p.trackers = newDeltaTrackers(cfg)
		p.lastReply = outgoing{}
	}
	if content.Sequence <= p.acceptedSequence {
		return false
	}
	p.acceptedSequence = content.Sequence
	return true
}

// handleHeartbeat processes a heartbeat and builds the reply. It reports whether
// the heartbeat's content was accepted.
func (p *peer) handleHeartbeat(content *describer.Content, state *State, now time.Time, cfg *Config, session uint64) (describer.Content, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeartbeat = now
	fresh := p.acceptLocked(content, cfg)
	acked := content.AckSession == session && content.Ack == p.lastReply.content.Sequence
	if fresh && acked {
		p.trackers.acknowledge(p.lastReply)
	}
	p.lastReply = p.buildContentLocked(state, now, cfg, session)
	p.lastReply.content.Stale = !fresh
	return p.lastReply.content, fresh
}

// handleReply processes the reply to sent. It reports whether the reply's
// content was accepted.
func (p *peer) handleReply(sent outgoing, reply *describer.Content, cfg *Config) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := p.acceptLocked(reply, cfg)
	if !reply.Stale {
		p.trackers.acknowledge(sent)
	}
	return fresh
}

// lastHeartbeatTime returns when the peer's last own heartbeat arrived.
func (p *peer) lastHeartbeatTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastHeartbeat
}

// silentFor reports whether there was no contact for at least d.
func (p *peer) silentFor(now time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastContact) >= d
}
