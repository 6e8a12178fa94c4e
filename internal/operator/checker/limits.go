package checker

import (
	"slices"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// checkLimits compares the limits with each other and with what every host allows.
func (c *checkState) checkLimits() {
	l := &c.draft.Limits
	at := l.At
	if l.MaxBodyBytes < 0 {
		c.reportf(KindError, at(descriptor.FieldMaxBody), "is %d, want at least 0", l.MaxBodyBytes)
	}
	switch {
	case l.MaxHeaderBytes < 0:
		c.reportf(KindError, at(descriptor.FieldMaxHeader), "is %d, want at least 0", l.MaxHeaderBytes)
	case l.MaxHeaderBytes > descriptor.MaxHeaderBytes:
		c.reportf(KindLimits, at(descriptor.FieldMaxHeader),
			"headers of %d bytes are above the %d bytes that a host reads", l.MaxHeaderBytes, descriptor.MaxHeaderBytes)
	}
	if l.HeaderTimeout > descriptor.ReadHeaderTimeout {
		c.reportf(KindLimits, at(descriptor.FieldHeaderTimeout),
			"the time for headers of %v is above the %v after which a host closes the connection", l.HeaderTimeout, descriptor.ReadHeaderTimeout)
	}
	if l.IdleTimeout > descriptor.IdleTimeout {
		c.reportf(KindLimits, at(descriptor.FieldIdleTimeout),
			"the idle time of %v is above the %v after which a host closes the connection", l.IdleTimeout, descriptor.IdleTimeout)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.reportf(KindLimits, at(descriptor.FieldHeaderTimeout),
			"the time for headers of %v is above the idle time of %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

// checkSettings compares the configuration with the settings of a host.
func (c *checkState) checkSettings() {
	if c.settings == nil {
		return
	}
	s, l := c.settings, &c.draft.Limits
	memory := int64(descriptor.BodiesShare * float64(s.MemoryMB) * (1 << 20))
	if int64(l.MaxBodyBytes) > memory {
		c.reportf(KindLimits, l.At(descriptor.FieldMaxBody),
			"a body of %d bytes is above the %d bytes that a host with %d MB of memory holds for all bodies", l.MaxBodyBytes, memory, s.MemoryMB)
	}
	if l.HeaderTimeout >= s.GracePeriod && l.HeaderTimeout > 0 {
		c.reportf(KindLimits, l.At(descriptor.FieldHeaderTimeout),
			"the time for headers of %v isn't below the grace period of %v: a host that stops cuts such requests", l.HeaderTimeout, s.GracePeriod)
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < s.DrainTime {
		c.reportf(KindLimits, l.At(descriptor.FieldIdleTimeout),
			"the idle time of %v is below the drain time of %v: connections close before a change of targets is known", l.IdleTimeout, s.DrainTime)
	}
	if s.DrainTime >= s.GracePeriod {
		c.reportf(KindLimits, descriptor.Position{},
			"the drain time of %v in the settings isn't below the grace period of %v: a target may end while it still gets requests", s.DrainTime, s.GracePeriod)
	}
	c.checkRegions()
}

// checkRegions reports routes whose requests may run in no data centre of the settings.
func (c *checkState) checkRegions() {
	known := map[string]bool{}
	for _, region := range c.settings.Regions {
		known[region] = true
	}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		if len(r.Regions) > 0 && !slices.ContainsFunc(r.Regions, func(region string) bool { return known[region] }) {
			c.reportf(KindNeverMatches, r.At(descriptor.FieldRegions), "no data centre of the settings is in a region of route %q", shorten(r.DraftEntry.Name))
		}
	}
}
