package assembler

import (
	"net/netip"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
)

// Counts sums up what the stand-ins saw.
type Counts struct {
	PrefilledTokens int64
	CachedTokens    int64
	ImportedBlocks  int
	ExportedBlocks  int
	FallOvers       int
	// ColdLimitExceeded counts the requests above a cold limit.
	ColdLimitExceeded int
	// DuplicateRuns counts the runs beyond the first of requests to plain services.
	DuplicateRuns int
	// PeakLinkShare is the highest rate of a store's link as a share of its limit.
	PeakLinkShare float64
	// LinkBytes counts the bytes that all stores' links carried, and LinkLimit is
	// what they can carry together, in bytes per second.
	LinkBytes int64
	LinkLimit int64
	// MaxLinkWaitMilliseconds is the longest wait of a transfer behind others.
	MaxLinkWaitMilliseconds int64
	// Runs counts the runs at targets, and RunRequests the requests that they belong to.
	Runs        int
	RunRequests int
}

// Counts sums up what the stand-ins have seen so far.
func (a *Assembly) Counts() Counts {
	var c Counts
	runs := map[string]int{}
	for _, e := range a.Engines {
		s := e.Stats()
		c.PrefilledTokens += s.PrefilledTokens
		c.CachedTokens += s.CachedTokens
		c.ImportedBlocks += s.ImportedBlocks
		c.ExportedBlocks += s.ExportedBlocks
		c.FallOvers += s.FallOvers
		c.ColdLimitExceeded += s.ColdLimitExceeded
		for id, n := range s.Runs {
			runs[string(id)] += n
		}
	}
	for _, r := range a.Responders {
		s := r.Stats()
		c.DuplicateRuns += s.Duplicates
		c.FallOvers += s.FallOvers
		c.ColdLimitExceeded += s.ColdLimitExceeded
		for key, n := range s.Executions {
			runs[key] += n
		}
	}
	c.RunRequests = len(runs)
	for _, n := range runs {
		c.Runs += n
	}
	a.countLinks(&c)
	return c
}

func (a *Assembly) countLinks(c *Counts) {
	for name, s := range a.Stores {
		limit := a.Fleet.Stores[name].LinkBytesPerSecond
		link := s.Stats().Link
		c.PeakLinkShare = max(c.PeakLinkShare, link.PeakBytesPerSecond/float64(limit))
		c.LinkBytes += link.Bytes
		c.LinkLimit += limit
		c.MaxLinkWaitMilliseconds = max(c.MaxLinkWaitMilliseconds, link.MaxWaitMilliseconds)
	}
}

// ColdTargets counts the targets that are cold.
func (a *Assembly) ColdTargets() int {
	n := 0
	for _, e := range a.Engines {
		if e.Stats().Cold {
			n++
		}
	}
	for _, r := range a.Responders {
		if r.Stats().Cold {
			n++
		}
	}
	return n
}

// Mark starts the count of StartedSinceMark at the targets of a data centre.
func (a *Assembly) Mark(centre identifier.DataCentre) {
	for name, e := range a.Engines {
		if a.Fleet.Targets[name].DataCentre == centre {
			_ = e.Apply(engine.Faults{Mark: true})
		}
	}
	for name, r := range a.Responders {
		if a.Fleet.Targets[name].DataCentre == centre {
			_ = r.Apply(responder.Faults{Mark: true})
		}
	}
}

// StartedSinceMark counts the requests that the targets of a data centre started
// since the last mark.
func (a *Assembly) StartedSinceMark(centre identifier.DataCentre) int {
	n := 0
	for name, e := range a.Engines {
		if a.Fleet.Targets[name].DataCentre == centre {
			n += e.Stats().StartedSinceMark
		}
	}
	for name, r := range a.Responders {
		if a.Fleet.Targets[name].DataCentre == centre {
			n += r.Stats().StartedSinceMark
		}
	}
	return n
}

// Balance returns the callers' addresses of the daemons that are ready, as the
// platform's balancer would.
func (a *Assembly) Balance() []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range a.HostNames() {
		h := a.Hosts[name]
		if h.running() && h.Ready() {
			list = append(list, h.Callers)
		}
	}
	return list
}

// running reports whether the host has a daemon.
func (h *Host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon != nil
}
