package decider

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// tellEvery is the pause between messages without news.
	tellEvery = 250 * time.Millisecond
	// tellRate is how many messages a second a host gets from all peers at most:
	// one costs about 20 us of a core.
	tellRate = 400
	// tellAllEvery is the pause between messages to hosts that aren't near, and
	// alarmEvery the least pause when there is news for all. alarmRate is how many
	// such messages a second a host sends at most: an eighth of the smallest link, at
	// 250 bytes each.
	tellAllEvery = time.Second
	alarmEvery   = 30 * time.Millisecond
	alarmRate    = 600
	// weightsToldFor is how long the holder of orders tells of an engine's new
	// weights: several messages. Who misses these learns of them from the engine or
	// the list of targets.
	weightsToldFor = 700 * time.Millisecond
	// peerTimeout is how long a silent peer's work counts.
	peerTimeout = 3500 * time.Millisecond
	// peerForget is how long a silent host counts when limits are shared.
	peerForget = 30 * time.Second
	// rebootSilence is how long a peer must have been silent before a process with
	// a lower boot replaces it: its time of day may have been put back.
	rebootSilence = 300 * time.Millisecond
	// doubtAfter is how long a host trusts its own eyes more than a peer's.
	doubtAfter = 300 * time.Millisecond
	// messageDelay is added to the age of what peers tell.
	messageDelay = 200 * time.Millisecond
	// suspendedAfter is the pause between two events that shows a suspended host:
	// ten ticks.
	suspendedAfter = 500 * time.Millisecond
	// backlogTime is how long after a suspension messages may have waited for this
	// host: far longer than it takes to read a full receive buffer.
	backlogTime = time.Second
)

// Message is what a host tells its peers.
type Message struct {
	Host string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
	// Number orders the messages of one process.
	Number uint64 `cbor:"3,keyasint"`
	// Work is what the host has on its way to targets. Messages between the regular
	// ones leave it out, which WorkKept says.
	Work     map[string]work `cbor:"4,keyasint,omitempty"`
	WorkKept bool            `cbor:"12,keyasint,omitempty"`
	// Down lists the targets that the host finds down.
	Down []string `cbor:"5,keyasint,omitempty"`
	// Orders lists the targets that the holder of orders has under order.
	Orders []string `cbor:"6,keyasint,omitempty"`
	// Avoids lists the targets that the sender uses no more as they are under order.
	Avoids []string `cbor:"13,keyasint,omitempty"`
	// Weights are the versions that targets got lately, with their models.
	Weights map[string]map[string]int `cbor:"7,keyasint,omitempty"`
	// Config is the version in force, and ConfigAge how long ago it was confirmed.
	Config    int64         `cbor:"8,keyasint,omitempty"`
	ConfigAge time.Duration `cbor:"9,keyasint,omitempty"`
	// Lease is the newest revision of the lease of orders; Holder is true if the sender holds it.
	Lease  int64 `cbor:"10,keyasint,omitempty"`
	Holder bool  `cbor:"11,keyasint,omitempty"`
}

// peers holds what other hosts told.
type peers struct {
	hosts map[string]descriptor.Host
	neighbourhood
	heard map[string]*peer
	// told counts this host's messages; lastTell is when the last was sent, and
	// unsaid is true when there are news since.
	told     uint64
	lastTell time.Time
	unsaid   bool
	// lastTellAll and alarm are the same for messages to all peers; lastWorkAll is
	// when these last told this host's work.
	lastTellAll time.Time
	lastWorkAll time.Time
	alarm       bool
	// ordered are targets that the holder of orders has under order, until when.
	ordered map[string]time.Time
	orderer string
	// woke is when this host last went on after a suspension.
	woke time.Time
}

type peer struct {
	boot   int64
	number uint64
	at     time.Time
	work   map[string]work
	// workAt is when the peer last told its work, and avoids are the targets under
	// order at which that grew no more.
	workAt time.Time
	avoids []string
	// down are the targets that the peer last said to be down.
	down []string
}

func newPeers() peers {
	return peers{hosts: map[string]descriptor.Host{}, heard: map[string]*peer{}, ordered: map[string]time.Time{}}
}

func (s *State) onHostsListed(ev HostsListed) {
	s.hosts = ev.Hosts
	s.divide()
	s.note("hosts listed", "", "hosts", len(ev.Hosts))
}

// hostCount is the number of hosts among which limits are shared: all that were
// heard lately, and those that are registered but were never heard.
func (s *State) hostCount() int {
	n := 1
	for host := range s.hosts {
		if p := s.heard[host]; host != s.cfg.Host && (p == nil || s.now.Sub(p.at) < peerForget) {
			n++
		}
	}
	return n
}

// tellPeers tells peers now and then without news.
func (s *State) tellPeers() {
	s.forgetSilent()
	if s.unsaid || s.now.Sub(s.lastTell) >= tellEvery {
		s.tellNews()
	}
	if s.alarm || s.now.Sub(s.lastTellAll) >= tellAllEvery {
		s.tellAll()
	}
}

// tellNews tells the near peers of work that was sent or ended. It answers the load
// pattern in which all hosts choose the target that was free at their last
// message: each choice is known to the others within milliseconds.
func (s *State) tellNews() {
	s.unsaid = true
	if s.now.Sub(s.lastTell) < time.Second*time.Duration(len(s.mates)+1)/tellRate {
		return // A later event or tick tells it.
	}
	s.unsaid, s.lastTell = false, s.now
	s.emit(Tell{To: s.mates, Message: s.workMessage()})
}

// tellAll tells all peers. It answers the load pattern in which many engines change
// their weights or go down at once: what is told then must not fill the link that
// answers take too, so it is only what changes, and not more often than
// the number of peers allows.
func (s *State) tellAll() {
	s.alarm = true
	pause := max(alarmEvery, time.Second*time.Duration(len(s.everyone))/alarmRate)
	if s.now.Sub(s.lastTellAll) < pause {
		return // A later tick tells it.
	}
	s.alarm, s.lastTellAll = false, s.now
	var m Message
	if s.now.Sub(s.lastWorkAll) < tellAllEvery {
		m = s.message()
		m.WorkKept = true
	} else {
		m = s.workMessage()
		s.lastWorkAll = s.now
	}
	if s.inOffice() {
		m.Weights = s.newWeights()
	}
	s.emit(Tell{To: s.everyone, Message: m})
}

// ownWork returns what this host has on its way to targets.
func (s *State) ownWork() map[string]work {
	list := map[string]work{}
	for id, t := range s.targets {
		if t.own != (work{}) {
			list[id] = t.own
		}
	}
	return list
}

// newWeights returns the versions that targets got lately.
func (s *State) newWeights() map[string]map[string]int {
	list := map[string]map[string]int{}
	for id, t := range s.targets {
		if s.now.Sub(t.weightsAt) < weightsToldFor {
			list[id] = t.Weights
		}
	}
	return list
}

// rankFor is this host's place among the hosts that were heard lately, in an order
// that differs from one name to another.
func (s *State) rankFor(name string) int { return s.rankAmong(name, peerForget) }

// rankAmong is the same among the hosts that were heard within a time.
func (s *State) rankAmong(name string, within time.Duration) int {
	own := xxh3.HashString(s.cfg.Host + "|" + name)
	n := 0
	for host := range s.hosts {
		if p := s.heard[host]; host != s.cfg.Host && p != nil && s.now.Sub(p.at) < within && xxh3.HashString(host+"|"+name) < own {
			n++
		}
	}
	return n
}

// message returns what each message tells.
func (s *State) message() Message {
	s.told++
	m := Message{Host: s.cfg.Host, Boot: s.cfg.Boot, Number: s.told}
	for id, t := range s.targets {
		if t.down {
			m.Down = append(m.Down, id)
		}
	}
	if s.config != nil {
		m.Config, m.ConfigAge = s.config.Version, s.now.Sub(s.confirmed)
	}
	m.Lease, m.Holder = s.lease.Revision, s.inOffice()
	if m.Holder {
		for id := range s.jobs {
			m.Orders = append(m.Orders, id)
		}
	}
	return m
}

func (s *State) onPeerSaid(ev PeerSaid) {
	m := ev.Message
	if m.Host == s.cfg.Host {
		return
	}
	p := s.heard[m.Host]
	if p == nil || m.Boot > p.boot || m.Boot < p.boot && s.now.Sub(p.at) > rebootSilence {
		s.dropWork(p)
		p = &peer{boot: m.Boot}
		s.heard[m.Host] = p
		s.note("peer heard", "", "peer", m.Host, "boot", m.Boot)
	}
	if m.Boot != p.boot || m.Number <= p.number {
		return
	}
	p.number, p.at = m.Number, s.now
	if !m.WorkKept {
		s.dropWork(p)
		p.work, p.workAt, p.avoids = m.Work, s.now, m.Avoids
		s.addWork(p.work, 1)
	}
	for _, id := range m.Down {
		if t := s.targets[id]; t != nil && !slices.Contains(p.down, id) {
			s.doubt(t, m.Host)
		}
	}
	p.down = m.Down
	s.takeOverBeliefs(m)
}

// doubt lets this host see for itself before it uses t again that a peer found
// down, unless it has just seen t answer.
func (s *State) doubt(t *target, host string) {
	if t.down || t.own.Requests > 0 || s.now.Sub(t.answered) < doubtAfter {
		return
	}
	t.down = true
	t.probeAt = s.now
	s.note("target down", "", "target", t.ID, "why", "a peer can't reach it", "peer", host)
}

// noticeSuspension notes when the host didn't run for a while. Messages that
// waited for it are older than they say: their ages count from when they were sent.
func (s *State) noticeSuspension(now time.Time) {
	if s.now.IsZero() || now.Sub(s.now) < suspendedAfter {
		return
	}
	s.woke = now
	s.note("host was suspended", "", "for", now.Sub(s.now))
}

// agesKnown reports whether the ages that messages tell can be believed.
func (s *State) agesKnown() bool { return s.now.Sub(s.woke) > backlogTime }

func (s *State) takeOverBeliefs(m Message) {
	if s.config != nil && m.Config == s.config.Version && s.agesKnown() {
		s.confirm(s.now.Add(-m.ConfigAge - messageDelay))
	}
	for id, weights := range m.Weights {
		for model, version := range weights {
			if t := s.targets[id]; t != nil {
				s.learnWeights(t, model, version)
			}
		}
	}
	if m.Lease > s.lease.Revision {
		// Who isn't told to hold the lease at this revision doesn't hold it, this host included.
		s.lease, s.leaseSeen = Lease{Revision: m.Lease}, s.now
		if m.Holder {
			s.lease.Holder, s.lease.Boot = m.Host, m.Boot
		}
	}
	if m.Holder {
		s.takeOrders(m)
	}
}

// takeOrders takes in which targets are under order, and answers with what this host
// still has there.
func (s *State) takeOrders(m Message) {
	before := maps.Clone(s.ordered)
	clear(s.ordered)
	s.orderer = m.Host
	unheard := false
	for _, id := range m.Orders {
		_, known := before[id]
		unheard = unheard || !known
		s.ordered[id] = s.now.Add(peerTimeout)
	}
	if unheard {
		s.tellOrderer()
	}
}

// tellOrderer tells the holder of orders what this host has on its way to targets.
func (s *State) tellOrderer() {
	if h, ok := s.hosts[s.orderer]; ok {
		s.emit(Tell{To: []netip.AddrPort{h.Address}, Message: s.workMessage()})
	}
}

// workMessage returns a message with this host's work.
func (s *State) workMessage() Message {
	m := s.message()
	m.Work = s.ownWork()
	for id, until := range s.ordered {
		if s.now.Before(until) {
			m.Avoids = append(m.Avoids, id)
		}
	}
	return m
}

// underOrder reports whether t is under order by this host or by the holder.
func (s *State) underOrder(t *target) bool {
	return s.jobs[t.ID] != nil && s.inOffice() || s.now.Before(s.ordered[t.ID])
}

func (s *State) addWork(list map[string]work, sign int) {
	for id, w := range list {
		if t := s.targets[id]; t != nil {
			t.others.add(w, sign)
		}
	}
}

func (s *State) dropWork(p *peer) {
	if p != nil {
		s.addWork(p.work, -1)
		p.work = nil
	}
}

// forgetSilent takes the work of silent peers off the targets.
func (s *State) forgetSilent() {
	for _, p := range s.heard {
		if p.work != nil && s.now.Sub(p.at) > peerTimeout {
			s.dropWork(p)
		}
	}
}
