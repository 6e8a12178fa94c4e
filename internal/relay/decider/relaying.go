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
	// relayTimeout is how long a host waits for relayed changes before it calls the store
	// itself.
	relayTimeout = 3 * time.Second
	// relayBatchSize limits the changes in one message.
	relayBatchSize = 400
)

// PartsRelayed is the message that relays changes of a store to other hosts.
type PartsRelayed struct {
	Store netip.AddrPort `cbor:"1,keyasint"`
	Boot  int64          `cbor:"2,keyasint"`
	// Age is how old the information was when it was relayed.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Lost is true when the store doesn't answer.
	Lost bool `cbor:"5,keyasint,omitempty"`
	// Changes are in the order in which the store reported them.
	Changes []descriptor.PartChange `cbor:"3,keyasint,omitempty"`
}

// RelayParts relays changes of a store to some hosts.
type RelayParts struct {
	To    []netip.AddrPort
	Parts PartsRelayed
}

func (RelayParts) isEffect() {}

// FollowsStore reports whether this host should call a store itself for its changes.
func (s *State) FollowsStore(store netip.AddrPort) bool {
	if s.rankWithin(store.String(), peerTimeout) < maxDirectFollowers {
		return true
	}
	last, ok := s.lastRelayedAt[store]
	return !ok || s.now.Sub(last) > relayTimeout
}

// relayPartChanges sends the changes of a store to this host's share of the hosts that don't
// follow the store directly.
func (s *State) relayPartChanges(ev PartsChanged) {
	to := s.relayReceivers(ev.Store.String())
	if len(to) == 0 {
		return
	}
	if ev.Whole {
		// Each host lists a store once by itself. The boot alone suffices: if it is new, the
		// receivers drop what they have recorded.
		ev.Changes.Changes = nil
	}
	for first := true; first || len(ev.Changes.Changes) > 0; first = false {
		n := min(relayBatchSize, len(ev.Changes.Changes))
		s.emit(RelayParts{To: to, Parts: PartsRelayed{Store: ev.Store, Boot: ev.Changes.Boot, Age: s.now.Sub(ev.AsOf), Changes: ev.Changes.Changes[:n]}})
		ev.Changes.Changes = ev.Changes.Changes[n:]
	}
}

// relayReceivers returns the hosts to which this host relays the changes of a store.
func (s *State) relayReceivers(store string) []netip.AddrPort {
	if len(s.hosts) <= maxDirectFollowers {
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
	if ev.Lost {
		st.alive = false
		return
	}
	if st.boot == 0 {
		return // Wait for the complete list.
	}
	var asOf time.Time // Zero doesn't confirm the content of the store.
	if s.messageAgesReliable(s.now) {
		asOf = s.now.Add(-ev.Age - maxRelayDelay)
	}
	s.applyPartChanges(st, PartsChanged{Store: ev.Store, AsOf: asOf, Changes: descriptor.PartChanges{Boot: ev.Boot, Changes: ev.Changes}})
}
