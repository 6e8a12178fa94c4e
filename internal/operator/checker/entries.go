package checker

import (
	"strings"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// checkNames reports entries of one kind without a name and those whose name another has.
func (c *checkState) checkNames(noun string, entries []*descriptor.DraftEntry) {
	seen := map[string]*descriptor.DraftEntry{}
	for _, e := range entries {
		if e.Name == "" {
			c.reportf(KindError, e.At(descriptor.FieldName), "the %s has no name", noun)
			continue
		}
		if first, ok := seen[e.Name]; ok {
			c.reportf(KindError, e.At(descriptor.FieldName), "%s %q is already at %s, line %d", noun, shorten(e.Name), first.Key, first.Line)
			continue
		}
		seen[e.Name] = e
	}
}

// routePlace is what the choice of a route depends on.
type routePlace struct{ host, prefix string }

func (c *checkState) checkRoutes() {
	var entries []*descriptor.DraftEntry
	services := map[string]*descriptor.DraftService{}
	for i := range c.draft.Services {
		services[c.draft.Services[i].DraftEntry.Name] = &c.draft.Services[i]
	}
	first := map[routePlace]*descriptor.DraftRoute{}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		entries = append(entries, &r.DraftEntry)
		c.checkRoute(r)
		c.checkShares(r, services)
		if r.Partial {
			continue
		}
		place := routePlace{r.Host, r.Prefix}
		if other, ok := first[place]; ok {
			c.reportf(KindNeverMatches, r.At(descriptor.FieldPrefix),
				"route %q never matches, since route %q at %s, line %d, has the same host and prefix",
				shorten(r.DraftEntry.Name), shorten(other.DraftEntry.Name), other.Key, other.Line)
			continue
		}
		first[place] = r
	}
	c.checkNames("route", entries)
}

// checkRoute checks a route by itself.
func (c *checkState) checkRoute(r *descriptor.DraftRoute) {
	name := shorten(r.DraftEntry.Name)
	switch r.Kind {
	case descriptor.KindSafe, descriptor.KindUnsafe, descriptor.KindStream:
		if r.WantedAttempts > 1 && !r.Repeatable() && !r.Partial {
			c.reportf(KindLimits, r.At(descriptor.FieldAttempts),
				"%d attempts are more than route %q can make: its requests run at most once", r.WantedAttempts, name)
		}
	default:
		c.reportf(KindError, r.At(descriptor.FieldKind), "is %q, want safe, unsafe or stream", shorten(string(r.Kind)))
	}
	if r.WantedAttempts < 0 {
		c.reportf(KindError, r.At(descriptor.FieldAttempts), "is %d, want at least 1", r.WantedAttempts)
	}
	if r.Priority < 0 {
		c.reportf(KindError, r.At(descriptor.FieldPriority), "is %d, want at least 0", r.Priority)
	}
	if r.Host == "" {
		c.reportf(KindNeverMatches, r.At(descriptor.FieldHost), "route %q never matches, since it has no host", name)
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		c.reportf(KindNeverMatches, r.At(descriptor.FieldPrefix), "route %q never matches, since its prefix doesn't begin with /", name)
	}
	if r.Timeout > 0 && r.Goal > r.Timeout {
		c.reportf(KindLimits, r.At(descriptor.FieldGoal), "the goal of %v is above the timeout of %v", r.Goal, r.Timeout)
	}
	if r.Timeout > 0 && r.GapAim > r.Timeout {
		c.reportf(KindLimits, r.At(descriptor.FieldGapAim), "the time between events of %v is above the timeout of %v", r.GapAim, r.Timeout)
	}
}

// checkShares checks to which services a route leads.
func (c *checkState) checkShares(r *descriptor.DraftRoute, services map[string]*descriptor.DraftService) {
	field := descriptor.FieldService
	if len(r.Shares) > 1 || r.At(field) == r.Position {
		field = descriptor.FieldShares
	}
	total := 0.0
	for _, share := range r.Shares {
		total += max(0, share.Weight)
		if share.Weight < 0 {
			c.reportf(KindError, r.At(field), "the weight of service %q is %v, want at least 0", shorten(share.Service), share.Weight)
		}
		service, ok := services[share.Service]
		switch {
		case share.Service == "":
			c.reportf(KindError, r.At(field), "route %q has no service", shorten(r.DraftEntry.Name))
		case !ok && c.draft.ServicesWhole:
			c.reportf(KindError, r.At(field), "service %q does not exist", shorten(share.Service))
		case ok && service.Store != nil:
			c.reportf(KindError, r.At(field), "%q is a store, want a service that answers requests", shorten(share.Service))
		}
	}
	if total == 0 {
		c.reportf(KindLimits, r.At(field), "no service of route %q has a weight above 0, so that the last one gets all requests", shorten(r.DraftEntry.Name))
	}
}

func (c *checkState) checkServices() {
	var entries []*descriptor.DraftEntry
	used := map[string]bool{}
	for i := range c.draft.Routes {
		for _, share := range c.draft.Routes[i].Shares {
			used[share.Service] = true
		}
	}
	for i := range c.draft.Services {
		s := &c.draft.Services[i]
		entries = append(entries, &s.DraftEntry)
		name := s.DraftEntry.Name
		if c.draft.RoutesWhole && s.Store == nil && name != "" && !used[name] {
			c.reportf(KindNeverMatches, s.Position, "service %q has no route", shorten(name))
		}
		if s.MaxConnections < 0 {
			c.reportf(KindError, s.At(descriptor.FieldMaxConns), "is %d, want at least 0", s.MaxConnections)
		}
		if s.ColdRate < 0 {
			c.reportf(KindError, s.At(descriptor.FieldColdRate), "is %v, want at least 0", s.ColdRate)
		}
		if s.Engine != nil && (s.Engine.Slots < 1 || s.Engine.MemoryTokens < 1) {
			c.reportf(KindError, s.At(descriptor.FieldEngine),
				"the engine has %d slots and memory for %d tokens, want at least 1 of each", s.Engine.Slots, s.Engine.MemoryTokens)
		}
		if s.Store != nil && s.Store.CapacityTokens < 0 {
			c.reportf(KindError, s.Position, "the store has a capacity of %d tokens, want at least 0", s.Store.CapacityTokens)
		}
	}
	c.checkNames("service", entries)
}

// checkTeams names keys by their places only, since they are secrets.
func (c *checkState) checkTeams() {
	var entries []*descriptor.DraftEntry
	owners := map[string]descriptor.DraftKey{}
	for i := range c.draft.Teams {
		t := &c.draft.Teams[i]
		entries = append(entries, &t.DraftEntry)
		if len(t.Keys) == 0 {
			c.reportf(KindNeverMatches, t.At(descriptor.FieldKeys), "team %q has no keys", shorten(t.Name))
		}
		for _, k := range t.Keys {
			if k.Key == "" {
				c.reportf(KindError, k.Position, "the key is empty")
				continue
			}
			if other, ok := owners[k.Key]; ok {
				c.reportf(KindNeverMatches, other.Position, "the key is also at %s, line %d, whose team gets its requests", k.Position.Key, k.Line)
			}
			owners[k.Key] = k
		}
	}
	if c.draft.TeamsListed && c.draft.TeamsWhole && len(c.draft.Teams) == 0 {
		c.reportf(KindNeverMatches, c.draft.TeamsAt, "the list of teams is empty, so that no key is valid; without the list, routes need no key")
	}
	c.checkNames("team", entries)
}
