package decider

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// maxHostOrders bounds the orders that are kept, each a slice of all hosts.
const maxHostOrders = 512

// roleOrderPrefix begins the keys of the orders for roles.
const roleOrderPrefix = "role|"

// hostRanking keeps the rendezvous orders of the listed hosts. Ranking hundreds of hosts by hashes
// at each decision would cost more than the decision.
type hostRanking struct {
	// orders maps names to the listed hosts in their rendezvous order.
	orders map[string][]string
	// byDataCentre lists the hosts of each data centre, sorted.
	byDataCentre map[string][]string
	// mostCores is the processor time of the most capable host of each data centre.
	mostCores map[string]float64
}

func newHostRanking() hostRanking { return hostRanking{orders: map[string][]string{}} }

// rankHosts drops the orders of an earlier list of hosts.
func (s *State) rankHosts() {
	clear(s.orders)
	s.byDataCentre, s.mostCores = map[string][]string{}, map[string]float64{}
	for host, h := range s.hosts {
		s.mostCores[h.DataCentre] = max(s.mostCores[h.DataCentre], h.Cores)
		s.byDataCentre[h.DataCentre] = append(s.byDataCentre[h.DataCentre], host)
	}
	for _, list := range s.byDataCentre {
		slices.Sort(list)
	}
}

// orderFor returns all listed hosts in the rendezvous order of name.
func (s *State) orderFor(name string) []string {
	order, ok := s.orders[name]
	if ok {
		return order
	}
	type ranked struct {
		host string
		rank uint64
	}
	list := make([]ranked, 0, len(s.hosts))
	for host := range s.hosts {
		list = append(list, ranked{host, xxh3.HashString(host + "|" + name)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host, b.host)) })
	order = make([]string, len(list))
	for i, r := range list {
		order[i] = r.host
	}
	if len(s.orders) >= maxHostOrders {
		clear(s.orders)
	}
	s.orders[name] = order
	return order
}

// roleOrder is like orderFor for work that one host does for others. In large fleets, hosts with less
// than half of the processor time that others of their data centre have come last.
func (s *State) roleOrder(name string) []string {
	if !s.isLarge() {
		return s.orderFor(name)
	}
	key := roleOrderPrefix + name
	if order, ok := s.orders[key]; ok {
		return order
	}
	var capable, others []string
	for _, host := range s.orderFor(name) {
		if h := s.hosts[host]; 2*h.Cores >= s.mostCores[h.DataCentre] {
			capable = append(capable, host)
		} else {
			others = append(others, host)
		}
	}
	s.orders[key] = append(capable, others...)
	return s.orders[key]
}

// isLive reports whether a host was seen within the given time. This host always is.
func (s *State) isLive(host string, within time.Duration) bool {
	p := s.peerByHost[host]
	return host == s.cfg.Host || p != nil && s.now.Sub(p.lastSeenAt) < within
}

// firstHosts returns up to n live hosts of a data centre that come first for a role.
func (s *State) firstHosts(name, dataCentre string, n int) []string {
	var first []string
	for _, host := range s.roleOrder(name) {
		if len(first) == n {
			break
		}
		if s.hosts[host].DataCentre == dataCentre && s.isLive(host, peerTimeout) {
			first = append(first, host)
		}
	}
	return first
}

// rankFor returns this host's rank among the recently seen hosts in the rendezvous order of
// name.
func (s *State) rankFor(name string) int { return s.rankIn(s.orderFor(name), peerForgetAfter) }

// roleRank returns this host's rank among the live hosts for a role.
func (s *State) roleRank(name string) int { return s.rankIn(s.roleOrder(name), peerTimeout) }

// rankIn returns this host's rank among the hosts of an order that were seen within the given time. A
// host that isn't listed comes last.
func (s *State) rankIn(order []string, within time.Duration) int {
	n := 0
	for _, host := range order {
		if host == s.cfg.Host {
			break
		}
		if s.isLive(host, within) {
			n++
		}
	}
	return n
}
