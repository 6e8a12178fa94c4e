package decider

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// watchersEach is how many hosts of each data centre watch the platform for the
// others there: one more than is needed, as each of them may be gone.
const watchersEach = 2

// watchers returns the hosts that watch the platform for this host's data centre.
// It answers the load pattern in which each change wakes the watches of all hosts,
// and each of these is a call.
func (s *State) watchers() []string {
	var names []string
	for host, h := range s.hosts {
		p := s.heard[host]
		if h.DataCentre == s.cfg.DataCentre && (host == s.cfg.Host || p != nil && s.now.Sub(p.at) < peerTimeout) {
			names = append(names, host)
		}
	}
	rank := func(host string) uint64 { return xxh3.HashString(host + "|platform") }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return names[:min(watchersEach, len(names))]
}

// Watches reports whether this host watches the platform itself, rather than being
// told by others. In small deployments all do.
func (s *State) Watches() bool {
	return len(s.hosts) <= directFollowers || slices.Contains(s.watchers(), s.cfg.Host)
}

// NewsReceivers returns the hosts that this host tells what the platform says: all
// others of its data centre, as those that watch may be unable to reach the platform.
func (s *State) NewsReceivers() []netip.AddrPort {
	if !slices.Contains(s.watchers(), s.cfg.Host) {
		return nil
	}
	var to []netip.AddrPort
	for host, h := range s.hosts {
		if h.DataCentre == s.cfg.DataCentre && host != s.cfg.Host {
			to = append(to, h.Address)
		}
	}
	return to
}
