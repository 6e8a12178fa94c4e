package decider

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// partitionSize is the approximate number of hosts that inform each other of each request.
const partitionSize = 8

// partition is this host's share of a large deployment. When too many hosts choose among the
// same targets to inform each other of every choice, the hosts and targets of a data centre are
// divided evenly into partitions. A host prefers the targets of its own partition and sends the
// overflow to others.
type partition struct {
	// neighbours are the peers of the same partition, allPeers those of all partitions.
	neighbours, allPeers []netip.AddrPort
	// distant holds the engines of other partitions and data centres.
	distant map[string]bool
}

// computePartition determines this host's partition. It depends only on the lists of hosts and
// targets, so that all hosts with the same lists agree.
func (s *State) computePartition() {
	s.neighbours, s.allPeers, s.distant = nil, nil, nil
	hosts := map[string][]string{}
	for host, h := range s.hosts {
		hosts[h.DataCentre] = append(hosts[h.DataCentre], host)
		if host != s.cfg.Host {
			s.allPeers = append(s.allPeers, h.Address)
		}
	}
	if len(s.hosts) <= partitionSize+partitionSize/2 {
		s.neighbours = s.allPeers
		return
	}
	local := sortByHash(hosts[s.cfg.DataCentre])
	partitions := max(1, (len(local)+partitionSize/2)/partitionSize)
	ownPartition := slices.Index(local, s.cfg.Host) % partitions
	for i, host := range local {
		if i%partitions == ownPartition && host != s.cfg.Host {
			s.neighbours = append(s.neighbours, s.hosts[host].Address)
		}
	}
	s.partitionTargets(partitions, ownPartition)
}

// partitionTargets determines the engines outside this host's partition. Plain targets are few
// and fast, and belong to all partitions.
func (s *State) partitionTargets(partitions, ownPartition int) {
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
		for i, id := range sortByHash(ids) {
			if i%partitions != ownPartition {
				s.distant[id] = true
			}
		}
	}
}

// sortByHash sorts names by hash, which separates consecutively numbered names.
func sortByHash(names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	return names
}
