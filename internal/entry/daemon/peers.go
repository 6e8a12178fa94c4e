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

// peers answers what other daemons send, and keeps track of who is live.
type peers struct {
	around *surroundings
	// offer hands a configuration of a peer to the watcher.
	offer func(version uint64, raw []byte)
	// members takes in the membership lists of peers.
	members *membership

	mu       sync.Mutex
	fleet    specifier.Fleet
	raw      []byte
	version  uint64
	live     map[identifier.Host]bool
	leaving  map[identifier.Host]bool
	heard    map[identifier.Host]time.Time
	versions map[identifier.Host]uint64
	fetching bool
}

var _ exchanger.Handler = (*peers)(nil)

func newPeers(around *surroundings) *peers {
	return &peers{
		around: around,
		live:   map[identifier.Host]bool{}, leaving: map[identifier.Host]bool{},
		heard: map[identifier.Host]time.Time{}, versions: map[identifier.Host]uint64{},
	}
}

const (
	// regionMeshLimit is the number of daemons of a region up to which each
	// exchanges heartbeats with all others.
	regionMeshLimit = 64
	// remoteSample is the number of peers in each other data centre of a larger region.
	remoteSample = 4
	// answerTimeout bounds the reducer's answer to a peer.
	answerTimeout = 200 * time.Millisecond
)

// adopt takes over a version of the configuration.
func (p *peers) adopt(version uint64, raw []byte, fleet specifier.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version, p.raw, p.fleet = version, raw, fleet
	p.forgetLocked()
}

// strangerMemory is how long a silent host that the configuration does not name
// is remembered.
const strangerMemory = time.Minute

// forgetLocked drops what is kept of hosts that are silent and not configured.
func (p *peers) forgetLocked() {
	now := p.around.clock.Now()
	forget := func(host identifier.Host) bool {
		_, configured := p.fleet.Hosts[host]
		return !configured && now.Sub(p.heard[host]) > strangerMemory
	}
	maps.DeleteFunc(p.live, func(host identifier.Host, _ bool) bool { return forget(host) })
	maps.DeleteFunc(p.leaving, func(host identifier.Host, _ bool) bool { return forget(host) })
	maps.DeleteFunc(p.versions, func(host identifier.Host, _ uint64) bool { return forget(host) })
	maps.DeleteFunc(p.heard, func(host identifier.Host, _ time.Time) bool { return forget(host) })
}

// wanted returns the daemons to exchange heartbeats with: all of the own data
// centre, and all or a few of the region's others.
func (p *peers) wanted() []exchanger.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := p.around.cfg.Settings
	region := p.fleet.DataCentres[settings.DataCentre].Region
	byCentre := map[identifier.DataCentre][]exchanger.Peer{}
	total := 0
	for name, host := range p.fleet.Hosts {
		if name == settings.Host || p.fleet.DataCentres[host.DataCentre].Region != region || host.Peer == (netip.AddrPort{}) {
			continue
		}
		total++
		byCentre[host.DataCentre] = append(byCentre[host.DataCentre], exchanger.Peer{Host: name, Address: host.Peer})
	}
	var list []exchanger.Peer
	for centre, members := range byCentre {
		if centre != settings.DataCentre && total > regionMeshLimit {
			members = sample(settings.Host, members)
		}
		list = append(list, members...)
	}
	return list
}

// sample returns the first few members in the rendezvous order of host.
func sample(host identifier.Host, members []exchanger.Peer) []exchanger.Peer {
	slices.SortFunc(members, func(a, b exchanger.Peer) int {
		if placer.Before(placer.KeyOf(host), a.Host, b.Host) {
			return -1
		}
		return 1
	})
	return members[:min(remoteSample, len(members))]
}

// OnHeartbeat takes in a peer's hints.
func (p *peers) OnHeartbeat(c describer.Content) {
	for _, load := range c.Loads {
		if load.Unreachable {
			continue
		}
		p.around.post(reducer.LoadObserved{
			Target: load.Target, Incarnation: load.Incarnation, Cold: load.Cold,
			Running: int(load.Running), Queued: int(load.Queued), QueuedTokens: int(load.QueuedTokens),
			PrefillTokensPerSecond: float64(load.PrefillTokensPerSecond),
			Age:                    time.Duration(load.AgeMilliseconds) * time.Millisecond,
		})
	}
	p.members.offer(c.Membership)
	p.mu.Lock()
	p.heard[c.From] = p.around.clock.Now()
	p.versions[c.From] = c.ConfigVersion
	behind := c.ConfigVersion > p.version && !p.fetching
	p.fetching = p.fetching || behind
	changed := p.setLeavingLocked(c.From, c.Leaving) || !p.live[c.From]
	p.live[c.From] = true
	p.mu.Unlock()
	if behind {
		go p.fetch(c.From)
	}
	if c.ConfigVersion == 0 {
		p.bootstrap(c.From)
	}
	if changed {
		p.tellLive()
	}
}

func (p *peers) setLeavingLocked(host identifier.Host, leaving bool) bool {
	if p.leaving[host] == leaving {
		return false
	}
	p.leaving[host] = leaving
	return true
}

// fetch gets a newer configuration from a peer.
func (p *peers) fetch(from identifier.Host) {
	defer func() {
		p.mu.Lock()
		p.fetching = false
		p.mu.Unlock()
	}()
	p.mu.Lock()
	above := p.version
	p.mu.Unlock()
	reply, err := p.around.peers.FetchConfig(context.Background(), from, describer.FetchConfig{Above: above})
	if err == nil && reply.Version > above && len(reply.Raw) > 0 {
		p.offer(reply.Version, reply.Raw)
	}
}

// OnPeerChange keeps the list of live daemons.
func (p *peers) OnPeerChange(change exchanger.PeerChange) {
	p.mu.Lock()
	p.live[change.Host] = change.Health == exchanger.HealthLive
	p.mu.Unlock()
	p.tellLive()
}

// tellLive gives the reducer the live daemons.
func (p *peers) tellLive() {
	p.around.post(reducer.PeersChanged{Hosts: p.heardHosts()})
}

// heardHosts returns the live daemons of all data centres in order, this one included.
func (p *peers) heardHosts() []identifier.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []identifier.Host{p.around.cfg.Settings.Host}
	for host, live := range p.live {
		if live && !p.leaving[host] {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// liveHosts returns the live daemons of the data centre in order, this one included.
func (p *peers) liveHosts() []identifier.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := p.around.cfg.Settings
	hosts := []identifier.Host{settings.Host}
	for host, live := range p.live {
		if live && !p.leaving[host] && p.fleet.Hosts[host].DataCentre == settings.DataCentre {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// rank returns this daemon's place among the live ones of its data centre.
func (p *peers) rank() int {
	self := string(p.around.cfg.Settings.Host)
	rank := 0
	for _, host := range p.liveHosts() {
		if string(host) != self && placer.Before(placer.KeyOf(configRankKey), string(host), self) {
			rank++
		}
	}
	return rank
}

// configRankKey is the rendezvous key by which daemons rank for watching.
const configRankKey = "config/fleet"

// push hands a newly adopted configuration to the daemons of the data centre.
func (p *peers) push(version uint64, raw []byte) {
	for _, host := range p.liveHosts() {
		if host == p.around.cfg.Settings.Host {
			continue
		}
		go p.pushTo(host, version, raw)
	}
}

func (p *peers) pushTo(host identifier.Host, version uint64, raw []byte) {
	_, err := p.around.peers.PushConfig(context.Background(), host, describer.PushConfig{Version: version, Raw: raw})
	if err != nil {
		p.around.cfg.Logger.Debug("a configuration was not pushed; the heartbeat will tell", "host", string(host), "error", err)
	}
}

// bootstrap hands the configuration to a peer that has none, since without the
// platform the peer knows no address to ask. The first live daemons in the
// peer's rendezvous order do so.
func (p *peers) bootstrap(host identifier.Host) {
	p.mu.Lock()
	version, raw := p.version, p.raw
	p.mu.Unlock()
	if version == 0 {
		return
	}
	self := string(p.around.cfg.Settings.Host)
	rank := 0
	for _, other := range p.heardHosts() {
		if other != host && string(other) != self && placer.Before(placer.KeyOf(host), string(other), self) {
			rank++
		}
	}
	if rank < pushers {
		go p.pushTo(host, version, raw)
	}
}

// OnPushConfig takes in a configuration that a peer pushed.
func (p *peers) OnPushConfig(m describer.PushConfig) (describer.PushConfigReply, error) {
	p.offer(m.Version, m.Raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	return describer.PushConfigReply{Version: p.version}, nil
}

// OnFetchConfig returns the configuration in force if it is newer than the peer's.
func (p *peers) OnFetchConfig(m describer.FetchConfig) (describer.FetchConfigReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version <= m.Above {
		return describer.FetchConfigReply{Version: p.version}, nil
	}
	return describer.FetchConfigReply{Version: p.version, Raw: p.raw}, nil
}

var errNoAnswer = errors.New("the reducer gave no answer in time")

// OnPermit asks the reducer whether a peer may use a cold target.
func (p *peers) OnPermit(m describer.Permit) (describer.PermitReply, error) {
	call, answer := p.around.permits.expect()
	p.around.post(reducer.PermitAsked{Call: call, From: m.From, Target: m.Target, Request: m.Request, Number: m.Number, Term: m.Term})
	select {
	case a := <-answer:
		return describer.PermitReply{
			Granted: a.Granted, RetryAfter: a.RetryAfter, Incarnation: a.Incarnation, Warm: a.Warm, Age: a.Age,
		}, nil
	case <-p.around.clock.After(answerTimeout):
		p.around.permits.forget(call)
		p.around.post(reducer.PermitReturned{From: m.From, Target: m.Target, Request: m.Request, Number: m.Number})
		return describer.PermitReply{}, newError("permit", KindRun, errNoAnswer)
	}
}

// OnRelease takes back a permit.
func (p *peers) OnRelease(m describer.ReleasePermit) (describer.ReleasePermitReply, error) {
	p.around.post(reducer.PermitReturned{From: m.From, Target: m.Target, Request: m.Request, Number: m.Number})
	return describer.ReleasePermitReply{Released: true}, nil
}

// OnExplain returns the steps of a request.
func (p *peers) OnExplain(m describer.Explain) (describer.ExplainReply, error) {
	explanation, found := explain(p.around, m.Request)
	if !found {
		return describer.ExplainReply{}, nil
	}
	raw, err := json.Marshal(explanation)
	if err != nil {
		return describer.ExplainReply{}, newError("explain", KindRun, err)
	}
	return describer.ExplainReply{Found: true, JSON: raw}, nil
}
