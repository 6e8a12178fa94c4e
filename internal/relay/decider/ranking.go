package decider

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// maxHostOrders bounds the orders that are kept, each a slice of all hosts.
const maxHostOrders = 512

// hostRanking keeps the rendezvous orders of the listed hosts. Ranking hundreds of hosts by hashes
// at each decision would cost more than the decision.
type hostRanking struct {
	// orders maps names to the listed hosts in their rendezvous order.
	orders map[string][]string
	// byDataCentre lists the hosts of each data centre, sorted.
	byDataCentre map[string][]string
}

func newHostRanking() hostRanking { return hostRanking{orders: map[string][]string{}} }

// rankHosts drops the orders of an earlier list of hosts.
func (s *State) rankHosts() {
	clear(s.orders)
	s.byDataCentre = map[string][]string{}
	for host, h := range s.hosts {
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

// isLive reports whether a host was seen within the given time. This host always is.
func (s *State) isLive(host string, within time.Duration) bool {
	p := s.peerByHost[host]
	return host == s.cfg.Host || p != nil && s.now.Sub(p.lastSeenAt) < within
}

// firstHosts returns up to n live hosts of a data centre, or of all if it is empty, that come first
// in the rendezvous order of name.
func (s *State) firstHosts(name, dataCentre string, n int) []string {
	var first []string
	for _, host := range s.orderFor(name) {
		if len(first) == n {
			break
		}
		if (dataCentre == "" || s.hosts[host].DataCentre == dataCentre) && s.isLive(host, peerTimeout) {
			first = append(first, host)
		}
	}
	return first
}

// rankFor returns this host's rank among the recently seen hosts in the rendezvous order of
// name.
func (s *State) rankFor(name string) int { return s.rankWithin(name, peerForgetAfter) }

// rankWithin is like rankFor among the hosts seen within the given time. A host that isn't listed
// comes last.
func (s *State) rankWithin(name string, within time.Duration) int {
	n := 0
	for _, host := range s.orderFor(name) {
		if host == s.cfg.Host {
			break
		}
		if s.isLive(host, within) {
			n++
		}
	}
	return n
}
