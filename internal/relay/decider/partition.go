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
	// neighbourHosts holds the names of the neighbours.
	neighbourHosts map[string]struct{}
	// partitions is the number of partitions of this data centre, ownPartition the one of this host,
	// and partitionOf that of each host of the data centre.
	partitions, ownPartition int
	partitionOf              map[string]int
	// distant holds the engines of other partitions and data centres. near and far list the targets of
	// each service, sorted by ID: far those that are distant.
	distant   map[string]bool
	near, far map[string][]*target
}

// computePartition determines this host's partition. It depends only on the lists of hosts and
// targets, so that all hosts with the same lists agree.
func (s *State) computePartition() {
	s.neighbours, s.allPeers, s.distant = nil, nil, nil
	s.neighbourHosts, s.partitionOf = map[string]struct{}{}, map[string]int{}
	s.partitions, s.ownPartition = 1, 0
	for host, h := range s.hosts {
		if host != s.cfg.Host {
			s.allPeers = append(s.allPeers, h.Address)
		}
	}
	defer s.splitTargets()
	if !s.isLarge() {
		s.neighbours = s.allPeers
		return
	}
	local := sortByHash(slices.Clone(s.byDataCentre[s.cfg.DataCentre]))
	s.partitions = max(1, (len(local)+partitionSize/2)/partitionSize)
	for i, host := range local {
		s.partitionOf[host] = i % s.partitions
	}
	s.ownPartition = s.partitionOf[s.cfg.Host]
	for _, host := range local {
		if s.partitionOf[host] == s.ownPartition && host != s.cfg.Host {
			s.neighbours = append(s.neighbours, s.hosts[host].Address)
			s.neighbourHosts[host] = struct{}{}
		}
	}
	s.partitionTargets()
}

// partitionTargets determines the engines outside this host's partition. Plain targets are few
// and fast, and belong to all partitions.
func (s *State) partitionTargets() {
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
			if i%s.partitions != s.ownPartition {
				s.distant[id] = true
			}
		}
	}
}

// splitTargets divides the targets of each service into near and far ones.
func (s *State) splitTargets() {
	s.near, s.far = map[string][]*target{}, map[string][]*target{}
	for service, list := range s.byService {
		for _, t := range list {
			if s.distant[t.ID] {
				s.far[service] = append(s.far[service], t)
			} else {
				s.near[service] = append(s.near[service], t)
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
