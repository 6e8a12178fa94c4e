package decider

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// neighbourInterval is the interval between messages to neighbours when no load changes.
	neighbourInterval = 250 * time.Millisecond
	// lowerLoadInterval is the shortest interval between messages to neighbours of a large fleet when
	// the load has fallen.
	lowerLoadInterval = 150 * time.Millisecond
	// maxReceiveRate limits the messages per second that a host receives from its neighbours;
	// one costs about 20 us of a core.
	maxReceiveRate = 400
	// broadcastInterval is the interval between broadcasts to all peers, and
	// minBroadcastInterval the shortest one when there are changes to announce.
	// maxBroadcastRate limits the messages per second a host broadcasts: at 250 bytes each,
	// they take an eighth of the smallest link.
	broadcastInterval    = time.Second
	minBroadcastInterval = 30 * time.Millisecond
	maxBroadcastRate     = 600
	// weightsAnnounceTime is how long the lease holder announces an engine's new weights, which
	// covers several messages. Hosts that miss all of them learn of the weights from the engine
	// or the list of targets.
	weightsAnnounceTime = 700 * time.Millisecond
	// peerTimeout is how long the load of a silent peer counts.
	peerTimeout = 3500 * time.Millisecond
	// peerForgetAfter is how long a silent host counts when limits are shared, and hostCountAge
	// the age from which hosts are counted again.
	peerForgetAfter = 30 * time.Second
	hostCountAge    = 100 * time.Millisecond
	// minSilenceBeforeOlderBoot is how long a peer must have been silent before a process with
	// a lower boot replaces it: its clock may have been set back.
	minSilenceBeforeOlderBoot = 300 * time.Millisecond
	// recentAnswerAge is how long a target's answer to this host outweighs a peer's report that
	// it is down.
	recentAnswerAge = 300 * time.Millisecond
	// configRefreshInterval is the shortest interval between calls for a configuration that a
	// peer has.
	configRefreshInterval = 500 * time.Millisecond
	// maxMessageDelay is added to the ages in messages to cover their transit.
	maxMessageDelay = 200 * time.Millisecond
	// suspensionThreshold is the time between two events that indicates that the host was
	// suspended: ten ticks.
	suspensionThreshold = 500 * time.Millisecond
	// suspensionBacklogTime is how long after a suspension a message may have waited in the
	// receive buffer. Reading a full buffer takes far less.
	suspensionBacklogTime = time.Second
)

// peers holds the state received from other hosts, and when messages to them were last sent.
type peers struct {
	hosts map[string]descriptor.Host
	partition
	peerByHost map[string]*peer
	// countedHosts is the hostCount as of hostsCountedAt; 0 if the list of hosts has changed since.
	countedHosts   int
	hostsCountedAt time.Time
	// messageNumber is the number of the last message sent. lastNeighbourMessageAt is when the
	// last one went to the neighbours; neighbourMessagePending is true when the load has
	// changed since.
	messageNumber           uint64
	lastNeighbourMessageAt  time.Time
	neighbourMessagePending bool
	// lowerLoadPending is true when the load has fallen since, which large fleets announce later.
	lowerLoadPending bool
	// lastBroadcastAt and broadcastPending are the same for broadcasts; lastLoadBroadcastAt is
	// when the last broadcast with this host's loads was sent.
	lastBroadcastAt     time.Time
	lastLoadBroadcastAt time.Time
	broadcastPending    bool
	// updatingUntil holds the targets that the lease holder is updating, and until when that is
	// assumed without another message.
	updatingUntil   map[string]time.Time
	leaseHolderHost string
	// resumedAt is when this host last resumed after a suspension.
	resumedAt time.Time
}

type peer struct {
	boot       int64
	lastNumber uint64
	// lastSeenAt is when the peer was last seen, by itself or by an aggregator; heardAt is when it
	// last sent a message to this host.
	lastSeenAt, heardAt time.Time
	// loads is the load that the peer sent last. counted is true while it is part of the loads of
	// the targets.
	loads   map[string]targetLoad
	counted bool
	// loadsAt is when the peer last sent its loads. avoided are the targets being updated to
	// which it sent no more requests at that time.
	loadsAt time.Time
	avoided []string
	// down are the targets that the peer last reported as down.
	down []string
}

func newPeers() peers {
	return peers{hosts: map[string]descriptor.Host{}, peerByHost: map[string]*peer{}, updatingUntil: map[string]time.Time{}}
}

func (s *State) onHostsListed(ev HostsListed) {
	s.hosts, s.countedHosts = ev.Hosts, 0
	s.rankHosts()
	if s.isLarge() {
		s.expectListedHosts()
	}
	s.computePartition()
	s.recountPeers()
	s.log("hosts listed", "", "hosts", len(ev.Hosts))
}

// hostCount returns the number of hosts among which limits are shared: those seen
// recently and registered ones not seen yet. It is up to a hostCountAge old.
func (s *State) hostCount() int {
	if s.countedHosts == 0 || s.now.Sub(s.hostsCountedAt) >= hostCountAge {
		s.countedHosts, s.hostsCountedAt = s.countHosts(), s.now
	}
	return s.countedHosts
}

func (s *State) countHosts() int {
	n := 1
	for host := range s.hosts {
		if p := s.peerByHost[host]; host != s.cfg.Host && (p == nil || s.now.Sub(p.lastSeenAt) < peerForgetAfter) {
			n++
		}
	}
	return n
}

// sendPeriodicMessages sends the messages that are pending or due.
func (s *State) sendPeriodicMessages() {
	s.dropSilentPeerLoads()
	if s.lowerLoadPending && s.now.Sub(s.lastNeighbourMessageAt) >= lowerLoadInterval {
		s.neighbourMessagePending = true
	}
	if s.neighbourMessagePending || s.now.Sub(s.lastNeighbourMessageAt) >= neighbourInterval {
		s.sendLoadToNeighbours()
	}
	s.noticeNewAggregators()
	last := s.lastBroadcastAt
	if s.isLarge() {
		last = s.lastLoadBroadcastAt // Summaries are due even if there was news in between.
	}
	if s.broadcastPending || s.now.Sub(last) >= broadcastInterval {
		s.broadcast()
	}
	s.sendLoadWhileUpdating()
}

// sendLowerLoadToNeighbours sends this host's loads to its neighbours after a request has ended or a
// prompt was read. In large fleets that can wait: the messages would cost more than the requests.
func (s *State) sendLowerLoadToNeighbours() {
	if s.isLarge() && s.now.Sub(s.lastNeighbourMessageAt) < lowerLoadInterval {
		s.lowerLoadPending = true
		return
	}
	s.sendLoadToNeighbours()
}

// sendLoadToNeighbours sends this host's loads to its neighbours within milliseconds of a
// change. Otherwise all hosts would choose the target that was idle at the last message.
func (s *State) sendLoadToNeighbours() {
	s.neighbourMessagePending = true
	if s.now.Sub(s.lastNeighbourMessageAt) < time.Second*time.Duration(len(s.neighbours)+1)/maxReceiveRate {
		return // A later event or tick sends it.
	}
	s.neighbourMessagePending, s.lowerLoadPending, s.lastNeighbourMessageAt = false, false, s.now
	s.emit(SendMessage{To: s.neighbours, Message: s.newNeighbourMessage()})
}

// broadcast sends this host's state to all peers, or to the aggregators of a large fleet. When many
// engines change weights or go down at once, the messages must not fill the link that responses use
// too. So loads are left out between the regular broadcasts, and the rate is limited by the number of
// receivers.
func (s *State) broadcast() {
	s.broadcastPending = true
	receivers := len(s.allPeers)
	if s.isLarge() {
		receivers = len(s.byDataCentre[s.cfg.DataCentre])
	}
	if s.now.Sub(s.lastBroadcastAt) < max(minBroadcastInterval, time.Second*time.Duration(receivers)/maxBroadcastRate) {
		return // A later tick sends it.
	}
	s.broadcastPending, s.lastBroadcastAt = false, s.now
	regular := s.now.Sub(s.lastLoadBroadcastAt) >= broadcastInterval
	var m Message
	if regular {
		m = s.newLoadMessage()
		s.lastLoadBroadcastAt = s.now
	} else {
		m = s.newMessage()
		m.LoadsUnchanged = true
	}
	m.Named, m.Leaving = s.announcedVersions(), s.leavingTargets()
	m.Crashes, m.Answered = s.announcedCrashes()
	m.Quarantined = s.announcedQuarantine()
	m.Limits = s.announcedLimits(regular)
	if s.holdsLease() || s.isAggregator() {
		m.Weights = s.recentWeights()
	}
	if s.isLarge() {
		s.broadcastInLargeFleet(m, regular)
		return
	}
	s.emit(SendMessage{To: s.allPeers, Message: m})
}

// ownLoads returns the load from this host's requests by target.
func (s *State) ownLoads() map[string]targetLoad {
	loads := map[string]targetLoad{}
	for _, r := range s.byNumber {
		if r.target != nil {
			load := loads[r.target.ID]
			load.add(r.load, 1)
			loads[r.target.ID] = load
		}
	}
	return loads
}

// recentWeights returns the weights of the targets that changed recently.
func (s *State) recentWeights() map[string]map[string]int {
	weights := map[string]map[string]int{}
	for id, t := range s.targets {
		if s.now.Sub(t.weightsChangedAt) < weightsAnnounceTime {
			weights[id] = t.Weights
		}
	}
	return weights
}

// newMessage returns the next message, without loads.
func (s *State) newMessage() Message {
	s.messageNumber++
	m := Message{Host: s.cfg.Host, Boot: s.cfg.Boot, Number: s.messageNumber}
	for id := range s.downTargets {
		m.Down = append(m.Down, id)
	}
	if s.config != nil && !s.configAnsweredAt.IsZero() {
		// Passed on, a confirmation by a peer would get younger by the delay of each message.
		m.Config, m.ConfigAge = s.config.Version, s.now.Sub(s.configAnsweredAt)
	}
	m.LeaseEra, m.Lease, m.Holder, m.LeaseIdleFor = s.lease.Era, s.lease.Revision, s.holdsLease(), s.lease.IdleFor
	if m.Holder {
		for id := range s.updates {
			m.Orders = append(m.Orders, id)
		}
	}
	return m
}

func (s *State) onMessageReceived(ev MessageReceived) {
	m := ev.Message
	if m.Host == s.cfg.Host {
		return
	}
	p := s.peerByHost[m.Host]
	if p == nil || m.Boot > p.boot || m.Boot < p.boot && s.now.Sub(p.lastSeenAt) > minSilenceBeforeOlderBoot {
		s.dropPeerLoads(p)
		p = &peer{boot: m.Boot}
		s.peerByHost[m.Host] = p
		s.log("peer heard", "", "peer", m.Host, "boot", m.Boot)
		if s.countOutdatedEngines() > 0 {
			s.broadcast() // A new process can't know when the weights were named.
		}
		s.sendLimits(m.Host)
	}
	if m.Boot != p.boot || m.Number <= p.lastNumber {
		return
	}
	p.lastNumber, p.lastSeenAt, p.heardAt = m.Number, s.now, s.now
	if !m.LoadsUnchanged {
		s.dropPeerLoads(p)
		p.loads, p.loadsAt, p.avoided = m.Loads, s.now, m.Avoided
		if p.loads == nil {
			p.loads = map[string]targetLoad{}
		}
		s.countPeer(m.Host, p)
	}
	s.applySummaries(m)
	s.applyPaces(m.Paces)
	for _, id := range m.Down {
		if t := s.targets[id]; t != nil && !slices.Contains(p.down, id) {
			s.markDownByPeer(t, m.Host)
		}
	}
	p.down = m.Down
	s.applyPeerState(m)
}

// markDownByPeer takes t out of use until it answers a probe, after a peer reported it down. It
// does nothing if t is serving this host's requests or has just answered one.
func (s *State) markDownByPeer(t *target, host string) {
	if t.down || t.ownLoad.Requests > 0 || s.now.Sub(t.lastAnsweredAt) < recentAnswerAge {
		return
	}
	s.setDown(t, true)
	t.nextProbeAt = s.now
	s.log("target down", "", "target", t.ID, "why", "a peer can't reach it", "peer", host)
	s.passOn()
}

// detectSuspension records that the host was suspended if there was no event for long. Messages
// that arrived meanwhile are older than their ages say, as an age is fixed when the message is
// sent.
func (s *State) detectSuspension(now time.Time) {
	if s.now.IsZero() || now.Sub(s.now) < suspensionThreshold {
		return
	}
	s.resumedAt = now
	s.forgetPermits()
	s.log("host was suspended", "", "for", now.Sub(s.now))
}

// messageAgesReliable reports whether the ages in a message can be relied on that was received at
// the given time, and may have been queued since.
func (s *State) messageAgesReliable(receivedAt time.Time) bool {
	return receivedAt.Sub(s.resumedAt) > suspensionBacklogTime
}

// applyPeerState applies the configuration age, named and new weights, leaving targets, lease and
// updates that a peer announced.
func (s *State) applyPeerState(m Message) {
	if m.Config > 0 && m.Config >= s.peerConfig {
		s.peerConfig, s.peerConfigAt = m.Config, s.now
	}
	if s.config != nil && m.Config == s.config.Version && s.messageAgesReliable(s.now) {
		s.confirmConfig(s.now.Add(-m.ConfigAge - maxMessageDelay))
	}
	if s.config != nil && m.Config > s.config.Version && s.now.Sub(s.configRefreshAt) >= configRefreshInterval {
		s.configRefreshAt = s.now
		s.log("peer has a newer configuration", "", "peer", m.Host, "version", m.Config, "in-force", s.config.Version)
		s.emit(RefreshConfig{})
	}
	s.applyAnnouncedVersions(m.Named, m.Host)
	s.applyLeavingTargets(m.Leaving, m.Host)
	s.applyAnnouncedCrashes(m)
	s.applyQuarantine(m)
	s.applyAnnouncedLimits(m)
	s.answerPermitRequests(m)
	s.applyPermitAnswers(m)
	s.applyRolloutNews(m)
	for id, weights := range m.Weights {
		for model, version := range weights {
			if t := s.targets[id]; t != nil {
				s.observeWeights(t, model, version)
			}
		}
	}
	if lease := (Lease{Era: m.LeaseEra, Revision: m.Lease}); s.lease.olderThan(lease) {
		// Unless the sender holds this revision, its holder is unknown. It can't be this host.
		if m.Holder {
			lease.Holder, lease.Boot = m.Host, m.Boot
		}
		s.setLease(lease)
	}
	if m.Holder {
		s.applyUpdating(Updating{Host: m.Host, Era: m.LeaseEra, Lease: m.Lease, Number: m.Number, Engines: m.Orders})
	}
	if m.Updating != nil {
		s.applyUpdating(*m.Updating)
	}
}

// applyUpdating records the targets that the lease holder is updating. If some are new,
// it replies with this host's loads.
func (s *State) applyUpdating(u Updating) {
	if !u.newerThan(s.updating) {
		return
	}
	s.updating, s.updatingAt = u, s.now
	before := maps.Clone(s.updatingUntil)
	clear(s.updatingUntil)
	s.leaseHolderHost = u.Host
	added := false
	for _, id := range u.Engines {
		_, known := before[id]
		added = added || !known
		s.updatingUntil[id] = s.now.Add(peerTimeout)
	}
	if added {
		s.sendLoadToLeaseHolder()
	}
	if added || len(before) != len(u.Engines) {
		s.passOn()
	}
}

// sendLoadToLeaseHolder sends this host's loads to the lease holder.
func (s *State) sendLoadToLeaseHolder() {
	if h, ok := s.hosts[s.leaseHolderHost]; ok && s.leaseHolderHost != s.cfg.Host {
		s.lastHolderLoadAt = s.now
		s.emit(SendMessage{To: []netip.AddrPort{h.Address}, Message: s.newLoadMessage()})
	}
}

// newLoadMessage returns the next message, with this host's loads.
func (s *State) newLoadMessage() Message {
	m := s.newMessage()
	m.Loads = s.ownLoads()
	for id, until := range s.updatingUntil {
		if s.now.Before(until) {
			m.Avoided = append(m.Avoided, id)
		}
	}
	return m
}

// isUpdating reports whether this host or another lease holder is updating t.
func (s *State) isUpdating(t *target) bool {
	return s.updates[t.ID] != nil && s.holdsLease() || s.now.Before(s.updatingUntil[t.ID])
}

func (s *State) addPeerLoads(loads map[string]targetLoad, sign int) {
	for id, load := range loads {
		if t := s.targets[id]; t != nil {
			t.peerLoad.add(load, sign)
		}
	}
}

func (s *State) dropPeerLoads(p *peer) {
	if p == nil {
		return
	}
	if p.counted {
		s.addPeerLoads(p.loads, -1)
	}
	p.loads, p.counted = nil, false
}

// dropSilentPeerLoads removes the loads of silent peers from the targets.
func (s *State) dropSilentPeerLoads() {
	for _, p := range s.peerByHost {
		if p.loads != nil && s.now.Sub(p.heardAt) > peerTimeout {
			s.dropPeerLoads(p)
		}
	}
	s.dropLoadSums(false)
}
