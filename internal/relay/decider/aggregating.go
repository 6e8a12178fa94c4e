package decider

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxDirectPeers is the number of hosts up to which all send their state to all. In larger
	// fleets they send it to aggregators.
	maxDirectPeers = partitionSize + partitionSize/2
	// aggregatorsPerDataCentre is how many hosts of each data centre pass on the state of the
	// others there. One would do; the second covers its failure.
	aggregatorsPerDataCentre = 2
	// silentAfter is how long an aggregator must not have heard a host to call it silent: two
	// messages and their delay.
	silentAfter = 2*broadcastInterval + maxMessageDelay
	// summaryLag is how long ago a host that isn't silent was heard at the latest, on average.
	summaryLag = silentAfter / 2
	// maxSummaryLoads is how many loads of single targets are in one message, each of some 30 bytes.
	maxSummaryLoads = 1000
	// holderLoadInterval is the interval at which hosts repeat their loads to the lease holder while
	// it updates engines.
	holderLoadInterval = 500 * time.Millisecond
)

// DataCentreSummary is what an aggregator says of the hosts of one data centre.
type DataCentreSummary struct {
	DataCentre string `cbor:"1,keyasint"`
	// Age is the time since an aggregator of the data centre made the summary.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Silent lists the registered hosts that the aggregator doesn't hear.
	Silent []string `cbor:"3,keyasint,omitempty"`
	// Loads is the sum of the hosts' loads by target, for each partition. Summaries for other data
	// centres have a single sum, of plain targets only, and the loads of engines by service: those of
	// thousands of engines would not fit into a message.
	Loads       []map[string]targetLoad `cbor:"4,keyasint,omitempty"`
	EngineLoads map[string]targetLoad   `cbor:"5,keyasint,omitempty"`
}

// Updating states which engines the lease holder is updating.
type Updating struct {
	Host string `cbor:"1,keyasint"`
	// Era and Lease are the revision of the lease at the holder, Number that of its message. They
	// order what a holder and its successors announce.
	Era    int64  `cbor:"2,keyasint,omitempty"`
	Lease  int64  `cbor:"3,keyasint"`
	Number uint64 `cbor:"4,keyasint"`
	// Engines are the IDs of the engines.
	Engines []string `cbor:"5,keyasint,omitempty"`
}

// newerThan reports whether u was announced after o. Each renewal raises the revision of the lease.
func (u Updating) newerThan(o Updating) bool {
	return cmp.Or(cmp.Compare(u.Era, o.Era), cmp.Compare(u.Lease, o.Lease), cmp.Compare(u.Number, o.Number)) > 0
}

// sumKey identifies the hosts whose loads are summed: those of one partition of a data centre.
type sumKey struct {
	dataCentre string
	partition  int
}

// loadSum is the sum of the loads of several hosts at a time.
type loadSum struct {
	loads map[string]targetLoad
	// engines are the loads of engines by service, of hosts that send no loads of single engines.
	engines map[string]targetLoad
	madeAt  time.Time
}

// aggregation replaces the exchange of state between all hosts of a large fleet, of which each
// would spend most of its processor time on the messages of the others. A host sends its state to
// the aggregators of its data centre, and its loads to its neighbours. Aggregators exchange summaries
// of their data centres and send them to the hosts there.
type aggregation struct {
	// sums holds the loads of the hosts that don't send them to this host.
	sums map[sumKey]loadSum
	// summaries holds the newest summary of each other data centre, at its aggregators.
	summaries map[string]receivedSummary
	// informed are the aggregators of this data centre at the last tick.
	informed []string
	// updating is what the lease holder announced last, received at updatingAt.
	updating   Updating
	updatingAt time.Time
	// lastHolderLoadAt is when this host last sent its loads to the lease holder.
	lastHolderLoadAt time.Time
}

// receivedSummary is a summary with the time at which it was made.
type receivedSummary struct {
	DataCentreSummary
	madeAt time.Time
}

func newAggregation() aggregation {
	return aggregation{sums: map[sumKey]loadSum{}, summaries: map[string]receivedSummary{}}
}

// isLarge reports whether there are too many hosts for all to send their state to all.
func (s *State) isLarge() bool { return len(s.hosts) > maxDirectPeers }

// aggregators returns the aggregators of a data centre.
func (s *State) aggregators(dataCentre string) []string {
	return s.firstHosts("aggregator", dataCentre, aggregatorsPerDataCentre)
}

func (s *State) isAggregator() bool {
	return s.isLarge() && slices.Contains(s.aggregators(s.cfg.DataCentre), s.cfg.Host)
}

// addressesOf returns the addresses of hosts without this one.
func (s *State) addressesOf(hosts []string) []netip.AddrPort {
	var to []netip.AddrPort
	for _, host := range hosts {
		if host != s.cfg.Host {
			to = append(to, s.hosts[host].Address)
		}
	}
	return to
}

// ownAggregatorAddresses returns the addresses of the aggregators of this data centre.
func (s *State) ownAggregatorAddresses() []netip.AddrPort {
	return s.addressesOf(s.aggregators(s.cfg.DataCentre))
}

// otherAggregatorAddresses returns the addresses of the aggregators of all other data centres. Of one
// from which nothing is heard, as after a partition, it returns that of another host each second.
func (s *State) otherAggregatorAddresses() []netip.AddrPort {
	var to []netip.AddrPort
	for _, dc := range slices.Sorted(maps.Keys(s.byDataCentre)) {
		if dc == s.cfg.DataCentre {
			continue
		}
		hosts := s.aggregators(dc)
		if len(hosts) == 0 {
			all := s.byDataCentre[dc]
			hosts = []string{all[s.now.Unix()%int64(len(all))]}
		}
		to = append(to, s.addressesOf(hosts)...)
	}
	return to
}

// forwardSummary sends the message of an aggregator of another data centre, which doesn't know those
// of this one, to them.
func (s *State) forwardSummary(m Message) {
	if len(m.DataCentres) == 0 || s.hosts[m.Host].DataCentre == s.cfg.DataCentre || s.isAggregator() {
		return
	}
	s.emit(SendMessage{To: s.ownAggregatorAddresses(), Message: m})
}

// expectListedHosts lets listed hosts that were never heard count as live for a while.
func (s *State) expectListedHosts() {
	for host := range s.hosts {
		if s.peerByHost[host] == nil && host != s.cfg.Host {
			s.peerByHost[host] = &peer{lastSeenAt: s.now}
		}
	}
}

// passOn lets an aggregator pass on what it has just learned from another host.
func (s *State) passOn() {
	if s.isAggregator() {
		s.broadcastPending = true
	}
}

// noticeNewAggregators sends this host's state at once when its aggregators have changed.
func (s *State) noticeNewAggregators() {
	if !s.isLarge() {
		return
	}
	if now := s.aggregators(s.cfg.DataCentre); !slices.Equal(now, s.informed) {
		s.informed = now
		s.lastLoadBroadcastAt = time.Time{}
		s.log("aggregators changed", "", "aggregators", now)
	}
}

// broadcastInLargeFleet sends m, with this host's loads if regular is true, to the aggregators or, as
// an aggregator, to the hosts of its data centre and the aggregators of others. The lease holder
// informs all aggregators itself.
func (s *State) broadcastInLargeFleet(m Message, regular bool) {
	if !s.isAggregator() {
		to := s.ownAggregatorAddresses()
		if m.Holder {
			to = append(to, s.otherAggregatorAddresses()...)
		}
		s.emit(SendMessage{To: to, Message: m})
		return
	}
	if !m.Holder && s.updating.Host != "" && s.now.Sub(s.updatingAt) < peerTimeout {
		updating := s.updating
		m.Updating = &updating
	}
	toOthers := m
	members := s.addressesOf(s.byDataCentre[s.cfg.DataCentre])
	if regular {
		own := s.summariseOwn()
		parts := splitLoads(own.Loads)
		for _, loads := range parts[1:] {
			s.messageNumber++
			more := Message{Host: m.Host, Boot: m.Boot, Number: s.messageNumber, LoadsUnchanged: true, Down: m.Down, DataCentres: []DataCentreSummary{own}}
			more.DataCentres[0].Loads = loads
			s.emit(SendMessage{To: members, Message: more})
		}
		s.messageNumber++
		m.Number, toOthers.Number = s.messageNumber, s.messageNumber
		first := own
		first.Loads = parts[0]
		m.DataCentres = append(s.knownSummaries(), first)
		own.EngineLoads = map[string]targetLoad{}
		own.Loads = []map[string]targetLoad{s.sumForOthers(own.Loads, own.EngineLoads)}
		toOthers.DataCentres = []DataCentreSummary{own}
	}
	s.emit(SendMessage{To: members, Message: m})
	s.emit(SendMessage{To: s.otherAggregatorAddresses(), Message: toOthers})
}

// splitLoads divides the loads of partitions so that each part fits into a message. A part is empty for
// the partitions of others.
func splitLoads(loads []map[string]targetLoad) [][]map[string]targetLoad {
	var parts [][]map[string]targetLoad
	left := 0
	for i, partition := range loads {
		if len(parts) == 0 || len(partition) > left {
			parts = append(parts, make([]map[string]targetLoad, len(loads)))
			left = maxSummaryLoads
		}
		parts[len(parts)-1][i] = partition
		left -= len(partition)
	}
	return parts
}

// summariseOwn returns the summary of this data centre by what its hosts sent to this one, and
// applies its loads here.
func (s *State) summariseOwn() DataCentreSummary {
	own := DataCentreSummary{DataCentre: s.cfg.DataCentre, Loads: make([]map[string]targetLoad, s.partitions)}
	for i := range own.Loads {
		own.Loads[i] = map[string]targetLoad{}
	}
	for _, host := range s.byDataCentre[s.cfg.DataCentre] {
		sum := own.Loads[s.partitionOf[host]]
		if host == s.cfg.Host {
			addLoads(sum, s.ownLoads())
			continue
		}
		// What other aggregators say doesn't count, or they would keep a host alive together. All hosts had
		// no time to be heard before this process started.
		heardAt := s.startedAt
		p := s.peerByHost[host]
		if p != nil {
			heardAt = latest(heardAt, p.heardAt)
		}
		switch {
		case s.now.Sub(heardAt) >= silentAfter:
			own.Silent = append(own.Silent, host)
		case p != nil:
			addLoads(sum, p.loads)
		}
	}
	s.setPartitionLoads(own, s.now)
	return own
}

// knownSummaries returns the summaries of the other data centres that are still valid.
func (s *State) knownSummaries() []DataCentreSummary {
	var known []DataCentreSummary
	for _, dc := range slices.Sorted(maps.Keys(s.summaries)) {
		sum := s.summaries[dc]
		sum.Age = s.now.Sub(sum.madeAt)
		if sum.Age >= peerTimeout {
			delete(s.summaries, dc)
			continue
		}
		known = append(known, sum.DataCentreSummary)
	}
	return known
}

func addLoads(sum, loads map[string]targetLoad) {
	for id, load := range loads {
		l := sum[id]
		l.add(load, 1)
		sum[id] = l
	}
}

// sumForOthers returns the sum of loads at plain targets, and adds those of engines to their services.
func (s *State) sumForOthers(list []map[string]targetLoad, engines map[string]targetLoad) map[string]targetLoad {
	plain := map[string]targetLoad{}
	for _, loads := range list {
		for id, load := range loads {
			t := s.targets[id]
			switch {
			case t == nil:
			case t.service != nil && t.service.Engine != nil:
				addLoads(engines, map[string]targetLoad{t.Service: load})
			default:
				addLoads(plain, map[string]targetLoad{id: load})
			}
		}
	}
	return plain
}

// applySummaries records which hosts are live and the loads of distant ones. Several aggregators pass
// on each summary, so older ones follow newer ones.
func (s *State) applySummaries(m Message) {
	if !s.isLarge() {
		return
	}
	s.forwardSummary(m)
	for _, sum := range m.DataCentres {
		silent := map[string]bool{}
		for _, host := range sum.Silent {
			silent[host] = true
		}
		madeAt := s.now.Add(-sum.Age)
		seenAt := madeAt.Add(-summaryLag)
		for _, host := range s.byDataCentre[sum.DataCentre] {
			if p := s.peerByHost[host]; p != nil && !silent[host] {
				p.lastSeenAt = latest(p.lastSeenAt, seenAt)
			}
		}
		if sum.DataCentre == s.cfg.DataCentre {
			s.setPartitionLoads(sum, madeAt)
			continue
		}
		if madeAt.After(s.summaries[sum.DataCentre].madeAt) && s.isAggregator() {
			s.summaries[sum.DataCentre] = receivedSummary{sum, madeAt}
		}
		if len(sum.Loads) > 0 {
			s.setLoadSum(sumKey{dataCentre: sum.DataCentre}, loadSum{loads: sum.Loads[0], engines: sum.EngineLoads, madeAt: madeAt})
		}
	}
}

// setPartitionLoads records the loads of the other partitions of this data centre.
func (s *State) setPartitionLoads(own DataCentreSummary, madeAt time.Time) {
	for i, loads := range own.Loads {
		if i != s.ownPartition && loads != nil {
			s.setLoadSum(sumKey{own.DataCentre, i}, loadSum{loads: loads, madeAt: madeAt})
		}
	}
}

// setLoadSum replaces an older sum.
func (s *State) setLoadSum(key sumKey, sum loadSum) {
	before := s.sums[key]
	if !sum.madeAt.After(before.madeAt) {
		return
	}
	s.addPeerLoads(before.loads, -1)
	s.sums[key] = sum
	s.addPeerLoads(sum.loads, 1)
}

// meanUnassignedLoad returns the mean load of the engines of a service from hosts that send no loads of
// single engines.
func (s *State) meanUnassignedLoad(service string) targetLoad {
	var sum targetLoad
	for _, known := range s.sums {
		sum.add(known.engines[service], 1)
	}
	return sum.dividedBy(max(1, len(s.byService[service])))
}

// dropLoadSums removes the sums that weren't renewed, or all of them.
func (s *State) dropLoadSums(all bool) {
	for key, sum := range s.sums {
		if all || s.now.Sub(sum.madeAt) > peerTimeout {
			s.addPeerLoads(sum.loads, -1)
			delete(s.sums, key)
		}
	}
}

// recountPeers removes the loads that hosts and sums counted for under an earlier list of hosts.
func (s *State) recountPeers() {
	s.dropLoadSums(true)
	for host, p := range s.peerByHost {
		s.countPeer(host, p)
	}
}

// countPeer adds the loads of p to those of the targets if p is to send them to this host, and
// removes them if it isn't.
func (s *State) countPeer(host string, p *peer) {
	_, isNeighbour := s.neighbourHosts[host]
	counted := p.loads != nil && (!s.isLarge() || isNeighbour)
	switch {
	case counted && !p.counted:
		s.addPeerLoads(p.loads, 1)
	case !counted && p.counted:
		s.addPeerLoads(p.loads, -1)
	}
	p.counted = counted
}

// addKnownPeerLoad adds what peers have sent of their loads to a target that this host didn't know.
func (s *State) addKnownPeerLoad(t *target) {
	for _, p := range s.peerByHost {
		if p.counted {
			t.peerLoad.add(p.loads[t.ID], 1)
		}
	}
	for _, sum := range s.sums {
		t.peerLoad.add(sum.loads[t.ID], 1)
	}
}

// sendLoadWhileUpdating repeats this host's loads to the lease holder while it updates engines, as it
// waits for each host to send no more requests to these.
func (s *State) sendLoadWhileUpdating() {
	if !s.isLarge() || len(s.updatingUntil) == 0 || s.holdsLease() || s.now.Sub(s.lastHolderLoadAt) < holderLoadInterval {
		return
	}
	s.sendLoadToLeaseHolder()
}

// pinnedAt returns the number of requests of all hosts at t that couldn't resume elsewhere, by the
// loads that each sent to this host.
func (s *State) pinnedAt(t *target) int {
	n := t.ownLoad.Pinned
	for _, p := range s.peerByHost {
		n += p.loads[t.ID].Pinned
	}
	return n
}
