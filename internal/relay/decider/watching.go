package decider

import (
	"net/netip"
	"slices"
)

// watchersPerDataCentre is how many hosts of each data centre watch the platform for the others
// there. One would do; the second covers its failure.
const watchersPerDataCentre = 2

// watchers returns the hosts that watch the platform for this host's data centre. If all hosts
// did, every change would end all their watches at once and cost a call for each.
func (s *State) watchers() []string {
	return s.firstHosts("platform", s.cfg.DataCentre, watchersPerDataCentre)
}

// WatchesPlatform reports whether this host should watch the platform itself rather than receive
// its updates from other hosts. In small deployments all hosts watch.
func (s *State) WatchesPlatform() bool {
	return len(s.hosts) <= maxDirectFollowers || slices.Contains(s.watchers(), s.cfg.Host)
}

// PlatformUpdateReceivers returns the hosts to which this host relays updates from the platform:
// all others of its data centre, including the other watchers, which may be unable to reach the
// platform.
func (s *State) PlatformUpdateReceivers() []netip.AddrPort {
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
