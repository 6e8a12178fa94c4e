package decider

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// neighbours is about how many hosts tell each other of each request.
const neighbours = 8

// neighbourhood divides large deployments. It answers the load pattern in which more
// hosts choose among the same targets than can tell each other of each choice: the
// hosts and targets of a data centre are divided evenly, a host prefers the targets
// of its own part, and others take what that part can't.
type neighbourhood struct {
	// mates are the peers of the same part, everyone are all peers.
	mates, everyone []netip.AddrPort
	// distant are the targets of other parts.
	distant map[string]bool
}

// divide finds this host's part. All hosts with the same lists find the same parts.
func (s *State) divide() {
	s.mates, s.everyone, s.distant = nil, nil, nil
	names := map[string][]string{}
	for host, h := range s.hosts {
		names[h.DataCentre] = append(names[h.DataCentre], host)
		if host != s.cfg.Host {
			s.everyone = append(s.everyone, h.Address)
		}
	}
	if len(s.hosts) <= neighbours+neighbours/2 {
		s.mates = s.everyone
		return
	}
	local := byHash(names[s.cfg.DataCentre])
	parts := max(1, (len(local)+neighbours/2)/neighbours)
	own := slices.Index(local, s.cfg.Host) % parts
	for i, host := range local {
		if i%parts == own && host != s.cfg.Host {
			s.mates = append(s.mates, s.hosts[host].Address)
		}
	}
	s.divideTargets(parts, own)
}

// divideTargets finds the engines outside this host's part. Plain targets are few
// and fast, and belong to all parts.
func (s *State) divideTargets(parts, own int) {
	s.distant = map[string]bool{}
	for _, list := range s.byService {
		var ids []string
		for _, t := range list {
			if t.service == nil || t.service.Engine == nil {
				continue
			}
			if t.DataCentre == s.cfg.DataCentre {
				ids = append(ids, t.ID)
			} else {
				s.distant[t.ID] = true
			}
		}
		for i, id := range byHash(ids) {
			if i%parts != own {
				s.distant[id] = true
			}
		}
	}
}

// byHash sorts names in an order that doesn't follow their numbering.
func byHash(names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	return names
}
