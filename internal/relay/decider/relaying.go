package decider

import (
	"net/netip"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// maxDirectFollowers is how many hosts follow the changes of a store directly; these relay
	// them to the others. A store serves a dozen such calls at once, and calls of hosts that
	// have left end late.
	maxDirectFollowers = 8
	// followersInLargeFleet is the same for large fleets, whose aggregators pass the changes on. One
	// would do; the second covers its failure.
	followersInLargeFleet = 2
	// partsPassOnInterval is the interval at which aggregators pass on the changes of all stores.
	partsPassOnInterval = 250 * time.Millisecond
	// aggregatorSilence is how long an aggregator must not have heard another one, which sends something
	// each second, to pass on its stores too.
	aggregatorSilence = broadcastInterval + broadcastInterval/2
	// relayTimeout is how long a host waits for relayed changes before it calls the store
	// itself.
	relayTimeout = 3 * time.Second
	// relayBatchSize limits the changes in one message.
	relayBatchSize = 400
	// listInterval is the shortest interval between lists of a store whose content isn't known.
	listInterval = 2 * time.Second
)

// PartsRelayed is the message that relays changes of a store to other hosts.
type PartsRelayed struct {
	Store netip.AddrPort
	Boot  int64
	// Age is how old the information was when it was relayed.
	Age time.Duration
	// Lost is true when the store doesn't answer.
	Lost bool
	// Changes are in the order in which the store reported them.
	Changes []descriptor.PartChange
	// Next identifies the change of the store that follows these; 0 if unknown.
	Next int64
	// Held is the number of parts of the store after these changes if Counted is true.
	Held    int
	Counted bool
	// PassedOn is true if an aggregator sent the message to the hosts of its data centre.
	PassedOn bool
}

// isWhole reports whether the changes are the whole content of the store.
func (p PartsRelayed) isWhole() bool {
	held := map[partKey]bool{}
	for _, c := range p.Changes {
		if c.Held {
			held[partKey{c.Salt, c.Part}] = true
		} else {
			delete(held, partKey{c.Salt, c.Part})
		}
	}
	return p.Counted && len(held) == p.Held
}

// RelayParts relays changes of stores to some hosts.
type RelayParts struct {
	To    []netip.AddrPort
	Parts []PartsRelayed
}

func (RelayParts) isEffect() {}

// FollowsStore reports whether this host should call a store itself for its changes.
func (s *State) FollowsStore(store netip.AddrPort) bool {
	if len(s.hosts) > 0 && s.roleRank(store.String()) < s.maxFollowers() {
		return true
	}
	if s.now.Sub(latest(s.startedAt, s.lastRelayedAt[store])) <= relayTimeout {
		return false
	}
	return !s.isLarge() || s.roleRank(store.String()) < maxDirectFollowers
}

func (s *State) maxFollowers() int {
	if s.isLarge() {
		return followersInLargeFleet
	}
	return maxDirectFollowers
}

// relayPartChanges sends the changes of a store to this host's share of the hosts that don't
// follow the store directly or, in large fleets, to all aggregators.
func (s *State) relayPartChanges(st *store, ev PartsChanged) {
	if ev.Whole {
		// The receivers drop what they have recorded if the boot is new, and list the store if they
		// know nothing of it.
		ev.Changes.Changes = nil
	}
	parts := PartsRelayed{Store: ev.Store, Boot: ev.Changes.Boot, Age: s.now.Sub(ev.AsOf)}
	left := ev.Changes.Changes
	for ; len(left) > relayBatchSize; left = left[relayBatchSize:] {
		parts.Changes = left[:relayBatchSize]
		s.relay(parts)
	}
	parts.Changes, parts.Held, parts.Counted = left, len(st.parts), true
	if !ev.Whole {
		parts.Next = ev.Changes.Next
	}
	s.relay(parts)
}

// relay sends what this host learned from a store to the hosts that rely on it.
func (s *State) relay(parts PartsRelayed) {
	to := s.relayReceivers(parts.Store.String())
	if len(to) > 0 {
		s.emit(RelayParts{To: to, Parts: []PartsRelayed{parts}})
	}
	if s.isAggregator() {
		s.queueParts(parts, s.now.Add(-parts.Age))
	}
}

// relayReceivers returns the hosts to which this host relays the changes of a store.
func (s *State) relayReceivers(store string) []netip.AddrPort {
	switch {
	case len(s.hosts) <= maxDirectFollowers:
		return nil
	case s.isLarge() && s.roleRank(store) < maxDirectFollowers:
		return append(s.ownAggregatorAddresses(), s.otherAggregatorAddresses()...)
	case s.isLarge():
		return nil
	}
	live := slices.DeleteFunc(slices.Clone(s.orderFor(store)), func(host string) bool { return !s.isLive(host, peerTimeout) })
	ownRank := slices.Index(live, s.cfg.Host)
	if ownRank < 0 || ownRank >= maxDirectFollowers {
		return nil
	}
	var to []netip.AddrPort
	for i := ownRank + maxDirectFollowers; i < len(live); i += maxDirectFollowers {
		to = append(to, s.hosts[live[i]].Address)
	}
	return to
}

// onPartsRelayed applies changes that another host relayed. If some are lost in transit, engines
// prefill the parts that were added, and fail to find those that were removed.
func (s *State) onPartsRelayed(ev PartsRelayed) {
	st := s.storeByAddress(ev.Store)
	if st == nil {
		return
	}
	s.lastRelayedAt[ev.Store] = s.now
	var asOf time.Time // Zero doesn't confirm the content of the store.
	if s.messageAgesReliable(s.now) {
		asOf = s.now.Add(-ev.Age - maxRelayDelay)
	}
	if !ev.PassedOn && s.isAggregator() {
		s.queueParts(ev, asOf)
	}
	switch {
	case ev.Lost:
		st.alive = false
		return
	case st.boot == 0 && !ev.isWhole():
		s.listUnknownStore(st)
		return
	case st.boot == ev.Boot && ev.Next > 0 && ev.Next <= st.next:
		ev.Changes = nil // Another host has relayed them.
	}
	s.applyPartChanges(st, PartsChanged{Store: ev.Store, AsOf: asOf, Changes: descriptor.PartChanges{Boot: ev.Boot, Next: ev.Next, Changes: ev.Changes}})
}

// listUnknownStore lists a store that other hosts follow and whose content this host doesn't know.
func (s *State) listUnknownStore(st *store) {
	if !st.listedAt.IsZero() && s.now.Sub(st.listedAt) < listInterval {
		return
	}
	st.listedAt = s.now
	s.log("listing store, its content is unknown", "", "store", st.Address)
	s.emit(ListParts{Store: st.Address})
}

// queuedParts is what an aggregator has yet to pass on of a store, as of a time.
type queuedParts struct {
	PartsRelayed
	asOf time.Time
}

// queueParts lets an aggregator pass on the changes of a store with those of others. Two hosts
// relay the same changes.
func (s *State) queueParts(parts PartsRelayed, asOf time.Time) {
	q := s.partsQueue[parts.Store]
	if q == nil || q.Boot != parts.Boot || parts.Lost {
		q = &queuedParts{PartsRelayed: parts}
		q.Changes = nil
		if known := s.passedOn[parts.Store]; known.Boot == parts.Boot {
			q.Next = known.Next
		} else {
			q.Next = 0
		}
		s.partsQueue[parts.Store] = q
	}
	if parts.Next == 0 || parts.Next > q.Next {
		q.Changes = append(q.Changes, parts.Changes...)
		q.Next, q.Held, q.Counted = parts.Next, parts.Held, parts.Counted
	}
	q.asOf = latest(q.asOf, asOf)
}

// passOnParts sends the queued changes of stores to the hosts of this data centre.
func (s *State) passOnParts() {
	if len(s.partsQueue) == 0 || s.now.Sub(s.partsPassedOnAt) < partsPassOnInterval {
		return
	}
	if !s.isAggregator() {
		clear(s.partsQueue)
		return
	}
	s.partsPassedOnAt = s.now
	to := s.addressesOf(s.byDataCentre[s.cfg.DataCentre])
	var batch []PartsRelayed
	changes := 0
	for i, st := range s.stores {
		q := s.partsQueue[st.Address]
		if q == nil {
			continue
		}
		if !s.passesOn(i) {
			s.passedOn[st.Address] = PartsRelayed{Boot: q.Boot, Next: q.Next}
			continue
		}
		parts := q.PartsRelayed
		parts.PassedOn, parts.Age = true, s.now.Sub(q.asOf)
		s.passedOn[st.Address] = PartsRelayed{Boot: parts.Boot, Next: parts.Next}
		if changes += len(parts.Changes); changes > relayBatchSize && len(batch) > 0 {
			s.emit(RelayParts{To: to, Parts: batch})
			batch, changes = nil, len(parts.Changes)
		}
		batch = append(batch, parts)
	}
	if len(batch) > 0 {
		s.emit(RelayParts{To: to, Parts: batch})
	}
	clear(s.partsQueue)
}

// passesOn reports whether this aggregator passes on the changes of the store with an index. The
// aggregators of a data centre divide the stores, but one takes over all if the others fall silent.
func (s *State) passesOn(index int) bool {
	var heard []string
	for _, host := range s.aggregators(s.cfg.DataCentre) {
		if p := s.peerByHost[host]; host == s.cfg.Host || p != nil && s.now.Sub(p.heardAt) < aggregatorSilence {
			heard = append(heard, host)
		}
	}
	return heard[index%len(heard)] == s.cfg.Host
}
