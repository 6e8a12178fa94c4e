package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
	"cardamomscale.example/cardamomscale/internal/peer/exchanger"
)

// peerHandler handles the messages of other daemons and tracks which are live.
type peerHandler struct {
	effects *effectHandler
	// offerConfig passes a configuration received from a peer to the watcher.
	offerConfig func(version uint64, raw []byte)
	// membership receives the membership lists of peers.
	membership *membership

	mu             sync.Mutex
	fleet          specifier.Fleet
	rawConfig      []byte
	configVersion  uint64
	live           map[identifier.Host]bool
	leaving        map[identifier.Host]bool
	lastHeartbeat  map[identifier.Host]time.Time
	configVersions map[identifier.Host]uint64 // versions that peers report
	fetchingConfig bool
}

var _ exchanger.Handler = (*peerHandler)(nil)

func newPeerHandler(effects *effectHandler) *peerHandler {
	return &peerHandler{
		effects: effects,
		live:    map[identifier.Host]bool{}, leaving: map[identifier.Host]bool{},
		lastHeartbeat: map[identifier.Host]time.Time{}, configVersions: map[identifier.Host]uint64{},
	}
}

const (
	// regionMeshLimit is the number of peers in a region up to which a daemon
	// exchanges heartbeats with all of them.
	regionMeshLimit = 64
	// remotePeerSample is the number of heartbeat peers in each other data centre
	// of a larger region.
	remotePeerSample = 4
	// reducerReplyTimeout limits the wait for the reducer's answer to a peer.
	reducerReplyTimeout = 200 * time.Millisecond
)

// adoptConfig stores a new version of the configuration.
func (p *peerHandler) adoptConfig(version uint64, raw []byte, fleet specifier.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configVersion, p.rawConfig, p.fleet = version, raw, fleet
	p.pruneUnknownLocked()
}

// unknownHostRetention is how long the state of a host that is not configured is
// kept after its last heartbeat.
const unknownHostRetention = time.Minute

// pruneUnknownLocked removes the state of hosts that are not configured and have
// sent no heartbeat for unknownHostRetention.
func (p *peerHandler) pruneUnknownLocked() {
	now := p.effects.clock.Now()
	expired := func(host identifier.Host) bool {
		_, configured := p.fleet.Hosts[host]
		return !configured && now.Sub(p.lastHeartbeat[host]) > unknownHostRetention
	}
	maps.DeleteFunc(p.live, func(host identifier.Host, _ bool) bool { return expired(host) })
	maps.DeleteFunc(p.leaving, func(host identifier.Host, _ bool) bool { return expired(host) })
	maps.DeleteFunc(p.configVersions, func(host identifier.Host, _ uint64) bool { return expired(host) })
	maps.DeleteFunc(p.lastHeartbeat, func(host identifier.Host, _ time.Time) bool { return expired(host) })
}

// heartbeatPeers returns the daemons to exchange heartbeats with: all of the own
// data centre, and all or, in a large region, a few of each other data centre.
func (p *peerHandler) heartbeatPeers() []exchanger.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := p.effects.cfg.Settings
	region := p.fleet.DataCentres[settings.DataCentre].Region
	byDataCentre := map[identifier.DataCentre][]exchanger.Peer{}
	total := 0
	for name, host := range p.fleet.Hosts {
		if name == settings.Host || p.fleet.DataCentres[host.DataCentre].Region != region || host.Peer == (netip.AddrPort{}) {
			continue
		}
		total++
		byDataCentre[host.DataCentre] = append(byDataCentre[host.DataCentre], exchanger.Peer{Host: name, Address: host.Peer})
	}
	var list []exchanger.Peer
	for dc, members := range byDataCentre {
		if dc != settings.DataCentre && total > regionMeshLimit {
			members = samplePeers(settings.Host, members)
		}
		list = append(list, members...)
	}
	return list
}

// samplePeers returns the first remotePeerSample members in the rendezvous order of host.
func samplePeers(host identifier.Host, members []exchanger.Peer) []exchanger.Peer {
	slices.SortFunc(members, func(a, b exchanger.Peer) int {
		if placer.Before(placer.KeyOf(host), a.Host, b.Host) {
			return -1
		}
		return 1
	})
	return members[:min(remotePeerSample, len(members))]
}

// OnHeartbeat handles a peer's heartbeat: loads of targets, membership and the
// peer's configuration version.
func (p *peerHandler) OnHeartbeat(c describer.Content) {
	for _, load := range c.Loads {
		if load.Unreachable {
			continue
		}
		p.effects.post(reducer.LoadObserved{
			Target: load.Target, Incarnation: load.Incarnation, Cold: load.Cold,
			Running: int(load.Running), Queued: int(load.Queued), QueuedTokens: int(load.QueuedTokens),
			PrefillTokensPerSecond: float64(load.PrefillTokensPerSecond),
			Age:                    time.Duration(load.AgeMilliseconds) * time.Millisecond,
		})
	}
	p.membership.offer(c.Membership)
	p.mu.Lock()
	p.lastHeartbeat[c.From] = p.effects.clock.Now()
	p.configVersions[c.From] = c.ConfigVersion
	behind := c.ConfigVersion > p.configVersion && !p.fetchingConfig
	p.fetchingConfig = p.fetchingConfig || behind
	changed := p.setLeavingLocked(c.From, c.Leaving) || !p.live[c.From]
	p.live[c.From] = true
	p.mu.Unlock()
	if behind {
		go p.fetchConfig(c.From)
	}
	if c.ConfigVersion == 0 {
		p.pushConfigToUnconfigured(c.From)
	}
	if changed {
		p.postLiveHosts()
	}
}

// setLeavingLocked records whether host is leaving and reports whether that changed.
func (p *peerHandler) setLeavingLocked(host identifier.Host, leaving bool) bool {
	if p.leaving[host] == leaving {
		return false
	}
	p.leaving[host] = leaving
	return true
}

// fetchConfig fetches a newer configuration from a peer.
func (p *peerHandler) fetchConfig(from identifier.Host) {
	defer func() {
		p.mu.Lock()
		p.fetchingConfig = false
		p.mu.Unlock()
	}()
	p.mu.Lock()
	above := p.configVersion
	p.mu.Unlock()
	reply, err := p.effects.exchanger.FetchConfig(context.Background(), from, describer.FetchConfig{Above: above})
	if err == nil && reply.Version > above && len(reply.Raw) > 0 {
		p.offerConfig(reply.Version, reply.Raw)
	}
}

// OnPeerChange updates the live daemons.
func (p *peerHandler) OnPeerChange(change exchanger.PeerChange) {
	p.mu.Lock()
	p.live[change.Host] = change.Health == exchanger.HealthLive
	p.mu.Unlock()
	p.postLiveHosts()
}

// postLiveHosts posts the live daemons to the reducer.
func (p *peerHandler) postLiveHosts() {
	p.effects.post(reducer.PeersChanged{Hosts: p.allLiveHosts()})
}

// allLiveHosts returns the sorted live daemons of all data centres, including this one.
func (p *peerHandler) allLiveHosts() []identifier.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []identifier.Host{p.effects.cfg.Settings.Host}
	for host, live := range p.live {
		if live && !p.leaving[host] {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// localLiveHosts returns the sorted live daemons of the own data centre, including this one.
func (p *peerHandler) localLiveHosts() []identifier.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := p.effects.cfg.Settings
	hosts := []identifier.Host{settings.Host}
	for host, live := range p.live {
		if live && !p.leaving[host] && p.fleet.Hosts[host].DataCentre == settings.DataCentre {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// watchRank returns this daemon's rendezvous rank among the live ones of its data
// centre, from 0. The first ranks watch the platform.
func (p *peerHandler) watchRank() int {
	self := string(p.effects.cfg.Settings.Host)
	rank := 0
	for _, host := range p.localLiveHosts() {
		if string(host) != self && placer.Before(placer.KeyOf(watchRankKey), string(host), self) {
			rank++
		}
	}
	return rank
}

// watchRankKey is the rendezvous key of watchRank.
const watchRankKey = "config/fleet"

// pushConfig sends a newly adopted configuration to the live daemons of the data
// centre.
func (p *peerHandler) pushConfig(version uint64, raw []byte) {
	for _, host := range p.localLiveHosts() {
		if host == p.effects.cfg.Settings.Host {
			continue
		}
		go p.pushConfigTo(host, version, raw)
	}
}

func (p *peerHandler) pushConfigTo(host identifier.Host, version uint64, raw []byte) {
	_, err := p.effects.exchanger.PushConfig(context.Background(), host, describer.PushConfig{Version: version, Raw: raw})
	if err != nil {
		p.effects.cfg.Logger.Debug("configuration not pushed; the peer fetches it after a heartbeat", "host", string(host), "error", err)
	}
}

// pushConfigToUnconfigured sends the configuration to a peer that has none. Without
// access to the platform such a peer has no address to fetch it from. Only the
// first configPushers daemons in the peer's rendezvous order send it.
func (p *peerHandler) pushConfigToUnconfigured(host identifier.Host) {
	p.mu.Lock()
	version, raw := p.configVersion, p.rawConfig
	p.mu.Unlock()
	if version == 0 {
		return
	}
	self := string(p.effects.cfg.Settings.Host)
	rank := 0
	for _, other := range p.allLiveHosts() {
		if other != host && string(other) != self && placer.Before(placer.KeyOf(host), string(other), self) {
			rank++
		}
	}
	if rank < configPushers {
		go p.pushConfigTo(host, version, raw)
	}
}

// OnPushConfig passes a configuration that a peer pushed to the watcher.
func (p *peerHandler) OnPushConfig(m describer.PushConfig) (describer.PushConfigReply, error) {
	p.offerConfig(m.Version, m.Raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	return describer.PushConfigReply{Version: p.configVersion}, nil
}

// OnFetchConfig returns the current configuration if it is newer than the peer's.
func (p *peerHandler) OnFetchConfig(m describer.FetchConfig) (describer.FetchConfigReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.configVersion <= m.Above {
		return describer.FetchConfigReply{Version: p.configVersion}, nil
	}
	return describer.FetchConfigReply{Version: p.configVersion, Raw: p.rawConfig}, nil
}

var errReducerTimeout = errors.New("the reducer gave no answer in time")

// OnPermit passes a peer's request for a permit to the reducer and waits for the answer.
func (p *peerHandler) OnPermit(m describer.Permit) (describer.PermitReply, error) {
	call, answer := p.effects.pendingPermits.register()
	p.effects.post(reducer.PermitRequested{Call: call, From: m.From, Target: m.Target, Request: m.Request, Number: m.Number, Term: m.Term})
	select {
	case a := <-answer:
		return describer.PermitReply{
			Granted: a.Granted, RetryAfter: a.RetryAfter, Incarnation: a.Incarnation, Warm: a.Warm, Age: a.Age,
		}, nil
	case <-p.effects.clock.After(reducerReplyTimeout):
		p.effects.pendingPermits.cancel(call)
		// The reducer may still grant the permit, which the peer won't use.
		p.effects.post(reducer.PermitReturned{From: m.From, Target: m.Target, Request: m.Request, Number: m.Number})
		return describer.PermitReply{}, newError("permit", KindRun, errReducerTimeout)
	}
}

// OnRelease releases a peer's permit.
func (p *peerHandler) OnRelease(m describer.ReleasePermit) (describer.ReleasePermitReply, error) {
	p.effects.post(reducer.PermitReturned{From: m.From, Target: m.Target, Request: m.Request, Number: m.Number})
	return describer.ReleasePermitReply{Released: true}, nil
}

// OnExplain returns the recorded steps of a request.
func (p *peerHandler) OnExplain(m describer.Explain) (describer.ExplainReply, error) {
	explanation, found := explain(p.effects, m.Request)
	if !found {
		return describer.ExplainReply{}, nil
	}
	raw, err := json.Marshal(explanation)
	if err != nil {
		return describer.ExplainReply{}, newError("explain", KindRun, err)
	}
	return describer.ExplainReply{Found: true, JSON: raw}, nil
}
