package exchanger

import (
	"net/netip"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// Peer is another daemon.
type Peer struct {
	Host identifier.Host
	// Address is where the peer's Listener is reached.
	Address netip.AddrPort
}

// Health says whether a peer is heard.
type Health string

// The values of Health.
const (
	// HealthLive means that the peer has been heard lately.
	HealthLive Health = "live"
	// HealthSuspect means that the peer has been unheard for Config.SuspectAfter intervals.
	HealthSuspect Health = "suspect"
	// HealthGone means that the peer is no longer among the peers.
	HealthGone Health = "gone"
)

// PeerChange reports a change of a peer's health.
type PeerChange struct {
	Host   identifier.Host
	Health Health
	At     time.Time
}

// peer is what the exchanger holds of one other daemon.
type peer struct {
	host identifier.Host
	link *link
	// urgent asks the peer's loop to send at once.
	urgent chan struct{}
	// stop ends the peer's loop; nil when none runs.
	stop func()

	mu      sync.Mutex
	health  Health
	heardAt time.Time
	// inboundAt is the time of the last heartbeat that the peer sent.
	inboundAt time.Time
	// session and taken are the peer's session and its last taken sequence.
	session uint64
	taken   uint64
	// sequence numbers the contents that were built for the peer.
	sequence uint64
	ledgers  *ledgers
	// replied is the last reply to the peer, which its next heartbeat acknowledges.
	replied parcel
}

// nudge asks the peer's loop to send at once.
func (p *peer) nudge() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// pack builds the next content for the peer.
func (p *peer) pack(state *State, now time.Time, cfg *Config, session uint64) parcel {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.packLocked(state, now, cfg, session)
}

func (p *peer) packLocked(state *State, now time.Time, cfg *Config, session uint64) parcel {
	p.sequence++
	packed := p.ledgers.pack(state, now, cfg, p.sequence)
	packed.content.Session = session
	packed.content.Ack = p.taken
	packed.content.AckSession = p.session
	return packed
}

// hear records a sign of life and reports whether the peer was not live before.
func (p *peer) hear(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
	if p.health == HealthLive {
		return false
	}
	p.health = HealthLive
	return true
}

// suspect reports whether the peer has just been unheard for too long.
func (p *peer) suspect(now time.Time, after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health == HealthSuspect || now.Sub(p.heardAt) < after {
		return false
	}
	p.health = HealthSuspect
	return true
}

// takeLocked checks that content is newer than all taken before. A new session
// of the peer has forgotten what it was told.
func (p *peer) takeLocked(content *describer.Content, cfg *Config) bool {
	if content.Session != p.session {
		p.session = content.Session
		p.taken = 0
		p.ledgers = newLedgers(cfg)
		p.replied = parcel{}
	}
	if content.Sequence <= p.taken {
		return false
	}
	p.taken = content.Sequence
	return true
}

// answer takes a heartbeat's content and builds the reply. It reports whether
// the content was taken.
func (p *peer) answer(content *describer.Content, state *State, now time.Time, cfg *Config, session uint64) (describer.Content, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inboundAt = now
	fresh := p.takeLocked(content, cfg)
	acked := content.AckSession == session && content.Ack == p.replied.content.Sequence
	if fresh && acked {
		p.ledgers.commit(p.replied)
	}
	p.replied = p.packLocked(state, now, cfg, session)
	p.replied.content.Stale = !fresh
	return p.replied.content, fresh
}

// settle takes the reply to a sent content. It reports whether the reply's
// content was taken.
func (p *peer) settle(sent parcel, reply *describer.Content, cfg *Config) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := p.takeLocked(reply, cfg)
	if !reply.Stale {
		p.ledgers.commit(sent)
	}
	return fresh
}

// inbound returns the time of the peer's last own heartbeat.
func (p *peer) inbound() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inboundAt
}

// unheard reports whether the peer has been unheard for at least after.
func (p *peer) unheard(now time.Time, after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.heardAt) >= after
}
