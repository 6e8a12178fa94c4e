package decider

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// neighbours is about how many hosts tell each other of each request.
const neighbours = 8

// neighbourhood divides large deployments. It answers the load pattern in which more
// hosts choose among the same targets than can tell each other of each choice: the
// hosts and engines of a region are divided evenly, each part with some of every data
// centre, so that prompts can go near the stores that hold their parts. A host prefers
// the engines of its own part, and others take what that part can't.
type neighbourhood struct {
	// mates are the peers of the same part, everyone are all peers.
	mates, everyone []netip.AddrPort
	// distant are the targets of other parts.
	distant map[string]bool
}

// divide finds this host's part. All hosts with the same lists find the same parts.
func (s *State) divide() {
	s.mates, s.everyone, s.distant = nil, nil, nil
	places := map[string]string{}
	for host, h := range s.hosts {
		if s.sameRegion(h.DataCentre) {
			places[host] = h.DataCentre
		}
		if host != s.cfg.Host {
			s.everyone = append(s.everyone, h.Address)
		}
	}
	if len(s.hosts) <= neighbours+neighbours/2 {
		s.mates = s.everyone
		return
	}
	local := byPlace(places)
	parts := max(1, (len(local)+neighbours/2)/neighbours)
	own := slices.Index(local, s.cfg.Host) % parts
	for i, host := range local {
		if i%parts == own && host != s.cfg.Host {
			s.mates = append(s.mates, s.hosts[host].Address)
		}
	}
	s.divideTargets(parts, own)
}

func (s *State) sameRegion(dataCentre string) bool {
	return s.cfg.Regions[dataCentre] == s.cfg.Regions[s.cfg.DataCentre]
}

// divideTargets finds the engines outside this host's part. Plain targets are few
// and fast, and belong to all parts.
func (s *State) divideTargets(parts, own int) {
	s.distant = map[string]bool{}
	for _, list := range s.byService {
		places := map[string]string{}
		for _, t := range list {
			if t.service == nil || t.service.Engine == nil {
				continue
			}
			if s.sameRegion(t.DataCentre) {
				places[t.ID] = t.DataCentre
			} else {
				s.distant[t.ID] = true
			}
		}
		for i, id := range byPlace(places) {
			if i%parts != own {
				s.distant[id] = true
			}
		}
	}
}

// byPlace sorts names by their data centres, and within these in an order that
// doesn't follow their numbering.
func byPlace(places map[string]string) []string {
	return slices.SortedFunc(maps.Keys(places), func(a, b string) int {
		return cmp.Or(cmp.Compare(places[a], places[b]), cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
}
