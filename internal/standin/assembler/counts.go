package assembler

import (
	"net/netip"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
)

// Counts holds the statistics of all stand-ins together.
type Counts struct {
	PrefilledTokens int64
	CachedTokens    int64
	ImportedBlocks  int
	ExportedBlocks  int
	Crashes         int
	// ColdLimitExceeded counts the requests beyond a cold target's limit.
	ColdLimitExceeded int
	// DuplicateRuns counts the repeated runs of requests to plain services.
	DuplicateRuns int
	// PeakLinkShare is the highest rate on a store's link as a share of its limit.
	PeakLinkShare float64
	// LinkBytes counts the bytes transferred on all stores' links, and LinkLimit is
	// the sum of their limits in bytes per second.
	LinkBytes int64
	LinkLimit int64
	// MaxLinkWaitMilliseconds is the longest time that a transfer queued for a link.
	MaxLinkWaitMilliseconds int64
	// Runs counts the runs on targets, and RunRequests the distinct requests.
	Runs        int
	RunRequests int
	// Attempts counts the attempts that targets accepted, including those that never
	// ran, and AttemptRequests the distinct requests.
	Attempts        int
	AttemptRequests int
}

// Counts returns the statistics of all stand-ins so far.
func (a *Assembly) Counts() Counts {
	var c Counts
	runs, attempts := map[string]int{}, map[string]int{}
	for _, e := range a.Engines {
		s := e.Stats()
		c.PrefilledTokens += s.PrefilledTokens
		c.CachedTokens += s.CachedTokens
		c.ImportedBlocks += s.ImportedBlocks
		c.ExportedBlocks += s.ExportedBlocks
		c.Crashes += s.Crashes
		c.ColdLimitExceeded += s.ColdLimitExceeded
		for id, n := range s.Runs {
			runs[string(id)] += n
		}
		for id, n := range s.Admissions {
			attempts[string(id)] += n
		}
	}
	for _, r := range a.Responders {
		s := r.Stats()
		c.DuplicateRuns += s.Duplicates
		c.Crashes += s.Crashes
		c.ColdLimitExceeded += s.ColdLimitExceeded
		for key, n := range s.Executions {
			runs[key] += n
			attempts[key] += n
		}
	}
	c.RunRequests, c.Runs = len(runs), sum(runs)
	c.AttemptRequests, c.Attempts = len(attempts), sum(attempts)
	a.countLinks(&c)
	return c
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
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

// ColdTargets returns the number of cold targets.
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

// Mark resets StartedSinceMark for the targets of a data centre.
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

// StartedSinceMark returns the number of requests that the targets of a data
// centre have started since the last Mark.
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

// ReadyAddresses returns the callers' addresses of the ready daemons, which the
// platform's load balancer would use.
func (a *Assembly) ReadyAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range a.HostNames() {
		h := a.Hosts[name]
		if h.running() && h.Ready() {
			list = append(list, h.CallerAddress)
		}
	}
	return list
}

// running reports whether the host's daemon has been started and not stopped.
func (h *Host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon != nil
}
