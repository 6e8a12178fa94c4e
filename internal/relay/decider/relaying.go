package decider

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// directFollowers is how many hosts ask a store itself what changed: it answers
	// a dozen such calls at once, and those of hosts that are gone end late. The
	// others hear of changes from these.
	directFollowers = 8
	// relaySilence is how long a host waits for the changes that are passed on
	// before it asks the store itself.
	relaySilence = 3 * time.Second
	// relayBatch bounds the changes of one message.
	relayBatch = 400
)

// PartsTold passes on what changed at a store.
type PartsTold struct {
	Store netip.AddrPort `cbor:"1,keyasint"`
	Boot  int64          `cbor:"2,keyasint"`
	// Age is how long ago this was true when it was passed on.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Lost is true when the store doesn't answer.
	Lost bool `cbor:"5,keyasint,omitempty"`
	// Changes are in the order in which the store told them.
	Changes []descriptor.PartChange `cbor:"3,keyasint,omitempty"`
}

// TellParts passes changes of a store on to some hosts.
type TellParts struct {
	To    []netip.AddrPort
	Parts PartsTold
}

func (TellParts) isEffect() {}

// Follows reports whether this host asks a store itself what changed there.
func (s *State) Follows(store netip.AddrPort) bool {
	if s.rankAmong(store.String(), peerTimeout) < directFollowers {
		return true
	}
	heard, ok := s.relayed[store]
	return !ok || s.now.Sub(heard) > relaySilence
}

// relay passes the changes of a store on to this host's part of the hosts that
// don't ask it themselves.
func (s *State) relay(ev PartsChanged) {
	to := s.receivers(ev.Store.String())
	if len(to) == 0 {
		return
	}
	if ev.Whole {
		// Each host lists a store once for itself; a new boot ends what it believes.
		ev.Changes.Changes = nil
	}
	for first := true; first || len(ev.Changes.Changes) > 0; first = false {
		n := min(relayBatch, len(ev.Changes.Changes))
		s.emit(TellParts{To: to, Parts: PartsTold{Store: ev.Store, Boot: ev.Changes.Boot, Age: s.now.Sub(ev.AsOf), Changes: ev.Changes.Changes[:n]}})
		ev.Changes.Changes = ev.Changes.Changes[n:]
	}
}

// receivers returns the hosts to which this host passes the changes of a store on.
func (s *State) receivers(store string) []netip.AddrPort {
	if len(s.hosts) <= directFollowers {
		return nil
	}
	type ranked struct {
		host string
		rank uint64
	}
	var list []ranked
	for host := range s.hosts {
		if p := s.heard[host]; host == s.cfg.Host || p != nil && s.now.Sub(p.at) < peerTimeout {
			list = append(list, ranked{host, xxh3.HashString(host + "|" + store)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	own := slices.IndexFunc(list, func(r ranked) bool { return r.host == s.cfg.Host })
	if own >= directFollowers {
		return nil
	}
	var to []netip.AddrPort
	for i := own + directFollowers; i < len(list); i += directFollowers {
		to = append(to, s.hosts[list[i].host].Address)
	}
	return to
}

// onPartsTold takes in changes that another host passed on. What is lost on the
// way is read anew, or found missing, by the engines.
func (s *State) onPartsTold(ev PartsTold) {
	st := s.storeAt(ev.Store)
	if st == nil {
		return
	}
	s.relayed[ev.Store] = s.now
	if ev.Lost {
		st.alive = false
		return
	}
	if st.boot == 0 {
		return // The whole list comes first.
	}
	var asOf time.Time // Unknown: what is believed isn't confirmed.
	if s.agesKnown() {
		asOf = s.now.Add(-ev.Age - relayMargin)
	}
	s.takeParts(st, PartsChanged{Store: ev.Store, AsOf: asOf, Changes: descriptor.PartChanges{Boot: ev.Boot, Changes: ev.Changes}})
}
